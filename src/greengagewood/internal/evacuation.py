"""Orders of operators that nothing more is started on the workers of a failure domain.

The load is a failure domain that is about to be serviced or is failing, and its wish to be empty
soon. An order never stops a run: a stop costs the callers of the run more than staying. See
docs/design/evacuation.md.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Evacuations"]

# An order must be obeyed 5,000 ms after the store has acknowledged it. A new owner may not know the
# orders acknowledged since its last read. The rest of the bound is for its next read, which takes
# 1,800 ms if it finds a dead connection.
MAX_AGE_AT_TERM_START_MS = 3_000
# With an unstable store, an order must be obeyed after 11,000 ms. Other data are read every 500 ms,
# and a start may take 1,500 ms to reach its worker.
MAX_LAG_MS = 9_000


@dataclass(frozen=True, slots=True)
class Evacuations:
    """The failure domains on whose workers nothing may be started.

    They are those of all records below `offset` of the operators' log. `read_ms` is when the last
    read that reached the end of the log was sent, on the monotonic clock of this process.
    """

    domains: frozenset[str]
    offset: int
    read_ms: int

    def may_begin_term(self, now_ms: int) -> bool:
        """Return whether a new owner may start tasks with these orders as its first ones."""
        return now_ms - self.read_ms <= MAX_AGE_AT_TERM_START_MS

    def lags_behind(self, store_read_ms: int) -> bool:
        """Return whether other data were read from the store so much later than these orders.

        Then the store can be reached, and orders may be in force that were not read. If the store
        cannot be reached, the last orders stay in force however old they are.
        """
        return store_read_ms - self.read_ms > MAX_LAG_MS
