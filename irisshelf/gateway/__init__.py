"""Entry instance on a shared platform, between callers and backend servers.

This package does I/O only; decisions are made in ``routing`` and ``catalog``.
Its layers, from the bottom up, import only from the ones before them:

- ``settings``, ``messages``, ``dialect``, ``metrics``, ``listener``,
  ``shutdown``.
- ``servers``: state of backend servers, and connections to them.
- ``instance``: state shared by the layers that follow.
- ``knowledge``: data received from the store and from other instances.
- ``requests``: callers' requests and their responses.
- ``drain``, ``daemon``: stops the instance as planned; assembles and runs it.
"""
