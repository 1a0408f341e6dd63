"""Admission control: concurrency limits, queueing and load shedding of calls."""
