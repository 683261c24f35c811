"""Ownership of a cell as one instance sees it in the log of the store."""

from __future__ import annotations

import time

import pytest

from greengagewood.internal.cells.ownership import OWNER_TIMEOUT_MS, OWNERSHIP_CHART, OwnershipView
from greengagewood.internal.chart import IllegalTransition
from greengagewood.internal.clock import monotonic_ms
from greengagewood.internal.jobs.records import Ownership, Progress, Record, RegisteredWorkers

CONFIRMATION_TIMEOUT_MS = 5_000


def _view(delay_ms: int = 0) -> OwnershipView:
    view = OwnershipView("me", CONFIRMATION_TIMEOUT_MS, delay_ms)
    view.note_read(0, 0)
    return view


def _owning() -> OwnershipView:
    view = _view()
    view.note_record(view.make_claim(0), 0)
    assert view.state == "owning"
    return view


class TestClaims:
    """When an instance claims a cell, and which claim counts."""

    def test_a_cell_without_an_owner_is_claimed(self) -> None:
        assert _view().should_claim(1)

    def test_claims_of_a_cell_without_an_owner_are_delayed(self) -> None:
        view = _view(200)
        assert not view.should_claim(1)
        view.note_read(200, 201)
        assert view.should_claim(201)

    def test_an_owner_that_sends_heartbeats_is_not_replaced(self) -> None:
        view = _view()
        for now in range(0, 20_000, 500):
            view.note_record(Ownership(1, "other"), now)
            view.note_read(now, now)
            assert not view.should_claim(now)

    @pytest.mark.parametrize("record", [Progress("0" * 16, "running"), RegisteredWorkers((), 1)])
    def test_a_record_that_only_owners_write_counts_as_a_heartbeat(self, record: Record) -> None:
        view = _view()
        view.note_record(Ownership(1, "other"), 0)
        view.note_record(record, 2_000)
        view.note_read(2_100, 2_100)
        assert not view.should_claim(2_100)

    def test_an_owner_without_heartbeats_in_recent_reads_is_replaced(self) -> None:
        view = _view()
        view.note_record(Ownership(3, "other"), 0)
        view.note_read(OWNER_TIMEOUT_MS, OWNER_TIMEOUT_MS)
        assert view.should_claim(OWNER_TIMEOUT_MS)
        assert view.make_claim(OWNER_TIMEOUT_MS).token == 4

    def test_an_owner_is_not_replaced_while_the_store_does_not_answer(self) -> None:
        view = _view()
        view.note_record(Ownership(3, "other"), 0)
        view.note_read(100, 100)
        assert not view.should_claim(60_000)

    def test_a_released_cell_is_claimed_at_once(self) -> None:
        view = _view()
        view.note_record(Ownership(3, "other", released=True), 0)
        view.note_read(1, 1)
        assert view.should_claim(1)

    def test_a_released_cell_is_claimed_by_the_read_that_shows_the_release(self) -> None:
        """Guards against one more call of a slow store before each claim."""
        view = _view(200)
        view.note_record(Ownership(3, "other", released=True), 1_300)
        view.note_read(100, 1_300)
        assert not view.should_claim(1_499)
        assert view.should_claim(1_500)

    def test_a_released_cell_is_not_claimed_by_an_instance_that_cannot_read(self) -> None:
        """Guards against an owner that is suspended at once, as its reads fail."""
        view = _view(200)
        view.note_record(Ownership(3, "other", released=True), 10)
        view.note_read(5, 10)
        assert view.should_claim(1_000)
        assert not view.should_claim(3_000)

    def test_a_claim_is_repeated_only_after_another_read(self) -> None:
        """Guards against claims that the store refuses, as the log has gone on."""
        view = _view()
        view.note_record(Ownership(3, "other", released=True), 10)
        view.note_read(5, 10)
        view.make_claim(20)
        view.note_claim_failed()
        assert not view.should_claim(1_200)
        view.note_read(1_000, 1_200)
        assert view.should_claim(1_200)

    def test_the_claim_in_the_log_wins(self) -> None:
        view = _view()
        view.make_claim(0)
        view.note_record(Ownership(1, "other"), 5)
        assert view.state == "following"

    def test_a_claim_whose_reply_was_lost_counts_when_it_is_read(self) -> None:
        view = _view()
        claim = view.make_claim(0)
        view.tick(10_000)
        assert view.state == "following"
        view.note_record(claim, 10_001)
        assert view.state == "owning" and view.token == 1

    def test_an_earlier_process_of_the_instance_is_another_owner(self) -> None:
        view = OwnershipView("me#2", CONFIRMATION_TIMEOUT_MS, 0)
        view.note_record(Ownership(1, "me#1"), 0)
        assert view.state == "following"


