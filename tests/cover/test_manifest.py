"""Manifests of thousands of routes, followed over small links and after restarts."""

from __future__ import annotations

import asyncio
import json

import pytest

from greengagewood.internal.entry.routes import RouteTable
from greengagewood.internal.evacuation import Evacuations
from greengagewood.internal.ports import (
    Configuration,
    LogEntry,
    LogPage,
    LogTruncated,
    RouteRule,
)
from greengagewood.platform import manifest as manifest_module
from greengagewood.platform.manifest import ManifestParser, ManifestSource
from tests.common.drive import QUEUES
from tests.common.storestub import ROUTE, StoreStub, client_of, running_store

# 2 Mbit/s: a manifest of ROUTE_COUNT routes takes longer than a read may stay silent.
SMALL_LINK_BYTES_PER_S = 250_000
ROUTE_COUNT = 1_600
EVACUATION_BOUND_S = 5.0  # the time within which an order must be obeyed
APPLY_BOUND_S = 4.0  # the time within which a new version must be in force


def _route(number: int) -> dict[str, object]:
    return {
        **ROUTE,
        "name": f"queue-{number}",
        "host": "miti30.example",
        "path-prefix": f"/sewu{number}/wu75/",
        "retries": 4,
    }


def _manifest(version: int, route_count: int) -> bytes:
    routes = [_route(number) for number in range(route_count)]
    return json.dumps(
        {"version": version, "routes": routes, "services": [{"name": "svc"}]}
    ).encode()


async def _wait_for_version(source: ManifestSource, version: int) -> Configuration:
    async with asyncio.timeout(APPLY_BOUND_S):
        while True:
            config = await _next_config(source)
            if config is not None and config.version == version:
                return config


async def _next_config(source: ManifestSource) -> Configuration | None:
    """Return the next configuration, or None; pass over the evacuation orders before it."""
    update = await source.next()
    while isinstance(update, Evacuations):
        update = source._updates.popleft() if source._updates else None
    return update


class TestSmallLinks:
    """A manifest whose transfer takes longer than the store may stay silent."""

    async def test_a_restarted_instance_reads_a_large_manifest(self) -> None:
        stub = StoreStub(SMALL_LINK_BYTES_PER_S)
        stub.append("config", _manifest(7, ROUTE_COUNT))
        async with running_store(stub) as session:
            for _ in range(2):
                config = await _wait_for_version(ManifestSource(client_of(stub, session)), 7)
                assert len(config.routes) == ROUTE_COUNT

    async def test_a_manifest_that_grows_is_in_force_in_time(self) -> None:
        stub = StoreStub(SMALL_LINK_BYTES_PER_S)
        stub.append("config", _manifest(7, 120))
        async with running_store(stub) as session:
            source = ManifestSource(client_of(stub, session))
            await _wait_for_version(source, 7)
            stub.append("config", _manifest(9, ROUTE_COUNT))
            config = await _wait_for_version(source, 9)
            assert len(config.routes) == ROUTE_COUNT

    async def test_versions_that_are_out_of_date_are_not_read(self) -> None:
        stub = StoreStub(SMALL_LINK_BYTES_PER_S)
        stub.append("config", _manifest(1, 120))
        async with running_store(stub) as session:
            source = ManifestSource(client_of(stub, session))
            await _wait_for_version(source, 1)
            for version in range(2, 14):
                stub.append("config", _manifest(version, 600))
            sent_before = stub.sent_bytes
            await _wait_for_version(source, 13)
            assert stub.sent_bytes - sent_before < 3 * len(_manifest(13, 600))

    async def test_an_order_between_large_versions_is_read_in_time(self) -> None:
        # 5 Mbit/s, the smallest link of an entry instance of a real deployment.
        stub = StoreStub(625_000)
        stub.append("config", _manifest(1, 10))
        async with running_store(stub) as session:
            source = ManifestSource(client_of(stub, session))
            await _wait_for_version(source, 1)
            stub.append("config", _manifest(2, ROUTE_COUNT))
            stub.append("evacuate/z1", b"x")
            stub.append("config", _manifest(3, ROUTE_COUNT))
            async with asyncio.timeout(EVACUATION_BOUND_S):
                while True:
                    update = await source.next()
                    if isinstance(update, Evacuations) and update.domains:
                        break
            assert update.domains == {"z1"}


class _Pages:
    """Fake of KeyedLog that returns the given pages in order, whatever is read."""

    def __init__(self, *pages: LogPage) -> None:
        self.pages = list(pages)
        self.loads = 0

    async def load(self) -> LogPage:
        self.loads += 1
        return self.pages.pop(0)

    async def read(self, start: int, wait_ms: int, max_kb: int) -> LogPage:
        if not self.pages[0].entries and self.pages[0].end_offset < 0:
            self.pages.pop(0)
            raise LogTruncated("log-read")
        return self.pages.pop(0)


