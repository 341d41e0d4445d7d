"""Server selection by each instance on its own, without coordination.

``server_choice`` selects a server by ``cache_locations`` (which server has
which parts of a ``prompt`` in its cache) and ``server_stats`` (load, speed,
health). ``overload`` rejects early the requests that would wait too long.
``policy`` switches single mechanisms off.
"""
