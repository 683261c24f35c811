"""Accept callers' connections, and stop without cutting off a request.

A connection waits in the kernel's queue until the process accepts it. If the listening socket is
closed before that, the caller's request, which may have been sent already, is answered by a reset.
The same happens to a request that reaches a kept connection at the moment it is closed. So a stop
takes over what the queue holds, and closes a connection only after it has been idle for a while.
"""

from __future__ import annotations

import asyncio
import socket

from aiohttp import web

from greengagewood.internal.clock import monotonic_ms
from greengagewood.internal.connections import ConnectionGuard

__all__ = ["HttpListener"]

IDLE_BEFORE_CLOSE_MS = 500  # longer than a request on its way takes to arrive
CHECK_INTERVAL_S = 0.02


class HttpListener:
    """Accept connections for a web server on one address."""

    def __init__(self, runner: web.BaseRunner, guard: ConnectionGuard) -> None:
        self._runner = runner
        self._guard = guard
        self._socket: socket.socket | None = None
        self._site: web.SockSite | None = None

    async def start(self, ip: str, port: int, backlog: int) -> None:
        """Begin to accept connections; raise OSError."""
        sock = socket.create_server((ip, port), backlog=backlog)
        sock.setblocking(False)
        self._socket = sock.dup()  # outlives that of the event loop, see `stop_accepting`
        self._socket.setblocking(False)
        self._site = web.SockSite(self._runner, sock, backlog=backlog)
        await self._site.start()

    @property
    def port(self) -> int:
        """Return the port on which connections are accepted."""
        assert self._socket is not None
        return int(self._socket.getsockname()[1])

    async def stop_accepting(self) -> None:
        """Accept the connections that the kernel has queued, and refuse later ones."""
        if self._socket is None or self._site is None:
            return
        await self._site.stop()
        await asyncio.sleep(0)  # the event loop closes its own socket
        queued = []
        while True:
            try:
                queued.append(self._socket.accept()[0])
            except OSError:  # none is left
                break
        self._socket.close()
        self._socket = None
        server = self._runner.server
        assert server is not None
        loop = asyncio.get_running_loop()
        for connection in queued:
            connection.setblocking(False)
            await loop.connect_accepted_socket(server, connection)

    async def wait_until_idle(self, timeout_s: float) -> bool:
        """Wait until every connection has been idle for a while; return False after the timeout."""
        server = self._runner.server
        assert isinstance(server, web.Server)
        end_ms = monotonic_ms() + int(timeout_s * 1000)
        while not self._guard.all_idle(server, IDLE_BEFORE_CLOSE_MS):
            if monotonic_ms() >= end_ms:
                return False
            await asyncio.sleep(CHECK_INTERVAL_S)
        return True

    async def close(self) -> None:
        """Close the listening socket and all connections, once their requests have ended."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None
        await self._runner.cleanup()
