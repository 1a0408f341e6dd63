"""The administration API: operators' documents in, state and events out."""
