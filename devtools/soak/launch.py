"""Run ggw-entry from an address of its own, and with a mutant if one is named.

Arguments: ADDRESS MUTANT, then those of ggw-entry; MUTANT is none to change nothing.

On the platform every instance has an address of its own. On one machine the proxy can only tell
instances apart if each connects from its own loopback address.
"""

from __future__ import annotations

import functools
import importlib
import sys

import aiohttp

from greengagewood.platform import program

__all__ = ["main"]

MUTANTS_MODULE = "tests.common.entrymutants"


def main() -> None:
    """Bind outgoing connections to the address, apply the mutant and run the program."""
    address, mutant = sys.argv[1:3]
    del sys.argv[1:3]
    # The method is replaced, not the class: the program has a subclass of it.
    init = functools.partialmethod(aiohttp.TCPConnector.__init__, local_addr=(address, 0))
    aiohttp.TCPConnector.__init__ = init  # type: ignore[assignment, method-assign]
    if mutant != "none":
        setattr(*importlib.import_module(MUTANTS_MODULE).MUTANTS[mutant])
    program.main()


if __name__ == "__main__":
    main()
