"""Hand-written scenarios, each of which provokes a failure that a rule of ownership prevents.

The world checks its invariants after each tick and at the end, and raises InvariantViolation. A
scenario itself checks only what the world doesn't.
"""

from __future__ import annotations

from collections import Counter

from greengagewood.internal.document import parse_document
from tests.common.system import example_document
from tests.common.world import DOCUMENT, InvariantViolation, World

PARTITION_TICKS = 350


def owner_and_others(world):
    names = world.owners()
    if len(names) != 1:
        raise InvariantViolation("owners", f"{names} own the cell instead of one scheduler")
    name = names[0]
    return name, [s for s in ("s1", "s2", "s3") if s != name]


def world_with_running_job(run_ms, tasks=1, cpus=4, document=DOCUMENT):
    """Return a world in which one job runs."""
    world = World(seed=5, document=document)
    world.run(40)
    world.submit(tasks, cpus, run_ms)
    world.run(30)
    return world


def worker_that_runs_a_task(world):
    for worker in world.workers.values():
        if worker.standin._running:
            return worker.name
    raise AssertionError("no worker runs a task")


def isolate(world, owner, others, worker):
    """Cut an owner off from the log and its peers, and a worker off from these peers."""
    for other in others:
        world.set_link_cut(owner, other)
        world.set_link_cut(other, worker)
    world.set_link_cut(owner, "log")


def owner_partitioned_with_its_worker():
    """The old owner reaches the worker but not the log; for the new owner it is the reverse."""
    world = world_with_running_job(run_ms=200_000)
    owner, others = owner_and_others(world)
    isolate(world, owner, others, worker_that_runs_a_task(world))
    world.run(PARTITION_TICKS)
    world.finish(ticks=4000)
    return world


def owner_loses_its_peers_before_the_log():
    """The owner is cut off from its peers three seconds before it is cut off from the log."""
    world = world_with_running_job(run_ms=200_000)
    owner, others = owner_and_others(world)
    worker = worker_that_runs_a_task(world)
    for other in others:
        world.set_link_cut(owner, other)
        world.set_link_cut(other, worker)
    world.run(30)
    world.set_link_cut(owner, "log")
    world.run(PARTITION_TICKS)
    world.finish(ticks=4000)
    return world


def owner_hears_only_one_of_two_candidates():
    """The owner still hears one candidate for its cell, but the other one takes the cell over."""
    world = world_with_running_job(run_ms=200_000)
    owner, others = owner_and_others(world)
    worker = worker_that_runs_a_task(world)
    for other in others:
        world.set_link_cut(other, worker)
    world.set_link_cut(owner, "log")
    world.run(5)
    claimer = others[0]
    world.set_link_cut(owner, claimer)
    world.set_link_cut(others[1], "log")
    world.run(PARTITION_TICKS)
    world.finish(ticks=4000)
    return world


def owner_paused_during_a_log_read():
    """The owner is paused with an unread answer from the log, and resumes long after a takeover.

    The answer must not confirm its license from when it is read.
    """
    world = world_with_running_job(run_ms=200_000)
    owner, others = owner_and_others(world)
    worker = worker_that_runs_a_task(world)
    for other in others:
        world.set_link_cut(other, worker)
    world.run(2)
    world.set_paused(owner, True)
    world.run(PARTITION_TICKS)
    world.set_link_cut(owner, "log")
    world.set_paused(owner, False)
    world.run(40)
    world.finish(ticks=4000)
    return world


def start_delayed_until_its_task_is_placed_again():
    """A start is delayed until its owner has ruled the worker out and placed the task again."""
    world = world_with_running_job(run_ms=100)
    world.finish()
    owner, _ = owner_and_others(world)
    world.set_hold_messages(True)
    world.submit(1, 4, 200_000)
    world.run(6)
    world.set_hold_messages(False)
    held = list(world.held_messages)
    for worker in {name for name, _ in held}:
        if any(m[1].exchange.starts for n, m in held if n == worker):
            world.set_link_cut(owner, worker)
    world.run(250)
    world.deliver_held_messages(len(world.held_messages))
    world.run(5)
    world.cut_links.clear()
    world.finish(ticks=4000)
    return world


def start_delivered_twice():
    """A start seems to fail, is sent again, run and acknowledged; then the first one arrives.

    The worker has forgotten the acknowledged attempt, and must not run it again.
    """
    document = parse_document(example_document(leases__command_window_ms=6000)).unwrap()
    world = world_with_running_job(run_ms=60_000, tasks=3, cpus=8, document=document)
    world.set_hold_messages(True)
    world.submit(1, 4, 100)
    while not any(m[1].exchange.starts for _, m in world.held_messages):
        world.tick()
    world.set_hold_messages(False)
    for _, (scheduler, send, ticket) in world.held_messages:
        scheduler.pending_commands.pop(ticket, None)
        scheduler.owner.exchange_failed(send)
    world.run(10)
    world.submit(5, 4, 50_000)  # makes the owner contact every worker, which reports the end
    world.run(14)
    world.deliver_held_messages(len(world.held_messages))
    world.run(5)
    world.finish(ticks=4000)
    ends = Counter(
        e.task for w in world.workers.values() for e in w.standin.audit if e.event == "done"
    )
    if max(ends.values()) > 1:
        raise InvariantViolation("ran_twice", "a start that arrived late ran its task again")
    return world


