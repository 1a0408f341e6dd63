"""Stand-ins for outside systems, load and experiments; for development only."""
