"""A TCP proxy on the links to the store and the workers, which delays, cuts and resets them."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from dataclasses import dataclass

__all__ = ["LinkFault", "LinkProxy"]

CHUNK_BYTES = 65_536
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
        self._servers: list[asyncio.Server] = []

    async def listen(self, address: str, behind: str) -> None:
        """Forward what connects to one address to another; raise OSError."""

        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self._serve(reader, writer, address, behind)

        ip, _, port = address.rpartition(":")
        self._servers.append(await asyncio.start_server(handle, ip, int(port), backlog=1024))

    def add(self, fault: LinkFault) -> None:
        """Put a fault in force."""
        self.faults.add(fault)
        if fault.mode == "refuse":
            self.reset(fault.sources, fault.targets)

    def remove(self, fault: LinkFault) -> None:
        """End a fault; connections that lost bytes are reset."""
        self.faults.discard(fault)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
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
        for server in self._servers:
            server.close()
        for conn in list(self._connections):
            conn.reset()
        await asyncio.sleep(0)

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

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        address: str,
        behind: str,
    ) -> None:
        conn = _Connection(writer.get_extra_info("peername")[0], address)
        conn.writers.append(writer)
        self._connections.add(conn)
        self.connection_count += 1
        try:
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
