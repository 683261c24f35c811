"""Test that processes on one machine never choose the same loopback network.

Addresses that were derived from the process id modulo 100 or 250 were shared by test runs on one
machine: a cluster failed to bind, or used the processes of another one and audited its tasks.
"""

from __future__ import annotations

import socket
import subprocess
import sys

from devtools import loopback

RESERVE_AND_WAIT = (
    "import sys; from devtools import loopback; loopback.os.getpid = lambda: 7;"
    "print(loopback.reserve_network(), flush=True); sys.stdin.read()"
)


class TestReserveNetwork:
    """Test the reservation of networks."""

    def test_processes_that_prefer_the_same_network_get_different_ones(self) -> None:
        programs = [
            subprocess.Popen(
                [sys.executable, "-c", RESERVE_AND_WAIT],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                text=True,
            )
            for _ in range(3)
        ]
        try:
            octets = [int(program.stdout.readline()) for program in programs if program.stdout]
        finally:
            for program in programs:
                program.communicate("")
        assert len(set(octets)) == len(programs)

    def test_a_network_with_a_platform_left_by_another_process_is_not_chosen(self) -> None:
        octet = loopback.reserve_network()
        loopback._locks.pop().close()  # as if the process that reserved it had ended
        with socket.create_server((f"127.{octet}.0.1", loopback.PLATFORM_PORT)):
            assert loopback.reserve_network() != octet
