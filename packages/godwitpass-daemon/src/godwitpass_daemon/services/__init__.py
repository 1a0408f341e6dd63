"""Services of the daemon: thin shells around decision objects."""
