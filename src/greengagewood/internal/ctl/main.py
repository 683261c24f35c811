"""ggwctl: publish configuration documents, evacuate failure domains, show the state, trace jobs."""

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
from greengagewood.internal.ctl.admin import RolloutStatus, read_status, wait_for_rollout
from greengagewood.internal.ctl.check import (
    check_against_file,
    examine_file,
    read_text,
    report_check,
)
from greengagewood.internal.ctl.output import (
    EXIT_CONFLICT,
    EXIT_FAILED,
    EXIT_OK,
    EXIT_UNREACHABLE,
    EXIT_USAGE,
    print_error,
)
from greengagewood.internal.ctl.publish import AcceptedDocument, Publisher
from greengagewood.internal.ctl.table import format_table
from greengagewood.internal.ctl.trace import trace_job
from greengagewood.internal.daemon import define_help_flag
from greengagewood.internal.document import document_digest
from greengagewood.internal.documentcheck import examine
from greengagewood.internal.native.logservice import (
    AppendOutcomeUnknown,
    LogService,
    LogUnavailable,
)
from greengagewood.internal.placement import Resources
from greengagewood.internal.records import EvacuationOrder
from greengagewood.internal.settings import ControlSettings
from greengagewood.internal.yamlfile import load_yaml

__all__ = ["main"]

USAGE = """usage: ggwctl COMMAND [ARGUMENT] [FLAGS]

commands, each of which explains itself with --help:
{commands}

flags:{flags}

exit codes: 0 done, 1 failed, 2 wrong call, settings or document, 3 another operator was first,
            4 the log or every keeper is out of reach
"""


@dataclass(frozen=True)
class Command:
    """Describe a command for the usage text, with the number of arguments that it takes."""

    arguments: str
    min_args: int
    max_args: int
    summary: str
    example: str
    details: str = ""


COMMANDS = {
    "validate": Command("FILE", 1, 1, "check a document", "ggwctl validate shop.yaml"),
    "check": Command(
        "FILE",
        1,
        1,
        "check a document and compare it with the version in force, or with --against",
        "ggwctl check shop.yaml --against=shop-in-force.yaml --output=json",
        """Lists errors, entries that can never match, limits that contradict each other, and the
keys whose values differ. --worker adds a comparison of the reserves with the size of a worker.

exit codes: 0 nothing to correct, 1 warnings, 2 invalid document or wrong call,
            4 the log is out of reach, so nothing was compared
""",
    ),
    "try": Command(
        "FILE",
        1,
        1,
        "put a document in force in the trial environment",
        "ggwctl try shop.yaml --wait",
    ),
    "promote": Command(
        "[DIGEST]",
        0,
        1,
        "put what is in force in the trial environment in force in production",
        "ggwctl promote 3f9a0c --wait",
    ),
    "history": Command(
        "", 0, 0, "list what was published, and what became of it", "ggwctl history --stage=trial"
    ),
    "status": Command(
        "",
        0,
        0,
        "show the instances, cells and the versions in force",
        "ggwctl status --output=json",
    ),
    "evacuate": Command(
        "DOMAIN",
        1,
        1,
        "start nothing more in a failure domain until it is taken back",
        "ggwctl evacuate pd-verona --wait",
    ),
    "take-back": Command(
        "DOMAIN",
        1,
        1,
        "end the evacuation of a failure domain",
        "ggwctl take-back pd-verona --wait",
    ),
    "evacuations": Command(
        "", 0, 0, "list the failure domains that are evacuated", "ggwctl evacuations --output=json"
    ),
    "trace": Command(
        "JOB FILE...",
        2,
        1_000,
        "follow a job through the log files of all instances, - for standard input",
        "ggwctl trace 5c0e7a21d94b36f8 entry-1.log entry-2.log",
    ),
}


def _usage(values: flags.FlagValues) -> str:
    width = max(len(f"{name} {command.arguments}") for name, command in COMMANDS.items())
    command_lines = "\n".join(
        f"  {f'{name} {command.arguments}':{width}}  {command.summary}"
        for name, command in COMMANDS.items()
    )
    return USAGE.format(commands=command_lines, flags=values.get_help())


def _command_usage(name: str) -> str:
    command = COMMANDS[name]
    synopsis = f"ggwctl {name} {command.arguments}".rstrip()
    details = f"\n\n{command.details}" if command.details else "\n"
    return f"usage: {synopsis} [FLAGS]\n\n{command.summary}{details}\nexample: {command.example}\n"


