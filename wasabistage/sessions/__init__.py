"""Sessions, answers and streams."""
