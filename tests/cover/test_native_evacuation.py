"""Evacuation of a failure domain on the native path: orders, placement, routing and commands."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import AsyncIterator, Iterator
from pathlib import Path
from typing import Any
from unittest import mock

import aiohttp
import msgspec
import pytest
from absl import flags
from devtools.callers import LoadCaller
from devtools.cluster import Cluster, ClusterPlan
from devtools.demo import CALLERS, Demo, audit, document, publish
from hypothesis import given
from hypothesis import strategies as st

from greengagewood.internal import keeper as keeper_module
from greengagewood.internal.ctl import main as ctl
from greengagewood.internal.dispatch import EVACUATED_RETRY_AFTER_MS, Dispatcher
from greengagewood.internal.document import parse_document
from greengagewood.internal.evacuationorders import EvacuationOrders
from greengagewood.internal.feed import Feed
from greengagewood.internal.jobindex import JobRequest, choose_cell
from greengagewood.internal.messages import BackendEntry, CellLoad, EvacuationsCopy, Shape
from greengagewood.internal.metrics import Metrics
from greengagewood.internal.native.backends import OutgoingRequest
from greengagewood.internal.owner import CellOwner
from greengagewood.internal.records import EvacuationOrder, EvacuationOrdered
from greengagewood.internal.routing import RoutingTable
from greengagewood.internal.settings import Address, ControlSettings
from greengagewood.internal.standin.log import LogFaults
from greengagewood.internal.verdict import Reason, Refusal, Verdict
from tests.common.system import System, auth, client, example_document, system
from tests.common.world import World

DOMAINS = ["pd-milano", "pd-verona", "pd-forli"]
RECORDS = st.lists(st.tuples(st.sampled_from(DOMAINS), st.booleans()), max_size=12)


def _record(domain: str, in_force: bool) -> EvacuationOrdered:
    return EvacuationOrdered(domain, in_force, "anna", 0)


def _read(orders: EvacuationOrders, records: list[tuple[str, bool]], first: int = 1) -> None:
    """Read a stream that still has the records from offset `first` on."""
    if first > 1:
        orders.note_missing(first)
    for offset, (domain, in_force) in enumerate(records, 1):
        if offset >= first:
            orders.replay(offset, _record(domain, in_force))
    orders.note_read(len(records), True)


class TestOrders:
    """The newest order of each failure domain counts, however a reader has learned of it."""

    @given(RECORDS, st.randoms(use_true_random=False))
    def test_readers_agree_whatever_they_adopt_from_each_other(
        self, records: list[tuple[str, bool]], rng: random.Random
    ) -> None:
        """What is in force must not depend on the sequence in which a reader learns of orders."""
        expected = {domain for domain, in_force in dict(records).items() if in_force}
        readers = [EvacuationOrders() for _ in range(3)]
        _read(readers[0], records)
        for reader in readers[1:]:
            cut = rng.randrange(len(records) + 1)
            _read(reader, records[:cut])
            reader.adopt(readers[0].all_newest(), readers[0].known_upto)
            reader.merge(EvacuationOrders().all_newest())
        assert all(reader.domains() == expected and reader.known for reader in readers)

    @given(RECORDS, st.integers(0, 12))
    def test_a_snapshot_and_the_records_after_it_equal_the_whole_stream(
        self, records: list[tuple[str, bool]], upto: int
    ) -> None:
        """A truncated log must not lose an order that a snapshot holds."""
        upto = min(upto, len(records))
        whole, before = EvacuationOrders(), EvacuationOrders()
        _read(whole, records)
        _read(before, records[:upto])
        late = EvacuationOrders()
        _read(late, records, first=upto + 1)
        late.adopt(before.all_newest(), before.known_upto)
        assert late.known
        assert late.domains() == whole.domains()

    def test_a_reader_that_missed_records_does_not_know_the_orders(self) -> None:
        """A new owner must not start anything on the strength of a part of the log."""
        orders = EvacuationOrders()
        _read(orders, [("pd-verona", True)] * 5, first=4)
        assert not orders.known
        orders.adopt((), 2)  # older than the gap
        assert not orders.known
        orders.adopt((), 3)
        assert orders.known

    def test_a_reader_that_has_not_reached_the_end_does_not_know_the_orders(self) -> None:
        """Orders may follow in the part that was not read yet."""
        orders = EvacuationOrders()
        orders.note_read(1000, False)
        assert not orders.known
        orders.note_read(1001, True)
        assert orders.known

    def test_a_gap_in_the_middle_keeps_the_last_orders_in_force(self) -> None:
        """An order that was read stays in force while it is unknown what came after."""
        orders = EvacuationOrders()
        _read(orders, [("pd-verona", True)])
        orders.note_missing(7)
        orders.note_read(9, True)
        assert not orders.known and orders.domains() == {"pd-verona"}


def _starts(world: World) -> int:
    audits = (worker.standin.audit for worker in world.workers.values())
    return sum(event.event == "start" for audit in audits for event in audit)


def _ends(world: World, outcome: str) -> int:
    audits = (worker.standin.audit for worker in world.workers.values())
    return sum(event.event == outcome for audit in audits for event in audit)


def _hold(world: World, reason: str) -> None:
    for scheduler in world.schedulers.values():
        scheduler.owner.hold_placement(reason)


class TestPlacement:
    """Owners of cells in an evacuated failure domain start nothing, and stop nothing."""

    def test_nothing_is_started_until_the_order_is_withdrawn(self) -> None:
        """New tasks must not be placed on workers that are about to lose power."""
        world = World(seed=1)
        world.run(50)
        _hold(world, "evacuated")
        world.submit(4, 2, 1000)
        world.run(100)
        assert _starts(world) == 0
        owner = world.schedulers[world.owners()[0]].owner
        view = owner.view("j" + next(iter(world.submitted))[1:], False)
        assert view is not None and view.reason == "evacuated"
        assert not owner.load().placing
        _hold(world, "")
        world.finish()
        assert _ends(world, "done") == 4

    def test_running_tasks_go_on_with_their_leases(self) -> None:
        """An order alone must not stop a task: a stop costs its caller more than staying."""
        world = World(seed=2)
        world.run(50)
        world.submit(3, 2, 30_000)  # three times the lease
        world.run(20)
        assert _starts(world) == 3
        _hold(world, "evacuated")
        world.run(400)
        assert _ends(world, "done") == 3 and _starts(world) == 3

    def test_a_start_that_was_not_delivered_is_not_sent_after_the_order(self) -> None:
        """A start that waits for a slow worker must not reach it long after the order."""
        world = World(seed=3)
        world.run(50)
        owner = world.schedulers[world.owners()[0]]
        for name in world.workers:
            world.set_link_cut(owner.name, name)
        world.submit(3, 2, 5000)
        world.run(5)
        assert any(w.to_start for w in owner.owner.workers.values())
        _hold(world, "evacuated")
        world.heal()
        world.run(150)
        assert _starts(world) == 0
        _hold(world, "")
        world.finish()

    def test_a_start_whose_answer_was_lost_runs_once(self) -> None:
        """A withdrawn start may have reached its worker: it must not run a second time."""
        world = World(seed=4)
        world.run(50)
        owner = world.schedulers[world.owners()[0]].owner
        world.submit(3, 9, 60_000)  # one on each worker; busy workers carry out starts at once
        world.run(30)
        world.submit(3, 2, 4000)
        world.worker_faults = True
        for _ in range(20):
            world.tick()
            if any(worker.to_start for worker in owner.workers.values()):
                break
        world.lose_replies = True
        world.run(2)
        assert _starts(world) == 6
        assert any(worker.to_start for worker in owner.workers.values())
        _hold(world, "evacuated")
        world.lose_replies = False
        world.run(100)
        assert _ends(world, "done") == 3
        _hold(world, "")
        world.finish()
        assert _starts(world) == 6

    def test_a_new_owner_starts_nothing_before_it_has_read_the_orders(self) -> None:
        """A takeover during an evacuation must not end it."""
        world = World(seed=5)
        world.run(50)
        _hold(world, "evacuated")
        world.submit(3, 2, 1000)
        first = world.owners()[0]
        world.replace_scheduler(first)
        _hold(world, "evacuations_unknown")
        world.run(200)
        assert world.owners() and _starts(world) == 0
        _hold(world, "")
        world.finish()

    def test_no_task_is_evicted_for_an_urgent_job_that_waited_for_the_withdrawal(self) -> None:
        """The wait that an order caused must not count as waiting for room."""
        world = World(seed=6)
        world.run(50)
        world.submit(3, 16, 60_000)  # fills every worker
        filling = msgspec.structs.replace(world.job_records.pop(), batch_class="validation")
        world.submitted[filling.job] = filling
        world.job_records.append(filling)
        world.run(20)
        assert _starts(world) == 3
        world.submit(1, 16, 1000)  # an urgent class
        world.run(5)
        _hold(world, "evacuated")
        world.run(50)
        _hold(world, "")
        world.run(3)
        assert world.schedulers[world.owners()[0]].owner.evictions == 0
        world.run(30)
        assert world.schedulers[world.owners()[0]].owner.evictions == 1

    @given(st.integers(0, 10_000))
    def test_orders_and_withdrawals_under_faults_lose_and_repeat_nothing(self, seed: int) -> None:
        """The invariants of a cell hold while orders come and go between faults."""
        rng = random.Random(seed)
        world = World(seed=seed)
        world.run(40)
        for _ in range(8):
            world.submit(rng.randint(1, 3), rng.choice([2, 8]), rng.choice([300, 3000]))
            _hold(world, rng.choice(["", "evacuated"]))
            match rng.randrange(4):
                case 0:
                    world.set_worker_paused(rng.choice(sorted(world.workers)), rng.random() < 0.5)
                case 1:
                    world.set_hold_messages(rng.random() < 0.5)
                case 2:
                    world.set_paused(rng.choice(sorted(world.schedulers)), rng.random() < 0.5)
                case 3:
                    world.deliver_held_messages(3)
            world.run(rng.randint(1, 30))
        _hold(world, "")
        world.finish()

    def test_a_hold_that_only_stops_planning_is_detected(self) -> None:
        """Check that a broken variant, which still sends queued starts, is detected."""

        def hold(owner: CellOwner, reason: str) -> None:
            owner._hold_reason = reason

        with (
            mock.patch.object(CellOwner, "hold_placement", hold),
            pytest.raises(AssertionError),
        ):
            self.test_a_start_that_was_not_delivered_is_not_sent_after_the_order()


def _entries() -> list[BackendEntry]:
    return [BackendEntry("s", f"w{n}", "a" if n < 2 else "b", f"u{n}", False) for n in range(4)]


class TestRouting:
    """Gateways send no new requests to backend servers of evacuated failure domains."""

    def test_the_backend_servers_of_other_failure_domains_take_over(self) -> None:
        """The preference for the gateway's own failure domain must not outweigh an order."""
        table = RoutingTable("a", random.Random(1))
        table.update(_entries(), {"a"})
        table.in_flight_cap = 100
        for _ in range(50):
            backend = table.choose(0)
            assert backend is not None and not backend.near
        table.update(_entries())
        backend = table.choose(0)
        assert backend is not None and backend.near

    def test_an_order_does_not_touch_requests_in_progress(self) -> None:
        """The count of requests in flight must survive an order, or the cap would be exceeded."""
        table = RoutingTable("a", random.Random(1))
        table.update(_entries())
        backend = table.choose(0)
        assert backend is not None
        backend.in_flight += 1
        table.update(_entries(), {"a"})
        table.update(_entries())
        assert next(b for b in table if b.url == backend.url).in_flight == 1

    def test_only_an_order_counts_as_an_evacuation(self) -> None:
        """A service whose servers leave or are missing must not be reported as evacuated."""
        table = RoutingTable("a", random.Random(1))
        assert not table.all_evacuated()
        table.update(_entries(), {"a"})
        assert not table.all_evacuated()
        table.mark_leaving("u2")
        table.mark_leaving("u3")
        assert table.all_evacuated()
        table.update(_entries())
        assert not table.all_evacuated()

    async def test_a_service_that_is_evacuated_everywhere_refuses_at_once(self) -> None:
        """Callers must learn at once that the request has not run, and when to send it again."""
        service = parse_document(example_document()).unwrap().services["quotazioni"]
        backends = mock.Mock()
        dispatcher = Dispatcher("s", service, "a", backends, Metrics(), random.Random(1))
        dispatcher.set_backends(_entries(), 1, {"a", "b"})
        req = OutgoingRequest("r", "POST", "/", mock.Mock(), b"", False)
        outcome = await dispatcher.send(req, 10**12)
        assert isinstance(outcome, Refusal)
        assert (outcome.verdict, outcome.reason) == (Verdict.NOT_RUN, Reason.EVACUATED)
        assert outcome.retry_after_ms == EVACUATED_RETRY_AFTER_MS
        assert not backends.send.called
        assert dispatcher.limiter.in_progress == 0


