"""A reader that starts from a snapshot must know what a reader from the beginning knows."""

from hypothesis import given, settings
from hypothesis import strategies as st

from greengagewood.internal.celllog import CellLog
from greengagewood.internal.records import (
    CellClaimed,
    CellReleased,
    JobsAdopted,
    JobSubmitted,
    TaskOutcome,
    TasksProgressed,
    WorkersChanged,
)

JOBS = ["j1", "j2"]


def job(name):
    return JobSubmitted(name, "a", "t", "c", "cell", 2, 1, 1, 0, 1, "", 0)


EPOCHS = st.integers(0, 4)
OUTCOMES = st.builds(
    TaskOutcome,
    st.sampled_from([f"{name}/{n}" for name in JOBS for n in range(2)]),
    st.integers(1, 3),
    st.sampled_from(["done", "cancelled", "failed", "checkpointed", "attempt_failed"]),
    st.sampled_from(["", "x"]),
)
RECORDS = st.one_of(
    st.builds(CellClaimed, st.sampled_from("ab"), st.just(1), EPOCHS, st.just(("b",))),
    st.builds(CellReleased, EPOCHS),
    st.builds(WorkersChanged, EPOCHS, st.just({"w1": "u"}), st.sampled_from([(), ("w1",)])),
    st.builds(JobsAdopted, EPOCHS, st.sampled_from([(job("j1"),), (job("j2"),)])),
    st.builds(TasksProgressed, EPOCHS, st.lists(OUTCOMES, max_size=3).map(tuple)),
)


def replayed(records):
    log = CellLog("cell")
    for offset, record in enumerate(records, 1):
        log.replay(offset, record)
    return log


class TestSnapshots:
    @settings(max_examples=300)
    @given(
        st.lists(RECORDS, max_size=14),
        st.integers(0, 14),
        st.integers(0, 14),
        st.integers(0, 14),
        st.integers(20, 400),
    )
    def test_state_from_a_snapshot_is_the_state_from_the_beginning(
        self, records, upto, written, first, part_chars
    ):
        """The snapshot is of `upto`, written somewhere later; the reader starts at `first`."""
        upto = min(upto, len(records))
        written = max(upto, min(written, len(records)))
        parts = replayed(records[:upto]).write_snapshot("s", part_chars)
        stream = [*records[:written], *parts, *records[written:]]
        first = min(first, upto)  # nothing after the snapshot's offset is missing
        whole, late = replayed(stream), CellLog("cell")
        late.lose_sync()
        for offset, record in list(enumerate(stream, 1))[first:]:
            late.replay(offset, record)
        assert late.synced
        assert late.state == whole.state
        assert late.offset == whole.offset

    @given(st.lists(RECORDS, max_size=8), st.integers(30, 100), st.integers(0, 30))
    def test_a_snapshot_that_was_cut_short_is_ignored(self, records, part_chars, lost):
        parts = replayed(records).write_snapshot("s", part_chars)
        del parts[lost % len(parts)]
        late = CellLog("cell")
        late.lose_sync()
        for offset, record in enumerate(parts, len(records) + 1):
            late.replay(offset, record)
        assert not late.synced

    def test_a_snapshot_with_a_gap_behind_it_is_ignored(self):
        records = [CellClaimed("a", 1, 0, ()), CellClaimed("b", 1, 1, ())]
        old = replayed(records[:1]).write_snapshot("s", 1000)
        late = CellLog("cell")
        late.lose_sync()
        late.replay(3, old[0])
        assert not late.synced

    def test_an_ended_job_gives_up_its_results_first_and_its_name_later(self):
        log = replayed(
            [
                CellClaimed("a", 1, 0, ()),
                JobsAdopted(1, (job("j1"),)),
                TasksProgressed(
                    1, tuple(TaskOutcome(f"j1/{n}", 1, "done", "r") for n in range(2)), 100
                ),
            ]
        )
        assert log.state.ended["j1"].counts == {"done": 2}
        assert log.drop_expired(200, 50, 1000) == ["j1"]
        assert log.tasks == {} and "j1" in log.state.ended
        log.drop_expired(2000, 50, 1000)
        assert log.state.ended == {}
