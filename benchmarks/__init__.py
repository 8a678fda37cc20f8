"""Benchmarks of the decisions, on seeded arrivals."""
