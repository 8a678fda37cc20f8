"""Admission of requests: ranks, fairness, limits and deadlines."""
