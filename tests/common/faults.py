"""Random sequences of faults and requests in a simulated world, reproducible from a seed."""

from __future__ import annotations

import random

from tests.common.world import InvariantViolation, World

SCHEDULERS = ["s1", "s2", "s3"]
WORKERS = ["w1", "w2", "w3"]
TICK_COUNTS = [1, 3, 10, 30, 60, 150]


def _cut(world, rng):
    scheduler = rng.choice(SCHEDULERS)
    other = rng.choice([n for n in [*SCHEDULERS, *WORKERS, "log", "log"] if n != scheduler])
    world.set_link_cut(scheduler, other, rng.random() < 0.6)


def _isolate(world, rng):
    """Cut an owner off from the log, the other schedulers and some workers."""
    owners = world.owners() or SCHEDULERS
    owner = rng.choice(owners)
    for other in [*SCHEDULERS, "log"]:
        if owner != other:
            world.set_link_cut(owner, other)
    for worker in WORKERS:
        world.set_link_cut(owner, worker, rng.random() < 0.4)


def _split_workers(world, rng):
    """Let each worker be reached by one scheduler, and by the others only at random."""
    for worker in WORKERS:
        connected = rng.choice(SCHEDULERS)
        for scheduler in SCHEDULERS:
            world.set_link_cut(scheduler, worker, scheduler != connected and rng.random() < 0.7)


def _heal_links_and_schedulers(world, rng):
    world.cut_links.clear()
    for name in SCHEDULERS:
        world.set_paused(name, False)


def _pause_owner(world, rng):
    for name in world.owners():
        world.set_paused(name, True)


# Each entry is a weight and a step. `GENTLE_STEP_NUMBERS` counts the entries from 1.
STEPS = [
    (8, lambda world, rng: world.run(rng.choice(TICK_COUNTS))),
    (
        2,
        lambda world, rng: world.submit(
            rng.randrange(1, 6), rng.randrange(1, 17), rng.randrange(100, 30_000)
        ),
    ),
    (1, lambda world, rng: world.cancel(rng.randrange(50))),
    (1, lambda world, rng: world.evict(rng.randrange(50))),
    (1, lambda world, rng: world.replace_scheduler(rng.choice(SCHEDULERS))),
    (0.5, lambda world, rng: world.release(rng.choice(SCHEDULERS))),
    (1, lambda world, rng: world.set_paused(rng.choice(SCHEDULERS), rng.random() < 0.5)),
    (1, _pause_owner),
    (1, lambda world, rng: world.set_worker_paused(rng.choice(WORKERS), rng.random() < 0.5)),
    (0.3, lambda world, rng: world.replace_worker(rng.choice(WORKERS))),
    (2, _cut),
    (1, _isolate),
    (1, _split_workers),
    (1.5, _heal_links_and_schedulers),
    (1, lambda world, rng: setattr(world, "log_down", rng.random() < 0.5)),
    (1, lambda world, rng: setattr(world, "lose_append_answers", rng.random() < 0.5)),
    (0.5, lambda world, rng: setattr(world, "lose_replies", rng.random() < 0.5)),
    (1, lambda world, rng: world.set_hold_messages(rng.random() < 0.6)),
    (1, lambda world, rng: world.deliver_held_messages(rng.randrange(1, 8))),
]
GENTLE_STEP_NUMBERS = {1, 2, 3, 4, 5, 6, 7, 8, 15, 16}


def run_history(seed, steps=40, gentle=False, world_type=World):
    """Run a random history.

    Return the world, and the failed check with the number of steps taken, or None if none failed.
    A gentle history has no faults of workers or of links to them, so no task may end twice.
    """
    rng = random.Random(seed)
    world = world_type(seed)
    world.submit(4, 4, 3000)
    choices = [
        step for number, step in enumerate(STEPS) if not gentle or number + 1 in GENTLE_STEP_NUMBERS
    ]
    weights = [weight for weight, _ in choices]
    steps_taken = 0
    try:
        world.run(20)
        for steps_taken in range(1, steps + 1):  # noqa: B007
            _, step = rng.choices(choices, weights)[0]
            step(world, rng)
        world.finish()
    except InvariantViolation as exc:
        return world, (exc, steps_taken)
    return world, None
