"""Evacuation orders: how they are read, what they keep from being started, and what goes on."""

from __future__ import annotations

import asyncio
import json
import random
from dataclasses import dataclass, field, replace

import msgspec
import pytest

from greengagewood.internal.cells.orders import StopRun
from greengagewood.internal.cells.planner import GROUPING_DELAY_MS
from greengagewood.internal.clock import monotonic_ms
from greengagewood.internal.evacuation import MAX_AGE_AT_TERM_START_MS, MAX_LAG_MS, Evacuations
from greengagewood.internal.jobs.model import StepSpec
from greengagewood.internal.ports import (
    Configuration,
    LogEntry,
    LogPage,
    LogTruncated,
    RunEnd,
    StoreUnavailable,
)
from greengagewood.platform.manifest import ManifestSource
from tests.common import drive
from tests.common.desk import CellHarness, start_orders
from tests.common.drive import (
    CellSimulation,
    best_effort_job,
    long_running_job,
    mixed_job,
    run_simulation,
    short_job,
)
from tests.common.storestub import ROUTE
from tests.common.virtualtime import run_in_virtual_time

SETTLE_S = 60.0
BOUND_MS = 5_000  # from the acknowledgement of an order until it must be obeyed
UNSTABLE_BOUND_MS = BOUND_MS + 6_000
LATENCY_S = 0.01
CONFIG_BYTES = 300_000


@dataclass
class OperatorTopic:
    """The operators' log in memory, with the calls of KeyedLog that read it."""

    records: list[tuple[str, bytes]] = field(default_factory=list)
    oldest: int = 0  # offset of the oldest record that can still be read
    failing_share: float = 0.0
    rng: random.Random = field(default_factory=lambda: random.Random(1))
    sent_bytes: int = 0

    def append(self, key: str, value: bytes = b"") -> None:
        self.records.append((key, value))

    def add_manifest(self, version: int, size: int = 0) -> None:
        routes = [{**ROUTE, "name": "r" * max(1, size)}]
        manifest = {"version": version, "routes": routes, "services": [{"name": "svc"}]}
        self.append("config", json.dumps(manifest).encode())

    def domains_at(self, offset: int) -> frozenset[str]:
        """Return the domains whose orders are in force by the records below an offset."""
        newest = dict(self.records[:offset])
        prefix = "evacuate/"
        return frozenset(k[len(prefix) :] for k, v in newest.items() if v and k.startswith(prefix))

    async def load(self) -> LogPage:
        await self._reach()
        newest = {key: LogEntry(n, key, value) for n, (key, value) in enumerate(self.records)}
        entries = tuple(entry for entry in newest.values() if entry.value)
        return self._page(entries, len(self.records), -1)

    async def read(self, start: int, wait_ms: int, max_kb: int) -> LogPage:
        await self._reach()
        if start < self.oldest:
            raise LogTruncated("log-read")
        until_ms = monotonic_ms() + wait_ms
        while len(self.records) <= start and monotonic_ms() < until_ms:
            await asyncio.sleep(LATENCY_S)
        entries: list[LogEntry] = []
        size = 0
        for offset, (key, value) in enumerate(self.records[start:], start):
            size += len(key) + len(value)
            if entries and size > max_kb * 1024:
                break
            entries.append(LogEntry(offset, key, value))
        return self._page(tuple(entries), start + len(entries), len(self.records))

    def _page(self, entries: tuple[LogEntry, ...], next_offset: int, end: int) -> LogPage:
        self.sent_bytes += sum(len(entry.value) for entry in entries)
        return LogPage(entries, next_offset, end)

    async def _reach(self) -> None:
        await asyncio.sleep(LATENCY_S)
        if self.rng.random() < self.failing_share:
            raise StoreUnavailable("status 503")


async def _read_to_end(source: ManifestSource, topic: OperatorTopic) -> Evacuations:
    """Return the orders as read once they cover all records."""
    async with asyncio.timeout(60):
        while True:
            update = await source.next()
            if isinstance(update, Evacuations) and update.offset == len(topic.records):
                return update


