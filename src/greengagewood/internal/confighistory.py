"""Replay of the configuration stream: which document is accepted.

A record is accepted only if its `based_on` is the offset accepted before it. So if two operators
publish concurrently, the record with the lower offset wins at every reader, and a reader never goes
back to an older offset.

If the log no longer has the records that a reader would need first, the reader cannot decide about
those that it reads: it keeps them until a snapshot or a peer tells it what was accepted, and then
replays those with a higher offset.
"""

from __future__ import annotations

from dataclasses import dataclass

from result import Err

from greengagewood.internal.document import Document, document_digest, parse_document
from greengagewood.internal.records import ConfigPublished

__all__ = ["AcceptedConfig", "ConfigHistory"]


@dataclass(frozen=True)
class AcceptedConfig:
    """Hold an accepted document with the offset of its record."""

    offset: int
    digest: str
    text: str
    document: Document


class ConfigHistory:
    """Decide which configuration is accepted, and keep it."""

    def __init__(self, environment: str) -> None:
        self._environment = environment
        self.accepted: AcceptedConfig | None = None
        self.synced = True
        self._pending: list[tuple[int, ConfigPublished]] = []

    @property
    def accepted_offset(self) -> int:
        """Return the offset of the accepted configuration, 0 if there is none."""
        return self.accepted.offset if self.accepted else 0

    def replay(self, offset: int, record: ConfigPublished) -> str:
        """Apply the next record; return "accepted" or why it was not accepted."""
        if offset <= self.accepted_offset:
            return "older"
        if not self.synced:
            self._pending.append((offset, record))
            return "kept"
        if record.based_on != self.accepted_offset:
            return "raced"
        return self._accept(offset, record.digest, record.text)

    def lose_sync(self) -> None:
        """Note that records were missed; the accepted configuration stays in force meanwhile."""
        self.synced = False

    def adopt(self, offset: int, digest: str, text: str) -> str:
        """Adopt an accepted configuration from a peer or a snapshot unless it is older."""
        if offset < self.accepted_offset:
            return "older"
        outcome = "older" if offset == self.accepted_offset else self._accept(offset, digest, text)
        if offset == self.accepted_offset:
            self.synced = True
            pending, self._pending = self._pending, []
            for pending_offset, record in pending:
                if self.replay(pending_offset, record) == "accepted":
                    outcome = "accepted"
        return outcome

    def _accept(self, offset: int, digest: str, text: str) -> str:
        if document_digest(text) != digest:
            return "wrong_digest"
        parsed = parse_document(text)
        if isinstance(parsed, Err):
            return "invalid"
        if parsed.ok_value.environment != self._environment:
            return "other_environment"
        self.accepted = AcceptedConfig(offset, digest, text, parsed.ok_value)
        return "accepted"
