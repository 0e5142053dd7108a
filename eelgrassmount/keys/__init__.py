"""Run each idempotency key at most once."""