class TestReadingOrders:
    """Guard against an order that is passed over, or read too late."""

    def _source(self, topic: OperatorTopic) -> ManifestSource:
        return ManifestSource(topic)  # type: ignore[arg-type]

    def test_orders_between_versions_of_the_manifest_are_found(self) -> None:
        # Of several records that it was behind, the source used to read only the newest one.
        async def main() -> None:
            topic = OperatorTopic()
            topic.add_manifest(1)
            source = self._source(topic)
            await _read_to_end(source, topic)
            for version in range(2, 8):
                topic.add_manifest(version, CONFIG_BYTES)
                topic.append(f"evacuate/z{version}", b"x")
            topic.append("evacuate/z2")
            topic.add_manifest(8, CONFIG_BYTES)
            read = await _read_to_end(source, topic)
            assert read.domains == {"z3", "z4", "z5", "z6", "z7"}
            config = await source.next()
            assert isinstance(config, Configuration) and config.version == 8

        run_in_virtual_time(main())

    def test_orders_are_returned_before_the_manifest_of_the_same_read(self) -> None:
        # A new owner that has a configuration may claim, and must know the orders by then.
        async def main() -> None:
            topic = OperatorTopic()
            topic.append("evacuate/z1", b"x")
            topic.add_manifest(1)
            source = self._source(topic)
            assert isinstance(await source.next(), Evacuations)
            assert isinstance(await source.next(), Configuration)

        run_in_virtual_time(main())

    @pytest.mark.parametrize("seed", range(60))
    def test_the_orders_are_those_of_the_records_read(self, seed: int) -> None:
        """Random records, truncations and failed reads, compared with the whole log."""

        async def main() -> None:
            rng = random.Random(seed)
            topic = OperatorTopic(failing_share=rng.choice((0.0, 0.3)), rng=rng)
            source = self._source(topic)
            version = 0
            for _ in range(40):
                for _ in range(rng.choice((0, 1, 1, 2, 5, 90))):
                    match rng.randrange(6):
                        case 0:
                            version += 1
                            topic.add_manifest(version, rng.choice((0, 3_000)))
                        case 1 | 2:
                            topic.append(f"evacuate/z{rng.randrange(4)}", b"{}")
                        case 3 | 4:
                            topic.append(f"evacuate/z{rng.randrange(4)}")
                        case _:
                            topic.append(f"wave/{rng.randrange(9)}", b"w" * 90)
                if rng.random() < 0.1:
                    topic.oldest = len(topic.records)
                for _ in range(rng.randrange(4)):
                    sent_ms = monotonic_ms()
                    update = await source.next()
                    if isinstance(update, Evacuations):
                        assert update.domains == topic.domains_at(update.offset)
                        assert update.read_ms <= sent_ms
            topic.failing_share = 0.0
            read = await _read_to_end(source, topic)
            assert read.domains == topic.domains_at(len(topic.records))

        run_in_virtual_time(main())

    def test_a_large_manifest_is_not_read_again_for_orders(self) -> None:
        async def main() -> None:
            topic = OperatorTopic()
            topic.add_manifest(1, CONFIG_BYTES)
            source = self._source(topic)
            await _read_to_end(source, topic)
            for burst in (1, 2, 12, 40):
                for number in range(burst):
                    topic.append(f"evacuate/z{number}", b"x" if number % 2 else b"")
                await _read_to_end(source, topic)
            assert topic.sent_bytes < 1.1 * CONFIG_BYTES

        run_in_virtual_time(main())

    def test_an_order_that_is_missing_from_the_newest_records_is_withdrawn(self) -> None:
        async def main() -> None:
            topic = OperatorTopic()
            topic.append("evacuate/z1", b"x")
            topic.append("evacuate/z2", b"x")
            source = self._source(topic)
            assert (await _read_to_end(source, topic)).domains == {"z1", "z2"}
            topic.append("evacuate/z1")
            topic.append("wave/1", b"x")
            topic.oldest = len(topic.records)
            assert (await _read_to_end(source, topic)).domains == {"z2"}

        run_in_virtual_time(main())

    def test_an_older_record_does_not_replace_a_newer_one(self) -> None:
        # The pages of a load are not a snapshot, so the next read may return older records.
        async def main() -> None:
            topic = OperatorTopic()
            topic.append("wave/1", b"x")
            source = self._source(topic)
            source._apply_page(LogPage((LogEntry(2, "evacuate/z1", b"x"),), 1), monotonic_ms())
            topic.append("evacuate/z1")
            read = await source.next()
            while not (isinstance(read, Evacuations) and read.offset == 2):
                read = await source.next()
            assert read.domains == {"z1"}

        run_in_virtual_time(main())

    def test_a_manifest_that_is_loaded_again_is_not_returned_again(self) -> None:
        async def main() -> None:
            topic = OperatorTopic()
            topic.add_manifest(1)
            source = self._source(topic)
            await _read_to_end(source, topic)
            assert isinstance(await source.next(), Configuration)
            topic.append("evacuate/z1", b"x")
            topic.oldest = len(topic.records)
            await _read_to_end(source, topic)
            for _ in range(3):
                assert not isinstance(await source.next(), Configuration)

        run_in_virtual_time(main())

    def test_an_order_behind_many_records_is_read_in_time(self) -> None:
        async def main() -> None:
            topic = OperatorTopic()
            topic.add_manifest(1)
            source = self._source(topic)
            await _read_to_end(source, topic)
            for number in range(20_000):
                topic.append(f"wave/{number % 7}", b"w" * 300)
            topic.append("evacuate/z1", b"x")
            ordered_ms = monotonic_ms()
            assert (await _read_to_end(source, topic)).domains == {"z1"}
            assert monotonic_ms() - ordered_ms < 1_000

        run_in_virtual_time(main())

    @pytest.mark.parametrize("value", [b"\x00", b"\xc1", b"{", b"0"])
    def test_any_value_puts_an_order_in_force(self, value: bytes) -> None:
        async def main() -> None:
            topic = OperatorTopic()
            topic.append("evacuate/", b"x")  # names no domain
            topic.append("evacuate/z/1", value)
            assert (await _read_to_end(self._source(topic), topic)).domains == {"z/1"}

        run_in_virtual_time(main())

    @pytest.mark.parametrize(
        ("failing_share", "bound_ms"), [(0.0, BOUND_MS), (0.5, UNSTABLE_BOUND_MS)]
    )
    def test_an_order_is_read_in_time(self, failing_share: float, bound_ms: int) -> None:
        async def main() -> None:
            for seed in range(20):
                topic = OperatorTopic(failing_share=failing_share, rng=random.Random(seed))
                source = self._source(topic)
                await _read_to_end(source, topic)
                topic.append("evacuate/z1", b"x")
                ordered_ms = monotonic_ms()
                read = await _read_to_end(source, topic)
                assert read.domains == {"z1"}
                assert monotonic_ms() - ordered_ms < bound_ms

        run_in_virtual_time(main())


