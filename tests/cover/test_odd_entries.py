"""Entries and answers that a foreign writer may leave in what an instance reads.

They must neither end a process, nor stop it from following a list, nor hide the other entries.
"""

from __future__ import annotations

import asyncio
import base64
import json
import math
from collections import Counter
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from typing import Any

import logbook
import pytest
from aiohttp import web
from hypothesis import example, given, settings
from hypothesis import strategies as st

from greengagewood.internal.cells.forecast import _ServiceLoad
from greengagewood.internal.cells.ledger import Ledger
from greengagewood.internal.cells.value import objective_of
from greengagewood.internal.evacuation import Evacuations
from greengagewood.internal.jobs.model import InvalidJob, JobSpec, Queue, StepSpec
from greengagewood.internal.jobs.records import (
    Cancellation,
    Forecast,
    Ownership,
    PlacedRun,
    Progress,
    RecordError,
    RegisteredWorker,
    RegisteredWorkers,
    Submission,
    TaskId,
    TaskProgress,
    decode_record,
    encode_record,
    key_of,
)
from greengagewood.internal.metrics import Metrics
from greengagewood.internal.ports import (
    AdviceUnavailable,
    Configuration,
    LogEntry,
    LogPage,
    OrderReply,
    Outcome,
    RouteRule,
    RunListPage,
    StoreUnavailable,
    WorkerCallFailed,
    WorkerInfo,
)
from greengagewood.platform.advice import HttpAdvice
from greengagewood.platform.directory import MAX_ENTRY_BYTES, StoreDirectory, parse_worker
from greengagewood.platform.frontend import Frontend
from greengagewood.platform.jobs import parse_job
from greengagewood.platform.manifest import ManifestParser, ManifestSource
from greengagewood.platform.store import KeyedLog, _parse_records
from greengagewood.platform.wire import Session, decode
from greengagewood.platform.workers import HttpWorkers
from tests.common.desk import CellHarness, make_submission, make_worker_info, start_orders
from tests.common.drive import CONFIG, CellSimulation, long_running_job, run_simulation, short_job
from tests.common.plant import SimDirectory
from tests.common.storestub import MANIFEST, ROUTE, WORKER_ENTRY, StoreStub, running_store

MAX_RECORD_BYTES = 262_144  # of the platform's store
LEVELS = 100_000
TOO_DEEP = b'{"x":' + b"[" * LEVELS + b"]" * LEVELS + b"}"
TASK = TaskId("0" * 16, 0, 0, 0)
ENTRY = {**WORKER_ENTRY, "born": 1_700_000_000_000}
JOB = {
    "spec": "text",
    "steps": [
        {"count": 2, "cpu": 500, "mem-mb": 256, "estimate-ms": 900, "image": "i", "target-ms": 24},
        {"count": 1, "depends-on": [0], "utilization": True, "max-unavailable": 1},
    ],
    "first-run-ms": 1_700_000_000_000,
    "interval-ms": 1_000,
    "repeat-count": 3,
}
MANIFEST_WITH_ADVICE = {
    **MANIFEST,
    "routes": [
        ROUTE,
        {**ROUTE, "name": "s", "path-prefix": "/s/", "advice": {"decision-ms": 20}},
    ],
    "services": [{"name": "svc", "admission-check": False}],
    "limits": {"max-header-bytes": 16_384, "max-body-bytes": 262_144, "idle-timeout-ms": 15_000},
}
RECORDS = (
    Submission("j", Queue("q", "svc"), JobSpec("p", (StepSpec(1, depends_on=(0,)),)), 5),
    Cancellation("j"),
    Progress("j", "running", ((0, 0, b"\1"),), (TaskProgress(0, 0, 1, (1,), "c"),)),
    Progress("j", "running", (), (TaskProgress(0, 0, 1, trial=PlacedRun(1, "w", "a", 1, True)),)),
    Ownership(3, "n0"),
    RegisteredWorkers((RegisteredWorker("w0", "10.0.0.1:80", "svc"),), 3),
    Forecast(3),
)

# JSON texts, so that values can be drawn that no encoder writes.
NUMBER_TEXTS = (
    "-1 0 0.5 -0.0 1e30 1e308 1e999 -1e999 NaN Infinity 65536 99999 2147483648 9007199254740993 "
    "9223372036854775807 9223372036854775808 18446744073709551615 18446744073709551616 "
    "-9223372036854775809 0x10 01 .5 +1"
)
ODD_NUMBERS = st.sampled_from(NUMBER_TEXTS.split()) | st.sampled_from(
    ["9" * 40, "9" * 400, "9" * 5_000, "-" + "9" * 5_000]
)
ODD_STRINGS = st.sampled_from(
    [
        '""',
        '"\\u0000"',
        '"\\ud800"',
        '"\\udfff\\ud800"',
        '"a..b:80"',
        '"%zz[:80"',
        '"[::1:80"',
        '"10.0.0.1:99999"',
        '"10.0.0.1:\N{SUPERSCRIPT TWO}"',
        '"\N{ARABIC-INDIC DIGIT ONE}0.0.0.1:80"',
        '"line\\r\\nline:80"',
        '"' + "a" * 70_000 + ':80"',
        '"open',
    ]
) | st.text(max_size=20).map(json.dumps)
ODD_SHAPES = st.sampled_from(
    ["null", "true", "[]", "{}", "[[]]", "[null]", '{"":null}', "", "]", ",", '{"cpu":{}}']
) | st.sampled_from(["[" * LEVELS + "]" * LEVELS, "[" * 3_000, '{"a":' * LEVELS])
ODD_TEXTS = ODD_NUMBERS | ODD_STRINGS | ODD_SHAPES


