"""Routing decisions, without any I/O.

There are two routing strategies, one for each daemon:

- ``routing.direct``: every instance independently chooses a backend server for
  each request, from observed requests and server reports
  (``irisshelf.gateway``, the daemon on a shared platform).
- ``routing.owned``: each engine is owned by one instance, and only that
  instance places requests on it (``irisshelf.daemon``, ``irisshelfd``).

The modules of this package itself serve both: request outcomes, the retry
budget, key popularity and crash suspects.
"""
