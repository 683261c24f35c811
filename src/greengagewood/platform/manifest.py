"""The operators' manifest: routes, services and limits, converted to a configuration."""

from __future__ import annotations

import asyncio

import msgspec

from greengagewood.internal.jobs.model import Queue
from greengagewood.internal.logs import Log
from greengagewood.internal.ports import (
    Configuration,
    LogEntry,
    LogTruncated,
    RouteRule,
    StoreUnavailable,
)
from greengagewood.platform.store import KeyedLog

__all__ = ["ManifestSource", "parse_manifest"]

CONFIG_KEY = "config"
READ_LONG_POLL_MS = 800  # with the margin of a read, a dead connection is detected within 2 s
RETRY_DELAY_S = 0.1

_log = Log("manifest")


class _AdviceSettings(msgspec.Struct):
    decision_ms: float = msgspec.field(name="decision-ms", default=0)


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str = msgspec.field(name="path-prefix")
    service: str
    timeout_ms: int = msgspec.field(name="timeout-ms", default=0)
    target_latency_ms: int = msgspec.field(name="target-latency-ms", default=0)
    priority: int = 0
    max_attempts: int = msgspec.field(name="max-attempts", default=1)
    slack_factor: float = msgspec.field(name="slack-factor", default=2.0)
    advice: _AdviceSettings | None = None


class _Service(msgspec.Struct):
    name: str
    admission_check: bool = msgspec.field(name="admission-check", default=True)


class _Limits(msgspec.Struct):
    header_bytes: int = msgspec.field(name="max-header-bytes", default=16_384)
    body_bytes: int = msgspec.field(name="max-body-bytes", default=262_144)
    idle_ms: int = msgspec.field(name="idle-timeout-ms", default=15_000)


class _Manifest(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)


def parse_manifest(value: bytes) -> Configuration | None:
    """Return the configuration that a manifest describes, or None if it is not valid."""
    try:
        manifest = msgspec.json.decode(value, type=_Manifest)
    except (ValueError, RecursionError):
        return None
    checks_by_service = {service.name: service.admission_check for service in manifest.services}
    rules = tuple(
        RouteRule(
            route.host,
            route.path_prefix,
            Queue(
                route.name,
                route.service,
                route.priority,
                max(1, route.max_attempts),
                route.slack_factor,
                route.target_latency_ms,
                route.timeout_ms,
                # At least 1 with advice, since 0 means that the queue needs no permits.
                int(route.advice.decision_ms) or 1 if route.advice else 0,
                checks_by_service.get(route.service, True),
            ),
        )
        for route in manifest.routes
    )
    return Configuration(
        manifest.version,
        rules,
        manifest.limits.body_bytes,
        manifest.limits.header_bytes,
        manifest.limits.idle_ms,
        {rule.queue.name: rule.queue for rule in rules},
    )


class ManifestSource:
    """Follow the versions of the manifest in the store."""

    def __init__(self, topic: KeyedLog) -> None:
        self._topic = topic
        self._next_offset: int | None = None

    async def next(self) -> Configuration | None:
        """Wait for a newer configuration; return None if there was none for a while."""
        try:
            if self._next_offset is None:
                page = await self._topic.load()
            else:
                page = await self._topic.read(self._next_offset, READ_LONG_POLL_MS)
        except LogTruncated:
            self._next_offset = None
            return None
        except StoreUnavailable:
            await asyncio.sleep(RETRY_DELAY_S)
            return None
        self._next_offset = page.next_offset
        candidates = [e for e in page.entries if e.key == CONFIG_KEY and e.value]
        return self._newest_readable(candidates)

    def _newest_readable(self, entries: list[LogEntry]) -> Configuration | None:
        """Return the configuration of the newest valid entry, or None."""
        for entry in sorted(entries, key=lambda e: e.offset, reverse=True):
            config = parse_manifest(entry.value)
            if config is not None:
                return config
            _log.warning("manifest_unreadable", offset=entry.offset, bytes=len(entry.value))
        return None
