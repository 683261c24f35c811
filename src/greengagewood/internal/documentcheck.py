"""Examine a document before it is published: what is wrong, what has no effect, what changes.

`examine` is the one validator of the commands `validate`, `check` and `try`. Errors are those of
`parse_document`, which keeps keepers from accepting the document. Warnings do not: they report
entries that can never match and limits that contradict each other.
"""

from __future__ import annotations

import re
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

import msgspec
from result import Err

from greengagewood.internal.document import MAX_JOB_TASKS, Document, Service, parse_document
from greengagewood.internal.placement import Resources
from greengagewood.internal.yamlfile import FileError, Locator

__all__ = ["Difference", "Examination", "examine", "find_differences"]

HEARTBEAT_INTERVAL_MS = 500  # between keepers
JOB_RETENTION_FACTOR = 2  # times the log's retention; an ended job is dropped with its results

_METHOD = re.compile(r"^[A-Z][A-Z0-9-]*$")
_PERCENT_ESCAPE = re.compile(r"%[0-9A-Fa-f]{2}")


@dataclass(frozen=True)
class Examination:
    """Hold the result of an examination; `document` is None if there are errors."""

    document: Document | None
    errors: tuple[FileError, ...]
    warnings: tuple[FileError, ...]


@dataclass(frozen=True)
class Difference:
    """A key whose value differs; `old` is None if the key is new, `new` if it is gone.

    `line` is that of the key in the new document, or of its deepest parent there.
    """

    key: str
    line: int
    old: Any
    new: Any

    def __str__(self) -> str:
        return f"{self.line}: {self.key}: {_show(self.old)} -> {_show(self.new)}"


@dataclass(frozen=True)
class _Warning:
    key: str
    problem: str
    remedy: str


def examine(text: str, file: str = "document", worker_size: Resources | None = None) -> Examination:
    """Return every error that could be found, and the warnings if there is none.

    `worker_size` is the size of the largest worker, if it is known.
    """
    parsed = parse_document(text, file)
    if isinstance(parsed, Err):
        return Examination(None, tuple(parsed.err_value), ())
    document = parsed.ok_value
    locator = Locator(text)
    warnings = [
        FileError(file, line, key, "listed again; the last one counts", "", "remove one")
        for line, key in locator.repeated_keys()
    ]
    for warning in _find_warnings(document, worker_size):
        line, value = locator.locate(warning.key)
        warnings.append(FileError(file, line, warning.key, warning.problem, value, warning.remedy))
    return Examination(document, (), tuple(sorted(warnings, key=lambda w: (w.line, w.key))))


def _find_warnings(document: Document, worker_size: Resources | None) -> Iterator[_Warning]:
    yield from _check_cells(document)
    yield from _check_teams(document)
    yield from _check_classes(document)
    yield from _check_routes(document)
    for name, service in document.services.items():
        yield from _check_methods(f"services.{name}.idempotent_methods", service)
        yield from _check_limits(f"services.{name}", service, document)
        if worker_size is not None:
            yield from _check_reserve(f"services.{name}.reserve", service, worker_size)
    yield from _check_times(document)


# Entries that can never match.


def _check_cells(document: Document) -> Iterator[_Warning]:
    used = {cell.failure_domain for cell in document.cells.values()}
    for index, domain in enumerate(document.failure_domains):
        if domain not in used:
            problem = f"failure domain {domain!r} has no cell, so no batch task runs there"
            yield _Warning(f"failure_domains[{index}]", problem, "add a cell or remove it")
    for name, cell in document.cells.items():
        for index, rack in enumerate(cell.racks):
            if rack in cell.racks[:index]:
                key = f"cells.{name}.racks[{index}]"
                yield _Warning(key, f"rack {rack!r} is listed twice", "remove one")


