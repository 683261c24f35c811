"""The adapter's classes against the stand-ins of the store and the workers, over real sockets.

The fault soak relies on the promises of the wire that are tested here. A busy machine may withhold
the processor from a process for 1.7 s, so time is only compared with lower bounds, calls that are
answered may take 10 s, and late orders wait for the test instead of a time.
"""

from __future__ import annotations

import asyncio
import functools
import json
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp
import msgspec
import pytest
from aiohttp import web
from devtools.loopback import reserve_network

from greengagewood.internal.evacuation import Evacuations
from greengagewood.internal.jobs.records import TaskId
from greengagewood.internal.ports import (
    Configuration,
    LeaseReply,
    LogTruncated,
    OrderReply,
    Outcome,
    RunListPage,
    StoreUnavailable,
    WorkerCallFailed,
    WorkerInfo,
    WorkerUnreachable,
    WrongBoot,
)
from greengagewood.platform import store as store_client
from greengagewood.platform import wire
from greengagewood.platform import workers as workers_client
from greengagewood.platform.directory import StoreDirectory, parse_worker
from greengagewood.platform.manifest import ManifestSource
from greengagewood.platform.standin.common import listen
from greengagewood.platform.standin.fleet import WorkersStandin
from greengagewood.platform.standin.settings import (
    Rates,
    StoreSettings,
    WorkerSettings,
    WorkersSettings,
)
from greengagewood.platform.standin.store import StoreStandin
from greengagewood.platform.store import KeyedLog
from greengagewood.platform.wire import Session
from greengagewood.platform.workers import HttpWorkers
from tests.common.storestub import MANIFEST

WAIT_LIMIT_S = 15.0
LEASE_MS = 20_000
TASK = TaskId("5ab1", 0, 0, 3)
FAR_DEADLINE_MS = 10**9
LASTING = {"count": 4, "cpu": 3_000, "mem-mb": 100, "estimate-ms": 20_000, "checkpointing": True}
SHORT = {"count": 4, "cpu": 3_000, "mem-mb": 100, "estimate-ms": 20}


@functools.cache
def _network() -> int:
    return reserve_network()


def _address(host: int, port: int) -> str:
    return f"127.{_network()}.3.{host}:{port}"


async def _eventually(check: Callable[[], Awaitable[Any]]) -> Any:
    """Repeat a check until its result is true, and return the result."""
    async with asyncio.timeout(WAIT_LIMIT_S):
        while not (result := await check()):
            await asyncio.sleep(0.02)
    return result


class _Gate:
    """Stand in for the wait before late orders and appends, which lasts until the gate is open."""

    def __init__(self) -> None:
        self.waiting = 0
        self.open = asyncio.Event()

    async def sleep(self, seconds: float) -> None:
        self.waiting += 1
        await self.open.wait()

    async def reached_by(self, count: int) -> None:
        async def has_reached() -> bool:
            return self.waiting == count

        await _eventually(has_reached)


@dataclass
class _Platform:
    """The stand-ins that run, and sessions of two callers with addresses of their own."""

    folder: Path
    sessions: list[Session | aiohttp.ClientSession]
    gate: _Gate = field(default_factory=_Gate)
    fleet: WorkersStandin | None = None
    store: StoreStandin | None = None
    known: dict[str, WorkerInfo] = field(default_factory=dict)

    def log(self, topic: str = "keyed.cell", caller: int = 0) -> KeyedLog:
        return KeyedLog(self.sessions[caller], _address(1, 7001), topic)

    def workers(self) -> HttpWorkers:
        return HttpWorkers(self.sessions[0])

    async def admin(self, port: int, call: str, body: dict[str, Any] | None = None) -> Any:
        url = f"http://{_address(1, port)}{call}"
        async with self.sessions[0].post(url, data=json.dumps(body or {})) as resp:
            assert resp.status == 200, await resp.text()
            return await resp.json()

    async def fault(self, port: int, kind: str, **details: Any) -> None:
        await self.admin(port, "/fault", {"kind": kind, **details})

    async def change(self, worker: str, do: str, **details: Any) -> None:
        await self.admin(7003, "/worker", {"id": worker, "do": do, **details})

    async def listed(self) -> dict[str, WorkerInfo]:
        return await StoreDirectory(self.log("keyed.servers")).refresh()

    def history(self, role: str, what: str) -> list[dict[str, Any]]:
        lines = (self.folder / f"{role}.jsonl").read_bytes().splitlines()
        return [line for line in map(msgspec.json.decode, lines) if line["what"] == what]

    async def start(
        self, worker: str, step: dict[str, Any], token: int = 1, **details: Any
    ) -> OrderReply:
        """Start a run of the task."""
        run, checkpoint = details.get("run", 1), details.get("checkpoint", "")
        deadline_ms = details.get("deadline_ms", FAR_DEADLINE_MS)
        task = details.get("task", TASK)
        return await self.workers().start(
            self.known[worker], task, run, json.dumps([step]), deadline_ms, token, checkpoint, ""
        )

    async def hold(self, worker: str, token: int = 1, acknowledged: int = 0) -> RunListPage:
        reply = await self.workers().extend_lease(self.known[worker], None, token, acknowledged, 0)
        assert isinstance(reply, RunListPage)
        return reply

    async def ends(self, worker: str) -> list[tuple[str, int]]:
        reply = await self.hold(worker, 9)
        return [(end.result, end.run_number) for end in reply.ended]


