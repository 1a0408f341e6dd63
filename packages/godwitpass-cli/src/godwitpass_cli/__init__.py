"""The operators' command, a client of the administration API."""
