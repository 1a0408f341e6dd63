"""Validation of documents and settings, which reports every problem with its location."""