@asynccontextmanager
async def _platform(folder: Path, workers: int = 0, **cfg: Any) -> AsyncIterator[_Platform]:
    """Run the stand-ins; the last worker is not guarded."""
    rates = cfg.pop("rates", Rates())
    clock_rate = cfg.pop("clock_rate", 0.98)
    callers = [
        Session(8),
        aiohttp.ClientSession(connector=aiohttp.TCPConnector(local_addr=("127.0.0.9", 0))),
    ]
    platform = _Platform(folder, callers)
    platform.store = StoreStandin(
        StoreSettings(
            listen=_address(1, 7001),
            admin=_address(1, 7002),
            record=str(folder / "store.jsonl"),
            rates=rates,
        ),
        platform.gate.sleep,
    )
    members = [
        WorkerSettings(
            id=f"w{n}",
            listen=_address(10 + n, 7100),
            advertised=_address(10 + n, 7100),
            service="svc",
            zone=f"z{n}",
            rack=f"r{n}",
            cpu=4_000,
            mem_mb=1_000,
            clock_rate=clock_rate,
            guarded=n < workers - 1,
        )
        for n in range(workers)
    ]
    settings = WorkersSettings(
        admin=_address(1, 7003),
        store_admin=_address(1, 7002),
        record=str(folder / "workers.jsonl"),
        workers=tuple(members),
        **{"lease_ms": LEASE_MS, "heartbeat_ms": 100, **cfg},
    )
    await platform.store.start()
    try:
        if workers:
            platform.fleet = WorkersStandin(settings, platform.gate.sleep)
            await platform.fleet.start()

            async def all_listed() -> bool:
                platform.known = await platform.listed()
                return len(platform.known) == workers

            await _eventually(all_listed)
        yield platform
    finally:
        if platform.fleet is not None:
            await platform.fleet.stop()
        for session in callers:
            await session.close()
        await platform.store.stop()


def _set_timeouts(monkeypatch: pytest.MonkeyPatch, seconds: float) -> None:
    monkeypatch.setattr(wire, "CONNECT_TIMEOUT_S", 10.0)
    monkeypatch.setattr(store_client, "APPEND_TIMEOUT_S", seconds)
    monkeypatch.setattr(store_client, "READ_SILENCE_MARGIN_S", seconds)
    monkeypatch.setattr(workers_client, "ORDER_TIMEOUT_S", seconds)
    monkeypatch.setattr(workers_client, "LEASE_TIMEOUT_MARGIN_S", seconds)


@pytest.fixture(autouse=True)
def _long_timeouts(monkeypatch: pytest.MonkeyPatch) -> None:
    _set_timeouts(monkeypatch, 10.0)


@contextmanager
def _unanswered() -> Iterator[None]:
    """Shorten the waits of calls that get no answer."""
    with pytest.MonkeyPatch.context() as patch:
        _set_timeouts(patch, 0.2)
        yield


