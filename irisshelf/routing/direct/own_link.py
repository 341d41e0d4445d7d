"""Whether this instance's own link to a service's servers may have failed.

New connections that fail to several servers of a service, while none of them
sends anything, are more likely the instance's fault than that of all servers.
"""

from __future__ import annotations

# A server that refuses connections may have exited, and others may follow; one
# that is silent is as likely an effect of the own link.
_REFUSALS = 2


class OwnLink:
    """The link of this instance to the servers of one service."""

    def __init__(self):
        self._refused: set[str] = set()
        self._silent = False

    def record_failed(self, server_id: str, *, timed_out: bool) -> None:
        """Records that a connection to a server was not established.

        Args:
            server_id: The server.
            timed_out: Whether the server did not respond at all.
        """
        if timed_out:
            self._silent = True
        else:
            self._refused.add(server_id)

    def record_alive(self) -> None:
        """Records data from a server, or a new connection to one."""
        self._silent = False
        self._refused.clear()

    @property
    def suspect(self) -> bool:
        """Whether the link may have failed."""
        return self._silent or len(self._refused) >= _REFUSALS
