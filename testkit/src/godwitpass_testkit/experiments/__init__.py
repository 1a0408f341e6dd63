"""Experiments: each writes rows of figures as JSON."""
