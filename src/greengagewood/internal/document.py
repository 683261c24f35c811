"""The operator's document: everything that operators decide about one environment.

The models check types, ranges and unknown keys. `check_document` adds what spans several keys.
A document is identified by the digest of its bytes; promotion carries the same bytes.
"""

from __future__ import annotations

import enum
import hashlib
from typing import Annotated

import msgspec
from msgspec import Meta
from result import Err, Ok, Result

from greengagewood.internal.yamlfile import FileError, decode_yaml, locate

__all__ = [
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

Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
Count = Annotated[int, Meta(ge=1, le=1_000_000)]
Amount = Annotated[int, Meta(ge=0, le=1_000_000_000)]
Bytes = Annotated[int, Meta(ge=1, le=64 * 1024 * 1024)]
Millis = Annotated[int, Meta(ge=1, le=86_400_000)]
Fraction = Annotated[float, Meta(ge=0.0, le=1.0)]
Weight = Annotated[float, Meta(ge=0.0, le=1000.0)]


class _Model(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    pass


class Cell(_Model, frozen=True, kw_only=True):
    """Name the racks of one failure domain that one scheduler owns together."""

    failure_domain: Name
    racks: Annotated[tuple[Name, ...], Meta(min_length=1)]


class Objective(_Model, frozen=True, kw_only=True):
    """State the latency that a fraction of requests must keep."""

    latency_ms: Millis
    target: Annotated[float, Meta(gt=0.0, lt=1.0)]


class ServiceLimits(_Model, frozen=True, kw_only=True):
    """Bound what one gateway does for a service."""

    concurrency: Count = 512
    queue: Amount = 128
    timeout_ms: Millis = 2000
    max_body_bytes: Bytes = 1_000_000
    retry_budget: Fraction = 0.1


class Reserve(_Model, frozen=True, kw_only=True):
    """State what a service keeps of every worker that carries one of its backend servers."""

    cpus: Amount = 0
    memory_mb: Amount = 0
    accelerators: Amount = 0


class Service(_Model, frozen=True, kw_only=True):
    """Describe one latency-critical service."""

    routes: Annotated[tuple[Annotated[str, Meta(pattern=r"^/[^\s?#]*$")], ...], Meta(min_length=1)]
    idempotent_methods: tuple[str, ...] = ("GET", "HEAD", "OPTIONS")
    objective: Objective
    slots: Count = 8
    connections: Count = 64
    reserve: Reserve = Reserve()
    limits: ServiceLimits = ServiceLimits()


class BatchClass(_Model, frozen=True, kw_only=True):
    """Describe one kind of batch work."""

    urgent: bool = False
    max_attempts: Count = 5
    max_tasks: Count = 10_000
    checkpoints: bool = True


class Team(_Model, frozen=True, kw_only=True):
    """Bound what one team's running batch tasks take together."""

    cpus: Amount
    memory_mb: Amount
    accelerators: Amount = 0


class Caller(_Model, frozen=True, kw_only=True):
    """Admit one caller by the SHA-256 of its bearer token, in hexadecimal."""

    team: Name
    token_sha256: Annotated[str, Meta(pattern=r"^[0-9a-f]{64}$")]


class Weights(_Model, frozen=True, kw_only=True):
    """Weigh the three measures against each other."""

    tail_latency: Weight = 1.0
    batch_throughput: Weight = 1.0
    evictions: Weight = 1.0


class OutagePolicy(enum.StrEnum):
    """Choose what happens to a keyed request while the log is away."""

    REFUSE = "refuse"
    HOLD = "hold"


class Outage(_Model, frozen=True, kw_only=True):
    """Choose what happens while the platform's log is away."""

    keyed_requests: OutagePolicy = OutagePolicy.REFUSE
    keyed_hold_ms: Millis = 500
    batch_hold_ms: Millis = 4000


class Leases(_Model, frozen=True, kw_only=True):
    """Set the times that ownership and leases depend on."""

    task_lease_ms: Annotated[int, Meta(ge=2000, le=600_000)] = 10_000
    command_window_ms: Annotated[int, Meta(ge=1000, le=60_000)] = 2000
    suspect_after_ms: Annotated[int, Meta(ge=500, le=60_000)] = 3000
    owner_license_ms: Annotated[int, Meta(ge=2000, le=600_000)] = 4500
    clock_drift: Annotated[float, Meta(ge=0.0, le=0.1)] = 0.01


class LogRetention(_Model, frozen=True, kw_only=True):
    """State how long the platform's log keeps records, and what the system does about it."""

    keeps_ms: Annotated[int, Meta(ge=10_000, le=31_536_000_000)] = 86_400_000
    snapshot_records: Annotated[int, Meta(ge=10, le=1_000_000)] = 2000
    results_keep_ms: Annotated[int, Meta(ge=1000, le=86_400_000)] = 3_600_000


class Document(_Model, frozen=True, kw_only=True):
    """Hold everything that operators decide about one environment."""

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


def check_document(doc: Document, text: str, file: str) -> list[FileError]:
    """List what is wrong across several keys."""
    errors: list[FileError] = []

    def report(key: str, problem: str, remedy: str) -> None:
        line, value = locate(text, key)
        errors.append(FileError(file, line, key, problem, value, remedy))

    domains = set(doc.failure_domains)
    if len(domains) != len(doc.failure_domains):
        report("failure_domains", "a failure domain stands twice", "name each one once")
    rack_cells: dict[tuple[str, str], str] = {}
    for name, cell in doc.cells.items():
        if cell.failure_domain not in domains:
            remedy = f"use one of {sorted(domains)}"
            report(f"cells.{name}.failure_domain", "not a failure domain", remedy)
        for rack in cell.racks:
            other = rack_cells.setdefault((cell.failure_domain, rack), name)
            if other != name:
                report(f"cells.{name}.racks", f"rack {rack!r} is in cell {other!r} too", "keep one")
    for name, caller in doc.callers.items():
        if caller.team not in doc.teams:
            report(f"callers.{name}.team", "not a team", f"use one of {sorted(doc.teams)}")
    tokens: dict[str, str] = {}
    for name, caller in doc.callers.items():
        other = tokens.setdefault(caller.token_sha256, name)
        if other != name:
            report(f"callers.{name}.token_sha256", f"caller {other!r} has this token", "change it")
    routes: dict[str, str] = {}
    for name, service in doc.services.items():
        for route in service.routes:
            other = routes.setdefault(route, name)
            if other != name:
                key = f"services.{name}.routes"
                report(key, f"route {route!r} is service {other!r}'s too", "keep one")
            if route.startswith("/v1/jobs"):
                report(f"services.{name}.routes", "/v1/jobs is the job API's", "use another route")
    if doc.leases.owner_license_ms < doc.leases.suspect_after_ms:
        remedy = f"make it at least {doc.leases.suspect_after_ms}"
        report("leases.owner_license_ms", "shorter than suspect_after_ms", remedy)
    return errors


def parse_document(text: str, file: str = "document") -> Result[Document, list[FileError]]:
    """Check the text of a document; return every error that could be found."""
    if len(text.encode()) > MAX_DOCUMENT_BYTES:
        problem = f"larger than {MAX_DOCUMENT_BYTES} bytes"
        return Err([FileError(file, 1, "the document", problem, "", "make it smaller")])
    decoded = decode_yaml(text, Document, file)
    if isinstance(decoded, Err):
        return Err([decoded.err_value])
    doc = decoded.ok_value
    errors = check_document(doc, text, file)
    return Err(errors) if errors else Ok(doc)