class TestJobs:
    """New jobs go to cells whose failure domain is not evacuated."""

    DOCUMENT = parse_document(example_document()).unwrap()
    JOB = JobRequest("price-grid", 1, 1, 1, 1)

    def _choose(self, loads: list[CellLoad], *evacuated: str) -> str:
        return choose_cell(self.JOB, self.DOCUMENT, loads, "pd-milano", frozenset(evacuated))

    def test_cells_of_evacuated_failure_domains_come_last(self) -> None:
        """A job must not wait for a withdrawal while another cell could run it."""
        shapes = (Shape(8, 8000, 0),)
        loads = [
            CellLoad("milano-1", 1, True, 100, 0, shapes),
            CellLoad("verona-1", 1, True, 1, 50, shapes),
        ]
        assert self._choose(loads) == "milano-1"
        assert self._choose(loads, "pd-milano") == "verona-1"
        assert self._choose(loads, "pd-milano", "pd-verona") == "milano-1"

    def test_without_loads_a_cell_that_stays_is_chosen(self) -> None:
        assert self._choose([]) == "milano-1"
        assert self._choose([], "pd-milano") == "forli-1"
        assert self._choose([], *DOMAINS) == "milano-1"


class TestFeed:
    """The gateway and the scheduler keep the last orders that they have read."""

    def test_a_keeper_that_was_replaced_does_not_undo_an_order(self) -> None:
        """A keeper that knows less must not make the scheduler start tasks again."""
        feed = Feed("scheduler", mock.Mock(), Metrics())
        order = EvacuationOrder("pd-milano", 7, True, "anna", 0)
        feed._publish_evacuations(EvacuationsCopy(True, 7, (order,)))
        feed._publish_evacuations(EvacuationsCopy(False, 0, ()))
        assert feed.evacuations.value.domains == {"pd-milano"}
        assert not feed.evacuations.value.known
        withdrawn = EvacuationOrder("pd-milano", 9, False, "bert", 0)
        feed._publish_evacuations(EvacuationsCopy(True, 9, (withdrawn,)))
        assert feed.evacuations.value.known and not feed.evacuations.value.domains


