"""The entry instance on a shared platform: callers in, backend servers out.

Input and output only; decisions are in ``routing`` and ``catalog``.
"""
