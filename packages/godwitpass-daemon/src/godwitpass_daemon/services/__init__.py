"""Services of the daemon: thin shells around the decisions of the `godwitpass` package."""
