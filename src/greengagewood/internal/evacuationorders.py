"""Replay of the orders to evacuate failure domains: the newest one of each domain counts.

An order's place in the log decides which one is newest, so orders can be merged in any sequence,
from the log, from a snapshot or from a peer. If the log no longer has the first records, the reader
cannot know what they ordered until a snapshot or a peer's copy covers them.
"""

from __future__ import annotations

from collections.abc import Iterable

from greengagewood.internal.records import EvacuationOrder, EvacuationOrdered

__all__ = ["EvacuationOrders"]


class EvacuationOrders:
    """Keep the newest order for each failure domain, and up to which offset all are known."""

    def __init__(self) -> None:
        self._newest: dict[str, EvacuationOrder] = {}
        self._known_upto = 0  # every order up to this offset is known
        self._read_upto = 0
        self._missing_upto = 0  # the log had dropped the records up to this offset
        self.informed = False  # whether the log was read to its end, or a peer's copy was taken

    @property
    def known(self) -> bool:
        """Return whether every order that was in the log at the last read is known."""
        return self.informed and self._known_upto >= self._missing_upto

    @property
    def known_upto(self) -> int:
        """Return the offset up to which every order is known."""
        return self._known_upto

    @property
    def newest_offset(self) -> int:
        """Return the offset of the newest order, 0 if there is none."""
        return max((order.offset for order in self._newest.values()), default=0)

    def newest(self, domain: str) -> EvacuationOrder | None:
        """Return the newest order for a failure domain, in force or withdrawn."""
        return self._newest.get(domain)

    def all_newest(self) -> tuple[EvacuationOrder, ...]:
        """Return the newest order of each failure domain, sorted by its name."""
        return tuple(self._newest[domain] for domain in sorted(self._newest))

    def domains(self) -> frozenset[str]:
        """Return the failure domains whose evacuation is in force."""
        return frozenset(order.domain for order in self._newest.values() if order.in_force)

    def replay(self, offset: int, record: EvacuationOrdered) -> None:
        """Apply a record of the configuration stream."""
        order = EvacuationOrder(
            record.domain, offset, record.in_force, record.operator, record.at_ms
        )
        self.merge((order,))

    def merge(self, orders: Iterable[EvacuationOrder]) -> None:
        """Keep those orders that are newer than the known one of their failure domain."""
        for order in orders:
            known = self._newest.get(order.domain)
            if known is None or order.offset > known.offset:
                self._newest[order.domain] = order

    def note_missing(self, first_offset: int) -> None:
        """Note that the log starts at `first_offset`, beyond the next record to be read."""
        self._missing_upto = max(self._missing_upto, first_offset - 1)

    def note_read(self, upto: int, reached_end: bool) -> None:
        """Note that the stream was read up to an offset, and whether that was its end."""
        self._read_upto = max(self._read_upto, upto)
        if self._known_upto >= self._missing_upto:
            self._known_upto = max(self._known_upto, self._read_upto)
        self.informed = self.informed or reached_end

    def adopt(self, orders: Iterable[EvacuationOrder], upto: int) -> None:
        """Merge the orders of a reader that knew all of them up to an offset."""
        self.merge(orders)
        if upto >= self._missing_upto:
            self._known_upto = max(self._known_upto, self._read_upto, upto)

    def assume_complete(self) -> None:
        """Treat the orders found so far as all that there are."""
        self._known_upto = max(self._known_upto, self._read_upto, self._missing_upto)
