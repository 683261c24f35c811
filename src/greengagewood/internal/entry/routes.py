"""Find the route of a request among thousands."""

from __future__ import annotations

from collections.abc import Iterable

from greengagewood.internal.ports import RouteRule

__all__ = ["RouteTable"]


class RouteTable:
    """Index of the routes of one configuration by host, length of the path prefix, and prefix."""

    def __init__(self, rules: Iterable[RouteRule]) -> None:
        self._prefixes_by_host: dict[str, dict[int, dict[str, RouteRule]]] = {}
        for rule in rules:
            by_length = self._prefixes_by_host.setdefault(rule.host, {})
            # The first of two routes with the same host and prefix counts.
            by_length.setdefault(len(rule.path_prefix), {}).setdefault(rule.path_prefix, rule)
        self._lengths_by_host = {
            host: sorted(by_length, reverse=True)
            for host, by_length in self._prefixes_by_host.items()
        }

    def find(self, host: str, path: str) -> RouteRule | None:
        """Return the route with this host and the longest path prefix that the path begins with."""
        for length in self._lengths_by_host.get(host, ()):
            rule = self._prefixes_by_host[host][length].get(path[:length])
            if rule is not None:
                return rule
        return None
