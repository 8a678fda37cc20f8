"""Slopes of cost over size, measured here, and what they give at the target."""
