"""What readers of the native daemons doubted, each shown by the case that it was about."""

from __future__ import annotations

from types import SimpleNamespace

import aiohttp
import pytest
from aiohttp import web
from devtools.lab import lab_document

from greengagewood.internal import celllog
from greengagewood.internal.celllog import CellLog
from greengagewood.internal.interference import LatencySample
from greengagewood.internal.membership import Membership
from greengagewood.internal.messages import Member
from greengagewood.internal.native.logservice import (
    AppendOutcomeUnknown,
    LogService,
    LogUnavailable,
    NewRecord,
)
from greengagewood.internal.native.workers import StartCommand
from greengagewood.internal.placement import Resources
from greengagewood.internal.placer import Placer
from greengagewood.internal.records import CellClaimed, TaskOutcome, WorkersChanged
from greengagewood.internal.suspicion import FAILURES_TO_QUARANTINE, WorkerFailureTracker
from greengagewood.internal.tailguard import (
    IDLE_AFTER_S,
    THROTTLED_SPEED,
    BatchAttempt,
    TailLatencyController,
)
from greengagewood.internal.workerstate import WorkerState
from tests.common.world import World

SLOW = LatencySample("quotazioni", "w", 50, 50 * 7.0, 50 * 49.1)


class TestLogService:
    """Statuses of an append that may come from something between us and the log service."""

    @pytest.mark.parametrize(
        ("status", "error"),
        [
            (500, AppendOutcomeUnknown),
            (504, AppendOutcomeUnknown),
            (503, LogUnavailable),
            (429, LogUnavailable),
        ],
    )
    async def test_only_refusals_of_the_service_count_as_refusals(
        self, status: int, error: type[Exception]
    ) -> None:
        async def handle(req: web.BaseRequest) -> web.StreamResponse:
            return web.Response(status=status)

        runner = web.ServerRunner(web.Server(handle))
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        host, port = runner.addresses[0][:2]
        async with aiohttp.ClientSession() as session:
            log = LogService(session, f"{host}:{port}")  # type: ignore[arg-type]
            with pytest.raises(error):
                await log.append("s", [NewRecord("1", b"{}")], 1.0)  # type: ignore[arg-type]
        await runner.cleanup()


