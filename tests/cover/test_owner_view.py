"""Who owns a cell, as one instance sees it through the store."""

from __future__ import annotations

import time

import pytest

from greengagewood.internal.cells.ownership import CHART, OWNER_TIMEOUT_MS, OwnershipView
from greengagewood.internal.chart import IllegalTransition
from greengagewood.internal.clock import monotonic_ms
from greengagewood.internal.jobs.records import Ownership, Progress

TERM_MS = 5_000


def _view(delay_ms: int = 0) -> OwnershipView:
    view = OwnershipView("me", TERM_MS, delay_ms)
    view.note_read(0, 0)
    return view


def _owning() -> OwnershipView:
    view = _view()
    view.note_record(view.make_claim(0), 0)
    assert view.state == "owning"
    return view


class TestClaims:
    """When an instance claims, and which claim counts."""

    def test_a_cell_without_an_owner_is_claimed(self) -> None:
        assert _view().should_claim(1)

    def test_claims_of_a_free_cell_are_spread(self) -> None:
        view = _view(200)
        assert not view.should_claim(1)
        view.note_read(200, 201)
        assert view.should_claim(201)

    def test_an_owner_that_signs_is_left_alone(self) -> None:
        view = _view()
        for now in range(0, 20_000, 500):
            view.note_record(Ownership(1, "other"), now)
            view.note_read(now, now)
            assert not view.should_claim(now)

    def test_progress_is_a_sign_of_life_too(self) -> None:
        view = _view()
        view.note_record(Ownership(1, "other"), 0)
        view.note_record(Progress("0" * 16, "running"), 2_000)
        view.note_read(2_100, 2_100)
        assert not view.should_claim(2_100)

    def test_an_owner_that_is_not_seen_by_fresh_reads_is_replaced(self) -> None:
        view = _view()
        view.note_record(Ownership(3, "other"), 0)
        view.note_read(OWNER_TIMEOUT_MS, OWNER_TIMEOUT_MS)
        assert view.should_claim(OWNER_TIMEOUT_MS)
        assert view.make_claim(OWNER_TIMEOUT_MS).token == 4

    def test_silence_of_the_store_is_no_sign_of_absence(self) -> None:
        view = _view()
        view.note_record(Ownership(3, "other"), 0)
        view.note_read(100, 100)
        assert not view.should_claim(60_000)

    def test_a_released_cell_is_claimed_at_once(self) -> None:
        view = _view()
        view.note_record(Ownership(3, "other", released=True), 0)
        view.note_read(1, 1)
        assert view.should_claim(1)

    def test_of_two_claims_the_one_in_the_log_counts(self) -> None:
        view = _view()
        view.make_claim(0)
        view.note_record(Ownership(1, "other"), 5)
        assert view.state == "following"

    def test_a_claim_whose_answer_was_lost_counts_when_it_is_read(self) -> None:
        view = _view()
        claim = view.make_claim(0)
        view.tick(10_000)
        assert view.state == "following"
        view.note_record(claim, 10_001)
        assert view.state == "owning" and view.token == 1

    def test_an_earlier_life_of_the_instance_is_another_owner(self) -> None:
        view = OwnershipView("me#2", TERM_MS, 0)
        view.note_record(Ownership(1, "me#1"), 0)
        assert view.state == "following"


def _strong(cpu_millis: int) -> OwnershipView:
    view = OwnershipView("me", TERM_MS, 0, cpu_millis)
    view.note_read(0, 0)
    return view


class TestUnequalInstances:
    """The owner is one of the instances with the most processors, if any of them lives."""

    @staticmethod
    def _watch(view: OwnershipView, owner: Ownership, until_ms: int) -> bool:
        """Tell whether the view claims at some time while the owner signs."""
        for now in range(0, until_ms, 250):
            view.note_record(owner, now)
            view.note_read(now, now)
            if view.should_claim(now):
                return True
        return False

    def test_an_instance_with_far_more_takes_a_cell_over(self) -> None:
        weak = Ownership(1, "other", cpu_millis=300)
        assert self._watch(_strong(2_100), weak, 5_000)

    def test_equal_instances_leave_each_other_alone(self) -> None:
        assert not self._watch(_strong(430), Ownership(1, "other", cpu_millis=300), 20_000)

    def test_an_owner_that_does_not_say_is_left_alone(self) -> None:
        assert not self._watch(_strong(2_100), Ownership(1, "other"), 20_000)

    def test_an_owner_that_has_just_claimed_is_left_alone(self) -> None:
        view = _strong(2_100)
        view.note_record(Ownership(1, "other", cpu_millis=300), 50)
        view.note_read(60, 60)
        assert not view.should_claim(60)

    def test_a_weaker_instance_claims_after_the_stronger_ones(self) -> None:
        gone = Ownership(1, "other", cpu_millis=2_100)
        weak, strong = _strong(300), _strong(2_100)
        for view in (weak, strong):
            view.note_record(gone, 0)
            view.note_read(OWNER_TIMEOUT_MS, OWNER_TIMEOUT_MS)
        assert strong.should_claim(OWNER_TIMEOUT_MS) and not weak.should_claim(OWNER_TIMEOUT_MS)
        weak.note_read(OWNER_TIMEOUT_MS + 500, OWNER_TIMEOUT_MS + 500)
        assert weak.should_claim(OWNER_TIMEOUT_MS + 500)


class TestTerms:
    """How long an owner may give orders."""

    def test_an_owner_without_a_confirmed_read_is_suspended(self) -> None:
        view = _owning()
        view.note_read(1_000, 1_000)
        view.tick(1_000 + TERM_MS)
        assert view.state == "owning"
        view.tick(1_001 + TERM_MS)
        assert view.state == "suspended"

    def test_a_read_that_was_sent_before_the_pause_confirms_nothing(self) -> None:
        view = _owning()
        view.tick(20_000)  # the machine was suspended
        view.note_read(500, 20_001)
        assert view.state == "suspended"
        view.note_read(20_002, 20_010)
        assert view.state == "owning"

    def test_a_newer_token_ends_the_term(self) -> None:
        view = _owning()
        view.note_record(Ownership(2, "other"), 1)
        assert view.state == "following" and view.token == 0

    def test_the_store_or_a_worker_may_say_so_first(self) -> None:
        view = _owning()
        view.note_fenced()
        assert view.state == "following"

    def test_an_instance_that_stops_claims_no_more(self) -> None:
        view = _view()
        view.shutting_down = True
        assert not view.should_claim(10)


class TestChart:
    """The chart of ownership."""

    def test_events_that_a_state_does_not_take_are_errors(self) -> None:
        events = {event for _, event in CHART.transitions}
        for state in CHART.states:
            for event in events:
                if not CHART.takes(state, event):
                    with pytest.raises(IllegalTransition):
                        CHART.next(state, event)


class TestClock:
    """The clock that leases are judged by."""

    def test_it_goes_on_while_the_machine_is_suspended(self) -> None:
        boot_ms = time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000
        assert abs(monotonic_ms() - boot_ms) < 1_000
