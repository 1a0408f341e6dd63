"""Load balancing over upstreams, based only on what this daemon measured itself."""
