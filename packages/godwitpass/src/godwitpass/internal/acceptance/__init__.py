"""Acceptance of documents by one compare-and-swap of the root record."""
