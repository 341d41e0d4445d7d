"""Links to a backend server: one for all instances, and one for each."""

from __future__ import annotations

from irisshelf.platform.stand_in import proxy


class ServerLink(proxy.Proxy):
    """A link to a server that all instances share.

    Args:
        target: The server's address.
    """

    def __init__(self, *, target: str):
        super().__init__(target=target)
        self._pairs: list[proxy.Proxy] = []

    def add_pair(self) -> proxy.Proxy:
        """Opens a link of one instance, which leads to this one."""
        self._pairs.append(proxy.Proxy(target=self.address))
        return self._pairs[-1]

    def set_listening(self, listens: bool, *, reset: bool = True) -> None:
        """See ``proxy.Proxy.set_listening``."""
        super().set_listening(listens, reset=reset)
        for pair in self._pairs:
            pair.set_listening(listens, reset=reset)

    def close(self) -> None:
        """Stops."""
        super().close()
        for pair in self._pairs:
            pair.close()
