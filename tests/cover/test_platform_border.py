"""Parsing of what callers, workers, the store and operators send to the platform adapter.

Invalid input must be rejected in the way that the caller expects (InvalidJob or None): any other
exception would fail a request, or stop the reading of the log at that record.
"""

from __future__ import annotations

import asyncio
import json
import struct
from dataclasses import fields

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagewood.internal.clock import monotonic_ms
from greengagewood.internal.evacuation import Evacuations
from greengagewood.internal.jobs.model import InvalidJob
from greengagewood.internal.jobs.records import TaskId
from greengagewood.internal.ports import (
    Configuration,
    LogEntry,
    LogPage,
    WorkerCallFailed,
    WorkerInfo,
    WorkerUnreachable,
)
from greengagewood.platform.directory import StoreDirectory, parse_worker
from greengagewood.platform.jobs import parse_job
from greengagewood.platform.manifest import ManifestParser, ManifestSource
from greengagewood.platform.store import _frame_record, _parse_records
from greengagewood.platform.wire import Session
from greengagewood.platform.workers import HttpWorkers, format_task_name, parse_task_name
from tests.common.storestub import MANIFEST, ROUTE, WORKER_ENTRY

JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=12,
)


def _job(*steps: object) -> bytes:
    return json.dumps({"spec": "text", "steps": list(steps)}).encode()


class TestParseJob:
    """Bodies of job submissions."""

    def test_every_field_of_a_step_is_parsed(self) -> None:
        step = {
            "count": 3,
            "cpu": 500,
            "mem-mb": 256,
            "gpu": 1,
            "estimate-ms": 900,
            "depends-on": [0],
            "checkpointing": True,
            "gang": True,
            "same-rack": True,
            "requirements": "a",
            "affinity": "r1-3",
            "anti-affinity": 2,
            "speculative": True,
            "long-running": True,
            "image": "img",
            "target-ms": 24,
            "utilization": True,
            "max-unavailable": 1,
        }
        spec = parse_job(_job({"count": 1}, step)).steps[1]
        assert (spec.task_count, spec.cpu_millis, spec.memory_mb, spec.accelerators) == (
            3,
            500,
            256,
            1,
        )
        assert (spec.depends_on, spec.required_label, spec.data_rack) == ((0,), "a", "r1-3")
        assert (spec.max_per_instance, spec.max_unavailable, spec.tail_target_ms) == (2, 1, 24)
        assert spec.checkpointing and spec.gang and spec.same_rack and spec.speculative
        assert spec.long_running and spec.best_effort
        assert spec.image == "img"

    def test_unknown_fields_are_ignored(self) -> None:
        assert parse_job(_job({"count": 1, "colour": "blue"})).steps[0].task_count == 1

    @pytest.mark.parametrize(
        "body",
        [
            b"",
            b"{",
            b"[]",
            b"\xff\xfe",
            b'{"spec":"x"}',
            b'{"steps":[{"count":1}]}',
            b'{"spec":1,"steps":[{"count":1}]}',
            b'{"spec":"x","steps":[]}',
            b'{"spec":"x","steps":[{"count":"1"}]}',
            b'{"spec":"x","steps":[{"count":0}]}',
            b'{"spec":"x","steps":[{"count":99999999}]}',
            b'{"spec":"x","steps":[{"count":1,"depends-on":[0]}]}',
            b'{"spec":"x","steps":[{"count":1,"cpu":-1}]}',
            b'{"spec":"x","steps":' + b"[" * 5_000,
        ],
    )
    def test_an_invalid_body_raises_invalid_job(self, body: bytes) -> None:
        with pytest.raises(InvalidJob):
            parse_job(body)

    @given(JSON_VALUES)
    def test_any_json_is_parsed_or_raises_invalid_job(self, value: object) -> None:
        try:
            parse_job(json.dumps(value).encode())
        except InvalidJob as exc:
            assert str(exc)


