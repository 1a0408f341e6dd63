"""Administration API: accepts configuration documents and reports state, events and metrics."""
