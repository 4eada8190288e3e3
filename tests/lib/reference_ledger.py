"""A reference model of the ledger, compared with the real one by tests.

It keeps one request in memory, and each operation is atomic.
"""

import dataclasses

from nutmegknot._internal.ledger import ledgers
from nutmegknot._internal.models import outcomes
from nutmegknot._internal.models import reports
from nutmegknot._internal.models import requests

MAX_FAILED_ATTEMPTS = 4


@dataclasses.dataclass(slots=True, frozen=True)
class State:
    """State of one accepted request."""

    req: requests.Request
    attempt: int = 0
    workers: tuple[str, ...] = ()
    started: bool = False
    failures: int = 0
    cancelled: bool = False
    outcome: outcomes.FinalOutcome | None = None


def observe(entry: ledgers.Entry | None) -> State | None:
    """Converts an entry of the real ledger to a state of the model."""
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
    """Accepts a request unless it is known already."""
    return State(req) if state is None else state


def cancel(state: State | None) -> State | None:
    """Marks a request without an outcome as cancelled."""
    if state is None or state.outcome is not None:
        return state
    return dataclasses.replace(state, cancelled=True)


def report(
    state: State | None,
    attempt: int,
    update: reports.Running | reports.Ended | reports.Returned,
) -> State | None:
    """Applies a report on an attempt; reports on other attempts are ignored."""
    if state is None or state.outcome is not None or state.attempt != attempt:
        return state
    if isinstance(update, reports.Running):
        return dataclasses.replace(state, workers=update.workers, started=True)
    if isinstance(update, reports.Ended):
        return dataclasses.replace(state, outcome=update.outcome)
    has_run = update.may_have_run or bool(state.workers)
    started = has_run or state.started
    failures = state.failures + (update.reason == 'failed')
    outcome: outcomes.FinalOutcome | None = None
    if state.cancelled:
        outcome = outcomes.Cancelled(started)
    elif started and not state.req.repeatable:
        outcome = outcomes.MayHaveRun(update.detail)
    elif failures >= MAX_FAILED_ATTEMPTS:
        reason = outcomes.FailureReason.TASK_FAILED
        outcome = outcomes.Failed(reason, update.detail, started)
    if outcome is not None:
        return dataclasses.replace(state, outcome=outcome)
    return dataclasses.replace(
        state,
        attempt=attempt + 1,
        workers=(),
        started=started,
        failures=failures,
    )
