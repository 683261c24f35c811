"""Check the promises to callers from what they saw and from the stand-in's own history.

Nothing here is shared with the code that decides. Each check returns findings as text.
"""

from __future__ import annotations

import zlib
from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping
from typing import Any

import msgspec

from devtools.soak.deployment import MAX_ATTEMPTS, STOP_MS
from devtools.soak.records import Disruption, Event, JobRecord, Request, Run

__all__ = [
    "ORDER_DELAY_AND_LEASE_MS",
    "build_runs",
    "check_all",
    "check_log_line",
    "missing_standing_tasks",
]

ANSWER_LIMIT_MS = 6_000  # the callers' own deadline of 3 s, and a margin for a busy machine
CUT_SLACK_MS = 200  # a request sent so shortly before its connection closed may be unanswered
INF = float("inf")
CONTACT_MS = 3_000
VISIBLE_MS = 3_000
CANCEL_MS = 3_000
DRAIN_MS = 2_000
MIN_CRASHED_WORKERS = 2  # under a task that may be given up
MAX_CRASHES, STARTS_AFTER_CRASHES = 3, 2  # of one task that crashes the workers that start it
EARLY_MS = 250
EVACUATE_MS = 5_000
NOTICE_MS = 5_500  # for which a task is away before it counts as unavailable for any cause
ACK_MS = 6_000
STARTUP_MS = 300  # of a lasting task, after which it is at work
NOTED_MS = 1_000  # from a noted end to the last start by an instance in touch
RESTART_MS, IDLE_MS = 6_000, 3_000  # of a lasting task; the 4 s before have to be calm, too
# An order may be carried out 12 s after it was sent, and what it starts has a lease of 6 s on a
# clock that may be 2% slow.
ORDER_DELAY_AND_LEASE_MS = 12_000 + 6_200
FINAL_STATES = frozenset({"completed", "failed", "cancelled"})
STATUSES_ANSWERED = frozenset({200, 201, 202, 404, 410, 429, 502, 503, 504})


def build_runs(events: Iterable[Event]) -> list[Run]:
    """Return the runs in a history in the order of their starts."""
    runs: list[Run] = []
    open_runs: dict[str, dict[tuple[str, int], Run]] = defaultdict(dict)  # by worker
    ended: dict[tuple[str, str, int], Run] = {}
    draining: dict[str, float] = {}  # since when a worker drains
    for event in sorted(events, key=lambda e: float(e["t"])):
        worker, what = event.get("worker", ""), event["what"]
        if what == "drain":
            draining[worker] = event["t"]
            for run in open_runs[worker].values():
                run.draining_ms = event["t"]
        elif what == "boot":  # nothing of an earlier boot is left
            for run in open_runs.pop(worker, {}).values():
                run.end_ms, run.how = event["t"], "boot"
            draining.pop(worker, None)
        elif what == "start":
            run = Run(event["task"], event["run"], worker, event["t"], spec=event.get("spec"))
            run.sender, run.late = event.get("from", ""), event.get("late", False)
            run.checkpoint = event.get("checkpoint", "")
            run.draining_ms = draining.get(worker, run.draining_ms)
            runs.append(run)
            open_runs[worker][(run.task, run.run)] = run
        elif what == "order" and event.get("order") == "stop" and event["late"]:
            found = open_runs[worker].get((event["task"], event["run"]))
            if found is not None:
                found.stopped_late = True
        elif what == "end":
            found = open_runs[worker].pop((event["task"], event["run"]), None)
            if found is not None:
                found.end_ms, found.how = event["t"], event["how"]
                ended[(worker, found.task, found.run)] = found
        elif what == "lapse":
            for key, run in ended.items():
                run.lapsed |= key[0] == worker and run.acked_ms == INF
        elif what == "ack":
            found = ended.get((worker, event["task"], event["run"]))
            if found is not None:
                found.acked_ms = min(found.acked_ms, event["t"])
    return runs


def _group(task: str, jobs: Mapping[str, JobRecord]) -> str:
    """Return the step of a task of a gang, whose ends and checkpoints are those of all members."""
    job = task.partition(".")[0]
    return task.rpartition(".")[0] if job in jobs and jobs[job].shape.is_gang else task


