"""Publish documents: try one in the trial environment, promote what is in force there."""

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
    AppendUnknown,
    LogDown,
    LogService,
    NewRecord,
)
from greengagewood.internal.records import (
    ConfigPublished,
    ConfigSnapshot,
    StreamNames,
    decode_record,
    encode_record,
)

__all__ = ["HistoryEntry", "Published", "Publisher"]

READ_LIMIT = 1000
APPEND_TIMEOUT_S = 3.0
RETRY_S = 0.3


@dataclass(frozen=True)
class HistoryEntry:
    """Hold one record of the configuration stream and what became of it."""

    offset: int
    digest: str
    operator: str
    at_ms: int
    outcome: str


@dataclass(frozen=True)
class Published:
    """Hold the outcome of a publication that won."""

    offset: int
    digest: str


class Publisher:
    """Read and append to the configuration streams of one environment."""

    def __init__(self, log: LogService, environment: str) -> None:
        self._log = log
        self._environment = environment

    def _stream(self, stage: str) -> str:
        return StreamNames(self._environment, stage).config

    async def history(self, stage: str) -> tuple[ConfigHistory, list[HistoryEntry]]:
        """Replay the configuration stream of a stage; raise LogDown."""
        stream = self._stream(stage)
        history = ConfigHistory(self._environment)
        entries: list[HistoryEntry] = []
        cursor = 1
        while True:
            batch = (await self._log.read({stream: cursor}, 0, READ_LIMIT))[stream]
            if batch.first > cursor:
                history.lose_sync()
                cursor = batch.first
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
            if cursor >= batch.end or not batch.records:
                return history, entries

    async def accepted(self, stage: str) -> AcceptedConfig | None:
        """Return what is accepted in a stage; raise LogDown."""
        history, _ = await self.history(stage)
        return history.accepted

    async def publish(
        self, stage: str, text: str, operator: str, timeout_s: float
    ) -> Result[Published, str]:
        """Append a document and report whether it won; raise LogDown."""
        history, _ = await self.history(stage)
        if not history.synced:
            return Err("the log has forgotten what is in force; wait for a keeper's snapshot")
        digest = document_digest(text)
        if history.accepted is not None and history.accepted.digest == digest:
            return Ok(Published(history.accepted_offset, digest))
        record = ConfigPublished(digest, text, history.accepted_offset, operator, wall_ms())
        new = NewRecord(uuid.uuid4().hex, msgspec.Raw(encode_record(record)))
        await self._append(stage, new, timeout_s)
        return await self._outcome(stage, record)

    async def _append(self, stage: str, new: NewRecord, timeout_s: float) -> None:
        """Append a record, again with the same id while the answer is lost."""
        deadline_ms = monotonic_ms() + int(timeout_s * 1000)
        while True:
            try:
                await self._log.append(self._stream(stage), [new], APPEND_TIMEOUT_S)
            except (LogDown, AppendUnknown):
                if monotonic_ms() >= deadline_ms:
                    raise
                await asyncio.sleep(RETRY_S)
            else:
                return

    async def _outcome(self, stage: str, record: ConfigPublished) -> Result[Published, str]:
        _, entries = await self.history(stage)
        mine = [e for e in entries if e.digest == record.digest and e.at_ms == record.at_ms]
        won = next((entry for entry in mine if entry.outcome == "accepted"), None)
        if won is not None:
            return Ok(Published(won.offset, won.digest))
        winner = next(
            (e for e in entries if e.outcome == "accepted" and e.offset > record.based_on), None
        )
        if winner is None:
            return Err(f"not accepted: {mine[-1].outcome if mine else 'not in the log'}")
        return Err(
            f"operator {winner.operator!r} was first: digest {winner.digest[:12]} is in force "
            f"since offset {winner.offset}; look at it with `ggwctl history` and try again"
        )
