"""At-most-once calls: an idempotency key is claimed in the store before its call is sent."""
