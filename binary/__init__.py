"""Builds the one binary: a small launcher with the program appended to it."""
