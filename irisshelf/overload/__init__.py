"""Overload control: which requests are admitted when callers ask for too much.

Decisions only: no input or output, with the time passed in. The instances of a
fleet exchange their demand, and each decides by the same total.
"""
