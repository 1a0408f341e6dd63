"""Runs the experiments, checks their results and derives plots and the capacity page."""
