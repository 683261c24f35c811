"""Bounds on decisions in virtual time, from the stated targets; the same figures on every run."""

import functools

import pytest
from devtools.benches.decisions import (
    SCENARIOS,
    STEADY_EVICTIONS,
    TAIL_FACTOR,
    URGENT_S,
    WAVE_EVICTIONS,
)
from devtools.lab import Lab, never_share, ours, percentile

BY_NAME = {scenario.name: scenario for scenario in SCENARIOS}


@functools.cache
def measured(user, name, policy):
    return Lab(user, BY_NAME[name], policy).run()


def tail_ratio(user, name):
    mine, alone = measured(user, name, ours), measured(user, name, never_share)
    return percentile(mine.latencies, 0.99) / percentile(alone.latencies, 0.99)


class TestDecisions:
    @pytest.mark.parametrize(
        ("user", "name"), [("padana", "harsh"), ("nl-west", "harsh"), ("padana", "noisy waves")]
    )
    def test_the_tail_stays_near_that_of_never_sharing(self, user, name):
        assert tail_ratio(user, name) <= TAIL_FACTOR

    def test_the_tail_stays_near_that_of_never_sharing_when_the_table_shifts(self):
        assert tail_ratio("padana", "table shifts") <= TAIL_FACTOR

    @pytest.mark.parametrize(
        ("name", "bound"), [("harsh", STEADY_EVICTIONS), ("noisy waves", WAVE_EVICTIONS)]
    )
    def test_evictions_are_few(self, name, bound):
        found = measured("padana", name, ours)
        assert found.evictions <= bound * found.starts

    @pytest.mark.parametrize("name", ["harsh", "noisy waves", "table shifts"])
    def test_urgent_work_starts_in_time_and_no_worker_is_overcommitted(self, name):
        found = measured("padana", name, ours)
        assert percentile(found.urgent_waits, 0.99) < URGENT_S
        assert found.overcommitted == 0
