"""Links to peers, opened on first use."""

from __future__ import annotations

from greengagewood.internal.link import Link
from greengagewood.internal.metrics import Metrics
from greengagewood.internal.settings import Keys

__all__ = ["LinkPool"]


class LinkPool:
    """Keep one link to each address."""

    def __init__(self, name: str, keys: Keys, metrics: Metrics) -> None:
        self._name = name
        self._keys = keys
        self._metrics = metrics
        self._links: dict[str, Link] = {}

    def link(self, address: str) -> Link:
        """Return the link to an address."""
        link = self._links.get(address)
        if link is None:
            link = Link(self._name, address, self._keys, self._metrics)
            self._links[address] = link
        return link

    def keep_only(self, addresses: set[str]) -> None:
        """Close the links to all other addresses."""
        for address in self._links.keys() - addresses:
            self._links.pop(address).close()

    def close(self) -> None:
        """Close every link."""
        self.keep_only(set())
