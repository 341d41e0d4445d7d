"""Whether this instance's own link to a service's servers may have failed.

New connections that fail to several servers of a service, while none of them
sends anything, are more likely the instance's fault than that of all servers.
"""

from __future__ import annotations

import math

# A server that refuses connections may have exited, and others may follow; one
# that is silent is as likely an effect of the own link.
_REFUSALS = 2
# Servers that are not used send nothing either: afterwards, direct connections
# are tried again.
_SUSPECT_S = 1.0


class OwnLink:
    """The link of this instance to the servers of one service."""

    def __init__(self):
        # By server: when it first refused a connection.
        self._refused_s: dict[str, float] = {}
        self._silent_s = -math.inf

    def record_failed(
        self, server_id: str, *, timed_out: bool, now: float
    ) -> None:
        """Records that a server that was reachable no longer is.

        Args:
            server_id: The server.
            timed_out: Whether the server did not respond at all.
            now: Monotonic seconds.
        """
        if timed_out:
            self._silent_s = now
        else:
            self._refused_s[server_id] = now

    def record_alive(self) -> None:
        """Records data from a server, or a new connection to one."""
        self._silent_s = -math.inf
        self._refused_s.clear()

    def is_suspect(self, now: float) -> bool:
        """Returns whether the link may have failed."""
        if now - self._silent_s <= _SUSPECT_S:
            return True
        recent = [
            at_s
            for at_s in self._refused_s.values()
            if now - at_s <= _SUSPECT_S
        ]
        return len(recent) >= _REFUSALS