def _done_ms(runs: Iterable[Run], jobs: Mapping[str, JobRecord]) -> dict[str, float]:
    """Return when each task, or gang, was done first."""
    done: dict[str, float] = {}
    for run in runs:
        if run.how == "done":
            group = _group(run.task, jobs)
            done[group] = min(run.end_ms, done.get(group, run.end_ms))
    return done


def _by_task(runs: Iterable[Run]) -> dict[str, list[Run]]:
    grouped: dict[str, list[Run]] = defaultdict(list)
    for run in runs:
        grouped[run.task].append(run)
    return grouped


def _calm_end(
    from_ms: float,
    length_ms: float,
    disruptions: Iterable[Disruption],
    before_ms: float = CONTACT_MS,
) -> float:
    """Return when there has been no disruption for this long, nor shortly before that."""
    for found in sorted(disruptions, key=lambda d: d.from_ms):
        if found.from_ms < from_ms + length_ms and found.to_ms + before_ms > from_ms:
            from_ms = found.to_ms + before_ms
    return from_ms + length_ms


def _mark_in_touch(
    runs: list[Run], disruptions: list[Disruption], senders: Mapping[str, int]
) -> None:
    """Mark the runs that were started in time by an instance in touch."""
    for run in runs:
        own = [d for d in disruptions if d.instance in (None, senders.get(run.sender))]
        run.in_touch = not run.late and _calm_end(run.start_ms, 0, own) == run.start_ms


def check_senders(events: list[Event], senders: Mapping[str, int]) -> Iterator[str]:
    """Orders come from the addresses of instances, by which the proxy tells links apart."""
    unknown = {event.get("from", "") for event in events if event["what"] == "order"}
    for address in sorted(unknown - {"", *senders}):
        yield f"SENDER: orders came from {address}, so that faults of links hit nothing"


def check_two_places(runs: list[Run], jobs: Mapping[str, JobRecord]) -> Iterator[str]:
    """No task runs in two places at once, unless its step has copies."""
    for found in _by_task(runs).values():
        if _has_copies(found[0], jobs):
            continue
        for index, first in enumerate(found):
            for second in found[index + 1 :]:
                if first.start_ms <= second.start_ms < first.end_ms:
                    yield f"TWO PLACES: {second} while {first} was open to {first.end_ms:.0f}"


def _has_copies(run: Run, jobs: Mapping[str, JobRecord]) -> bool:
    return run.job in jobs and jobs[run.job].shape.has_copies


def check_restarts_after_done(runs: list[Run], jobs: Mapping[str, JobRecord]) -> Iterator[str]:
    """No task starts after an acknowledged end as done; copies not a second after it."""
    for found in _by_task(runs).values():
        for run in found:
            done = [r for r in found if r.how == "done" and r.end_ms <= run.start_ms]
            acked_ms = min((r.noted_ms for r in done), default=INF)
            if _has_copies(run, jobs):
                is_broken = run.start_ms > acked_ms + NOTED_MS and run.in_touch
            else:
                is_broken = acked_ms < INF
            if is_broken:
                yield f"AFTER DONE: {run}, done at {done[0].end_ms:.0f}, noted {acked_ms:.0f}"


def check_attempts(runs: list[Run], jobs: Mapping[str, JobRecord]) -> Iterator[str]:
    """No task, or gang, starts after all permitted attempts have failed."""
    groups: dict[str, list[Run]] = defaultdict(list)
    for run in runs:
        groups[_group(run.task, jobs)].append(run)
    for found in groups.values():
        record = jobs.get(found[0].job)
        if record is None or record.shape.kind == "standing":
            continue
        for run in found:
            failed = [
                r
                for r in found
                if r.how == "failed" and r.end_ms <= run.start_ms and r.noted_ms < INF
            ]
            if record.shape.is_gang:  # one failed member is a failed attempt
                failed = list({r.run: r for r in failed if r.run != run.run}.values())
            if record.shape.has_copies:
                last_ms = max((r.noted_ms for r in failed), default=0) + NOTED_MS
                if run.start_ms <= last_ms or not run.in_touch:
                    continue
            crashes = sorted(r.end_ms for r in found if r.how == "crashed" and record.shape.crashes)
            later = [r for r in found if r.start_ms > [*crashes, *[INF] * 3][MAX_CRASHES - 1]]
            if run in later[STARTS_AFTER_CRASHES:]:
                yield f"ATTEMPTS: {run} after {len(crashes)} crashes of its workers"
            if len(failed) >= MAX_ATTEMPTS:
                yield f"ATTEMPTS: {run} after {len(failed)} failed runs"


