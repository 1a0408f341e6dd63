"""Checking of documents and settings: every problem is found and placed, not only the first."""
