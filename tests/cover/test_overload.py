"""Overload: the order of a backlog, the forecast of the owner, and the refusal of jobs by it."""

from __future__ import annotations

import asyncio
import json
from itertools import pairwise

import aiohttp
import msgspec
import pytest
from aiohttp import web

from greengagewood.internal.cells.forecast import density_band, forecast_job
from greengagewood.internal.cells.ledger import Ledger
from greengagewood.internal.cells.ownership import OwnershipView
from greengagewood.internal.cells.planner import Planner
from greengagewood.internal.cells.value import objective_of
from greengagewood.internal.entry.overload import (
    FORECAST_MARGIN,
    MAX_FORECAST_AGE_MS,
    MAX_RETRY_AFTER_S,
    Refusal,
    decide_refusal,
    retry_after_s,
)
from greengagewood.internal.jobs.book import Step
from greengagewood.internal.jobs.model import JobSpec, Queue, StepSpec
from greengagewood.internal.jobs.records import (
    Cancellation,
    DensityBand,
    Forecast,
    Ownership,
    Progress,
    QueueBacklog,
    RegisteredWorkers,
    ServiceForecast,
    Submission,
    decode_record,
    encode_record,
    key_of,
)
from greengagewood.internal.metrics import Metrics
from greengagewood.internal.ports import LogEntry, Outcome, RouteRule
from greengagewood.platform.frontend import Frontend
from tests.common.backlog import TASK_CPU_MILLIS, Overload, SharedBacklog, arrival_order
from tests.common.drive import (
    CONFIG,
    QUEUES,
    CellSimulation,
    best_effort_job,
    run_simulation,
    short_job,
)

SERVICE_CPU_MILLIS = 36_000  # more than half of a worker, as services have it in deployments
SEEDS = range(5)


# Orders of a backlog.


def earliest_objective_order(planner: Planner, step: Step, arrivals: dict, now_ms: int) -> tuple:
    """Rank the jobs that can be in time by their objectives, before those that can't."""
    job, queue = step.job, planner.queue_of(step.job)
    due_ms = job.arrived_ms + objective_of(queue, max(job.critical_paths_ms))
    return (queue.priority, planner.values.lateness(job, step.number, queue, now_ms), due_ms)


class ForecastOrder:
    """Rank the jobs that end in time by the work of the denser jobs before them, then the others.

    Both are in order of density.
    """

    def __init__(self, cpu_millis: int) -> None:
        self.cpu_millis = cpu_millis
        self.computed_ms = -1
        self.in_time: set[str] = set()

    def __call__(self, planner: Planner, step: Step, arrivals: dict, now_ms: int) -> tuple:
        if now_ms != self.computed_ms:
            self.computed_ms = now_ms
            self.in_time = self._find_in_time(planner, now_ms)
        density = planner.value_density(step, now_ms)
        return (0, step.job.id not in self.in_time, -density)

    def _find_in_time(self, planner: Planner, now_ms: int) -> set[str]:
        waiting = []
        for job in planner._book.jobs.values():
            steps = [s for s in job.occurrences.get(0, ()) if s.unfinished_count]
            if steps and not job.is_final and steps[0].spec.best_effort:
                waiting.append((-planner.value_density(steps[0], now_ms), steps[0]))
        in_time = set()
        before_cpu_ms = 0
        for _, step in sorted(waiting, key=lambda entry: entry[0]):
            job = step.job
            cpu_ms = planner._book.remaining_cpu_ms(job, 0)
            work_ms = 1000 * (before_cpu_ms + cpu_ms) / self.cpu_millis
            end_ms = now_ms + max(job.critical_paths_ms[step.number], work_ms)
            objective_ms = objective_of(planner.queue_of(job), max(job.critical_paths_ms))
            if end_ms <= job.arrived_ms + objective_ms:
                in_time.add(job.id)
                before_cpu_ms += cpu_ms
        return in_time


def best_value(played: SharedBacklog) -> float:
    """Return a value that no order exceeds: the densest work that fits into all CPU time."""
    left_cpu_s = played.capacity_cpu_s(played.elapsed_ms)
    jobs = [j.submission.spec.steps for j in played.harness.cell.book.jobs.values()]
    offered = [(played._value(s), played._cpu_s(s)) for s in jobs if s[0].best_effort]
    best = 0.0
    for value, cpu_s in sorted(offered, key=lambda job: -job[0] / job[1]):
        best += value * min(1.0, left_cpu_s / cpu_s)
        left_cpu_s = max(0.0, left_cpu_s - cpu_s)
    return best


