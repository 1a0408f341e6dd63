"""The daemon that runs beside each upstream instance."""
