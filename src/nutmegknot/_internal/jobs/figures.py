"""What an instance counts and measures about jobs."""

import dataclasses

from nutmegknot._internal.telemetry import counters

# Upper bounds of buckets for calls and for waits in ms, and for percentages.
CALL_BOUNDS_MS = (2, 5, 10, 25, 50, 100, 250, 500, 1_000, 2_500)
PERCENT_BOUNDS = (25, 50, 75, 100, 150, 200, 300, 500)
WAIT_BOUNDS_MS = (25, 50, 100, 250, 500, 1_000, 2_500, 6_400, 15_000, 60_000)


@dataclasses.dataclass(slots=True, frozen=True)
class Figures:
    """Counters and histograms of one instance.

    Attributes:
      calls: Callers' calls, by kind and outcome.
      refusals: Jobs and calls refused, by reason.
      ended: Jobs that ended, by queue and state.
      starts: Starts, by outcome.
      runs: Ends of runs, by how.
      stops: Runs stopped, by cause.
      writes: Writes to the store, by result.
      takeovers: Ownerships that began or were lost, by which.
      advice: Calls for advice, by outcome.
      call_ms: Time of callers' calls, by kind.
      accept_ms: Time from a job's arrival at the owner to its acceptance.
      wait_ms: Time from a task's turn to its start, by queue.
      start_ms: Time of orders to start.
      write_ms: Time of writes to the store.
      advice_ms: Time of calls for advice.
      job_percent: Time of completed jobs in percent of their objective, by
        queue.
    """

    calls: counters.Counter
    refusals: counters.Counter
    ended: counters.Counter
    starts: counters.Counter
    runs: counters.Counter
    stops: counters.Counter
    writes: counters.Counter
    takeovers: counters.Counter
    advice: counters.Counter
    call_ms: counters.Histogram
    accept_ms: counters.Histogram
    wait_ms: counters.Histogram
    start_ms: counters.Histogram
    write_ms: counters.Histogram
    advice_ms: counters.Histogram
    job_percent: counters.Histogram


def make_figures() -> Figures:
    """Returns figures that have counted nothing."""
    count, measure = counters.Counter, counters.make_histogram
    return Figures(
        calls=count('calls', 'Calls of callers.', ('kind', 'outcome')),
        refusals=count('refusals', 'Calls and jobs refused.', ('reason',)),
        ended=count('jobs_ended', 'Jobs that ended.', ('queue', 'state')),
        starts=count('starts', 'Orders to start.', ('outcome',)),
        runs=count('runs_ended', 'Runs that ended.', ('how',)),
        stops=count('stops', 'Runs stopped.', ('why',)),
        writes=count('store_writes', 'Writes to the store.', ('result',)),
        takeovers=count('ownerships', 'Changes of ownership.', ('change',)),
        advice=count('advice', 'Calls for advice.', ('outcome',)),
        call_ms=measure('call_ms', 'Callers calls.', ('kind',), CALL_BOUNDS_MS),
        accept_ms=measure('accept_ms', 'Acceptances.', (), CALL_BOUNDS_MS),
        wait_ms=measure(
            'task_wait_ms', 'Waits for a start.', ('queue',), WAIT_BOUNDS_MS
        ),
        start_ms=measure('start_ms', 'Orders to start.', (), CALL_BOUNDS_MS),
        write_ms=measure('write_ms', 'Writes.', (), CALL_BOUNDS_MS),
        advice_ms=measure('advice_ms', 'Advice.', (), CALL_BOUNDS_MS),
        job_percent=measure(
            'job_percent',
            'Completed jobs, percent of their objective.',
            ('queue',),
            PERCENT_BOUNDS,
        ),
    )


def list_counters(figures: Figures) -> list[counters.Counter]:
    """Returns all counters."""
    fields = dataclasses.fields(figures)
    values = [getattr(figures, field.name) for field in fields]
    return [v for v in values if isinstance(v, counters.Counter)]


def list_histograms(figures: Figures) -> list[counters.Histogram]:
    """Returns all histograms."""
    fields = dataclasses.fields(figures)
    values = [getattr(figures, field.name) for field in fields]
    return [v for v in values if isinstance(v, counters.Histogram)]
