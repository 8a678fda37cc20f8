"""Clients of the platform and of the backend servers."""
