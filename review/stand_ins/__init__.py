"""Stand-ins for the platform, its servers and its clients, which the scripts of the cases share."""
