"""Client of the platform's instance list, which lags behind reality."""

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
    """Describe an entry instance as the list does."""

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


class _Wire(msgspec.Struct, frozen=True):
    entries: tuple[EntryInstance, ...]
    workers: tuple[_Worker, ...]
    backends: tuple[_Backend, ...]


class ListSnapshot(msgspec.Struct, frozen=True):
    """Hold one reading of the list."""

    entries: tuple[EntryInstance, ...]
    workers: tuple[WorkerEntry, ...]
    backends: tuple[BackendEntry, ...]


_decoder = msgspec.json.Decoder(_Wire)


class InstanceList:
    """Read the instance list."""

    def __init__(self, session: aiohttp.ClientSession, address: Address) -> None:
        self._session = session
        self._url = f"http://{address}/instances"
        self._etag = ""
        self._known = ListSnapshot((), (), ())

    async def read(self) -> ListSnapshot:
        """Return the list as the platform shows it now; raise InstanceListUnavailable."""
        limit = aiohttp.ClientTimeout(total=READ_TIMEOUT_S)
        headers = {"If-None-Match": self._etag} if self._etag else {}
        try:
            async with self._session.get(self._url, timeout=limit, headers=headers) as resp:
                if resp.status == 304 and self._etag:
                    return self._known
                if resp.status != 200:
                    raise InstanceListUnavailable(f"instance list answered {resp.status}")
                wire = _decoder.decode(await resp.read())
                etag = resp.headers.get("ETag", "")
        except (aiohttp.ClientError, TimeoutError, OSError, msgspec.DecodeError) as exc:
            raise InstanceListUnavailable(repr(exc)) from exc
        self._known = _snapshot(wire)
        self._etag = etag
        return self._known


def _snapshot(wire: _Wire) -> ListSnapshot:
    return ListSnapshot(
        wire.entries,
        tuple(
            WorkerEntry(w.worker, w.failure_domain, w.rack, w.url, w.leaving) for w in wire.workers
        ),
        tuple(
            BackendEntry(b.service, b.worker, b.failure_domain, b.url, b.leaving)
            for b in wire.backends
        ),
    )