def _harness(**domains: str) -> CellHarness:
    """Return a cell with workers in these domains."""
    harness = CellHarness(*domains)
    for name, domain in domains.items():
        harness.worker_infos[name] = replace(harness.worker_infos[name], failure_domain=domain)
    harness.cell.set_workers(harness.worker_infos, harness.now_ms)
    return harness


def _start(harness: CellHarness, *specs: StepSpec) -> list[str]:
    """Submit jobs of one step each; return the workers on which tasks were started."""
    for spec in specs:
        harness.submit(spec, job=f"{len(harness.cell.book.jobs):016x}")
    started = [start.boot.name for start in harness.start()]
    harness.answer_leases()
    return [*started, *(start.boot.name for start in harness.start(GROUPING_DELAY_MS + 10))]


SHORT = StepSpec(1, cpu_millis=1_000, memory_mb=100, estimate_ms=40_000)
BEST_EFFORT = StepSpec(
    1, cpu_millis=7_000, memory_mb=100, image="f", best_effort=True, checkpointing=True
)
LONG_RUNNING = StepSpec(
    1, cpu_millis=9_000, memory_mb=100, image="s", long_running=True, tail_target_ms=24
)
GANG = StepSpec(2, cpu_millis=30_000, memory_mb=100, gang=True, same_rack=False)
KINDS = {"short": SHORT, "best effort": BEST_EFFORT, "long-running": LONG_RUNNING, "gang": GANG}


