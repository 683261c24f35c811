"""The scripts of the fault soak in virtual time, with its callers and its checker."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest
from devtools.soak.deployment import SCALES
from devtools.soak.script import WEIGHTS, Step, draw_script, load_script

from tests.common.virtualsoak import NOT_PLAYED, play_in_virtual_time

ROOT = Path(__file__).parents[2]
SCRIPTS = ROOT / "tests" / "soak"
REGRESSIONS = sorted((SCRIPTS / "regressions").glob("*.jsonl"))
SEEDS_IN_CI = range(8)
# Each mutant that the simulated ports can show, a script (or none, to draw it), and the first seed
# that finds it.
MUTANTS = [
    ("accept_without_storing", None, 0),
    ("alter_spec", None, 0),
    ("cancel_only_what_is_stored", None, 0),
    ("apply_as_read", "regressions/cancelled-behind-truncation", 902),
    ("complete_early", None, 0),
    ("conclude_without_reads", "regressions/owner-cut-off", 32),
    ("due_early", None, 0),
    ("ignore_cancel", None, 0),
    ("ignore_cpu", None, 0),
    ("ignore_label", None, 0),
    ("ignore_max_per_worker", None, 0),
    ("ignore_order", None, 0),
    ("leave_lasting", None, 0),
    ("leave_some", None, 1),
    ("more_attempts", "mutants/failing-runs", 904),
    ("refuse_on_old_boot", "regressions/refused-by-old-boot", 907),
    ("refuse_what_is_stored", None, 0),
    ("trust_lists", None, 9),
    ("trust_lists", "mutants/odd-rows", 0),
]


class TestScripts:
    """A script keeps the promises in virtual time as with real processes."""

    def test_every_kind_is_played_or_passed_over_with_a_reason(self) -> None:
        assert set(NOT_PLAYED) < {*WEIGHTS, "odd_entries", "evacuate", "cancel_in_calm"}
        assert all(NOT_PLAYED.values())

    @pytest.mark.parametrize("seed", SEEDS_IN_CI)
    def test_a_drawn_script_finds_nothing(self, seed: int) -> None:
        script = draw_script(seed, SCALES["small"], 30_000)
        assert play_in_virtual_time(seed, "small", script) == []

    @pytest.mark.parametrize("path", REGRESSIONS, ids=lambda path: path.stem)
    def test_a_script_that_failed_once_passes(self, path: Path) -> None:
        assert play_in_virtual_time(*load_script(path)) == []

    @pytest.mark.parametrize("kind", sorted(set(WEIGHTS) - set(NOT_PLAYED)))
    def test_each_kind_alone_finds_nothing(self, kind: str) -> None:
        drawn = [step for seed in range(3) for step in draw_script(seed, SCALES["small"], 300_000)]
        args = [step.args for step in drawn if step.kind == kind][:4]
        steps = [Step(6_000 + 4_000 * n, kind, found) for n, found in enumerate(args)]
        assert steps
        assert play_in_virtual_time(1, "small", steps) == []


class TestMutants:
    """Guard against a simulation in which the scripts no longer reach what they test."""

    @pytest.mark.parametrize(("mutant", "script", "seed"), MUTANTS, ids=lambda value: str(value))
    def test_a_mutant_is_found(self, mutant: str, script: str | None, seed: int) -> None:
        """In a process of its own, as a mutant changes the program for good."""
        args = [f"--mutant={mutant}", f"--seed={seed}", "--seeds=3"]
        if script:
            args.append(f"--replay={SCRIPTS / script}.jsonl")
        command = [sys.executable, "-m", "tests.common.virtualsoak", *args]
        done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=120)
        assert done.returncode == 1, done.stdout[-2_000:] + done.stderr[-2_000:]
        assert "FINDING" in done.stdout
