"""A stop cuts off no request, whatever stage its connection has reached."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import uvloop
from aiohttp import web

from greengagewood.internal.connections import ConnectionGuard
from greengagewood.internal.httplistener import HttpListener
from greengagewood.internal.metrics import Metrics

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
STOP_S = 5.0


@asynccontextmanager
async def _listener() -> AsyncIterator[HttpListener]:
    guard = ConnectionGuard(Metrics())

    async def handle(req: web.BaseRequest) -> web.StreamResponse:
        guard.request_started(req.transport)
        await asyncio.sleep(0.05)
        guard.request_finished(req.transport)
        resp = web.Response(text="ok")
        resp.force_close()
        return resp

    runner = web.ServerRunner(web.Server(handle, access_log=None))
    await runner.setup()
    listener = HttpListener(runner, guard)
    await listener.start("127.0.0.1", 0, 128)
    try:
        yield listener
    finally:
        await listener.close()


async def _stop(listener: HttpListener) -> None:
    await listener.stop_accepting()
    assert await listener.wait_until_idle(STOP_S)
    await listener.close()


async def _status(connection: socket.socket) -> bytes:
    """Return the status of the answer, or nothing if the connection was closed without one."""
    connection.setblocking(False)
    try:
        answer = await asyncio.wait_for(
            asyncio.get_running_loop().sock_recv(connection, 4096), STOP_S
        )
    except ConnectionError:
        answer = b""
    connection.close()
    return answer[9:12]


def _run(test: object) -> None:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(test)  # type: ignore[arg-type]


class TestStop:
    def test_requests_that_the_process_has_not_accepted_yet_are_answered(self) -> None:
        async def test() -> None:
            async with _listener() as listener:
                address = ("127.0.0.1", listener.port)
                # Nothing is accepted meanwhile: this does not yield to the event loop.
                connections = [socket.create_connection(address) for _ in range(20)]
                for connection in connections:
                    connection.sendall(REQUEST)
                stop = asyncio.ensure_future(_stop(listener))
                statuses = await asyncio.gather(*map(_status, connections))
                await stop
                assert statuses == [b"200"] * 20

        _run(test())

    def test_a_request_that_arrives_on_an_open_connection_is_answered(self) -> None:
        async def test() -> None:
            async with _listener() as listener:
                connection = socket.create_connection(("127.0.0.1", listener.port))
                await asyncio.sleep(0.05)
                stop = asyncio.ensure_future(_stop(listener))
                await asyncio.sleep(0.1)
                connection.sendall(REQUEST)
                assert await _status(connection) == b"200"
                await stop

        _run(test())

    def test_later_connections_are_refused(self) -> None:
        async def test() -> None:
            async with _listener() as listener:
                port = listener.port
                await listener.stop_accepting()
                try:
                    socket.create_connection(("127.0.0.1", port)).close()
                except ConnectionRefusedError:
                    return
                raise AssertionError("the connection was not refused")

        _run(test())