class TestStore:
    """Guards against a store that keeps less, or more, than its promises."""

    async def test_a_claim_needs_the_end_that_it_names(self, tmp_path: Path) -> None:
        async with _platform(tmp_path) as platform:
            log = platform.log()
            await log.append([("a", b"1")])
            assert (await log.claim(("owner", b"x"), 0, 5)).outcome is Outcome.REFUSED
            results = await asyncio.gather(*[log.claim(("owner", b"x"), 1, t) for t in (5, 6, 7)])
            assert sorted(r.outcome.value for r in results) == ["done", "refused", "refused"]
            assert [line["offset"] for line in platform.history("store", "claim")] == [1]

    async def test_a_lower_epoch_is_fenced(self, tmp_path: Path) -> None:
        async with _platform(tmp_path) as platform:
            log = platform.log()
            assert (await log.claim(("owner", b"x"), 0, 5)).outcome is Outcome.DONE
            assert (await log.claim(("owner", b"y"), 1, 6)).outcome is Outcome.DONE
            assert (await log.append_fenced([("a", b"1")], 5, 2)).fenced
            assert (await log.append_fenced([("a", b"1")], 6, 2)).offset == 2

    async def test_a_repeat_of_the_last_five_appends_gets_the_first_answer(
        self, tmp_path: Path
    ) -> None:
        async with _platform(tmp_path) as platform:
            log = platform.log()
            await log.claim(("owner", b"x"), 0, 5)
            for sequence in range(2, 8):
                await log.append_fenced([("a", b"%d" % sequence)], 5, sequence)
            assert [(await log.append_fenced([("a", b"r")], 5, s)).offset for s in (3, 7)] == [2, 6]
            assert (await log.append_fenced([("a", b"r")], 5, 2)).outcome is Outcome.REFUSED
            assert (await log.append_fenced([("a", b"r")], 5, 9)).outcome is Outcome.REFUSED
            assert (await log.load()).next_offset == 7

    async def test_an_append_whose_answer_is_lost_is_carried_out(self, tmp_path: Path) -> None:
        async with _platform(tmp_path) as platform:
            log = platform.log()
            await log.claim(("owner", b"x"), 0, 5)
            await platform.fault(7002, "lose_answers")
            with _unanswered():
                assert (await log.append_fenced([("a", b"1")], 5, 2)).outcome is Outcome.UNKNOWN
            await platform.fault(7002, "clear")
            assert (await log.append_fenced([("a", b"1")], 5, 2)).offset == 1
            assert (await log.load()).next_offset == 2

    async def test_a_late_append_is_applied_only_if_it_is_not_fenced_meanwhile(
        self, tmp_path: Path
    ) -> None:
        async with _platform(tmp_path) as platform:
            logs = [platform.log("keyed.kept"), platform.log("keyed.fenced")]
            for log in logs:
                await log.claim(("owner", b"x"), 0, 5)
            await platform.fault(7002, "apply_late", ms=12_000)
            with _unanswered():
                results = await asyncio.gather(
                    *[x.append_fenced([("a", b"1")], 5, 2) for x in logs]
                )
            assert {r.outcome for r in results} == {Outcome.UNKNOWN}
            await platform.gate.reached_by(2)
            await platform.fault(7002, "clear", only="apply_late")
            assert (await logs[1].claim(("owner", b"y"), 1, 6)).outcome is Outcome.DONE
            platform.gate.open.set()

            async def is_applied() -> bool:
                return (await logs[0].load()).next_offset == 2

            await _eventually(is_applied)
            assert [e.key for e in (await logs[1].load()).entries] == ["owner"]
            assert [line["late"] for line in platform.history("store", "append")] == [True]

    async def test_faults_hit_only_the_clients_that_they_name(self, tmp_path: Path) -> None:
        async with _platform(tmp_path) as platform:
            log, other = platform.log(), platform.log(caller=1)
            await log.append([("a", b"1")])
            for kind, outcome in (("busy", Outcome.REFUSED), ("reset", Outcome.UNKNOWN)):
                await platform.fault(7002, kind, **{"for": ["127.0.0.9"]})
                assert (await other.append([("a", b"2")])).outcome is outcome
                with pytest.raises(StoreUnavailable):
                    await other.read(0, 0)
                assert (await log.read(0, 0)).next_offset == 1
                await platform.fault(7002, "clear")
            await platform.fault(7002, "silent", **{"for": ["127.0.0.9"]})
            with _unanswered():
                assert (await other.append([("a", b"2")])).outcome is Outcome.UNKNOWN
                with pytest.raises(StoreUnavailable):
                    await other.read(0, 0)
            assert (await log.read(0, 0)).next_offset == 1
            await platform.fault(7002, "clear")
            assert (await other.read(0, 0)).next_offset == 1

    async def test_faults_side_by_side_hit_only_the_topics_that_they_name(
        self, tmp_path: Path
    ) -> None:
        async with _platform(tmp_path) as platform:
            logs = {name: platform.log(f"keyed.{name}") for name in "abc"}
            for log in logs.values():
                await log.append([("k", b"1")])
            for name in "ab":
                await platform.fault(7002, "busy", topics=[f"keyed.{name}"], id=name)

            async def busy() -> str:
                results = {n: await log.append([("k", b"2")]) for n, log in logs.items()}
                return "".join(n for n, r in results.items() if r.outcome is Outcome.REFUSED)

            assert await busy() == "ab"
            await platform.fault(7002, "clear", id="a")
            assert await busy() == "b"

    async def test_a_slow_store_delays_its_answers(self, tmp_path: Path) -> None:
        async with _platform(tmp_path) as platform:
            await platform.fault(7002, "slow", ms=150)
            loop = asyncio.get_running_loop()
            begin = loop.time()
            assert (await platform.log().append([("a", b"1")])).outcome is Outcome.DONE
            assert loop.time() - begin >= 0.149

    async def test_a_read_waits_for_a_record(self, tmp_path: Path) -> None:
        async with _platform(tmp_path) as platform:
            log = platform.log()
            await log.append([("a", b"1")])
            read = asyncio.create_task(log.read(1, 10_000))
            await asyncio.sleep(0.1)
            assert not read.done()
            await log.append([("b", b"2")])
            assert [e.key for e in (await read).entries] == ["b"]

    async def test_deleted_records_are_told_and_the_newest_are_kept(self, tmp_path: Path) -> None:
        async with _platform(tmp_path) as platform:
            log = platform.log()
            await log.append([(f"k{n:03}", b"v") for n in range(600)])
            await log.append([("k000", b""), ("k001", b"w")])
            await platform.admin(7002, "/truncate", {"topic": "keyed.cell", "keep": 1})
            with pytest.raises(LogTruncated):
                await log.read(0, 0)
            page = await log.load()  # the store sends at most 500 keys in one answer
            assert len(page.entries) == 599
            assert {e.key: e.value for e in page.entries}["k001"] == b"w"

    async def test_calls_above_the_rate_are_refused(self, tmp_path: Path) -> None:
        async with _platform(tmp_path, rates=Rates(writes_per_s=2)) as platform:
            log = platform.log()
            results = await asyncio.gather(*[log.append([("a", b"1")]) for _ in range(40)])
            outcomes = [r.outcome for r in results]
            assert outcomes.count(Outcome.DONE) >= 2 and Outcome.REFUSED in outcomes

    async def test_the_topics_of_the_platform_are_read_only(self, tmp_path: Path) -> None:
        async with _platform(tmp_path) as platform:
            for topic in ("keyed.op", "keyed.servers"):
                result = await platform.log(topic).append([("a", b"1")])
                assert result.outcome is Outcome.REFUSED


