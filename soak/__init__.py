"""Fault soak: real processes, faults from outside, promises checked.

Seeds from 8000 on are for many instances (24, say; three data centres from 12
on): herds, rollouts, more streams. Those that found something are in
``at_size.json``: ``make soak SEEDS=at-size``. They take half a minute each.
"""
