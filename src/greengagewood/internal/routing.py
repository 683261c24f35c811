"""Choose the backend server for each request, by the power of two choices.

This module does no I/O; its callers pass in the time and a random number generator. Of two random
backend servers, the one with the lower cost gets the request. The cost is the expected wait: the
smoothed latency times one more than the number of requests that this gateway has in flight there.
Backend servers of other failure domains are candidates only while none of the gateway's own
failure domain is available.

A backend server that fails several requests in a row is ejected for a time that doubles with each
ejection, but never more than half of them at once. A leaving backend server gets no new requests
after the first sign that it leaves: the instance list, its own answer, or a message from a peer.
Those of failure domains that operators evacuate get none either; their requests in progress finish.
"""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass

from greengagewood.internal.messages import BackendEntry

__all__ = ["Backend", "RoutingTable"]

LATENCY_EWMA_WEIGHT = 0.2
INITIAL_LATENCY_MS = 20.0
REMOTE_COST_FACTOR = 1.5  # for backend servers of other failure domains
FAILURES_TO_EJECT = 3
EJECTION_BASE_MS = 1000
EJECTION_MAX_MS = 30_000
MAX_EJECTED_FRACTION = 0.5


@dataclass(eq=False)
class Backend:
    """Hold what this gateway knows of one backend server; the fields are shown by /status."""

    url: str
    worker: str
    near: bool  # in the failure domain of this gateway
    in_flight: int = 0
    latency_ms: float = INITIAL_LATENCY_MS
    failures: int = 0  # since the last complete answer
    ejections: int = 0  # since the last complete answer
    ejected_until_ms: int = 0
    leaving: bool = False
    evacuated: bool = False  # operators evacuate its failure domain

    def cost(self) -> float:
        """Return the expected wait of one more request, higher in another failure domain."""
        cost = self.latency_ms * (self.in_flight + 1)
        return cost if self.near else cost * REMOTE_COST_FACTOR


class RoutingTable:
    """Hold the backend servers of one service and choose among them."""

    def __init__(self, failure_domain: str, rng: random.Random) -> None:
        self._failure_domain = failure_domain
        self._rng = rng
        self._backends: dict[str, Backend] = {}
        self.in_flight_cap = 1

    def __len__(self) -> int:
        return len(self._backends)

    def __iter__(self) -> Iterator[Backend]:
        return iter(self._backends.values())

    def update(
        self, entries: Iterable[BackendEntry], evacuated_domains: Collection[str] = ()
    ) -> None:
        """Apply the instance list, which may lag: a leaving backend server stays leaving."""
        listed = {}
        for entry in entries:
            known = self._backends.get(entry.url)
            if known is None:
                known = Backend(
                    entry.url, entry.worker, entry.failure_domain == self._failure_domain
                )
            known.leaving = known.leaving or entry.leaving
            known.evacuated = entry.failure_domain in evacuated_domains
            listed[entry.url] = known
        self._backends = listed

    def mark_leaving(self, url: str) -> bool:
        """Send no new requests to a backend server; return whether it was not leaving before."""
        backend = self._backends.get(url)
        if backend is None or backend.leaving:
            return False
        backend.leaving = True
        return True

    def all_evacuated(self) -> bool:
        """Return whether evacuations alone leave no backend server that takes requests."""
        staying = [backend for backend in self._backends.values() if not backend.leaving]
        return bool(staying) and all(backend.evacuated for backend in staying)

    def choose(self, now_ms: int, excluded_urls: Collection[str] = ()) -> Backend | None:
        """Return the backend server for a request, or None if none is available."""
        available = [
            backend
            for backend in self._backends.values()
            if not backend.leaving
            and not backend.evacuated
            and backend.in_flight < self.in_flight_cap
            and backend.url not in excluded_urls
        ]
        healthy = [backend for backend in available if backend.ejected_until_ms <= now_ms]
        candidates = healthy or available
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
        """Record a complete answer and its latency."""
        backend.latency_ms += LATENCY_EWMA_WEIGHT * (latency_ms - backend.latency_ms)
        backend.failures = 0
        backend.ejections = 0

    def record_failure(self, backend: Backend, now_ms: int) -> bool:
        """Record a failure; return whether it caused an ejection."""
        backend.failures += 1
        if backend.failures < FAILURES_TO_EJECT or backend.ejected_until_ms > now_ms:
            return False
        ejected = sum(1 for b in self._backends.values() if b.ejected_until_ms > now_ms)
        if ejected + 1 > len(self._backends) * MAX_EJECTED_FRACTION:
            return False
        duration_ms = min(EJECTION_BASE_MS << min(backend.ejections, 10), EJECTION_MAX_MS)
        backend.ejected_until_ms = now_ms + duration_ms
        backend.ejections += 1
        return True
