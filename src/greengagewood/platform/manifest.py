"""The operators' manifest, decoded into a configuration."""

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
READ_WAIT_MS = 800  # a connection that went silent is noticed within the bound of 2 s
RETRY_S = 0.1

_log = Log("manifest")


class _Advice(msgspec.Struct):
    decision_ms: float = msgspec.field(name="decision-ms", default=0)


class _Route(msgspec.Struct):
    name: str
    host: str
    prefix: str = msgspec.field(name="path-prefix")
    service: str
    timeout_ms: int = msgspec.field(name="timeout-ms", default=0)
    target_ms: int = msgspec.field(name="target-latency-ms", default=0)
    priority: int = 0
    attempts: int = msgspec.field(name="max-attempts", default=1)
    slack: float = msgspec.field(name="slack-factor", default=2.0)
    advice: _Advice | None = None


class _Service(msgspec.Struct):
    name: str
    guards: bool = msgspec.field(name="admission-check", default=True)


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
    """Return the configuration of a manifest, or None if it is not one."""
    try:
        manifest = msgspec.json.decode(value, type=_Manifest)
    except (ValueError, RecursionError):
        return None
    guards = {service.name: service.guards for service in manifest.services}
    rules = tuple(
        RouteRule(
            route.host,
            route.prefix,
            Queue(
                route.name,
                route.service,
                route.priority,
                max(1, route.attempts),
                route.slack,
                route.target_ms,
                route.timeout_ms,
                int(route.advice.decision_ms) or 1 if route.advice else 0,
                guards.get(route.service, True),
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
    """Follow the manifest."""

    def __init__(self, log: KeyedLog) -> None:
        self._log = log
        self._end: int | None = None

    async def next(self) -> Configuration | None:
        """Return a newer configuration, or None if there was none for a while."""
        try:
            if self._end is None:
                page = await self._log.load()
            else:
                page = await self._log.read(self._end, READ_WAIT_MS)
        except LogTruncated:
            self._end = None
            return None
        except StoreUnavailable:
            await asyncio.sleep(RETRY_S)
            return None
        self._end = page.next_offset
        found = [e for e in page.entries if e.key == CONFIG_KEY and e.value]
        return self._newest(found)

    def _newest(self, entries: list[LogEntry]) -> Configuration | None:
        """Return the configuration of the newest entry that can be read."""
        for entry in sorted(entries, key=lambda e: e.offset, reverse=True):
            config = parse_manifest(entry.value)
            if config is not None:
                return config
            _log.warning("manifest_unreadable", offset=entry.offset, bytes=len(entry.value))
        return None
