"""Demonstrates a deployment on this machine, administered with the operators' command."""