@pytest.mark.parametrize("spec", KINDS.values(), ids=KINDS)
class TestStarts:
    """Guard against a start in an evacuated domain, for tasks of each kind."""

    def test_nothing_is_started_until_the_order_is_withdrawn(self, spec: StepSpec) -> None:
        harness = _harness(w0="a", w1="b", w2="a", w3="c")
        harness.read_orders("a", "b")
        assert set(_start(harness, spec)) == {"w3"}
        harness.read_orders("a", "b", "c")
        assert _start(harness, spec) == []
        harness.read_orders("a", "c")
        assert set(_start(harness)) == {"w1"}

    def test_the_jobs_wait_while_every_domain_is_evacuated(self, spec: StepSpec) -> None:
        harness = _harness(w0="a", w1="b")
        harness.read_orders("a", "b")
        for _ in range(20):
            assert _start(harness) == []
            harness.now_ms += 1_000
            harness.answer_leases()
        assert _start(harness, spec) == []
        harness.read_orders()
        assert len(_start(harness)) == spec.task_count

    def test_a_domain_without_workers_changes_nothing(self, spec: StepSpec) -> None:
        harness = _harness(w0="a")
        harness.read_orders("nowhere", "")
        assert len(_start(harness, spec)) == spec.task_count

    def test_a_run_goes_on_and_a_failed_one_is_started_elsewhere(self, spec: StepSpec) -> None:
        harness = _harness(w0="a", w1="b")
        harness.read_orders("b")
        assert set(_start(harness, spec)) == {"w0"}
        worker = harness.cell.boots["w0"]
        runs = list(worker.runs.values())
        harness.read_orders("a")
        for _ in range(10):
            orders = harness.plan(300)
            assert not any(isinstance(order, StopRun) for order in orders)
            harness.answer_leases()
            deadline_ms, _ = harness.cell.prepare_lease_extension(worker, harness.now_ms)
            assert deadline_ms is not None
        assert list(worker.runs.values()) == runs
        ends = tuple(
            RunEnd(n, run.task.id, run.number, "failed", "") for n, run in enumerate(runs, 1)
        )
        harness.now_ms += 10
        harness.answer_lease("w0", ends=ends)
        assert set(_start(harness)) == {"w1"}


class TestNewOwner:
    """Guard against starts by an owner that does not know the orders."""

    @staticmethod
    def _new_owner() -> CellHarness:
        harness = CellHarness("w0")
        harness.cell.planner.evacuations = None
        harness.submit(SHORT)
        return harness

    def test_nothing_is_started_before_the_orders_are_read(self) -> None:
        harness = self._new_owner()
        assert harness.plan() == []
        assert harness.plan(500) == []
        harness.read_orders()
        assert len(start_orders(harness.plan())) == 1

    @pytest.mark.parametrize(("age_ms", "starts"), [(0, 1), (MAX_AGE_AT_TERM_START_MS + 1, 0)])
    def test_orders_that_it_read_as_a_follower_must_be_recent(
        self, age_ms: int, starts: int
    ) -> None:
        harness = self._new_owner()
        read = Evacuations(frozenset(), 0, harness.now_ms - age_ms)
        harness.cell.set_evacuations(read, harness.now_ms)
        assert len(start_orders(harness.plan())) == starts

    def test_the_wait_is_reported_once(self) -> None:
        harness = self._new_owner()
        events: list[str] = []
        harness.plan()
        harness.cell._starts_suspended = False
        harness.cell.on_event = lambda event, fields: events.append(event)
        harness.plan()
        harness.plan()
        harness.read_orders("z")
        harness.plan()
        assert events == ["starts_suspended", "evacuation_in_force", "starts_resumed"]


class TestUnreadableOrders:
    """What holds while the orders cannot be read."""

    def test_the_last_orders_stay_in_force_while_the_store_is_down(self) -> None:
        harness = _harness(w0="a", w1="b")
        harness.read_orders("a")
        for _ in range(12):
            harness.now_ms += 1_000
            harness.answer_leases()
        assert _start(harness, SHORT) == ["w1"]

    def test_nothing_is_started_if_only_the_orders_cannot_be_read(self) -> None:
        # Otherwise an order could go unnoticed for as long as their topic is not readable.
        harness = _harness(w0="a")
        harness.now_ms += MAX_LAG_MS + 1
        harness.answer_leases()
        harness.cell.set_workers(harness.worker_infos, harness.now_ms)
        assert _start(harness, SHORT) == []
        harness.read_orders()
        assert _start(harness) == ["w0"]


