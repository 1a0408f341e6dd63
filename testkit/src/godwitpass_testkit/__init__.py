"""Test doubles, load generators and experiments; not installed in production."""
