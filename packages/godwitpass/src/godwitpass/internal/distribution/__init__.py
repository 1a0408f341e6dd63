"""Distribution of accepted versions to all daemons."""
