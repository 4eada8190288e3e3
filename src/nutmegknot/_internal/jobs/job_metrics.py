"""Counters and histograms of an instance about jobs and their runs."""

import dataclasses

from nutmegknot._internal.network import client_limits
from nutmegknot._internal.telemetry import instruments

CALL_BUCKET_BOUNDS_MS = (2, 5, 10, 25, 50, 100, 250, 500, 1_000, 2_500)
OBJECTIVE_BUCKET_BOUNDS_PERCENT = (25, 50, 75, 100, 150, 200, 300, 500)
WAIT_BUCKET_BOUNDS_MS = (
    25,
    50,
    100,
    250,
    500,
    1_000,
    2_500,
    6_400,
    15_000,
    60_000,
)


@dataclasses.dataclass(slots=True, frozen=True)
class JobMetrics:
    """Counters and histograms of one instance.

    Attributes:
      calls: Callers' calls, by kind and outcome.
      refusals: Jobs and calls refused, by reason.
      overload_refusals: Jobs refused as they would have ended too late, by
        queue.
      jobs_ended: Jobs that ended, by queue and state.
      starts: Start commands to workers, by outcome.
      runs_ended: Runs that ended, by the way they ended.
      stops: Stopped runs, by cause.
      writes: Writes to the store, by result.
      ownership_changes: Ownerships of the jobs, by whether they were gained or
        ended.
      advice: Calls for advice, by outcome.
      client_closings: Connections closed and requests refused for the limits
        on clients, by reason.
      call_ms: Duration of callers' calls, by kind.
      accept_ms: Time from a job's arrival at the owner to its acceptance.
      wait_ms: Time for which a task could run before its start was decided on,
        by queue.
      start_ms: Duration of start commands.
      write_ms: Duration of writes to the store.
      advice_ms: Duration of calls for advice.
      job_percent: Time from acceptance to completion of jobs, in percent of the
        time objective of the job, by queue.
    """

    calls: instruments.Counter
    refusals: instruments.Counter
    overload_refusals: instruments.Counter
    jobs_ended: instruments.Counter
    starts: instruments.Counter
    runs_ended: instruments.Counter
    stops: instruments.Counter
    writes: instruments.Counter
    ownership_changes: instruments.Counter
    advice: instruments.Counter
    client_closings: instruments.Counter
    call_ms: instruments.Histogram
    accept_ms: instruments.Histogram
    wait_ms: instruments.Histogram
    start_ms: instruments.Histogram
    write_ms: instruments.Histogram
    advice_ms: instruments.Histogram
    job_percent: instruments.Histogram


def make_job_metrics() -> JobMetrics:
    """Returns new metrics."""
    count, measure = instruments.Counter, instruments.make_histogram
    return JobMetrics(
        calls=count('calls', 'Calls of callers.', ('kind', 'outcome')),
        refusals=count('refusals', 'Calls and jobs refused.', ('reason',)),
        overload_refusals=count(
            'overload_refusals', 'Jobs refused for overload.', ('queue',)
        ),
        jobs_ended=count('jobs_ended', 'Jobs that ended.', ('queue', 'state')),
        starts=count('starts', 'Orders to start.', ('outcome',)),
        runs_ended=count('runs_ended', 'Runs that ended.', ('how',)),
        stops=count('stops', 'Runs stopped.', ('why',)),
        writes=count('store_writes', 'Writes to the store.', ('result',)),
        ownership_changes=count(
            'ownerships', 'Changes of ownership.', ('change',)
        ),
        advice=count('advice', 'Calls for advice.', ('outcome',)),
        client_closings=client_limits.make_counter(),
        call_ms=measure(
            'call_ms', 'Callers calls.', ('kind',), CALL_BUCKET_BOUNDS_MS
        ),
        accept_ms=measure(
            'accept_ms', 'Acceptances.', (), CALL_BUCKET_BOUNDS_MS
        ),
        wait_ms=measure(
            'task_wait_ms',
            'Waits for a start.',
            ('queue',),
            WAIT_BUCKET_BOUNDS_MS,
        ),
        start_ms=measure(
            'start_ms', 'Orders to start.', (), CALL_BUCKET_BOUNDS_MS
        ),
        write_ms=measure('write_ms', 'Writes.', (), CALL_BUCKET_BOUNDS_MS),
        advice_ms=measure('advice_ms', 'Advice.', (), CALL_BUCKET_BOUNDS_MS),
        job_percent=measure(
            'job_percent',
            'Completed jobs, percent of their objective.',
            ('queue',),
            OBJECTIVE_BUCKET_BOUNDS_PERCENT,
        ),
    )


def list_counters(metrics: JobMetrics) -> list[instruments.Counter]:
    """Returns all counters."""
    fields = dataclasses.fields(metrics)
    values = [getattr(metrics, field.name) for field in fields]
    return [v for v in values if isinstance(v, instruments.Counter)]


def list_histograms(metrics: JobMetrics) -> list[instruments.Histogram]:
    """Returns all histograms."""
    fields = dataclasses.fields(metrics)
    values = [getattr(metrics, field.name) for field in fields]
    return [v for v in values if isinstance(v, instruments.Histogram)]
