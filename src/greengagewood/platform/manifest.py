"""The operators' manifest: routes, services and limits, converted to a configuration."""

from __future__ import annotations

import asyncio

import msgspec

from greengagewood.internal.jobs.model import Queue
from greengagewood.internal.logs import Log
from greengagewood.internal.ports import (
    Configuration,
    LogEntry,
    LogPage,
    LogTruncated,
    RouteRule,
    StoreUnavailable,
)
from greengagewood.platform.store import KeyedLog

__all__ = ["ManifestParser", "ManifestSource"]

CONFIG_KEY = "config"
READ_LONG_POLL_MS = 800  # with READ_SILENCE_MARGIN_S, a dead connection is detected within 2 s
# The store sends one record if the first is larger than this. A manifest with all of its routes can
# take seconds on a small link, so versions that are out of date already are not read.
MAX_READ_KB = 1
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
    routes: list[msgspec.Raw]  # of _Route
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)


class ManifestParser:
    """Convert manifests to configurations; routes that have not changed are not decoded again."""

    def __init__(self) -> None:
        self._admission_checks: dict[str, bool] = {}  # by service
        self._rules: dict[bytes, RouteRule] = {}  # by the encoded route

    def parse(self, value: bytes) -> Configuration | None:
        """Return the configuration that a manifest describes, or None if it is not valid."""
        try:
            manifest = msgspec.json.decode(value, type=_Manifest)
            rules = self._convert_routes(manifest)
        except (ValueError, RecursionError):
            return None
        return Configuration(
            manifest.version,
            tuple(rules.values()),
            manifest.limits.body_bytes,
            manifest.limits.header_bytes,
            manifest.limits.idle_ms,
            {rule.queue.name: rule.queue for rule in rules.values()},
        )

    def _convert_routes(self, manifest: _Manifest) -> dict[bytes, RouteRule]:
        admission_checks = {service.name: service.admission_check for service in manifest.services}
        known_rules = self._rules if admission_checks == self._admission_checks else {}
        rules = {}
        for raw_route in manifest.routes:
            encoded = bytes(raw_route)
            rules[encoded] = known_rules.get(encoded) or _route_rule(
                msgspec.json.decode(encoded, type=_Route), admission_checks
            )
        self._admission_checks, self._rules = admission_checks, rules
        return rules


def _route_rule(route: _Route, admission_checks: dict[str, bool]) -> RouteRule:
    queue = Queue(
        route.name,
        route.service,
        route.priority,
        max(1, route.max_attempts),
        route.slack_factor,
        route.target_latency_ms,
        route.timeout_ms,
        # At least 1 with advice, since 0 means that the queue needs no permits.
        int(route.advice.decision_ms) or 1 if route.advice else 0,
        admission_checks.get(route.service, True),
    )
    return RouteRule(route.host, route.path_prefix, queue)


class ManifestSource:
    """Follow the versions of the manifest in the store."""

    def __init__(self, topic: KeyedLog) -> None:
        self._topic = topic
        self._parser = ManifestParser()
        self._next_offset: int | None = None
        self._skipped_records = False  # whether records below `_next_offset` were not read
        self._failed_reads = 0  # since the last one that succeeded

    async def next(self) -> Configuration | None:
        """Wait for a newer configuration; return None if there was none for a while."""
        try:
            page = await self._read_page()
        except LogTruncated:
            _log.info("manifest_log_truncated", offset=self._next_offset)
            self._next_offset = None
            return None
        except StoreUnavailable as exc:
            # During an outage reads may fail ten times a second, so only the first is logged.
            if self._failed_reads == 0:
                _log.warning("manifest_not_read", offset=self._next_offset, error=str(exc))
            self._failed_reads += 1
            await asyncio.sleep(RETRY_DELAY_S)
            return None
        if self._failed_reads:
            _log.info("manifest_read_again", offset=page.next_offset, failed=self._failed_reads)
            self._failed_reads = 0
        if not page.entries and page.end_offset < 0:  # the store answers at once without a topic
            await asyncio.sleep(RETRY_DELAY_S)
        return self._apply_page(page)

    async def _read_page(self) -> LogPage:
        if self._next_offset is None:
            self._skipped_records = False
            return await self._topic.load()
        return await self._topic.read(self._next_offset, READ_LONG_POLL_MS, MAX_READ_KB)

    def _apply_page(self, page: LogPage) -> Configuration | None:
        candidates = [e for e in page.entries if e.key == CONFIG_KEY and e.value]
        if self._skipped_records and page.entries and not candidates:
            # The newest record is not the manifest, so the newest manifest may have been skipped.
            self._next_offset = None
            return None
        if page.entries:
            self._skipped_records = False
        self._next_offset = page.next_offset
        if page.end_offset > page.next_offset + 1:
            self._next_offset = page.end_offset - 1
            self._skipped_records = True
        return self._newest_readable(candidates)

    def _newest_readable(self, entries: list[LogEntry]) -> Configuration | None:
        """Return the configuration of the newest valid entry, or None."""
        for entry in sorted(entries, key=lambda e: e.offset, reverse=True):
            config = self._parser.parse(entry.value)
            if config is not None:
                return config
            _log.warning("manifest_unreadable", offset=entry.offset, bytes=len(entry.value))
        return None
