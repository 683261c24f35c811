"""Routing: which backend server a request goes to.

Pure: the time and a random number generator go in. Two backend servers are drawn at random and the
one with the lower cost takes the request; the cost is the expected wait: the smoothed latency
times the requests that this gateway has in progress there, plus one. Servers of the own failure
domain are drawn first; others join the draw when no near one has room, or when the near ones are
slower than the far ones by more than the distance costs.

A server that fails several requests in a row is ejected for a time that doubles, but never so many
that fewer than half are left. A leaving server gets nothing new from the first sign on, whichever
comes first: the instance list, its own answer, or a peer's word.
"""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass

from greengagewood.internal.messages import BackendEntry

__all__ = ["Backend", "RoutingTable"]

LATENCY_WEIGHT = 0.2
INITIAL_LATENCY_MS = 20.0
FAR_PENALTY = 1.5
EJECT_AFTER_FAILURES = 3
EJECT_BASE_MS = 1000
EJECT_MAX_MS = 30_000
MAX_EJECTED_FRACTION = 0.5


@dataclass(eq=False)
class Backend:
    """Hold one backend server as this gateway sees it."""

    url: str
    worker: str
    near: bool
    in_flight: int = 0
    latency_ms: float = INITIAL_LATENCY_MS
    failures: int = 0
    ejections: int = 0
    ejected_until_ms: int = 0
    leaving: bool = False

    def cost(self) -> float:
        """Return the expected wait of one more request."""
        cost = self.latency_ms * (self.in_flight + 1)
        return cost if self.near else cost * FAR_PENALTY


class RoutingTable:
    """Hold the backend servers of one service."""

    def __init__(self, failure_domain: str, rng: random.Random) -> None:
        self._domain = failure_domain
        self._rng = rng
        self._backends: dict[str, Backend] = {}
        self.in_flight_cap = 1

    def __len__(self) -> int:
        return len(self._backends)

    def __iter__(self) -> Iterator[Backend]:
        return iter(self._backends.values())

    def update(self, entries: Iterable[BackendEntry]) -> None:
        """Take the instance list in; a server once seen leaving does not come back by it."""
        listed = {}
        for entry in entries:
            known = self._backends.get(entry.url)
            if known is None:
                known = Backend(entry.url, entry.worker, entry.failure_domain == self._domain)
            known.leaving = known.leaving or entry.leaving
            listed[entry.url] = known
        self._backends = listed

    def mark_leaving(self, url: str) -> bool:
        """Stop to send new requests to a server; return whether this was news."""
        backend = self._backends.get(url)
        if backend is None or backend.leaving:
            return False
        backend.leaving = True
        return True

    def choose(self, now_ms: int, avoid: Collection[str] = ()) -> Backend | None:
        """Return the server for a request, or None if none has room."""
        open_ones = [
            backend
            for backend in self._backends.values()
            if not backend.leaving
            and backend.in_flight < self.in_flight_cap
            and backend.url not in avoid
        ]
        healthy = [backend for backend in open_ones if backend.ejected_until_ms <= now_ms]
        candidates = healthy or open_ones
        near = [backend for backend in candidates if backend.near]
        return self._better_of_two(near or candidates)

    def _better_of_two(self, candidates: list[Backend]) -> Backend | None:
        if not candidates:
            return None
        if len(candidates) == 1:
            return candidates[0]
        first, second = self._rng.sample(candidates, 2)
        return first if first.cost() <= second.cost() else second

    def record_answer(self, backend: Backend, latency_ms: float) -> None:
        """Note an answer."""
        backend.latency_ms += LATENCY_WEIGHT * (latency_ms - backend.latency_ms)
        backend.failures = 0
        backend.ejections = 0

    def record_failure(self, backend: Backend, now_ms: int) -> bool:
        """Note a failure; return whether the server was ejected for it."""
        backend.failures += 1
        if backend.failures < EJECT_AFTER_FAILURES or backend.ejected_until_ms > now_ms:
            return False
        ejected = sum(1 for b in self._backends.values() if b.ejected_until_ms > now_ms)
        if ejected + 1 > len(self._backends) * MAX_EJECTED_FRACTION:
            return False
        span_ms = min(EJECT_BASE_MS << min(backend.ejections, 10), EJECT_MAX_MS)
        backend.ejected_until_ms = now_ms + span_ms
        backend.ejections += 1
        return True
