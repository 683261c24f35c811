"""Departures of workers among events in random order, told to any owner at any later time.

The environment variable GGW_EVENT_ORDER_SEEDS, such as 1000:2000, plays other seeds.
"""

from __future__ import annotations

import os

import pytest

from tests.common.eventorder import World

STEPS = 1_200
FIRST, LAST = map(int, os.environ.get("GGW_EVENT_ORDER_SEEDS", "0:20").split(":"))
DEPARTURE_SHARE = 0.4  # of the faults
TOLD_SHARE = 0.05  # of the events, those before which an owner is told a departure


class _LeavingWorld(World):
    """Workers also drain and leave, and may start again under their IDs."""

    def __init__(self, seed: int) -> None:
        self.departures: list[tuple[str, int]] = []
        super().__init__(seed)

    def _begin_term(self) -> None:
        super()._begin_term()
        self.owner.cell.note_departed(dict(self.departures), self.now_ms)

    def _draw_event(self) -> None:
        if self.departures and self.rng.random() < TOLD_SHARE:
            name, boot_time_ms = self.rng.choice(self.departures[-4:])
            owner = self.rng.choice(self.owners)
            owner.cell.note_departed({name: boot_time_ms}, self.now_ms)
        super()._draw_event()

    def _draw_fault(self) -> None:
        if self.rng.random() >= DEPARTURE_SHARE:
            super()._draw_fault()
            return
        boots = [boot for boot in self.boots.values() if boot.up]
        leaving = [boot for boot in boots if boot.draining and boot.listed]
        if leaving:
            boot = self.rng.choice(leaving)
            self._crash(boot)
            boot.listed = False
            self.departures.append((boot.name, boot.boot_time_ms))
            if self.rng.random() < 0.5:
                self._reboot(boot, boot.name)
        elif boots:
            self.rng.choice(boots).draining = True


class TestDepartures:
    """Guard against a departure that ends what goes on, or may still be carried out."""

    @pytest.mark.parametrize("seed", range(FIRST, LAST))
    def test_no_order_of_events_breaks_a_rule(self, seed: int) -> None:
        world = _LeavingWorld(seed)
        world.play(STEPS)
