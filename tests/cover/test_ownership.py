"""Ownership of a cell under faults, in virtual time.

Guards against tasks that run in two places at once, are lost or never end when schedulers, workers,
links and the log fail. The world checks this after each tick, and at the end against the jobs that
were submitted.
"""

import os

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from tests.common.world import LOG_RETENTION_MS, TICK_MS, World

SCHEDULERS = st.sampled_from(["s1", "s2", "s3"])
WORKERS = st.sampled_from(["w1", "w2", "w3"])
ENDPOINTS = SCHEDULERS | WORKERS | st.just("log")


class OwnershipMachine(RuleBasedStateMachine):
    """Apply any faults in any order, also together and repeatedly."""

    @initialize(seed=st.integers(0, 2**16))
    def begin(self, seed):
        self.world = World(seed)
        self.world.submit(4, 4, 2000)
        self.world.run(20)

    @rule(ticks=st.sampled_from([1, 3, 10, 30, 60, 150, 250]))
    def run_ticks(self, ticks):
        self.world.run(ticks)

    @rule(tasks=st.integers(1, 6), cpus=st.integers(1, 16), run_ms=st.integers(100, 20_000))
    def submit(self, tasks, cpus, run_ms):
        self.world.submit(tasks, cpus, run_ms)

    @rule(index=st.integers(0, 50))
    def cancel(self, index):
        self.world.cancel(index)

    @rule(index=st.integers(0, 50))
    def evict(self, index):
        self.world.evict(index)

    @rule(name=SCHEDULERS)
    def kill(self, name):
        self.world.replace_scheduler(name)

    @rule(name=SCHEDULERS)
    def release_and_replace(self, name):
        self.world.release(name)
        self.world.run(5)
        self.world.replace_scheduler(name)

    @rule(name=SCHEDULERS, paused=st.booleans())
    def pause(self, name, paused):
        self.world.set_paused(name, paused)

    @rule(name=WORKERS, paused=st.booleans())
    def pause_worker(self, name, paused):
        self.world.set_worker_paused(name, paused)

    @rule(name=WORKERS)
    def lose_worker(self, name):
        self.world.replace_worker(name)

    @rule(a=SCHEDULERS, b=ENDPOINTS, cut=st.booleans())
    def cut(self, a, b, cut):
        if a != b:
            self.world.set_link_cut(a, b, cut)

    @rule(down=st.booleans(), answers_lost=st.booleans())
    def log_outage(self, down, answers_lost):
        self.world.log_down = down
        self.world.lose_append_answers = answers_lost

    @rule(lost=st.booleans())
    def lose_replies(self, lost):
        self.world.worker_faults = True
        self.world.lose_replies = lost

    @rule(hold=st.booleans())
    def hold_messages(self, hold):
        self.world.set_hold_messages(hold)

    @rule(count=st.integers(1, 10))
    def deliver_held(self, count):
        self.world.deliver_held_messages(count)

    def teardown(self):
        if hasattr(self, "world"):
            self.world.finish()


TestOwnershipMachine = OwnershipMachine.TestCase
TestOwnershipMachine.settings = settings(
    max_examples=2000 if os.environ.get("GGW_TEST_PROFILE") == "long" else 60,
    stateful_step_count=30,
)


TICKS_PER_HOUR = 36_000


class TestIsolation:
    """Tasks go on while schedulers are cut off for up to an hour, and none runs twice."""

    def world_with_running_job(self):
        world = World(seed=3)
        world.run(40)
        world.submit(4, 4, 30_000)
        world.run(30)
        return world

    def test_owner_goes_on_while_the_log_is_down(self):
        world = self.world_with_running_job()
        owners = world.owners()
        world.log_down = True
        world.run(TICKS_PER_HOUR)
        assert world.owners() == owners
        ended = [
            event
            for worker in world.workers.values()
            for event in worker.standin.audit
            if event.event == "done"
        ]
        assert len(ended) == 4  # done at the workers; logged once the log is back
        world.finish()

    def test_owner_cut_off_from_log_and_peers_is_suspended_and_replaced(self):
        world = self.world_with_running_job()
        (owner,) = world.owners()
        for other in ("s1", "s2", "s3", "log"):
            if other != owner:
                world.set_link_cut(owner, other)
        world.run(TICKS_PER_HOUR // 10)
        assert [name for name in world.owners() if name != owner]
        assert world.schedulers[owner].owner.state == "suspended"
        world.finish()

    def test_schedulers_cut_off_from_each_other_run_no_task_twice(self):
        world = self.world_with_running_job()
        for a in ("s1", "s2", "s3"):
            for b in ("s1", "s2", "s3"):
                if a != b:
                    world.set_link_cut(a, b)
        world.run(TICKS_PER_HOUR // 10)
        world.finish()

    def test_a_cell_whose_state_is_lost_after_its_tasks_ended_stays_without_an_owner(self):
        world = World(seed=3)
        world.run(40)
        world.submit(2, 4, 3_000)
        world.run(100)
        outcomes = dict(world.final_outcomes)
        assert outcomes.keys() >= world.expected_tasks()
        world.log_down = True
        world.run(2 * LOG_RETENTION_MS // TICK_MS)
        for name in list(world.schedulers):
            world.replace_scheduler(name)
        world.finish()
        assert world.state_lost
        assert world.final_outcomes == outcomes
        assert not world.owners()