def play(seed: int, load: float, order: object, service_cpu_millis: int) -> SharedBacklog:
    played = SharedBacklog(seed, load, rank=order, service_cpu_millis=service_cpu_millis)  # type: ignore[arg-type]
    return played.play()


class TestOrders:
    """Guard against an order that earns callers less than others in a backlog."""

    @staticmethod
    def _orders(service_cpu_millis: int) -> dict[str, object]:
        cpu_millis = 3 * int(64_000 - 0.6 * service_cpu_millis)
        return {
            "density": None,
            "earliest objective": earliest_objective_order,
            "forecast": ForecastOrder(cpu_millis),
            "arrival": arrival_order,
        }

    @pytest.mark.parametrize("load", [0.8, 1.5, 2.5])
    @pytest.mark.parametrize("service_cpu_millis", [SERVICE_CPU_MILLIS, 0])
    def test_no_order_is_above_the_bound_and_density_is_not_below_arrival(
        self, load: float, service_cpu_millis: int
    ) -> None:
        earned: dict[str, float] = {}
        for seed in SEEDS:
            for name, order in self._orders(service_cpu_millis).items():
                played = play(seed, load, order, service_cpu_millis)
                assert played.earned <= best_value(played) + 1e-6
                earned[name] = earned.get(name, 0.0) + played.earned / played.owed / len(SEEDS)
        print(f"load {load}, services {service_cpu_millis}:", earned)
        assert earned["density"] >= earned["arrival"] - 1e-9

    @pytest.mark.parametrize("seed", SEEDS)
    def test_density_earns_three_times_of_arrival_beside_services(self, seed: int) -> None:
        density = play(seed, 2.5, None, SERVICE_CPU_MILLIS)
        naive = play(seed, 2.5, arrival_order, SERVICE_CPU_MILLIS)
        assert density.earned > 3 * naive.earned

    def test_workers_do_no_more_work_than_their_cpus(self) -> None:
        # A harness that lost the runs that a worker did not list used CPUs several times over.
        played = play(1, 2.5, None, 0)
        done_cpu_s = sum(
            task.step.spec.cpu_millis / 1000 * task.step.spec.estimate_ms / 1000
            for job in played.harness.cell.book.jobs.values()
            for task in job.opened_tasks()
            if task.end_state == "done"
        )
        assert done_cpu_s <= 1.01 * played.capacity_cpu_s(played.elapsed_ms)


# The forecast.


def _overload(seed: int, load: float, later_load: float, **options: object) -> Overload:
    settings = {"seconds": 60.0, "service_cpu_millis": SERVICE_CPU_MILLIS, **options}
    return Overload(seed, load, later_load=later_load, **settings).play()  # type: ignore[arg-type]


