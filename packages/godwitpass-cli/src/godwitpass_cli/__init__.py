"""The operators' command line `godwitctl`, a client of the administration API."""
