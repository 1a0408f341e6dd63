"""Request routing: strict parsing of request targets, and the compiled routing table."""