class TestForecast:
    """Guard against forecasts of a load that the workers carry, or of work that isn't done."""

    def test_no_forecast_is_stored_at_moderate_load(self) -> None:
        for seed in SEEDS:
            # One job in ten is large, and may fill the workers for a moment.
            assert len(_overload(seed, 0.5, 0.5).harness.forecasts) <= 5

    def test_forecasts_are_small_rare_and_end_with_the_backlog(self) -> None:
        played = _overload(1, 2.5, 0.3)
        forecasts = played.harness.forecasts
        assert len(forecasts) > 20
        assert all(b[0] - a[0] >= 1_000 for a, b in pairwise(forecasts))
        assert max(len(encode_record(record)) for _, record in forecasts) < 1_000
        assert forecasts[-1][1] == Forecast(1)

    def test_the_work_that_is_done_is_that_of_the_cpus(self) -> None:
        played = _overload(2, 2.5, 2.5, refuses=False)
        rates = [f.services[0].cpu_millis for _, f in played.harness.forecasts if f.services]
        mean = sum(rates) / len(rates)
        assert mean == pytest.approx(3 * played.worker_cpu_millis, rel=0.1)

    def test_an_image_without_room_does_not_saturate_a_service(self) -> None:
        # Room is per image: one image may wait for long while most tasks are placed at once.
        played = Overload(3, 0.5, seconds=30.0, later_load=0.5, service_cpu_millis=0)
        played.begin()
        load = played.harness.cell._load
        stuck = StepSpec(
            5, cpu_millis=7_000, memory_mb=10**9, estimate_ms=900, best_effort=True, image="stuck"
        )
        for number in range(300):
            if number % 40 == 0:
                played.harness.submit(stuck, job=f"{number:015x}f")
            if number % 8 == 0:
                spec = replace_memory(stuck, 1)
                played.harness.submit(spec, job=f"{number:015x}0")
            played._step()
            played._list_runs()
            assert not load.is_saturated("svc", played.harness.now_ms)
        assert max(load._waiting_since_ms.values(), default=0) > 0
        assert load._loads["svc"].overdue_now

    def test_jobs_wait_for_no_forecast_when_all_domains_are_evacuated(self) -> None:
        played = Overload(3, 2.5, seconds=10.0, service_cpu_millis=SERVICE_CPU_MILLIS)
        played.begin()
        played.harness.read_orders("z")
        for number in range(200):
            played.harness.submit(_steps(8)[0], job=f"{number:016x}")
            played._step()
            played._list_runs()
        assert not played.harness.cell._load.is_saturated("svc", played.harness.now_ms)
        assert played.harness.forecasts == []

    def test_workers_with_idle_cpus_are_not_saturated(self) -> None:
        # A wide job that fits nowhere, and little other load: few CPUs are in use, so that a
        # forecast from the work that is done would be far too late.
        played = Overload(3, 0.5, seconds=30.0, later_load=0.5, service_cpu_millis=0)
        played.begin()
        harness = played.harness
        stuck = StepSpec(90, cpu_millis=7_000, memory_mb=10**9, estimate_ms=900, best_effort=True)
        for number in range(200):
            if number == 40:
                harness.submit(stuck, job="f" * 16)
            if number % 15 == 0:
                harness.submit(_steps(2)[0], job=f"{number:016x}")
            played._step()
            played._list_runs()
        load = harness.cell._load._loads["svc"]
        assert load.overdue_tasks > load.prompt_starts
        assert harness.forecasts == []

    def test_tasks_that_wait_for_the_owner_do_not_saturate_a_service(self) -> None:
        played = Overload(3, 2.5, seconds=20.0, later_load=2.5, service_cpu_millis=0)
        played.begin()
        harness = played.harness
        for number in range(200):
            harness.submit(_steps(20)[0], job=f"{number:016x}")
            played._step()
            played._list_runs()
            harness.cell.plan(harness.now_ms, harness.now_ms, 0)  # it awaits answers to starts
            if number == 150:
                load = harness.cell._load._loads["svc"]
                assert load.overdue_tasks > load.prompt_starts
                assert load.overdue_now
        assert harness.forecasts == []

    def test_higher_priorities_and_denser_jobs_go_before(self) -> None:
        spec = JobSpec("p", _steps(10))
        cpu_ms = 10 * 7_000
        own_band = density_band(1.0 / cpu_ms)
        queue = Queue("wide", "svc", 2, 2, 2.0, 1_000)
        held = (QueueBacklog("wide", 500_000, cpu_ms),)

        def end_ms(*bands: DensityBand) -> int:
            job = forecast_job(ServiceForecast("svc", 70_000, held, bands), queue, spec)
            assert job is not None
            return job.end_ms

        alone_ms = end_ms()
        assert alone_ms == 1_000
        assert end_ms(DensityBand(2, own_band, 700_000, 0)) == alone_ms
        assert end_ms(DensityBand(3, own_band + 1, 700_000, 0)) == alone_ms
        assert end_ms(DensityBand(2, own_band + 1, 140_000, 0)) == 3_000
        assert end_ms(DensityBand(0, own_band - 9, 140_000, 0)) == 3_000
        assert end_ms(DensityBand(0, 0, 140_000, 70_000)) > 10_000

    def test_a_record_that_may_not_be_stored_is_written_again(self) -> None:
        load = _overload(1, 2.5, 2.5, seconds=10.0).harness.cell._load
        now_ms = 10**7
        load.due_record(now_ms)
        record = Forecast(1)
        load.note_unconfirmed(record)
        assert load.due_record(now_ms + 1) is not None


def replace_memory(spec: StepSpec, memory_mb: int) -> StepSpec:
    return msgspec.structs.replace(spec, memory_mb=memory_mb, image="free")


