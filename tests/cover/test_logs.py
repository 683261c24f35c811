"""Logs: one JSON object per line; a full or closed pipe neither blocks nor raises."""

from __future__ import annotations

import os
import time

import msgspec

from greengagewood.internal.logs import MAX_BUFFERED_BYTES, LineWriter

LINE = b'{"event":"x","fill":"' + b"y" * 1_000 + b'"}\n'


def _pipe() -> tuple[int, int]:
    read, write = os.pipe()
    os.set_blocking(write, False)
    os.set_blocking(read, False)
    return read, write


def _drain(read: int) -> bytes:
    data = b""
    while True:
        try:
            chunk = os.read(read, 1 << 20)
        except BlockingIOError:
            return data
        if not chunk:
            return data
        data += chunk


class TestLineWriter:
    """Lines written to a pipe."""

    def test_lines_arrive_whole_and_in_order(self) -> None:
        read, write = _pipe()
        writer = LineWriter(write)
        for number in range(10):
            writer.write(b'{"n":%d}\n' % number)
        lines = _drain(read).splitlines()
        assert [msgspec.json.decode(line)["n"] for line in lines] == list(range(10))

    def test_a_full_pipe_does_not_block(self) -> None:
        _, write = _pipe()
        writer = LineWriter(write)
        began = time.monotonic()
        for _ in range(2_000):
            writer.write(LINE)
        assert time.monotonic() - began < 1.0
        assert len(writer._buffer) <= MAX_BUFFERED_BYTES

    def test_dropped_lines_are_counted(self) -> None:
        read, write = _pipe()
        writer = LineWriter(write)
        for _ in range(2_000):
            writer.write(LINE)
        text = b""
        for _ in range(20):  # the reader reads again
            text += _drain(read)
            writer.write(LINE)
        text += _drain(read)
        lines = [msgspec.json.decode(line) for line in text.splitlines()]
        dropped = sum(x["count"] for x in lines if x["event"] == "log_lines_dropped")
        assert dropped + sum(x["event"] == "x" for x in lines) == 2_020

    def test_a_closed_pipe_raises_nothing(self) -> None:
        read, write = _pipe()
        os.close(read)
        writer = LineWriter(write)
        for _ in range(10):
            writer.write(LINE)
        assert not writer._buffer