class TestOperatorRecords:
    """Guards against manifests and orders that the adapter would never see in a soak."""

    async def test_manifest_and_evacuation_are_followed_after_a_truncation(
        self, tmp_path: Path
    ) -> None:
        async with _platform(tmp_path) as platform:
            source = ManifestSource(platform.log("keyed.op"))
            seen: list[Configuration | Evacuations] = []

            async def follow() -> list[Configuration | Evacuations]:
                update = await source.next()
                seen.extend([update] if update is not None else [])
                return seen

            async def version_and_domains() -> tuple[int, frozenset[str]]:
                await follow()
                versions = [u.version for u in seen if isinstance(u, Configuration)]
                orders = [u.domains for u in seen if isinstance(u, Evacuations)]
                return (versions or [0])[-1], (orders or [frozenset()])[-1]

            async def reach(version: int, *domains: str) -> None:
                async def is_reached() -> bool:
                    return await version_and_domains() == (version, frozenset(domains))

                await _eventually(is_reached)

            await platform.admin(7002, "/entry", {"key": "op/config", "value": MANIFEST})
            await reach(7)
            await platform.admin(7002, "/entry", {"key": "op/evacuate/z1", "value": {"at": 1}})
            await reach(7, "z1")
            await platform.admin(
                7002, "/entry", {"key": "op/config", "value": {**MANIFEST, "version": 9}}
            )
            await platform.admin(7002, "/truncate", {"topic": "keyed.op", "keep": 0})
            await reach(9, "z1")
            await platform.admin(7002, "/entry", {"key": "op/evacuate/z1", "value": None})
            await reach(9)


