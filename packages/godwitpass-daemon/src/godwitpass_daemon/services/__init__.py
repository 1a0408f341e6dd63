"""Kernel services: thin shells around the decisions of the `godwitpass` package."""
