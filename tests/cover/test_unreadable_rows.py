"""Rows of a worker's list of runs, and of its list of ends, that can't be read.

Each may cost its own run, but neither the other runs of the worker nor an outcome.
"""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import logbook
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from greengagewood.internal.cells.runner import Ports
from greengagewood.internal.entry import EntryInstance
from greengagewood.internal.jobs.records import (
    Cancellation,
    TaskId,
    encode_record,
)
from greengagewood.internal.metrics import Metrics
from greengagewood.internal.ports import (
    UNKNOWN_RESULT,
    AllEndsReply,
    LeaseReply,
    OrderReply,
    RunListPage,
    WorkerCallFailed,
    WorkerInfo,
)
from greengagewood.platform.runlists import END_RETRY_MS, _cut_nesting, format_task_name
from greengagewood.platform.workers import HttpWorkers
from tests.common.drive import (
    CellSimulation,
    long_running_job,
    run_simulation,
    short_job,
)
from tests.common.drive import settings as entry_settings
from tests.common.plant import SimConfigSource, SimWorkerLink
from tests.cover.test_odd_entries import LEVELS, _worker_at, odd_documents

NAME = "0000000000000000.0.1"
ROW = [f"{NAME}.17", 2, "c", 41, 24.0]
END = [58, f"{NAME}.9", 1, "done", ""]
SOUND_ROW = [f"{NAME}.3", 1, "s", 12, 500.0]
SOUND_END = [59, f"{NAME}.4", 1, "done", "t"]
DEEP = "[" * LEVELS + "]" * LEVELS
LONG = "9" * 5_000
# Rows in which the task and the number of the run can be read, and rows in which they can't.
PARTLY_READABLE_ROWS = {
    "too few": f'["{NAME}.17", 2]',
    "too many": f'["{NAME}.17", 2, "c", 41, 24.0, 1, 2]',
    "checkpoint of another type": f'["{NAME}.17", 2, 7, 41, 24.0]',
    "percent of another type": f'["{NAME}.17", 2, "c", "41", 24.0]',
    "percent out of range": f'["{NAME}.17", 2, "c", 1e300, 24.0]',
    "load beyond 64 bits": f'["{NAME}.17", 2, "c", 41, {2**64}]',
    "load of 5,000 digits": f'["{NAME}.17", 2, "c", 41, {LONG}]',
    "load that is infinite": f'["{NAME}.17", 2, "c", 41, 1e999]',
    "lone surrogate": f'["{NAME}.17", 2, "\\ud800", 41, 24.0]',
    "no UTF-8": f'["{NAME}.17", 2, "\udcff", 41, 24.0]',
    "deep": f'["{NAME}.17", 2, "c", 41, {DEEP}]',
}
UNREADABLE_ROWS = {
    "null": "null",
    "number": "7",
    "text": '"row"',
    "object": "{}",
    "empty": "[]",
    "deep row": DEEP,
    "name of another type": '[5, 2, "c", 41, 24.0]',
    "name that is no task": '["hello", 2, "c", 41, 24.0]',
    "name with too few parts": '["0000000000000000.0.1", 2, "c", 41, 24.0]',
    "name with a negative number": '["0000000000000000.0.-1.17", 2, "c", 41, 24.0]',
    "name with a superscript": f'["{NAME}.\N{SUPERSCRIPT TWO}", 2, "c", 41, 24.0]',
    "name with a number beyond 64 bits": f'["{NAME}.{2**70}", 2, "c", 41, 24.0]',
    "name of 70,000 letters": f'["{"a" * 70_000}.0.1.17", 2, "c", 41, 24.0]',
    "surrogate in the name": '["\\udfff.0.1.17", 2, "c", 41, 24.0]',
    "run of another type": f'["{NAME}.17", "2", "c", 41, 24.0]',
    "run of zero": f'["{NAME}.17", 0, "c", 41, 24.0]',
    "run beyond 64 bits": f'["{NAME}.17", {2**64}, "c", 41, 24.0]',
    "run of 5,000 digits": f'["{NAME}.17", {LONG}, "c", 41, 24.0]',
}
UNREADABLE_ENDS = {
    **{name: UNREADABLE_ROWS[name] for name in ("null", "number", "object", "empty", "deep row")},
    "number of another type": f'["58", "{NAME}.9", 1, "done", ""]',
    "number beyond 64 bits": f'[{2**64}, "{NAME}.9", 1, "done", ""]',
    "negative number": f'[-1, "{NAME}.9", 1, "done", ""]',
    "name that is no task": '[58, "hello", 1, "done", ""]',
    "run beyond 64 bits": f'[58, "{NAME}.9", {2**64}, "done", ""]',
    "result of another type": f'[58, "{NAME}.9", 1, 7, ""]',
    "too few": f'[58, "{NAME}.9", 1]',
    "surrogate in the result": f'[58, "{NAME}.9", 1, "\\ud800", ""]',
}


