"""Bounds on placement from the stated targets, in virtual time; every run gives the same result."""

import functools

import pytest
from devtools.benches.decisions import (
    MAX_EVICTION_RATIO,
    MAX_EVICTION_RATIO_IN_WAVES,
    MAX_P99_RATIO,
    MAX_URGENT_P99_S,
    SCENARIOS,
)
from devtools.lab import Lab, never_share, ours, percentile

SCENARIOS_BY_NAME = {scenario.name: scenario for scenario in SCENARIOS}


@functools.cache
def run_scenario(user, name, policy):
    return Lab(user, SCENARIOS_BY_NAME[name], policy).run()


def p99_ratio_to_never_sharing(user, name):
    shared, unshared = run_scenario(user, name, ours), run_scenario(user, name, never_share)
    return percentile(shared.latencies_ms, 0.99) / percentile(unshared.latencies_ms, 0.99)


class TestDecisions:
    @pytest.mark.parametrize(
        ("user", "name"), [("padana", "harsh"), ("nl-west", "harsh"), ("padana", "noisy waves")]
    )
    def test_the_tail_stays_near_that_of_never_sharing(self, user, name):
        assert p99_ratio_to_never_sharing(user, name) <= MAX_P99_RATIO

    def test_the_tail_stays_near_that_of_never_sharing_when_the_table_shifts(self):
        assert p99_ratio_to_never_sharing("padana", "table shifts") <= MAX_P99_RATIO

    @pytest.mark.parametrize(
        ("name", "bound"),
        [("harsh", MAX_EVICTION_RATIO), ("noisy waves", MAX_EVICTION_RATIO_IN_WAVES)],
    )
    def test_evictions_are_few(self, name, bound):
        figures = run_scenario("padana", name, ours)
        assert figures.evictions <= bound * figures.starts

    @pytest.mark.parametrize("name", ["harsh", "noisy waves", "table shifts"])
    def test_urgent_work_starts_in_time_and_no_worker_is_overcommitted(self, name):
        figures = run_scenario("padana", name, ours)
        assert percentile(figures.urgent_waits_s, 0.99) < MAX_URGENT_P99_S
        assert figures.overcommitted_workers == 0
