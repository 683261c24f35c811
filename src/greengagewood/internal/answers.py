"""Store answers for callers that repeat a request with the same idempotency key."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from dataclasses import dataclass, field

from greengagewood.internal.messages import StoredAnswer
from greengagewood.internal.verdict import Refusal

__all__ = ["AnswerStore", "AttemptEntry"]

MAX_ENTRIES = 20_000
MAX_TOTAL_BYTES = 32 * 1024 * 1024
MAX_ANSWER_BYTES = 1024 * 1024

Outcome = StoredAnswer | Refusal


@dataclass(eq=False)
class AttemptEntry:
    """Hold one attempt to run a request and, once it has finished, its outcome.

    A finished attempt without an outcome has an answer that is not stored.
    """

    attempt: str
    finished: asyncio.Event = field(default_factory=asyncio.Event)
    outcome: Outcome | None = None

    async def wait(self, timeout_s: float) -> bool:
        """Wait for the outcome; return whether the attempt has finished."""
        try:
            async with asyncio.timeout(timeout_s):
                await self.finished.wait()
        except TimeoutError:
            return False
        return True


def _body_bytes(outcome: Outcome | None) -> int:
    return len(outcome.body) if isinstance(outcome, StoredAnswer) else 0


class AnswerStore:
    """Store the latest attempt of each key, within limits of number and size.

    The oldest finished attempts are dropped first. An attempt that is missing here may have run.
    """

    def __init__(self) -> None:
        self._entries: OrderedDict[str, AttemptEntry] = OrderedDict()
        self._total_bytes = 0

    def begin(self, key: str, attempt: str) -> AttemptEntry:
        """Add an attempt that is in progress, in place of an earlier one of its key."""
        replaced = self._entries.pop(key, None)
        if replaced is not None:
            self._total_bytes -= _body_bytes(replaced.outcome)
        entry = AttemptEntry(attempt)
        self._entries[key] = entry
        return entry

    def finish(self, key: str, entry: AttemptEntry, outcome: Outcome | None) -> None:
        """Set an attempt's outcome, or None if its answer is not stored."""
        if isinstance(outcome, StoredAnswer) and len(outcome.body) > MAX_ANSWER_BYTES:
            outcome = None
        entry.outcome = outcome
        entry.finished.set()
        if self._entries.get(key) is entry:
            self._total_bytes += _body_bytes(outcome)
        self._drop_oldest()

    def find(self, key: str, attempt: str) -> AttemptEntry | None:
        """Return the entry of an attempt, if it is the latest of its key."""
        entry = self._entries.get(key)
        return entry if entry is not None and entry.attempt == attempt else None

    def contains(self, key: str) -> bool:
        """Return whether there is an attempt of a key."""
        return key in self._entries

    def discard(self, key: str, entry: AttemptEntry) -> None:
        """Remove an attempt because another one holds its key."""
        if self._entries.get(key) is entry:
            del self._entries[key]

    def _drop_oldest(self) -> None:
        for key, entry in list(self._entries.items()):
            if len(self._entries) <= MAX_ENTRIES and self._total_bytes <= MAX_TOTAL_BYTES:
                return
            if entry.finished.is_set():
                del self._entries[key]
                self._total_bytes -= _body_bytes(entry.outcome)
