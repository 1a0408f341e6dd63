"""Numbered events: the log and the ring that the time line is merged from."""