class TestWorkerEntries:
    """Workers' entries in the store, and task names."""

    def test_a_valid_entry_is_parsed(self) -> None:
        info = parse_worker("i-1", json.dumps(WORKER_ENTRY).encode())
        assert info is not None
        assert (info.cpu_millis, info.memory_mb, info.rack) == (16_000, 32_768, "r1-3")
        assert info.labels == {"a", "r1-3"}
        assert not info.draining
        assert {field.name for field in fields(info)} >= {"failure_domain", "leaving_in_ms"}

    def test_the_remaining_cold_time_is_parsed(self) -> None:
        entry = {**WORKER_ENTRY, "cold-remaining-ms": 8_500}
        info = parse_worker("i-1", json.dumps(entry).encode())
        assert info is not None and info.cold_ms == 8_500

    def test_a_draining_worker_has_a_remaining_time(self) -> None:
        entry = {**WORKER_ENTRY, "state": "draining", "remaining-ms": 1500}
        info = parse_worker("i-1", json.dumps(entry).encode())
        assert info is not None and info.draining and info.leaving_in_ms == 1500

    @pytest.mark.parametrize("missing", ["service", "address", "zone", "state", "capacity"])
    def test_an_entry_without_a_required_field_is_rejected(self, missing: str) -> None:
        entry = {key: value for key, value in WORKER_ENTRY.items() if key != missing}
        assert parse_worker("i-1", json.dumps(entry).encode()) is None

    @pytest.mark.parametrize(
        "change",
        [
            {"state": "asleep"},
            {"state": 3},
            {"capacity": 16},
            {"address": "nowhere"},
            {"labels": "a"},
        ],
    )
    def test_an_entry_with_an_invalid_field_is_rejected(self, change: dict[str, object]) -> None:
        assert parse_worker("i-1", json.dumps({**WORKER_ENTRY, **change}).encode()) is None

    @given(st.binary(max_size=100))
    def test_any_bytes_are_parsed_or_rejected(self, value: bytes) -> None:
        parse_worker("i-1", value)

    def test_a_task_name_round_trips(self) -> None:
        task = TaskId("5c0e7a21d94b36f8", 0, 1, 17)
        assert parse_task_name(format_task_name(task)) == task


class TestManifest:
    """Conversion of the manifest to a configuration."""

    def test_routes_are_converted_to_queues(self) -> None:
        config = ManifestParser().parse(json.dumps(MANIFEST).encode())
        assert config is not None and config.version == 7
        queue = config.queues["r"]
        assert (queue.service, queue.max_attempts, queue.slack_factor) == ("svc", 4, 1.5)
        assert queue.decision_ms == 0 and queue.admission_check

    def test_a_route_with_advice_sets_decision_ms(self) -> None:
        route = {**ROUTE, "advice": {"decision-ms": 20, "per-worker-ms": 1, "validity-ms": 3000}}
        config = ManifestParser().parse(json.dumps({**MANIFEST, "routes": [route]}).encode())
        assert config is not None and config.queues["r"].decision_ms == 20

    @given(st.binary(max_size=100) | JSON_VALUES.map(lambda value: json.dumps(value).encode()))
    def test_any_bytes_are_parsed_or_rejected_as_a_manifest(self, value: bytes) -> None:
        ManifestParser().parse(value)


class TestRecordFraming:
    """Framing of the records in the store's answers."""

    def test_records_round_trip(self) -> None:
        body = (
            struct.pack(">QQ", 12, 0)
            + _frame_record("a", b"one")
            + _frame_record("b", b"")
            + _frame_record("c", b"3")
        )
        entries = _parse_records(body, 9)
        assert [(e.offset, e.key, e.value) for e in entries] == [
            (9, "a", b"one"),
            (10, "b", b""),
            (11, "c", b"3"),
        ]

    @given(st.integers(min_value=0, max_value=60))
    def test_a_truncated_record_is_left_for_the_next_read(self, length: int) -> None:
        body = (
            struct.pack(">QQ", 12, 0) + _frame_record("a", b"one") + _frame_record("bb", b"three")
        )
        entries = _parse_records(body[:length], 0)
        assert [e.key for e in entries] == ["a", "bb"][: len(entries)]

    @given(st.binary(max_size=200))
    def test_any_bytes_are_parsed_as_records(self, body: bytes) -> None:
        _parse_records(body, 0)