def _paths(value: Any) -> Iterable[tuple[Any, ...]]:
    yield ()
    items = (
        value.items()
        if isinstance(value, dict)
        else enumerate(value) if isinstance(value, list) else ()
    )
    for key, inner in items:
        for path in _paths(inner):
            yield (key, *path)


def _with_text_at(value: Any, path: tuple[Any, ...], text: str, twice: bool) -> str:
    """Return a document as JSON with an odd text at a path; `twice` keeps the old field as well."""
    if not path:
        return text
    inner = _with_text_at(value[path[0]], path[1:], text, twice)
    if isinstance(value, list):
        texts = [inner if n == path[0] else json.dumps(item) for n, item in enumerate(value)]
        return f"[{','.join(texts)}]"
    fields = [
        f"{json.dumps(k)}:{inner if k == path[0] else json.dumps(v)}" for k, v in value.items()
    ]
    if twice:
        fields.insert(0, f"{json.dumps(path[0])}:{json.dumps(value[path[0]])}")
    return "{" + ",".join(fields) + "}"


@st.composite
def odd_documents(draw: st.DrawFn, document: Any) -> bytes:
    """Draw bytes that are like a document of the page, or far from it."""
    text = document
    if draw(st.booleans()):
        path = draw(st.sampled_from(list(_paths(document))))
        text = _with_text_at(document, path, draw(ODD_TEXTS), draw(st.booleans()))
    else:
        text = json.dumps(document)
    value = text.encode("utf-8", "surrogatepass")
    match draw(st.sampled_from(("as it is", "cut", "insert", "other"))):
        case "cut":
            return value[: draw(st.integers(0, min(len(value), 400)))]
        case "insert":
            at = draw(st.integers(0, min(len(value), 400)))
            return value[:at] + draw(st.binary(max_size=4)) + value[at:]
        case "other":
            return draw(st.binary(max_size=40) | ODD_TEXTS.map(str.encode))
    return value


def _entry(**changes: object) -> bytes:
    return json.dumps({**ENTRY, **changes}).encode()


def _capacity(**changes: object) -> bytes:
    return _entry(capacity={"cpu": 16_000, "mem-mb": 32_768, "gpu": 0, **changes})


class _FakeLog:
    """Fake of KeyedLog that returns the given pages in order, and then empty ones."""

    def __init__(self, *pages: LogPage) -> None:
        self.pages = list(pages)
        self._end = 0

    async def load(self) -> LogPage:
        return await self.read(0, 0)

    async def read(self, start: int, wait_ms: int, max_kb: int = 1024) -> LogPage:
        if not self.pages:
            return LogPage((), self._end, self._end)
        page = self.pages.pop(0)
        self._end = page.next_offset
        return page


def _page(*entries: tuple[str, bytes], start: int = 0) -> LogPage:
    end = start + len(entries)
    return LogPage(tuple(LogEntry(start + n, *entry) for n, entry in enumerate(entries)), end, end)


async def _listed(*entries: tuple[str, bytes]) -> dict[str, WorkerInfo]:
    return await StoreDirectory(_FakeLog(_page(*entries))).refresh()  # type: ignore[arg-type]


@asynccontextmanager
async def _answering(status: int, body: bytes) -> AsyncIterator[str]:
    """Serve one answer to all calls; yield the address."""

    async def handle(req: web.BaseRequest) -> web.Response:
        await req.read()
        return web.Response(status=status, body=body)

    runner = web.ServerRunner(web.Server(handle))
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    host, port = runner.addresses[0][:2]
    try:
        yield f"{host}:{port}"
    finally:
        await runner.cleanup()


def _worker_at(address: str, worker_id: str = "w") -> WorkerInfo:
    return WorkerInfo(worker_id, address, "svc", "z", "r", frozenset(), 1, 1, 0, False, None, 1)