def _steps(tasks: int, estimate_ms: int = 1_000) -> tuple[StepSpec, ...]:
    return (StepSpec(tasks, cpu_millis=TASK_CPU_MILLIS, estimate_ms=estimate_ms, best_effort=True),)


# The refusal.

WIDE = QUEUES["wide"]
JOB = best_effort_job()
FULL = ServiceForecast(
    "svc", 10_000, (QueueBacklog("wide", 10**7, 70_000),), (DensityBand(2, 40, 10**7, 0),)
)


def _refuses(
    queue: Queue = WIDE,
    spec: JobSpec = JOB,
    service: ServiceForecast = FULL,
    age_ms: int = 500,
    queues: dict[str, Queue] = QUEUES,
) -> bool:
    forecast = Forecast(1, (service,))
    return decide_refusal("a" * 16, queue, spec, queues.values(), forecast, age_ms) is not None


class TestRefusal:
    """Guard against the refusal of a job that would have earned its caller something."""

    def test_a_job_that_earns_nothing_is_refused(self) -> None:
        assert _refuses()

    def test_a_single_priority_is_the_lowest(self) -> None:
        assert _refuses(queues={"wide": WIDE})

    def test_every_condition_is_needed(self) -> None:
        lower = Queue("lower", "svc", 3)
        assert not _refuses(queues={**QUEUES, "lower": lower})
        assert not _refuses(age_ms=MAX_FORECAST_AGE_MS)
        assert not _refuses(spec=short_job())
        assert not _refuses(spec=JobSpec("p", (*JOB.steps, *short_job().steps)))
        assert not _refuses(spec=msgspec.structs.replace(JOB, first_due_ms=10**12))
        assert not _refuses(service=msgspec.structs.replace(FULL, service="other"))

    def test_a_queue_of_another_service_does_not_count(self) -> None:
        assert _refuses(queues={**QUEUES, "other": Queue("other", "elsewhere", 9)})

    def test_the_forecast_must_exceed_the_worth_of_the_job_by_a_margin(self) -> None:
        objective_ms = 2 * 2_000 + 1_000
        for end_ms in range(1_000, 60_000, 1_000):
            cpu_ms = end_ms * 10 - 70_000  # of 10 CPUs, before the work of the job
            service = msgspec.structs.replace(FULL, bands=(DensityBand(2, 40, cpu_ms, 0),))
            assert _refuses(service=service) == (end_ms > 3 * FORECAST_MARGIN * objective_ms)

    def test_a_queue_below_its_share_is_not_refused_for_others(self) -> None:
        # A caller that sends more than its share is refused first.
        other = Queue("other", "svc", 2, 2, 2.0, 1000)
        held = (QueueBacklog("other", 900, 70_000), QueueBacklog("wide", 100, 70_000))
        service = msgspec.structs.replace(FULL, queues=held)
        queues = {**QUEUES, "other": other}
        assert not _refuses(service=service, queues=queues)
        assert _refuses(queue=other, service=service, queues=queues)
        held = (QueueBacklog("other", 900, 70_000),)
        assert not _refuses(service=msgspec.structs.replace(FULL, queues=held), queues=queues)

    def test_retries_are_spread_over_time(self) -> None:
        for in_time_after_ms in (0, 900, 5_000, 12_000, 10**6):
            retries = [retry_after_s(f"{n:016x}", in_time_after_ms) for n in range(400)]
            first_s = max(1, min(in_time_after_ms / 1000, MAX_RETRY_AFTER_S / 2))
            assert min(retries) >= first_s
            assert max(retries) <= min(MAX_RETRY_AFTER_S, 2 * first_s + 1)
            assert len(set(retries)) >= min(15, int(first_s))
        assert retry_after_s("a" * 16, 7_000) == retry_after_s("a" * 16, 7_000)


