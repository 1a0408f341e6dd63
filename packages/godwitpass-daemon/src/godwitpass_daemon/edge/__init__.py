"""HTTP listeners for calls, and the connections to upstreams."""