def check_order(runs: list[Run], jobs: Mapping[str, JobRecord]) -> Iterator[str]:
    """No task starts that was not submitted, or before all tasks of the step before it are done."""
    tasks, done_ms = _by_task(runs), _done_ms(runs, jobs)
    for task, found in tasks.items():
        job, occurrence, step, _ = task.split(".")
        record = jobs.get(job)
        if record is None or task not in record.all_tasks():
            yield f"UNASKED: {task} was started on {found[0].worker}, and nobody submitted it"
            continue
        if any(run.spec not in (None, record.shape.body()["spec"]) for run in found):
            yield f"UNASKED: {task} was started with another spec"
        own = f"{zlib.crc32(_group(task, jobs).encode()):08x}"
        if any(run.checkpoint and run.checkpoint[8:] != own for run in found):
            yield f"UNASKED: {task} was started with the checkpoint of another task"
        early_ms = record.shape.due_ms(int(occurrence)) - found[0].start_ms
        if record.shape.kind == "timed" and early_ms > EARLY_MS:
            yield f"ORDER: {task} started at {found[0].start_ms:.0f}, {early_ms:.0f} ms early"
        if step == "0":
            continue
        for earlier in record.task_names(int(occurrence))[int(step) - 1]:
            if done_ms.get(_group(earlier, jobs), INF) > found[0].start_ms:
                yield f"ORDER: {task} started at {found[0].start_ms:.0f} before {earlier} was done"


def check_refusals(runs: list[Run], jobs: Mapping[str, JobRecord]) -> Iterator[str]:
    """A job of which every submission was refused never runs."""
    started = {run.job: run for run in runs}
    for record in jobs.values():
        if record.is_refused and record.job in started:
            run = started[record.job]
            yield f"REFUSED: {record.job} was refused, and {run.task} started at {run.start_ms:.0f}"


def check_cancelled(
    runs: list[Run], jobs: Mapping[str, JobRecord], disruptions: list[Disruption], until_ms: float
) -> Iterator[str]:
    """A cancelled job is not started, and its runs are gone after any calm stretch.

    So is one whose cancellation was answered with 410, before its submission or after it. A worker
    may start a task late; the stretch then counts from shortly after that.
    """
    for run in runs:
        acks = jobs[run.job].answers("DELETE", 200, 202, 410) if run.job in jobs else []
        acked_ms = min((r.ended_ms for r in acks), default=INF)
        if run.start_ms > acked_ms + CANCEL_MS + ORDER_DELAY_AND_LEASE_MS:
            yield f"CANCELLED: {run}, acked {acked_ms:.0f}"
        if run.start_ms > acked_ms + CANCEL_MS and run.in_touch:
            yield f"UNASKED: {run}, its job was cancelled, acked {acked_ms:.0f}"
        if acks:
            from_ms = max(acked_ms, run.start_ms + CONTACT_MS * run.late)
            gone_ms = _calm_end(from_ms, CANCEL_MS + STOP_MS, disruptions)
            if gone_ms < min(run.end_ms, until_ms):
                yield f"UNASKED: {run}: it runs on at {gone_ms:.0f}, acked {acked_ms:.0f}"


def check_routes(
    runs: list[Run], jobs: Mapping[str, JobRecord], racks: Mapping[str, str]
) -> Iterator[str]:
    """A task starts on a worker with its label, and below the limit of its step there."""
    for run in runs:
        shape = jobs[run.job].shape if run.job in jobs else None
        if shape is None:
            continue
        if shape.label and racks.get(run.worker, shape.label) != shape.label:
            yield f"ROUTE: {run.task} started on {run.worker}, which has no label {shape.label}"
        if shape.max_per_worker:
            step = run.task.rpartition(".")[0] + "."
            same = [r for r in runs if r.worker == run.worker and r.task.startswith(step)]
            count = sum(r.start_ms <= run.start_ms < r.end_ms for r in same)
            if count > shape.max_per_worker:
                yield f"ROUTE: {run.task} is one of {count} of its step on {run.worker}"


def check_draining(runs: list[Run]) -> Iterator[str]:
    """An instance in touch starts nothing on a worker that has long been draining."""
    for run in runs:
        if run.start_ms > run.draining_ms + DRAIN_MS and run.in_touch:
            yield f"DRAIN: {run.task} started on {run.worker}, draining for {DRAIN_MS} ms"


