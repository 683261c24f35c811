"""ggwctl: documents, what is in force, and what became of a job."""

from __future__ import annotations

import asyncio
import getpass
import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import aiohttp
import msgspec
from absl import flags
from result import Err

from greengagewood.internal.clock import monotonic_ms
from greengagewood.internal.ctl.admin import read_status, wait_in_force
from greengagewood.internal.ctl.publish import Published, Publisher
from greengagewood.internal.ctl.table import table
from greengagewood.internal.ctl.trace import trace_job
from greengagewood.internal.daemon import define_help_flag
from greengagewood.internal.document import document_digest, parse_document
from greengagewood.internal.native.logservice import AppendUnknown, LogDown, LogService
from greengagewood.internal.settings import ControlSettings
from greengagewood.internal.yamlfile import load_yaml

__all__ = ["main"]

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_RACED = 3
EXIT_UNREACHABLE = 4

USAGE = """usage: ggwctl COMMAND [ARGUMENT] [FLAGS]

commands, each of which explains itself with --help:
{commands}

flags:{flags}

exit codes: 0 done, 1 failed, 2 wrong call, settings or document, 3 another operator was first,
            4 the log or every keeper is out of reach
"""


@dataclass(frozen=True)
class Verb:
    """Hold how a command is called, and what it is for."""

    arguments: str
    least: int
    most: int
    purpose: str
    example: str


VERBS = {
    "validate": Verb("FILE", 1, 1, "check a document", "ggwctl validate shop.yaml"),
    "try": Verb(
        "FILE",
        1,
        1,
        "put a document in force in the trial environment",
        "ggwctl try shop.yaml --wait",
    ),
    "promote": Verb(
        "[DIGEST]",
        0,
        1,
        "put what is in force in the trial environment in force in production",
        "ggwctl promote 3f9a0c --wait",
    ),
    "history": Verb(
        "", 0, 0, "list what was published, and what became of it", "ggwctl history --stage=trial"
    ),
    "status": Verb(
        "",
        0,
        0,
        "show the instances, cells and the versions in force",
        "ggwctl status --output=json",
    ),
    "trace": Verb(
        "JOB FILE...",
        2,
        1_000,
        "follow a job through the log files of all instances, - for standard input",
        "ggwctl trace 5c0e7a21d94b36f8 entry-1.log entry-2.log",
    ),
}


def _usage(values: flags.FlagValues) -> str:
    width = max(len(f"{name} {verb.arguments}") for name, verb in VERBS.items())
    commands = "\n".join(
        f"  {f'{name} {verb.arguments}':{width}}  {verb.purpose}" for name, verb in VERBS.items()
    )
    return USAGE.format(commands=commands, flags=values.get_help())


def _verb_usage(name: str) -> str:
    verb = VERBS[name]
    call = f"ggwctl {name} {verb.arguments}".rstrip()
    return f"usage: {call} [FLAGS]\n\n{verb.purpose}\n\nexample: {verb.example}\n"


@dataclass
class Context:
    """Hold what a command works with."""

    cfg: ControlSettings
    session: aiohttp.ClientSession
    publisher: Publisher
    as_json: bool
    wait: bool
    stage: str
    timeout_s: float

    def show(self, data: Any, text: str) -> None:
        """Print a result for people or for programs."""
        print(msgspec.json.encode(data).decode() if self.as_json else text)


def _complain(message: str) -> None:
    print(f"ggwctl: {message}", file=sys.stderr)


def _read_document(path: str) -> str | None:
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        _complain(f"{path}: {exc}")
        return None
    parsed = parse_document(text, path)
    if isinstance(parsed, Err):
        for error in parsed.err_value:
            _complain(str(error))
        return None
    return text


def _validate(args: list[str]) -> int:
    text = _read_document(args[0])
    if text is None:
        return EXIT_USAGE
    print(f"{args[0]}: valid, digest {document_digest(text)}")
    return EXIT_OK


def _trace(args: list[str], as_json: bool) -> int:
    job, *paths = args
    lines: list[str] = []
    for path in paths:
        try:
            text = sys.stdin.read() if path == "-" else Path(path).read_text(errors="replace")
        except OSError as exc:
            _complain(f"{path}: {exc}; name a readable log file")
            return EXIT_USAGE
        lines.extend(text.splitlines())
    found = trace_job(lines, job)
    if found.unreadable:
        _complain(f"{found.unreadable} lines that name {job} are no log lines and left out")
    if as_json:
        print(msgspec.json.encode(found.events).decode())
    else:
        print(table(["TIME", "INSTANCE", "EVENT", "TASK", "DETAILS"], found.rows()))
    return EXIT_OK if found.events else EXIT_FAILED


async def _try(ctx: Context, args: list[str]) -> int:
    text = _read_document(args[0])
    if text is None:
        return EXIT_USAGE
    return await _publish(ctx, "trial", text)


async def _promote(ctx: Context, args: list[str]) -> int:
    accepted = await ctx.publisher.accepted("trial")
    if accepted is None:
        _complain("nothing is in force in the trial environment; use `ggwctl try FILE` first")
        return EXIT_FAILED
    if args and not accepted.digest.startswith(args[0]):
        _complain(f"digest {accepted.digest[:12]} is in force in the trial environment")
        return EXIT_RACED
    return await _publish(ctx, "production", accepted.text)


