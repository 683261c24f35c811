"""The keeper: an instance's only reader and writer of the log, and its voice among the others."""

from __future__ import annotations

import asyncio
import random
import uuid
from typing import Any

import aiohttp
import msgspec

from greengagewood.internal.clock import monotonic_ms, wall_ms
from greengagewood.internal.committer import Committer
from greengagewood.internal.confighistory import ConfigHistory
from greengagewood.internal.daemon import supervised
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
    Failure,
    FetchConfig,
    Heartbeat,
    Member,
    SyncReply,
    SyncRequest,
    Version,
)
from greengagewood.internal.metrics import Metrics
from greengagewood.internal.native.instancelist import InstanceList, ListDown, ListSnapshot
from greengagewood.internal.native.logservice import Batch, LogDown, LogService, NewRecord
from greengagewood.internal.records import (
    CellClaimed,
    CellSnapshot,
    ConfigPublished,
    ConfigSnapshot,
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
LIST_INTERVAL_S = 1.0
LOG_WAIT_MS = 700
SMALL_SYSTEM = 12
APPENDS_PER_S_OF_ALL_KEEPERS = 140
LOG_LIMIT = 1000
SYNC_RECORDS = 500
SYNC_BYTES = 1_000_000
LOCAL_ALIVE_MS = 1500
FETCH_TIMEOUT_S = 2.0
CONFIG_SNAPSHOT_CHECK_S = 1.0
CONFIG_SNAPSHOT_TIMEOUT_MS = 5000
SNAPSHOT_AGE_FRACTION = 0.25
SNAPSHOT_PREFIX = b'{"type":"snapshot"'
STOP_TIMEOUT_S = 3.0
LOCAL_STOP_TIMEOUT_MS = 40_000
LOCAL_STOP_POLL_S = 0.2

_log = Log("keeper")


class Keeper:
    """Serve the gateway and the scheduler of one instance, and its peers."""

    def __init__(self, cfg: KeeperSettings, metrics: Metrics) -> None:
        self._cfg = cfg
        self._metrics = metrics
        self._names = StreamNames(cfg.environment, cfg.stage)
        self._boot = wall_ms()
        self._beats = 0
        self._leaving = False
        self._history = ConfigHistory(cfg.environment)
        self._keys = KeyClaims()
        self._caches: dict[str, StreamCache] = {self._names.jobs: StreamCache()}
        self._cursors = {self._names.config: 1, self._names.keys: 1}
        self._changed = asyncio.Event()
        self._log_confirmed_ms: int | None = None
        self._list = ListSnapshot((), (), ())
        self._list_version = 0
        self._loads: tuple[CellLoad, ...] = ()
        self._claims: dict[str, int] = {}
        self._snapshot_parts: dict[tuple[str, str], set[int]] = {}
        self._config_seen_ms = monotonic_ms()
        self._local_seen: dict[str, int] = {}
        self._local_offsets: dict[str, int] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._random = random.Random()
        self._pool = LinkPool(cfg.instance, cfg.keys, metrics)
        self._heartbeats = Heartbeats(
            self._describe(),
            self._describe,
            tuple(str(seed) for seed in cfg.seeds),
            self._pool,
            metrics,
            self._notice_config,
            self._notify,
        )
        self._membership = self._heartbeats.membership
        self._listener = Listener(cfg.instance, cfg.listen, cfg.keys, self._handle, metrics)

    async def start(self) -> None:
        """Open sockets and begin to read the log, the list and the peers."""
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
            "config snapshot": self._repeat_config,
        }
        for name, step in steps.items():
            loop = supervised(name, step, self._metrics, 0.5)
            self._tasks.append(asyncio.ensure_future(loop()))

    async def stop(self) -> None:
        """Tell the peers, outlive the gateway and the scheduler, finish appends and close."""
        self._leaving = True
        self._beat()
        give_up_ms = monotonic_ms() + LOCAL_STOP_TIMEOUT_MS
        while self._local_alive() and monotonic_ms() < give_up_ms:
            await asyncio.sleep(LOCAL_STOP_POLL_S)
        await self._committer.stop(STOP_TIMEOUT_S)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._listener.stop()
        await self._heartbeats.stop()
        self._pool.close()
        await self._session.close()

    def ready(self) -> str:
        """Return what the keeper waits for, if anything."""
        return "" if self._history.accepted else "a configuration"

    def status(self) -> Any:
        """Describe the instance as its keeper sees it."""
        now_ms = monotonic_ms()
        peers = self._membership.peers.values()
        return {
            "instance": self._cfg.instance,
            "failure_domain": self._cfg.failure_domain,
            "stage": self._cfg.stage,
            "config": self._version(),
            "in_force_offset": self._in_force_offset(),
            "log_read_age_ms": self._log_age(now_ms),
            "log_writable": self._committer.writable,
            "keys_held": len(self._keys),
            "records": {name: len(cache) for name, cache in self._caches.items()},
            "members": [
                {"member": msgspec.to_builtins(p.member), "age_ms": now_ms - p.heard_ms}
                for p in peers
            ],
            "backends": self._list.backends,
            "workers": self._list.workers,
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
                return self._heartbeats.take(message)
            case FetchConfig():
                return self._config_copy() or Failure("no configuration is in force here")
            case _:
                self._metrics.count("link_dropped", reason="unexpected_kind")
                return Failure("unexpected kind of message")

    def _commit_interval_ms(self) -> int:
        """Return how long to gather records: longer where many instances share the log."""
        count = len(self._membership.peers)
        if count <= SMALL_SYSTEM:
            return self._cfg.commit_interval_ms
        return max(self._cfg.commit_interval_ms, count * 1000 // APPENDS_PER_S_OF_ALL_KEEPERS)

    async def _append(self, req: AppendRequest) -> AppendReply:
        body = msgspec.Raw(req.body)
        record = decode_record(body)
        if record is None:
            self._metrics.count("records_refused", reason="undecodable")
            return AppendReply(0, False)
        if isinstance(record, CellClaimed):
            self._note_claim(req.stream, record)
        return await self._committer.submit(req.stream, NewRecord(req.id, body), req.timeout_ms)

    def _note_claim(self, stream: str, record: CellClaimed) -> None:
        """Tell peers of a claim before it is appended: an owner counts on our word."""
        cell = stream.removeprefix(self._names.cell(""))
        self._claims[cell] = max(record.based_on, self._claims.get(cell, -1))
        self._heartbeats.update_self()

    async def _claim_key(self, sender: str, req: ClaimKey) -> ClaimReply:
        held = self._keys.holder(req.key)
        if held is None:
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
            reply = await self._committer.submit(self._names.keys, new, req.timeout_ms)
            if reply.offset:
                held = await self._await_key(req.key, reply.offset, deadline_ms)
            if held is None:
                return ClaimReply("", 0, "", "", reply.may_be_in_log)
        return ClaimReply(held.holder, held.boot, held.attempt, held.body_digest, True)

    async def _await_key(self, key: str, offset: int, deadline_ms: int) -> KeyClaimed | None:
        """Wait until the key stream has been replayed up to an offset."""
        while self._cursors[self._names.keys] <= offset:
            if not await self._wait_for_change(deadline_ms):
                return None
        return self._keys.holder(key)

    async def _wait_for_change(self, deadline_ms: int) -> bool:
        left_s = (deadline_ms - monotonic_ms()) / 1000
        if left_s <= 0:
            return False
        try:
            async with asyncio.timeout(left_s):
                await self._changed.wait()
        except TimeoutError:
            return False
        return True

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _sync(self, req: SyncRequest) -> SyncReply:
        self._local_seen[req.role] = monotonic_ms()
        self._local_offsets[req.role] = req.config_offset
        if req.owned_cells is not None:
            self._loads = req.owned_cells
        deadline_ms = monotonic_ms() + req.wait_ms
        while not self._has_news(req) and await self._wait_for_change(deadline_ms):
            pass
        return self._sync_reply(req)

    def _has_news(self, req: SyncRequest) -> bool:
        return (
            self._history.accepted_offset > req.config_offset
            or self._membership.version != req.members_version
            or self._list_version != req.list_version
            or any(
                stream in self._caches and self._caches[stream].next > cursor
                for stream, cursor in req.cursors.items()
            )
        )

    def _sync_reply(self, req: SyncRequest) -> SyncReply:
        now_ms = monotonic_ms()
        newer = self._history.accepted_offset > req.config_offset
        list_changed = self._list_version != req.list_version
        caches = {s: self._caches[s] for s in req.cursors if s in self._caches}
        records = {s: c.since(req.cursors[s], SYNC_RECORDS, SYNC_BYTES) for s, c in caches.items()}
        peers = self._membership.peers.items()
        return SyncReply(
            config=self._config_copy() if newer else None,
            members_version=self._membership.version,
            members=self._members_with_ages(now_ms),
            records=records,
            first_offsets={s: c.first for s, c in caches.items()},
            reached_end=all(_reaches_end(caches[s], found) for s, found in records.items()),
            log_read_age_ms=self._log_age(now_ms),
            log_writable=self._committer.writable,
            list_version=self._list_version,
            workers=self._list.workers if list_changed else None,
            backends=self._list.backends if list_changed else None,
            confirmed_ages_ms={
                name: now_ms - p.confirmed_ms for name, p in peers if p.confirmed_ms is not None
            },
        )

    def _members_with_ages(self, now_ms: int) -> tuple[tuple[Member, int], ...]:
        peers = self._membership.peers.values()
        return tuple((p.member, now_ms - p.heard_ms) for p in peers)

    def _log_age(self, now_ms: int) -> int:
        return -1 if self._log_confirmed_ms is None else now_ms - self._log_confirmed_ms

    # Configuration.

    def _version(self) -> Version:
        accepted = self._history.accepted
        return Version(accepted.offset, accepted.digest) if accepted else Version(0, "")

    def _in_force_offset(self) -> int:
        """Return the offset that every process of the instance has reached."""
        offsets = [self._local_offsets[role] for role in self._local_alive()]
        return min([self._history.accepted_offset, *offsets])

    def _config_copy(self) -> ConfigCopy | None:
        accepted = self._history.accepted
        return ConfigCopy(accepted.offset, accepted.digest, accepted.text) if accepted else None

    def _config_changed(self) -> None:
        accepted = self._history.accepted
        assert accepted is not None
        for name, cell in accepted.document.cells.items():
            if cell.failure_domain == self._cfg.failure_domain:
                self._caches.setdefault(self._names.cell(name), StreamCache())
        self._heartbeats.update_self()
        self._metrics.gauge("config_offset", accepted.offset)
        _log.info("config in force", offset=accepted.offset, digest=accepted.digest)
        self._notify()

    async def _repeat_config(self) -> None:
        """Append the accepted configuration again before the log forgets it."""
        await asyncio.sleep(self._random.uniform(0.5, 1.5) * CONFIG_SNAPSHOT_CHECK_S)
        accepted = self._history.accepted
        if accepted is None:
            return
        due_ms = accepted.document.log.keeps_ms * SNAPSHOT_AGE_FRACTION
        if monotonic_ms() - self._config_seen_ms < due_ms:
            return
        record = ConfigSnapshot(accepted.offset, accepted.digest, accepted.text)
        new = NewRecord(uuid.uuid4().hex, msgspec.Raw(encode_record(record)))
        await self._committer.submit(self._names.config, new, CONFIG_SNAPSHOT_TIMEOUT_MS)

    # The log.

    async def _read_log(self) -> None:
        sent_ms = monotonic_ms()
        cursors = dict(self._cursors)
        cursors.update({name: cache.next for name, cache in self._caches.items()})
        try:
            batches = await self._log_service.read(cursors, LOG_WAIT_MS, LOG_LIMIT)
        except LogDown as exc:
            self._metrics.count("log_read_failures")
            _log.debug("log read failed", error=str(exc))
            await asyncio.sleep(0.2)
            return
        self._committer.writable = True
        ends = [self._take_batch(name, batch) for name, batch in batches.items()]
        if all(ends) and self._caches.keys() <= batches.keys():
            self._log_confirmed_ms = sent_ms
        if any(batch.records for batch in batches.values()):
            self._notify()

    def _take_batch(self, stream: str, batch: Batch) -> bool:
        """Take what was read of a stream; return whether its end was reached."""
        cache = self._caches.get(stream)
        if cache is not None:
            for stored in cache.extend(batch.first, batch.records):
                if stored.body.startswith(SNAPSHOT_PREFIX):
                    self._trim(stream, cache, stored)
            return cache.next >= batch.end
        if batch.first > self._cursors[stream]:
            self._cursors[stream] = batch.first
            if stream == self._names.config:
                self._history.lose_sync()
        for stored in batch.records:
            self._replay(stored)
        if batch.records:
            self._cursors[stream] = batch.records[-1].offset + 1
        return self._cursors.get(stream, 0) >= batch.end

    def _trim(self, stream: str, cache: StreamCache, stored: StoredRecord) -> None:
        """Drop what a whole snapshot covers."""
        record = decode_record(stored.body)
        if not isinstance(record, CellSnapshot):
            return
        seen = self._snapshot_parts.setdefault((stream, record.snapshot), set())
        seen.add(record.part)
        if len(seen) == record.parts:
            del self._snapshot_parts[(stream, record.snapshot)]
            cache.forget_before(record.upto + 1)

    def _replay(self, stored: StoredRecord) -> None:
        record = decode_record(stored.body)
        match record:
            case ConfigPublished():
                self._config_seen_ms = monotonic_ms()
                outcome = self._history.replay(stored.offset, record)
                self._metrics.count("config_records", outcome=outcome)
                if outcome == "accepted":
                    self._config_changed()
            case ConfigSnapshot():
                self._config_seen_ms = monotonic_ms()
                if self._history.adopt(record.offset, record.digest, record.text) == "accepted":
                    self._config_changed()
            case KeyClaimed() | KeyReleased():
                self._keys.replay(record)
            case _:
                self._metrics.count("records_dropped", reason="undecodable")

    async def _read_list(self) -> None:
        try:
            snapshot = await self._instance_list.read()
        except ListDown:
            self._metrics.count("list_read_failures")
        else:
            if snapshot != self._list:
                self._list = snapshot
                self._list_version += 1
                self._notify()
        await asyncio.sleep(LIST_INTERVAL_S)

    # Peers.

    def _local_alive(self) -> set[str]:
        """Return which processes of the instance have asked for news lately."""
        now_ms = monotonic_ms()
        return {r for r, at in self._local_seen.items() if now_ms - at <= LOCAL_ALIVE_MS}

    def _describe(self) -> Member:
        alive = self._local_alive()
        scheduler_alive = "scheduler" in alive
        return Member(
            instance=self._cfg.instance,
            failure_domain=self._cfg.failure_domain,
            boot=self._boot,
            heartbeat_number=self._beats,
            leaving=self._leaving,
            keeper_address=str(self._cfg.listen),
            gateway_address=str(self._cfg.gateway) if "gateway" in alive else "",
            scheduler_address=str(self._cfg.scheduler) if scheduler_alive else "",
            config=self._version(),
            owned_cells=self._loads if scheduler_alive else (),
            cell_claims=tuple(CellClaim(cell, based_on) for cell, based_on in self._claims.items()),
        )

    async def _send_heartbeats(self) -> None:
        self._beat()
        await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    def _beat(self) -> None:
        self._beats += 1
        self._heartbeats.beat(self._list.entries)

    def _notice_config(self, member: Member) -> None:
        """Fetch a newer configuration from a peer, for when the log cannot be read."""
        if member.config.offset <= self._history.accepted_offset or not member.keeper_address:
            return
        task = asyncio.create_task(self._fetch_config(member.keeper_address))
        self._tasks.append(task)
        task.add_done_callback(self._tasks.remove)

    async def _fetch_config(self, address: str) -> None:
        try:
            reply = await self._pool.link(address).ask(FetchConfig(), FETCH_TIMEOUT_S)
        except LinkTimeout:
            return
        if isinstance(reply, ConfigCopy):
            outcome = self._history.adopt(reply.offset, reply.digest, reply.text)
            self._metrics.count("config_fetches", outcome=outcome)
            if outcome == "accepted":
                self._config_changed()


def _reaches_end(cache: StreamCache, found: tuple[StoredRecord, ...]) -> bool:
    return not found or found[-1].offset + 1 >= cache.next