def check_evacuations(
    runs: list[Run], events: list[Event], racks: Mapping[str, str]
) -> Iterator[str]:
    """An instance in touch starts nothing in a domain that has long been evacuated."""
    since: dict[str, float] = {}
    starts = {run.start_ms: run for run in runs if run.in_touch}
    for event in sorted(events, key=lambda e: float(e["t"])):
        if event["what"] == "evacuate":
            since[event["zone"]] = event["t"]
        elif event["what"] == "take_back":
            since.pop(event["zone"], None)
        elif event["what"] == "start" and event["t"] in starts:
            zone = racks.get(event["worker"], "").partition("-")[0]
            if zone in since and event["t"] > since[zone] + EVACUATE_MS:
                yield f"EVAC: {starts[event['t']]}, evacuated at {since[zone]:.0f}"


def check_gangs(
    runs: list[Run], jobs: Mapping[str, JobRecord], disruptions: list[Disruption]
) -> Iterator[str]:
    """No run waits for the rest of its gang in vain."""
    for run in runs:
        if run.how != "alone" or not run.in_touch or run.draining_ms < run.end_ms:
            continue
        record = jobs.get(run.job)
        cancels = [r.sent_ms for r in record.requests if r.method == "DELETE"] if record else []
        calm = _calm_end(run.start_ms, run.end_ms - run.start_ms, disruptions) == run.end_ms
        if calm and run.end_ms < min(cancels, default=INF):
            yield f"GANG: {run} ended alone at {run.end_ms:.0f}"


def check_available(
    runs: list[Run], jobs: Mapping[str, JobRecord], disruptions: list[Disruption]
) -> Iterator[str]:
    """No order ends a lasting task at work while too many others of its step are away."""
    tasks = _by_task(runs)
    for record in jobs.values():
        most = record.shape.options.get("max-unavailable")
        if not most or record.accepted_ms is None:
            continue
        cancels = [r.sent_ms for r in record.requests if r.method == "DELETE"]
        ordered = [
            run
            for task in record.all_tasks()
            for run in tasks.get(task, [])
            if _was_ended_by_order(run, disruptions)
            and run.end_ms < min(cancels, default=INF)
            and not any(_is_at_work(r, run.end_ms) for r in tasks[task] if r is not run)
        ]
        for run in ordered:
            others = [task for task in record.all_tasks() if task != run.task]
            away = [t for t in others if _is_away(tasks.get(t, []), run.end_ms, record, ordered)]
            if len(away) >= most:
                yield f"AVAIL: {run} was ended at {run.end_ms:.0f} while {away} were away"


def _was_ended_by_order(run: Run, disruptions: list[Disruption]) -> bool:
    """Return whether an order has ended a run at work on a worker that did not drain."""
    if run.end_ms - run.start_ms < STARTUP_MS or run.draining_ms <= run.end_ms:
        return False
    lapsed = run.how == "lapsed" and _calm_end(run.end_ms - CONTACT_MS, CONTACT_MS, disruptions)
    return lapsed == run.end_ms or (run.how == "stopped" and not run.stopped_late)


def _is_at_work(run: Run, at_ms: float) -> bool:
    return run.start_ms + STARTUP_MS <= at_ms < run.end_ms


def _is_away(found: list[Run], at_ms: float, record: JobRecord, ordered: list[Run]) -> bool:
    """Return whether a task is away by an order, or for long for any cause."""
    if any(_is_at_work(run, at_ms) for run in found):
        return False
    ended = [run for run in found if run.end_ms < at_ms]
    last = max(ended, key=lambda run: run.end_ms, default=None)
    since_ms = last.end_ms if last is not None else (record.accepted_ms or at_ms)
    return last in ordered or at_ms - since_ms >= NOTICE_MS


