"""The operators' records: the manifest, converted to a configuration, and evacuation orders."""

from __future__ import annotations

import asyncio
from collections import deque

import msgspec

from greengagewood.internal.clock import monotonic_ms
from greengagewood.internal.evacuation import Evacuations
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
from greengagewood.platform.wire import Integer, Number, decode

__all__ = ["ManifestParser", "ManifestSource"]

CONFIG_KEY = "config"
EVACUATION_KEY_PREFIX = "evacuate/"  # followed by the failure domain
READ_LONG_POLL_MS = 800  # with READ_SILENCE_MARGIN_S, a dead connection is detected within 2 s
# The store sends one record if the first is larger than this. A manifest with all of its routes can
# take seconds on a small link, so versions that are out of date already are not read.
MAX_READ_KB = 1
# If more records follow, the newest of each key are loaded instead. Reads of 1 KB catch up with
# this many in less time than a manifest takes on a small link.
MAX_RECORDS_BEHIND = 64
RETRY_DELAY_S = 0.1

_log = Log("manifest")


class _AdviceSettings(msgspec.Struct):
    decision_ms: Number = msgspec.field(name="decision-ms", default=0)


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str = msgspec.field(name="path-prefix")
    service: str
    timeout_ms: Integer = msgspec.field(name="timeout-ms", default=0)
    target_latency_ms: Integer = msgspec.field(name="target-latency-ms", default=0)
    priority: Integer = 0
    max_attempts: Integer = msgspec.field(name="max-attempts", default=1)
    slack_factor: Number = msgspec.field(name="slack-factor", default=2.0)
    advice: _AdviceSettings | None = None


class _Service(msgspec.Struct):
    name: str
    admission_check: bool = msgspec.field(name="admission-check", default=True)


class _Limits(msgspec.Struct):
    header_bytes: Integer = msgspec.field(name="max-header-bytes", default=16_384)
    body_bytes: Integer = msgspec.field(name="max-body-bytes", default=262_144)
    idle_ms: Integer = msgspec.field(name="idle-timeout-ms", default=15_000)


class _Manifest(msgspec.Struct):
    version: Integer
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
            manifest = decode(value, _Manifest)
            rules = self._convert_routes(manifest)
        except ValueError:
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
                decode(encoded, _Route), admission_checks
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


class _EvacuationRecords:
    """The evacuation orders in force, from the records of their keys."""

    def __init__(self) -> None:
        self._offsets: dict[str, int] = {}  # of the order of each domain that is in force

    @property
    def domains(self) -> frozenset[str]:
        """Return the domains whose orders are in force."""
        return frozenset(self._offsets)

    def apply(self, entry: LogEntry) -> None:
        """Apply a record of any key; a record without a value withdraws the order."""
        domain = entry.key.removeprefix(EVACUATION_KEY_PREFIX)
        if domain in ("", entry.key) or entry.offset < self._offsets.get(domain, -1):
            return
        if entry.value:
            self._offsets[domain] = entry.offset
        else:
            self._offsets.pop(domain, None)

    def retain(self, page: LogPage) -> None:
        """Withdraw the orders that are not among the newest records of all keys."""
        keys = {entry.key for entry in page.entries}
        self._offsets = {
            domain: offset
            for domain, offset in self._offsets.items()
            if EVACUATION_KEY_PREFIX + domain in keys or offset >= page.next_offset
        }


class ManifestSource:
    """Follow the manifest and the evacuation orders in the store.

    No record of an order is passed over. Where versions of the manifest are, the newest record of
    each key is loaded, and so the newest order of each domain.
    """

    def __init__(self, topic: KeyedLog) -> None:
        self._topic = topic
        self._parser = ManifestParser()
        self._next_offset: int | None = None  # None requests the newest record of each key
        self._config_offset = -1  # of the newest manifest that was parsed
        self._orders = _EvacuationRecords()
        self._last_read_ms: int | None = None  # when the last read up to the end was sent
        self._updates: deque[Configuration | Evacuations] = deque()
        self._failed_reads = 0  # since the last one that succeeded

    async def next(self) -> Configuration | Evacuations | None:
        """Wait for a newer configuration or read of the orders; return None if there was none.

        The orders are returned after each read up to the end of the log, also if they are the same,
        and before a configuration from the same read.
        """
        if not self._updates:
            await self._read()
        return self._updates.popleft() if self._updates else None

    async def _read(self) -> None:
        sent_ms = monotonic_ms()
        try:
            page = await self._read_page()
        except LogTruncated:
            _log.info("manifest_log_truncated", offset=self._next_offset)
            self._next_offset = None
            return
        except StoreUnavailable as exc:
            # During an outage reads may fail ten times a second, so only the first is logged.
            if self._failed_reads == 0:
                _log.warning("manifest_not_read", offset=self._next_offset, error=str(exc))
            self._failed_reads += 1
            await asyncio.sleep(RETRY_DELAY_S)
            return
        if self._failed_reads:
            _log.info("manifest_read_again", offset=page.next_offset, failed=self._failed_reads)
            self._failed_reads = 0
        if not page.entries and page.end_offset < 0:  # the store answers at once without a topic
            await asyncio.sleep(RETRY_DELAY_S)
        self._apply_page(page, sent_ms)

    async def _read_page(self) -> LogPage:
        if self._next_offset is None:
            return await self._topic.load()
        return await self._topic.read(self._next_offset, READ_LONG_POLL_MS, MAX_READ_KB)

    def _apply_page(self, page: LogPage, sent_ms: int) -> None:
        domains_before = self._orders.domains
        if self._next_offset is None:
            self._orders.retain(page)
        for entry in page.entries:
            self._orders.apply(entry)
        if page.reaches_end:
            self._last_read_ms = sent_ms
        if self._last_read_ms is not None and (
            page.reaches_end or self._orders.domains != domains_before
        ):
            self._updates.append(
                Evacuations(self._orders.domains, page.next_offset, self._last_read_ms)
            )
        candidates = [
            e
            for e in page.entries
            if e.key == CONFIG_KEY and e.value and e.offset > self._config_offset
        ]
        behind = page.end_offset - page.next_offset
        # A manifest that others follow may be out of date, and the next ones as well.
        skip = behind > MAX_RECORDS_BEHIND or (behind > 1 and bool(candidates))
        self._next_offset = None if skip else page.next_offset
        config = self._newest_readable(candidates)
        if config is not None:
            self._updates.append(config)

    def _newest_readable(self, entries: list[LogEntry]) -> Configuration | None:
        """Return the configuration of the newest valid entry, or None."""
        for entry in sorted(entries, key=lambda e: e.offset, reverse=True):
            self._config_offset = max(self._config_offset, entry.offset)
            config = self._parser.parse(entry.value)
            if config is not None:
                return config
            _log.warning("manifest_unreadable", offset=entry.offset, bytes=len(entry.value))
        return None
