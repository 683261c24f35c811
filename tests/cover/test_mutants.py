"""Every deliberately broken variant must be caught, and the table must say by what."""

import pytest

from greengagewood.internal.celllog import CellLog
from greengagewood.internal.records import CellClaimed, TaskOutcome, TasksProgressed
from tests.common.faults import run_history
from tests.common.mutants import MUTANTS, mutant
from tests.common.scenarios import SCENARIOS
from tests.common.world import InvariantViolation

HISTORIES = [(19, False), (11, True), (46, False)]


def logged_finals_are_stable():
    """A second end of a task changes nothing."""
    log = CellLog("c")
    log.replay(1, CellClaimed("a", 1, 0, ()))
    for detail in ("x", "y"):
        log.replay(2, TasksProgressed(1, (TaskOutcome("j/0", 1, "done", detail),)))
    if log.tasks["j/0"].detail != "x":
        raise InvariantViolation("final_changed", "the first end of a task counts")


def snapshots_are_exact():
    """A reader from a snapshot and one from the beginning know the same."""
    records = [
        CellClaimed("a", 1, 0, ()),
        TasksProgressed(1, (TaskOutcome("j/0", 1, "done"),)),
        TasksProgressed(1, (TaskOutcome("j/1", 1, "done"),)),
    ]
    whole, late = CellLog("c"), CellLog("c")
    for offset, record in enumerate(records[:2], 1):
        whole.replay(offset, record)
    (snapshot,) = whole.write_snapshot("s", 10_000)
    late.lose_sync()
    for offset, record in ((3, records[2]), (4, snapshot)):
        whole.replay(offset, record)
        late.replay(offset, record)
    if whole.state != late.state:
        raise InvariantViolation("snapshot_differs", f"{whole.state} and {late.state}")


def checks():
    """Yield each check of the suite under its name."""
    for scenario in [logged_finals_are_stable, snapshots_are_exact, *SCENARIOS]:
        yield scenario.__name__, scenario
    for seed, gentle in HISTORIES:
        yield f"history {seed}", lambda seed=seed, gentle=gentle: replay(seed, gentle)


def replay(seed, gentle):
    _, broken = run_history(seed, gentle=gentle)
    if broken is not None:
        raise broken[0]


def first_catch():
    """Return which check fails first and how."""
    for name, check in checks():
        try:
            check()
        except InvariantViolation as exc:
            return f"{name}: {exc.check}"
    return None


class TestMutants:
    def test_the_suite_passes_without_a_mutant(self):
        assert first_catch() is None

    @pytest.mark.parametrize("name", sorted(MUTANTS))
    def test_a_mutant_is_caught(self, name, record_property):
        with mutant(name):
            caught = first_catch()
        record_property("caught_by", caught)
        assert caught is not None, f"no check catches {name!r}"


class TestHistories:
    @pytest.mark.parametrize("seed", range(40))
    def test_a_random_history_keeps_every_promise(self, seed):
        _, broken = run_history(seed, gentle=seed % 3 == 2)
        assert broken is None, str(broken)