def check_pending(
    runs: list[Run], jobs: Mapping[str, JobRecord], disruptions: list[Disruption]
) -> Iterator[str]:
    """The number of pending jobs has at least half of those that have long not begun."""
    begun: dict[str, float] = {}
    for run in runs:
        begun.setdefault(run.job, run.start_ms)
    for req in jobs[""].answers("GET", 200) if "" in jobs else []:
        own = [d for d in disruptions if d.instance in (None, req.instance)]
        waiting = [
            job
            for job, record in jobs.items()
            if record.accepted_ms is not None
            and req.sent_ms - record.accepted_ms > VISIBLE_MS + 2_000
            and record.shape.kind != "timed"
            and record.shape.prefix == jobs[""].shape.prefix
            and not record.is_cancelling
            and begun.get(job, INF) > req.ended_ms
        ]
        if int(req.state) < len(waiting) / 2 and _calm_end(req.sent_ms, 0, own) == req.sent_ms:
            told = f"{req.state} pending of {len(waiting)} that wait: {waiting[:5]}"
            yield f"MIXED: entry-{req.instance} told {told} at {req.ended_ms:.0f}"


def crashes_of_workers(events: list[Event]) -> Iterator[Disruption]:
    """Return the time that workers were down after a crash, also of those that a task caused."""
    down: dict[str, Disruption] = {}
    for event in events:
        if event["what"] == "leave" and event["how"] == "crashed":
            down[event["worker"]] = Disruption("crash", None, event["t"])
            yield down[event["worker"]]
        elif event["what"] == "boot" and event["worker"] in down:
            down.pop(event["worker"]).to_ms = event["t"]


def check_acknowledgements(
    runs: list[Run],
    events: list[Event],
    jobs: Mapping[str, JobRecord],
    disruptions: list[Disruption],
    until_ms: float,
) -> Iterator[str]:
    """In calm, most ends are acknowledged to workers, and most cancellations to callers."""
    gone: dict[str, list[float]] = defaultdict(list)
    for event in events:
        if event["what"] in ("boot", "leave"):
            gone[event["worker"]].append(event["t"])
    spans = [  # until an acknowledgement, and how long it was possible
        (
            run.end_ms,
            run.acked_ms,
            min([until_ms, *(t for t in gone[run.worker] if t > run.end_ms)]),
        )
        for run in runs
        if run.how in ("done", "failed", "stopped", "lapsed", "broken", "alone")
    ]
    yield from _check_share("ends", spans, disruptions, 1 / 5)
    spans = []
    for record in jobs.values():
        sent = [r.sent_ms for r in record.requests if r.method == "DELETE"]
        if sent and record.accepted_ms is not None:
            answers = [r.ended_ms for r in record.answers("DELETE", 200, 202, 410)]
            spans.append((min(sent), min(answers, default=INF), until_ms))
    yield from _check_share("cancellations", spans, disruptions, 1 / 10)


def _check_share(
    what: str,
    spans: list[tuple[float, float, float]],
    disruptions: list[Disruption],
    limit: float,
) -> Iterator[str]:
    judged = [
        (acked_ms, bound_ms)
        for from_ms, acked_ms, to_ms in spans
        if (bound_ms := _calm_end(from_ms, ACK_MS, disruptions)) < to_ms
    ]
    missed = sum(acked_ms > bound_ms for acked_ms, bound_ms in judged)
    if len(judged) >= 3 and missed > limit * len(judged):
        yield f"ACKS: {missed} of {len(judged)} {what} were not acknowledged in calm"


def check_lasting(
    runs: list[Run], jobs: Mapping[str, JobRecord], disruptions: list[Disruption], until_ms: float
) -> Iterator[str]:
    """A lasting task is back 6 s after its last run, once it has been calm for 3 s and 4 s."""
    tasks = _by_task(runs)
    for record in jobs.values():
        if record.shape.kind != "standing" or record.accepted_ms is None:
            continue
        cancels = [r.sent_ms for r in record.requests if r.method == "DELETE"]
        for task in record.all_tasks():
            found = tasks.get(task, [])
            ends = [record.accepted_ms, *(r.end_ms for r in found if r.end_ms < INF)]
            for end_ms in ends:
                bound_ms = _calm_end(end_ms + RESTART_MS, IDLE_MS, disruptions, 4_000)
                if bound_ms < min([until_ms, *cancels]) and not any(
                    r.end_ms > end_ms and r.start_ms <= bound_ms for r in found
                ):
                    yield f"LOST: {task} does not run at {bound_ms:.0f}, its turn from {end_ms:.0f}"


