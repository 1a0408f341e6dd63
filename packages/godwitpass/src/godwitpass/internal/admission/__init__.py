"""How many calls go to an upstream at once, and which wait or are refused."""
