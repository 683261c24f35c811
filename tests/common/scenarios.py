"""Histories written by hand: each brings about one failure that a rule of ownership is for."""

from __future__ import annotations

from collections import Counter

from greengagewood.internal.document import parse_document
from tests.common.system import example_document
from tests.common.world import DOCUMENT, Broken, World

LONG_TICKS = 350


def owner_and_others(world):
    names = world.owners()
    if len(names) != 1:
        raise Broken("owners", f"{names} own the cell")
    name = names[0]
    return name, [s for s in ("s1", "s2", "s3") if s != name]


def started(run_ms, tasks=1, cpus=4, document=DOCUMENT):
    """Return a world in which one job runs."""
    world = World(seed=5, document=document)
    world.run(40)
    world.submit(tasks, cpus, run_ms)
    world.run(30)
    return world


def place_of(world):
    for worker in world.workers.values():
        if worker.real._running:
            return worker.name
    raise AssertionError("nothing runs")


def isolate(world, name, others, except_for):
    """Cut a scheduler off from the log and its peers, and a worker off from all others."""
    for other in others:
        world.cut(name, other)
        world.cut(other, except_for)
    world.cut(name, "log")


def isolated_owner_with_its_worker():
    """The old owner reaches the worker, but not the log; the new owner the other way round."""
    world = started(run_ms=200_000)
    owner, others = owner_and_others(world)
    isolate(world, owner, others, place_of(world))
    world.run(LONG_TICKS)
    world.finish(ticks=4000)
    return world


def owner_that_lost_its_peers_first():
    """The peers stop to hear the owner a good while before it is cut off from the log."""
    world = started(run_ms=200_000)
    owner, others = owner_and_others(world)
    place = place_of(world)
    for other in others:
        world.cut(owner, other)
        world.cut(other, place)
    world.run(30)
    world.cut(owner, "log")
    world.run(LONG_TICKS)
    world.finish(ticks=4000)
    return world


def owner_that_hears_one_candidate():
    """One candidate is still heard, but it is the other one that takes the cell over."""
    world = started(run_ms=200_000)
    owner, others = owner_and_others(world)
    place = place_of(world)
    for other in others:
        world.cut(other, place)
    world.cut(owner, "log")
    world.run(5)
    claimer = others[0]
    world.cut(owner, claimer)
    world.cut(others[1], "log")
    world.run(LONG_TICKS)
    world.finish(ticks=4000)
    return world


def owner_paused_with_an_old_read():
    """The owner is paused with an answer from the log in its socket, and wakes long after."""
    world = started(run_ms=200_000)
    owner, others = owner_and_others(world)
    place = place_of(world)
    for other in others:
        world.cut(other, place)
    world.run(2)
    world.pause(owner, True)
    world.run(LONG_TICKS)
    world.cut(owner, "log")
    world.pause(owner, False)
    world.run(40)
    world.finish(ticks=4000)
    return world


def start_that_arrives_late():
    """A start is held back until its owner has ruled the worker out and placed the task again."""
    world = started(run_ms=100)
    world.finish()
    owner, _ = owner_and_others(world)
    world.hold(True)
    world.submit(1, 4, 200_000)
    world.run(6)
    world.hold(False)
    held = list(world.held)
    for worker in {name for name, _ in held}:
        if any(m[1].exchange.starts for n, m in held if n == worker):
            world.cut(owner, worker)
    world.run(250)
    world.deliver_held(len(world.held))
    world.run(5)
    world.cuts.clear()
    world.finish(ticks=4000)
    return world


def start_that_arrives_twice():
    """A start seems to fail, is sent again, run and acknowledged; then the first arrives."""
    document = parse_document(example_document(leases__command_window_ms=6000)).unwrap()
    world = started(run_ms=60_000, tasks=3, cpus=8, document=document)
    world.hold(True)
    world.submit(1, 4, 100)
    while not any(m[1].exchange.starts for _, m in world.held):
        world.tick()
    world.hold(False)
    for _, (scheduler, send, ticket) in world.held:
        scheduler.waiting.pop(ticket, None)
        scheduler.owner.exchange_failed(send)
    world.run(10)
    world.submit(5, 4, 50_000)  # so that every worker is asked, and reports the end
    world.run(14)
    world.deliver_held(len(world.held))
    world.run(5)
    world.finish(ticks=4000)
    ends = Counter(
        e.task for w in world.workers.values() for e in w.real.audit if e.event == "done"
    )
    if max(ends.values()) > 1:
        raise Broken("ran_twice", "a late start ran again")
    return world


