"""Track which attempt holds each idempotency key by replaying the key stream.

The claim with the lowest offset holds the key until its holder releases it, which the holder does
only if the request certainly did not run.

Claims are not kept for ever: a reader keeps at most MAX_KEYS of them, and one that starts finds
only those that the log still retains, so all readers forget a claim at about the same age. The
documentation tells callers that a key which is repeated later than that counts as new.
"""

from __future__ import annotations

from collections import OrderedDict

from greengagewood.internal.records import KeyClaimed, KeyReleased

__all__ = ["KeyClaims"]

MAX_KEYS = 200_000


class KeyClaims:
    """Keep, for each key, the claim that holds it."""

    def __init__(self) -> None:
        self._claims: OrderedDict[str, KeyClaimed] = OrderedDict()

    def replay(self, record: KeyClaimed | KeyReleased) -> None:
        """Apply the next record of the key stream."""
        claim = self._claims.get(record.key)
        if isinstance(record, KeyClaimed):
            if claim is None:
                self._claims[record.key] = record
                if len(self._claims) > MAX_KEYS:
                    self._claims.popitem(last=False)
        elif claim is not None and claim.attempt == record.attempt:
            del self._claims[record.key]

    def holding_claim(self, key: str) -> KeyClaimed | None:
        """Return the claim that holds a key, or None if the key is free."""
        return self._claims.get(key)

    def __len__(self) -> int:
        return len(self._claims)