class TestPlayedLoad:
    """What callers get with and without refusal, in virtual time."""

    @pytest.mark.parametrize("load", [0.5, 0.8])
    def test_nobody_is_refused_at_moderate_load(self, load: float) -> None:
        for seed in SEEDS:
            assert _overload(seed, load, load).refusals == []

    @pytest.mark.parametrize(("load", "later_load"), [(1.5, 0.5), (2.5, 0.5), (4.0, 0.3)])
    def test_callers_get_no_less_than_without_refusal(self, load: float, later_load: float) -> None:
        earned = {True: 0.0, False: 0.0}
        refusals = 0
        for refuses in earned:
            fates: dict[str, int] = {}
            for seed in range(10):
                played = _overload(seed, load, later_load, refuses=refuses)
                refusals += len(played.refusals)
                earned[refuses] += played.earned / played.owed / 10
                for fate, count in played.fates().items():
                    fates[fate] = fates.get(fate, 0) + count
            print(f"load {load}, refuses {refuses}: {earned[refuses]:.3f} {fates} {refusals}")
        assert earned[True] >= earned[False]
        if load >= 2.5:
            assert refusals > 20

    def test_callers_who_return_do_not_arrive_as_one_wave(self) -> None:
        returns_s: list[int] = []
        refused_s: list[int] = []
        for seed in range(10):
            played = _overload(seed, 4.0, 0.3)
            # All jobs refused in the same seconds of all runs, as if they had come together.
            refused_s += [now_ms // 1000 for now_ms, _, _ in played.refusals]
            returns_s += [now_ms // 1000 + r.retry_after_s for now_ms, _, r in played.refusals]
        busiest = max(returns_s.count(second) for second in set(returns_s))
        assert len(returns_s) > 100
        assert busiest <= 0.1 * len(returns_s)
        assert busiest <= 2 * max(refused_s.count(second) for second in set(refused_s))


# Failures.


class StoredForecasts:
    """Write forecasts to the log of a simulated cell, as its owner does."""

    def __init__(self, sim: CellSimulation) -> None:
        self.sim = sim

    @property
    def token(self) -> int:
        return self.sim.platform.store.epoch

    def append(self, token: int | None = None, *services: ServiceForecast) -> None:
        record = Forecast(token if token is not None else self.token, services or (FULL,))
        self.sim.platform.store.append_records([(key_of(record), encode_record(record))])

    def follower(self) -> str:
        return next(name for name in self.sim.instances if name != self.sim.owner())

    async def is_refused(self, name: str, job: str = "a" * 16) -> bool:
        self.sim.platform.specs[job] = JOB.steps
        instance = self.sim.instances[name]
        return await instance.find_refusal(job, WIDE, JOB) is not None


class TestSetting:
    """Guard against refusals where the operators have not asked for them."""

    def test_nothing_is_refused_without_the_setting(self) -> None:
        async def script(sim: CellSimulation) -> None:
            stored = StoredForecasts(sim)
            name = stored.follower()
            stored.append()
            await asyncio.sleep(1)
            assert await stored.is_refused(name)
            instance = sim.instances[name]
            instance._cfg = msgspec.structs.replace(instance._cfg, refuse_hopeless_jobs=False)
            assert not await stored.is_refused(name)

        run_simulation(CellSimulation(38), script)


class TestFailures:
    """Guard against a refusal that is not true, or by an instance that knows too little."""

    def test_an_instance_refuses_by_a_recent_forecast_only(self) -> None:
        async def script(sim: CellSimulation) -> None:
            stored = StoredForecasts(sim)
            name = stored.follower()
            assert not await stored.is_refused(name)  # there is none
            stored.append()
            await asyncio.sleep(1)
            for other in sim.instances:  # the owner, too
                assert await stored.is_refused(other)
            await asyncio.sleep(MAX_FORECAST_AGE_MS / 1000)
            assert not await stored.is_refused(name)
            stored.append(None, FULL)
            await asyncio.sleep(1)
            assert await stored.is_refused(name)
            sim.platform.store.append_records([("f", encode_record(Forecast(stored.token)))])
            await asyncio.sleep(1)
            assert not await stored.is_refused(name)

        run_simulation(CellSimulation(31), script)

    def test_a_forecast_of_an_earlier_owner_is_not_used(self) -> None:
        async def script(sim: CellSimulation) -> None:
            stored = StoredForecasts(sim)
            token = stored.token
            owner = sim.owner()
            assert owner is not None
            await sim.kill_instance(owner)
            for _ in range(100):
                if stored.token > token:
                    break
                await asyncio.sleep(0.1)
            await asyncio.sleep(1)
            stored.append(token)
            await asyncio.sleep(1)
            assert not await stored.is_refused(stored.follower())
            stored.append()
            await asyncio.sleep(1)
            assert await stored.is_refused(stored.follower())

        run_simulation(CellSimulation(32), script)

    def test_a_forecast_that_was_loaded_is_of_unknown_age(self) -> None:
        async def script(sim: CellSimulation) -> None:
            stored = StoredForecasts(sim)
            stored.append()
            sim.start_instance("late")
            await asyncio.sleep(1)
            assert sim.instances["late"].ledger.forecast is not None
            assert not await stored.is_refused("late")
            stored.append()
            await asyncio.sleep(1)
            assert await stored.is_refused("late")

        run_simulation(CellSimulation(33), script)

    def test_an_instance_that_is_cut_off_refuses_nothing(self) -> None:
        async def script(sim: CellSimulation) -> None:
            stored = StoredForecasts(sim)
            name = stored.follower()
            stored.append()
            await asyncio.sleep(0.8)
            assert await stored.is_refused(name)
            sim.platform.faults.store_silent_to.add(name)
            loop = asyncio.get_running_loop()
            for _ in range(6):
                sent_s = loop.time()
                assert not await stored.is_refused(name)
                assert loop.time() - sent_s < 0.5
                await asyncio.sleep(0.3)
            # Records that were stored meanwhile may be as old as the cut.
            stored.append()
            await asyncio.sleep(4)
            sim.platform.faults.store_silent_to.clear()
            await asyncio.sleep(2)
            assert sim.instances[name].read_age_ms() < 1_000
            assert not await stored.is_refused(name)

        run_simulation(CellSimulation(34), script)

    def test_a_job_that_is_stored_is_never_refused(self) -> None:
        async def script(sim: CellSimulation) -> None:
            stored = StoredForecasts(sim)
            name = stored.follower()
            stored.append()
            await asyncio.sleep(1)
            other = next(other for other in sim.instances if other != name)
            unread = 0
            for number in range(20):
                job = f"{number:016x}"
                sim.platform.specs[job] = JOB.steps
                assert await sim.instances[other].submit(job, WIDE, JOB, 2_700) is Outcome.DONE
                unread += job not in sim.instances[name].ledger.jobs
                assert not await stored.is_refused(name, job)
                assert not await stored.is_refused(other, job)
                await asyncio.sleep(0.03)
            assert unread > 0
            stored.append()
            await asyncio.sleep(1)
            assert await stored.is_refused(name, "c" * 16)

        run_simulation(CellSimulation(35, worker_count=20), script)

    def test_a_job_that_may_be_stored_is_not_refused(self) -> None:
        async def script(sim: CellSimulation) -> None:
            stored = StoredForecasts(sim)
            name = stored.follower()
            stored.append()
            await asyncio.sleep(1)
            sim.platform.faults.lost_answer_share = 1.0
            instance = sim.instances[name]
            job = "b" * 16
            sim.platform.specs[job] = JOB.steps
            submission = asyncio.create_task(instance.submit(job, WIDE, JOB, 1_000))
            await asyncio.sleep(0)
            assert not await stored.is_refused(name, job)  # its append is on its way
            assert await submission is not Outcome.REFUSED
            sim.platform.faults.lost_answer_share = 0.0
            stored.append()
            await asyncio.sleep(1)
            assert not await stored.is_refused(name, job)

        run_simulation(CellSimulation(36), script)

    def test_a_job_whose_append_the_store_refuses_is_not_stored_and_never_runs(self) -> None:
        async def script(sim: CellSimulation) -> None:
            stored = StoredForecasts(sim)
            name = stored.follower()
            job = "b" * 16
            assert not await stored.is_refused(name, job)
            sim.platform.faults.store_refuses_to.add(name)
            outcome = await sim.instances[name].submit(job, WIDE, JOB, 1_000)
            assert outcome is Outcome.REFUSED
            sim.platform.faults.store_refuses_to.clear()
            await asyncio.sleep(2)
            stored.append()
            await asyncio.sleep(1)
            assert await stored.is_refused(name, job)  # nothing of it is stored
            await asyncio.sleep(5)
            assert await sim.state(job) is None
            assert not any(task.job_id == job for task in sim.platform.done)

        run_simulation(CellSimulation(37), script)


class _Answering:
    """The part of an entry instance that handles a POST."""

    def __init__(self, refusal: Refusal | None) -> None:
        self.refusal = refusal
        self.config = CONFIG
        self.retry_after_s = 1
        self.submitted: list[str] = []

    def find_route(self, host: str, path: str) -> RouteRule | None:
        return next((rule for rule in CONFIG.routes if path.startswith(rule.path_prefix)), None)

    async def find_refusal(self, job_id: str, queue: Queue, spec: JobSpec) -> Refusal | None:
        return self.refusal

    async def submit(self, job_id: str, queue: Queue, spec: JobSpec, timeout_ms: int) -> Outcome:
        self.submitted.append(job_id)
        return Outcome.DONE


class TestAnswer:
    """Guard against a refusal that does not say that the job will not run, or when to retry."""

    @staticmethod
    async def _post(instance: _Answering) -> tuple[int, str, str]:
        frontend = Frontend(instance, Metrics())  # type: ignore[arg-type]
        runner = web.ServerRunner(web.Server(frontend.handle))
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        host, port = runner.addresses[0][:2]
        body = json.dumps({"spec": "p", "steps": [{"count": 1, "cpu": 1_000}]}).encode()
        url = f"http://{host}:{port}/wide/{'a' * 16}"
        try:
            async with aiohttp.ClientSession() as session, session.post(url, data=body) as resp:
                return resp.status, resp.headers.get("Retry-After", ""), await resp.text()
        finally:
            await runner.cleanup()

    async def test_a_refused_job_is_answered_at_once_and_not_stored(self) -> None:
        instance = _Answering(Refusal(17, 60_000, 5_000, 10**7, 10_000, 10_000, 500))
        status, retry_after, text = await self._post(instance)
        assert (status, retry_after) == (503, "17")
        assert "not accepted, and it will not run" in text
        assert instance.submitted == []

    async def test_any_other_job_is_stored(self) -> None:
        instance = _Answering(None)
        status, retry_after, _ = await self._post(instance)
        assert (status, retry_after) == (200, "")
        assert instance.submitted == ["a" * 16]


# The records of older and newer instances.

OlderRecord = Submission | Cancellation | Progress | Ownership | RegisteredWorkers


class TestRecords:
    """Guard against instances of two versions that harm each other."""

    def test_an_older_instance_passes_over_a_forecast(self) -> None:
        older = msgspec.msgpack.Decoder(OlderRecord)
        value = encode_record(Forecast(3, (FULL,)))
        with pytest.raises(msgspec.DecodeError):
            older.decode(value)
        assert decode_record(value) == Forecast(3, (FULL,))

    def test_the_newest_forecast_is_kept_with_its_greatest_age(self) -> None:
        ledger = Ledger()
        value = encode_record(Forecast(3, (FULL,)))
        ledger.apply(LogEntry(7, "f", value), 1_000)
        ledger.apply(LogEntry(7, "f", value), 2_000)  # a second read of the same record
        assert (ledger.forecast, ledger.forecast_since_ms) == (Forecast(3, (FULL,)), 1_000)
        ledger.apply(LogEntry(6, "f", encode_record(Forecast(2))), 3_000)
        assert ledger.forecast == Forecast(3, (FULL,))

    def test_a_forecast_is_a_heartbeat_of_the_owner(self) -> None:
        view = OwnershipView("me", 5_000, 0)
        view.note_record(Ownership(1, "other"), 0)
        view.note_record(Forecast(1), 1_300)
        view.note_read(1_500, 1_500)
        assert not view.should_claim(1_500)

    def test_the_owner_publishes_a_backlog_beside_heartbeats_that_all_versions_read(self) -> None:
        async def script(sim: CellSimulation) -> None:
            jobs = [f"{number:016x}" for number in range(150)]
            spec = JobSpec("layout", (replace_count(JOB.steps[0], 12),))
            for job in jobs:
                await sim.submit(job, "wide", spec)
            appended: list[float] = []
            others: list[float] = []
            seen = 0
            loop = asyncio.get_running_loop()
            for _ in range(1_500):
                await asyncio.sleep(0.01)
                for key, _ in sim.platform.store.records[seen:]:
                    (appended if key == "f" else others).append(loop.time())
                seen = len(sim.platform.store.records)
            assert len(appended) > 5
            assert max(b - a for a, b in pairwise(others)) < 0.9
            follower = sim.instances[StoredForecasts(sim).follower()]
            assert follower.ledger.forecast is not None
            assert follower.ledger.forecast.services[0].queues[0].queue == "wide"

        run_simulation(CellSimulation(38), script)


def replace_count(spec: StepSpec, task_count: int) -> StepSpec:
    return msgspec.structs.replace(spec, task_count=task_count)
