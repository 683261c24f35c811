"""Lists of runs and of their ends, as workers answer them.

A row that can't be read costs its own run at most. What is left of it counts: a row with a task and
a run number shows that the run goes on, and an end with its number can be acknowledged. The reply
is an `AllEndsReply` if a row may stand for any run, or if there is no list of ends.

It is a `RunListPage` if the worker may have further ends: it lists `MAX_LISTED_ENDS` at a time.

An end without a readable outcome is withheld for `END_RETRY_MS`, together with the ends behind it,
as the worker lists them again until they are acknowledged, and may then list it in full. Afterwards
it counts as the end of its run with an unknown outcome. Until then the reply is a `RunListPage`.
"""

from __future__ import annotations

import json
import re
from collections import OrderedDict
from functools import lru_cache
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from greengagewood.internal.clock import monotonic_ms
from greengagewood.internal.jobs.records import TaskId
from greengagewood.internal.logs import Log
from greengagewood.internal.ports import (
    UNKNOWN_RESULT,
    AllEndsReply,
    LeaseReply,
    RunEnd,
    RunListPage,
    RunningTask,
)
from greengagewood.platform.wire import MAX_INTEGER, Integer, decode

__all__ = ["RunListReader", "format_task_name", "parse_task_name"]

MAX_LISTED_ENDS = 500  # by the platform's documentation; a worker lists further ends later
END_RETRY_MS = 1_000  # two further lists, well before a lease ends
MAX_DEPTH = 8  # of an answer that is read row by row; a sound one has 4 levels
MAX_INTEGER_DIGITS = 20
MAX_ROWS_NOTED = 2_000  # of all workers together; an older one is reported again
MAX_REPORTED_LENGTH = 100
# Each list names every run of a worker anew; that many tasks can run at once in one cell.
MAX_TASK_NAMES_KEPT = 20_000
MAX_ROW_KEY_LENGTH = 300
# Stands for the task of an end that does not name one.
NO_TASK = TaskId("", 0, 0, 0)

_RunNumber = Annotated[int, Meta(ge=1, le=MAX_INTEGER)]
_Sequence = Annotated[int, Meta(ge=1, le=MAX_INTEGER)]
_Percent = Annotated[float, Meta(ge=0, le=100)]
_Load = Annotated[float, Meta(ge=0, le=10**9)]
# Task name, run number, checkpoint, progress in percent, and the tail latency in milliseconds or
# the CPU use in thousandths of a CPU.
_RunRow = tuple[str, _RunNumber, str, _Percent, _Load]
# Sequence number, task name, run number, result, checkpoint.
_EndRow = tuple[_Sequence, str, _RunNumber, str, str]

_TASK_NAME = re.compile(
    r"([!-\-/-~]{1,64})\.(0|[1-9]\d{0,9})\.(0|[1-9]\d{0,9})\.(0|[1-9]\d{0,9})", re.A
)
_STRING_OR_BRACKETS = re.compile(r'"(?:[^"\\]|\\.)*"|[\[{]+|[\]}]+', re.S)

_log = Log("workers")


class _Answer(msgspec.Struct):
    clock_ms: Integer = msgspec.field(name="clock-ms")
    running: list[_RunRow]
    finished: list[_EndRow]
    born: Integer = 0  # boot time of the worker in milliseconds, 0 if unknown


class _LooseAnswer(msgspec.Struct):
    clock_ms: Integer = msgspec.field(name="clock-ms")
    running: Any = None
    finished: Any = None
    born: Integer = 0


def format_task_name(task: TaskId) -> str:
    """Return the name by which workers identify a task."""
    return f"{task.job_id}.{task.occurrence}.{task.step}.{task.number}"


@lru_cache(maxsize=MAX_TASK_NAMES_KEPT)
def parse_task_name(name: str) -> TaskId:
    """Parse a name written by `format_task_name`; raise ValueError."""
    match = _TASK_NAME.fullmatch(name)
    if match is None:
        raise ValueError("no name of a task")
    return TaskId(match[1], int(match[2]), int(match[3]), int(match[4]))


