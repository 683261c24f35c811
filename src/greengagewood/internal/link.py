"""Typed, authenticated messages between processes, over ZeroMQ.

A frame consists of the key's name, a keyed digest and a msgpack body of (sender, session, sequence,
correlation, message). The receiver drops and counts a frame with an unknown key, a wrong digest or
a body that is not a message. A listener also drops a frame whose sequence number is not higher than
the last one of its session, as a replay.

ZeroMQ's CURVE would encrypt the messages too, but its keys cannot be rotated without closing every
socket, and every settings file would need a key pair for each process. docs/design/links.md has the
figures.
"""

from __future__ import annotations

import asyncio
import hashlib
import hmac
import itertools
import time
from collections import OrderedDict
from collections.abc import Awaitable, Callable

import msgspec
import zmq
import zmq.asyncio

from greengagewood.internal.logs import Log
from greengagewood.internal.messages import AnyMessage, Failure
from greengagewood.internal.metrics import Metrics
from greengagewood.internal.settings import Address, Keys

__all__ = ["Handler", "Link", "LinkTimeout", "Listener"]

DIGEST_BYTES = 16
MAX_FRAME_BYTES = 8 * 1024 * 1024
MAX_TRACKED_SESSIONS = 4096
MAX_CONCURRENT_HANDLERS = 2048
SEND_HIGH_WATER_MARK_MESSAGES = 1000
UNBIND_TIMEOUT_S = 1.0  # a closed port is free within milliseconds; a stop must not wait for longer

_log = Log("link")

Handler = Callable[[str, AnyMessage], Awaitable[AnyMessage | None]]


class LinkTimeout(Exception):
    """Raised when a peer did not answer in time; it may have received the request."""


class Frame(msgspec.Struct, frozen=True, array_like=True):
    """Hold a message with the fields that identify its sender and match answers to requests.

    `sequence` rises within a session. `correlation` is the sequence of the request that an answer
    belongs to; in a request, 0 means that no answer is expected.
    """

    sender: str
    session: int
    sequence: int
    correlation: int
    message: AnyMessage


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Frame)


def _digest(secret: str, body: bytes) -> bytes:
    return hashlib.blake2b(body, key=secret.encode()[:64], digest_size=DIGEST_BYTES).digest()


def sign_frame(keys: Keys, frame: Frame) -> list[bytes]:
    """Encode and sign a frame; return the key's name, the digest and the body."""
    body = _encoder.encode(frame)
    return [keys.current.encode(), _digest(keys.accepted[keys.current], body), body]


def verify_frame(keys: Keys, parts: list[bytes]) -> Frame | str:
    """Verify and decode a received frame; return the reason if it must be dropped."""
    if len(parts) != 3 or len(parts[2]) > MAX_FRAME_BYTES:
        return "malformed"
    secret = keys.accepted.get(parts[0].decode("utf-8", "replace"))
    if secret is None:
        return "unknown_key"
    if not hmac.compare_digest(_digest(secret, parts[2]), parts[1]):
        return "wrong_digest"
    try:
        return _decoder.decode(parts[2])
    except (msgspec.DecodeError, RecursionError, ValueError):
        return "undecodable"


class _ReplayFilter:
    """Track the last sequence number of each session, for the most recently active sessions."""

    def __init__(self) -> None:
        self._last_sequences: OrderedDict[tuple[str, int], int] = OrderedDict()

    def accept(self, sender: str, session: int, sequence: int) -> bool:
        """Record a sequence number; return False if its session already had it or a higher one."""
        key = (sender, session)
        if sequence <= self._last_sequences.get(key, 0):
            return False
        self._last_sequences[key] = sequence
        self._last_sequences.move_to_end(key)
        if len(self._last_sequences) > MAX_TRACKED_SESSIONS:
            self._last_sequences.popitem(last=False)
        return True


_session_numbers = itertools.count(time.time_ns())