class TestScheduler:
    """A scheduler holds the placement of its cells until it has read the orders."""

    def test_a_new_owner_is_held_until_the_orders_are_known(self) -> None:
        """The orders may arrive after the configuration that makes the scheduler add an owner."""
        scheduler = System().daemons["i1"]["scheduler"]
        feed = scheduler._feed = Feed("scheduler", mock.Mock(), Metrics())
        scheduler._add_owner("milano-1")
        owner = scheduler._owners["milano-1"]
        reasons = [owner._hold_reason]
        order = EvacuationOrder("pd-milano", 7, True, "anna", 0)
        elsewhere = EvacuationOrder("pd-verona", 8, True, "anna", 0)
        withdrawn = EvacuationOrder("pd-milano", 9, False, "anna", 0)
        for copy in (
            EvacuationsCopy(False, 0, (elsewhere,)),
            EvacuationsCopy(True, 8, (order, elsewhere)),
            EvacuationsCopy(True, 9, (withdrawn, elsewhere)),
        ):
            feed._publish_evacuations(copy)
            scheduler._update_holds()
            reasons.append(owner._hold_reason)
        assert reasons == ["evacuations_unknown", "evacuations_unknown", "evacuated", ""]


def _control(cluster: System, stage_admins: bool = True) -> ControlSettings:
    admins = tuple(cluster.address(name, 17011) for name in cluster.daemons) if stage_admins else ()
    return ControlSettings(
        environment="padana", platform=Address(f"{cluster.net}.1", 17100), admins=admins
    )


