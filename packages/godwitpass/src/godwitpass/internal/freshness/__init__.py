"""Proofs that a held version was the newest in the store at a known moment."""