ODD_ADDRESSES = [
    "",
    "10.0.0.1",
    "10.0.0.1:",
    ":80",
    "10.0.0.1:0",
    "10.0.0.1:65536",
    "10.0.0.1:99999",
    "10.0.0.1:-1",
    "10.0.0.1:+80",
    "10.0.0.1: 80",
    "10.0.0.1:8_0",
    "10.0.0.1:\N{SUPERSCRIPT TWO}",
    "10.0.0.1:\N{ARABIC-INDIC DIGIT EIGHT}",
    "10.0.0.1:" + "8" * 5_000,
    "10.0.0.1:80\n",
    "10.0.0:80",
    "10.0.0.256:80",
    "10.0.0.1.1:80",
    "0.0.0.0:80",
    "255.255.255.255:80",
    "a..b:80",
    "host.example:80",
    "a" * 70_000 + ":80",
    "%zz[:80",
    "[::1:80",
    "[::1]:80",
    "10.0.0.1\0:80",
    "user@10.0.0.1:80",
    "10.0.0.1/x:80",
]
# Those for which no name is looked up and no connection is opened.
UNCALLABLE_ADDRESSES = (
    "",
    "127.0.0.1:99999",
    "127.0.0.1:" + "8" * 5_000,
    "a..b:80",
    "a" * 70_000 + ":80",
    "%zz[:80",
    "[::1:80",
    "127.0.0.1\0:80",
)


def _accepted(entries: dict[str, bytes]) -> list[str]:
    """Return the names of the entries that are taken for a worker."""
    return [name for name, value in entries.items() if parse_worker("i-1", value) is not None]


class TestWorkerEntriesOutOfBounds:
    """Guard against entries that are taken for a worker though none can be called or computed."""

    def test_an_address_that_nobody_can_call_names_no_worker(self) -> None:
        assert _accepted({a[:40]: _entry(address=a) for a in ODD_ADDRESSES}) == []

    def test_each_usable_address_is_kept(self) -> None:
        for address in ("10.0.0.1:1", "127.0.0.1:65535", "203.0.113.9:8080"):
            info = parse_worker("i-1", _entry(address=address))
            assert info is not None and info.address == address

    def test_an_amount_out_of_range_names_no_worker(self) -> None:
        values = (-1, 2**63, 2**64 - 1, 2**64, 10**400, 1.5, True, None, "1")
        for name in ("cpu", "mem-mb", "gpu"):
            assert _accepted({f"{v}": _capacity(**{name: v}) for v in values}) == []

    def test_a_time_out_of_range_names_no_worker(self) -> None:
        values = (-1, 2**63, 2**64 - 1, 2**64, 10**400, 0.5, "1")
        for name in ("born", "remaining-ms", "cold-remaining-ms"):
            assert _accepted({f"{v}": _entry(**{name: v}) for v in values}) == []

    def test_a_name_without_bound_names_no_worker(self) -> None:
        assert _accepted({f: _entry(**{f: "n" * 70_000}) for f in ("service", "zone")}) == []

    def test_odd_labels_name_no_worker(self) -> None:
        values = (["n" * 70_000, "r"], ["n"] * 10_000, [1], [None], {})
        assert _accepted({f"{v}"[:20]: _entry(labels=v) for v in values}) == []

    def test_a_key_that_no_header_can_carry_names_no_worker(self) -> None:
        keys = ("", "a\r\nb", "a\0", "\N{REPLACEMENT CHARACTER}")
        assert [key for key in keys if parse_worker(key, _entry()) is not None] == []

    @settings(max_examples=300)
    @given(odd_documents(ENTRY))
    def test_a_drawn_entry_is_refused_or_within_the_bounds(self, value: bytes) -> None:
        info = parse_worker("i-1", value)
        if info is None:
            return
        host, _, port = info.address.partition(":")
        assert [0 <= int(part) <= 255 for part in host.split(".")] == [True] * 4
        assert 1 <= int(port) <= 65535
        numbers = (info.cpu_millis, info.memory_mb, info.accelerators, info.boot_time_ms)
        assert min(numbers) >= 0 and max(numbers) < 2**53
        assert 0 <= (info.leaving_in_ms or 0) < 2**53 and 0 <= info.cold_ms < 2**53
        names = [info.service, info.failure_domain, info.rack, *info.labels]
        assert max(map(len, names)) <= 255


