"""Monitoring of the upstream beside a daemon."""
