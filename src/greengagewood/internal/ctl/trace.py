"""Follow a job through the log files of all instances."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

import msgspec

__all__ = ["Trace", "trace_job"]

COMMON_FIELDS = ("time", "level", "program", "instance", "event", "job", "task")


@dataclass
class Trace:
    """Hold the events of a job by time; `unreadable` counts lines that are no log lines."""

    events: list[dict[str, Any]] = field(default_factory=list)
    unreadable: int = 0

    def rows(self) -> list[list[str]]:
        """Return the events as rows of time, instance, event, task and details."""
        return [
            [
                str(event.get("time", "")),
                str(event.get("instance", "")),
                str(event.get("event", "")),
                "/".join(map(str, event["task"][1:])) if _is_task(event.get("task")) else "-",
                " ".join(f"{k}={v}" for k, v in event.items() if k not in COMMON_FIELDS),
            ]
            for event in self.events
        ]


def trace_job(lines: Iterable[str], job: str) -> Trace:
    """Return what the lines say of a job; text before the JSON of a line is passed over."""
    found = Trace()
    for line in lines:
        if job not in line:
            continue
        try:
            event = msgspec.json.decode(line[max(0, line.find("{")) :], type=dict[str, Any])
        except msgspec.DecodeError:
            found.unreadable += 1
            continue
        if event.get("job") == job or (_is_task(event.get("task")) and event["task"][0] == job):
            found.events.append(event)
    found.events.sort(key=lambda event: str(event.get("time", "")))
    return found


def _is_task(value: object) -> bool:
    return isinstance(value, list) and len(value) == 4
