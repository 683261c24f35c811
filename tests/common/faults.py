"""Random histories of the small world, from a seed."""

from __future__ import annotations

import random

from tests.common.world import Broken, World

SCHEDULERS = ["s1", "s2", "s3"]
WORKERS = ["w1", "w2", "w3"]
TICKS = [1, 3, 10, 30, 60, 150]


def _cut(world, rng):
    a = rng.choice(SCHEDULERS)
    b = rng.choice([n for n in [*SCHEDULERS, *WORKERS, "log", "log"] if n != a])
    world.cut(a, b, rng.random() < 0.6)


def _isolate(world, rng):
    """Cut an owner off from everything but some workers."""
    owners = world.owners() or SCHEDULERS
    a = rng.choice(owners)
    for b in [*SCHEDULERS, "log"]:
        if a != b:
            world.cut(a, b)
    for b in WORKERS:
        world.cut(a, b, rng.random() < 0.4)


def _split_workers(world, rng):
    """Let each scheduler reach its own part of the workers only."""
    for b in WORKERS:
        reached = rng.choice(SCHEDULERS)
        for a in SCHEDULERS:
            world.cut(a, b, a != reached and rng.random() < 0.7)


def _heal(world, rng):
    world.cuts.clear()
    for name in SCHEDULERS:
        world.pause(name, False)


def _pause_owner(world, rng):
    for name in world.owners():
        world.pause(name, True)


STEPS = [
    (8, lambda w, r: w.run(r.choice(TICKS))),
    (2, lambda w, r: w.submit(r.randrange(1, 6), r.randrange(1, 17), r.randrange(100, 30_000))),
    (1, lambda w, r: w.cancel(r.randrange(50))),
    (1, lambda w, r: w.evict(r.randrange(50))),
    (1, lambda w, r: w.kill(r.choice(SCHEDULERS))),
    (0.5, lambda w, r: w.release(r.choice(SCHEDULERS))),
    (1, lambda w, r: w.pause(r.choice(SCHEDULERS), r.random() < 0.5)),
    (1, _pause_owner),
    (1, lambda w, r: w.pause_worker(r.choice(WORKERS), r.random() < 0.5)),
    (0.3, lambda w, r: w.lose_worker(r.choice(WORKERS))),
    (2, _cut),
    (1, _isolate),
    (1, _split_workers),
    (1.5, _heal),
    (1, lambda w, r: setattr(w, "log_down", r.random() < 0.5)),
    (1, lambda w, r: setattr(w, "lose_append_answers", r.random() < 0.5)),
    (0.5, lambda w, r: setattr(w, "lose_replies", r.random() < 0.5)),
    (1, lambda w, r: w.hold(r.random() < 0.6)),
    (1, lambda w, r: w.deliver_held(r.randrange(1, 8))),
]
GENTLE = {1, 2, 3, 4, 5, 6, 7, 8, 15, 16}


def run_history(seed, steps=40, gentle=False, world_type=World):
    """Run one history; return the world, and what broke with the number of steps, if anything.

    A gentle history never makes a worker or a link to one fail, so no task may end twice.
    """
    rng = random.Random(seed)
    world = world_type(seed)
    world.submit(4, 4, 3000)
    choices = [s for n, s in enumerate(STEPS) if not gentle or n + 1 in GENTLE]
    weights = [weight for weight, _ in choices]
    taken = 0
    try:
        world.run(20)
        for taken in range(1, steps + 1):  # noqa: B007
            _, step = rng.choices(choices, weights)[0]
            step(world, rng)
        world.finish()
    except Broken as exc:
        return world, (exc, taken)
    return world, None
