"""Delays and refuses work while the workers have too little capacity.

What is delayed is decided in decisions/backlogs.py, and what is refused in
decisions/admission_checks.py; this module keeps, logs and counts the results.
"""

import logging

from nutmegknot._internal.decisions import admission_checks
from nutmegknot._internal.decisions import backlogs
from nutmegknot._internal.decisions import customer_rates
from nutmegknot._internal.jobs import advice_calls
from nutmegknot._internal.jobs import ownerships
from nutmegknot._internal.models import job_settings
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import outcomes
from nutmegknot._internal.telemetry import instruments

logger = logging.getLogger(__name__)

# Interval between two assessments of the backlog. Shorter than the slack of the
# shortest work, and long enough that they take little of a slow processor.
ASSESSMENT_INTERVAL_MS = 100
# Shortest time after which a caller that was refused may return.
MIN_RETRY_AFTER_MS = 1_000
# Longest such time, as a backlog may end sooner than estimated.
MAX_RETRY_AFTER_MS = 30_000
# Largest random addition to that time, as a part of it, so that callers do not
# all return at once.
RETRY_JITTER_RATIO = 0.5


def update_backlog(ownership: ownerships.Ownership) -> None:
    """Decides again, at intervals, which of the waiting stages are delayed."""
    now_ms = ownership.clock.now_ms()
    if now_ms < ownership.backlog_due_ms:
        return
    ownership.backlog_due_ms = now_ms + ASSESSMENT_INTERVAL_MS
    cluster = ownership.cluster
    backlog = backlogs.assess_backlog(
        cluster, ownership.load_averages, now_ms, ownership.clock.wall_ms()
    )
    ownership.backlog = backlog
    if not ownership.limits.delays_under_overload:
        return
    if bool(backlog.deferred) != bool(cluster.deferred_stages):
        logger.info(
            'backlog_late' if backlog.deferred else 'backlog_on_time',
            extra={
                'deferred': len(backlog.deferred),
                'too_late': len(backlog.too_late),
                'waiting': len(cluster.waiting_stages),
            },
        )
    cluster.overloaded_pools = backlog.overloaded_pools
    cluster.deferred_stages = backlog.deferred
    cluster.too_late_stages = backlog.too_late
    advice_calls.update_ranks(ownership)


def restore_rates(ownership: ownerships.Ownership) -> None:
    """Rebuilds the customers' rates from the jobs that were loaded."""
    ownership.rates = customer_rates.rebuild_rates(
        list(ownership.cluster.jobs.values()),
        ownership.cluster.settings.customers,
        ownership.limits.rate_limits,
    )


def record_accepted_job(ownership: ownerships.Ownership, job: jobs.Job) -> None:
    """Counts a job towards its customer's rate."""
    customer = ownership.cluster.settings.customers.get(job.spec.customer)
    if customer is None:
        return
    wall_ms, limits = job.spec.accepted_ms, ownership.limits.rate_limits
    was_over = customer.name in ownership.customers_over
    job.is_excess = customer_rates.record_job(
        ownership.rates, customer, wall_ms, limits
    )
    is_over = customer_rates.has_exceeded_lately(
        ownership.rates, customer.name, wall_ms, limits
    )
    if is_over == was_over:
        return
    if is_over:
        ownership.customers_over.add(customer.name)
    else:
        ownership.customers_over.discard(customer.name)
    logger.info(
        'customer_rate_exceeded' if is_over else 'customer_rate_restored',
        extra={
            'customer': customer.name,
            'weight': customer.weight,
            'window_ms': limits.window_ms,
        },
    )


def forget_rejected_job(ownership: ownerships.Ownership, job: jobs.Job) -> None:
    """Takes back the count of a job that could not be stored."""
    if not job.is_excess:
        customer_rates.forget_job(
            ownership.rates, job.spec.customer, job.spec.accepted_ms
        )


def find_refusal(
    ownership: ownerships.Ownership,
    spec: jobs.JobSpec,
    queue: job_settings.JobQueue,
) -> outcomes.Refused | None:
    """Returns the refusal of a job that can't end while it is worth anything.

    While runs of an earlier owner may be unknown, nothing is refused.
    """
    cluster = ownership.cluster
    now_ms = ownership.clock.now_ms()
    if (
        cluster.takeover_complete_ms is None
        or now_ms < cluster.takeover_complete_ms
    ):
        return None
    is_excess = customer_rates.is_above_rate(
        ownership.rates,
        cluster.settings.customers.get(spec.customer),
        ownership.clock.wall_ms(),
        ownership.limits.rate_limits,
    )
    delay = admission_checks.find_excessive_delay(
        cluster, ownership.backlog, spec, queue, is_excess=is_excess
    )
    if delay is None:
        return None
    instruments.increment(ownership.metrics.overload_refusals, queue.name)
    wait_ms = min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, delay.drain_ms))
    jitter_ms = int(ownership.rng.random() * RETRY_JITTER_RATIO * wait_ms)
    return outcomes.Refused(
        outcomes.RefusalReason.OVERLOADED,
        f'backlog of {delay.backlog_ms} ms, at most {delay.max_wait_ms} ms',
        wait_ms + jitter_ms,
    )