class RunListReader:
    """Read answers to lease extensions; remember which of their rows can't be read."""

    def __init__(self) -> None:
        # When each row was first seen, by worker, list and what tells the row apart.
        self._noted: OrderedDict[tuple[str, str, str], int] = OrderedDict()

    def read(self, worker_id: str, body: bytes) -> RunListPage:
        """Return what an answer says; raise ValueError without its clock, its boot or any list."""
        try:
            answer = decode(body, _Answer)
            running = tuple(_read_run(row) for row in answer.running)
            ended = tuple(_read_end(row) for row in answer.finished)
        except ValueError:
            return self._read_rows(worker_id, body)
        reply_type = LeaseReply if _has_all_ends(answer.finished) else RunListPage
        return reply_type(answer.clock_ms, answer.born, running, ended)

    def _read_rows(self, worker_id: str, body: bytes) -> RunListPage:
        answer = msgspec.convert(_decode_loosely(body), type=_LooseAnswer)
        if not isinstance(answer.running, list) and not isinstance(answer.finished, list):
            raise ValueError("neither a list of runs nor one of ends")
        running, all_named = self._read_runs(worker_id, answer.running)
        ended, none_withheld = self._read_ends(worker_id, answer.finished, answer.born)
        is_list = isinstance(answer.finished, list)
        reply_type: type[RunListPage]
        if not none_withheld or (is_list and not _has_all_ends(answer.finished)):
            reply_type = RunListPage
        else:
            reply_type = LeaseReply if all_named and is_list else AllEndsReply
        return reply_type(answer.clock_ms, answer.born, running, ended)

    def _read_runs(self, worker_id: str, rows: Any) -> tuple[tuple[RunningTask, ...], bool]:
        """Return the runs of a list, and whether each row names its run."""
        if not isinstance(rows, list):
            self._note(worker_id, "running", "", rows, "no list")
            return (), False
        running = []
        all_named = True
        for row in rows:
            try:
                running.append(_read_run(_convert(row, _RunRow)))
                continue
            except ValueError as exc:
                error = str(exc)
            run = _read_named_run(row)
            if run is not None:
                running.append(run)
            all_named = all_named and run is not None
            # The rest of a row changes while its run goes on.
            key = "" if run is None else f"{format_task_name(run.task_id)} {run.run_number}"
            self._note(worker_id, "running", key, row, error)
        return tuple(running), all_named

    def _read_ends(self, worker_id: str, rows: Any, born: int) -> tuple[tuple[RunEnd, ...], bool]:
        """Return the ends of a list, and whether none is withheld; a list may become readable."""
        if not isinstance(rows, list):
            first_ms = self._note(worker_id, "finished", "", rows, "no list")
            return (), monotonic_ms() - first_ms >= END_RETRY_MS
        ended = []
        withheld = False
        for row in rows:
            end: RunEnd | None
            try:
                end = _read_end(_convert(row, _EndRow))
            except ValueError as exc:
                end = _read_numbered_end(row)
                key = f"{born} {row!a}"[:MAX_ROW_KEY_LENGTH]  # a later boot numbers its ends anew
                first_ms = self._note(worker_id, "finished", key, row, str(exc))
                if end is None or end.result == UNKNOWN_RESULT:
                    withheld = withheld or monotonic_ms() - first_ms < END_RETRY_MS
            if end is not None and not withheld:
                ended.append(end)
        return tuple(ended), not withheld

    def _note(self, worker_id: str, list_name: str, key: str, row: Any, error: str) -> int:
        """Report a row that was not seen before; return when it was first seen."""
        text = ascii(row)
        noted = (worker_id, list_name, key or text[:MAX_ROW_KEY_LENGTH])
        first_ms = self._noted.get(noted)
        if first_ms is not None:
            self._noted.move_to_end(noted)
            return first_ms
        first_ms = self._noted[noted] = monotonic_ms()
        if len(self._noted) > MAX_ROWS_NOTED:
            self._noted.popitem(last=False)
        _log.warning(
            "row_unreadable",
            worker=worker_id,
            list=list_name,
            row=text[:MAX_REPORTED_LENGTH],
            error=error[:MAX_REPORTED_LENGTH],
        )
        return first_ms


