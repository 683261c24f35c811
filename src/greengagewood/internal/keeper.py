"""The keeper: reads and writes the log for its instance and exchanges heartbeats with its peers.

No other process of the instance accesses the log. The gateway and the scheduler learn what is new
by sync requests, which the keeper holds until there is something (long polling).
"""

from __future__ import annotations

import asyncio
import random
import uuid
from collections.abc import Coroutine
from typing import Any

import aiohttp
import msgspec

from greengagewood.internal.clock import monotonic_ms, wall_ms
from greengagewood.internal.committer import Committer
from greengagewood.internal.confighistory import ConfigHistory
from greengagewood.internal.evacuationorders import EvacuationOrders
from greengagewood.internal.heartbeats import Heartbeats
from greengagewood.internal.keyclaims import KeyClaims
from greengagewood.internal.link import LinkTimeout, Listener
from greengagewood.internal.linkpool import LinkPool
from greengagewood.internal.logs import Log
from greengagewood.internal.messages import (
    AnyMessage,
    AppendReply,
    AppendRequest,
    CellClaim,
    CellLoad,
    ClaimKey,
    ClaimReply,
    ConfigCopy,
    EvacuationsCopy,
    Failure,
    FetchConfig,
    FetchEvacuations,
    Heartbeat,
    Member,
    SyncReply,
    SyncRequest,
    Version,
)
from greengagewood.internal.metrics import Metrics
from greengagewood.internal.native.instancelist import (
    InstanceList,
    InstanceListUnavailable,
    ListSnapshot,
)
from greengagewood.internal.native.logservice import (
    LogService,
    LogUnavailable,
    NewRecord,
    StreamBatch,
)
from greengagewood.internal.process import supervised_loop
from greengagewood.internal.records import (
    CellClaimed,
    CellSnapshot,
    ConfigPublished,
    ConfigSnapshot,
    EvacuationOrdered,
    EvacuationsSnapshot,
    KeyClaimed,
    KeyReleased,
    StoredRecord,
    StreamNames,
    decode_record,
    encode_record,
)
from greengagewood.internal.settings import KeeperSettings
from greengagewood.internal.streamcache import StreamCache

SKIPPED_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")

__all__ = ["Keeper"]

HEARTBEAT_INTERVAL_S = 0.5
LIST_READ_INTERVAL_S = 1.0
LOG_READ_WAIT_MS = 700
SMALL_SYSTEM_INSTANCES = 12  # the commit interval is as configured up to this size
APPENDS_PER_S_OF_ALL_KEEPERS = 140  # to each stream, in larger systems
LOG_READ_MAX_RECORDS = 1000
SYNC_MAX_RECORDS = 500
SYNC_MAX_BYTES = 1_000_000
ROLE_ALIVE_MS = 1500
FETCH_TIMEOUT_S = 2.0
CONFIG_SNAPSHOT_CHECK_S = 1.0
CONFIG_SNAPSHOT_TIMEOUT_MS = 5000
CONFIG_SNAPSHOT_RETENTION_FRACTION = 0.25
# How long to wait for a snapshot or a peer's copy of the orders to evacuate failure domains, when
# the log has dropped its first records. A log that was written by earlier versions only has no such
# snapshot. Peers send heartbeats every 0.5 s and answer within 2 s.
EVACUATIONS_WAIT_MS = 10_000
CELL_SNAPSHOT_PREFIX = b'{"type":"snapshot"'  # of an encoded CellSnapshot
APPEND_STOP_TIMEOUT_S = 3.0
ROLES_STOP_TIMEOUT_MS = 40_000
ROLES_STOP_POLL_S = 0.2

_log = Log("keeper")