def _body(running: str, finished: str, **others: object) -> bytes:
    fields = {"clock-ms": 482_113, "born": 1, **others}
    texts = [f"{json.dumps(k)}:{json.dumps(v)}" for k, v in fields.items()]
    text = "{" + ",".join([*texts, f'"running":{running}', f'"finished":{finished}']) + "}"
    return text.encode("utf-8", "surrogateescape")


def _list(*rows: object) -> str:
    return "[" + ",".join(row if isinstance(row, str) else json.dumps(row) for row in rows) + "]"


class _AnsweringWorkers(HttpWorkers):
    """The client, with answers that are given instead of those of a worker."""

    def __init__(self) -> None:
        super().__init__(None)  # type: ignore[arg-type]
        self.body = b""

    async def _post(self, *args: Any) -> tuple[int, bytes]:
        return 200, self.body

    async def read(self, body: bytes) -> RunListPage:
        """Return the reply that an answer is read as."""
        self.body = body
        reply = await self.extend_lease(_worker_at("127.0.0.1:1"), 5, 1, 0, 0)
        assert isinstance(reply, RunListPage)
        return reply

    def pass_time(self, duration_ms: int) -> None:
        """Let the rows seen so far have been seen earlier."""
        noted = self._run_lists._noted
        noted.update({key: first_ms - duration_ms for key, first_ms in noted.items()})


async def _read(running: str, finished: str = "[]", **others: object) -> RunListPage:
    return await _AnsweringWorkers().read(_body(running, finished, **others))


def _runs(reply: RunListPage) -> list[tuple[str, int]]:
    return [(format_task_name(run.task_id), run.run_number) for run in reply.running]


class TestRowsOfRuns:
    """Guard against a row that hides the other runs of its worker."""

    @pytest.mark.parametrize("row", UNREADABLE_ROWS.values(), ids=UNREADABLE_ROWS)
    async def test_a_row_without_task_or_run_costs_itself_alone(self, row: str) -> None:
        for running in (_list(row, SOUND_ROW), _list(SOUND_ROW, row), _list(row, SOUND_ROW, row)):
            reply = await _read(running, _list(SOUND_END))
            assert _runs(reply) == [(f"{NAME}.3", 1)]
            assert [end.sequence for end in reply.ended] == [59]
            assert (reply.clock_ms, reply.boot_time_ms) == (482_113, 1)

    @pytest.mark.parametrize("row", PARTLY_READABLE_ROWS.values(), ids=PARTLY_READABLE_ROWS)
    async def test_a_run_is_listed_if_its_task_and_number_are_readable(self, row: str) -> None:
        reply = await _read(_list(row, SOUND_ROW))
        assert _runs(reply) == [(f"{NAME}.17", 2), (f"{NAME}.3", 1)]

    async def test_a_list_that_is_none_leaves_the_ends(self) -> None:
        for running in ("null", "7", "{}", '"text"', DEEP):
            reply = await _read(running, _list(SOUND_END))
            assert [end.sequence for end in reply.ended] == [59]

    async def test_an_answer_without_clock_boot_or_any_list_is_a_failed_call(self) -> None:
        for body in (
            _body("null", "{}"),
            _body("[]", "[]", **{"clock-ms": "5"}),
            _body("[]", "[]", born=2**64),
            _body("[]", "[]", born=None),
            b"[]",
            b"{",
            b"\xff",
            DEEP.encode(),
        ):
            with pytest.raises(WorkerCallFailed):
                await _AnsweringWorkers().read(body)


