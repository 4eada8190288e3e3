"""Reads the platform's list of workers, which lags behind the workers."""

import asyncio

import xxhash

from nutmegknot._internal.backing import tables
from nutmegknot._internal.decisions import scheduling
from nutmegknot._internal.fleet import contexts
from nutmegknot._internal.fleet import fleets
from nutmegknot._internal.fleet import sessions
from nutmegknot._internal.models import workers
from nutmegknot._internal.utils import clock
from nutmegknot._internal.utils import signals
from nutmegknot._internal.utils import tasks


async def run_worker_list_loop(
    fleet: fleets.Fleet, context: contexts.Context
) -> None:
    """Reads the list at intervals until cancelled or fenced."""
    settings = context.settings
    while not fleet.fenced.is_set():
        listed = await context.platform.list_workers(
            settings.platform.timeout_ms
        )
        if not isinstance(listed, tables.Unavailable):
            process_changed_list(fleet, context, listed)
        await asyncio.sleep(clock.to_seconds(settings.fleet.list_ms))


def process_changed_list(
    fleet: fleets.Fleet,
    context: contexts.Context,
    listed: list[workers.Worker],
) -> None:
    """Processes a list unless it is the object that was processed last."""
    if listed is not fleet.last_worker_list:
        process_list(fleet, context, listed)
        fleet.last_worker_list = listed


def process_list(
    fleet: fleets.Fleet,
    context: contexts.Context,
    listed: list[workers.Worker],
) -> None:
    """Opens sessions with new workers, and updates known ones.

    Workers that are leaving or no longer listed get no more tasks.
    """
    partition_count = context.settings.cell.domain_partitions
    mine = [
        worker
        for worker in listed
        if worker.domain == fleet.domain
        and choose_partition_number(worker.id, partition_count) == fleet.number
        and worker.state is not workers.TargetState.GONE
    ]
    for worker in mine:
        session = fleet.sessions.get(worker.id)
        if session is None:
            _open_session(fleet, context, worker)
            continue
        session.worker = worker
        if worker.state is workers.TargetState.LEAVING:
            scheduling.remove_worker(fleet.scheduler, worker.id)
        elif session.claimed:
            scheduling.add_worker(fleet.scheduler, worker)
    present = {worker.id for worker in mine}
    for worker_id in fleet.sessions.keys() - present:
        scheduling.remove_worker(fleet.scheduler, worker_id)
    if not fleet.listed:
        fleet.listed = True
    signals.notify(fleet.scheduling_needed)


def choose_partition_number(worker_id: str, partition_count: int) -> int:
    """Returns the number of the partition in a domain that has the worker."""
    return xxhash.xxh64_intdigest(worker_id.encode()) % partition_count


def _open_session(
    fleet: fleets.Fleet, context: contexts.Context, worker: workers.Worker
) -> None:
    now_ms = context.clock.now_ms()
    session = fleets.Session(
        worker,
        context.platform.connect(worker),
        renewed_ms=now_ms,
        last_answer_ms=now_ms,
    )
    fleet.sessions[worker.id] = session
    tasks.spawn(
        context.tasks,
        sessions.run_poll_loop(fleet, context, session),
        f'poll {worker.id}',
    )
    tasks.spawn(
        context.tasks,
        sessions.run_send_loop(fleet, context, session),
        f'send {worker.id}',
    )
