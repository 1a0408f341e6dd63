"""Load model: the daemon's own relay between simulated callers and upstreams, in virtual time."""