async def _ggwctl(cluster: System, *args: str) -> int:
    """Run a command of ggwctl against the platform of the cluster."""
    values = flags.FlagValues()
    ctl._define_flags(values)
    positional = values(["ggwctl", *args, "--timeout=5"])[1:]
    return await ctl._run(_control(cluster), values, positional)


def _domains(cluster: System, role: str) -> Iterator[Any]:
    return (d[role]._feed.evacuations.value for d in cluster.daemons.values() if role in d)


async def _until_evacuated(cluster: System, name: str, domains: set[str]) -> None:
    daemons = cluster.daemons[name]
    await cluster.until(
        lambda: daemons["keeper"]._evacuations.known
        and daemons["keeper"]._evacuations.domains() == domains,
        f"{name} knows {domains}",
    )


def _truncate(cluster: System, keep_records: int) -> None:
    """Let the log drop all but the last records of the configuration stream."""
    stream = cluster.platform.log._stream(cluster.names.config)
    surplus = len(stream.records) - keep_records
    if surplus > 0:
        del stream.records[:surplus]
        stream.first_offset += surplus


async def _replace_keeper(cluster: System, name: str) -> None:
    old = cluster.daemons[name]["keeper"]
    cluster.running.remove(old)
    with mock.patch.object(keeper_module, "ROLES_STOP_TIMEOUT_MS", 0):
        await old.stop()
    new = cluster._daemons(name)["keeper"]
    cluster.daemons[name]["keeper"] = new
    await new.start()
    cluster.running.append(new)


