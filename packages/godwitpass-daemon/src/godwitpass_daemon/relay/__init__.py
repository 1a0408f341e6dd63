"""Forwarding of calls from the caller's daemon to the daemon beside the upstream."""
