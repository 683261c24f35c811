"""Test that an idle connection is closed, but not while a request waits in its socket.

A gateway whose event loop was busy at the idle limit reset connections on which requests had
already arrived. On a busy machine this broke tests that use a connection again after a second.
"""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager

import pytest
import uvloop
from aiohttp import web

from greengagewood.internal.connections import ConnectionGuard
from greengagewood.internal.metrics import Metrics

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
IDLE_LIMIT_MS = 100
ANSWER_TIMEOUT_S = 5.0


@asynccontextmanager
async def _idle_connection() -> AsyncIterator[tuple[ConnectionGuard, web.Server, socket.socket]]:
    """Open a connection on which one request was answered."""
    guard = ConnectionGuard(Metrics(), IDLE_LIMIT_MS)

    async def handle(req: web.BaseRequest) -> web.StreamResponse:
        transport = req.transport
        guard.request_started(transport)
        await asyncio.sleep(0.01)
        guard.request_finished(transport)
        return web.Response(text="ok")

    server = web.Server(handle, access_log=None)
    runner = web.ServerRunner(server)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    connection = socket.create_connection(runner.addresses[0])
    try:
        connection.sendall(REQUEST)
        assert await _status(connection) == b"200"
        yield guard, server, connection
    finally:
        connection.close()
        await runner.cleanup()


async def _status(connection: socket.socket) -> bytes:
    """Return the status of the answer, or nothing if the connection was closed without one."""
    connection.setblocking(False)
    try:
        answer = await asyncio.wait_for(
            asyncio.get_running_loop().sock_recv(connection, 4096), ANSWER_TIMEOUT_S
        )
    except ConnectionError:
        return b""
    return answer[9:12]


def _block_event_loop() -> None:
    """Let connections exceed the idle limit while the event loop reads nothing."""
    time.sleep(2 * IDLE_LIMIT_MS / 1000)


@pytest.fixture(params=[asyncio.new_event_loop, uvloop.new_event_loop], ids=["asyncio", "uvloop"])
def run(request: pytest.FixtureRequest) -> Callable[[Coroutine[None, None, None]], None]:
    """Return a function that runs a test on an event loop."""

    def run_test(test: Coroutine[None, None, None]) -> None:
        with asyncio.Runner(loop_factory=request.param) as runner:
            runner.run(test)

    return run_test


class TestIdleConnections:
    """Test connections that have been idle for longer than the limit."""

    def test_a_request_that_arrived_while_the_event_loop_was_busy_is_answered(self, run) -> None:
        async def test() -> None:
            async with _idle_connection() as (guard, server, connection):
                _block_event_loop()
                connection.sendall(REQUEST)
                await guard.enforce_limits(server)
                assert await _status(connection) == b"200"

        run(test())

    @pytest.mark.parametrize("sent", [b"", REQUEST[:-2]], ids=["nothing", "an incomplete head"])
    def test_a_connection_without_a_complete_request_is_closed(self, run, sent) -> None:
        async def test() -> None:
            async with _idle_connection() as (guard, server, connection):
                _block_event_loop()
                connection.sendall(sent)
                await guard.enforce_limits(server)
                assert await _status(connection) == b""

        run(test())
