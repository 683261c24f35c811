"""Main program of ./dev soak: draw or replay scripts of faults, play them and report."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import tempfile
import time
from pathlib import Path

import uvloop
from absl import app, flags

from devtools.soak.deployment import SCALES
from devtools.soak.run import RunResult, run_script
from devtools.soak.script import Step, draw_script, load_script, save_script, shrink_script

flags.DEFINE_integer("seed", None, "first seed; drawn if it is not given")
flags.DEFINE_integer("seeds", 1, "number of seeds to play", lower_bound=1)
flags.DEFINE_float("minutes", 0.5, "minutes of faults for each seed", lower_bound=0.1)
flags.DEFINE_enum("scale", "small", sorted(SCALES), "how many processes are started")
flags.DEFINE_string("replay", None, "script to play instead of drawing one")
flags.DEFINE_bool("shrink", False, "drop faults from a failing script while it still fails")
flags.DEFINE_string("keep", None, "folder that keeps the script and the logs of every run")
flags.DEFINE_string(
    "mutant", "none", "break the entry instances as in tests/common/entrymutants.py"
)

FLAGS = flags.FLAGS


def _prepare(seed: int, scale: str, steps: list[Step], folder: Path) -> None:
    """Save a script to the folder of its run and print it."""
    folder.mkdir(parents=True, exist_ok=True)
    for pattern in ("*.jsonl", "*.log", "*.err"):  # the programs append to them
        for path in folder.glob(pattern):
            path.unlink()
    script_path = folder / "script.jsonl"
    save_script(script_path, seed, scale, steps)
    print(f"seed {seed}, scale {scale}: {len(steps)} faults, script {script_path}", flush=True)
    for step in steps:
        print(f"  {step.at_ms:7} ms  {step.kind}  {step.args}", flush=True)


async def _play(seed: int, scale: str, steps: list[Step], folder: Path) -> RunResult:
    _prepare(seed, scale, steps, folder)
    result = await run_script(seed, SCALES[scale], steps, folder, FLAGS.mutant)
    print(result.summary(), flush=True)
    for finding in result.findings:
        print(f"FINDING {finding}", flush=True)
    return result


async def _shrink(seed: int, scale: str, steps: list[Step], folder: Path) -> None:
    runs = 0

    async def fails(shorter: list[Step]) -> bool:
        nonlocal runs
        runs += 1
        result = await _play(seed, scale, shorter, folder / f"shrink-{runs}")
        return bool(result.findings)

    steps = await shrink_script(steps, fails)
    save_script(folder / "shrunk.jsonl", seed, scale, steps)
    print(f"shrunk to {len(steps)} faults: {folder / 'shrunk.jsonl'}")


async def _run_all() -> int:
    task = asyncio.current_task()
    assert task is not None
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    keep = Path(FLAGS.keep or tempfile.mkdtemp(prefix="soak-"))
    started = time.monotonic()
    if FLAGS.replay:
        scripts = [load_script(Path(FLAGS.replay))]
    else:
        first = random.SystemRandom().randrange(10**6) if FLAGS.seed is None else FLAGS.seed
        duration_ms = int(FLAGS.minutes * 60_000)
        scripts = [
            (seed, FLAGS.scale, draw_script(seed, SCALES[FLAGS.scale], duration_ms))
            for seed in range(first, first + FLAGS.seeds)
        ]
    failed = []
    for seed, scale, steps in scripts:
        folder = keep / f"seed-{seed}"
        if (await _play(seed, scale, steps, folder)).findings:
            failed.append(seed)
            if FLAGS.shrink:
                await _shrink(seed, scale, steps, folder)
    minutes = (time.monotonic() - started) / 60
    print(f"{len(scripts)} runs in {minutes:.1f} minutes, failed seeds: {failed}; logs in {keep}")
    return 1 if failed else 0


def main(argv: list[str]) -> int:
    """Run the soak and return its exit code: 1 after a finding, 2 if it could not run."""
    if argv[1:]:
        print(f"soak: unknown argument {argv[1]!r}; see ./dev soak --help", file=sys.stderr)
        return 2
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            return runner.run(_run_all())
    except (OSError, RuntimeError, ValueError) as exc:
        print(f"soak: {exc}", file=sys.stderr)
        return 2
    except (asyncio.CancelledError, KeyboardInterrupt):
        print("soak: interrupted; every process that it started has ended", file=sys.stderr)
        return 130


if __name__ == "__main__":
    app.run(main)
