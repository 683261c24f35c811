"""Replay of the configuration stream: which document is accepted.

A record is accepted only if it names the offset that was accepted before it. So of two operators
who race, the one whose record has the lower offset wins, the same at every reader, and a reader
never goes back to an older offset.

A reader whose beginning the log has forgotten cannot judge the records it reads: it keeps them
until a snapshot or a peer tells it what was accepted, and judges those that came after.
"""

from __future__ import annotations

from dataclasses import dataclass

from result import Err

from greengagewood.internal.document import Document, digest_of, parse_document
from greengagewood.internal.records import ConfigPublished

__all__ = ["AcceptedConfig", "ConfigHistory"]


@dataclass(frozen=True)
class AcceptedConfig:
    """Hold an accepted document with the offset of its record; offset 0 is none."""

    offset: int
    digest: str
    text: str
    document: Document


class ConfigHistory:
    """Keep the accepted configuration."""

    def __init__(self, environment: str) -> None:
        self._environment = environment
        self.accepted: AcceptedConfig | None = None
        self.synced = True
        self._kept: list[tuple[int, ConfigPublished]] = []

    @property
    def accepted_offset(self) -> int:
        """Return the accepted offset, 0 if there is none."""
        return self.accepted.offset if self.accepted else 0

    def replay(self, offset: int, record: ConfigPublished) -> str:
        """Take a record in; return "accepted" or the reason why it is not."""
        if offset <= self.accepted_offset:
            return "older"
        if not self.synced:
            self._kept.append((offset, record))
            return "kept"
        if record.based_on != self.accepted_offset:
            return "raced"
        return self._accept(offset, record.digest, record.text)

    def lose_sync(self) -> None:
        """Note that records were missed; what is accepted stays in force meanwhile."""
        self.synced = False

    def adopt(self, offset: int, digest: str, text: str) -> str:
        """Take an accepted configuration over from a peer or a snapshot, never an older one."""
        if offset < self.accepted_offset:
            return "older"
        outcome = "older" if offset == self.accepted_offset else self._accept(offset, digest, text)
        if offset == self.accepted_offset:
            self.synced = True
            kept, self._kept = self._kept, []
            for at, record in kept:
                if self.replay(at, record) == "accepted":
                    outcome = "accepted"
        return outcome

    def _accept(self, offset: int, digest: str, text: str) -> str:
        if digest_of(text) != digest:
            return "wrong_digest"
        parsed = parse_document(text)
        if isinstance(parsed, Err):
            return "invalid"
        if parsed.ok_value.environment != self._environment:
            return "other_environment"
        self.accepted = AcceptedConfig(offset, digest, text, parsed.ok_value)
        return "accepted"
