"""Customers, and the keys by which their callers identify themselves."""