class _PagedLog:
    """Fake of KeyedLog that returns the given pages in order."""

    def __init__(self, *pages: object) -> None:
        self.pages = list(pages)

    async def load(self) -> object:
        return self.pages.pop(0)

    async def read(self, start: int, wait_ms: int, max_kb: int = 1024) -> object:
        return self.pages.pop(0)


class TestLogReaders:
    """The worker directory and the manifest source, reading pages of the log."""

    async def test_a_deleted_worker_is_removed_from_the_list(self) -> None:
        good = json.dumps(WORKER_ENTRY).encode()
        log = _PagedLog(
            LogPage((LogEntry(0, "i-1", good), LogEntry(1, "i-2", b"junk")), 2),
            LogPage((LogEntry(2, "i-1", b""), LogEntry(3, "i-3", good)), 4),
        )
        directory = StoreDirectory(log)  # type: ignore[arg-type]
        assert set(await directory.refresh()) == {"i-1"}
        assert directory.unreadable_entries["i-2"] == 1
        assert set(await directory.refresh()) == {"i-3"}

    async def test_the_newest_readable_manifest_is_used(self) -> None:
        newer = json.dumps({**MANIFEST, "version": 9}).encode()
        entries = (
            LogEntry(0, "config", json.dumps(MANIFEST).encode()),
            LogEntry(1, "config", newer),
            LogEntry(2, "config", b"\x00"),
            LogEntry(3, "wave/1", b"{}"),
        )
        source = ManifestSource(_PagedLog(LogPage(entries, 4)))  # type: ignore[arg-type]
        assert isinstance(await source.next(), Evacuations)
        config = await source.next()
        assert isinstance(config, Configuration) and config.version == 9


class TestUnansweredOrders:
    """Whether an order that was not answered may have reached its worker."""

    @staticmethod
    async def _stop_error(port: int) -> WorkerCallFailed:
        """Return the error of an order to a port of this host."""
        info = WorkerInfo(
            "w", f"127.0.0.1:{port}", "svc", "z", "r", frozenset(), 1, 1, 0, False, None, 1
        )
        session = Session(1)
        try:
            with pytest.raises(WorkerCallFailed) as raised:
                await HttpWorkers(session).stop(info, TaskId("0" * 16, 0, 0, 0), 1, 1)
        finally:
            await session.close()
        return raised.value

    async def test_a_refused_connection_means_that_the_order_was_not_sent(self) -> None:
        server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        server.close()
        await server.wait_closed()
        assert isinstance(await self._stop_error(port), WorkerUnreachable)

    async def test_a_connection_closed_without_an_answer_leaves_it_open(self) -> None:
        async def close_unread(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readline()
            writer.close()

        server = await asyncio.start_server(close_unread, "127.0.0.1", 0)
        error = await self._stop_error(server.sockets[0].getsockname()[1])
        server.close()
        assert not isinstance(error, WorkerUnreachable)

    async def test_an_order_that_waits_too_long_for_a_connection_is_never_sent(self) -> None:
        """Guards against a start that reaches its worker long after its job was cancelled."""
        received: list[bytes] = []

        async def answer_late(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            received.append(await reader.readline())
            await asyncio.sleep(1.5)
            writer.close()

        server = await asyncio.start_server(answer_late, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        info = WorkerInfo("w", address, "svc", "z", "r", frozenset(), 1, 1, 0, False, None, 1)
        session = Session(1)
        workers = HttpWorkers(session)
        task = TaskId("0" * 16, 0, 0, 0)
        held = asyncio.ensure_future(workers.extend_lease(info, None, 1, 0, 400))
        await asyncio.sleep(0.1)
        sent_ms = monotonic_ms()
        with pytest.raises(WorkerCallFailed):
            await workers.start(info, task, 1, "p", 1, 1, "", "")
        assert monotonic_ms() - sent_ms < 1_500
        with pytest.raises(WorkerCallFailed):
            await held
        await asyncio.sleep(0.3)
        await session.close()
        server.close()
        assert [line.split()[1] for line in received] == [b"/greengagewood/hold"]
