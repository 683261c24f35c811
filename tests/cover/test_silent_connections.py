"""Open connections that go silent without a reset, while new ones work."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from greengagewood.internal.ports import LeaseReply, WorkerCallFailed
from greengagewood.platform.wire import new_session
from greengagewood.platform.workers import HttpWorkers
from tests.common.desk import make_worker_info

LIST = b'{"clock-ms":1,"running":[],"finished":[]}'
CONNECTION_COUNT = 5


class _Server:
    """Answer requests, and leave them without an answer on connections that were silenced."""

    def __init__(self, answer: bytes) -> None:
        self.answer = answer
        self.accepted = 0
        self.silent: set[int] = set()  # connections, by the order in which they were accepted
        self.silences_next = False  # whether the connection of the next request becomes silent
        self.held = 0  # requests that wait until CONNECTION_COUNT are there
        self.all_held = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        number = self.accepted
        self.accepted += 1
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                length = next(
                    int(line.split(b":")[1])
                    for line in head.splitlines()
                    if line.lower().startswith(b"content-length")
                )
                await reader.readexactly(length)
                self.held += 1
                if self.held >= CONNECTION_COUNT:
                    self.all_held.set()
                await self.all_held.wait()
                if self.silences_next:
                    self.silences_next = False
                    self.silent.add(number)
                if number not in self.silent:
                    writer.write(
                        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(self.answer)
                    )
                    writer.write(self.answer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


class _Setting:
    """A worker to which some connections are open."""

    def __init__(self) -> None:
        self.server = _Server(LIST)
        self.worker = make_worker_info("w0")

    async def __aenter__(self) -> _Setting:
        self.listener = await asyncio.start_server(self.server.serve, "127.0.0.1", 0)
        port = self.listener.sockets[0].getsockname()[1]
        self.worker = replace(self.worker, address=f"127.0.0.1:{port}")
        self.session = new_session(12)
        self.link = HttpWorkers(self.session)
        await asyncio.gather(*(self.call() for _ in range(CONNECTION_COUNT)))
        assert self.server.accepted == CONNECTION_COUNT
        return self

    async def __aexit__(self, *args: object) -> None:
        await self.session.close()
        self.listener.close()

    async def call(self) -> bool:
        """Extend the lease; return whether the worker has answered."""
        try:
            reply = await self.link.extend_lease(self.worker, None, 1, 0, 0)
        except WorkerCallFailed:
            return False
        return isinstance(reply, LeaseReply)


async def test_one_call_finds_that_the_connections_to_a_worker_are_silent() -> None:
    """Guards against a lease that lapses, and stops that are not sent, while each is tried."""
    async with _Setting() as setting:
        await asyncio.sleep(0.6)
        setting.server.silent = set(range(CONNECTION_COUNT))
        assert not await setting.call()
        assert await setting.call()


async def test_connections_that_have_just_answered_stay_open() -> None:
    """Guards against new connections, which are priced, after each order without an answer."""
    async with _Setting() as setting:
        setting.server.silences_next = True
        unanswered = asyncio.create_task(setting.call())
        await asyncio.sleep(0.8)
        for _ in range(CONNECTION_COUNT - 1):
            assert await setting.call()
        assert not await unanswered
        for _ in range(2 * CONNECTION_COUNT):
            assert await setting.call()
        assert setting.server.accepted == CONNECTION_COUNT