@dataclass
class CommandContext:
    """Hold the settings, clients and flags that the commands use."""

    cfg: ControlSettings
    session: aiohttp.ClientSession
    publisher: Publisher
    as_json: bool
    wait: bool
    stage: str
    timeout_s: float
    worker_size: Resources | None

    def print_result(self, data: Any, text: str) -> None:
        """Print a result as JSON if --output=json was given, else as text."""
        print(msgspec.json.encode(data).decode() if self.as_json else text)


def _read_document(path: str) -> str | None:
    """Return the text of a valid document; print its errors or its warnings."""
    text = read_text(path)
    if text is None:
        return None
    examination = examine(text, path)
    for error in examination.errors:
        print_error(str(error))
    for warning in examination.warnings:
        print_error(f"warning: {warning}")
    return text if examination.document is not None else None


async def _check(ctx: CommandContext, args: list[str]) -> int:
    checked = examine_file(args[0], ctx.worker_size)
    if checked is None:
        return EXIT_USAGE
    if checked.examination.document is None:
        return report_check(checked, "", None, ctx.as_json)
    try:
        accepted = await ctx.publisher.accepted(ctx.stage)
    except LogUnavailable:
        report_check(checked, "", None, ctx.as_json)
        raise
    if accepted is None:
        print_error(f"nothing is in force in {ctx.stage}")
        return report_check(checked, "", None, ctx.as_json)
    against = f"the version in force in {ctx.stage}, {accepted.digest[:12]}@{accepted.offset}"
    return report_check(checked, against, accepted.document, ctx.as_json)


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
            print_error(f"{path}: {exc}; pass a readable log file")
            return EXIT_USAGE
        lines.extend(text.splitlines())
    trace = trace_job(lines, job)
    if trace.unparsed_lines:
        print_error(f"{trace.unparsed_lines} skipped lines mention {job} but are not log events")
    if as_json:
        print(msgspec.json.encode(trace.events).decode())
    else:
        print(format_table(["TIME", "INSTANCE", "EVENT", "TASK", "DETAILS"], trace.table_rows()))
    return EXIT_OK if trace.events else EXIT_FAILED


async def _try(ctx: CommandContext, args: list[str]) -> int:
    text = _read_document(args[0])
    if text is None:
        return EXIT_USAGE
    return await _publish(ctx, "trial", text)


async def _promote(ctx: CommandContext, args: list[str]) -> int:
    accepted = await ctx.publisher.accepted("trial")
    if accepted is None:
        print_error("nothing is in force in the trial environment; use `ggwctl try FILE` first")
        return EXIT_FAILED
    if args and not accepted.digest.startswith(args[0]):
        print_error(f"digest {accepted.digest[:12]} is in force in the trial environment")
        return EXIT_CONFLICT
    return await _publish(ctx, "production", accepted.text)


async def _publish(ctx: CommandContext, stage: str, text: str) -> int:
    started_ms = monotonic_ms()
    outcome = await ctx.publisher.publish(stage, text, getpass.getuser(), ctx.timeout_s)
    if isinstance(outcome, Err):
        print_error(outcome.err_value)
        return EXIT_CONFLICT
    accepted = outcome.ok_value
    if not ctx.wait:
        result = {"stage": stage, "offset": accepted.offset, "digest": accepted.digest}
        ctx.print_result(
            result, f"accepted in {stage}: {accepted.digest} at offset {accepted.offset}"
        )
        return EXIT_OK
    return await _wait_and_report(ctx, stage, accepted, started_ms)


async def _wait_and_report(
    ctx: CommandContext, stage: str, accepted: AcceptedDocument, started_ms: int
) -> int:
    admins = ctx.cfg.trial_admins if stage == "trial" else ctx.cfg.admins
    rollout = await wait_for_rollout(
        ctx.session, admins, accepted.offset, started_ms, ctx.timeout_s
    )
    result = {"stage": stage, "offset": accepted.offset, "digest": accepted.digest}
    return _print_rollout(ctx, result, f"in force in {stage} on", rollout, len(admins))


def _print_rollout(
    ctx: CommandContext, result: dict[str, Any], text: str, rollout: RolloutStatus, count: int
) -> int:
    """Print on how many of `count` instances something is in force; return the exit code."""
    ctx.print_result(
        {
            **result,
            "in_force_everywhere": rollout.everywhere,
            "seconds": rollout.seconds,
            "slowest": rollout.slowest,
            "missing": rollout.missing,
        },
        f"{text} {count - len(rollout.missing)} of {count} instances after "
        f"{rollout.seconds:.2f} s, slowest {rollout.slowest or '-'}"
        + "".join(f"\n  not yet: {name}" for name in rollout.missing),
    )
    return EXIT_OK if rollout.everywhere else EXIT_FAILED


def _format_time(at_ms: int) -> str:
    return time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(at_ms / 1000))


