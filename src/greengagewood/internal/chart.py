"""State charts, defined in YAML files.

A chart lists its initial states, its states, and for each state the events that it accepts and the
state that each event leads to. It is validated and compiled to one dictionary when the module that
uses it is imported, so a transition is one dictionary lookup. In general state-machine libraries a
transition costs 200 times as much, and a request needs several; docs/design/state-charts.md
compares them.

An event that the current state does not accept raises `IllegalTransition`. It is an error of the
program or of a peer, and never ignored.
"""

from __future__ import annotations

from importlib import resources
from typing import Any

import yaml

__all__ = ["Chart", "ChartError", "IllegalTransition", "load_chart"]


class ChartError(ValueError):
    """Raised for a chart file that is not a valid chart."""


class IllegalTransition(Exception):
    """Raised for an event that the current state does not accept."""

    def __init__(self, chart: str, state: str, event: str) -> None:
        super().__init__(f"chart {chart!r}: state {state!r} does not accept event {event!r}")
        self.chart = chart
        self.state = state
        self.event = event


class Chart:
    """A compiled chart."""

    def __init__(
        self, name: str, initial: tuple[str, ...], states: dict[str, dict[str, str]]
    ) -> None:
        self.name = name
        self.initial = initial
        self.states = frozenset(states)
        self.final = frozenset(state for state, events in states.items() if not events)
        self.transitions = {
            (state, event): target
            for state, events in states.items()
            for event, target in events.items()
        }

    def next(self, state: str, event: str) -> str:
        """Return the state that the event leads to; raise IllegalTransition if there is none."""
        target = self.transitions.get((state, event))
        if target is None:
            raise IllegalTransition(self.name, state, event)
        return target

    def takes(self, state: str, event: str) -> bool:
        """Return whether the state accepts the event."""
        return (state, event) in self.transitions


def parse_chart(text: str) -> Chart:
    """Validate the text of a chart file and compile it; raise ChartError."""
    raw: Any = yaml.safe_load(text)
    if not isinstance(raw, dict) or set(raw) != {"name", "initial", "states"}:
        raise ChartError("a chart must have exactly the keys name, initial and states")
    states = {name: dict(events or {}) for name, events in raw["states"].items()}
    initial = tuple(raw["initial"])
    for state in initial:
        if state not in states:
            raise ChartError(f"initial state {state!r} is not among the states")
    for state, events in states.items():
        for event, target in events.items():
            if target not in states:
                raise ChartError(f"{state}.{event} leads to {target!r}, which is not a state")
    _check_reachable(initial, states)
    return Chart(raw["name"], initial, states)


def _check_reachable(initial: tuple[str, ...], states: dict[str, dict[str, str]]) -> None:
    seen = set(initial)
    pending = list(initial)
    while pending:
        for target in states[pending.pop()].values():
            if target not in seen:
                seen.add(target)
                pending.append(target)
    unreachable = sorted(set(states) - seen)
    if unreachable:
        raise ChartError(f"states {unreachable} cannot be reached from {list(initial)}")


def load_chart(name: str) -> Chart:
    """Load a chart file of this package by its name."""
    path = resources.files("greengagewood.internal") / "charts" / f"{name}.yaml"
    return parse_chart(path.read_text(encoding="utf-8"))
