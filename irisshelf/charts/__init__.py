"""State charts as JSON files and their interpreter."""
