"""Rate limits of customers over all daemons together."""
