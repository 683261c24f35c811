"""Answers that a gateway keeps for callers who repeat an idempotency key."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from dataclasses import dataclass, field

from greengagewood.internal.messages import StoredAnswer
from greengagewood.internal.verdict import Refusal

__all__ = ["AnswerStore", "AttemptEntry"]

MAX_ANSWERS = 20_000
MAX_BYTES = 32 * 1024 * 1024
MAX_ANSWER_BYTES = 1024 * 1024

Outcome = StoredAnswer | Refusal


@dataclass(eq=False)
class AttemptEntry:
    """Hold the outcome of one attempt, once there is one."""

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


def _weight(outcome: Outcome | None) -> int:
    return len(outcome.body) if isinstance(outcome, StoredAnswer) else 0


class AnswerStore:
    """Keep the newest answers within bounds; what was dropped is unknown, not un-run."""

    def __init__(self) -> None:
        self._kept: OrderedDict[str, AttemptEntry] = OrderedDict()
        self._bytes = 0

    def begin(self, key: str, attempt: str) -> AttemptEntry:
        """Note that an attempt holds a key and is in progress."""
        old = self._kept.pop(key, None)
        if old is not None:
            self._bytes -= _weight(old.outcome)
        kept = AttemptEntry(attempt)
        self._kept[key] = kept
        return kept

    def finish(self, key: str, kept: AttemptEntry, outcome: Outcome | None) -> None:
        """Note how an attempt came out; None if the answer is not kept."""
        if isinstance(outcome, StoredAnswer) and len(outcome.body) > MAX_ANSWER_BYTES:
            outcome = None
        kept.outcome = outcome
        kept.finished.set()
        if self._kept.get(key) is kept:
            self._bytes += _weight(outcome)
        self._shrink()

    def find(self, key: str, attempt: str) -> AttemptEntry | None:
        """Return what is kept of an attempt."""
        kept = self._kept.get(key)
        return kept if kept is not None and kept.attempt == attempt else None

    def contains(self, key: str) -> bool:
        """Tell whether something is kept of a key."""
        return key in self._kept

    def discard(self, key: str, kept: AttemptEntry) -> None:
        """Forget an attempt that does not hold its key after all."""
        if self._kept.get(key) is kept:
            del self._kept[key]

    def _shrink(self) -> None:
        for key, kept in list(self._kept.items()):
            if len(self._kept) <= MAX_ANSWERS and self._bytes <= MAX_BYTES:
                return
            if kept.finished.is_set():
                del self._kept[key]
                self._bytes -= _weight(kept.outcome)
