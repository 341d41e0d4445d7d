"""Adapter to the users' platform: it translates, and decides nothing.

Names on their wire appear in this folder only. Each is decoded once into the
product's own types.
"""