def check_capacity(
    runs: list[Run], jobs: Mapping[str, JobRecord], capacity: int, unguarded: set[str]
) -> Iterator[str]:
    """No start brings a worker that does not guard its capacity over it."""
    per_worker: dict[str, list[tuple[float, int, Run]]] = defaultdict(list)
    for run in runs:
        record = jobs.get(run.job)
        if record is not None and run.worker in unguarded:
            per_worker[run.worker].append((run.start_ms, record.shape.counted_cpu, run))
            per_worker[run.worker].append((run.end_ms, -record.shape.counted_cpu, run))
    for worker, changes in per_worker.items():
        used = 0
        for at_ms, change, run in sorted(changes, key=lambda c: (c[0], c[1])):
            used += change
            if change > 0 and used > capacity:
                yield f"CAPACITY: {run.task} at {at_ms:.0f} brings {worker} to {used} of {capacity}"


def check_states(
    runs: list[Run], jobs: Mapping[str, JobRecord], disruptions: list[Disruption]
) -> Iterator[str]:
    """An accepted job is known, is completed only when its tasks are, and stays ended.

    An instance may lag behind others, for `VISIBLE_MS` or while it may not reach the store, but
    never shows an earlier state than it has shown itself.
    """
    done = _done_ms(runs, jobs)
    for record in jobs.values():
        accepted_ms = record.accepted_ms
        final: Request | None = None  # the first that showed the job as ended
        ended_at: set[int] = set()  # instances that showed it as ended
        for req in sorted(record.answers("GET", 200, 410), key=lambda r: r.ended_ms):
            known = accepted_ms is not None and req.sent_ms > accepted_ms + VISIBLE_MS
            if req.status == 410 and known:
                yield f"LOST: {record.job} is unknown at entry-{req.instance}, {req.ended_ms:.0f}"
            if req.state == "completed":
                yield from _check_completed(record, req, done, jobs)
            if req.state == "cancelled" and not record.is_cancelling:
                yield f"LOST: {record.job} was shown as cancelled, and nobody cancelled it"
            if final is not None and req.state and req.state != final.state:
                lags = req.state not in FINAL_STATES and (
                    req.sent_ms <= final.ended_ms + VISIBLE_MS or _is_near_fault(req, disruptions)
                )
                if not lags or req.instance in ended_at:
                    change = f"{final.state}, then {req.state} at {req.ended_ms:.0f}"
                    yield f"STATE: {record.job} at entry-{req.instance} was {change}"
            if req.state in FINAL_STATES:
                final = final or req
                ended_at.add(req.instance)


def _check_completed(
    record: JobRecord, req: Request, done: Mapping[str, float], jobs: Mapping[str, JobRecord]
) -> Iterator[str]:
    for task in record.all_tasks():
        if done.get(_group(task, jobs), INF) > req.ended_ms:
            yield f"MIXED: {record.job} was completed at {req.ended_ms:.0f}, {task} was not done"
            return


def check_final_states(runs: list[Run], jobs: Mapping[str, JobRecord]) -> Iterator[str]:
    """Once calm, every accepted job is readable everywhere, and has ended or goes on."""
    tasks = _by_task(runs)
    for record in jobs.values():
        if record.accepted_ms is None or record.is_cancelling:
            continue
        for instance, state in record.final_states.items():
            if state not in ("queued", "running", *FINAL_STATES):
                yield f"LOST: {record.job} can not be read at entry-{instance} in the end: {state}"
            elif record.shape.kind != "standing" and state not in FINAL_STATES:
                yield f"LOST: {record.job} is {state} at entry-{instance} in the end"
            elif state == "failed" and not _has_cause_to_fail(record, tasks):
                yield f"LOST: {record.job} was shown as failed without cause"


def _has_cause_to_fail(record: JobRecord, tasks: Mapping[str, list[Run]]) -> bool:
    """Return whether a task has failed often enough, or two workers have crashed under it."""
    groups: dict[str, list[Run]] = defaultdict(list)
    for task in record.all_tasks():
        groups[_group(task, {record.job: record})] += tasks.get(task, [])
    for runs in groups.values():
        crashed_workers = {run.worker for run in runs if run.how in ("crashed", "boot")}
        if len({run.run for run in runs if run.how == "failed"}) >= MAX_ATTEMPTS:
            return True
        if len(crashed_workers) >= MIN_CRASHED_WORKERS:
            return True
    return False


