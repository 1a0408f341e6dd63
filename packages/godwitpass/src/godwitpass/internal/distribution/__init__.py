"""Distribution of accepted versions to every daemon."""
