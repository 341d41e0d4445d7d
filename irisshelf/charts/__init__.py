"""State charts, stored as JSON files, and their interpreter."""
