"""Publish configuration documents, and order evacuations, in the trial or production environment.

If two operators publish at once, the record with the lower offset in the log is accepted and the
other one is not. Of two orders for one failure domain, the one with the higher offset counts.
"""

from __future__ import annotations

import asyncio
import uuid
from dataclasses import dataclass, field

import msgspec
from result import Err, Ok, Result

from greengagewood.internal.clock import monotonic_ms, wall_ms
from greengagewood.internal.confighistory import AcceptedConfig, ConfigHistory
from greengagewood.internal.document import document_digest
from greengagewood.internal.evacuationorders import EvacuationOrders
from greengagewood.internal.native.logservice import (
    AppendOutcomeUnknown,
    LogService,
    LogUnavailable,
    NewRecord,
)
from greengagewood.internal.records import (
    ConfigPublished,
    ConfigSnapshot,
    EvacuationOrder,
    EvacuationOrdered,
    EvacuationsSnapshot,
    StoredRecord,
    StreamNames,
    decode_record,
    encode_record,
)

__all__ = ["AcceptedDocument", "HistoryEntry", "Publisher", "StreamState"]

MAX_RECORDS_PER_READ = 1000
APPEND_TIMEOUT_S = 3.0
RETRY_DELAY_S = 0.3
LOOKUP_TIMEOUT_S = 5.0  # for an order whose append got no answer


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


@dataclass
class StreamState:
    """Hold what the configuration stream of a stage says.

    `order_offsets` has the offset of each order to evacuate a failure domain, by its record's id.
    """

    history: ConfigHistory
    orders: EvacuationOrders = field(default_factory=EvacuationOrders)
    entries: list[HistoryEntry] = field(default_factory=list)
    order_offsets: dict[str, int] = field(default_factory=dict)

    def apply(self, stored: StoredRecord) -> None:
        """Apply the next record of the stream."""
        record = decode_record(stored.body)
        match record:
            case ConfigSnapshot():
                self.history.adopt(record.offset, record.digest, record.text)
            case ConfigPublished():
                outcome = self.history.replay(stored.offset, record)
                self.entries.append(
                    HistoryEntry(
                        stored.offset, record.digest, record.operator, record.at_ms, outcome
                    )
                )
            case EvacuationsSnapshot():
                self.orders.adopt(record.orders, record.upto)
            case EvacuationOrdered():
                self.orders.replay(stored.offset, record)
                self.order_offsets[stored.id] = stored.offset


class Publisher:
    """Append documents and orders to the configuration streams of an environment and read them."""

    def __init__(self, log: LogService, environment: str) -> None:
        self._log = log
        self._environment = environment

    def _stream_name(self, stage: str) -> str:
        return StreamNames(self._environment, stage).config

    async def history(self, stage: str) -> tuple[ConfigHistory, list[HistoryEntry]]:
        """Return the history and the entries of a stage; raise LogUnavailable."""
        state = await self.read(stage)
        return state.history, state.entries

    async def read(self, stage: str) -> StreamState:
        """Replay the configuration stream of a stage; raise LogUnavailable."""
        stream_name = self._stream_name(stage)
        state = StreamState(ConfigHistory(self._environment))
        cursor = 1
        while True:
            batch = (await self._log.read({stream_name: cursor}, 0, MAX_RECORDS_PER_READ))[
                stream_name
            ]
            if batch.first_offset > cursor:
                state.history.lose_sync()
                state.orders.note_missing(batch.first_offset)
                cursor = batch.first_offset
            for stored in batch.records:
                cursor = stored.offset + 1
                state.apply(stored)
            reached_end = cursor >= batch.end_offset
            state.orders.note_read(cursor - 1, reached_end)
            if reached_end:
                return state
            if not batch.records:  # the newest document or order may be among those missing
                raise LogUnavailable(f"no records from offset {cursor} on, before the end")

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

    async def order(
        self, stage: str, domain: str, in_force: bool, operator: str, timeout_s: float
    ) -> EvacuationOrder | None:
        """Append an order to evacuate a failure domain, or its withdrawal.

        Return the newest order for the failure domain, which may be another operator's. An append
        whose answer was lost is looked for, but not repeated: a second copy could take effect after
        another operator's order. Raise LogUnavailable or AppendOutcomeUnknown.
        """
        record = EvacuationOrdered(domain, in_force, operator, wall_ms())
        new_record = NewRecord(uuid.uuid4().hex, msgspec.Raw(encode_record(record)))
        lost_answer = await self._append_once(stage, new_record, timeout_s)
        deadline_ms = monotonic_ms() + int(min(timeout_s, LOOKUP_TIMEOUT_S) * 1000)
        while True:
            try:
                state = await self.read(stage)
            except LogUnavailable:
                if monotonic_ms() >= deadline_ms:
                    raise
            else:
                if lost_answer is None or new_record.id in state.order_offsets:
                    return state.orders.newest(domain)
                if monotonic_ms() >= deadline_ms:
                    raise lost_answer
            await asyncio.sleep(RETRY_DELAY_S)

    async def _append_once(
        self, stage: str, new_record: NewRecord, timeout_s: float
    ) -> AppendOutcomeUnknown | None:
        """Append a record, and retry only what had no effect; return the error of a lost answer."""
        deadline_ms = monotonic_ms() + int(timeout_s * 1000)
        while True:
            try:
                await self._log.append(self._stream_name(stage), [new_record], APPEND_TIMEOUT_S)
            except AppendOutcomeUnknown as exc:
                return exc
            except LogUnavailable:
                if monotonic_ms() >= deadline_ms:
                    raise
                await asyncio.sleep(RETRY_DELAY_S)
            else:
                return None

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