class TestDirectory:
    """Guard against odd entries that hide others, or that are not reported as they should be."""

    @settings(max_examples=60)
    @given(st.lists(odd_documents(ENTRY), max_size=4))
    def test_odd_entries_never_hide_the_others(self, values: list[bytes]) -> None:
        odd = [(f"odd-{n}", value) for n, value in enumerate(values)]
        entries = [("w0", _entry()), *odd, ("w1", _entry())]
        listed = asyncio.run(_listed(*entries))
        assert {"w0", "w1"} <= set(listed)

    async def test_an_odd_entry_is_reported_once_with_its_key_field_and_value(self) -> None:
        for value, field_name, text in (
            (_entry(address="10.0.0.1:99999"), "address", "10.0.0.1:99999"),
            (_entry(address="a" * 70_000 + ":80"), "address", "aaaa"),
            (_capacity(cpu=2**64 - 1), "capacity.cpu", "18446744073709551615"),
            (_entry(born=-5), "born", "-5"),
            (_entry(labels=["a", 7]), "labels[1]", "7"),
            (_entry(state="asleep"), "state", "asleep"),
            (b'{"service":"svc"}', "", '{"service":"svc"}'),
            (TOO_DEEP, "", "[["),
            (b"\xff\xfe", "", "\\xff"),
        ):
            log = _FakeLog(_page(("odd", value)), _page(("odd", value), start=1))
            directory = StoreDirectory(log)  # type: ignore[arg-type]
            with logbook.TestHandler() as handler:
                await directory.refresh()
                await directory.refresh()
            (line,) = [r for r in handler.records if r.message == "worker_unreadable"]
            assert (line.extra["key"], line.extra["field"]) == ("odd", field_name)
            assert text in line.extra["value"]
            assert len(line.extra["value"]) <= 100 and len(line.extra["error"]) <= 200

    async def test_an_entry_that_becomes_odd_is_like_one_that_is_missing(self) -> None:
        for later in (b"", _entry(address="10.0.0.1:99999"), TOO_DEEP):
            log = _FakeLog(_page(("w0", _entry())), _page(("w0", later), start=1))
            directory = StoreDirectory(log)  # type: ignore[arg-type]
            assert set(await directory.refresh()) == {"w0"}
            assert set(await directory.refresh()) == set()


class TestCellWithOddEntries:
    """Guard against odd entries that cost a cell its workers or its record of them."""

    @staticmethod
    def _list(harness: CellHarness, **entries: bytes) -> None:
        """Let the directory list the workers of the harness except those with these entries."""
        odd = {name: parse_worker(name, value) for name, value in entries.items()}
        listed = {name: info for name, info in harness.worker_infos.items() if name not in odd}
        listed |= {name: info for name, info in odd.items() if info is not None}
        harness.cell.set_workers(listed, harness.now_ms)
        harness.read_orders()

    @pytest.mark.parametrize("later", [b"", _entry(address="a..b:80", born=1), _entry(born=2**63)])
    def test_a_worker_whose_entry_becomes_odd_keeps_its_runs(self, later: bytes) -> None:
        harness = CellHarness("w0", "w1")
        harness.submit(StepSpec(40, cpu_millis=1_000, estimate_ms=100_000))
        first, *_ = harness.start()
        running = {name: len(w.runs) for name, w in harness.cell.boots.items()}
        assert first.boot.runs
        for _ in range(30):
            harness.now_ms += 300
            self._list(harness, **{first.boot.name: later})
            harness.answer_leases()
            assert harness.plan() == []
        assert {name: len(w.runs) for name, w in harness.cell.boots.items()} == running
        harness.submit(StepSpec(1), job="1" * 16)
        assert [o.boot.name for o in start_orders(harness.plan())] not in (
            [first.boot.name],
            [],
        )

    def test_odd_entries_do_not_make_the_record_of_workers_too_large(self) -> None:
        harness = CellHarness("w0")
        odd = {
            f"odd-{n}": _entry(address="a" * 70_000 + ":80", service="s" * 70_000) for n in range(4)
        }
        self._list(harness, **odd)
        changes = harness.cell.collect_changes(harness.now_ms, harness.now_ms)
        records = changes.records if changes is not None else ()
        assert max(map(len, map(encode_record, records)), default=0) < MAX_RECORD_BYTES


ODD_ENTRIES = (
    _entry(address="127.0.0.1:99999"),
    _entry(address="a..b:80"),
    _entry(address="a" * 70_000 + ":80"),
    _entry(service="s" * 70_000),
    _capacity(cpu=2**64 - 1),
    _entry(born=2**63),
    _entry(**{"cold-remaining-ms": -1}),
    TOO_DEEP,
    b"\xff",
)


@dataclass
class _OddDirectory(SimDirectory):
    """The simulated directory, beside the entries of other writers as the real one reads them."""

    entries: dict[str, bytes] = field(default_factory=dict)

    async def refresh(self) -> dict[str, WorkerInfo]:
        listed = await super().refresh()
        odd = await _listed(*self.entries.items())
        return {name: w for name, w in listed.items() if name not in self.entries} | odd


@dataclass
class _OddSimulation(CellSimulation):
    """A cell whose directory also holds entries of other writers."""

    entries: dict[str, bytes] = field(default_factory=dict)

    def make_directory(self, name: str) -> SimDirectory:
        return _OddDirectory(self.platform, name, entries=self.entries)


