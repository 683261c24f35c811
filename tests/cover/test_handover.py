"""What an owner that stops as planned waits for before it releases its cell."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from greengagewood.internal.cells.cell import Cell
from greengagewood.internal.cells.runner import RELEASE_TIMEOUT_S
from greengagewood.internal.clock import monotonic_ms
from greengagewood.internal.ports import OrderReply, WorkerInfo
from tests.common.drive import CellSimulation, long_running_job, run_simulation, short_job
from tests.common.plant import SimWorkerLink

JOB = "0" * 16
TASK_COUNT = 3
MAX_GAP_MS = 2_000  # of a task that lasts, after the release of its owner


def _lasting_runs(sim: CellSimulation, name: str) -> list[bool]:
    """Return for each run of the lasting job on a worker whether it is being stopped."""
    runs = sim.platform.workers[name].runs
    return [run.stopping for task, run in runs.items() if task.job_id == JOB]


async def _stop_first_runs(sim: CellSimulation) -> str:
    """Let a worker drain that has runs, until it has been told to stop them; return its name."""
    await sim.submit(JOB, "serve", long_running_job())
    await asyncio.sleep(2)
    name = next(name for name in sim.platform.workers if _lasting_runs(sim, name))
    sim.platform.drain(name)
    while not all(_lasting_runs(sim, name)):
        await asyncio.sleep(0.005)
    assert _lasting_runs(sim, name)
    return name


async def _leave_when_empty(sim: CellSimulation, name: str, after_s: float = 0.02) -> None:
    """Let a worker leave soon after the last of its runs has ended."""
    while sim.platform.workers[name].runs:
        await asyncio.sleep(0.005)
    await asyncio.sleep(after_s)
    sim.platform.crash(name)


async def _release(sim: CellSimulation, owner: str) -> float:
    """Stop an owner as planned; return how many seconds its release took."""
    loop = asyncio.get_running_loop()
    begun_s = loop.time()
    await sim.instances[owner].release_cell()
    took_s = loop.time() - begun_s
    await sim.kill_instance(owner)
    return took_s


def _owner(sim: CellSimulation) -> str:
    owner = sim.owner()
    assert owner is not None
    return owner


def _record_calls(
    monkeypatch: pytest.MonkeyPatch, calls: list[tuple[str, str, int]], *names: str
) -> None:
    """Record the kind, the sender and the time of each call to a worker as it is sent."""
    for name in names:
        method: Callable[..., Awaitable[Any]] = getattr(SimWorkerLink, name)

        async def recorded(
            link: SimWorkerLink,
            *args: Any,
            _name: str = name,
            _method: Callable[..., Awaitable[Any]] = method,
        ) -> Any:
            calls.append((_name, link.instance, monotonic_ms()))
            return await _method(link, *args)

        monkeypatch.setattr(SimWorkerLink, name, recorded)


class TestWorkersThatLeave:
    """Workers that leave while their owner stops."""

    @pytest.mark.parametrize("delay_s", [0.0, 0.1, 0.2])
    @pytest.mark.parametrize("seed", range(2))
    def test_tasks_told_to_stop_do_not_wait_for_the_lease_of_a_worker_that_left(
        self, seed: int, delay_s: float
    ) -> None:
        """Guards against a release that names runs whose ends are only a moment away."""

        async def script(sim: CellSimulation) -> None:
            name = await _stop_first_runs(sim)
            leaving = asyncio.ensure_future(_leave_when_empty(sim, name))
            await asyncio.sleep(delay_s)
            await _release(sim, _owner(sim))
            await asyncio.sleep(MAX_GAP_MS / 1000)
            await leaving
            assert sim.platform.violations == []
            assert len(sim.platform.running_tasks()) == TASK_COUNT

        run_simulation(CellSimulation(seed), script)

    def test_a_stop_without_an_answer_yet_is_awaited(self) -> None:
        async def script(sim: CellSimulation) -> None:
            owner = _owner(sim)
            for name in sim.platform.workers:
                sim.platform.faults.delays_s[owner, name] = 0.06
            name = await _stop_first_runs(sim)
            # The next owner must not be in time to read the worker's list itself.
            sim.platform.faults.cut_links.update((n, name) for n in sim.instances if n != owner)
            leaving = asyncio.ensure_future(_leave_when_empty(sim, name, 0.13))
            await _release(sim, owner)
            await asyncio.sleep(MAX_GAP_MS / 1000)
            await leaving
            assert sim.platform.violations == []
            assert len(sim.platform.running_tasks()) == TASK_COUNT

        run_simulation(CellSimulation(1), script)


class TestRelease:
    """What an owner that stops sends, and how long its release takes."""

    def test_nothing_is_started_while_the_owner_waits(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        calls: list[tuple[str, str, int]] = []
        _record_calls(monkeypatch, calls, "start")

        async def script(sim: CellSimulation) -> None:
            await _stop_first_runs(sim)
            owner = _owner(sim)
            released = asyncio.ensure_future(_release(sim, owner))
            await asyncio.sleep(0)
            begun_ms = monotonic_ms()
            assert await sim.submit("1" * 16, "fast", short_job())
            assert await released > 0.1
            assert [c for c in calls if c[1] == owner and c[2] >= begun_ms] == []
            assert await sim.wait_until_ended({"1" * 16}, 8) == set()
            assert sim.platform.violations == []

        run_simulation(CellSimulation(1), script)

    @pytest.mark.parametrize("late", [False, True])
    def test_no_call_is_sent_once_the_record_is_collected(
        self, late: bool, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against runs and leases that the record of the release does not know."""
        calls: list[tuple[str, str, int]] = []
        _record_calls(monkeypatch, calls, "start", "stop", "throttle", "extend_lease")
        collected_after: list[int] = []
        collect = Cell.collect_changes

        def collect_changes(
            cell: Cell, wall_ms: int, now_ms: int, releasing: bool = False
        ) -> object:
            if releasing:
                collected_after.append(len(calls))
            return collect(cell, wall_ms, now_ms, releasing)

        async def script(sim: CellSimulation) -> None:
            for number in range(4):
                await sim.submit(f"{number + 1:016x}", "fast", short_job())
            name = await _stop_first_runs(sim)
            owner = _owner(sim)
            if late:  # the owner's bound is over before anything has answered
                sim.platform.faults.cut_links.add((owner, name))
                sim.platform.faults.store_delays_s[owner] = 0.3
            await sim.instances[owner].release_cell()
            assert collected_after
            assert [c for c in calls[collected_after[0] :] if c[1] == owner] == []

        monkeypatch.setattr(Cell, "collect_changes", collect_changes)
        run_simulation(CellSimulation(1), script)

    def test_only_workers_that_drain_get_no_lease_while_the_owner_waits(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against runs that lapse on a worker that has had no lease but that of a start."""
        extended: dict[str, list[bool]] = {}
        extend_lease = SimWorkerLink.extend_lease

        async def record(
            link: SimWorkerLink, info: WorkerInfo, deadline_ms: int | None, *args: Any
        ) -> object:
            if link.instance in stopping:
                extended.setdefault(info.worker_id, []).append(deadline_ms is not None)
            return await extend_lease(link, info, deadline_ms, *args)

        async def script(sim: CellSimulation) -> None:
            name = await _stop_first_runs(sim)
            owner = _owner(sim)
            sim.platform.faults.cut_links.add((owner, name))  # so that it waits for its bound
            stopping.add(owner)
            await sim.instances[owner].release_cell()
            assert not any(extended.pop(name, []))
            assert extended.keys() == sim.platform.workers.keys() - {name}
            assert all(all(leases) for leases in extended.values())

        stopping: set[str] = set()
        monkeypatch.setattr(SimWorkerLink, "extend_lease", record)
        run_simulation(CellSimulation(1), script)

    @pytest.mark.parametrize("store", ["answers", "silent"])
    @pytest.mark.parametrize("worker", ["answers", "silent", "refuses"])
    def test_the_release_ends_in_time(self, worker: str, store: str) -> None:
        """Guards against an instance that is killed at the end of its grace time."""

        async def script(sim: CellSimulation) -> None:
            name = await _stop_first_runs(sim)
            owner = _owner(sim)
            faults = sim.platform.faults
            if worker == "silent":
                faults.cut_links.add((owner, name))
            if worker == "refuses":
                faults.refused_lease_links.add((owner, name))
            if store == "silent":
                faults.store_silent_to.add(owner)
            took_s = await _release(sim, owner)
            assert took_s <= (RELEASE_TIMEOUT_S + 0.01 if store == "silent" else 0.8)
            await asyncio.sleep(15)
            assert sim.platform.violations == []
            assert len(sim.platform.running_tasks()) == TASK_COUNT

        run_simulation(CellSimulation(1), script)

    def test_a_start_that_is_never_answered_holds_the_release_up_to_the_bound(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        sent = asyncio.Event()

        async def start(link: SimWorkerLink, *args: object) -> OrderReply:
            sent.set()
            await asyncio.sleep(30)
            return OrderReply("")

        async def script(sim: CellSimulation) -> None:
            owner = _owner(sim)
            with monkeypatch.context() as patch:
                patch.setattr(SimWorkerLink, "start", start)
                await sim.submit(JOB, "serve", long_running_job())
                await sent.wait()
                assert await _release(sim, owner) <= 0.8
            await asyncio.sleep(25)
            assert sim.platform.violations == []
            assert len(sim.platform.running_tasks()) == TASK_COUNT

        run_simulation(CellSimulation(1), script)

    def test_an_owner_with_nothing_under_way_releases_at_once(self) -> None:
        async def script(sim: CellSimulation) -> None:
            await sim.submit(JOB, "serve", long_running_job())
            await asyncio.sleep(2)
            assert await _release(sim, _owner(sim)) < 0.02
            await asyncio.sleep(MAX_GAP_MS / 1000)
            assert sim.platform.violations == []
            assert len(sim.platform.running_tasks()) == TASK_COUNT

        run_simulation(CellSimulation(1), script)