class TestManifestSource:
    """Which version a source returns, whatever it was given to read."""

    async def test_a_manifest_among_many_new_records_is_found(self) -> None:
        log = _Pages(
            LogPage((LogEntry(0, "config", _manifest(1, 1)),), 1, 1),
            LogPage((LogEntry(1, "config", _manifest(2, 1)),), 2, 5),  # more than one follows
            LogPage((LogEntry(3, "config", _manifest(3, 1)), LogEntry(4, "wave/1", b"{}")), 5, 5),
        )
        source = ManifestSource(log)  # type: ignore[arg-type]
        configs = [await _next_config(source) for _ in range(3)]
        assert [config.version if config else None for config in configs] == [1, 2, 3]
        assert log.loads == 2

    async def test_a_truncation_leads_to_one_load(self) -> None:
        truncated = LogPage((), 0)
        log = _Pages(
            LogPage((LogEntry(0, "config", _manifest(1, 1)),), 1, 1),
            LogPage((LogEntry(1, "config", _manifest(2, 1)),), 2, 3),  # one that follows is read
            truncated,
            LogPage((LogEntry(4, "wave/1", b"{}"),), 5),  # everything, without a manifest
            LogPage((LogEntry(5, "config", _manifest(3, 1)),), 6, 6),
        )
        source = ManifestSource(log)  # type: ignore[arg-type]
        configs = [await _next_config(source) for _ in range(5)]
        assert [config.version if config else None for config in configs] == [1, 2, None, None, 3]
        assert log.loads == 2

    async def test_each_series_of_failed_reads_is_logged_twice(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a line for each failed read, and against a series without a trace."""
        events: list[tuple[str, object]] = []
        for level, field in (("warning", "error"), ("info", "failed")):
            monkeypatch.setattr(
                manifest_module._log,
                level,
                lambda event, field=field, **fields: events.append((event, fields[field])),
            )
        stub = StoreStub()
        stub.append("config", _manifest(1, 1))
        async with running_store(stub) as session:
            source = ManifestSource(client_of(stub, session))
            for statuses in ([503, 429, 500], [503]):
                stub.statuses = list(statuses)
                for _ in statuses:
                    assert await _next_config(source) is None
                await _next_config(source)
        assert events == [
            ("manifest_not_read", "log-newest: status 503"),
            ("manifest_read_again", 3),
            ("manifest_not_read", "log-read: status 503"),
            ("manifest_read_again", 1),
        ]

    async def test_a_topic_without_records_is_not_read_without_pause(self) -> None:
        stub = StoreStub()
        async with running_store(stub) as session:
            stub.statuses = [404] * 1_000
            source = ManifestSource(client_of(stub, session))
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.5):
                    while True:
                        await source.next()
        assert 1_000 - len(stub.statuses) <= 6


class TestManifestParser:
    """Conversion of one version after another."""

    def test_unchanged_routes_are_not_decoded_again(self) -> None:
        parser = ManifestParser()
        first = parser.parse(_manifest(1, 100))
        second = parser.parse(_manifest(2, 140))
        assert first is not None and second is not None
        assert len(second.routes) == 140
        assert all(old is new for old, new in zip(first.routes, second.routes, strict=False))

    def test_a_route_follows_the_admission_check_of_its_service(self) -> None:
        parser = ManifestParser()
        parser.parse(_manifest(1, 1))
        value = json.loads(_manifest(2, 1))
        value["services"] = [{"name": "svc", "admission-check": False}]
        config = parser.parse(json.dumps(value).encode())
        assert config is not None and not config.queues["queue-0"].admission_check


class TestRouteTable:
    """The route of a request."""

    RULES = tuple(
        RouteRule(host, prefix, QUEUES["fast"])
        for host, prefix in (("a", "/x/"), ("a", "/x/y/"), ("a", "/x"), ("b", "/"))
    )

    @pytest.mark.parametrize(
        ("host", "path", "prefix"),
        [
            ("a", "/x/y/1", "/x/y/"),
            ("a", "/x/1", "/x/"),
            ("a", "/xy", "/x"),
            ("a", "/", None),
            ("b", "/anything", "/"),
            ("c", "/x/1", None),
        ],
    )
    def test_the_longest_prefix_on_the_host_counts(
        self, host: str, path: str, prefix: str | None
    ) -> None:
        rule = RouteTable(self.RULES).find(host, path)
        assert (rule.path_prefix if rule else None) == prefix
