"""Publish configuration documents to the trial or the production environment.

If two operators publish at once, the record with the lower offset in the log is accepted and the
other one is not.
"""

from __future__ import annotations

import asyncio
import uuid
from dataclasses import dataclass

import msgspec
from result import Err, Ok, Result

from greengagewood.internal.clock import monotonic_ms, wall_ms
from greengagewood.internal.confighistory import AcceptedConfig, ConfigHistory
from greengagewood.internal.document import document_digest
from greengagewood.internal.native.logservice import (
    AppendOutcomeUnknown,
    LogService,
    LogUnavailable,
    NewRecord,
)
from greengagewood.internal.records import (
    ConfigPublished,
    ConfigSnapshot,
    StreamNames,
    decode_record,
    encode_record,
)

__all__ = ["AcceptedDocument", "HistoryEntry", "Publisher"]

MAX_RECORDS_PER_READ = 1000
APPEND_TIMEOUT_S = 3.0
RETRY_DELAY_S = 0.3


@dataclass(frozen=True)
class HistoryEntry:
    """Describe a published document: its record in the log, and the outcome."""

    offset: int
    digest: str
    operator: str
    at_ms: int
    outcome: str


@dataclass(frozen=True)
class AcceptedDocument:
    """Identify a document that was accepted."""

    offset: int
    digest: str


class Publisher:
    """Append documents to the configuration streams of an environment and read them."""

    def __init__(self, log: LogService, environment: str) -> None:
        self._log = log
        self._environment = environment

    def _stream_name(self, stage: str) -> str:
        return StreamNames(self._environment, stage).config

    async def history(self, stage: str) -> tuple[ConfigHistory, list[HistoryEntry]]:
        """Replay the configuration stream of a stage, and return it and its entries.

        Raise LogUnavailable.
        """
        stream_name = self._stream_name(stage)
        history = ConfigHistory(self._environment)
        entries: list[HistoryEntry] = []
        cursor = 1
        while True:
            batch = (await self._log.read({stream_name: cursor}, 0, MAX_RECORDS_PER_READ))[
                stream_name
            ]
            if batch.first_offset > cursor:
                history.lose_sync()
                cursor = batch.first_offset
            for stored in batch.records:
                cursor = stored.offset + 1
                record = decode_record(stored.body)
                if isinstance(record, ConfigSnapshot):
                    history.adopt(record.offset, record.digest, record.text)
                if isinstance(record, ConfigPublished):
                    outcome = history.replay(stored.offset, record)
                    entries.append(
                        HistoryEntry(
                            stored.offset, record.digest, record.operator, record.at_ms, outcome
                        )
                    )
            if cursor >= batch.end_offset or not batch.records:
                return history, entries

    async def accepted(self, stage: str) -> AcceptedConfig | None:
        """Return the accepted configuration of a stage; raise LogUnavailable."""
        history, _ = await self.history(stage)
        return history.accepted

    async def publish(
        self, stage: str, text: str, operator: str, timeout_s: float
    ) -> Result[AcceptedDocument, str]:
        """Append a document and return it if it was accepted, else an error message.

        Raise LogUnavailable or AppendOutcomeUnknown.
        """
        history, _ = await self.history(stage)
        if not history.synced:
            return Err("the log no longer has the document in force; wait for a keeper's snapshot")
        digest = document_digest(text)
        if history.accepted is not None and history.accepted.digest == digest:
            return Ok(AcceptedDocument(history.accepted_offset, digest))
        record = ConfigPublished(digest, text, history.accepted_offset, operator, wall_ms())
        new_record = NewRecord(uuid.uuid4().hex, msgspec.Raw(encode_record(record)))
        await self._append(stage, new_record, timeout_s)
        return await self._read_outcome(stage, record)

    async def _append(self, stage: str, new_record: NewRecord, timeout_s: float) -> None:
        """Append a record; retry with the same id until the log confirms it or time is up."""
        deadline_ms = monotonic_ms() + int(timeout_s * 1000)
        while True:
            try:
                await self._log.append(self._stream_name(stage), [new_record], APPEND_TIMEOUT_S)
            except (LogUnavailable, AppendOutcomeUnknown):
                if monotonic_ms() >= deadline_ms:
                    raise
                await asyncio.sleep(RETRY_DELAY_S)
            else:
                return

    async def _read_outcome(
        self, stage: str, record: ConfigPublished
    ) -> Result[AcceptedDocument, str]:
        _, entries = await self.history(stage)
        own_entries = [e for e in entries if e.digest == record.digest and e.at_ms == record.at_ms]
        accepted_entry = next((entry for entry in own_entries if entry.outcome == "accepted"), None)
        if accepted_entry is not None:
            return Ok(AcceptedDocument(accepted_entry.offset, accepted_entry.digest))
        conflict = next(
            (e for e in entries if e.outcome == "accepted" and e.offset > record.based_on), None
        )
        if conflict is None:
            return Err(
                f"not accepted: {own_entries[-1].outcome if own_entries else 'not in the log'}"
            )
        return Err(
            f"operator {conflict.operator!r} was first: digest {conflict.digest[:12]} is in force "
            f"since offset {conflict.offset}; check `ggwctl history` and try again"
        )