class TestDirectory:
    """Guards against workers that are listed though they are gone, or missing though they live."""

    async def test_entries_of_crashed_workers_expire(self, tmp_path: Path) -> None:
        async with _platform(tmp_path, 2) as platform:
            assert platform.known["w1"].rack == "r1" and platform.known["w1"].cpu_millis == 4_000
            await platform.change("w0", "crash")

            async def is_removed() -> bool:
                return set(await platform.listed()) == {"w1"}

            await _eventually(is_removed)
            await platform.change("w0", "boot")

            async def is_back() -> bool:
                worker = (await platform.listed()).get("w0")
                return (
                    worker is not None and worker.boot_time_ms > platform.known["w0"].boot_time_ms
                )

            await _eventually(is_back)

    async def test_entries_lapse_while_heartbeats_are_not_taken(self, tmp_path: Path) -> None:
        async with _platform(tmp_path, 1) as platform:
            await platform.fault(7002, "lapse")

            async def none_listed() -> bool:
                return not await platform.listed()

            await _eventually(none_listed)
            await platform.hold("w0")  # the worker is up all the while
            await platform.fault(7002, "clear")
            await _eventually(platform.listed)

    async def test_the_entries_of_some_workers_lapse(self, tmp_path: Path) -> None:
        async with _platform(tmp_path, 2) as platform:
            await platform.fault(7002, "lapse", workers=["w1"])

            async def one_listed() -> bool:
                return sorted(await platform.listed()) == ["w0"]

            await _eventually(one_listed)

    async def test_the_boot_time_follows_a_time_of_day_that_was_set_back(
        self, tmp_path: Path
    ) -> None:
        async with _platform(tmp_path, 1) as platform:
            before = platform.known["w0"].boot_time_ms
            await platform.change("w0", "crash")
            await platform.change("w0", "boot", ms=-60_000)
            assert 50_000 < before - (await platform.hold("w0")).boot_time_ms < 60_000
            await platform.change("w0", "crash")
            await platform.change("w0", "boot")
            assert (await platform.hold("w0")).boot_time_ms > before

    async def test_a_drained_worker_reports_it_and_leaves(self, tmp_path: Path) -> None:
        async with _platform(tmp_path, 1) as platform:
            await platform.start("w0", LASTING)
            await platform.change("w0", "drain", ms=600)

            async def none_listed() -> bool:
                return not await platform.listed()

            await _eventually(none_listed)
            entries = (await platform.log("keyed.servers").read(0, 0)).entries
            reported = [parse_worker("w0", e.value) for e in entries if e.value]
            assert any(w and w.draining and w.leaving_in_ms is not None for w in reported)
            drain, leave = (platform.history("workers", what)[0] for what in ("drain", "leave"))
            assert leave["t"] - drain["t"] >= 599
            assert [line["how"] for line in platform.history("workers", "end")] == ["gone"]

    async def test_a_smaller_capacity_is_listed_and_binds(self, tmp_path: Path) -> None:
        async with _platform(tmp_path, 2) as platform:
            await platform.change("w0", "resize", cpu=2_000)

            async def is_listed() -> bool:
                worker = (await platform.listed()).get("w0")
                return worker is not None and worker.cpu_millis == 2_000

            await _eventually(is_listed)
            assert (await platform.start("w0", LASTING)).reason == "room"

    async def test_an_unreadable_entry_is_passed_over(self, tmp_path: Path) -> None:
        async with _platform(tmp_path, 1) as platform:
            await platform.admin(7002, "/entry", {"key": "servers/x", "value": "{{"})
            assert "x" not in await platform.listed()


