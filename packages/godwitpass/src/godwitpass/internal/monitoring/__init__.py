"""What a daemon announces of the upstream beside it."""
