"""Open connections that go silent without a reset, while new ones work."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace

import pytest

from greengagewood.internal.jobs.records import TaskId
from greengagewood.internal.ports import Outcome, StoreUnavailable, WorkerCallFailed
from greengagewood.platform import store, workers
from greengagewood.platform.store import KeyedLog
from greengagewood.platform.wire import Session
from greengagewood.platform.workers import HttpWorkers
from tests.common.desk import make_worker_info

CONNECTION_COUNT = 8
CALL_TIMEOUT_S = 0.1
TASK = TaskId("0" * 16, 0, 0, 0)


@dataclass
class _Server:
    """Answers requests with one body, except on connections that were silenced."""

    body: bytes
    address: str = ""
    open: set[asyncio.StreamWriter] = field(default_factory=set)
    silent: set[asyncio.StreamWriter] = field(default_factory=set)
    gathered: asyncio.Event = field(default_factory=asyncio.Event)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open.add(writer)
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                length = next(
                    (
                        int(line.split(b":")[1])
                        for line in head.lower().split(b"\r\n")
                        if line.startswith(b"content-length")
                    ),
                    0,
                )
                await reader.readexactly(length)
                if len(self.open) >= CONNECTION_COUNT:
                    self.gathered.set()
                await self.gathered.wait()  # so that the first calls need a connection each
                if writer not in self.silent:
                    writer.write(
                        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(self.body)
                        + self.body
                    )
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.open.discard(writer)
            writer.close()

    def silence(self) -> None:
        """Answer nothing more on the connections that are open now."""
        self.silent |= self.open


@asynccontextmanager
async def _serving(body: bytes) -> AsyncIterator[_Server]:
    server = _Server(body)
    listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
    server.address = f"127.0.0.1:{listener.sockets[0].getsockname()[1]}"
    yield server
    listener.close()


async def _count_failures(
    server: _Server, call: Callable[[], Awaitable[object]], error: type[Exception]
) -> int:
    """Let several connections go silent; return how often a call then fails before it succeeds."""
    await asyncio.gather(*(call() for _ in range(CONNECTION_COUNT)))
    assert len(server.open - server.silent) == CONNECTION_COUNT
    server.silence()
    for failure_count in range(CONNECTION_COUNT + 1):
        try:
            await call()
        except error:
            continue
        return failure_count
    raise AssertionError("the call never succeeds")


class TestSilentConnections:
    """After one call without an answer, the next one uses a connection that is certainly new."""

    async def test_one_stop_is_lost_at_most(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against a run that goes on, as each stop is sent on another silent connection."""
        monkeypatch.setattr(workers, "ORDER_TIMEOUT_S", CALL_TIMEOUT_S)
        async with _serving(b'{"clock-ms":1}') as server, Session(CONNECTION_COUNT) as session:
            link = HttpWorkers(session)
            info = replace(make_worker_info("w"), address=server.address)
            failures = await _count_failures(
                server, lambda: link.stop(info, TASK, 1, 1), WorkerCallFailed
            )
        assert failures == 1

    async def test_connections_that_go_silent_again_soon_cost_one_stop_again(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a remedy that an order without an answer has used up shortly before."""
        monkeypatch.setattr(workers, "ORDER_TIMEOUT_S", CALL_TIMEOUT_S)
        async with _serving(b'{"clock-ms":1}') as server, Session(CONNECTION_COUNT) as session:
            link = HttpWorkers(session)
            info = replace(make_worker_info("w"), address=server.address)
            failures = [
                await _count_failures(server, lambda: link.stop(info, TASK, 1, 1), WorkerCallFailed)
                for _ in range(3)
            ]
        assert failures == [1, 1, 1]

    async def test_one_read_of_the_log_is_lost_at_most(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against an owner that nothing confirms for long after the store is back."""
        monkeypatch.setattr(store, "READ_SILENCE_MARGIN_S", CALL_TIMEOUT_S)
        async with _serving(bytes(16)) as server, Session(CONNECTION_COUNT) as session:
            log = KeyedLog(session, server.address, "keyed.a")
            failures = await _count_failures(server, lambda: log.read(0, 0), StoreUnavailable)
        assert failures == 1

    async def test_one_append_is_lost_at_most(self, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(store, "APPEND_TIMEOUT_S", CALL_TIMEOUT_S)

        async def append() -> None:
            if (await log.append([("k", b"v")])).outcome is not Outcome.DONE:
                raise StoreUnavailable

        async with _serving(b'{"offset":0}') as server, Session(CONNECTION_COUNT) as session:
            log = KeyedLog(session, server.address, "keyed.a")
            assert await _count_failures(server, append, StoreUnavailable) == 1

    async def test_a_server_that_was_silent_gets_its_usual_connections_back(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against idle connections that are opened anew for each call."""
        monkeypatch.setattr(workers, "ORDER_TIMEOUT_S", CALL_TIMEOUT_S)
        async with _serving(b'{"clock-ms":1}') as server, Session(CONNECTION_COUNT) as session:
            link = HttpWorkers(session)
            info = replace(make_worker_info("w"), address=server.address)
            await _count_failures(server, lambda: link.stop(info, TASK, 1, 1), WorkerCallFailed)
            opened = server.open - server.silent
            for _ in range(5):
                await link.stop(info, TASK, 1, 1)
            assert server.open - server.silent == opened
            assert len(opened) == 1
