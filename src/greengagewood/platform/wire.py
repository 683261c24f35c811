"""Sessions, timeouts and JSON encoding that all HTTP calls to the platform share."""

from __future__ import annotations

import time
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from functools import lru_cache
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


class _Connector(aiohttp.TCPConnector):
    def close_idle(self, address: str, unused_since_s: float) -> None:
        """Close the connections to an address that have been idle since that time."""
        for key, connections in self._conns.items():
            if f"{key.host}:{key.port}" != address:
                continue
            for protocol, released_s in connections:
                if released_s <= unused_since_s:
                    protocol.close()  # no call is sent on it any more


class Session:
    """HTTP client for calls to the platform; it keeps idle connections for later calls.

    Open connections may go silent without a reset, while new ones work, and each shows it only by a
    call that is not answered. So after such a call the connections to that address are closed that
    have been idle since it was sent, and further calls use others, or new ones.
    """

    def __init__(self, limit_per_host: int) -> None:
        self._connector = _Connector(
            limit=0, limit_per_host=limit_per_host, keepalive_timeout=KEEP_ALIVE_S
        )
        self._client = aiohttp.ClientSession(
            connector=self._connector,
            skip_auto_headers=SKIPPED_HEADERS,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
        )

    def get(self, url: str, **options: Any) -> AbstractAsyncContextManager[aiohttp.ClientResponse]:
        """Send a GET request, like `aiohttp.ClientSession`."""
        return self._request("GET", url, options)

    def post(self, url: str, **options: Any) -> AbstractAsyncContextManager[aiohttp.ClientResponse]:
        """Send a POST request, like `aiohttp.ClientSession`."""
        return self._request("POST", url, options)

    async def post_for_body(self, url: str, **options: Any) -> tuple[int, bytes]:
        """Send a POST request; return the status and the body of the answer.

        Calls come by the thousand this way, each in less processor time than with `post`.
        """
        sent_s = time.monotonic()
        try:
            async with self._client.post(url, **options) as resp:
                return resp.status, await resp.read()
        except TimeoutError as exc:
            self._note_timeout(exc, url, sent_s)
            raise

    @asynccontextmanager
    async def _request(
        self, method: str, url: str, options: dict[str, Any]
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        sent_s = time.monotonic()
        try:
            async with self._client.request(method, url, **options) as resp:
                yield resp
        except TimeoutError as exc:
            self._note_timeout(exc, url, sent_s)
            raise

    def _note_timeout(self, exc: TimeoutError, url: str, sent_s: float) -> None:
        if not isinstance(exc, aiohttp.ConnectionTimeoutError):  # that has used no idle connection
            self._connector.close_idle(url.split("/", 3)[2], sent_s)

    async def close(self) -> None:
        """Close all connections."""
        await self._client.close()

    async def __aenter__(self) -> Session:
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self.close()


@lru_cache
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
