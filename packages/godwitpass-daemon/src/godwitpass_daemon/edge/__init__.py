"""HTTP proxy of the daemon: listeners for callers, and connections to upstreams."""
