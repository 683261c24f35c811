"""Tests of the ownership checks themselves: each mutant of the decision code must fail one.

A check that no mutant fails might check nothing. The name of the check that caught a mutant is
recorded as the property `caught_by` of its test.
"""

import pytest

from greengagewood.internal.celllog import CellLog
from greengagewood.internal.records import CellClaimed, TaskOutcome, TasksProgressed
from tests.common.faults import run_history
from tests.common.mutants import MUTANTS, mutant
from tests.common.scenarios import SCENARIOS
from tests.common.world import InvariantViolation

# Each entry is the seed of a random history and whether the history is gentle.
HISTORIES = [(19, False), (11, True), (46, False)]


def first_final_outcome_is_kept():
    """The log keeps the first final outcome of a task when a second one is replayed."""
    log = CellLog("c")
    log.replay(1, CellClaimed("a", 1, 0, ()))
    for detail in ("x", "y"):
        log.replay(2, TasksProgressed(1, (TaskOutcome("j/0", 1, "done", detail),)))
    if log.tasks["j/0"].detail != "x":
        raise InvariantViolation("final_changed", "a second outcome replaced the first one")


def snapshot_restores_the_same_state():
    """A reader that starts from a snapshot has the state of one that read every record."""
    records = [
        CellClaimed("a", 1, 0, ()),
        TasksProgressed(1, (TaskOutcome("j/0", 1, "done"),)),
        TasksProgressed(1, (TaskOutcome("j/1", 1, "done"),)),
    ]
    full_reader, snapshot_reader = CellLog("c"), CellLog("c")
    for offset, record in enumerate(records[:2], 1):
        full_reader.replay(offset, record)
    (snapshot,) = full_reader.write_snapshot("s", 10_000)
    snapshot_reader.lose_sync()
    for offset, record in ((3, records[2]), (4, snapshot)):
        full_reader.replay(offset, record)
        snapshot_reader.replay(offset, record)
    if full_reader.state != snapshot_reader.state:
        raise InvariantViolation(
            "snapshot_differs", f"{full_reader.state} and {snapshot_reader.state}"
        )


def checks():
    """Yield the name and the function of each check that mutants are run against."""
    for scenario in [first_final_outcome_is_kept, snapshot_restores_the_same_state, *SCENARIOS]:
        yield scenario.__name__, scenario
    for seed, gentle in HISTORIES:
        yield f"history {seed}", lambda seed=seed, gentle=gentle: check_history(seed, gentle)


def check_history(seed, gentle):
    _, failure = run_history(seed, gentle=gentle)
    if failure is not None:
        raise failure[0]


def first_failed_check():
    """Return the check that fails first and the violated invariant, or None if all pass."""
    for name, check in checks():
        try:
            check()
        except InvariantViolation as exc:
            return f"{name}: {exc.check}"
    return None


class TestMutants:
    def test_all_checks_pass_without_a_mutant(self):
        assert first_failed_check() is None

    @pytest.mark.parametrize("name", sorted(MUTANTS))
    def test_a_check_catches_the_mutant(self, name, record_property):
        with mutant(name):
            caught = first_failed_check()
        record_property("caught_by", caught)
        assert caught is not None, f"no check catches {name!r}"


class TestHistories:
    @pytest.mark.parametrize("seed", range(40))
    def test_a_random_history_violates_no_invariant(self, seed):
        _, failure = run_history(seed, gentle=seed % 3 == 2)
        assert failure is None, str(failure)