class TestRowsOfEnds:
    """Guard against an end that hides the other ends, or is acknowledged at first sight."""

    @pytest.mark.parametrize("end", UNREADABLE_ENDS.values(), ids=UNREADABLE_ENDS)
    async def test_an_end_costs_itself_alone(self, end: str) -> None:
        workers = _AnsweringWorkers()
        body = _body(_list(SOUND_ROW), _list([57, *SOUND_END[1:]], end, SOUND_END))
        reply = await workers.read(body)
        assert _runs(reply) == [(f"{NAME}.3", 1)]
        assert ([e.sequence for e in reply.ended], isinstance(reply, LeaseReply)) == ([57], False)
        workers.pass_time(END_RETRY_MS)
        reply = await workers.read(body)
        known = [(e.sequence, e.result) for e in reply.ended if e.result != UNKNOWN_RESULT]
        assert (known, isinstance(reply, LeaseReply)) == ([(57, "done"), (59, "done")], True)

    async def test_an_end_that_becomes_readable_is_read(self) -> None:
        workers = _AnsweringWorkers()
        reply = await workers.read(_body("[]", _list(UNREADABLE_ENDS["too few"], SOUND_END)))
        assert reply.ended == ()
        reply = await workers.read(_body("[]", _list(END, SOUND_END)))
        assert [(e.sequence, e.result) for e in reply.ended] == [(58, "done"), (59, "done")]
        assert isinstance(reply, LeaseReply)

    async def test_an_end_with_an_outcome_is_not_withheld(self) -> None:
        for row in (
            f'[58, "{NAME}.9", 1, "done"]',
            f'[58, "{NAME}.9", 1, "done", 7]',
            f'[58, "{NAME}.9", 1, "done", "\\ud800"]',
            f'[58, "{NAME}.9", 1, "done", "", 7]',
            f'[58, "{NAME}.9", 1, "done", {DEEP}]',
        ):
            reply = await _read("[]", _list(row, SOUND_END))
            assert [(e.sequence, e.result) for e in reply.ended] == [(58, "done"), (59, "done")]
            assert isinstance(reply, LeaseReply)

    async def test_many_unreadable_ends_wait_together(self) -> None:
        workers = _AnsweringWorkers()
        rows = [f'[{n}, "{NAME}.{n}", 1, {{}}, ""]' for n in range(1, 501)]
        body = _body("[]", _list(*rows))
        assert (await workers.read(body)).ended == ()
        workers.pass_time(END_RETRY_MS)
        reply = await workers.read(body)
        assert [e.sequence for e in reply.ended] == list(range(1, 501))

    @pytest.mark.parametrize("odd_row", ["", '[1, "x"]'], ids=["sound", "with an odd row"])
    async def test_a_list_with_as_many_ends_as_a_worker_lists_may_lack_others(
        self, odd_row: str
    ) -> None:
        """Guards against a run that counts as lost as its end is not listed yet."""
        for count, may_lack_ends in ((499, False), (500, True), (501, True)):
            ends = [[n, f"{NAME}.{n}", 1, "done", ""] for n in range(1, count + 1)]
            runs = [odd_row] if odd_row else []
            reply = await _read(_list(SOUND_ROW, *runs), _list(*ends))
            assert len(reply.ended) == count
            assert isinstance(reply, AllEndsReply) is not may_lack_ends
            assert isinstance(reply, LeaseReply) is (not may_lack_ends and not odd_row)

    async def test_an_answer_without_a_list_of_ends_is_never_complete(self) -> None:
        """Guards against a run that counts as lost as its end can't be read."""
        workers = _AnsweringWorkers()
        body = _body(_list(SOUND_ROW), "null")
        assert not isinstance(await workers.read(body), AllEndsReply)
        workers.pass_time(END_RETRY_MS)
        reply = await workers.read(body)
        assert isinstance(reply, AllEndsReply) and not isinstance(reply, LeaseReply)

    async def test_unreadable_ends_count_to_what_a_worker_lists(self) -> None:
        """Guards against a full list that seems shorter, as some of its ends can't be read."""
        workers = _AnsweringWorkers()
        for count, may_lack_ends in ((499, False), (500, True), (501, True)):
            body = _body("[]", _list(*("[58]" for _ in range(count))))
            assert not isinstance(await workers.read(body), AllEndsReply)
            workers.pass_time(END_RETRY_MS)
            reply = await workers.read(body)
            assert isinstance(reply, LeaseReply) is not may_lack_ends
            workers._run_lists._noted.clear()

    async def test_the_ends_of_a_later_boot_wait_anew(self) -> None:
        workers = _AnsweringWorkers()
        for born in (1, 2):
            reply = await workers.read(_body("[]", _list("[58]"), born=born))
            assert (reply.ended, isinstance(reply, LeaseReply)) == ((), False)
            workers.pass_time(END_RETRY_MS)


