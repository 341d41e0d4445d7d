"""The entry instance on a shared platform: callers in, backend servers out.

Input and output only; decisions are in ``routing`` and ``catalog``. From the
bottom up, each importing only what stands before it:

- ``settings``, ``messages``, ``dialect``, ``metrics``, ``listener``.
- ``servers``: what is known of backend servers, and connections to them.
- ``instance``: the state that the rooms below share.
- ``knowledge``: what the store and other instances tell.
- ``requests``: callers' requests and their answers.
- ``daemon``: puts all together.
"""
