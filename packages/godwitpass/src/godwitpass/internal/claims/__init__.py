"""At-most-once calls: the idempotency key of a call is claimed in the store before it is sent."""
