"""Sessions, timeouts and JSON encoding that all HTTP calls to the platform share."""

from __future__ import annotations

import time
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from typing import Annotated, Any, TypeVar

import aiohttp
import msgspec
from msgspec import Meta

__all__ = [
    "CALL_PATH",
    "SKIPPED_HEADERS",
    "Integer",
    "Number",
    "Session",
    "call_timeout",
    "decode",
    "transfer_timeout",
]

T = TypeVar("T")

# JSON numbers may have any number of digits, but a record of the cell stores 64 bits.
MAX_INTEGER = 2**53 - 1
Integer = Annotated[int, Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
Number = Annotated[float, Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]

CALL_PATH = "/greengagewood/"
# A running machine accepts a connection within 20 ms; an unreachable machine never does.
CONNECT_TIMEOUT_S = 0.6
KEEP_ALIVE_S = 30.0
MAX_TRANSFER_S = 20.0  # a link of 1 Mbit/s carries the largest answer of the store in this time
SKIPPED_HEADERS = ("User-Agent", "Accept", "Accept-Encoding")


class Session:
    """HTTP client for calls to the platform; it keeps idle connections for later calls.

    Open connections may go silent without a reset, while new ones work, and each shows it only by a
    call that is not answered. So after such a call the idle connections to that address are left to
    expire, and further calls to it use others, which are opened anew.
    """

    def __init__(self, limit_per_host: int) -> None:
        self._usual, self._other = (_new_client(limit_per_host) for _ in range(2))
        self._silent_until_s: dict[str, float] = {}  # by address, when idle connections expired

    def get(self, url: str, **options: Any) -> AbstractAsyncContextManager[aiohttp.ClientResponse]:
        """Send a GET request, like `aiohttp.ClientSession`."""
        return self._request("GET", url, options)

    def post(self, url: str, **options: Any) -> AbstractAsyncContextManager[aiohttp.ClientResponse]:
        """Send a POST request, like `aiohttp.ClientSession`."""
        return self._request("POST", url, options)

    @asynccontextmanager
    async def _request(
        self, method: str, url: str, options: dict[str, Any]
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        address = url.split("/", 3)[2]
        client = self._other if self._is_silent(address) else self._usual
        try:
            async with client.request(method, url, **options) as resp:
                yield resp
        except aiohttp.ConnectionTimeoutError:
            raise  # it has used no idle connection
        except TimeoutError:
            if client is self._usual:
                self._silent_until_s[address] = time.monotonic() + KEEP_ALIVE_S
            raise

    def _is_silent(self, address: str) -> bool:
        """Return whether connections to an address may be idle that have gone silent."""
        until_s = self._silent_until_s.get(address)
        if until_s is not None and time.monotonic() > until_s:
            del self._silent_until_s[address]
            return False
        return until_s is not None

    async def close(self) -> None:
        """Close all connections."""
        await self._usual.close()
        await self._other.close()

    async def __aenter__(self) -> Session:
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self.close()


def _new_client(limit_per_host: int) -> aiohttp.ClientSession:
    connector = aiohttp.TCPConnector(
        limit=0, limit_per_host=limit_per_host, keepalive_timeout=KEEP_ALIVE_S
    )
    return aiohttp.ClientSession(
        connector=connector,
        skip_auto_headers=SKIPPED_HEADERS,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
    )


def call_timeout(total_s: float) -> aiohttp.ClientTimeout:
    """Return the timeouts of one call."""
    return aiohttp.ClientTimeout(total=total_s, sock_connect=min(total_s, CONNECT_TIMEOUT_S))


def transfer_timeout(silence_s: float) -> aiohttp.ClientTimeout:
    """Return the timeouts of a call whose answer may be large: it may take long, but not pause."""
    return aiohttp.ClientTimeout(
        total=MAX_TRANSFER_S, sock_connect=CONNECT_TIMEOUT_S, sock_read=silence_s
    )


def decode(body: bytes, model: type[T]) -> T:
    """Decode a JSON body; raise ValueError."""
    try:
        return msgspec.json.decode(body, type=model)
    except RecursionError as exc:
        raise ValueError("the body is nested too deeply") from exc


def encode(value: Any) -> bytes:
    """Encode a JSON body."""
    return msgspec.json.encode(value)
