"""Test that a listener's address can be bound again as soon as the listener has stopped.

ZeroMQ closes an unbound port in its own thread. A `Listener.stop` that did not wait for this made
a restarted keeper fail in CI under load: it found its own address in use.
"""

from __future__ import annotations

from greengagewood.internal.link import Listener
from greengagewood.internal.messages import AnyMessage
from greengagewood.internal.metrics import Metrics
from greengagewood.internal.settings import Address, Keys

ADDRESS = Address("127.99.1.1", 17991)
KEYS = Keys("current", {"current": "k" * 32})
ROUNDS = 1_000  # without the wait, 4 of 2,000 rounds failed on an idle machine, 268 on a busy one


async def _ignore(sender: str, message: AnyMessage) -> None:
    return None


class TestListener:
    """Test stopping and starting a listener at once."""

    async def test_its_address_can_be_bound_again_after_stop(self) -> None:
        for _ in range(ROUNDS):
            listener = Listener("n", ADDRESS, KEYS, _ignore, Metrics())
            listener.start()
            await listener.stop()

    async def test_stop_can_be_called_twice(self) -> None:
        listener = Listener("n", ADDRESS, KEYS, _ignore, Metrics())
        listener.start()
        await listener.stop()
        await listener.stop()
