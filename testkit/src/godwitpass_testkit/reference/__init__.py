"""Generates the reference pages in `docs/` from the types that they describe."""
