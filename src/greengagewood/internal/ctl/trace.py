"""Collect the log events of one job from the log files of all instances."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

import msgspec

__all__ = ["Trace", "trace_job"]

# Fields that the table shows in a column of their own or leaves out.
NON_DETAIL_FIELDS = ("time", "level", "program", "instance", "event", "job", "task")


@dataclass
class Trace:
    """Hold the log events of a job, ordered by time.

    `unparsed_lines` counts the lines that contain the job's name but are not log events.
    """

    events: list[dict[str, Any]] = field(default_factory=list)
    unparsed_lines: int = 0

    def table_rows(self) -> list[list[str]]:
        """Return a table row for each event: time, instance, event, task and details."""
        return [
            [
                str(event.get("time", "")),
                str(event.get("instance", "")),
                str(event.get("event", "")),
                "/".join(map(str, event["task"][1:])) if _is_task_id(event.get("task")) else "-",
                " ".join(f"{k}={v}" for k, v in event.items() if k not in NON_DETAIL_FIELDS),
            ]
            for event in self.events
        ]


def trace_job(lines: Iterable[str], job: str) -> Trace:
    """Return the events of a job; text before the JSON object of a line is skipped."""
    trace = Trace()
    for line in lines:
        if job not in line:
            continue
        try:
            event = msgspec.json.decode(line[max(0, line.find("{")) :], type=dict[str, Any])
        except msgspec.DecodeError:
            trace.unparsed_lines += 1
            continue
        if event.get("job") == job or (_is_task_id(event.get("task")) and event["task"][0] == job):
            trace.events.append(event)
    trace.events.sort(key=lambda event: str(event.get("time", "")))
    return trace


def _is_task_id(value: object) -> bool:
    return isinstance(value, list) and len(value) == 4
