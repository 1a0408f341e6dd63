"""Kernel services, which perform the I/O for the decision logic of the `godwitpass` package."""