class TestReports:
    """Guard against rows that are not reported, or again with each list."""

    @staticmethod
    async def _lines(bodies: list[bytes]) -> list[dict[str, Any]]:
        workers = _AnsweringWorkers()
        with logbook.TestHandler() as handler:
            for body in bodies:
                await workers.read(body)
        return [r.extra for r in handler.records if r.message == "row_unreadable"]

    async def test_a_row_is_reported_once_a_worker(self) -> None:
        for row in UNREADABLE_ROWS.values():
            (line,) = await self._lines([_body(_list(SOUND_ROW, row), "[]")] * 5)
            assert (line["worker"], line["list"]) == ("w", "running")
            assert len(line["row"]) <= 100 and 0 < len(line["error"]) <= 100
        for end in UNREADABLE_ENDS.values():
            (line,) = await self._lines([_body("[]", _list(end))] * 5)
            assert (line["worker"], line["list"]) == ("w", "finished")

    async def test_a_row_whose_run_is_named_is_reported_once_though_it_changes(self) -> None:
        rows = [[f"{NAME}.17", 2, "c", percent, -1] for percent in range(50)]
        assert len(await self._lines([_body(_list(row), "[]") for row in rows])) == 1

    async def test_the_memory_of_reported_rows_is_bounded(self) -> None:
        workers = _AnsweringWorkers()
        for n in range(3):
            rows = [f'["{"x" * 2_000}{n} {number}"]' for number in range(1_500)]
            await workers.read(_body(_list(*rows), "[]"))
        noted = workers._run_lists._noted
        assert len(noted) <= 2_000
        assert max(len(text) for key in noted for text in key) <= 300


class TestDrawnAnswers:
    """Guard against rows near the page's shapes, or far from them, that hide sound ones."""

    @settings(max_examples=300)
    @given(odd_documents(ROW), odd_documents(END), st.booleans())
    def test_drawn_rows_hide_no_sound_ones(self, run: bytes, end: bytes, as_text: bool) -> None:
        rows = [value.decode("utf-8", "surrogateescape") for value in (run, end)]
        if as_text or not all(map(_is_json, rows)):  # else no row can be told from the others
            rows = [json.dumps(row[:200]) for row in rows]
        body = _body(_list(SOUND_ROW, rows[0]), _list([57, *SOUND_END[1:]], rows[1], SOUND_END))
        workers = _AnsweringWorkers()
        for sequences in ({57}, {57, 59}):
            reply = asyncio.run(workers.read(body))
            assert (f"{NAME}.3", 1) in _runs(reply)
            assert {e.sequence for e in reply.ended} >= sequences
            numbers = [run.run_number for run in reply.running]
            numbers += [n for e in reply.ended for n in (e.sequence, e.run_number)]
            assert max(numbers) < 2**53 and min(numbers) >= 0
            assert isinstance(reply, LeaseReply) or len(_runs(reply)) == 1 or len(sequences) == 1
            workers.pass_time(END_RETRY_MS)

    @settings(max_examples=200)
    @given(odd_documents({"clock-ms": 482_113, "born": 1, "running": [ROW], "finished": [END]}))
    def test_a_drawn_answer_is_read_or_a_failed_call(self, body: bytes) -> None:
        async def scenario() -> None:
            try:
                reply = await _AnsweringWorkers().read(body)
            except WorkerCallFailed:
                return
            assert abs(reply.clock_ms) < 2**53 and abs(reply.boot_time_ms) < 2**53
            for run in reply.running:
                encode_record(Cancellation(run.task_id.job_id))
                assert 0 <= run.progress_percent <= 100
                assert 0 <= run.tail_ms_or_cpu_millis <= 10**9

        asyncio.run(scenario())


def _is_json(text: str) -> bool:
    """Return whether the text is one JSON value of any depth."""
    try:
        json.loads(_cut_nesting(text))
    except ValueError:
        return False
    return True