@contextlib.asynccontextmanager
async def _keepers(instances: int) -> AsyncIterator[System]:
    """Start keepers that write snapshots often."""
    text = example_document(log={"keeps_ms": 10_000})
    async with system(text, roles=("keeper",), instances=instances) as cluster:
        yield cluster


class TestCommands:
    """ggwctl orders an evacuation and withdraws it."""

    async def test_an_unknown_failure_domain_is_a_wrong_call(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        """A misspelled name must not leave the operator believing that it was evacuated."""
        async with _keepers(1) as cluster:
            assert await _ggwctl(cluster, "evacuate", "pd-roma") == ctl.EXIT_USAGE
            assert all(domain in capsys.readouterr().err for domain in DOMAINS[:1])
            assert await _ggwctl(cluster, "take-back", "pd-roma") == ctl.EXIT_USAGE
            assert await _ggwctl(cluster, "evacuations") == ctl.EXIT_OK
            assert "pd-" not in capsys.readouterr().out

    async def test_orders_are_listed_and_may_be_repeated(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        async with _keepers(1) as cluster:
            for _ in range(2):
                assert await _ggwctl(cluster, "evacuate", "pd-verona") == ctl.EXIT_OK
            assert await _ggwctl(cluster, "evacuate", "pd-milano") == ctl.EXIT_OK
            capsys.readouterr()
            assert await _ggwctl(cluster, "evacuations") == ctl.EXIT_OK
            output = capsys.readouterr().out
            assert "pd-verona" in output and "pd-milano" in output
            await _until_evacuated(cluster, "i1", {"pd-verona", "pd-milano"})
            for _ in range(2):
                assert await _ggwctl(cluster, "take-back", "pd-verona") == ctl.EXIT_OK
            await _until_evacuated(cluster, "i1", {"pd-milano"})
            assert cluster.platform.log._stream(cluster.names.config).end_offset == 5

    async def test_the_loser_of_two_operators_is_told(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        """An operator whose order was withdrawn at once must not be told that it is in force."""
        async with _keepers(1) as cluster:
            assert await _ggwctl(cluster, "evacuate", "pd-verona") == ctl.EXIT_OK
            publish = ctl.Publisher.order

            async def order_and_lose(publisher: Any, *args: Any) -> EvacuationOrder | None:
                await publish(publisher, *args)
                return await publish(publisher, "production", "pd-verona", True, "bert", 5.0)

            with mock.patch.object(ctl.Publisher, "order", order_and_lose):
                assert await _ggwctl(cluster, "take-back", "pd-verona") == ctl.EXIT_CONFLICT
            assert "bert" in capsys.readouterr().err

    async def test_a_lost_answer_does_not_append_an_order_twice(self) -> None:
        """A second copy could undo the order that another operator gave in between."""
        async with _keepers(1) as cluster:
            cluster.platform.log.faults = LogFaults(lose_answers=1.0)
            assert await _ggwctl(cluster, "evacuate", "pd-verona") == ctl.EXIT_OK
            assert cluster.platform.log._stream(cluster.names.config).end_offset == 3

    async def test_a_log_without_a_document_accepts_no_order(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        """A name that no document can confirm must not become an order."""
        async with _keepers(1) as cluster:
            assert await _ggwctl(cluster, "evacuate", "pd-milano", "--stage=trial") == 1
            assert "publish one first" in capsys.readouterr().err
            cluster.publish("not a document", based_on=1)
            _truncate(cluster, 1)
            assert await _ggwctl(cluster, "evacuate", "pd-milano") == ctl.EXIT_FAILED
            assert "wait for a keeper's snapshot" in capsys.readouterr().err

    async def test_an_unreachable_log_is_reported(self) -> None:
        async with _keepers(1) as cluster:
            cluster.platform.log.faults = LogFaults(down=True)
            assert await _ggwctl(cluster, "evacuate", "pd-verona") == ctl.EXIT_UNREACHABLE


class TestKeepers:
    """The orders outlive truncation of the log and the replacement of every keeper."""

    async def test_orders_survive_truncation_and_the_replacement_of_every_keeper(self) -> None:
        """An evacuation must not end because the log has dropped its record."""
        async with _keepers(2) as cluster:
            assert await _ggwctl(cluster, "evacuate", "pd-verona") == ctl.EXIT_OK
            for name in cluster.daemons:
                await _until_evacuated(cluster, name, {"pd-verona"})
            stream = cluster.platform.log._stream(cluster.names.config)
            await cluster.until(
                lambda: any(b'"evacuations-snapshot"' in bytes(r[2]) for r in stream.records[2:])
                and any(b'"config-snapshot"' in bytes(r[2]) for r in stream.records[2:]),
                "snapshots are written",
            )
            for name in cluster.daemons:
                stopped = cluster.daemons[name]["keeper"]
                cluster.running.remove(stopped)
                await stopped.stop()
            _truncate(cluster, len(stream.records) - 2)
            for name in cluster.daemons:
                started = cluster._daemons(name)["keeper"]
                cluster.daemons[name]["keeper"] = started
                await started.start()
                cluster.running.append(started)
                await _until_evacuated(cluster, name, {"pd-verona"})

    async def test_a_keeper_that_is_cut_off_learns_orders_from_its_peers(self) -> None:
        """A link fault to the store alone must not exempt an instance from an order."""
        async with _keepers(2) as cluster:
            cluster.platform._cut_from_log = frozenset({cluster.address("i2", 1).ip})
            assert await _ggwctl(cluster, "evacuate", "pd-milano") == ctl.EXIT_OK
            await _until_evacuated(cluster, "i2", {"pd-milano"})

    async def test_a_log_of_an_earlier_version_is_taken_as_complete_after_a_wait(self) -> None:
        """Without a limit, a truncated log that has no snapshot would stop all placement."""
        async with _keepers(1) as cluster:
            await _replace_keeper_after_truncation(cluster)
            keeper = cluster.daemons["i1"]["keeper"]
            await cluster.until(lambda: keeper._evacuations.informed, "the log was read")
            assert not keeper._evacuations.known
            with mock.patch.object(keeper_module, "EVACUATIONS_WAIT_MS", 500):
                await cluster.until(lambda: keeper._evacuations.known, "taken as complete", 5.0)

    async def test_an_order_stays_in_force_while_the_log_is_down(self) -> None:
        """A store that goes down between order and withdrawal must not withdraw it."""
        async with _keepers(1) as cluster:
            assert await _ggwctl(cluster, "evacuate", "pd-milano") == ctl.EXIT_OK
            await _until_evacuated(cluster, "i1", {"pd-milano"})
            cluster.platform.log.faults = LogFaults(down=True)
            await cluster.until(
                lambda: cluster.daemons["i1"]["keeper"].status()["log_read_age_ms"] > 1500,
                "the log is down",
            )
            assert cluster.daemons["i1"]["keeper"]._evacuations.domains() == {"pd-milano"}
            cluster.platform.log.faults = LogFaults()
            assert await _ggwctl(cluster, "take-back", "pd-milano") == ctl.EXIT_OK
            await _until_evacuated(cluster, "i1", set())


async def _replace_keeper_after_truncation(cluster: System) -> None:
    cluster.publish(example_document(), based_on=1)  # keeps the log for a day
    cluster.publish(example_document(), based_on=2)
    _truncate(cluster, 1)
    await _replace_keeper(cluster, "i1")


class TestSystem:
    """Gateways and schedulers obey an order, and a later withdrawal."""

    async def test_requests_are_refused_and_jobs_wait_until_the_withdrawal(self) -> None:
        """With its only failure domain evacuated, a service must refuse and a job must wait."""
        async with system() as cluster, client() as session:
            assert await _ggwctl(cluster, "evacuate", "pd-milano") == ctl.EXIT_OK
            gateway = cluster.daemons["i1"]["gateway"]
            scheduler = cluster.daemons["i1"]["scheduler"]
            await cluster.until(
                lambda: gateway._feed.evacuations.value.domains
                and scheduler._feed.evacuations.value.domains,
                "the order is in force",
                5.0,
            )
            assert (await _get(session, cluster))[:2] == (503, "evacuated")
            assert (await _get(session, cluster))[2] == "5"
            await cluster.until(
                lambda: any(
                    load.shapes and not load.placing
                    for member in gateway._live_members()
                    for load in member.owned_cells
                ),
                "the gateway knows the cell",
            )
            job = {"class": "validation", "tasks": 1, "cpus": 1, "memory_mb": 100, "run_ms": 100}
            async with session.post(f"{cluster.url()}/v1/jobs", json=job, headers=auth()) as resp:
                assert resp.status == 202
                name = (await resp.json())["job"]
            await cluster.until(
                lambda: name in scheduler._owners["milano-1"].book.jobs
                and scheduler._owners["milano-1"].state == "placing",
                "the owner knows the job",
            )
            owner = scheduler._owners["milano-1"]
            await cluster.until(
                lambda: owner.book.jobs[name].wait_reason == "evacuated", "the job waits"
            )
            assert all(worker.running_tasks == 0 for worker in cluster.platform.workers.values())
            assert await _ggwctl(cluster, "take-back", "pd-milano") == ctl.EXIT_OK
            await cluster.until(
                lambda: not gateway._feed.evacuations.value.domains, "the order is withdrawn", 5.0
            )
            assert (await _get(session, cluster))[0] == 200
            await cluster.until(lambda: name not in owner.book.jobs, "the job has ended")


async def _get(session: aiohttp.ClientSession, cluster: System) -> tuple[int, str, str]:
    """Return the status, the reason of a refusal, and the Retry-After header."""
    async with session.get(f"{cluster.url()}/quotazioni/eggs", headers=auth()) as resp:
        reason = (await resp.json())["reason"] if resp.status != 200 else ""
        return resp.status, reason, resp.headers.get("Retry-After", "")


PLAN = ClusterPlan(
    environment="padana",
    service="quotazioni",
    rack_by_domain={"pd-milano": "milano-r1", "pd-verona": "verona-r1", "pd-forli": "forli-r1"},
    workers_per_domain=2,
    instances_per_domain=1,
)


@pytest.fixture
def demo(tmp_path: Path) -> Iterator[Demo]:
    cluster = Cluster(PLAN, tmp_path)
    started = Demo(cluster, cluster.write_control_settings())
    try:
        cluster.start()
        time.sleep(2)
        publish(started, document())
        cluster.wait_ready(20)
        yield started
    finally:
        cluster.stop()


def _starts_in(demo: Demo, domain: str) -> set[tuple[str, int]]:
    events = demo.cluster.fetch_json("/audit")["tasks"]
    return {
        (event["task"], event["attempt"])
        for event in events
        if event["event"] == "start" and event["worker"].startswith(domain)
    }


class TestProcesses:
    """The programs obey an order under load; the workers themselves tell what was started."""

    def test_nothing_is_started_later_than_5_s_after_the_order(self, demo: Demo) -> None:
        """Guard against a start in the evacuated domain, and against work lost because of it."""
        production = [i for i in demo.cluster.instances.values() if i.stage == "production"]
        gateways = [instance.url for instance in production]
        callers = [LoadCaller(name, gateways, set(), random.Random(7)) for name in CALLERS]
        seen: dict[str, set[tuple[str, int]]] = {}

        async def evacuate_and_take_back() -> None:
            await asyncio.sleep(3)
            seen["before"] = await asyncio.to_thread(_starts_in, demo, "pd-verona")
            ordered = await asyncio.to_thread(
                demo.run_ggwctl, "evacuate", "pd-verona", "--wait", "--output=json"
            )
            demo.check(ordered.returncode == 0, f"evacuate: {ordered.stderr or ordered.stdout}")
            await asyncio.sleep(5)
            seen["at 5 s"] = await asyncio.to_thread(_starts_in, demo, "pd-verona")
            other = await asyncio.to_thread(_starts_in, demo, "pd-milano")
            await asyncio.sleep(6)
            seen["at 11 s"] = await asyncio.to_thread(_starts_in, demo, "pd-verona")
            seen["elsewhere"] = await asyncio.to_thread(_starts_in, demo, "pd-milano") - other
            withdrawn = await asyncio.to_thread(demo.run_ggwctl, "take-back", "pd-verona")
            demo.check(withdrawn.returncode == 0, f"take-back: {withdrawn.stderr}")

        async def run_load() -> None:
            jobs = [caller.submit_jobs(16, 1.0, 6, 700) for caller in callers]
            requests = [caller.send_requests(16, 0.05) for caller in callers]
            await asyncio.gather(*jobs, *requests, evacuate_and_take_back())
            await asyncio.gather(*(caller.await_jobs(30) for caller in callers))

        asyncio.run(run_load())
        found = audit(demo, callers)
        assert found.violations() == 0 and not demo.problems, (found.notes + demo.problems)[:10]
        assert seen["before"] and seen["elsewhere"], "the load must reach both domains"
        assert seen["at 11 s"] == seen["at 5 s"]
