"""Retry budgets, backoff and circuit breakers."""
