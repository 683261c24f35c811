"""The gateway's and the scheduler's view of the keeper's state, published as observables."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from reactivex.subject import BehaviorSubject, Subject
from result import Ok

from greengagewood.internal.clock import monotonic_ms
from greengagewood.internal.confighistory import AcceptedConfig
from greengagewood.internal.document import parse_document
from greengagewood.internal.evacuationorders import EvacuationOrders
from greengagewood.internal.link import Link, LinkTimeout
from greengagewood.internal.messages import (
    BackendEntry,
    CellLoad,
    ConfigCopy,
    EvacuationsCopy,
    Member,
    SyncReply,
    SyncRequest,
    WorkerEntry,
)
from greengagewood.internal.metrics import Metrics
from greengagewood.internal.records import AnyRecord, decode_record

__all__ = ["ClusterStatus", "EvacuationState", "Feed"]

SYNC_WAIT_MS = 800  # the longest time for which the keeper holds a request without news
SYNC_TIMEOUT_S = 2.0


@dataclass(frozen=True)
class ClusterStatus:
    """Hold the keeper's last answer, with times of this process's monotonic clock.

    Ages in the answer are subtracted from the time when the request was sent, not when the answer
    was read, so a process that was paused does not take an old answer for a fresh one.

    `members`: each instance, with the time when it was last heard of.
    `acked_heartbeat_sent_ms`: for each peer, when the last heartbeat that it acknowledged was sent.
    `log_confirmed_ms`: the time up to which all followed streams are known to have been read.
    """

    members: dict[str, tuple[Member, int]] = field(default_factory=dict)
    acked_heartbeat_sent_ms: dict[str, int] = field(default_factory=dict)
    log_confirmed_ms: int | None = None
    log_writable: bool = False


@dataclass(frozen=True)
class EvacuationState:
    """Hold the failure domains to evacuate.

    `known` says whether the keeper knows all orders that are in the log, and `offset` is that of
    the newest one.
    """

    known: bool = False
    domains: frozenset[str] = frozenset()
    offset: int = 0


@dataclass(frozen=True)
class ReplayedRecord:
    """Hold one record that was read from a stream."""

    stream: str
    offset: int
    record: AnyRecord


class Feed:
    """Poll the keeper for changes and publish them.

    `gaps` publishes a stream's name when records that were not read yet are gone from the keeper.
    """

    def __init__(
        self,
        role: str,
        link: Link,
        metrics: Metrics,
        owned_cells: Callable[[], tuple[CellLoad, ...]] | None = None,
    ) -> None:
        self._role = role
        self._link = link
        self._metrics = metrics
        self._owned_cells = owned_cells
        self._members_version = 0
        self._instance_list_version = 0
        self._evacuations_version = 0
        self._evacuation_orders = EvacuationOrders()
        self._cursors: dict[str, int] = {}
        self.config: BehaviorSubject[AcceptedConfig | None] = BehaviorSubject(None)
        self.evacuations: BehaviorSubject[EvacuationState] = BehaviorSubject(EvacuationState())
        self.cluster_status: BehaviorSubject[ClusterStatus] = BehaviorSubject(ClusterStatus())
        self.records: Subject[ReplayedRecord] = Subject()
        self.gaps: Subject[str] = Subject()
        self.workers: BehaviorSubject[tuple[WorkerEntry, ...]] = BehaviorSubject(())
        self.backends: BehaviorSubject[tuple[BackendEntry, ...]] = BehaviorSubject(())

    def follow(self, stream: str) -> None:
        """Publish the records of a stream, from its first one."""
        self._cursors.setdefault(stream, 1)

    async def sync(self) -> None:
        """Request the changes once and publish the answer."""
        sent_ms = monotonic_ms()
        accepted = self.config.value
        req = SyncRequest(
            role=self._role,
            config_offset=accepted.offset if accepted else 0,
            members_version=self._members_version,
            list_version=self._instance_list_version,
            cursors=dict(self._cursors),
            wait_ms=SYNC_WAIT_MS,
            owned_cells=self._owned_cells() if self._owned_cells else None,
            evacuations_version=self._evacuations_version,
            evacuations_offset=self._evacuation_orders.newest_offset,
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

    def _publish(self, reply: SyncReply, sent_ms: int, requested_streams: frozenset[str]) -> None:
        if reply.evacuations is not None:
            self._publish_evacuations(reply.evacuations)
            self._evacuations_version = reply.evacuations_version
        if reply.config is not None:
            self._publish_config(reply.config)
        if reply.workers is not None:
            self.workers.on_next(reply.workers)
        if reply.backends is not None:
            self.backends.on_next(reply.backends)
        self._instance_list_version = reply.list_version
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
        self.cluster_status.on_next(self._read_status(reply, sent_ms, requested_streams))

    def _read_status(
        self, reply: SyncReply, sent_ms: int, requested_streams: frozenset[str]
    ) -> ClusterStatus:
        all_read = (
            reply.reached_end and requested_streams == self._cursors.keys() == reply.records.keys()
        )
        log_confirmed_ms = self.cluster_status.value.log_confirmed_ms
        if all_read and reply.log_read_age_ms >= 0:
            log_confirmed_ms = max(log_confirmed_ms or 0, sent_ms - reply.log_read_age_ms)
        return ClusterStatus(
            members={m.instance: (m, sent_ms - age) for m, age in reply.members},
            acked_heartbeat_sent_ms={
                name: sent_ms - age for name, age in reply.confirmed_ages_ms.items()
            },
            log_confirmed_ms=log_confirmed_ms,
            log_writable=reply.log_writable,
        )

    def _publish_evacuations(self, copy: EvacuationsCopy) -> None:
        """Publish the orders; a keeper that was replaced may not know the newest ones yet."""
        orders = self._evacuation_orders
        orders.merge(copy.orders)
        state = EvacuationState(copy.known, orders.domains(), orders.newest_offset)
        if state != self.evacuations.value:
            self.evacuations.on_next(state)

    def _publish_config(self, config: ConfigCopy) -> None:
        published = self.config.value
        if published is not None and config.offset <= published.offset:
            return
        parsed = parse_document(config.text)
        if isinstance(parsed, Ok):
            accepted = AcceptedConfig(config.offset, config.digest, config.text, parsed.ok_value)
            self.config.on_next(accepted)
        else:
            self._metrics.count("config_records", outcome="invalid")