def missing_standing_tasks(runs: list[Run], jobs: Mapping[str, JobRecord]) -> list[str]:
    """Return the tasks of standing jobs that are accepted and not cancelled, but do not run."""
    at_work = {run.task for run in runs if run.end_ms == INF}
    return [
        task
        for record in jobs.values()
        if record.shape.kind == "standing"
        and record.accepted_ms is not None
        and not record.is_cancelling
        for task in record.all_tasks()
        if task not in at_work
    ]


def check_answers(requests: Iterable[Request], disruptions: list[Disruption]) -> Iterator[str]:
    """Every request is answered in time, or its connection ends with its process."""
    for req in requests:
        where = f"{req.method} {req.job} at entry-{req.instance}, sent {req.sent_ms:.0f}"
        if req.status is not None and req.status not in STATUSES_ANSWERED:
            yield f"ANSWER: {where}: unexpected status {req.status}"
        own = [
            d
            for d in disruptions
            if d.instance == req.instance
            and d.from_ms <= req.ended_ms
            and d.to_ms + CONTACT_MS >= req.sent_ms
        ]
        if not own and (req.status is None or req.ended_ms - req.sent_ms > ANSWER_LIMIT_MS):
            took_ms = req.ended_ms - req.sent_ms
            yield f"ANSWER: {where}: {req.status or req.error} after {took_ms:.0f} ms"
        # A planned stop alone does not excuse an open request.
        if (
            req.status is None
            and not req.unsent
            and own
            and all(d.kind == "terminate" for d in own)
            and req.ended_ms - req.sent_ms > CUT_SLACK_MS
            and not _is_near_fault(req, disruptions)
        ):
            yield f"CUT: {where}: {req.error} at {req.ended_ms:.0f} in a planned stop"


def _is_near_fault(req: Request, disruptions: list[Disruption]) -> bool:
    return any(
        d.kind != "terminate"
        and d.from_ms <= req.ended_ms
        and d.to_ms + CONTACT_MS >= req.sent_ms - CONTACT_MS
        for d in disruptions
    )


def check_log_line(line: bytes, versions: dict[str, int], source: str) -> Iterator[str]:
    """Every log line is a JSON object without an unexpected error; versions never go back."""
    try:
        fields: Any = msgspec.json.decode(line)
    except ValueError:
        fields = None
    if not isinstance(fields, dict) or "event" not in fields:
        yield f"LOG: {source} wrote a line that is no JSON event: {line[:200]!r}"
        return
    if fields["event"] in ("task_failed", "log_lines_dropped"):
        yield f"LOG: {source}: {line[:300].decode(errors='replace')}"
    if fields["event"] == "started":
        versions.pop(source, None)
    if fields["event"] == "configuration":
        if fields["version"] < versions.get(source, 0):
            yield f"CONFIG: {source} went back to version {fields['version']}"
        versions[source] = fields["version"]


def check_all(
    events: Iterable[Event],
    jobs: Mapping[str, JobRecord],
    disruptions: list[Disruption],
    capacity: int,
    unguarded: set[str],
    senders: Mapping[str, int] | None = None,
    racks: Mapping[str, str] | None = None,
) -> list[str]:
    """Run every check that needs the whole history.

    `senders` has the instances by their addresses, `racks` those of the workers.
    """
    events = list(events)
    runs = build_runs(events)
    disruptions = [*disruptions, *list(crashes_of_workers(events))]
    until_ms = max((event["t"] for event in events), default=0.0)
    requests = [req for record in jobs.values() for req in record.requests]
    _mark_in_touch(runs, disruptions, senders or {})
    return [
        *check_senders(events, senders or {}),
        *check_two_places(runs, jobs),
        *check_restarts_after_done(runs, jobs),
        *check_attempts(runs, jobs),
        *check_order(runs, jobs),
        *check_refusals(runs, jobs),
        *check_cancelled(runs, jobs, disruptions, until_ms),
        *check_routes(runs, jobs, racks or {}),
        *check_draining(runs),
        *check_evacuations(runs, events, racks or {}),
        *check_gangs(runs, jobs, disruptions),
        *check_available(runs, jobs, disruptions),
        *check_pending(runs, jobs, disruptions),
        *check_acknowledgements(runs, events, jobs, disruptions, until_ms),
        *check_lasting(runs, jobs, disruptions, until_ms),
        *check_capacity(runs, jobs, capacity, unguarded),
        *check_states(runs, jobs, disruptions),
        *check_final_states(runs, jobs),
        *check_answers(requests, disruptions),
    ]