class TestWorkers:
    """Guards against workers that obey orders, or keep runs, against the wire's promises."""

    async def test_a_lower_token_is_refused_by_every_order(self, tmp_path: Path) -> None:
        async with _platform(tmp_path, 1) as platform:
            assert (await platform.start("w0", LASTING, token=5)).reason == ""
            workers, worker = platform.workers(), platform.known["w0"]
            replies = [
                await platform.start("w0", LASTING, token=4, run=2),
                await workers.stop(worker, TASK, 1, 4),
                await workers.throttle(worker, TASK, 1, 0, 4),
                await workers.extend_lease(worker, 100, 4, 1, 0),
            ]
            assert [r.reason for r in replies if isinstance(r, OrderReply)] == ["fence"] * 4
            assert len((await platform.hold("w0", 5)).running) == 1

    async def test_the_lease_expires_on_the_slow_clock_of_the_worker(self, tmp_path: Path) -> None:
        async with _platform(tmp_path, 1, lease_ms=300, clock_rate=0.5) as platform:
            await platform.start("w0", LASTING)
            await platform.start("w0", SHORT | {"long-running": True, "cpu": 0}, run=2)

            async def lapsed() -> bool:
                return sorted(await platform.ends("w0")) == [("lapsed", 1), ("lapsed", 2)]

            await _eventually(lapsed)
            start = platform.history("workers", "start")[0]
            for end in platform.history("workers", "end"):
                assert end["t"] - start["t"] >= 599

    async def test_a_run_lasts_while_its_lease_is_extended(self, tmp_path: Path) -> None:
        async with _platform(tmp_path, 1) as platform:
            deadline_ms = (await platform.hold("w0")).clock_ms + 2_000
            await platform.start("w0", LASTING, deadline_ms=deadline_ms)
            workers, worker = platform.workers(), platform.known["w0"]
            await workers.extend_lease(worker, FAR_DEADLINE_MS, 1, 0, 0)
            await workers.extend_lease(worker, deadline_ms, 1, 0, 0)  # never shortens the lease

            async def is_past() -> RunListPage | None:
                reply = await platform.hold("w0")
                return reply if reply.clock_ms > deadline_ms else None

            assert len((await _eventually(is_past)).running) == 1

    async def test_a_start_after_its_deadline_is_late(self, tmp_path: Path) -> None:
        async with _platform(tmp_path, 1) as platform:
            clock_ms = (await platform.hold("w0")).clock_ms
            reply = await platform.start("w0", LASTING, deadline_ms=clock_ms - 1)
            assert reply.reason == "late"
            assert platform.history("workers", "start") == []

    async def test_ends_are_listed_until_they_are_acknowledged(self, tmp_path: Path) -> None:
        async with _platform(tmp_path, 1) as platform:
            await platform.start("w0", SHORT)
            reply = await platform.workers().extend_lease(platform.known["w0"], None, 1, 0, 2_000)
            assert isinstance(reply, RunListPage)
            assert [(e.sequence, e.task_id, e.result) for e in reply.ended] == [(1, TASK, "done")]
            assert len((await platform.hold("w0")).ended) == 1
            assert platform.history("workers", "ack") == []
            assert (await platform.hold("w0", acknowledged=1)).ended == ()
            assert [line["how"] for line in platform.history("workers", "ack")] == ["done"]

    async def test_an_end_since_which_the_lease_has_lapsed_is_not_noted(
        self, tmp_path: Path
    ) -> None:
        """Guards against a start that counts as one after a done that nobody could learn of."""
        async with _platform(tmp_path, 1, lease_ms=300) as platform:
            await platform.start("w0", SHORT)

            async def is_listed() -> bool:
                return await platform.ends("w0") == [("done", 1)]

            await _eventually(is_listed)
            await asyncio.sleep(0.4)
            await platform.hold("w0", 9, acknowledged=1)
            assert await platform.ends("w0") == []
            assert platform.history("workers", "ack") == []
            assert len(platform.history("workers", "ack_after_lapse")) == 1

    async def test_a_stopping_run_takes_its_room_until_it_has_ended(self, tmp_path: Path) -> None:
        async with _platform(tmp_path, 2, stop_ms=1_000) as platform:
            other = TaskId("5ab1", 0, 0, 1)
            await platform.start("w0", LASTING)
            await platform.workers().stop(platform.known["w0"], TASK, 1, 1)

            async def is_accepted() -> bool:
                return not (await platform.start("w0", LASTING, task=other)).reason

            await _eventually(is_accepted)
            (end,) = platform.history("workers", "end")
            orders = platform.history("workers", "order")
            stop = next(line for line in orders if line["order"] == "stop")
            assert end["how"] == "stopped" and end["t"] - stop["t"] >= 299
            assert platform.history("workers", "start")[1]["t"] >= end["t"]

    async def test_only_guarded_workers_refuse_what_does_not_fit(self, tmp_path: Path) -> None:
        async with _platform(tmp_path, 2) as platform:
            other = TaskId("5ab1", 0, 0, 1)
            for worker in ("w0", "w1"):
                await platform.start(worker, LASTING)
            assert (await platform.start("w0", LASTING, task=other)).reason == "room"
            assert (await platform.start("w1", LASTING, task=other)).reason == ""

    async def test_a_stopped_or_ended_run_never_starts_again(self, tmp_path: Path) -> None:
        async with _platform(tmp_path, 1) as platform:
            await platform.workers().stop(platform.known["w0"], TASK, 4, 1)
            assert [(await platform.start("w0", SHORT, run=n)).reason for n in (3, 4)] == [
                "old"
            ] * 2
            assert (await platform.start("w0", SHORT, run=5)).reason == ""

            async def has_ended() -> bool:
                return await platform.ends("w0") == [("done", 5)]

            await _eventually(has_ended)
            assert (await platform.start("w0", SHORT, token=9, run=5)).reason == "old"

    async def test_a_repeated_start_is_accepted_and_runs_once(self, tmp_path: Path) -> None:
        async with _platform(tmp_path, 1) as platform:
            replies = [await platform.start("w0", LASTING) for _ in range(2)]
            assert [r.reason for r in replies] == ["", ""]
            assert len(platform.history("workers", "start")) == 1

    async def test_an_order_whose_answer_is_lost_is_carried_out(self, tmp_path: Path) -> None:
        async with _platform(tmp_path, 1) as platform:
            await platform.fault(7003, "lost_answers", workers=["w0"])
            with _unanswered(), pytest.raises(WorkerCallFailed):
                await platform.start("w0", LASTING)
            await platform.fault(7003, "clear")

            async def is_running() -> bool:
                return len((await platform.hold("w0")).running) == 1

            await _eventually(is_running)

    async def test_a_late_start_is_carried_out_by_a_later_boot_with_the_same_id(
        self, tmp_path: Path
    ) -> None:
        async with _platform(tmp_path, 2) as platform:
            await platform.fault(7003, "late_orders", ms=12_000)
            for worker in ("w1", "w0"):
                with _unanswered(), pytest.raises(WorkerCallFailed):
                    await platform.start(worker, LASTING)
            await platform.gate.reached_by(2)
            await platform.fault(7003, "clear")
            for worker, new_id in (("w0", ""), ("w1", "w1b")):
                await platform.change(worker, "crash")
                await platform.change(worker, "boot", new_id=new_id)
            assert platform.history("workers", "start") == []
            platform.gate.open.set()

            async def has_started() -> list[dict[str, Any]]:
                return platform.history("workers", "start")

            (start,) = await _eventually(has_started)
            assert start["worker"] == "w0" and start["late"]
            assert start["born"] > platform.known["w0"].boot_time_ms
            with pytest.raises(WrongBoot):
                await platform.hold("w1")

    async def test_a_late_hold_acknowledges_no_ends_of_a_later_boot(self, tmp_path: Path) -> None:
        async with _platform(tmp_path, 2) as platform:
            await platform.fault(7003, "late_orders", ms=12_000)
            for worker in ("w0", "w1"):
                with _unanswered(), pytest.raises(WorkerCallFailed):
                    await platform.hold(worker, acknowledged=3)
            await platform.gate.reached_by(2)
            await platform.fault(7003, "clear")
            await platform.change("w0", "crash")
            await platform.change("w0", "boot")
            platform.gate.open.set()

            async def late_orders() -> list[dict[str, Any]]:
                return [x for x in platform.history("workers", "order") if x["late"]]

            (order,) = await _eventually(late_orders)
            assert order["worker"] == "w1"

    async def test_a_crash_ends_everything_and_breaks_calls(self, tmp_path: Path) -> None:
        async with _platform(tmp_path, 1) as platform:
            await platform.start("w0", LASTING, token=7)
            hold = asyncio.create_task(
                platform.workers().extend_lease(platform.known["w0"], None, 7, 0, 2_000)
            )
            await asyncio.sleep(0.1)
            await platform.change("w0", "crash")
            with pytest.raises(WorkerCallFailed):
                await hold

            async def is_unreachable() -> bool:
                try:
                    await platform.hold("w0")
                except WorkerUnreachable:
                    return True
                except WorkerCallFailed:
                    return False  # a connection that was open before the crash
                raise AssertionError("a crashed worker answered")

            await _eventually(is_unreachable)
            await platform.change("w0", "boot")
            reply = await platform.hold("w0", token=1)  # the new boot has seen no token
            assert reply.running == () and reply.boot_time_ms > platform.known["w0"].boot_time_ms
            assert [line["how"] for line in platform.history("workers", "end")] == ["crashed"]

    async def test_a_checkpoint_keeps_the_work_that_was_done(self, tmp_path: Path) -> None:
        async with _platform(tmp_path, 2) as platform:
            await platform.start("w0", LASTING)
            await asyncio.sleep(0.4)
            await platform.workers().stop(platform.known["w0"], TASK, 1, 1)

            async def has_stopped() -> RunListPage | None:
                reply = await platform.hold("w0")
                return reply if reply.ended else None

            saved = (await _eventually(has_stopped)).ended[0].checkpoint
            assert int(saved, 16) >= 390
            await platform.start("w1", LASTING, run=2, checkpoint=saved)
            resumed = (await platform.hold("w1")).running[0].checkpoint
            assert int(resumed, 16) >= int(saved, 16)

    async def test_a_paced_run_makes_no_progress(self, tmp_path: Path) -> None:
        async with _platform(tmp_path, 1) as platform:
            await platform.start("w0", LASTING)
            await platform.workers().throttle(platform.known["w0"], TASK, 1, 0, 1)
            await asyncio.sleep(0.3)
            before = (await platform.hold("w0")).running[0]
            await asyncio.sleep(0.6)
            after = (await platform.hold("w0")).running[0]
            assert after.progress_percent == before.progress_percent
            assert after.tail_ms_or_cpu_millis == 0

    async def test_odd_rows_hide_no_end_and_sometimes_a_run(self, tmp_path: Path) -> None:
        async with _platform(tmp_path, 1) as platform:
            await platform.start("w0", LASTING)
            await platform.fault(7003, "odd_rows")
            replies = [await platform.hold("w0") for _ in range(40)]
            assert {len(reply.running) for reply in replies} == {0, 1}
            assert not any(isinstance(r, LeaseReply) for r in replies if not r.running)
            await platform.workers().stop(platform.known["w0"], TASK, 1, 9)

            async def is_listed() -> bool:
                return await platform.ends("w0") == [("stopped", 1)]

            await _eventually(is_listed)

    async def test_failing_and_busy_workers(self, tmp_path: Path) -> None:
        async with _platform(tmp_path, 2) as platform:
            await platform.fault(7003, "fail_runs", workers=["w0"])
            await platform.fault(7003, "busy", workers=["w1"])
            await platform.start("w0", SHORT | {"long-running": True})
            assert (await platform.start("w1", SHORT)).reason == "unhealthy"

            async def has_failed() -> bool:
                return await platform.ends("w0") == [("failed", 1)]

            await _eventually(has_failed)
            assert [x["worker"] for x in platform.history("workers", "start")] == ["w0"]


class TestListeners:
    """Guards against stand-ins that serve at an address that another process uses."""

    async def test_an_address_in_use_is_named(self, tmp_path: Path) -> None:
        async with _platform(tmp_path):
            settings = StoreSettings(
                listen=_address(1, 7001), admin=_address(1, 7009), record=str(tmp_path / "x")
            )
            second = StoreStandin(settings)
            with pytest.raises(OSError, match=_address(1, 7001)):
                await second.start()
            await second.stop()

    async def test_requests_that_end_as_a_listener_closes_leave_no_error(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        """Guards against tracebacks on standard error, which the soak takes for a finding."""
        for round_number in range(20):

            async def answer(req: web.BaseRequest, number: int = round_number) -> web.Response:
                await asyncio.sleep(0.012 + number * 0.0005)
                return web.Response()

            runner = await listen(answer, "127.0.0.1:0")
            host, port = runner.addresses[0][:2]
            writers = []
            for _ in range(20):
                _, writer = await asyncio.open_connection(host, port)
                writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
                writers.append(writer)
            await asyncio.sleep(0.005)
            await runner.cleanup()
            for writer in writers:
                writer.close()
        assert [record.message for record in caplog.records] == []
