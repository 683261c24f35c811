"""Replay of the key stream: which attempt holds an idempotency key.

The claim with the lowest offset holds the key until it is released by its holder, which does so
only for a request that certainly was not run. Claims are forgotten after the horizon; the log
keeps them for as long, so every reader forgets at about the same age. A caller that repeats a key
later than that is told in the documentation that the key is new again.
"""

from __future__ import annotations

from collections import OrderedDict

from greengagewood.internal.records import KeyClaimed, KeyReleased

__all__ = ["KeyClaims"]

MAX_KEYS = 200_000


class KeyClaims:
    """Keep the attempt that holds each key."""

    def __init__(self) -> None:
        self._held: OrderedDict[str, KeyClaimed] = OrderedDict()

    def replay(self, record: KeyClaimed | KeyReleased) -> None:
        """Take a record in."""
        held = self._held.get(record.key)
        if isinstance(record, KeyClaimed):
            if held is None:
                self._held[record.key] = record
                if len(self._held) > MAX_KEYS:
                    self._held.popitem(last=False)
        elif held is not None and held.attempt == record.attempt:
            del self._held[record.key]

    def holder(self, key: str) -> KeyClaimed | None:
        """Return the claim that holds a key."""
        return self._held.get(key)

    def __len__(self) -> int:
        return len(self._held)
