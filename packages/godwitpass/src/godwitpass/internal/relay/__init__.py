"""How a call passes from the daemon that takes it to the one beside an upstream."""
