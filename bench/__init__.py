"""Measurements: speed and decisions, as ratios to baselines in one run."""
