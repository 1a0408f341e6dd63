"""Experiments: measurements that write their rows to a file."""