async def _history(ctx: CommandContext, args: list[str]) -> int:
    history, entries = await ctx.publisher.history(ctx.stage)
    rows = [
        [
            str(entry.offset),
            entry.digest[:12],
            entry.operator,
            _format_time(entry.at_ms),
            entry.outcome + (" (in force)" if entry.offset == history.accepted_offset else ""),
        ]
        for entry in entries
    ]
    header = ["OFFSET", "DIGEST", "OPERATOR", "PUBLISHED (UTC)", "OUTCOME"]
    ctx.print_result([vars(entry) for entry in entries], format_table(header, rows))
    return EXIT_OK


async def _evacuate(ctx: CommandContext, args: list[str]) -> int:
    return await _order(ctx, args[0], True)


async def _take_back(ctx: CommandContext, args: list[str]) -> int:
    return await _order(ctx, args[0], False)


async def _order(ctx: CommandContext, domain: str, in_force: bool) -> int:
    """Append an order unless the newest one says the same already."""
    started_ms = monotonic_ms()
    state = await ctx.publisher.read(ctx.stage)
    accepted = state.history.accepted
    known_domains = set(accepted.document.failure_domains) if accepted else set()
    if not in_force:
        known_domains |= state.orders.domains()
    if not known_domains:
        if state.history.synced:
            print_error(f"no document is in force in {ctx.stage}; publish one first")
        else:
            print_error("the log no longer has the document in force; wait for a keeper's snapshot")
        return EXIT_FAILED
    if domain not in known_domains:
        print_error(f"{domain!r} is not a failure domain; use one of {sorted(known_domains)}")
        return EXIT_USAGE
    order = state.orders.newest(domain)
    is_in_force = order is not None and order.in_force
    if not state.orders.known or is_in_force != in_force:
        operator = getpass.getuser()
        order = await ctx.publisher.order(ctx.stage, domain, in_force, operator, ctx.timeout_s)
    if order is None:
        ctx.print_result(_describe_order(ctx.stage, domain, None), f"{domain} is not evacuated")
        return EXIT_OK
    if order.in_force != in_force:
        print_error(
            f"operator {order.operator!r} has {'evacuated' if order.in_force else 'taken back'} "
            f"{domain} at offset {order.offset}; check `ggwctl evacuations` and try again"
        )
        return EXIT_CONFLICT
    result = _describe_order(ctx.stage, domain, order)
    text = f"{domain} is {'' if in_force else 'not '}evacuated, by {order.operator}'s order"
    if not ctx.wait:
        ctx.print_result(result, f"{text} at offset {order.offset}")
        return EXIT_OK
    admins = ctx.cfg.trial_admins if ctx.stage == "trial" else ctx.cfg.admins
    rollout = await wait_for_rollout(
        ctx.session,
        admins,
        order.offset,
        started_ms,
        ctx.timeout_s,
        "evacuations_in_force_offset",
    )
    return _print_rollout(ctx, result, f"{text}, obeyed by", rollout, len(admins))


def _describe_order(stage: str, domain: str, order: EvacuationOrder | None) -> dict[str, Any]:
    return {
        "stage": stage,
        "domain": domain,
        "evacuated": order is not None and order.in_force,
        "offset": order.offset if order else 0,
        "operator": order.operator if order else "",
        "at_ms": order.at_ms if order else 0,
    }


async def _evacuations(ctx: CommandContext, args: list[str]) -> int:
    state = await ctx.publisher.read(ctx.stage)
    orders = [order for order in state.orders.all_newest() if order.in_force]
    if not state.orders.known:
        print_error("the log has dropped older orders, and no snapshot of them was found yet")
    rows = [
        [order.domain, order.operator, _format_time(order.at_ms), str(order.offset)]
        for order in orders
    ]
    header = ["DOMAIN", "OPERATOR", "SINCE (UTC)", "OFFSET"]
    ctx.print_result(
        [_describe_order(ctx.stage, order.domain, order) for order in orders],
        format_table(header, rows),
    )
    return EXIT_OK if state.orders.known else EXIT_FAILED


