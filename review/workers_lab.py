"""The project's stand-in of the workers, where the spec may say that a job can never be done.

Each run of a task whose spec has `"hopeless": true` fails soon after its start, on any worker.
"""

from __future__ import annotations

from typing import Any

from greengagewood.platform.standin import __main__ as program
from greengagewood.platform.standin.boot import Boot

_begin = Boot._begin


def _begin_or_fail(boot: Boot, order: Any, work: Any, origin: dict[str, Any]) -> None:
    boot._draw_failure = lambda: '"hopeless":true' in order.spec
    _begin(boot, order, work, origin)


if __name__ == "__main__":
    Boot._begin = _begin_or_fail  # type: ignore[method-assign]
    program.main()