async def _change_owner(sim: CellSimulation) -> float:
    """Kill the owner; return how long the next one took to adopt the workers."""
    loop = asyncio.get_running_loop()
    owner = sim.owner()
    assert owner is not None
    await sim.kill_instance(owner)
    async with asyncio.timeout(60):
        while (successor := sim.owner()) is None:
            await asyncio.sleep(0.05)
        since_s = loop.time()
        while (runner := sim.instances[successor]._runner) is None or runner.cell.term.adopting:
            await asyncio.sleep(0.05)
    return loop.time() - since_s


class TestNewOwner:
    """Guard against odd entries that a new owner waits for, counts as room or stores."""

    def test_odd_entries_cost_a_new_owner_nothing(self) -> None:
        odd = {f"odd-{n}": ODD_ENTRIES[n % len(ODD_ENTRIES)] for n in range(90)}
        jobs = {f"{n:016x}" for n in range(24)}

        async def script(sim: CellSimulation) -> None:
            for job in sorted(jobs):
                await sim.submit(job, "fast", short_job())
            await asyncio.sleep(0.4)
            assert await _change_owner(sim) < 1.0
            assert await sim.wait_until_ended(jobs, 30.0) == set()
            runner = sim.instances[sim.owner() or ""]._runner
            assert runner is not None and set(runner.cell.boots) == set(sim.platform.workers)
            assert sim.platform.violations == []
            records = (value for key, value in sim.platform.store.records if key == "w")
            assert max(map(len, records)) < 1_000

        with logbook.TestHandler() as handler:
            run_simulation(_OddSimulation(3, entries=odd), script)
        events = Counter(record.message for record in handler.records)
        assert events["task_failed"] == 0
        assert events["worker_unreadable"] % len(odd) == 0

    @staticmethod
    def _runs_after_change(entry: bytes) -> dict[str, set[TaskId]]:
        """Let the entries of workers at work become this one, and change the owner.

        Return the runs of each worker at the end.
        """
        entries: dict[str, bytes] = {}

        async def script(sim: CellSimulation) -> None:
            await sim.submit("f" * 16, "serve", long_running_job())
            await asyncio.sleep(5)
            before = {name: set(w.runs) for name, w in sim.platform.workers.items()}
            entries.update({name: entry for name, tasks in before.items() if tasks})
            assert entries
            await asyncio.sleep(10)
            assert {name: set(w.runs) for name, w in sim.platform.workers.items()} == before
            await _change_owner(sim)
            await asyncio.sleep(20)
            assert sim.platform.violations == []

        sim = run_simulation(_OddSimulation(5, entries=entries), script)
        return {name: set(w.runs) for name, w in sim.platform.workers.items()}

    def test_an_entry_that_becomes_odd_takes_no_runs_that_a_missing_one_leaves(self) -> None:
        missing = self._runs_after_change(b"")
        assert sum(map(len, missing.values())) == 3
        for entry in (_entry(address="a..b:80"), _entry(born=2**63), TOO_DEEP):
            assert self._runs_after_change(entry) == missing


class TestCallsToWorkers:
    """Guard against failures of a call that leave the client as anything but a failed call."""

    async def test_a_call_to_an_odd_address_is_a_failed_call(self) -> None:
        async with Session(1) as session:
            for address in UNCALLABLE_ADDRESSES:
                with pytest.raises(WorkerCallFailed):
                    await HttpWorkers(session).extend_lease(_worker_at(address), 5, 1, 0, 0)

    async def test_a_call_to_an_odd_id_is_a_failed_call(self) -> None:
        async with _answering(200, b"") as address, Session(1) as session:
            with pytest.raises(WorkerCallFailed):
                await HttpWorkers(session).stop(_worker_at(address, "a\r\nb"), TASK, 1, 1)

    async def test_an_order_that_cannot_be_encoded_is_a_failed_call(self) -> None:
        async with _answering(200, b"") as address, Session(1) as session:
            with pytest.raises(WorkerCallFailed):
                await HttpWorkers(session).extend_lease(_worker_at(address), 2**64, 1, 0, 0)

    async def test_an_order_with_an_unreadable_answer_is_a_failed_call(self) -> None:
        for body in (TOO_DEEP, b"\xff", b"[]", b'{"clock-ms":"1"}', b"{"):
            for status in (200, 409):
                async with _answering(status, body) as address, Session(1) as session:
                    with pytest.raises(WorkerCallFailed):
                        await HttpWorkers(session).stop(_worker_at(address), TASK, 1, 1)

    async def test_a_lease_with_an_answer_too_deep_is_a_failed_call(self) -> None:
        for status in (200, 409):
            async with _answering(status, TOO_DEEP) as address, Session(1) as session:
                with pytest.raises(WorkerCallFailed):
                    await HttpWorkers(session).extend_lease(_worker_at(address), 5, 1, 0, 0)

    async def test_a_status_that_says_all_needs_no_readable_body(self) -> None:
        for status in (400, 429, 503):
            async with _answering(status, TOO_DEEP) as address, Session(1) as session:
                reply = await HttpWorkers(session).stop(_worker_at(address), TASK, 1, 1)
            assert isinstance(reply, OrderReply) and reply.reason in ("invalid", "unhealthy")

    @settings(max_examples=60)
    @given(
        odd_documents(
            {
                "clock-ms": 482_113,
                "born": 1,
                "running": [["0000000000000000.0.1.17", 2, "c", 41, 24.0]],
                "finished": [[58, "0000000000000000.0.1.9", 1, "done", ""]],
            }
        )
    )
    @example(b'{"clock-ms":5,"born":18446744073709551616,"running":[],"finished":[]}')
    def test_a_drawn_list_of_runs_is_read_or_a_failed_call(self, body: bytes) -> None:
        async def scenario() -> None:
            async with _answering(200, body) as address, Session(1) as session:
                try:
                    reply = await HttpWorkers(session).extend_lease(_worker_at(address), 5, 1, 0, 0)
                except WorkerCallFailed:
                    return
                assert isinstance(reply, RunListPage)
                numbers = [reply.clock_ms, reply.boot_time_ms]
                numbers += [run.run_number for run in reply.running]
                numbers += [
                    number for end in reply.ended for number in (end.sequence, end.run_number)
                ]
                assert max(map(abs, numbers)) < 2**53

        asyncio.run(scenario())


