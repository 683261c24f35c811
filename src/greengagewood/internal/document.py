"""The operators' document: the configuration of one environment.

The models check types, ranges and unknown keys. `check_document` checks rules that involve several
keys. A document is identified by the digest of its bytes, and promotion copies the same bytes.
"""

from __future__ import annotations

import enum
import hashlib
from typing import Annotated

import msgspec
from msgspec import Meta
from result import Err, Ok, Result

from greengagewood.internal.yamlfile import FileError, Locator, decode_yaml

__all__ = [
    "MAX_JOB_TASKS",
    "BatchClass",
    "Caller",
    "Cell",
    "Document",
    "Objective",
    "Service",
    "Team",
    "document_digest",
    "parse_document",
]

MAX_DOCUMENT_BYTES = 256 * 1024
MAX_JOB_TASKS = 10_000  # that a caller may submit, whatever its class allows

Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
Count = Annotated[int, Meta(ge=1, le=1_000_000)]
Amount = Annotated[int, Meta(ge=0, le=1_000_000_000)]
Bytes = Annotated[int, Meta(ge=1, le=64 * 1024 * 1024)]
Milliseconds = Annotated[int, Meta(ge=1, le=86_400_000)]
Fraction = Annotated[float, Meta(ge=0.0, le=1.0)]
Weight = Annotated[float, Meta(ge=0.0, le=1000.0)]


