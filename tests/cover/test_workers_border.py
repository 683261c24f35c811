"""Replies of workers, valid or not, must neither lose a task nor stop the owner.

A faulty worker may report unknown tasks, attempts and outcomes, negative sizes, or other epochs.
"""

from hypothesis import given, settings
from hypothesis import strategies as st

from greengagewood.internal.native.workers import Attempt, EndedAttempt, ExchangeReply, Usage
from greengagewood.internal.owner import Send
from tests.common.scenarios import owner_and_others, world_with_running_job

SIZES = st.integers(0, 5)
ATTEMPT_NUMBERS = st.integers(1, 3) | st.just((10 << 20) + 1)


def reply_strategy(tasks):
    task_names = st.sampled_from([*tasks, "unknown/0", "no-slash"])
    outcomes = st.sampled_from(
        ["done", "failed", "checkpointed", "stopped", "lapsed", "refused", "exploded", ""]
    )
    return st.builds(
        ExchangeReply,
        accepted=st.booleans(),
        epoch=st.integers(0, 50),
        fresh=st.booleans(),
        boot=st.integers(0, 3),
        clock=st.integers(-(10**9), 10**9),
        version=st.integers(-1, 5),
        cpus=st.integers(-5, 100),
        memory_mb=st.integers(-5, 10**6),
        accelerators=st.integers(-1, 4),
        running=st.none()
        | st.lists(
            st.builds(Attempt, task_names, ATTEMPT_NUMBERS, st.just("c"), SIZES, SIZES, SIZES),
            max_size=3,
        ).map(tuple),
        ended=st.lists(
            st.builds(EndedAttempt, task_names, ATTEMPT_NUMBERS, outcomes, st.text(max_size=3)),
            max_size=3,
        ).map(tuple),
        usage=st.lists(
            st.builds(Usage, st.just("c"), st.floats(), st.integers(), st.integers()), max_size=2
        ).map(tuple),
    )


class TestReplies:
    @settings(max_examples=60)
    @given(st.data())
    def test_owner_keeps_placing_after_any_replies(self, data):
        world = world_with_running_job(run_ms=20_000, tasks=3)
        owner_name, _ = owner_and_others(world)
        owner = world.schedulers[owner_name].owner
        tasks = sorted(owner.book.tasks)
        for reply in data.draw(st.lists(reply_strategy(tasks), min_size=1, max_size=6)):
            worker = next(iter(owner.workers.values()))
            sent = Send(worker.name, worker.url, worker.next_exchange(
                owner.epoch, owner_name, world.document.leases, world.now_ms
            ))  # fmt: skip
            owner.exchange_answered(sent, reply, world.now_ms)
        for _ in range(5):
            world.now_ms += 100
            owner.plan(world.now_ms, world._cluster_view(world.schedulers[owner_name]))
        assert owner.state == "placing"
        known_tasks = {task for job in owner.book.jobs.values() for task in job.tasks}
        ended_tasks = {task for task in tasks if task.partition("/")[0] in owner.log.state.ended}
        assert known_tasks | ended_tasks >= set(tasks)