async def _status(ctx: CommandContext, args: list[str]) -> int:
    admins = ctx.cfg.trial_admins if ctx.stage == "trial" else ctx.cfg.admins
    statuses = await asyncio.gather(*(read_status(ctx.session, a) for a in admins))
    rows = []
    for address, status in zip(admins, statuses, strict=True):
        if status is None:
            rows.append(["?", str(address), "-", "-", "-", "out of reach"])
            continue
        # Members, cells and configurations are encoded as arrays, so fields are read by position.
        own_entry = next(m for m in status["members"] if m["member"][1] == status["instance"])
        cells = ", ".join(f"{c[1]}@{c[2]}" for c in own_entry["member"][10]) or "-"
        config = f"{status['config'][2][:12]}@{status['config'][1]}"
        log_read_age_ms = status["log_read_age_ms"]
        condition = (
            "log ok" if 0 <= log_read_age_ms < 3000 else f"log not read for {log_read_age_ms} ms"
        )
        evacuations = status.get("evacuations", {"known": False, "domains": []})
        evacuated = ", ".join(evacuations["domains"]) or "-"
        if not evacuations["known"]:
            condition += ", evacuations not known"
        rows.append([status["instance"], str(address), config, cells, evacuated, condition])
    header = ["INSTANCE", "ADMIN", "CONFIG", "CELLS", "EVACUATED", "CONDITION"]
    ctx.print_result(statuses, format_table(header, rows))
    return EXIT_OK if any(statuses) else EXIT_UNREACHABLE


HANDLERS: dict[str, Callable[[CommandContext, list[str]], Awaitable[int]]] = {
    "check": _check,
    "try": _try,
    "promote": _promote,
    "history": _history,
    "status": _status,
    "evacuate": _evacuate,
    "take-back": _take_back,
    "evacuations": _evacuations,
}


def _define_flags(values: flags.FlagValues) -> None:
    flags.DEFINE_string("settings", "ggwctl.yaml", "YAML settings file", flag_values=values)
    flags.DEFINE_enum("output", "table", ["table", "json"], "how to print", flag_values=values)
    flags.DEFINE_enum(
        "stage", "production", ["production", "trial"], "which environment", flag_values=values
    )
    flags.DEFINE_bool("wait", False, "wait until in force everywhere", flag_values=values)
    flags.DEFINE_string("against", None, "document to compare with", flag_values=values)
    flags.DEFINE_string(
        "worker",
        None,
        "size of the largest worker: processors, megabytes and accelerators, as 64,256000,4",
        flag_values=values,
    )
    define_help_flag(values)
    flags.DEFINE_float("timeout", 30.0, "seconds to wait or retry", flag_values=values)


def _parse_worker_size(text: str | None) -> Resources | None:
    """Return the size of a worker, or None if none is given; raise ValueError."""
    if text is None:
        return None
    amounts = [int(part) for part in text.split(",")]
    if not 2 <= len(amounts) <= 3 or min(amounts) < 0:
        raise ValueError(f"--worker={text}: give two or three amounts")
    return Resources(*amounts)


async def _run(cfg: ControlSettings, values: flags.FlagValues, args: list[str]) -> int:
    name, *rest = args
    async with aiohttp.ClientSession() as session:
        log = LogService(session, cfg.platform)
        ctx = CommandContext(
            cfg,
            session,
            Publisher(log, cfg.environment),
            values.output == "json",
            values.wait,
            values.stage,
            values.timeout,
            _parse_worker_size(values.worker),
        )
        try:
            return await HANDLERS[name](ctx, rest)
        except (LogUnavailable, AppendOutcomeUnknown) as exc:
            print_error(f"cannot use the platform's log at {cfg.platform}: {exc}; try again")
            return EXIT_UNREACHABLE


def main() -> None:
    """Run the command that the arguments name, and exit with its exit code."""
    values = flags.FlagValues()
    _define_flags(values)
    try:
        args = values(sys.argv, known_only=False)[1:]
    except flags.Error as exc:
        print_error(str(exc))
        sys.exit(EXIT_USAGE)
    name = args[0] if args else ""
    if values.help:
        print(_command_usage(name) if name in COMMANDS else _usage(values), end="")
        sys.exit(EXIT_OK)
    command = COMMANDS.get(name)
    if command is None or not command.min_args <= len(args) - 1 <= command.max_args:
        print(_command_usage(name) if command else _usage(values), file=sys.stderr, end="")
        sys.exit(EXIT_USAGE)
    if name == "validate":
        sys.exit(_validate(args[1:]))
    try:
        worker_size = _parse_worker_size(values.worker)
    except ValueError as exc:
        print_error(f"--worker: {exc}; use amounts as in --worker=64,256000")
        sys.exit(EXIT_USAGE)
    if name == "check" and values.against is not None:
        as_json = values.output == "json"
        sys.exit(check_against_file(args[1], values.against, worker_size, as_json))
    if name == "trace":
        sys.exit(_trace(args[1:], values.output == "json"))
    loaded = load_yaml(values.settings, ControlSettings)
    if isinstance(loaded, Err):
        print_error(str(loaded.err_value))
        sys.exit(EXIT_USAGE)
    sys.exit(asyncio.run(_run(loaded.ok_value, values, args)))