class _Model(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    pass


class Cell(_Model, frozen=True, kw_only=True):
    """Define a cell: the racks of one failure domain whose workers one scheduler owns at a time."""

    failure_domain: Name
    racks: Annotated[tuple[Name, ...], Meta(min_length=1)]


class Objective(_Model, frozen=True, kw_only=True):
    """Set the latency that the fraction `target` of requests must not exceed."""

    latency_ms: Milliseconds
    target: Annotated[float, Meta(gt=0.0, lt=1.0)]


class ServiceLimits(_Model, frozen=True, kw_only=True):
    """Limit the requests that one gateway handles for a service."""

    concurrency: Count = 512  # requests in progress
    queue: Amount = 128  # requests that wait beyond `concurrency`
    timeout_ms: Milliseconds = 2000
    max_body_bytes: Bytes = 1_000_000
    retry_budget: Fraction = 0.1  # retries per request


class Reserve(_Model, frozen=True, kw_only=True):
    """Reserve resources for a service on every worker that runs one of its backend servers."""

    cpus: Amount = 0
    memory_mb: Amount = 0
    accelerators: Amount = 0


class Service(_Model, frozen=True, kw_only=True):
    """Configure one latency-critical service."""

    routes: Annotated[tuple[Annotated[str, Meta(pattern=r"^/[^\s?#]*$")], ...], Meta(min_length=1)]
    idempotent_methods: tuple[str, ...] = ("GET", "HEAD", "OPTIONS")
    objective: Objective
    slots: Count = 8  # requests that one backend server works on at once
    connections: Count = 64  # that one backend server accepts from all gateways together
    reserve: Reserve = Reserve()
    limits: ServiceLimits = ServiceLimits()


class BatchClass(_Model, frozen=True, kw_only=True):
    """Configure one class of batch jobs."""

    urgent: bool = False
    max_attempts: Count = 5
    max_tasks: Count = MAX_JOB_TASKS
    checkpoints: bool = True


class Team(_Model, frozen=True, kw_only=True):
    """Limit the total resources of one team's running batch tasks."""

    cpus: Amount
    memory_mb: Amount
    accelerators: Amount = 0


class Caller(_Model, frozen=True, kw_only=True):
    """Admit one caller, identified by the SHA-256 digest of its bearer token in hexadecimal."""

    team: Name
    token_sha256: Annotated[str, Meta(pattern=r"^[0-9a-f]{64}$")]


class Weights(_Model, frozen=True, kw_only=True):
    """Weight tail latency, batch throughput and evictions against each other."""

    tail_latency: Weight = 1.0
    batch_throughput: Weight = 1.0
    evictions: Weight = 1.0


class OutagePolicy(enum.StrEnum):
    """Say what happens to a request with an idempotency key while the log is unavailable."""

    REFUSE = "refuse"
    HOLD = "hold"


class Outage(_Model, frozen=True, kw_only=True):
    """Configure what happens while the platform's log is unavailable."""

    keyed_requests: OutagePolicy = OutagePolicy.REFUSE
    keyed_hold_ms: Milliseconds = 500
    batch_hold_ms: Milliseconds = 4000


class Leases(_Model, frozen=True, kw_only=True):
    """Set the times on which the ownership of cells and the leases of tasks depend."""

    task_lease_ms: Annotated[int, Meta(ge=2000, le=600_000)] = 10_000
    command_window_ms: Annotated[int, Meta(ge=1000, le=60_000)] = 2000
    suspect_after_ms: Annotated[int, Meta(ge=500, le=60_000)] = 3000
    owner_license_ms: Annotated[int, Meta(ge=2000, le=600_000)] = 4500
    clock_drift: Annotated[float, Meta(ge=0.0, le=0.1)] = 0.01


class LogRetention(_Model, frozen=True, kw_only=True):
    """State the retention of the platform's log, and configure snapshots and results' expiry."""

    keeps_ms: Annotated[int, Meta(ge=10_000, le=31_536_000_000)] = 86_400_000
    snapshot_records: Annotated[int, Meta(ge=10, le=1_000_000)] = 2000
    results_keep_ms: Annotated[int, Meta(ge=1000, le=86_400_000)] = 3_600_000


class Document(_Model, frozen=True, kw_only=True):
    """Configure one environment."""

    environment: Name
    failure_domains: Annotated[tuple[Name, ...], Meta(min_length=1)]
    cells: Annotated[dict[Name, Cell], Meta(min_length=1)]
    services: dict[Name, Service]
    batch_classes: dict[Name, BatchClass]
    teams: dict[Name, Team]
    callers: dict[Name, Caller]
    weights: Weights = Weights()
    outage: Outage = Outage()
    leases: Leases = Leases()
    log: LogRetention = LogRetention()


def document_digest(text: str) -> str:
    """Return the digest that identifies a document."""
    return hashlib.sha256(text.encode()).hexdigest()


def check_document(document: Document, text: str, file: str) -> list[FileError]:
    """Return the violations of rules that involve several keys.

    A keeper accepts no document that violates them. So a new rule belongs in `documentcheck`, or a
    document in force would be refused after an upgrade.
    """
    errors: list[FileError] = []
    locator = Locator(text)

    def report(key: str, problem: str, remedy: str) -> None:
        line, value = locator.locate(key)
        errors.append(FileError(file, line, key, problem, value, remedy))

    failure_domains = set(document.failure_domains)
    if len(failure_domains) != len(document.failure_domains):
        report("failure_domains", "a failure domain is listed twice", "list each one once")
    cell_of_rack: dict[tuple[str, str], str] = {}
    for name, cell in document.cells.items():
        if cell.failure_domain not in failure_domains:
            remedy = f"use one of {sorted(failure_domains)}"
            report(f"cells.{name}.failure_domain", "not a failure domain", remedy)
        for rack in cell.racks:
            other = cell_of_rack.setdefault((cell.failure_domain, rack), name)
            if other != name:
                report(
                    f"cells.{name}.racks", f"rack {rack!r} is in cell {other!r} too", "remove one"
                )
    for name, caller in document.callers.items():
        if caller.team not in document.teams:
            report(f"callers.{name}.team", "not a team", f"use one of {sorted(document.teams)}")
    caller_of_token: dict[str, str] = {}
    for name, caller in document.callers.items():
        other = caller_of_token.setdefault(caller.token_sha256, name)
        if other != name:
            report(f"callers.{name}.token_sha256", f"caller {other!r} has this token", "change it")
    service_of_route: dict[str, str] = {}
    for name, service in document.services.items():
        for route in service.routes:
            other = service_of_route.setdefault(route, name)
            if other != name:
                key = f"services.{name}.routes"
                report(key, f"route {route!r} belongs to service {other!r} too", "remove one")
            if route.startswith("/v1/jobs"):
                report(
                    f"services.{name}.routes",
                    "/v1/jobs belongs to the job API",
                    "use another route",
                )
    if document.leases.owner_license_ms < document.leases.suspect_after_ms:
        remedy = f"make it at least {document.leases.suspect_after_ms}"
        report("leases.owner_license_ms", "shorter than suspect_after_ms", remedy)
    return errors


def parse_document(text: str, file: str = "document") -> Result[Document, list[FileError]]:
    """Parse and check a document; return it, or every error that could be found."""
    if len(text.encode()) > MAX_DOCUMENT_BYTES:
        problem = f"larger than {MAX_DOCUMENT_BYTES} bytes"
        return Err([FileError(file, 1, "the document", problem, "", "make it smaller")])
    decoded = decode_yaml(text, Document, file)
    if isinstance(decoded, Err):
        return Err([decoded.err_value])
    document = decoded.ok_value
    errors = check_document(document, text, file)
    return Err(errors) if errors else Ok(document)
