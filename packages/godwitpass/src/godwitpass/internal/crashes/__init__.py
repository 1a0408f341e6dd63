"""Requests that crash upstreams: recognised by fingerprint, refused for a time, forgotten."""
