"""Non-idempotent calls, run at most once."""