def start_for_the_worker_before():
    """A start is held back while its worker is replaced by another with the same clock."""
    world = started(run_ms=60_000, tasks=3, cpus=12)  # busy workers are asked every second
    world.hold(True)
    world.submit(1, 4, 200_000)
    world.run(6)
    world.hold(False)
    late = [(n, m) for n, m in world.held if m[1].exchange.starts]
    world.held = []
    for name in {name for name, _ in late}:
        clock = world.workers[name].real._clock
        world.lose_worker(name)
        world.workers[name].real._clock = clock
    scheduler, send, ticket = late[0][1]
    scheduler.waiting.pop(ticket, None)
    scheduler.owner.exchange_failed(send)
    for name, message in late:
        world.workers[name].queue.append(message)
    world.tick()
    for name in {name for name, _ in late}:
        (late_job,) = [job for job in world.submitted.values() if job.tasks == 1]
        if f"{late_job.job}/0" in {key[0] for key in world.workers[name].real._running}:
            raise Broken("stale_start", "a worker ran what was meant for the one before it")
    world.finish(ticks=4000)
    return world


def owner_dies_with_results_that_are_not_durable():
    """Tasks end while the log is away, and their owner dies before it comes back."""
    world = started(run_ms=5000, tasks=4)
    world.log_down = True
    world.run(60)
    owner, _ = owner_and_others(world)
    world.kill(owner)
    world.run(20)
    world.finish(ticks=4000)
    return world


def log_that_forgets():
    """Jobs end, the log forgets their records, and every scheduler is replaced, again and again."""
    world = started(run_ms=500, tasks=3)
    for _ in range(5):
        for name in ("s1", "s2", "s3"):
            world.submit(3, 2, 300)
            world.run(57)
            world.submit(2, 2, 3000)
            world.run(71)
            world.kill(name)
    world.finish(ticks=4000)
    if not any(s.owner.log.snapshot_offset for s in world.schedulers.values()):
        raise Broken("no_snapshot", "no snapshot was written")
    return world


def takeover_while_a_worker_is_ruled_out():
    """The owner loses a worker; a newer owner renews the task there just before its lease ends."""
    world = started(run_ms=200_000)
    owner, others = owner_and_others(world)
    place = place_of(world)
    elsewhere = [w for w in world.workers if w != place]
    world.cut(owner, place)
    world.run(55)
    for other in others:
        world.cut(owner, other)
    world.run(30)
    world.cut(owner, "log")
    for other in others:
        for name in elsewhere:
            world.cut(other, name)
    world.run(60)
    world.finish(ticks=4000)
    return world


def full_cell_is_taken_over():
    """The owner dies while every worker is full; nothing may be placed beyond their capacity."""
    world = started(run_ms=60_000, tasks=6, cpus=8)
    owner, _ = owner_and_others(world)
    world.submit(6, 8, 1000)
    world.run(20)
    running = {k for w in world.workers.values() for k in w.real._running}
    world.kill(owner)
    world.run(120)
    still = {k for w in world.workers.values() for k in w.real._running}
    if not running <= still:
        raise Broken("not_adopted", f"{sorted(running - still)} did not run on")
    world.finish(ticks=4000)
    return world


def evicted_task_resumes():
    """A task is evicted and its owner dies; it goes on from its checkpoint once."""
    world = started(run_ms=20_000)
    world.run(80)
    world.evict(0)
    world.run(3)
    owner, _ = owner_and_others(world)
    world.kill(owner)
    world.finish(ticks=4000)
    starts = [e for w in world.workers.values() for e in w.real.audit if e.event == "start"]
    ran_ms = world.running_ms()
    if len(starts) != 2 or ran_ms > 30_000:
        raise Broken("resumed_wrongly", f"{len(starts)} starts ran for {ran_ms} ms")
    return world


def evicted_again_and_again():
    """A task is evicted three times under one owner."""
    world = started(run_ms=20_000)
    for _ in range(3):
        world.run(30)
        world.evict(0)
    world.finish(ticks=4000)
    return world


def cancelled_at_takeover():
    """A job is cancelled while its owner is dead; its tasks stop and never start again."""
    world = started(run_ms=60_000, tasks=3)
    owner, _ = owner_and_others(world)
    world.pause(owner, True)
    world.cancel(0)
    world.run(100)
    world.kill(owner)
    world.finish()
    if {final for final, _ in world.finals.values()} != {"cancelled"}:
        raise Broken("not_cancelled", str(world.finals))
    return world


SCENARIOS = [
    isolated_owner_with_its_worker,
    owner_that_lost_its_peers_first,
    owner_that_hears_one_candidate,
    owner_paused_with_an_old_read,
    start_that_arrives_late,
    start_that_arrives_twice,
    start_for_the_worker_before,
    owner_dies_with_results_that_are_not_durable,
    log_that_forgets,
    takeover_while_a_worker_is_ruled_out,
    full_cell_is_taken_over,
    evicted_task_resumes,
    evicted_again_and_again,
    cancelled_at_takeover,
]