class TestAnswersOfTheStore:
    """Guard against answers of the store that fail a loop, or hide what they hold."""

    @staticmethod
    async def _append(status: int, body: bytes) -> Any:
        async with _answering(status, body) as address, Session(1) as session:
            return await KeyedLog(session, address, "keyed.x").append([("k", b"v")])

    @staticmethod
    async def _load(body: bytes) -> LogPage:
        async with _answering(200, body) as address, Session(1) as session:
            return await KeyedLog(session, address, "keyed.x").load()

    async def test_an_append_with_an_answer_too_deep_may_be_stored(self) -> None:
        assert (await self._append(200, TOO_DEEP)).outcome is Outcome.UNKNOWN

    async def test_a_refusal_with_an_answer_too_deep_is_a_refusal(self) -> None:
        result = await self._append(409, TOO_DEEP)
        assert (result.outcome, result.fenced) == (Outcome.REFUSED, False)

    async def test_a_page_too_deep_means_that_the_store_is_unavailable(self) -> None:
        with pytest.raises(StoreUnavailable):
            await self._load(TOO_DEEP)

    async def test_an_odd_item_of_a_page_does_not_hide_the_others(self) -> None:
        good = b'{"key":"w%d","value":"' + base64.b64encode(b"v") + b'","offset":0}'
        for odd in (
            b'{"key":"\xff","value":"AA==","offset":1}',
            b'{"key":"\\ud800","value":"AA==","offset":1}',
            b'{"key":"k","value":"===","offset":1}',
            b'{"key":"k","value":"\xc3\xa9","offset":1}',
            b'{"key":7,"value":"AA==","offset":1}',
            b'{"key":"k","value":null,"offset":1}',
            b"[]",
        ):
            items = b",".join((good % 0, odd, good % 1))
            page = await self._load(b'{"items":[' + items + b'],"more":false,"end":3}')
            assert {"w0", "w1"} <= {entry.key for entry in page.entries if entry.value == b"v"}

    @pytest.mark.parametrize("count", [499, 500, 501, 1_000, 1_001])
    async def test_all_keys_are_loaded_however_many_pages_they_fill(self, count: int) -> None:
        """Guards against a first page of keys that is taken for all of them."""
        stub = StoreStub()
        for number in range(count):
            stub.append(f"w{number:04}", _entry())
        async with running_store(stub) as session:
            log = KeyedLog(session, stub.address, "keyed.x")
            assert len((await log.load()).entries) == count
            assert len(await StoreDirectory(log).refresh()) == count

    async def test_a_read_that_is_full_does_not_reach_the_end_of_the_log(self) -> None:
        """Guards against a confirmed ownership, as a later claim is on the next page in bytes."""
        stub = StoreStub()
        for _ in range(3):
            stub.append("k", bytes(600_000))
        async with running_store(stub) as session:
            log = KeyedLog(session, stub.address, "keyed.x")
            offset, reached = 0, []
            while len(reached) < 2 or not reached[-1]:
                page = await log.read(offset, 0)
                offset = page.next_offset
                reached.append(page.reaches_end)
        assert offset == 3
        assert reached[:-1] == [False] * (len(reached) - 1)

    async def test_a_topic_that_is_missing_once_removes_no_worker(self) -> None:
        """Guards against workers that count as gone as a read finds no topic."""
        stub = StoreStub()
        stub.append("w0", _entry())
        async with running_store(stub) as session:
            directory = StoreDirectory(KeyedLog(session, stub.address, "keyed.x"))
            await directory.refresh()
            stub.statuses = [404]
            assert set(await directory.refresh()) == {"w0"}

    async def test_a_page_that_lacks_what_it_announces_is_no_answer(self) -> None:
        """Guards against jobs or a claim that count as missing, as an answer was cut short."""
        with pytest.raises(StoreUnavailable):
            await self._load(b'{"items":[],"more":true,"end":3}')
        for body in (b"", bytes(15)):
            async with _answering(200, body) as address, Session(1) as session:
                with pytest.raises(StoreUnavailable):
                    await KeyedLog(session, address, "keyed.x").read(3, 0)

    async def test_the_newest_records_of_a_topic_with_a_limit_are_not_kept_whole(self) -> None:
        stub = StoreStub()
        stub.append("w0", _entry())
        for number in range(20):
            stub.append(f"odd-{number}", b'{"x":"' + b"x" * 100_000 + b'"}')
        async with running_store(stub) as session:
            log = KeyedLog(session, stub.address, "keyed.x", MAX_ENTRY_BYTES)
            page = await log.load()
            assert sum(len(entry.value) for entry in page.entries) <= 21 * MAX_ENTRY_BYTES
            directory = StoreDirectory(log)
            assert set(await directory.refresh()) == {"w0"}
            stub.append("w0", _entry(padding="x" * MAX_ENTRY_BYTES))
            assert set(await directory.refresh()) == set()
            assert set(await StoreDirectory(log).refresh()) == set()

    @settings(max_examples=60)
    @given(
        odd_documents(
            {"items": [{"key": "w0", "value": "AA==", "offset": 3}], "more": False, "end": 4}
        )
    )
    def test_a_drawn_page_is_read_or_the_store_is_unavailable(self, body: bytes) -> None:
        async def scenario() -> None:
            with suppress(StoreUnavailable, TimeoutError):
                async with asyncio.timeout(0.2):  # a page that says `more` is loaded on and on
                    await self._load(body)

        asyncio.run(scenario())

    @given(st.binary(max_size=60), st.integers(0, 2**32 - 1), st.integers(0, 255))
    def test_records_of_any_length_are_parsed(self, body: bytes, length: int, key: int) -> None:
        _parse_records(bytes(16) + length.to_bytes(4, "big") + bytes((key,)) + body, 0)

    def test_a_body_too_deep_is_a_value_error(self) -> None:
        with pytest.raises(ValueError):
            decode(TOO_DEEP, dict)


