"""Replay of the configuration stream: which document is accepted.

A record is accepted only if it names the offset that was accepted before it. So of two operators
who race, the one whose record has the lower offset wins, the same at every reader, and a reader
never goes back to an older offset.
"""

from __future__ import annotations

from dataclasses import dataclass

from result import Err

from greengagewood.internal.document import Document, digest_of, parse_document
from greengagewood.internal.records import ConfigPublished

__all__ = ["Accepted", "ConfigHistory"]


@dataclass(frozen=True)
class Accepted:
    """Hold an accepted document with the offset of its record; offset 0 is none."""

    offset: int
    digest: str
    text: str
    document: Document


class ConfigHistory:
    """Keep the accepted configuration."""

    def __init__(self, environment: str) -> None:
        self._environment = environment
        self.accepted: Accepted | None = None

    @property
    def offset(self) -> int:
        """Return the accepted offset, 0 if there is none."""
        return self.accepted.offset if self.accepted else 0

    def replay(self, offset: int, record: ConfigPublished) -> str:
        """Take a record in; return "accepted" or the reason why it is not."""
        if offset <= self.offset:
            return "older"
        if record.based_on != self.offset:
            return "raced"
        return self._accept(offset, record.digest, record.text)

    def adopt(self, offset: int, digest: str, text: str) -> str:
        """Take an accepted configuration over from a peer or a snapshot, never an older one."""
        if offset <= self.offset:
            return "older"
        return self._accept(offset, digest, text)

    def _accept(self, offset: int, digest: str, text: str) -> str:
        if digest_of(text) != digest:
            return "wrong_digest"
        parsed = parse_document(text)
        if isinstance(parsed, Err):
            return "invalid"
        if parsed.ok_value.environment != self._environment:
            return "other_environment"
        self.accepted = Accepted(offset, digest, text, parsed.ok_value)
        return "accepted"
