"""At most one run for each idempotency key."""
