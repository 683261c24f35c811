"""Native owners that are cut off from the log while a successor may act, in virtual time."""

from __future__ import annotations

import pytest

from tests.common.world import World


def _run_until(world, condition, max_ticks=100):
    for _ in range(max_ticks):
        if condition():
            return
        world.run(1)
    raise AssertionError("the condition did not become true")


def _starts(world):
    """Return the starts that workers carried out, of replaced workers too."""
    return [
        (event.task, event.attempt)
        for worker in world.workers.values()
        for event in worker.standin.audit
        if event.event == "start"
    ]


class TestLostBoots:
    """Workers that reboot after a successor may have made the end of their tasks final.

    The first claim of a world names no candidates, so the license of its owner does not lapse.
    """

    def test_a_task_whose_end_a_successor_made_final_does_not_start_again(self):
        """Guards against a second run of a task that callers have seen finished."""
        world = World(seed=5, schedulers=2, workers=2)
        world.run(90)
        (name,) = world.owners()
        old = world.schedulers[name]
        (new,) = [s for s in world.schedulers.values() if s is not old]
        world.submit(1, 1, 4000)
        world.run(10)
        (task,) = old.owner.book.tasks.values()
        host = task.worker
        (other,) = [worker for worker in world.workers if worker != host]
        assert len(_starts(world)) == 1
        # The successor never fences the other worker, so it is not placing by itself.
        for a, b in ((name, "log"), (name, new.name), (new.name, other)):
            world.set_link_cut(a, b)
        _run_until(world, lambda: task.name in world.final_outcomes)
        assert new.owner.epoch > old.owner.epoch
        assert world.final_outcomes[task.name][0] == "done"
        world.run(5)
        world.set_link_cut(new.name, host)
        world.replace_worker(host)
        world.run(100)
        assert old.owner.workers[host].boot == world.workers[host].standin._boot
        assert len(_starts(world)) == 1
        world.finish()
        assert len(_starts(world)) == 1

    @pytest.mark.parametrize("answered", [True, False])
    def test_a_task_of_a_lost_boot_waits_for_a_read_sent_after_the_loss(self, answered):
        """Guards against a start, or a repeated one, that no read after the loss allows."""
        world = World(seed=5, schedulers=1, workers=2)
        world.run(40)
        (owner,) = (s.owner for s in world.schedulers.values())
        world.submit(1, 1, 60_000)
        _run_until(world, lambda: any(owner.book.in_state("starting")))
        world.run(1)  # an idle worker ignores the first command, whose echo is too old
        world.lose_replies = not answered
        world.run(1)
        assert len(_starts(world)) == 1
        world.log_down = True
        (task,) = owner.book.tasks.values()
        assert task.state == ("running" if answered else "starting")
        host = task.worker
        world.replace_worker(host)
        world.lose_replies = False
        world.run(60)
        assert owner.state == "placing"
        assert owner.workers[host].boot == world.workers[host].standin._boot
        assert len(_starts(world)) == 1
        world.log_down = False
        world.run(10)
        assert len(set(_starts(world))) == len(_starts(world)) == 2
        world.finish()
