"""Choice of the workers about which advice is requested, and when.

For some queues an external service, the adviser, decides which workers may run
a stage. Its advice is a ticket for each suitable worker; tickets expire.

Load pattern: few workers are suitable for a stage, a call for advice takes
longer than a short task, tickets expire soon, and other stages take the free
resources while the call is under way.
"""

from nutmegknot._internal.decisions import plans
from nutmegknot._internal.models import advice_requests
from nutmegknot._internal.models import cluster_state
from nutmegknot._internal.models import job_settings
from nutmegknot._internal.models import jobs

# Time for which a ticket must still be valid when a start is decided, in ms,
# beyond the lag of the process that sends it.
MIN_TICKET_REMAINING_MS = 150
# Longest addition to that time for the lag, in ms, so that tickets with a short
# validity remain usable.
MAX_TICKET_LAG_MS = 400
# Largest number of workers in one call for advice.
MAX_WORKERS_PER_CALL = 30
# A ticket for a reserved worker is renewed once it expires within this time
# plus the expected time of the call for advice, in ms.
RENEWAL_MARGIN_MS = 300
# Tickets for reserved workers are renewed only while a planning pass has made
# fewer requests for advice than this.
RENEWAL_CALL_LIMIT = 4


def has_valid_ticket(
    stage: jobs.Stage,
    info: cluster_state.WorkerInfo,
    now_ms: int,
    margin_ms: int,
) -> bool:
    """Returns whether a stage's ticket for a worker is valid long enough.

    Args:
      stage: The stage.
      info: The worker.
      now_ms: Monotonic time in ms.
      margin_ms: Time from now for which the ticket must be valid, in ms.
    """
    ticket = stage.advice.tickets.get(info.worker.id)
    return (
        ticket is not None
        and ticket.life == info.worker.life
        and now_ms + margin_ms < ticket.until_ms
    )


def is_advised(stage: jobs.Stage, info: cluster_state.WorkerInfo) -> bool:
    """Returns whether advice named a worker suitable since its last restart.

    The ticket from that advice may have expired.
    """
    ticket = stage.advice.tickets.get(info.worker.id)
    return ticket is not None and ticket.life == info.worker.life


def list_advised(
    stage: jobs.Stage, eligible: plans.EligibleWorkers
) -> list[cluster_state.WorkerInfo]:
    """Returns the eligible workers that advice named, in their order.

    The cost follows the number of tickets, not that of the workers.
    """
    positions = sorted(
        eligible.positions[id]
        for id in stage.advice.tickets
        if id in eligible.positions
    )
    infos = (eligible.infos[position] for position in positions)
    return [info for info in infos if is_advised(stage, info)]


def compute_ticket_margin(plan: plans.Plan) -> int:
    """Returns how long a ticket must still be valid for a start, in ms.

    Load pattern: the owner has so much work that its commands leave it late.
    With a ticket that expires meanwhile, a start is refused, and the stage
    needs new advice, which adds to the load.
    """
    return MIN_TICKET_REMAINING_MS + min(plan.lag_ms, MAX_TICKET_LAG_MS)


def list_ticket_holders(
    plan: plans.Plan,
    stage: jobs.Stage,
    eligible: plans.EligibleWorkers,
    now_ms: int,
) -> list[cluster_state.WorkerInfo]:
    """Returns the eligible workers on which the stage may start now."""
    margin_ms = compute_ticket_margin(plan)
    return [
        info
        for info in list_advised(stage, eligible)
        if has_valid_ticket(stage, info, now_ms, margin_ms)
    ]


def choose_workers_to_ask(
    plan: plans.Plan,
    stage: jobs.Stage,
    eligible: plans.EligibleWorkers,
    now_ms: int,
) -> list[str]:
    """Returns the ids of the workers to request advice on for a stage.

    Workers that earlier advice named come first, if the stage fits there now
    and only a valid ticket is missing. If there are none, workers that were
    not asked about come next, those on which the stage fits now first. After
    the first call, unasked workers are asked about only if the stage fits now
    on at least one of them.
    """
    counts = plans.count_tasks_by_worker(stage)
    margin_ms = compute_ticket_margin(plan)

    def fits_now(info: cluster_state.WorkerInfo) -> bool:
        return plans.can_start_task(plan, stage.step, info.worker.id, counts)

    expired = [
        info.worker.id
        for info in list_advised(stage, eligible)
        if not has_valid_ticket(stage, info, now_ms, margin_ms)
        and fits_now(info)
    ]
    if expired:
        return expired[:MAX_WORKERS_PER_CALL]
    unasked = [
        info
        for info in eligible.infos
        if stage.advice.asked.get(info.worker.id) != info.worker.life
    ]
    if stage.advice.asked and not any(fits_now(info) for info in unasked):
        return []
    unasked.sort(key=fits_now, reverse=True)
    return [info.worker.id for info in unasked[:MAX_WORKERS_PER_CALL]]


def list_expiring(
    queue: job_settings.JobQueue,
    stage: jobs.Stage,
    infos: list[cluster_state.WorkerInfo],
    now_ms: int,
) -> list[str]:
    """Returns the ids of workers whose tickets must be renewed now.

    These tickets would expire before new advice could arrive.

    Args:
      queue: The job queue that the stage belongs to.
      stage: The stage.
      infos: The workers that are reserved for the stage.
      now_ms: Monotonic time in ms.
    """
    advice_ms = (
        queue.advice_base_ms + queue.advice_per_worker_us * len(infos) / 1000
    )
    margin_ms = int(advice_ms) + RENEWAL_MARGIN_MS
    return [
        info.worker.id
        for info in infos
        if is_advised(stage, info)
        and not has_valid_ticket(stage, info, now_ms, margin_ms)
    ]


def hold_advised_workers(
    plan: plans.Plan, stage: jobs.Stage, max_tasks: int
) -> int:
    """Holds resources for a stage on the workers that advice named for it.

    Args:
      plan: The plan so far; the resources are subtracted from it.
      stage: The stage.
      max_tasks: Number of tasks that need resources.

    Returns:
      The number of tasks for which resources are held.
    """
    counts = plans.count_tasks_by_worker(stage)
    held_count = 0
    for id in stage.advice.tickets:
        if held_count >= max_tasks:
            break
        if plans.can_start_task(plan, stage.step, id, counts):
            plans.deduct_free(plan, id, jobs.get_reserved(stage.step))
            held_count += 1
    return held_count


def add_advice_request(
    plan: plans.Plan, ranked: plans.RankedStage, ids: list[str]
) -> None:
    """Adds a request for advice on workers.

    Nothing is added if there are no workers to ask about, or if the stage has
    a request under way.
    """
    if ids and not ranked.stage.advice.is_asking:
        plan.advice_requests.append(
            advice_requests.AdviceRequest(
                ranked.rank, ranked.job, ranked.stage, ids
            )
        )
