"""Event log: logs numbered events and keeps the most recent ones for the timeline."""
