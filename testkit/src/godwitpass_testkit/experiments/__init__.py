"""Experiments; each measures one subject and writes the rows as JSON."""
