"""Whether a failed attempt is sent again, and who pays for it."""
