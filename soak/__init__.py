"""Fault soak: real processes, faults from outside, promises checked.

Seeds from 8000 on are for many instances (24, say; three data centres from 12
on): herds, rollouts, more streams. Those that found something are in
``at_size.json``: ``make soak SEEDS=at-size``. They take half a minute each.

Seeds from 1,000,000,000 on have hard load: more requests than the servers can
process, from teams of several priorities. Play them with three instances.
"""