def _share(document: Document, team: str) -> Resources:
    """Return a team's share of its quota in a cell, which is the most that a task may request."""
    quota, cells = document.teams[team], len(document.cells)
    return Resources(quota.cpus // cells, quota.memory_mb // cells, quota.accelerators // cells)


def _can_run_jobs(document: Document, team: str) -> bool:
    share = _share(document, team)
    return share.cpus > 0 and share.memory_mb > 0


def _check_teams(document: Document) -> Iterator[_Warning]:
    teams_of_callers = {caller.team for caller in document.callers.values()}
    cells = len(document.cells)
    for name, team in document.teams.items():
        if name not in teams_of_callers:
            yield _Warning(f"teams.{name}", "no caller belongs to this team", "remove it")
        if not _can_run_jobs(document, name):
            problem = f"each of {cells} cells may use an equal share, which is less than any task"
            remedy = f"set cpus and memory_mb to at least {cells}"
            yield _Warning(f"teams.{name}", problem, remedy)
        if 0 < team.accelerators < cells:
            problem = f"each of {cells} cells may use an equal share, which is no accelerator"
            remedy = f"set it to 0 or to at least {cells}"
            yield _Warning(f"teams.{name}.accelerators", problem, remedy)


def _check_classes(document: Document) -> Iterator[_Warning]:
    usable = any(_can_run_jobs(document, c.team) for c in document.callers.values())
    for name, batch_class in document.batch_classes.items():
        if not usable:
            problem = "no caller has a team whose quota admits a task"
            yield _Warning(f"batch_classes.{name}", problem, "add a caller or raise a quota")
        if batch_class.max_tasks > MAX_JOB_TASKS:
            problem = f"no job may have more than {MAX_JOB_TASKS} tasks"
            remedy = f"set it to at most {MAX_JOB_TASKS}"
            yield _Warning(f"batch_classes.{name}.max_tasks", problem, remedy)
    if not document.callers:
        for name in document.services:
            yield _Warning(f"services.{name}", "there is no caller", "add one under callers")


def _check_routes(document: Document) -> Iterator[_Warning]:
    routes = [
        (route, name, index)
        for name, service in document.services.items()
        for index, route in enumerate(service.routes)
    ]
    # A gateway tries the longest route first, and of equally long ones the one listed first.
    routes.sort(key=lambda entry: len(entry[0]), reverse=True)
    first_of: dict[str, tuple[str, str]] = {}
    for route, name, index in routes:
        key = f"services.{name}.routes[{index}]"
        stem = route.rstrip("/")
        # With slashes at its end, a route may be tried before one that lies under it.
        parts = stem.split("/")
        parents = ("/".join(parts[:count]) for count in range(1, len(parts) + 1))
        taken_by = next((parent for parent in parents if parent in first_of), None)
        if taken_by is None:
            first_of[stem] = (route, name)
        else:
            other_route, other_name = first_of[taken_by]
            problem = f"route {other_route!r} of service {other_name!r} takes every path"
            if route == taken_by and other_route != route:
                problem += f" below {stem!r}"
            plain = taken_by or "/"
            remedy = "remove one" if other_route == plain else f"write {other_route!r} as {plain!r}"
            yield _Warning(key, problem, remedy)
        if _PERCENT_ESCAPE.search(route):
            problem = "paths are compared after percent-decoding, so this route matches none"
            yield _Warning(key, problem, "write the character itself")


def _check_methods(key: str, service: Service) -> Iterator[_Warning]:
    for index, method in enumerate(service.idempotent_methods):
        if not _METHOD.match(method):
            problem = f"{method!r} is no method of a request"
            yield _Warning(f"{key}[{index}]", problem, "write it in capital letters")
        elif method in service.idempotent_methods[:index]:
            yield _Warning(f"{key}[{index}]", f"{method!r} is listed twice", "remove one")


# Limits that contradict each other.


def _check_limits(key: str, service: Service, document: Document) -> Iterator[_Warning]:
    timeout_ms = service.limits.timeout_ms
    if service.objective.latency_ms > timeout_ms:
        problem = f"longer than limits.timeout_ms ({timeout_ms}), so no answer can miss it"
        yield _Warning(f"{key}.objective.latency_ms", problem, f"set it below {timeout_ms}")
    if document.outage.keyed_hold_ms >= timeout_ms:
        hold_ms = document.outage.keyed_hold_ms
        problem = f"not longer than outage.keyed_hold_ms ({hold_ms}): a held request cannot run"
        yield _Warning(f"{key}.limits.timeout_ms", problem, f"set it above {hold_ms}")
    if service.connections < service.slots:
        problem = f"less than slots ({service.slots}), which can then not all be used"
        remedy = f"set it to at least {service.slots}"
        yield _Warning(f"{key}.connections", problem, remedy)


def _check_reserve(key: str, service: Service, worker: Resources) -> Iterator[_Warning]:
    reserve = service.reserve
    for name in ("cpus", "memory_mb", "accelerators"):
        size = getattr(worker, name)
        if getattr(reserve, name) > size:
            problem = f"more than a worker has ({size}), so its workers run no batch task"
            yield _Warning(f"{key}.{name}", problem, f"set it to at most {size}")


def _check_times(document: Document) -> Iterator[_Warning]:
    leases, log = document.leases, document.log
    if leases.task_lease_ms <= leases.command_window_ms:
        problem = f"not longer than command_window_ms ({leases.command_window_ms})"
        remedy = "make it several times as long, or one lost exchange ends the tasks of a worker"
        yield _Warning("leases.task_lease_ms", problem, remedy)
    if leases.task_lease_ms <= leases.suspect_after_ms:
        problem = f"not longer than suspect_after_ms ({leases.suspect_after_ms})"
        remedy = "make it longer, or tasks end before another scheduler takes their cell over"
        yield _Warning("leases.task_lease_ms", problem, remedy)
    if leases.suspect_after_ms < 2 * HEARTBEAT_INTERVAL_MS:
        problem = f"less than two heartbeats, which are sent every {HEARTBEAT_INTERVAL_MS} ms"
        remedy = f"set it to at least {2 * HEARTBEAT_INTERVAL_MS}"
        yield _Warning("leases.suspect_after_ms", problem, remedy)
    keeps_ms = JOB_RETENTION_FACTOR * log.keeps_ms
    if log.results_keep_ms > keeps_ms:
        problem = f"ended jobs are dropped after {JOB_RETENTION_FACTOR} x keeps_ms ({keeps_ms})"
        yield _Warning("log.results_keep_ms", problem, f"set it to at most {keeps_ms}")


# Differences from another version.


def find_differences(old: Document, new: Document, text: str) -> tuple[Difference, ...]:
    """Return the keys whose values differ, defaults included; `text` is the new document's."""
    locator = Locator(text)
    changes = _compare(msgspec.to_builtins(old), msgspec.to_builtins(new), "")
    return tuple(
        Difference(key, locator.locate(key)[0], old_value, new_value)
        for key, old_value, new_value in changes
    )


def _compare(old: Any, new: Any, key: str) -> Iterator[tuple[str, Any, Any]]:
    if isinstance(old, Mapping) and isinstance(new, Mapping):
        for name in sorted({*old, *new}):
            yield from _compare(old.get(name), new.get(name), f"{key}.{name}".lstrip("."))
    elif old != new:
        yield key, old, new


def _show(value: Any) -> str:
    return "(absent)" if value is None else msgspec.json.encode(value).decode()
