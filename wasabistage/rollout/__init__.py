"""Fenced orders to backend servers: weights, adapters, roles."""