class TestRunsThatMayMove:
    """Guard against stopping a run that no other worker may take."""

    @staticmethod
    def _stopped(harness: CellHarness) -> list[str]:
        """Return the reasons for the stops of the next second."""
        reasons = []
        for _ in range(4):
            orders = harness.plan(250)
            reasons += [order.reason for order in orders if isinstance(order, StopRun)]
            harness.answer_leases()
        return reasons

    @pytest.mark.parametrize(("evacuated", "stops"), [("b", []), ("c", ["worker_leaves"])])
    def test_a_task_of_a_draining_worker_stays_unless_it_fits_elsewhere(
        self, evacuated: str, stops: list[str]
    ) -> None:
        harness = _harness(w0="a", w1="b")
        harness.read_orders("b")
        assert _start(harness, LONG_RUNNING) == ["w0"]
        harness.read_orders(evacuated)
        harness.worker_infos["w0"] = replace(harness.worker_infos["w0"], draining=True)
        harness.cell.set_workers(harness.worker_infos, harness.now_ms)
        assert self._stopped(harness)[:1] == stops

    @pytest.mark.parametrize(("evacuated", "stops"), [("b", []), ("c", ["moves"])])
    def test_a_slow_run_is_not_moved_to_an_evacuated_domain(
        self, evacuated: str, stops: list[str]
    ) -> None:
        harness = _harness(w0="a", w1="b")
        harness.read_orders("b")
        assert _start(harness, BEST_EFFORT) == ["w0"]
        harness.read_orders(evacuated)
        (run,) = harness.cell.boots["w0"].runs.values()
        run.speed_percent = 30
        assert self._stopped(harness)[:1] == stops


class TestCapacityThatCounts:
    """Which workers count where a decision asks how much of a service is free."""

    def test_headroom_is_left_on_the_workers_that_may_take_tasks(self) -> None:
        harness = _harness(w0="a", w1="b")
        harness.read_orders("b")
        large = msgspec.structs.replace(LONG_RUNNING, cpu_millis=28_000)
        assert _start(harness, large, large) == ["w0"]  # both would leave less than 15 % of w0
        harness.read_orders()
        assert len(_start(harness)) == 1

    def test_a_suspected_task_is_not_tried_in_an_evacuated_domain(self) -> None:
        harness = _harness(w0="a", w1="b")
        harness.worker_infos["w1"] = replace(harness.worker_infos["w1"], address="10.0.0.2:80")
        harness.cell.set_workers(harness.worker_infos, harness.now_ms)
        harness.read_orders("b")
        harness.submit(SHORT)
        (start,) = harness.start()
        assert start.boot.name == "w0"
        harness.answer_leases()
        harness.worker_infos["w0"] = replace(harness.worker_infos["w0"], boot_time_ms=2)
        harness.cell.set_workers(harness.worker_infos, harness.now_ms)
        assert start.run.task.crashes
        harness.store_changes()
        harness.answer_leases()
        assert _start(harness) == ["w0"]  # though w1 is another machine


class TestReports:
    """The log lines of an order, and the metric."""

    def test_an_order_and_its_withdrawal_are_reported_once(self) -> None:
        harness = _harness(w0="a", w1="b", w2="a")
        events: list[tuple[str, dict[str, object]]] = []
        harness.cell.on_event = lambda event, fields: events.append((event, fields))
        now_ms = harness.now_ms
        for offset, domains in ((7, {"a"}), (7, {"a"}), (9, {"a", "b"}), (10, {"b"})):
            read = Evacuations(frozenset(domains), offset, now_ms - 20)
            harness.cell.set_evacuations(read, now_ms)
        assert events == [
            ("evacuation_in_force", {"domain": "a", "offset": 7, "read_age_ms": 20}),
            ("evacuation_in_force", {"domain": "b", "offset": 9, "read_age_ms": 20}),
            ("evacuation_withdrawn", {"domain": "a", "offset": 10, "read_age_ms": 20}),
        ]
        assert harness.cell.evacuated_worker_count == 1

    def test_the_owner_exposes_how_many_workers_are_evacuated(self) -> None:
        async def script(sim: CellSimulation) -> None:
            def exposed() -> list[bool]:
                return [
                    b"greengagewood_evacuated_workers 4" in instance._metrics.render()[0]
                    for instance in sim.instances.values()
                ]

            sim.platform.evacuate("z0", "z1")
            await asyncio.sleep(1)
            assert sum(exposed()) == 1
            sim.platform.take_back("z0")
            await asyncio.sleep(1)
            assert not any(exposed())

        run_simulation(CellSimulation(1), script)


