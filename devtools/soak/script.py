"""Scripts of faults: drawn from a seed, saved, loaded and shrunk."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from devtools.soak.deployment import Scale

__all__ = ["OWNER", "Step", "draw_script", "load_script", "save_script", "shrink_script"]

OWNER = -1  # stands for the instance, or the failure domain, that owns the cell at that time
FIRST_STEP_MS = 6_000  # jobs run by then
STORE_FAULTS = ("silent", "busy", "reset", "slow", "lose_answers", "apply_late")
TOPICS = (None, None, "keyed.cell0", "keyed.servers", "keyed.op")  # None is all
WORKER_FAULTS = ("crash", "boot", "drain", "replace", "reclaim", "gone", "boot_shifted")
ORDER_FAULTS = ("late_orders", "lost_answers", "fail_runs", "odd_rows")
CALM_TROUBLES = ("links", "kill", "terminate", "busy", "crash", "none")  # before a calm phase
# How often each kind is drawn, relative to the others.
WEIGHTS = {
    "terminate": 3,
    "kill": 4,
    "freeze": 3,
    "hangup": 1,
    "replace": 2,
    "starve": 2,
    "cut_domain": 4,
    "cut_off_owner": 3,
    "cut_pair": 3,
    "delay": 2,
    "reset": 2,
    "silence": 2,
    "hang": 2,
    "lapse": 2,
    "store": 4,
    "truncate": 1,
    "truncate_behind": 2,
    "reboot_behind": 2,
    "worker": 4,
    "orders": 3,
    "configure": 2,
    "deadly": 1,
}


@dataclass(frozen=True)
class Step:
    """A fault, and when it begins, in milliseconds from the start of the script."""

    at_ms: int
    kind: str
    args: dict[str, Any] = field(default_factory=dict)


def draw_script(seed: int, scale: Scale, duration_ms: int) -> list[Step]:
    """Draw the faults of a run from a seed; several may begin at nearly the same time."""
    rng = random.Random(seed)
    kinds, weights = list(WEIGHTS), list(WEIGHTS.values())
    at_ms, steps = FIRST_STEP_MS, []
    while at_ms < duration_ms:
        kind = rng.choices(kinds, weights)[0]
        steps.append(Step(at_ms, kind, _draw_args(rng, kind, scale)))
        at_ms += rng.randint(50, 800) if rng.random() < 0.4 else rng.randint(1_500, 6_000)
    # Drawn apart, so that a seed keeps the other faults that it had before this kind.
    odd_rng = random.Random(f"odd entries {seed}")
    odd_at_ms = odd_rng.randint(1_000, max(1_000, duration_ms // 2))
    odd_args = {"new": 20, "workers": [odd_rng.randrange(scale.workers)], "seed": seed}
    steps.append(Step(odd_at_ms, "odd_entries", odd_args))
    calm_rng = random.Random(f"calm {seed}")
    for domain in calm_rng.sample(range(scale.domains), 1):
        away = {"domain": domain, "for_ms": calm_rng.randint(6_000, 12_000)}
        steps.append(Step(calm_rng.randint(1_000, duration_ms), "evacuate", away))
        drained = sorted(calm_rng.sample(range(scale.workers), scale.workers // 4))
        calm_args = {"trouble": calm_rng.choice(CALM_TROUBLES), "workers": drained}
        steps.append(Step(duration_ms, "cancel_in_calm", {**calm_args, "domain": domain}))
    return sorted(steps, key=lambda step: step.at_ms)


def _draw_args(rng: random.Random, kind: str, scale: Scale) -> dict[str, Any]:
    instance = OWNER if rng.random() < 0.5 else rng.randrange(scale.instances)
    worker = rng.randrange(scale.workers)
    for_ms = rng.randint(500, 9_000)
    match kind:
        case "terminate" | "kill":
            return {"instance": instance, "pause_ms": rng.choice((50, 500, 3_000))}
        case "replace":
            how = rng.choice(("terminate", "kill"))
            return {"instance": instance, "how": how, "pause_ms": rng.choice((50, 3_000, 12_000))}
        case "starve":
            return {"instance": instance, "share": rng.choice((0.1, 0.3, 0.6)), "for_ms": for_ms}
        case "hang":
            return {"target": -1 if rng.random() < 0.3 else worker, "for_ms": for_ms}
        case "lapse":
            domain = rng.choice((None, rng.randrange(scale.domains)))
            return {"domain": domain, "for_ms": rng.randint(3_000, 9_000)}
        case "freeze":
            return {"instance": instance, "for_ms": for_ms}
        case "cut_domain":
            domain = OWNER if rng.random() < 0.5 else rng.randrange(scale.domains)
            way, mode = rng.choice(("both", "out", "back")), rng.choice(("drop", "hold"))
            return {"domain": domain, "way": way, "mode": mode, "for_ms": for_ms}
        case "cut_off_owner":
            return {"lead_ms": rng.randint(2_000, 4_200), "for_ms": rng.randint(4_500, 8_000)}
        case "cut_pair":
            target = -1 if rng.random() < 0.5 else worker  # -1 is the store
            mode = rng.choice(("drop", "hold", "refuse"))
            way = rng.choice(("both", "out", "back"))
            args = {"instance": instance, "target": target, "way": way, "mode": mode}
            return {**args, "for_ms": for_ms}
        case "delay":
            by_ms = rng.choice((20, 150, 700))
            return {"instance": instance, "by_ms": by_ms, "for_ms": for_ms}
        case "store":
            fault = rng.choice(STORE_FAULTS)
            some = rng.random() < 0.3  # whether only one instance is affected
            args = {"fault": fault, "share": rng.choice((0.1, 0.5)), "ms": rng.randint(50, 1_500)}
            args |= {"topic": rng.choice(TOPICS), "instance": instance if some else None}
            return {**args, "for_ms": for_ms}
        case "worker":
            do = rng.choice(WORKER_FAULTS)
            args = {"worker": worker, "do": do, "pause_ms": rng.randint(100, 4_000)}
            if do == "reclaim":
                args["stay_ms"] = rng.randint(1_000, 4_500)
            if do == "boot_shifted":
                args["shift_ms"] = rng.choice((-60_000, -3_000, 3_000))
            return args
        case "orders":
            workers = sorted(rng.sample(range(scale.workers), max(1, scale.workers // 4)))
            fault, share = rng.choice(ORDER_FAULTS), 0.3
            if fault == "fail_runs":  # on all workers, so that some tasks use up their attempts
                workers, share = list(range(scale.workers)), 0.8
            return {"fault": fault, "share": share, "workers": workers, "for_ms": for_ms}
        case "truncate_behind":
            return {"instance": instance, "for_ms": rng.randint(400, 2_500)}
        case "reboot_behind":
            workers = sorted(rng.sample(range(scale.workers), max(1, scale.workers // 4)))
            return {"instance": OWNER, "workers": workers, "by_ms": rng.randint(300, 1_200)}
        case "truncate":
            return {"keep": rng.choice((0, 20))}
        case "deadly":
            return {"tasks": 1}
        case _:  # hangup, reset, silence, configure
            return {"instance": instance}


def save_script(path: Path, seed: int, scale: str, steps: list[Step]) -> None:
    """Write a script to a file, one step a line after a line on its seed and scale."""
    lines: list[Any] = [{"seed": seed, "scale": scale}, *map(asdict, steps)]
    path.write_bytes(b"\n".join(map(msgspec.json.encode, lines)) + b"\n")


def load_script(path: Path) -> tuple[int, str, list[Step]]:
    """Read a script; return its seed, its scale and its steps."""
    head, *lines = path.read_bytes().splitlines()
    fields = msgspec.json.decode(head)
    return fields["seed"], fields["scale"], [msgspec.json.decode(ln, type=Step) for ln in lines]


async def shrink_script(
    steps: list[Step], fails: Callable[[list[Step]], Awaitable[bool]]
) -> list[Step]:
    """Return a shorter script that still fails: drop parts, halving their length each round."""
    length = max(1, len(steps) // 2)
    while True:
        start = 0
        while start < len(steps) and len(steps) > 1:
            shorter = steps[:start] + steps[start + length :]
            if shorter and await fails(shorter):
                steps = shorter
            else:
                start += length
        if length == 1:
            return steps
        length = max(1, length // 2)
