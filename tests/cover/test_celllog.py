"""A reader that starts from a snapshot must reach the state of a reader from the beginning.

It does not if a snapshot covers another offset than it claims, or if the reader loads a snapshot
that is incomplete or that leaves a gap before the first record read.
"""

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

JOB_NAMES = ["j1", "j2"]


def job_record(name):
    return JobSubmitted(name, "a", "t", "c", "cell", 2, 1, 1, 0, 1, "", 0)


EPOCH_STRATEGY = st.integers(0, 4)
OUTCOME_STRATEGY = st.builds(
    TaskOutcome,
    st.sampled_from([f"{name}/{n}" for name in JOB_NAMES for n in range(2)]),
    st.integers(1, 3),
    st.sampled_from(["done", "cancelled", "failed", "checkpointed", "attempt_failed"]),
    st.sampled_from(["", "x"]),
)
RECORD_STRATEGY = st.one_of(
    st.builds(CellClaimed, st.sampled_from("ab"), st.just(1), EPOCH_STRATEGY, st.just(("b",))),
    st.builds(CellReleased, EPOCH_STRATEGY),
    st.builds(WorkersChanged, EPOCH_STRATEGY, st.just({"w1": "u"}), st.sampled_from([(), ("w1",)])),
    st.builds(
        JobsAdopted, EPOCH_STRATEGY, st.sampled_from([(job_record("j1"),), (job_record("j2"),)])
    ),
    st.builds(TasksProgressed, EPOCH_STRATEGY, st.lists(OUTCOME_STRATEGY, max_size=3).map(tuple)),
)


def replay_all(records):
    log = CellLog("cell")
    for offset, record in enumerate(records, 1):
        log.replay(offset, record)
    return log


class TestSnapshots:
    @settings(max_examples=300)
    @given(
        st.lists(RECORD_STRATEGY, max_size=14),
        st.integers(0, 14),
        st.integers(0, 14),
        st.integers(0, 14),
        st.integers(20, 400),
    )
    def test_state_from_snapshot_equals_state_from_beginning(
        self, records, upto, written_at, start_after, part_chars
    ):
        """Compare the two readers for a snapshot of any offset.

        The snapshot holds the state after offset `upto` and is written after offset `written_at`.
        The reader starts after offset `start_after`.
        """
        upto = min(upto, len(records))
        written_at = max(upto, min(written_at, len(records)))
        parts = replay_all(records[:upto]).write_snapshot("s", part_chars)
        stream = [*records[:written_at], *parts, *records[written_at:]]
        # The reader misses no record after the snapshot's offset.
        start_after = min(start_after, upto)
        from_start, from_snapshot = replay_all(stream), CellLog("cell")
        from_snapshot.lose_sync()
        for offset, record in list(enumerate(stream, 1))[start_after:]:
            from_snapshot.replay(offset, record)
        assert from_snapshot.synced
        assert from_snapshot.state == from_start.state
        assert from_snapshot.offset == from_start.offset

    @given(st.lists(RECORD_STRATEGY, max_size=8), st.integers(30, 100), st.integers(0, 30))
    def test_snapshot_with_missing_part_is_ignored(self, records, part_chars, missing_part):
        parts = replay_all(records).write_snapshot("s", part_chars)
        del parts[missing_part % len(parts)]
        from_snapshot = CellLog("cell")
        from_snapshot.lose_sync()
        for offset, record in enumerate(parts, len(records) + 1):
            from_snapshot.replay(offset, record)
        assert not from_snapshot.synced

    def test_snapshot_followed_by_gap_is_ignored(self):
        records = [CellClaimed("a", 1, 0, ()), CellClaimed("b", 1, 1, ())]
        snapshot = replay_all(records[:1]).write_snapshot("s", 1000)
        from_snapshot = CellLog("cell")
        from_snapshot.lose_sync()
        from_snapshot.replay(3, snapshot[0])
        assert not from_snapshot.synced

    def test_results_of_ended_job_are_dropped_before_the_job(self):
        log = replay_all(
            [
                CellClaimed("a", 1, 0, ()),
                JobsAdopted(1, (job_record("j1"),)),
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