class TestJobsAndRecords:
    """Guard against jobs and records that fail the request, or the loop, that handles them."""

    @settings(max_examples=300)
    @given(odd_documents(JOB))
    @example(json.dumps({**JOB, "first-run-ms": 2**64}).encode())
    @example(b'{"spec":"x","steps":[{"count":1,"target-ms":1e308}]}')
    def test_a_drawn_job_is_invalid_or_can_be_stored(self, body: bytes) -> None:
        try:
            spec = parse_job(body)
        except InvalidJob as exc:
            assert str(exc)
            return
        record = Submission("0" * 16, Queue("q", "svc"), spec, 1)
        assert decode_record(encode_record(record)) == record

    @settings(max_examples=100)
    @given(odd_documents({**JOB, "first-run-ms": 0, "repeat-count": 0, "interval-ms": 0}))
    def test_the_owner_plans_whatever_job_was_accepted(self, body: bytes) -> None:
        try:
            spec = parse_job(body)
        except InvalidJob:
            return
        harness = CellHarness("w0")
        harness.cell.add_job(Submission("1" * 16, Queue("q", "svc"), spec, 0), None, True, 0)
        harness.submit(StepSpec(1))
        assert start_orders(harness.plan())
        changes = harness.cell.collect_changes(harness.now_ms, harness.now_ms)
        for record in changes.records if changes is not None else ():
            encode_record(record)

    def test_the_forecast_of_jobs_with_the_largest_numbers_can_be_stored(self) -> None:
        largest = 2**53 - 1
        step = StepSpec(10_000, cpu_millis=largest, estimate_ms=largest, best_effort=True)
        harness = CellHarness("w0")
        harness.cell._load.sample(harness.cell.boots.values(), harness.now_ms)
        for job in ("1" * 16, "2" * 16):
            harness.submit(step, step, job=job)
        load = harness.cell._load
        load._loads["svc"] = _ServiceLoad(cpu_millis=1_000)
        load._arriving[("svc", 0, 1)] = 1e30
        services = tuple(load._forecast_services({"svc"}, harness.now_ms))
        assert services[0].queues and services[0].bands
        encode_record(Forecast(1, services))

    @settings(max_examples=300)
    @given(st.data())
    def test_a_drawn_record_is_decoded_or_passed_over(self, data: st.DataObject) -> None:
        record = data.draw(st.sampled_from(RECORDS))
        value = bytearray(encode_record(record))
        for _ in range(data.draw(st.integers(0, 3))):
            at = data.draw(st.integers(0, len(value)))
            odd = data.draw(
                st.binary(max_size=6) | st.just(b"\x91" * LEVELS) | st.just(b"\xcf" + b"\xff" * 8)
            )
            value[at : at + data.draw(st.integers(0, 3))] = odd
        ledger = Ledger()
        ledger.apply(LogEntry(0, key_of(record), bytes(value)))
        good = make_submission("2" * 16)
        ledger.apply(LogEntry(1, key_of(good), encode_record(good)))
        assert ledger.jobs["2" * 16].is_submitted
        try:
            decode_record(bytes(value))
        except RecordError:
            assert ledger.unreadable_count or not value