async def _publish(ctx: Context, stage: str, text: str) -> int:
    started_ms = monotonic_ms()
    outcome = await ctx.publisher.publish(stage, text, getpass.getuser(), ctx.timeout_s)
    if isinstance(outcome, Err):
        _complain(outcome.err_value)
        return EXIT_RACED
    published = outcome.ok_value
    if not ctx.wait:
        done = {"stage": stage, "offset": published.offset, "digest": published.digest}
        ctx.show(done, f"accepted in {stage}: {published.digest} at offset {published.offset}")
        return EXIT_OK
    return await _wait(ctx, stage, published, started_ms)


async def _wait(ctx: Context, stage: str, published: Published, started_ms: int) -> int:
    admins = ctx.cfg.trial_admins if stage == "trial" else ctx.cfg.admins
    found = await wait_in_force(ctx.session, admins, published.offset, started_ms, ctx.timeout_s)
    ctx.show(
        {
            "stage": stage,
            "offset": published.offset,
            "digest": published.digest,
            "in_force_everywhere": found.everywhere,
            "seconds": found.seconds,
            "slowest": found.slowest,
            "missing": found.missing,
        },
        f"in force in {stage} on {len(admins) - len(found.missing)} of {len(admins)} instances "
        f"after {found.seconds:.2f} s, slowest {found.slowest or '-'}"
        + "".join(f"\n  not yet: {name}" for name in found.missing),
    )
    return EXIT_OK if found.everywhere else EXIT_FAILED


async def _history(ctx: Context, args: list[str]) -> int:
    history, entries = await ctx.publisher.history(ctx.stage)
    rows = [
        [
            str(entry.offset),
            entry.digest[:12],
            entry.operator,
            time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(entry.at_ms / 1000)),
            entry.outcome + (" (in force)" if entry.offset == history.accepted_offset else ""),
        ]
        for entry in entries
    ]
    head = ["OFFSET", "DIGEST", "OPERATOR", "PUBLISHED (UTC)", "OUTCOME"]
    ctx.show([vars(entry) for entry in entries], table(head, rows))
    return EXIT_OK


async def _status(ctx: Context, args: list[str]) -> int:
    admins = ctx.cfg.trial_admins if ctx.stage == "trial" else ctx.cfg.admins
    statuses = await asyncio.gather(*(read_status(ctx.session, a) for a in admins))
    rows = []
    for address, status in zip(admins, statuses, strict=True):
        if status is None:
            rows.append(["?", str(address), "-", "-", "out of reach"])
            continue
        me = next(m for m in status["members"] if m["member"][1] == status["instance"])
        cells = ", ".join(f"{c[1]}@{c[2]}" for c in me["member"][10]) or "-"
        version = f"{status['config'][2][:12]}@{status['config'][1]}"
        log_age = status["log_read_age_ms"]
        condition = "log ok" if 0 <= log_age < 3000 else f"log not read for {log_age} ms"
        rows.append([status["instance"], str(address), version, cells, condition])
    head = ["INSTANCE", "ADMIN", "CONFIG", "CELLS", "CONDITION"]
    ctx.show(statuses, table(head, rows))
    return EXIT_OK if any(statuses) else EXIT_UNREACHABLE


COMMANDS: dict[str, Callable[[Context, list[str]], Awaitable[int]]] = {
    "try": _try,
    "promote": _promote,
    "history": _history,
    "status": _status,
}


def _define_flags(values: flags.FlagValues) -> None:
    flags.DEFINE_string("settings", "ggwctl.yaml", "YAML settings file", flag_values=values)
    flags.DEFINE_enum("output", "table", ["table", "json"], "how to print", flag_values=values)
    flags.DEFINE_enum(
        "stage", "production", ["production", "trial"], "which environment", flag_values=values
    )
    flags.DEFINE_bool("wait", False, "wait until in force everywhere", flag_values=values)
    define_help_flag(values)
    flags.DEFINE_float("timeout", 30.0, "seconds to wait or retry", flag_values=values)


async def _run(cfg: ControlSettings, values: flags.FlagValues, args: list[str]) -> int:
    command, *rest = args
    async with aiohttp.ClientSession() as session:
        log = LogService(session, cfg.platform)
        ctx = Context(
            cfg,
            session,
            Publisher(log, cfg.environment),
            values.output == "json",
            values.wait,
            values.stage,
            values.timeout,
        )
        try:
            return await COMMANDS[command](ctx, rest)
        except (LogDown, AppendUnknown) as exc:
            _complain(f"the platform's log at {cfg.platform} cannot be used: {exc}; try again")
            return EXIT_UNREACHABLE


def main() -> None:
    """Run one command."""
    values = flags.FlagValues()
    _define_flags(values)
    try:
        args = values(sys.argv, known_only=False)[1:]
    except flags.Error as exc:
        _complain(str(exc))
        sys.exit(EXIT_USAGE)
    name = args[0] if args else ""
    if values.help:
        print(_verb_usage(name) if name in VERBS else _usage(values), end="")
        sys.exit(EXIT_OK)
    verb = VERBS.get(name)
    if verb is None or not verb.least <= len(args) - 1 <= verb.most:
        print(_verb_usage(name) if verb else _usage(values), file=sys.stderr, end="")
        sys.exit(EXIT_USAGE)
    if name == "validate":
        sys.exit(_validate(args[1:]))
    if name == "trace":
        sys.exit(_trace(args[1:], values.output == "json"))
    loaded = load_yaml(values.settings, ControlSettings)
    if isinstance(loaded, Err):
        _complain(str(loaded.err_value))
        sys.exit(EXIT_USAGE)
    sys.exit(asyncio.run(_run(loaded.ok_value, values, args)))
