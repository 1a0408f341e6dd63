"""Crash suspects: requests that crash upstreams are identified and refused for a time."""
