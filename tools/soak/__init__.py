"""Randomized soak of edge processes against stand-ins, with faults from outside."""
