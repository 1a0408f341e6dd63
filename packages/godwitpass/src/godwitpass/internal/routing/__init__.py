"""Which route a request takes, decided on its strictly normalised target."""
