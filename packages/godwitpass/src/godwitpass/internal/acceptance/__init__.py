"""Acceptance of documents by a compare-and-swap of the root record."""