class Keeper:
    """Serve the gateway and the scheduler of one instance, and the keepers of others."""

    def __init__(self, cfg: KeeperSettings, metrics: Metrics) -> None:
        self._cfg = cfg
        self._metrics = metrics
        self._stream_names = StreamNames(cfg.environment, cfg.stage)
        self._boot = wall_ms()
        self._heartbeat_number = 0
        self._leaving = False
        self._config_history = ConfigHistory(cfg.environment)
        self._key_claims = KeyClaims()
        self._caches: dict[str, StreamCache] = {self._stream_names.jobs: StreamCache()}
        self._cursors = {self._stream_names.config: 1, self._stream_names.keys: 1}
        self._changed = asyncio.Event()
        self._log_confirmed_ms: int | None = None
        self._list_snapshot = ListSnapshot((), (), ())
        self._list_version = 0
        self._owned_cells: tuple[CellLoad, ...] = ()
        self._replaced_epochs: dict[str, int] = {}  # by cell, of claims appended from here
        self._seen_snapshot_parts: dict[tuple[str, str], set[int]] = {}  # by stream and name
        self._config_read_ms = monotonic_ms()
        self._evacuations = EvacuationOrders()
        self._evacuations_in_force: frozenset[str] = frozenset()
        self._evacuations_version = 0  # 0 while the orders were never read
        self._evacuations_published: EvacuationsCopy | None = None
        self._evacuations_snapshot_ms = monotonic_ms()
        self._evacuations_missing_ms: int | None = None  # since when orders may be missing
        self._role_synced_ms: dict[str, int] = {}
        self._role_evacuations_offsets: dict[str, int] = {}
        self._role_config_offsets: dict[str, int] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._random = random.Random()
        self._pool = LinkPool(cfg.instance, cfg.keys, metrics)
        self._heartbeats = Heartbeats(
            self._describe_self(),
            self._describe_self,
            tuple(str(seed) for seed in cfg.seeds),
            self._pool,
            metrics,
            self._fetch_news,
            self._signal_change,
        )
        self._membership = self._heartbeats.membership
        self._listener = Listener(cfg.instance, cfg.listen, cfg.keys, self._handle, metrics)

    async def start(self) -> None:
        """Open sockets and start to read the log and the instance list and to send heartbeats."""
        source = (self._cfg.listen.ip, 0)
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(local_addr=source), skip_auto_headers=SKIPPED_HEADERS
        )
        self._log_service = LogService(self._session, self._cfg.platform)
        self._instance_list = InstanceList(self._session, self._cfg.platform)
        self._committer = Committer(
            self._log_service.append, self._commit_interval_ms, self._metrics
        )
        self._listener.start()
        steps = {
            "log": self._read_log,
            "list": self._read_list,
            "heartbeat": self._send_heartbeats,
            "config snapshot": self._snapshot_config,
            "evacuations snapshot": self._snapshot_evacuations,
        }
        for name, step in steps.items():
            loop = supervised_loop(name, step, self._metrics, 0.5)
            self._tasks.append(asyncio.ensure_future(loop()))

    async def stop(self) -> None:
        """Announce the stop, wait for the gateway and the scheduler, then finish appends."""
        self._leaving = True
        self._send_heartbeat_round()
        deadline_ms = monotonic_ms() + ROLES_STOP_TIMEOUT_MS
        while self._alive_roles() and monotonic_ms() < deadline_ms:
            await asyncio.sleep(ROLES_STOP_POLL_S)
        await self._committer.stop(APPEND_STOP_TIMEOUT_S)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._listener.stop()
        await self._heartbeats.stop()
        self._pool.close()
        await self._session.close()

    def ready(self) -> str:
        """Return what the keeper waits for, or an empty string if it can serve."""
        return "" if self._config_history.accepted else "a configuration"

    def status(self) -> Any:
        """Return the state of the instance and of its peers as the keeper knows it."""
        now_ms = monotonic_ms()
        peers = self._membership.peers.values()
        return {
            "instance": self._cfg.instance,
            "failure_domain": self._cfg.failure_domain,
            "stage": self._cfg.stage,
            "config": self._config_version(),
            "in_force_offset": self._in_force_offset(),
            "evacuations": {
                "known": self._evacuations.known,
                "domains": sorted(self._evacuations.domains()),
            },
            "evacuations_in_force_offset": self._evacuations_in_force_offset(),
            "log_read_age_ms": self._log_read_age_ms(now_ms),
            "log_writable": self._committer.log_writable,
            "keys_held": len(self._key_claims),
            "records": {name: len(cache) for name, cache in self._caches.items()},
            "members": [
                {"member": msgspec.to_builtins(p.member), "age_ms": now_ms - p.last_heard_ms}
                for p in peers
            ],
            "backends": self._list_snapshot.backends,
            "workers": self._list_snapshot.workers,
        }

    # Messages.

    async def _handle(self, sender: str, message: AnyMessage) -> AnyMessage | None:
        match message:
            case SyncRequest():
                return await self._sync(message)
            case AppendRequest():
                return await self._append(message)
            case ClaimKey():
                return await self._claim_key(sender, message)
            case Heartbeat():
                return self._heartbeats.handle(message)
            case FetchConfig():
                return self._config_copy() or Failure("no configuration is in force here")
            case FetchEvacuations():
                return self._evacuations_copy()
            case _:
                self._metrics.count("link_dropped", reason="unexpected_kind")
                return Failure("unexpected kind of message")

    def _commit_interval_ms(self) -> int:
        """Return how long to collect records for an append, longer if there are many instances."""
        count = len(self._membership.peers)
        if count <= SMALL_SYSTEM_INSTANCES:
            return self._cfg.commit_interval_ms
        return max(self._cfg.commit_interval_ms, count * 1000 // APPENDS_PER_S_OF_ALL_KEEPERS)

    async def _append(self, req: AppendRequest) -> AppendReply:
        body = msgspec.Raw(req.body)
        record = decode_record(body)
        if record is None:
            self._metrics.count("records_refused", reason="undecodable")
            return AppendReply(0, False)
        if isinstance(record, CellClaimed):
            self._announce_cell_claim(req.stream, record)
        return await self._committer.submit(req.stream, NewRecord(req.id, body), req.timeout_ms)

    def _announce_cell_claim(self, stream: str, record: CellClaimed) -> None:
        """Put a cell's claim into the heartbeats before it is appended.

        A cell's owner relies on its peers to tell it of claims that it has not read from the log.
        """
        cell = stream.removeprefix(self._stream_names.cell(""))
        self._replaced_epochs[cell] = max(record.based_on, self._replaced_epochs.get(cell, -1))
        self._heartbeats.update_self()

    async def _claim_key(self, sender: str, req: ClaimKey) -> ClaimReply:
        claim = self._key_claims.holding_claim(req.key)
        if claim is None:
            record = KeyClaimed(
                req.key,
                req.attempt,
                self._cfg.instance,
                self._boot,
                req.body_digest,
                wall_ms(),
            )
            deadline_ms = monotonic_ms() + req.timeout_ms
            new = NewRecord(req.attempt, msgspec.Raw(encode_record(record)))
            reply = await self._committer.submit(self._stream_names.keys, new, req.timeout_ms)
            if reply.offset:
                claim = await self._await_key_replay(req.key, reply.offset, deadline_ms)
            if claim is None:
                return ClaimReply("", 0, "", "", reply.may_be_in_log)
        return ClaimReply(claim.holder, claim.boot, claim.attempt, claim.body_digest, True)

    async def _await_key_replay(self, key: str, offset: int, deadline_ms: int) -> KeyClaimed | None:
        """Return the claim that holds the key, once the key stream is replayed up to an offset."""
        while self._cursors[self._stream_names.keys] <= offset:
            if not await self._wait_for_change(deadline_ms):
                return None
        return self._key_claims.holding_claim(key)

    async def _wait_for_change(self, deadline_ms: int) -> bool:
        timeout_s = (deadline_ms - monotonic_ms()) / 1000
        if timeout_s <= 0:
            return False
        try:
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()
        except TimeoutError:
            return False
        return True

    def _signal_change(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _sync(self, req: SyncRequest) -> SyncReply:
        self._role_synced_ms[req.role] = monotonic_ms()
        self._role_config_offsets[req.role] = req.config_offset
        self._role_evacuations_offsets[req.role] = req.evacuations_offset
        if req.owned_cells is not None:
            self._owned_cells = req.owned_cells
        deadline_ms = monotonic_ms() + req.wait_ms
        while not self._has_changes(req) and await self._wait_for_change(deadline_ms):
            pass
        return self._sync_reply(req)

    def _has_changes(self, req: SyncRequest) -> bool:
        return (
            self._config_history.accepted_offset > req.config_offset
            or self._evacuations_version not in (0, req.evacuations_version)
            or self._membership.version != req.members_version
            or self._list_version != req.list_version
            or any(
                stream in self._caches and self._caches[stream].next_offset > cursor
                for stream, cursor in req.cursors.items()
            )
        )

    def _sync_reply(self, req: SyncRequest) -> SyncReply:
        now_ms = monotonic_ms()
        config_changed = self._config_history.accepted_offset > req.config_offset
        list_changed = self._list_version != req.list_version
        evacuations_changed = self._evacuations_version not in (0, req.evacuations_version)
        caches = {s: self._caches[s] for s in req.cursors if s in self._caches}
        records = {
            s: c.read_from(req.cursors[s], SYNC_MAX_RECORDS, SYNC_MAX_BYTES)
            for s, c in caches.items()
        }
        peers = self._membership.peers.items()
        return SyncReply(
            config=self._config_copy() if config_changed else None,
            members_version=self._membership.version,
            members=self._members_with_ages(now_ms),
            records=records,
            first_offsets={s: c.first_offset for s, c in caches.items()},
            reached_end=all(_reaches_end(caches[s], found) for s, found in records.items()),
            log_read_age_ms=self._log_read_age_ms(now_ms),
            log_writable=self._committer.log_writable,
            list_version=self._list_version,
            workers=self._list_snapshot.workers if list_changed else None,
            backends=self._list_snapshot.backends if list_changed else None,
            confirmed_ages_ms={
                name: now_ms - p.confirmed_ms for name, p in peers if p.confirmed_ms is not None
            },
            evacuations=self._evacuations_copy() if evacuations_changed else None,
            evacuations_version=self._evacuations_version,
        )

    def _members_with_ages(self, now_ms: int) -> tuple[tuple[Member, int], ...]:
        peers = self._membership.peers.values()
        return tuple((p.member, now_ms - p.last_heard_ms) for p in peers)

    def _log_read_age_ms(self, now_ms: int) -> int:
        return -1 if self._log_confirmed_ms is None else now_ms - self._log_confirmed_ms

    # Configuration.

    def _config_version(self) -> Version:
        accepted = self._config_history.accepted
        return Version(accepted.offset, accepted.digest) if accepted else Version(0, "")

    def _in_force_offset(self) -> int:
        """Return the newest configuration offset that all running processes here have reached."""
        offsets = [self._role_config_offsets[role] for role in self._alive_roles()]
        return min([self._config_history.accepted_offset, *offsets])

    def _config_copy(self) -> ConfigCopy | None:
        accepted = self._config_history.accepted
        return ConfigCopy(accepted.offset, accepted.digest, accepted.text) if accepted else None

    def _config_changed(self) -> None:
        accepted = self._config_history.accepted
        assert accepted is not None
        for name, cell in accepted.document.cells.items():
            if cell.failure_domain == self._cfg.failure_domain:
                self._caches.setdefault(self._stream_names.cell(name), StreamCache())
        self._heartbeats.update_self()
        self._metrics.gauge("config_offset", accepted.offset)
        _log.info("config in force", offset=accepted.offset, digest=accepted.digest)
        self._signal_change()

    async def _snapshot_config(self) -> None:
        """Append a snapshot of the accepted configuration before the log drops the last copy."""
        await asyncio.sleep(self._random.uniform(0.5, 1.5) * CONFIG_SNAPSHOT_CHECK_S)
        accepted = self._config_history.accepted
        if accepted is None:
            return
        due_ms = accepted.document.log.keeps_ms * CONFIG_SNAPSHOT_RETENTION_FRACTION
        if monotonic_ms() - self._config_read_ms < due_ms:
            return
        record = ConfigSnapshot(accepted.offset, accepted.digest, accepted.text)
        new = NewRecord(uuid.uuid4().hex, msgspec.Raw(encode_record(record)))
        await self._committer.submit(self._stream_names.config, new, CONFIG_SNAPSHOT_TIMEOUT_MS)

    # Evacuations of failure domains.

    def _evacuations_copy(self) -> EvacuationsCopy:
        orders = self._evacuations
        return EvacuationsCopy(orders.known, orders.known_upto, orders.all_newest())

    def _evacuations_in_force_offset(self) -> int:
        """Return the offset of the newest order that all running processes here obey."""
        offsets = [self._role_evacuations_offsets[role] for role in self._alive_roles()]
        return min([self._evacuations.newest_offset, *offsets])

    def _evacuations_offset(self) -> int:
        """Return the newest order's offset, or -1 while an order may be missing here."""
        return self._evacuations.newest_offset if self._evacuations.known else -1

    def _publish_evacuations(self, source: str, read_age_ms: int) -> None:
        """Tell the processes of this instance what has changed, and log it."""
        copy = self._evacuations_copy()
        published = self._evacuations_published
        if not self._evacuations.informed or (
            published is not None
            and (published.known, published.orders) == (copy.known, copy.orders)
        ):
            return
        self._evacuations_published = copy
        # Counted from the time of the start, so that it differs from that of an earlier keeper.
        self._evacuations_version = max(self._boot, self._evacuations_version + 1)
        self._log_evacuations(source, read_age_ms)
        self._metrics.gauge("evacuated_domains", len(self._evacuations_in_force))
        self._heartbeats.update_self()
        self._signal_change()

    def _log_evacuations(self, source: str, read_age_ms: int) -> None:
        before = self._evacuations_in_force
        self._evacuations_in_force = self._evacuations.domains()
        for order in self._evacuations.all_newest():
            if (order.domain in before) != order.in_force:
                event = "evacuation_in_force" if order.in_force else "evacuation_withdrawn"
                _log.info(
                    event,
                    domain=order.domain,
                    offset=order.offset,
                    operator=order.operator,
                    source=source,
                    read_age_ms=read_age_ms,
                )

    async def _snapshot_evacuations(self) -> None:
        """Append a snapshot of the orders before the log drops the last copy.

        It is written even if there are no orders, so that a keeper that starts later knows that.
        """
        await asyncio.sleep(self._random.uniform(0.5, 1.5) * CONFIG_SNAPSHOT_CHECK_S)
        accepted = self._config_history.accepted
        if accepted is None or not self._evacuations.known:
            return
        due_ms = accepted.document.log.keeps_ms * CONFIG_SNAPSHOT_RETENTION_FRACTION
        if monotonic_ms() - self._evacuations_snapshot_ms < due_ms:
            return
        orders = self._evacuations
        record = EvacuationsSnapshot(orders.known_upto, orders.all_newest())
        new = NewRecord(uuid.uuid4().hex, msgspec.Raw(encode_record(record)))
        await self._committer.submit(self._stream_names.config, new, CONFIG_SNAPSHOT_TIMEOUT_MS)

    def _note_config_stream_read(self, batch: StreamBatch, sent_ms: int) -> None:
        """Update from a read of the configuration stream what is known of the orders."""
        now_ms = monotonic_ms()
        upto = self._cursors[self._stream_names.config] - 1
        reached_end = upto + 1 >= batch.end_offset
        self._evacuations.note_read(upto, reached_end)
        if self._evacuations.known:
            self._evacuations_missing_ms = None
        elif reached_end:
            self._evacuations_missing_ms = self._evacuations_missing_ms or now_ms
            if now_ms - self._evacuations_missing_ms >= EVACUATIONS_WAIT_MS:
                _log.warning("evacuations_assumed_complete", offset=upto)
                self._evacuations.assume_complete()
                self._evacuations_missing_ms = None
        self._publish_evacuations("log", now_ms - sent_ms)

    # The log.

    async def _read_log(self) -> None:
        sent_ms = monotonic_ms()
        cursors = dict(self._cursors)
        cursors.update({name: cache.next_offset for name, cache in self._caches.items()})
        try:
            batches = await self._log_service.read(cursors, LOG_READ_WAIT_MS, LOG_READ_MAX_RECORDS)
        except LogUnavailable as exc:
            self._metrics.count("log_read_failures")
            _log.debug("log read failed", error=str(exc))
            await asyncio.sleep(0.2)
            return
        self._committer.log_writable = True
        reached_ends = [self._apply_batch(name, batch) for name, batch in batches.items()]
        config_batch = batches.get(self._stream_names.config)
        if config_batch is not None:
            self._note_config_stream_read(config_batch, sent_ms)
        if all(reached_ends) and self._caches.keys() <= batches.keys():
            self._log_confirmed_ms = sent_ms
        if any(batch.records for batch in batches.values()):
            self._signal_change()

    def _apply_batch(self, stream: str, batch: StreamBatch) -> bool:
        """Apply what was read of a stream; return whether the end of the stream was reached."""
        cache = self._caches.get(stream)
        if cache is not None:
            for stored in cache.extend(batch.first_offset, batch.records):
                if stored.body.startswith(CELL_SNAPSHOT_PREFIX):
                    self._drop_snapshotted(stream, cache, stored)
            return cache.next_offset >= batch.end_offset
        if batch.first_offset > self._cursors[stream]:
            self._cursors[stream] = batch.first_offset
            if stream == self._stream_names.config:
                self._config_history.lose_sync()
                self._evacuations.note_missing(batch.first_offset)
        for stored in batch.records:
            self._apply_record(stored)
        if batch.records:
            self._cursors[stream] = batch.records[-1].offset + 1
        return self._cursors.get(stream, 0) >= batch.end_offset

    def _drop_snapshotted(self, stream: str, cache: StreamCache, stored: StoredRecord) -> None:
        """Drop the records that a snapshot covers, once all of its parts were read."""
        record = decode_record(stored.body)
        if not isinstance(record, CellSnapshot):
            return
        seen = self._seen_snapshot_parts.setdefault((stream, record.snapshot), set())
        seen.add(record.part)
        if len(seen) == record.parts:
            del self._seen_snapshot_parts[(stream, record.snapshot)]
            cache.drop_before(record.upto + 1)

    def _apply_record(self, stored: StoredRecord) -> None:
        record = decode_record(stored.body)
        match record:
            case ConfigPublished():
                self._config_read_ms = monotonic_ms()
                outcome = self._config_history.replay(stored.offset, record)
                self._metrics.count("config_records", outcome=outcome)
                if outcome == "accepted":
                    self._config_changed()
            case ConfigSnapshot():
                self._config_read_ms = monotonic_ms()
                if (
                    self._config_history.adopt(record.offset, record.digest, record.text)
                    == "accepted"
                ):
                    self._config_changed()
            case EvacuationOrdered():
                self._evacuations.replay(stored.offset, record)
            case EvacuationsSnapshot():
                self._evacuations_snapshot_ms = monotonic_ms()
                self._evacuations.adopt(record.orders, record.upto)
            case KeyClaimed() | KeyReleased():
                self._key_claims.replay(record)
            case _:
                self._metrics.count("records_dropped", reason="undecodable")

    async def _read_list(self) -> None:
        try:
            snapshot = await self._instance_list.read()
        except InstanceListUnavailable:
            self._metrics.count("list_read_failures")
        else:
            if snapshot != self._list_snapshot:
                self._list_snapshot = snapshot
                self._list_version += 1
                self._signal_change()
        await asyncio.sleep(LIST_READ_INTERVAL_S)

    # Peers.

    def _alive_roles(self) -> set[str]:
        """Return the roles of this instance's processes that have synced recently."""
        now_ms = monotonic_ms()
        return {
            role
            for role, synced_ms in self._role_synced_ms.items()
            if now_ms - synced_ms <= ROLE_ALIVE_MS
        }

    def _describe_self(self) -> Member:
        alive = self._alive_roles()
        scheduler_alive = "scheduler" in alive
        return Member(
            instance=self._cfg.instance,
            failure_domain=self._cfg.failure_domain,
            boot=self._boot,
            heartbeat_number=self._heartbeat_number,
            leaving=self._leaving,
            keeper_address=str(self._cfg.listen),
            gateway_address=str(self._cfg.gateway) if "gateway" in alive else "",
            scheduler_address=str(self._cfg.scheduler) if scheduler_alive else "",
            config=self._config_version(),
            owned_cells=self._owned_cells if scheduler_alive else (),
            cell_claims=tuple(
                CellClaim(cell, based_on) for cell, based_on in self._replaced_epochs.items()
            ),
            evacuations_offset=self._evacuations_offset(),
        )

    async def _send_heartbeats(self) -> None:
        self._send_heartbeat_round()
        await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    def _send_heartbeat_round(self) -> None:
        self._heartbeat_number += 1
        self._heartbeats.send(self._list_snapshot.entries)

    def _fetch_news(self, member: Member) -> None:
        """Fetch what is newer at a peer, in case the log cannot be read here."""
        if not member.keeper_address:
            return
        if member.config.offset > self._config_history.accepted_offset:
            self._start_fetch(self._fetch_config(member.keeper_address))
        if member.evacuations_offset > self._evacuations_offset():
            self._start_fetch(self._fetch_evacuations(member.keeper_address))

    def _start_fetch(self, fetch: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(fetch)
        self._tasks.append(task)
        task.add_done_callback(self._tasks.remove)

    async def _fetch_evacuations(self, address: str) -> None:
        sent_ms = monotonic_ms()
        try:
            reply = await self._pool.link(address).request(FetchEvacuations(), FETCH_TIMEOUT_S)
        except LinkTimeout:
            return
        if isinstance(reply, EvacuationsCopy) and reply.known:
            self._evacuations.adopt(reply.orders, reply.upto)
            self._evacuations.informed = True
            self._publish_evacuations("peer", monotonic_ms() - sent_ms)

    async def _fetch_config(self, address: str) -> None:
        try:
            reply = await self._pool.link(address).request(FetchConfig(), FETCH_TIMEOUT_S)
        except LinkTimeout:
            return
        if isinstance(reply, ConfigCopy):
            outcome = self._config_history.adopt(reply.offset, reply.digest, reply.text)
            self._metrics.count("config_fetches", outcome=outcome)
            if outcome == "accepted":
                self._config_changed()


def _reaches_end(cache: StreamCache, found: tuple[StoredRecord, ...]) -> bool:
    return not found or found[-1].offset + 1 >= cache.next_offset
