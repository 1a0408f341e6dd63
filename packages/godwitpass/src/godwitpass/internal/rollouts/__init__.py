"""Roll-outs: a service moves to upstreams with another software version."""