class TestCellLog:
    """A reader whose buffer overflows while it waits for a snapshot."""

    def test_a_snapshot_from_before_dropped_records_is_not_used(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(celllog, "MAX_BUFFERED_RECORDS", 1)
        writer = CellLog("c")
        writer.replay(1, CellClaimed("a", 1, 0, ()))
        snapshot = writer.write_snapshot("s", 10_000)
        reader = CellLog("c")
        reader.lose_sync()
        for offset in (2, 3, 4):
            reader.replay(offset, WorkersChanged(1, {f"w{offset}": "u"}, ()))
        for part in snapshot:
            reader.replay(5, part)
        assert not reader.synced


class TestTailLatencyController:
    """Services that share a worker, or have no requests."""

    @staticmethod
    def _controller(*services: str) -> TailLatencyController:
        document = lab_document("padana")
        settings = next(iter(document.services.values()))
        for name in services:
            document.services[name] = settings
        controller = TailLatencyController()
        controller.set_document(document)
        controller.set_services({"w": set(services)})
        return controller

    def test_a_throttled_service_without_requests_evicts_nothing(self) -> None:
        controller = self._controller("quotazioni")
        attempts = [BatchAttempt(f"t{n}", 1, "heavy", 8) for n in range(4)]
        for second in range(30):
            controller.begin_second()
            controller.record_latency(SLOW, attempts, 64)
            controller.plan_mitigations("w", attempts, 64, second * 1000)
        speeds = []
        for second in range(30, 30 + IDLE_AFTER_S + 60):
            controller.begin_second()
            planned = controller.plan_mitigations("w", attempts, 64, second * 1000)
            if second > 30 + IDLE_AFTER_S:
                speeds += [mitigation.speed for mitigation in planned]
        assert 0.0 not in speeds

    def test_the_recovery_of_one_service_does_not_restore_tasks_that_slow_another(self) -> None:
        controller = self._controller("quotazioni", "other")
        attempts = [BatchAttempt("t", 1, "heavy", 8)]
        fast = LatencySample("other", "w", 50, 50 * 3.0, 50 * 9.1)
        slow_other = LatencySample("other", "w", 50, 50 * 7.0, 50 * 49.1)
        speeds = []
        for second in range(60):
            controller.begin_second()
            controller.record_latency(SLOW, attempts, 64)
            controller.record_latency(slow_other if second < 5 else fast, attempts, 64)
            speeds += [m.speed for m in controller.plan_mitigations("w", attempts, 64, second)]
        assert THROTTLED_SPEED in speeds
        assert 1.0 not in speeds


class TestWorkerFailures:
    def test_a_late_success_does_not_end_a_quarantine(self) -> None:
        tracker = WorkerFailureTracker()
        for number in range(FAILURES_TO_QUARANTINE):
            tracker.record_task_failure("w", f"t{number}", 1_000)
        tracker.record_task_success("w", 2_000)
        assert tracker.is_quarantined("w", 3_000)


class TestEvictions:
    def test_tasks_that_need_not_go_are_not_evicted(self) -> None:
        worker = WorkerState("w", "u", fenced=True, registered=True)
        worker.capacity = Resources(64, 250_000, 0)
        for name, cpus, memory_mb in (("cpu", 8, 1_000), ("memory", 4, 50_000)):
            worker.assign(StartCommand(name, 1, "light", cpus, memory_mb, 0, 1_000))
        controller = TailLatencyController()
        document = lab_document("padana")
        controller.set_document(document)
        placer = Placer({"w": worker}, controller)
        job = SimpleNamespace(size=Resources(4, 40_000, 0))
        victims = placer._victims(job, worker, Resources(0, 0, 0), document)  # type: ignore[arg-type]
        assert victims == ["memory"]


class TestMembership:
    def test_a_changed_address_of_a_keeper_is_a_change(self) -> None:
        def member(name: str, number: int, address: str) -> Member:
            return Member(name, "d", 1, number, False, address, "", "", (0, ""))  # type: ignore[arg-type]

        membership = Membership(member("a", 1, "x"), 0)
        membership.merge(member("b", 1, "y"), 0, 0)
        version = membership.version
        membership.merge(member("b", 2, "z"), 0, 0)
        assert membership.version > version


class TestTakeover:
    def test_a_task_that_has_used_up_its_attempts_is_given_up_at_a_takeover(self) -> None:
        # The earlier owner logged the last failure and died before it logged that the task failed.
        world = World(seed=3)
        world.run(40)
        world.submit(1, 4, 60_000)
        world.run(20)
        (owner,) = world.owners()
        cell = world.schedulers[owner].owner
        (task,) = cell.book.tasks.values()
        limit = cell._max_failures(task)
        for number in range(limit):
            cell.book.record_outcome(TaskOutcome(task.name, number, "attempt_failed", f"x{number}"))
        world.run(20)
        for worker in list(world.workers):
            world.replace_worker(worker)  # nothing of the task runs any more
        world.replace_scheduler(owner)
        world.run(600)
        assert world.final_outcomes[task.name][0] == "failed"

    def test_a_late_answer_of_an_earlier_term_does_not_allow_a_second_append(self) -> None:
        world = World(seed=3)
        world.run(40)
        (owner,) = world.owners()
        cell = world.schedulers[owner].owner
        cell._append_in_flight = True
        cell.append_finished(WorkersChanged(cell.epoch - 1, {}, ()), True)
        assert cell._append_in_flight
        cell.append_finished(WorkersChanged(cell.epoch, {}, ()), True)
        assert not cell._append_in_flight