@dataclass
class _OddWorkerLink(SimWorkerLink):
    """The simulated workers, whose lists are read from JSON with odd rows among the others."""

    odd_rows: dict[str, str] = field(default_factory=dict)  # by worker
    odd_tasks: dict[TaskId, str] = field(default_factory=dict)  # their rows and ends are this

    def __post_init__(self) -> None:
        self._client = _AnsweringWorkers()

    async def extend_lease(self, worker_info: WorkerInfo, *args: Any) -> RunListPage | OrderReply:
        reply = await super().extend_lease(worker_info, *args)
        if isinstance(reply, OrderReply):
            return reply
        rows: list[object] = [
            self.odd_tasks.get(r.task_id)
            or [format_task_name(r.task_id), r.run_number, r.checkpoint, r.progress_percent, 5]
            for r in reply.running
        ]
        ends = [
            (
                f"[{e.sequence}, {self.odd_tasks[e.task_id]}]"
                if e.task_id in self.odd_tasks
                else [e.sequence, format_task_name(e.task_id), e.run_number, e.result, ""]
            )
            for e in reply.ended
        ]
        if worker_info.worker_id in self.odd_rows:
            rows.insert(len(rows) // 2, self.odd_rows[worker_info.worker_id])
        self._client.body = _body(
            _list(*rows),
            _list(*ends),
            **{"clock-ms": reply.clock_ms, "born": reply.boot_time_ms},
        )
        return await self._client.extend_lease(worker_info, 5, 1, 0, 0)


@dataclass
class _OddSimulation(CellSimulation):
    """A cell some of whose workers list odd rows."""

    odd_rows: dict[str, str] = field(default_factory=dict)
    odd_tasks: dict[TaskId, str] = field(default_factory=dict)

    def start_instance(self, name: str) -> None:
        link = _OddWorkerLink(self.platform, name, self.odd_rows, self.odd_tasks)
        ports = Ports(self.platform.store.client(name), self.make_directory(name), link, None)
        source = SimConfigSource(self.platform, name)
        self.instances[name] = EntryInstance(entry_settings(name), ports, source, Metrics())
        self.instances[name].start()


class TestWorkersWithOddRows:
    """Guard against a worker whose sound runs lapse as one row of its list can't be read."""

    @pytest.mark.parametrize("row", ["null", '["hello", 2]', DEEP])
    def test_the_runs_of_a_worker_with_an_odd_row_go_on(self, row: str) -> None:
        odd_rows: dict[str, str] = {}
        jobs = {f"{n:016x}" for n in range(12)}

        async def script(sim: CellSimulation) -> None:
            await sim.submit("f" * 16, "serve", long_running_job())
            await asyncio.sleep(5)
            before = {name: dict(w.runs) for name, w in sim.platform.workers.items()}
            assert sum(map(len, before.values())) == 3
            odd_rows.update(dict.fromkeys(before, row))
            await asyncio.sleep(15)
            assert {n: dict(w.runs) for n, w in sim.platform.workers.items()} == before
            for job in sorted(jobs):
                await sim.submit(job, "fast", short_job())
            assert await sim.wait_until_ended(jobs, 30.0) == set()
            assert sim.platform.violations == []

        with logbook.TestHandler() as handler:
            run_simulation(_OddSimulation(3, odd_rows=odd_rows), script)
        events = Counter(record.message for record in handler.records)
        assert events["worker_silent"] == 0
        assert events["task_failed"] == 0

    @pytest.mark.parametrize("change_owner", [False, True])
    def test_a_run_behind_an_odd_row_is_not_started_twice(self, change_owner: bool) -> None:
        odd_tasks: dict[TaskId, str] = {}

        async def script(sim: CellSimulation) -> None:
            await sim.submit("f" * 16, "serve", long_running_job())
            await asyncio.sleep(5)
            before = {name: dict(w.runs) for name, w in sim.platform.workers.items()}
            task = TaskId("f" * 16, 0, 0, 1)
            odd_tasks[task] = "null"
            if change_owner:
                owner = sim.owner()
                assert owner is not None
                await sim.kill_instance(owner)
                await asyncio.sleep(5)  # its runs have leases for longer
                assert {n: dict(w.runs) for n, w in sim.platform.workers.items()} == before
                await asyncio.sleep(25)
            else:
                await asyncio.sleep(3)
                del odd_tasks[task]
                await asyncio.sleep(10)
                assert {n: dict(w.runs) for n, w in sim.platform.workers.items()} == before
            running = [task for w in sim.platform.workers.values() for task in w.runs]
            assert sorted(task.number for task in running) == [0, 1, 2]
            assert sim.platform.violations == []

        run_simulation(_OddSimulation(3, odd_tasks=odd_tasks), script)

    def test_a_task_whose_end_is_odd_delays_no_other(self) -> None:
        odd_tasks = {TaskId(f"{n:016x}", 0, 0, 1): "{}" for n in (3, 7)}
        jobs = {f"{n:016x}" for n in range(12)}

        async def script(sim: CellSimulation) -> None:
            for job in sorted(jobs):
                await sim.submit(job, "fast", short_job())
            sound = {job for job in jobs if TaskId(job, 0, 0, 1) not in odd_tasks}
            assert await sim.wait_until_ended(sound, 12.0) == set()
            odd_tasks.clear()
            assert await sim.wait_until_ended(jobs, 30.0) == set()
            assert all(not worker.ends for worker in sim.platform.workers.values())

        run_simulation(_OddSimulation(3, odd_tasks=odd_tasks), script)
