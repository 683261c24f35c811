"""Client for the platform's workers. No other module depends on their wire format.

In each round, one exchange carries all commands to a worker, and its reply carries everything that
the worker reports. A worker rejects an exchange whose epoch is older than the newest it has seen,
or whose round within that epoch is not newer. `echo` is the worker's own clock from an earlier
reply. If it is older than `window_ms`, or from before the worker was restarted, the worker ignores
the commands and does not renew the leases. So a command that was delayed in transit cannot take
effect after its owner has concluded that it will not.
"""

from __future__ import annotations

import aiohttp
import msgspec

__all__ = [
    "Attempt",
    "EndedAttempt",
    "Exchange",
    "ExchangeReply",
    "WorkerClient",
    "WorkerUnreachable",
]


class WorkerUnreachable(Exception):
    """Report that an exchange got no valid reply; its commands may have taken effect."""


class StartCommand(msgspec.Struct, frozen=True):
    """Command a worker to start an attempt of a task, from its checkpoint if one is given."""

    task: str
    attempt: int
    batch_class: str
    cpus: int
    memory_mb: int
    accelerators: int
    run_ms: int
    checkpoint: str = ""


class Attempt(msgspec.Struct, frozen=True):
    """Describe an attempt that a worker is running."""

    task: str
    attempt: int
    batch_class: str
    cpus: int
    memory_mb: int
    accelerators: int


class EndedAttempt(msgspec.Struct, frozen=True):
    """Report how an attempt ended; the worker repeats the report until it is acknowledged.

    The outcomes are "done" (`detail` is the result), "failed", "checkpointed" (`detail` is the
    checkpoint), "stopped", "lapsed" (its lease expired) and "refused" (`detail` is the reason).
    """

    task: str
    attempt: int
    outcome: str
    detail: str = ""


class Usage(msgspec.Struct, frozen=True):
    """Report the CPUs that one batch class used on a worker, over an interval of its clock."""

    batch_class: str
    cpus: float
    from_ms: int
    to_ms: int


class Exchange(msgspec.Struct, frozen=True, kw_only=True):
    """Carry the commands of one round to a worker.

    `stops`, `checkpoints` and `acks` name attempts by task and attempt number; `throttles` adds the
    speed, as a fraction of full speed. `boot` is taken from the worker's last reply, and
    `known_version` belongs to the last `running` that the owner received.
    """

    epoch: int
    owner: str
    round: int
    boot: int
    echo: int
    window_ms: int
    lease_ms: int
    known_version: int
    starts: tuple[StartCommand, ...] = ()
    stops: tuple[tuple[str, int], ...] = ()
    checkpoints: tuple[tuple[str, int], ...] = ()
    throttles: tuple[tuple[str, int, float], ...] = ()
    acks: tuple[tuple[str, int], ...] = ()


class ExchangeReply(msgspec.Struct, frozen=True, kw_only=True):
    """Carry a worker's state and reports in reply to an exchange.

    `fresh` tells whether the worker applied the commands and renewed the leases. `running` is None
    if the exchange's `known_version` is still current.
    """

    accepted: bool
    epoch: int
    fresh: bool
    boot: int
    clock: int
    version: int
    cpus: int
    memory_mb: int
    accelerators: int
    running: tuple[Attempt, ...] | None = None
    ended: tuple[EndedAttempt, ...] = ()
    usage: tuple[Usage, ...] = ()


_reply_decoder = msgspec.json.Decoder(ExchangeReply)


class WorkerClient:
    """Send commands to workers and receive their reports."""

    def __init__(self, session: aiohttp.ClientSession, timeout_s: float) -> None:
        self._session = session
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)

    async def exchange(self, url: str, exchange: Exchange) -> ExchangeReply:
        """Send an exchange to the worker at a URL and return its reply; raise WorkerUnreachable."""
        try:
            async with self._session.post(
                f"{url}/exchange", data=msgspec.json.encode(exchange), timeout=self._timeout
            ) as resp:
                if resp.status != 200:
                    raise WorkerUnreachable(f"worker returned status {resp.status}")
                return _reply_decoder.decode(await resp.read())
        except (aiohttp.ClientError, TimeoutError, OSError, msgspec.DecodeError) as exc:
            raise WorkerUnreachable(repr(exc)) from exc
