"""A naive ledger in memory: each step takes effect at once or not at all."""

import dataclasses

from nutmegknot._internal.ledger import ledgers
from nutmegknot._internal.models import outcomes
from nutmegknot._internal.models import reports
from nutmegknot._internal.models import requests

ATTEMPTS = 4


@dataclasses.dataclass(slots=True, frozen=True)
class State:
    """What is promised of one accepted request."""

    req: requests.Request
    attempt: int = 0
    workers: tuple[str, ...] = ()
    started: bool = False
    failures: int = 0
    cancelled: bool = False
    outcome: outcomes.Final | None = None


def observe(entry: ledgers.Entry | None) -> State | None:
    """Returns the state that an entry shows."""
    if entry is None:
        return None
    return State(
        entry.req,
        entry.attempt,
        entry.workers,
        entry.started,
        entry.failures,
        entry.cancelled,
        entry.outcome,
    )


def submit(state: State | None, req: requests.Request) -> State | None:
    """Accepts a request that is not known."""
    return State(req) if state is None else state


def cancel(state: State | None) -> State | None:
    """Cancels an open request."""
    if state is None or state.outcome is not None:
        return state
    return dataclasses.replace(state, cancelled=True)


def report(
    state: State | None,
    attempt: int,
    news: reports.Running | reports.Ended | reports.Returned,
) -> State | None:
    """Takes the news of an attempt."""
    if state is None or state.outcome is not None or state.attempt != attempt:
        return state
    if isinstance(news, reports.Running):
        return dataclasses.replace(state, workers=news.workers, started=True)
    if isinstance(news, reports.Ended):
        return dataclasses.replace(state, outcome=news.outcome)
    has_run = news.may_have_run or bool(state.workers)
    started = has_run or state.started
    failures = state.failures + (news.reason == 'failed')
    final: outcomes.Final | None = None
    if state.cancelled:
        final = outcomes.Cancelled(started)
    elif started and not state.req.repeatable:
        final = outcomes.MayHaveRun(news.detail)
    elif failures >= ATTEMPTS:
        reason = outcomes.FailureReason.TASK_FAILED
        final = outcomes.Failed(reason, news.detail, started)
    if final is not None:
        return dataclasses.replace(state, outcome=final)
    return dataclasses.replace(
        state,
        attempt=attempt + 1,
        workers=(),
        started=started,
        failures=failures,
    )
