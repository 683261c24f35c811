"""How long an entry instance takes to stop."""

from __future__ import annotations

import asyncio
from typing import cast

import pytest

from greengagewood.internal.httplistener import HttpListener
from greengagewood.platform import program
from tests.common.virtualtime import run_in_virtual_time


class _BusyListener:
    """A listener with a connection that is never idle."""

    async def stop_accepting(self) -> None:
        pass

    async def wait_until_idle(self, timeout_s: float) -> bool:
        await asyncio.sleep(timeout_s)
        return False


@pytest.mark.parametrize("grace_s", [6.0, 10.0])
@pytest.mark.parametrize("release_s", [0.0, 0.6, 1.5, 3.0])
def test_an_instance_ends_within_its_grace_time(release_s: float, grace_s: float) -> None:
    """Guards against an instance that is killed as the release of its cell has taken long."""
    ended_s: list[float] = []

    async def stop() -> None:
        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        await asyncio.sleep(release_s)
        await program._drain(cast(HttpListener, _BusyListener()), grace_s, release_s)
        ended_s.append(loop.time() - begun_s)

    run_in_virtual_time(stop())
    assert ended_s[0] <= grace_s - program.CLOSING_TIME_S + 0.001
    if release_s <= 0.6:  # requests have all the time that they had
        assert ended_s[0] == pytest.approx(grace_s - program.SHUTDOWN_MARGIN_S + release_s)
