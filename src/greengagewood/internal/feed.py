"""What the keeper tells the gateway and the scheduler of its instance, as observables."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from reactivex.subject import BehaviorSubject, Subject
from result import Ok

from greengagewood.internal.clock import monotonic_ms
from greengagewood.internal.confighistory import AcceptedConfig
from greengagewood.internal.document import parse_document
from greengagewood.internal.link import Link, LinkTimeout
from greengagewood.internal.messages import (
    BackendEntry,
    CellLoad,
    ConfigCopy,
    Member,
    SyncReply,
    SyncRequest,
    WorkerEntry,
)
from greengagewood.internal.metrics import Metrics
from greengagewood.internal.records import AnyRecord, decode_record

__all__ = ["ClusterStatus", "Feed"]

SYNC_WAIT_MS = 800
SYNC_TIMEOUT_S = 2.0


@dataclass(frozen=True)
class ClusterStatus:
    """Hold what the keeper last said; times are of the own monotonic clock.

    Ages count from when the question was sent, not from when the answer was read, so a process
    that was paused does not take an old answer for a fresh one.
    """

    members: dict[str, tuple[Member, int]] = field(default_factory=dict)
    acked_heartbeat_sent_ms: dict[str, int] = field(default_factory=dict)
    log_confirmed_ms: int | None = None
    log_writable: bool = False


@dataclass(frozen=True)
class ReplayedRecord:
    """Hold one record of a stream."""

    stream: str
    offset: int
    record: AnyRecord


class Feed:
    """Ask the keeper for what is new, and publish it."""

    def __init__(
        self,
        role: str,
        link: Link,
        metrics: Metrics,
        cells: Callable[[], tuple[CellLoad, ...]] | None = None,
    ) -> None:
        self._role = role
        self._link = link
        self._metrics = metrics
        self._cells = cells
        self._members_version = 0
        self._list_version = 0
        self._cursors: dict[str, int] = {}
        self.config: BehaviorSubject[AcceptedConfig | None] = BehaviorSubject(None)
        self.cluster_status: BehaviorSubject[ClusterStatus] = BehaviorSubject(ClusterStatus())
        self.records: Subject[ReplayedRecord] = Subject()
        self.gaps: Subject[str] = Subject()
        self.workers: BehaviorSubject[tuple[WorkerEntry, ...]] = BehaviorSubject(())
        self.backends: BehaviorSubject[tuple[BackendEntry, ...]] = BehaviorSubject(())

    def follow(self, stream: str) -> None:
        """Publish the records of a stream from its beginning."""
        self._cursors.setdefault(stream, 1)

    async def step(self) -> None:
        """Ask once and publish the answer."""
        sent_ms = monotonic_ms()
        accepted = self.config.value
        req = SyncRequest(
            role=self._role,
            config_offset=accepted.offset if accepted else 0,
            members_version=self._members_version,
            list_version=self._list_version,
            cursors=dict(self._cursors),
            wait_ms=SYNC_WAIT_MS,
            owned_cells=self._cells() if self._cells else None,
        )
        try:
            reply = await self._link.request(req, SYNC_TIMEOUT_S)
        except LinkTimeout:
            self._metrics.count("sync_timeouts")
            return
        if isinstance(reply, SyncReply):
            self._publish(reply, sent_ms, frozenset(req.cursors))
        else:
            await asyncio.sleep(0.2)

    def _publish(self, reply: SyncReply, sent_ms: int, asked: frozenset[str]) -> None:
        if reply.config is not None:
            self._publish_config(reply.config)
        if reply.workers is not None:
            self.workers.on_next(reply.workers)
        if reply.backends is not None:
            self.backends.on_next(reply.backends)
        self._list_version = reply.list_version
        for stream, records in reply.records.items():
            if reply.first_offsets[stream] > self._cursors[stream]:
                self._cursors[stream] = reply.first_offsets[stream]
                self.gaps.on_next(stream)
            for stored in records:
                self._cursors[stream] = stored.offset + 1
                record = decode_record(stored.body)
                if record is None:
                    self._metrics.count("records_dropped", reason="undecodable")
                else:
                    self.records.on_next(ReplayedRecord(stream, stored.offset, record))
        self._members_version = reply.members_version
        self.cluster_status.on_next(self._read_status(reply, sent_ms, asked))

    def _read_status(self, reply: SyncReply, sent_ms: int, asked: frozenset[str]) -> ClusterStatus:
        complete = reply.reached_end and asked == self._cursors.keys() == reply.records.keys()
        confirmed = self.cluster_status.value.log_confirmed_ms
        if complete and reply.log_read_age_ms >= 0:
            confirmed = max(confirmed or 0, sent_ms - reply.log_read_age_ms)
        return ClusterStatus(
            members={m.instance: (m, sent_ms - age) for m, age in reply.members},
            acked_heartbeat_sent_ms={
                name: sent_ms - age for name, age in reply.confirmed_ages_ms.items()
            },
            log_confirmed_ms=confirmed,
            log_writable=reply.log_writable,
        )

    def _publish_config(self, copy: ConfigCopy) -> None:
        current = self.config.value
        if current is not None and copy.offset <= current.offset:
            return
        parsed = parse_document(copy.text)
        if isinstance(parsed, Ok):
            accepted = AcceptedConfig(copy.offset, copy.digest, copy.text, parsed.ok_value)
            self.config.on_next(accepted)
        else:
            self._metrics.count("config_records", outcome="invalid")
