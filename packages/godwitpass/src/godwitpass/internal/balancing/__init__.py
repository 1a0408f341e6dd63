"""Load balancing over upstreams, from measurements that this daemon made itself."""