def _view_with_cpu(cpu_millis: int) -> OwnershipView:
    view = OwnershipView("me", CONFIRMATION_TIMEOUT_MS, 0, cpu_millis)
    view.note_read(0, 0)
    return view


class TestUnequalInstances:
    """The owner is one of the live instances with the most CPU."""

    @staticmethod
    def _claims_beside(view: OwnershipView, owner: Ownership, until_ms: int) -> bool:
        """Return whether the view ever claims while the owner sends heartbeats."""
        for now in range(0, until_ms, 250):
            view.note_record(owner, now)
            view.note_read(now, now)
            if view.should_claim(now):
                return True
        return False

    def test_an_instance_with_far_more_cpu_takes_over_the_cell(self) -> None:
        small = Ownership(1, "other", cpu_millis=300)
        assert self._claims_beside(_view_with_cpu(2_100), small, 5_000)

    def test_an_instance_with_little_more_cpu_does_not_take_over(self) -> None:
        assert not self._claims_beside(
            _view_with_cpu(430), Ownership(1, "other", cpu_millis=300), 20_000
        )

    def test_an_owner_of_unknown_cpu_is_not_replaced(self) -> None:
        assert not self._claims_beside(_view_with_cpu(2_100), Ownership(1, "other"), 20_000)

    def test_an_owner_that_has_just_claimed_is_not_replaced(self) -> None:
        view = _view_with_cpu(2_100)
        view.note_record(Ownership(1, "other", cpu_millis=300), 50)
        view.note_read(60, 60)
        assert not view.should_claim(60)

    def test_an_instance_with_far_less_cpu_claims_later(self) -> None:
        ownership = Ownership(1, "other", cpu_millis=2_100)
        small, large = _view_with_cpu(300), _view_with_cpu(2_100)
        for view in (small, large):
            view.note_record(ownership, 0)
            view.note_read(OWNER_TIMEOUT_MS, OWNER_TIMEOUT_MS)
        assert large.should_claim(OWNER_TIMEOUT_MS) and not small.should_claim(OWNER_TIMEOUT_MS)
        small.note_read(OWNER_TIMEOUT_MS + 500, OWNER_TIMEOUT_MS + 500)
        assert small.should_claim(OWNER_TIMEOUT_MS + 500)


class TestEarlierOwners:
    """From when a new owner counts how long orders of earlier owners hold."""

    HEARTBEAT = Ownership(1, "other", heartbeats_limit_orders=True)

    @staticmethod
    def _earlier_heartbeat_ms(heartbeat: Ownership, claimed_ms: int = 9_000) -> int:
        view = _view()
        view.note_record(heartbeat, 1_000)
        view.note_read(claimed_ms, claimed_ms)
        view.note_record(view.make_claim(claimed_ms), claimed_ms + 50)
        assert view.state == "owning"
        return view.earlier_heartbeat_ms

    def test_the_time_counts_from_the_last_heartbeat_that_was_read(self) -> None:
        assert self._earlier_heartbeat_ms(self.HEARTBEAT) == 1_000

    def test_an_owner_of_an_older_version_may_send_orders_until_the_claim(self) -> None:
        assert self._earlier_heartbeat_ms(Ownership(1, "other")) == 9_050

    def test_a_claim_whose_reply_was_lost_is_no_heartbeat_of_an_earlier_owner(self) -> None:
        view = _view()
        view.note_record(self.HEARTBEAT, 1_000)
        claim = view.make_claim(3_000)
        view.tick(6_000)
        view.note_record(claim, 6_001)
        assert view.earlier_heartbeat_ms == 1_000

    def test_a_heartbeat_says_that_heartbeats_limit_orders(self) -> None:
        assert _view().make_claim(0).heartbeats_limit_orders


