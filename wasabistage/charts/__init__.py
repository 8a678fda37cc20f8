"""State charts in files, and their interpreter."""