def _has_all_ends(rows: list[Any]) -> bool:
    """Return whether a list of ends is shorter than the most that a worker lists at a time."""
    return len(rows) < MAX_LISTED_ENDS


def _read_run(row: _RunRow) -> RunningTask:
    name, run_number, checkpoint, percent, tail_ms_or_cpu_millis = row
    return RunningTask(
        parse_task_name(name), run_number, checkpoint, int(percent), int(tail_ms_or_cpu_millis)
    )


def _read_end(row: _EndRow) -> RunEnd:
    sequence, name, run_number, result, checkpoint = row
    return RunEnd(sequence, parse_task_name(name), run_number, result, checkpoint)


def _read_named_run(row: Any) -> RunningTask | None:
    """Return the run that a row names, without its progress and load; None if it names none."""
    name, run_number = _field(row, 0, str), _field(row, 1, _RunNumber)
    try:
        task = parse_task_name(name or "")
    except ValueError:
        return None
    if run_number is None:
        return None
    return RunningTask(task, run_number, _field(row, 2, str) or "", 0, 0, measured=False)


def _read_numbered_end(row: Any) -> RunEnd | None:
    """Return the end of a row as far as it can be read; None if its number can't."""
    sequence, name = _field(row, 0, _Sequence), _field(row, 1, str)
    run_number, result = _field(row, 2, _RunNumber), _field(row, 3, str)
    if sequence is None:
        return None
    try:
        task = parse_task_name(name or "")
    except ValueError:
        task = NO_TASK
    if task is NO_TASK or run_number is None:
        return RunEnd(sequence, NO_TASK, 0, UNKNOWN_RESULT, "")
    return RunEnd(sequence, task, run_number, result or UNKNOWN_RESULT, _field(row, 4, str) or "")


def _field(row: Any, index: int, model: Any) -> Any:
    try:
        return _convert(row[index], model)
    except (ValueError, LookupError, TypeError):
        return None


def _convert(value: Any, model: Any) -> Any:
    """Convert a decoded value; raise ValueError, also for a lone surrogate in it."""
    converted = msgspec.convert(value, type=model)
    msgspec.json.encode(converted)
    return converted


def _decode_loosely(body: bytes) -> Any:
    """Decode a JSON body of which some values can't be used; raise ValueError.

    Bytes that are no UTF-8 become lone surrogates, a number with many digits infinity, and
    what is nested too deeply null.
    """
    text = _cut_nesting(body.decode("utf-8", "surrogateescape"))
    return json.loads(text, parse_int=_parse_integer)


def _parse_integer(digits: str) -> float:
    return int(digits) if len(digits) <= MAX_INTEGER_DIGITS else float("inf")


def _cut_nesting(text: str) -> str:
    """Replace the values below the greatest depth by null."""
    parts = []
    depth = kept_to = 0
    for match in _STRING_OR_BRACKETS.finditer(text):
        first, count = match[0][0], len(match[0])
        if first in "[{":
            if depth <= MAX_DEPTH < depth + count:
                parts.append(text[kept_to : match.start() + MAX_DEPTH - depth])
            depth += count
        elif first in "]}":
            if depth - count <= MAX_DEPTH < depth:
                parts.append("null")
                kept_to = match.start() + depth - MAX_DEPTH
            depth -= count
    return "".join(parts) + (text[kept_to:] if depth <= MAX_DEPTH else "")
