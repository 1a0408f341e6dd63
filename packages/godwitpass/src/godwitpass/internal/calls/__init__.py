"""Calls: outcomes, deadlines, latencies, and the dispatcher that serves one service."""
