"""Retries and hedged requests: when they are allowed, and the budget that bounds them."""
