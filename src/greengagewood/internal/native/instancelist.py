"""Client for the platform's instance list.

The list lags behind the actual state of the instances, workers and backend servers.
"""

from __future__ import annotations

import aiohttp
import msgspec

from greengagewood.internal.messages import BackendEntry, WorkerEntry
from greengagewood.internal.settings import Address

__all__ = ["EntryInstance", "InstanceList", "InstanceListUnavailable", "ListSnapshot"]

READ_TIMEOUT_S = 3.0


class InstanceListUnavailable(Exception):
    """Report that the instance list could not be read."""


class EntryInstance(msgspec.Struct, frozen=True):
    """Represent an entry instance as the instance list describes it."""

    instance: str
    failure_domain: str
    keeper: str
    leaving: bool


class _Worker(msgspec.Struct, frozen=True):
    worker: str
    failure_domain: str
    rack: str
    url: str
    leaving: bool


class _Backend(msgspec.Struct, frozen=True):
    service: str
    worker: str
    failure_domain: str
    url: str
    leaving: bool


class _ListReply(msgspec.Struct, frozen=True):
    entries: tuple[EntryInstance, ...]
    workers: tuple[_Worker, ...]
    backends: tuple[_Backend, ...]


class ListSnapshot(msgspec.Struct, frozen=True):
    """Hold the content of the instance list as of one read."""

    entries: tuple[EntryInstance, ...]
    workers: tuple[WorkerEntry, ...]
    backends: tuple[BackendEntry, ...]


_list_reply_decoder = msgspec.json.Decoder(_ListReply)


class InstanceList:
    """Read the instance list, and skip decoding while its ETag is unchanged."""

    def __init__(self, session: aiohttp.ClientSession, address: Address) -> None:
        self._session = session
        self._url = f"http://{address}/instances"
        self._etag = ""
        self._last_snapshot = ListSnapshot((), (), ())

    async def read(self) -> ListSnapshot:
        """Return what the platform publishes now; raise InstanceListUnavailable."""
        timeout = aiohttp.ClientTimeout(total=READ_TIMEOUT_S)
        headers = {"If-None-Match": self._etag} if self._etag else {}
        try:
            async with self._session.get(self._url, timeout=timeout, headers=headers) as resp:
                if resp.status == 304 and self._etag:
                    return self._last_snapshot
                if resp.status != 200:
                    raise InstanceListUnavailable(f"instance list returned status {resp.status}")
                reply = _list_reply_decoder.decode(await resp.read())
                etag = resp.headers.get("ETag", "")
        except (aiohttp.ClientError, TimeoutError, OSError, msgspec.DecodeError) as exc:
            raise InstanceListUnavailable(repr(exc)) from exc
        self._last_snapshot = _to_snapshot(reply)
        self._etag = etag
        return self._last_snapshot


def _to_snapshot(reply: _ListReply) -> ListSnapshot:
    return ListSnapshot(
        reply.entries,
        tuple(
            WorkerEntry(w.worker, w.failure_domain, w.rack, w.url, w.leaving) for w in reply.workers
        ),
        tuple(
            BackendEntry(b.service, b.worker, b.failure_domain, b.url, b.leaving)
            for b in reply.backends
        ),
    )