def _ids(count: int) -> list[str]:
    return [f"{number:016x}" for number in range(count)]


class TestWholePath:
    """Entry instances in virtual time; the platform records starts that break the bound."""

    def test_jobs_end_outside_of_the_domain_and_its_runs_go_on(self) -> None:
        async def script(sim: CellSimulation) -> None:
            jobs = _ids(18)
            for number, job in enumerate(jobs):
                await sim.submit(job, *mixed_job(number))
            await asyncio.sleep(2)
            sim.platform.evacuate("z0")
            await asyncio.sleep(0.5)
            before = sim.platform.running_in("z0")
            assert before
            more = [f"{number:016x}" for number in range(100, 112)]
            for job in more:
                await sim.submit(job, "fast", short_job())
            await asyncio.sleep(20)
            after = sim.platform.running_in("z0")
            assert after <= before, "something was started in the evacuated domain"
            services = {job for number, job in enumerate(jobs) if number % 3 == 2}
            kept = {run for run in before if run[0].job_id in services}
            assert kept <= after, "a run was stopped because of the order"
            finished = await sim.wait_until_ended(set(jobs) - services | set(more), SETTLE_S)
            assert finished == set()

        assert run_simulation(CellSimulation(3), script).platform.violations == []

    def test_everything_waits_while_all_domains_are_evacuated(self) -> None:
        async def script(sim: CellSimulation) -> None:
            sim.platform.evacuate("z0", "z1", "z2", "nowhere")
            await asyncio.sleep(1)
            jobs = _ids(4)
            for job in jobs:
                await sim.submit(job, "fast", short_job())
            await asyncio.sleep(12)
            assert sim.platform.running_tasks() == set()
            sim.platform.take_back("z1")
            assert await sim.wait_until_ended(set(jobs), SETTLE_S) == set()

        assert run_simulation(CellSimulation(4), script).platform.violations == []

    def test_a_successor_knows_the_orders_that_it_read_as_a_follower(self) -> None:
        async def script(sim: CellSimulation) -> None:
            await sim.submit(_ids(1)[0], "serve", long_running_job())
            await asyncio.sleep(2)
            domain = next(f"z{n}" for n in range(3) if sim.platform.running_in(f"z{n}"))
            before = sim.platform.running_in(domain)
            sim.platform.evacuate(domain)
            await asyncio.sleep(6)
            for _ in range(3):
                owner = sim.owner()
                assert owner is not None
                await sim.kill_instance(owner)
                sim.start_instance(owner)
                await sim.submit(f"{random.getrandbits(60):016x}", "fast", short_job())
                await asyncio.sleep(8)
            assert sim.platform.running_in(domain) == before

        assert run_simulation(CellSimulation(5), script).platform.violations == []

    def test_an_order_during_a_change_of_owner_is_obeyed(self) -> None:
        async def script(sim: CellSimulation) -> None:
            owner = sim.owner()
            assert owner is not None
            await sim.kill_instance(owner)
            sim.platform.evacuate("z1")
            jobs = _ids(6)
            for job in jobs:
                await sim.submit(job, "fast", short_job())
            assert await sim.wait_until_ended(set(jobs), SETTLE_S) == set()

        sim = run_simulation(CellSimulation(6), script)
        assert sim.platform.violations == []

    def test_a_successor_that_cannot_read_the_orders_starts_nothing(self) -> None:
        async def script(sim: CellSimulation) -> None:
            await sim.submit(_ids(1)[0], "serve", long_running_job())
            await asyncio.sleep(2)
            running = sim.platform.running_tasks()
            sim.platform.faults.orders_unreadable_to.update(sim.instances)
            await asyncio.sleep(MAX_AGE_AT_TERM_START_MS / 1000)
            await sim.kill_instance(sim.owner() or "")
            sim.platform.evacuate("z0")
            job = "f" * 16
            await sim.submit(job, "fast", short_job())
            await asyncio.sleep(12)
            assert sim.owner() is not None
            assert sim.platform.running_tasks() == running  # whose leases it extends
            sim.platform.faults.orders_unreadable_to.clear()
            assert await sim.wait_until_ended({job}, SETTLE_S) == set()

        assert run_simulation(CellSimulation(7), script).platform.violations == []

    def test_an_order_stays_in_force_through_an_outage_before_its_withdrawal(self) -> None:
        async def script(sim: CellSimulation) -> None:
            jobs = _ids(6)
            for job in jobs:
                await sim.submit(job, "wide", best_effort_job())
            sim.platform.evacuate("z2")
            await asyncio.sleep(2)
            sim.platform.faults.store_silent_to.update(sim.instances)
            await asyncio.sleep(4)  # within the term of the owner, which goes on
            sim.platform.faults.store_silent_to.clear()
            await asyncio.sleep(8)
            assert sim.platform.running_in("z2") == set()
            sim.platform.take_back("z2")
            assert await sim.wait_until_ended(set(jobs), SETTLE_S) == set()

        assert run_simulation(CellSimulation(8), script).platform.violations == []

    def test_workers_that_are_released_beside_an_evacuation_lose_no_job(self) -> None:
        async def script(sim: CellSimulation) -> None:
            jobs = _ids(12)
            for number, job in enumerate(jobs):
                await sim.submit(job, *mixed_job(number % 2))
            sim.platform.evacuate("z0")
            released = ["w1", "w2"]  # one in each of the other domains
            for name in released:
                sim.platform.drain(name)
            await asyncio.sleep(6)
            for name in released:
                sim.platform.crash(name)
            assert await sim.wait_until_ended(set(jobs), SETTLE_S) == set()

        assert run_simulation(CellSimulation(9), script).platform.violations == []

    @pytest.mark.parametrize("failing_share", [0.0, 0.5])
    def test_orders_reach_the_owner_through_the_operators_log(
        self, failing_share: float, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        topic = OperatorTopic(failing_share=failing_share)
        monkeypatch.setattr(drive, "SimConfigSource", lambda platform, name: ManifestSource(topic))  # type: ignore[arg-type]

        async def script(sim: CellSimulation) -> None:
            for version in range(2, 8):
                topic.add_manifest(version, CONFIG_BYTES)
                topic.append(f"evacuate/z{version % 3}", b"x" if version > 3 else b"")
            topic.append("evacuate/z0")  # z1 and z2 stay
            sim.platform.evacuate("z1", "z2")
            jobs = _ids(12)
            for job in jobs:
                await sim.submit(job, "fast", short_job())
                await asyncio.sleep(1)
                if job == jobs[5]:
                    await sim.kill_instance(sim.owner() or "n0")
            assert await sim.wait_until_ended(set(jobs), SETTLE_S) == set()
            assert {i.evacuations.domains for i in sim.instances.values() if i.evacuations} == {
                frozenset(("z1", "z2"))
            }

        topic.add_manifest(1)
        assert run_simulation(CellSimulation(10), script).platform.violations == []

    @pytest.mark.parametrize("seed", range(6))
    def test_random_orders_beside_random_faults(self, seed: int) -> None:
        async def script(sim: CellSimulation) -> None:
            platform, faults = sim.platform, sim.platform.faults
            jobs = _ids(24)
            for number, job in enumerate(jobs):
                await sim.submit(job, *mixed_job(number % 2))
                domain = f"z{sim.rng.randrange(3)}"
                match sim.rng.randrange(8):
                    case 0 | 1:
                        platform.evacuate(domain)
                    case 2:
                        platform.take_back(domain)
                    case 3 if len(sim.instances) == 3:
                        name = sim.owner() or "n0"
                        await sim.kill_instance(name)
                        sim.start_instance(name)
                    case 4:
                        faults.orders_unreadable_to ^= {sim.rng.choice(["n0", "n1", "n2"])}
                    case 5:
                        faults.lost_answer_share = sim.rng.choice((0.0, 0.3))
                    case 6:
                        worker = sim.rng.choice(list(platform.workers.values()))
                        platform.crash_and_restart(worker)
                    case _:
                        pass
                await asyncio.sleep(sim.rng.uniform(0.2, 2.0))
                if number % 4 == 3:
                    faults.orders_unreadable_to.clear()
            faults.lost_answer_share = 0.0
            faults.orders_unreadable_to.clear()
            platform.take_back("z0", "z1", "z2")
            assert await sim.wait_until_ended(set(sim.accepted), SETTLE_S) == set()

        assert run_simulation(CellSimulation(200 + seed), script).platform.violations == []
