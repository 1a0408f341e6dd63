"""Decisions of the relay, which forwards calls from a caller's daemon to an upstream's daemon."""
