"""Stand-ins for the platform, its servers and its clients, with the standard library only."""