class _EncodingInstance:
    """The part of an entry instance that handles a POST: it encodes the record."""

    config = CONFIG
    retry_after_s = 1

    def find_route(self, host: str, path: str) -> RouteRule | None:
        return next((rule for rule in CONFIG.routes if path.startswith(rule.path_prefix)), None)

    async def find_refusal(self, job_id: str, queue: Queue, spec: JobSpec) -> None:
        return None

    async def submit(self, job_id: str, queue: Queue, spec: JobSpec, timeout_ms: int) -> Outcome:
        encode_record(Submission(job_id, queue, spec, 1))
        return Outcome.DONE


class TestFrontend:
    """Guard against bodies of callers that fail the request instead of being refused."""

    @settings(max_examples=60)
    @given(odd_documents(JOB))
    @example(json.dumps({**JOB, "first-run-ms": 2**64}).encode())
    @example(b'{"x":' + TOO_DEEP + b"}")
    def test_a_drawn_body_is_stored_or_refused(self, body: bytes) -> None:
        async def scenario() -> int:
            frontend = Frontend(_EncodingInstance(), Metrics())  # type: ignore[arg-type]
            runner = web.ServerRunner(web.Server(frontend.handle))
            await runner.setup()
            await web.TCPSite(runner, "127.0.0.1", 0).start()
            host, port = runner.addresses[0][:2]
            url = f"http://{host}:{port}/wide/{'a' * 16}"
            try:
                async with Session(1) as session, session.post(url, data=body) as resp:
                    return resp.status
            finally:
                await runner.cleanup()

        assert asyncio.run(scenario()) in (200, 400, 413)


class TestOperatorRecords:
    """Guard against operators' records that stop the instance from following later ones."""

    @settings(max_examples=200)
    @given(odd_documents(MANIFEST_WITH_ADVICE))
    @example(json.dumps({**MANIFEST, "routes": [{**ROUTE, "priority": 2**64}]}).encode())
    @example(
        json.dumps({**MANIFEST, "routes": [{**ROUTE, "advice": {"decision-ms": 1e308}}]}).encode()
    )
    def test_a_drawn_manifest_is_refused_or_its_queues_can_be_stored(self, value: bytes) -> None:
        config = ManifestParser().parse(value)
        for queue in config.queues.values() if config is not None else ():
            encode_record(Submission("0" * 16, queue, JobSpec("p", (StepSpec(1),)), 1))
            assert math.isfinite(objective_of(queue, 2**60))

    @settings(max_examples=60)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["config", "evacuate/z1", "evacuate/", "evacuate/\0", "", "x"]),
                odd_documents(MANIFEST_WITH_ADVICE),
            ),
            max_size=4,
        )
    )
    def test_odd_records_do_not_hide_an_order_or_a_later_manifest(
        self, odd: list[tuple[str, bytes]]
    ) -> None:
        newer = json.dumps({**MANIFEST, "version": 9}).encode()
        pages = (_page(*odd), _page(("evacuate/z2", b"\xff"), ("config", newer), start=len(odd)))

        async def scenario() -> None:
            source = ManifestSource(_FakeLog(*pages))  # type: ignore[arg-type]
            seen = [await source.next() for _ in range(8)]
            configs = [u for u in seen if isinstance(u, Configuration)]
            orders = [u for u in seen if isinstance(u, Evacuations)]
            assert configs[-1].version == 9
            assert "z2" in orders[-1].domains

        asyncio.run(scenario())


class TestAdvice:
    """Guard against answers of the advice service that fail the order instead of being refused."""

    @settings(max_examples=60)
    @given(odd_documents({"allowed": [["w0", "t0"], ["w1", "t1"]], "validity-ms": 3_000}))
    @example(TOO_DEEP)
    def test_a_drawn_answer_is_read_or_the_service_is_unavailable(self, body: bytes) -> None:
        async def scenario() -> None:
            async with _answering(200, body) as address, Session(1) as session:
                with suppress(AdviceUnavailable):
                    await HttpAdvice(session, address).request_permits("j", 0, 0, ["w0"], 2.0)

        asyncio.run(scenario())


def test_the_entry_of_these_tests_is_a_worker() -> None:
    assert parse_worker("i-1", _entry()) is not None
    assert make_worker_info("w0").address == ENTRY["address"]
