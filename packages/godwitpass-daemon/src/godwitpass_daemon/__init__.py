"""The godwitpass daemon, which runs beside each upstream instance."""
