"""A TCP proxy on the links to the store and the workers, which delays, cuts and resets them."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any

__all__ = ["LinkFault", "LinkProxy"]

CHUNK_BYTES = 65_536
BACKLOG = 1_024
QUEUE_FILLERS, FILLER_PAUSE_S = 2, 0.02
# Bytes held for longer are lost. Together with the longest delay of an order in the stand-in, this
# stays below the longest delay that the platform allows.
MAX_HOLD_S = 3.0


@dataclass(frozen=True, eq=False)
class LinkFault:
    """A fault of the links from some sources to some targets.

    `mode` is drop (what is sent is lost, and the connection is reset at the end of the fault), hold
    (it is delivered at the end), refuse (connections are reset) or delay. `way` is out (from source
    to target), back or both.
    """

    sources: frozenset[str]  # IP addresses
    targets: frozenset[str]  # as the sources address them
    mode: str
    way: str = "both"
    delay_ms: int = 0


class _Connection:
    """An open connection through the proxy."""

    def __init__(self, source: str, target: str) -> None:
        self.source, self.target = source, target
        self.writers: list[asyncio.StreamWriter] = []
        self.lost_bytes = False
        self.silent = False  # for good

    def reset(self) -> None:
        """Reset both sides."""
        for writer in self.writers:
            sock = writer.get_extra_info("socket")
            with contextlib.suppress(OSError, ValueError):  # closed already
                linger = struct.pack("ii", 1, 0)  # close() sends a reset
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()


class LinkProxy:
    """Forward connections; the outgoing one comes from the address of the incoming one."""

    def __init__(self) -> None:
        self.faults: set[LinkFault] = set()
        self.connection_count = 0
        self._changed = asyncio.Event()
        self._connections: set[_Connection] = set()
        self._sockets: dict[str, socket.socket] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._hanging: set[str] = set()

    def listen(self, address: str, behind: str) -> None:
        """Forward what connects to one address to another; raise OSError."""
        ip, _, port = address.rpartition(":")
        sock = self._sockets[address] = socket.create_server((ip, int(port)), backlog=BACKLOG)
        sock.setblocking(False)
        self._spawn(self._accept(address, behind))

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _accept(self, address: str, behind: str) -> None:
        while True:
            sock, peer = await asyncio.get_running_loop().sock_accept(self._sockets[address])
            while address in self._hanging:
                await self._changed.wait()
            self._spawn(self._serve(sock, _Connection(peer[0], address), behind))

    async def hang(self, address: str, for_s: float) -> None:
        """Leave new connections to an address without an answer, not even to be opened.

        The system drops what opens a connection while the queue of those to be accepted is full.
        """
        listener = self._sockets[address]
        self._hanging.add(address)
        listener.listen(0)
        fillers = [socket.socket() for _ in range(QUEUE_FILLERS)]
        try:
            for filler in fillers:
                filler.setblocking(False)
                filler.connect_ex(listener.getsockname())
                await asyncio.sleep(FILLER_PAUSE_S)  # the first one is accepted, the next waits
            await asyncio.sleep(for_s)
        finally:
            for filler in fillers:
                filler.close()
            self._hanging.discard(address)
            listener.listen(BACKLOG)
            self._note_change()

    def silence(self, sources: frozenset[str], targets: frozenset[str]) -> None:
        """Deliver nothing more on the open connections from some sources to some targets."""
        for conn in self._connections:
            conn.silent |= conn.source in sources and conn.target in targets

    def _note_change(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def add(self, fault: LinkFault) -> None:
        """Put a fault in force."""
        self.faults.add(fault)
        if fault.mode == "refuse":
            self.reset(fault.sources, fault.targets)

    def remove(self, fault: LinkFault) -> None:
        """End a fault; connections that lost bytes are reset."""
        self.faults.discard(fault)
        self._note_change()
        for conn in list(self._connections):
            if conn.lost_bytes and not self._find(conn, "out") and not self._find(conn, "back"):
                conn.reset()

    def reset(self, sources: frozenset[str], targets: frozenset[str]) -> None:
        """Reset the open connections from some sources to some targets."""
        for conn in list(self._connections):
            if conn.source in sources and conn.target in targets:
                conn.reset()

    async def close(self) -> None:
        """Stop listening and reset every connection."""
        for conn in list(self._connections):
            conn.reset()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for sock in self._sockets.values():
            sock.close()

    def _find(self, conn: _Connection, way: str, modes: str = "drop hold refuse") -> str:
        """Return the mode of a fault in force on one way of a connection, or an empty string."""
        for fault in self.faults:
            if (
                fault.mode in modes
                and fault.way in (way, "both")
                and conn.source in fault.sources
                and conn.target in fault.targets
            ):
                return fault.mode
        return ""

    def _delay_s(self, conn: _Connection, way: str) -> float:
        delays = [
            fault.delay_ms
            for fault in self.faults
            if fault.mode == "delay"
            and fault.way in (way, "both")
            and conn.source in fault.sources
            and conn.target in fault.targets
        ]
        return max(delays, default=0) / 1000

    async def _serve(self, sock: socket.socket, conn: _Connection, behind: str) -> None:
        self._connections.add(conn)
        self.connection_count += 1
        try:
            reader, writer = await asyncio.open_connection(sock=sock)
            conn.writers.append(writer)
            if self._find(conn, "out", "refuse") or self._find(conn, "back", "refuse"):
                conn.reset()
                return
            while self._find(conn, "out"):  # the opening packet does not arrive
                await self._changed.wait()
            ip, _, port = behind.rpartition(":")
            behind_reader, behind_writer = await asyncio.open_connection(
                ip, int(port), local_addr=(conn.source, 0)
            )
            conn.writers.append(behind_writer)
            pumps = [
                asyncio.ensure_future(self._pump(conn, "out", reader, behind_writer)),
                asyncio.ensure_future(self._pump(conn, "back", behind_reader, writer)),
            ]
            try:
                await asyncio.wait(pumps, return_when=asyncio.FIRST_EXCEPTION)
            finally:
                for pump in pumps:
                    pump.cancel()
                await asyncio.gather(*pumps, return_exceptions=True)
        except OSError:
            conn.reset()
        finally:
            for open_writer in conn.writers:
                open_writer.close()
            self._connections.discard(conn)

    async def _pump(
        self,
        conn: _Connection,
        way: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Forward one way of a connection until it ends; an error ends the other way as well."""
        while True:
            data = await reader.read(CHUNK_BYTES)
            while conn.silent and data:
                data = await reader.read(CHUNK_BYTES)
            delay_s = self._delay_s(conn, way)
            if delay_s:
                await asyncio.sleep(delay_s)
            deadline = asyncio.get_running_loop().time() + MAX_HOLD_S
            while mode := self._find(conn, way):
                conn.lost_bytes |= mode == "drop" or deadline < asyncio.get_running_loop().time()
                await self._changed.wait()
            conn.lost_bytes |= deadline < asyncio.get_running_loop().time()
            if conn.lost_bytes:
                raise ConnectionResetError("bytes were lost")
            if not data:
                writer.close()
                raise ConnectionResetError("closed by the peer")
            writer.write(data)
            await writer.drain()