def start_delivered_to_a_replaced_worker():
    """A start is delayed while its worker is replaced by another one with the same clock.

    The echo of the clock alone would not show that the start was meant for the old worker.
    """
    # Busy workers get an exchange every second.
    world = world_with_running_job(run_ms=60_000, tasks=3, cpus=12)
    world.set_hold_messages(True)
    world.submit(1, 4, 200_000)
    world.run(6)
    world.set_hold_messages(False)
    late = [(n, m) for n, m in world.held_messages if m[1].exchange.starts]
    world.held_messages = []
    for name in {name for name, _ in late}:
        clock = world.workers[name].standin._clock
        world.replace_worker(name)
        world.workers[name].standin._clock = clock
    scheduler, send, ticket = late[0][1]
    scheduler.pending_commands.pop(ticket, None)
    scheduler.owner.exchange_failed(send)
    for name, message in late:
        world.workers[name].queue.append(message)
    world.tick()
    for name in {name for name, _ in late}:
        (late_job,) = [job for job in world.submitted.values() if job.tasks == 1]
        if f"{late_job.job}/0" in {key[0] for key in world.workers[name].standin._running}:
            raise InvariantViolation(
                "stale_start", "a worker ran a task started for its predecessor"
            )
    world.finish(ticks=4000)
    return world


def owner_dies_before_results_are_durable():
    """Tasks end while the log is unavailable, and their owner dies before it is available again."""
    world = world_with_running_job(run_ms=5000, tasks=4)
    world.log_down = True
    world.run(60)
    owner, _ = owner_and_others(world)
    world.replace_scheduler(owner)
    world.run(20)
    world.finish(ticks=4000)
    return world


def log_truncated_and_schedulers_replaced():
    """Jobs end, the log drops their records, and every scheduler is replaced, five times over.

    Only a snapshot can then tell a new scheduler what became of the jobs.
    """
    world = world_with_running_job(run_ms=500, tasks=3)
    for _ in range(5):
        for name in ("s1", "s2", "s3"):
            world.submit(3, 2, 300)
            world.run(57)
            world.submit(2, 2, 3000)
            world.run(71)
            world.replace_scheduler(name)
    world.finish(ticks=4000)
    if not any(s.owner.log.snapshot_offset for s in world.schedulers.values()):
        raise InvariantViolation("no_snapshot", "no snapshot was written")
    return world


def takeover_while_a_worker_is_ruled_out():
    """The owner loses a worker; a new owner renews the task there just before its lease expires."""
    world = world_with_running_job(run_ms=200_000)
    owner, others = owner_and_others(world)
    worker = worker_that_runs_a_task(world)
    elsewhere = [w for w in world.workers if w != worker]
    world.set_link_cut(owner, worker)
    world.run(55)
    for other in others:
        world.set_link_cut(owner, other)
    world.run(30)
    world.set_link_cut(owner, "log")
    for other in others:
        for name in elsewhere:
            world.set_link_cut(other, name)
    world.run(60)
    world.finish(ticks=4000)
    return world


def takeover_of_a_full_cell():
    """The owner dies while every worker is full.

    The new owner must adopt the running tasks, and place nothing beyond the workers' capacity.
    """
    world = world_with_running_job(run_ms=60_000, tasks=6, cpus=8)
    owner, _ = owner_and_others(world)
    world.submit(6, 8, 1000)
    world.run(20)
    running = {k for w in world.workers.values() for k in w.standin._running}
    world.replace_scheduler(owner)
    world.run(120)
    still = {k for w in world.workers.values() for k in w.standin._running}
    if not running <= still:
        raise InvariantViolation(
            "not_adopted", f"{sorted(running - still)} stopped at the takeover"
        )
    world.finish(ticks=4000)
    return world


def evicted_task_resumes_after_a_takeover():
    """A task is evicted and its owner dies; the task must resume from its checkpoint, once."""
    world = world_with_running_job(run_ms=20_000)
    world.run(80)
    world.evict(0)
    world.run(3)
    owner, _ = owner_and_others(world)
    world.replace_scheduler(owner)
    world.finish(ticks=4000)
    starts = [e for w in world.workers.values() for e in w.standin.audit if e.event == "start"]
    ran_ms = world.running_ms()
    if len(starts) != 2 or ran_ms > 30_000:
        raise InvariantViolation(
            "resumed_wrongly", f"{len(starts)} attempts ran for {ran_ms} ms in total"
        )
    return world


def task_evicted_three_times():
    """A task is evicted three times by the same owner."""
    world = world_with_running_job(run_ms=20_000)
    for _ in range(3):
        world.run(30)
        world.evict(0)
    world.finish(ticks=4000)
    return world


def job_cancelled_during_a_takeover():
    """A job is cancelled while its owner is paused and then dead; its tasks must stop for good."""
    world = world_with_running_job(run_ms=60_000, tasks=3)
    owner, _ = owner_and_others(world)
    world.set_paused(owner, True)
    world.cancel(0)
    world.run(100)
    world.replace_scheduler(owner)
    world.finish()
    if {final for final, _ in world.final_outcomes.values()} != {"cancelled"}:
        raise InvariantViolation("not_cancelled", str(world.final_outcomes))
    return world


SCENARIOS = [
    owner_partitioned_with_its_worker,
    owner_loses_its_peers_before_the_log,
    owner_hears_only_one_of_two_candidates,
    owner_paused_during_a_log_read,
    start_delayed_until_its_task_is_placed_again,
    start_delivered_twice,
    start_delivered_to_a_replaced_worker,
    owner_dies_before_results_are_durable,
    log_truncated_and_schedulers_replaced,
    takeover_while_a_worker_is_ruled_out,
    takeover_of_a_full_cell,
    evicted_task_resumes_after_a_takeover,
    task_evicted_three_times,
    job_cancelled_during_a_takeover,
]