class Listener:
    """Receive requests on one address and answer them."""

    def __init__(
        self, name: str, address: Address, keys: Keys, handler: Handler, metrics: Metrics
    ) -> None:
        self._name = name
        self._address = address
        self._keys = keys
        self._handler = handler
        self._metrics = metrics
        self._replay_filter = _ReplayFilter()
        self._session = next(_session_numbers)
        self._sequence_numbers = itertools.count(1)
        self._handler_tasks: set[asyncio.Task[None]] = set()
        self._socket: zmq.asyncio.Socket | None = None
        self._serve_task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Bind the socket and begin to receive."""
        self._socket = zmq.asyncio.Context.instance().socket(zmq.ROUTER)
        self._socket.setsockopt(zmq.LINGER, 0)
        self._socket.setsockopt(zmq.MAXMSGSIZE, MAX_FRAME_BYTES)
        self._socket.setsockopt(zmq.SNDHWM, SEND_HIGH_WATER_MARK_MESSAGES)
        self._socket.bind(f"tcp://{self._address}")
        self._serve_task = asyncio.create_task(self._serve(self._socket))

    async def stop(self) -> None:
        """Cancel the handlers, close the socket, and wait until its address is free again."""
        if self._serve_task is not None:
            self._serve_task.cancel()
        for task in list(self._handler_tasks):
            task.cancel()
        await asyncio.gather(*self._handler_tasks, return_exceptions=True)
        socket, self._socket = self._socket, None
        if socket is not None:
            await self._unbind(socket)
            socket.close()

    async def _unbind(self, socket: zmq.asyncio.Socket) -> None:
        """Unbind and wait for the port to be closed, which ZeroMQ does later in its own thread."""
        monitor = socket.get_monitor_socket(zmq.EVENT_CLOSED)
        socket.unbind(f"tcp://{self._address}")
        try:
            async with asyncio.timeout(UNBIND_TIMEOUT_S):
                await monitor.recv_multipart()
        except TimeoutError:
            self._metrics.count("link_unbind_timeouts")
            _log.warning("address_not_freed", address=str(self._address))
        socket.disable_monitor()

    async def _serve(self, socket: zmq.asyncio.Socket) -> None:
        while True:
            routing_id, *parts = await socket.recv_multipart()
            frame = verify_frame(self._keys, parts)
            if isinstance(frame, str):
                self._metrics.count("link_dropped", reason=frame)
                continue
            if not self._replay_filter.accept(frame.sender, frame.session, frame.sequence):
                self._metrics.count("link_dropped", reason="replayed")
                continue
            self._metrics.count("link_received_bytes", sum(map(len, parts)))
            if len(self._handler_tasks) >= MAX_CONCURRENT_HANDLERS:
                self._metrics.count("link_dropped", reason="overloaded")
                continue
            task = asyncio.create_task(self._handle(socket, routing_id, frame))
            self._handler_tasks.add(task)
            task.add_done_callback(self._handler_tasks.discard)

    async def _handle(self, socket: zmq.asyncio.Socket, routing_id: bytes, frame: Frame) -> None:
        try:
            reply = await self._handler(frame.sender, frame.message)
        except asyncio.CancelledError:
            raise
        except Exception as exc:  # a peer's message must not stop the process
            self._metrics.count("handler_failures", kind=type(exc).__name__)
            reply = Failure(f"{type(exc).__name__}: {exc}")
        if reply is None or frame.correlation == 0:
            return
        await socket.send_multipart([routing_id, *self._sign_answer(frame, reply)])

    def _sign_answer(self, frame: Frame, reply: AnyMessage) -> list[bytes]:
        answer = Frame(
            self._name, self._session, next(self._sequence_numbers), frame.correlation, reply
        )
        try:
            return sign_frame(self._keys, answer)
        except (TypeError, ValueError, OverflowError) as exc:  # an answer that cannot be encoded
            self._metrics.count("handler_failures", kind=type(exc).__name__)
            failure = Failure(f"{type(exc).__name__}: {exc}")
            return sign_frame(self._keys, msgspec.structs.replace(answer, message=failure))


class Link:
    """Send requests to one address and match the answers to them."""

    def __init__(self, name: str, address: str, keys: Keys, metrics: Metrics) -> None:
        self._name = name
        self._keys = keys
        self._metrics = metrics
        self._session = next(_session_numbers)
        self._sequence_numbers = itertools.count(1)
        self._pending: dict[int, asyncio.Future[AnyMessage]] = {}
        self._socket = zmq.asyncio.Context.instance().socket(zmq.DEALER)
        self._socket.setsockopt(zmq.LINGER, 0)
        self._socket.setsockopt(zmq.IMMEDIATE, 1)
        self._socket.setsockopt(zmq.SNDHWM, SEND_HIGH_WATER_MARK_MESSAGES)
        self._socket.setsockopt(zmq.MAXMSGSIZE, MAX_FRAME_BYTES)
        self._socket.setsockopt(zmq.RECONNECT_IVL, 50)
        self._socket.setsockopt(zmq.RECONNECT_IVL_MAX, 500)
        self._socket.connect(f"tcp://{address}")
        self._receive_task = asyncio.create_task(self._receive())

    async def request(self, message: AnyMessage, timeout_s: float) -> AnyMessage:
        """Send a message and return its answer; raise LinkTimeout if none arrives in time."""
        sequence = next(self._sequence_numbers)
        frame = Frame(self._name, self._session, sequence, sequence, message)
        fut: asyncio.Future[AnyMessage] = asyncio.get_running_loop().create_future()
        self._pending[sequence] = fut
        try:
            async with asyncio.timeout(timeout_s):
                await self._socket.send_multipart(sign_frame(self._keys, frame))
                return await fut
        except TimeoutError as exc:
            raise LinkTimeout(f"no answer within {timeout_s} s") from exc
        finally:
            del self._pending[sequence]

    def close(self) -> None:
        """Close the socket; requests in progress time out."""
        self._receive_task.cancel()
        self._socket.close()

    async def _receive(self) -> None:
        while True:
            frame = verify_frame(self._keys, await self._socket.recv_multipart())
            if isinstance(frame, str):
                self._metrics.count("link_dropped", reason=frame)
                continue
            fut = self._pending.get(frame.correlation)
            if fut is None or fut.done():
                self._metrics.count("link_dropped", reason="late_answer")
                continue
            fut.set_result(frame.message)
