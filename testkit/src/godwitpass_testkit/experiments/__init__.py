"""Experiments; each prints or writes rows of name, parameters, value and unit."""