class TestConfirmation:
    """How long an owner may send orders without a read that confirms its ownership."""

    def test_an_owner_without_a_confirmed_read_is_suspended(self) -> None:
        view = _owning()
        view.note_stored(view.token, 1_001, 1_001)
        view.note_read(1_000, 1_000)
        view.tick(1_000 + CONFIRMATION_TIMEOUT_MS)
        assert view.state == "owning"
        view.tick(1_001 + CONFIRMATION_TIMEOUT_MS)
        assert view.state == "suspended"

    def test_a_read_sent_before_a_pause_does_not_confirm_ownership(self) -> None:
        view = _owning()
        view.tick(20_000)  # the machine was suspended
        view.note_read(500, 20_001)
        assert view.state == "suspended"
        view.note_stored(view.token, 20_001, 20_002)
        assert view.state == "suspended"
        view.note_read(20_002, 20_010)
        assert view.state == "owning"

    def test_an_owner_without_a_stored_heartbeat_is_suspended(self) -> None:
        """Guards against orders that a successor, who counts from heartbeats, takes for expired."""
        view = _owning()
        view.note_stored(view.token, 1_000, 1_100)
        view.note_read(6_000, 6_001)
        view.tick(1_000 + CONFIRMATION_TIMEOUT_MS)
        assert view.state == "owning"
        view.tick(1_001 + CONFIRMATION_TIMEOUT_MS)
        assert view.state == "suspended"
        view.note_stored(view.token - 1, 6_100, 6_200)  # of an earlier term
        assert view.state == "suspended"
        view.note_stored(view.token, 6_100, 6_200)
        assert view.state == "owning"

    def test_a_claim_counts_as_a_heartbeat_from_when_it_was_first_sent(self) -> None:
        view = _view()
        view.make_claim(0)
        view.tick(2_001)
        view.note_record(view.make_claim(2_100), 2_200)  # the first one may have been stored
        view.note_read(2_200, 2_200)
        view.tick(CONFIRMATION_TIMEOUT_MS)
        assert view.state == "owning"
        view.tick(1 + CONFIRMATION_TIMEOUT_MS)
        assert view.state == "suspended"

    def test_a_newer_token_ends_the_ownership(self) -> None:
        view = _owning()
        view.note_record(Ownership(2, "other"), 1)
        assert view.state == "following" and view.token == 0

    def test_a_refused_token_ends_the_ownership(self) -> None:
        view = _owning()
        view.note_fenced()
        assert view.state == "following"

    def test_an_instance_that_shuts_down_does_not_claim(self) -> None:
        view = _view()
        view.shutting_down = True
        assert not view.should_claim(10)


class TestChart:
    """The state chart of ownership."""

    def test_events_that_a_state_does_not_accept_raise(self) -> None:
        events = {event for _, event in OWNERSHIP_CHART.transitions}
        for state in OWNERSHIP_CHART.states:
            for event in events:
                if not OWNERSHIP_CHART.takes(state, event):
                    with pytest.raises(IllegalTransition):
                        OWNERSHIP_CHART.next(state, event)


class TestClock:
    """The clock by which leases are timed."""

    def test_it_runs_while_the_machine_is_suspended(self) -> None:
        boot_ms = time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000
        assert abs(monotonic_ms() - boot_ms) < 1_000
