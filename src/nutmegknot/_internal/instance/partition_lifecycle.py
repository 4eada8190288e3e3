"""Opens, closes and hands over the partitions that this instance owns."""

import asyncio
import logging
import random

from nutmegknot._internal.backing import tables
from nutmegknot._internal.codec import policies
from nutmegknot._internal.decisions import scheduling
from nutmegknot._internal.fleet import assigned_requests
from nutmegknot._internal.fleet import contexts
from nutmegknot._internal.fleet import fleets
from nutmegknot._internal.fleet import report_sender
from nutmegknot._internal.fleet import scheduling_loop
from nutmegknot._internal.fleet import start_requests
from nutmegknot._internal.fleet import team_grants
from nutmegknot._internal.fleet import worker_lists
from nutmegknot._internal.instance import authority
from nutmegknot._internal.instance import fleet_selection
from nutmegknot._internal.instance import instance_metrics
from nutmegknot._internal.instance import instances
from nutmegknot._internal.instance import ledger_client
from nutmegknot._internal.instance import ledger_opening
from nutmegknot._internal.ledger import journals
from nutmegknot._internal.ledger import ledgers
from nutmegknot._internal.ledger import start_permissions
from nutmegknot._internal.membership import partition_ownership
from nutmegknot._internal.membership import rows
from nutmegknot._internal.membership import views
from nutmegknot._internal.models import reports
from nutmegknot._internal.telemetry import instruments
from nutmegknot._internal.utils import clock
from nutmegknot._internal.utils import signals
from nutmegknot._internal.utils import tasks

logger = logging.getLogger(__name__)

HANDOVER_FLUSH_TIMEOUT_MS = 3_000
HANDOVER_POLL_INTERVAL_MS = 50


async def run_ownership_loop(inst: instances.Instance) -> None:
    """Acquires free partitions and hands over surplus ones, until a stop."""
    view = inst.membership.view
    count = -1
    while not view.stopping:
        wait_ms = partition_ownership.compute_wait_ms(inst.membership)
        count = await signals.wait_with_timeout(view.changed, count, wait_ms)
        async with inst.ownership_lock:
            await close_lost_partitions(inst)
            if not view.stopping and authority.may_act(inst):
                await _balance_partitions(inst)


async def _balance_partitions(inst: instances.Instance) -> None:
    """Acquires free partitions, then hands over at most one surplus one."""
    await _resolve_unserved(inst)
    for name in partition_ownership.list_acquirable(inst.membership):
        if await partition_ownership.acquire(inst.membership, name):
            await open_partition(inst, name)
    surplus = partition_ownership.find_partition_to_release(
        inst.membership, list(inst.partition_tasks)
    )
    if surplus:
        await hand_over(inst, surplus)
    await partition_ownership.remove_expired_members(inst.membership)


async def _resolve_unserved(inst: instances.Instance) -> None:
    """Opens or releases partitions that are owned but not served.

    A partition is in this state after an acquisition whose reply was lost. An
    epoch that has been served before is not served again, because the state
    that was kept in memory under it is lost; the partition is released instead.
    """
    view = inst.membership.view
    for name in partition_ownership.list_unserved(
        inst.membership, list(inst.partition_tasks)
    ):
        if views.get_epoch(view, name) > inst.opened_epochs.get(name, 0):
            await open_partition(inst, name)
        else:
            await partition_ownership.release(inst.membership, name)


async def close_lost_partitions(inst: instances.Instance) -> None:
    """Stops serving partitions that have another owner or epoch by now."""
    view = inst.membership.view
    served_epochs = {
        name: ledger.epoch for name, ledger in inst.ledgers.items()
    }
    served_epochs |= {name: fleet.epoch for name, fleet in inst.fleets.items()}
    for name, epoch in served_epochs.items():
        is_mine = views.owns(view, name)
        if not is_mine or views.get_epoch(view, name) != epoch:
            logger.warning('partition_lost', extra={'partition': name})
            await close_partition(inst, name)


async def open_partition(inst: instances.Instance, name: str) -> None:
    """Opens an owned partition, under an epoch not served before."""
    instruments.increment(inst.metrics.takeovers, name.partition('-')[0])
    inst.opened_epochs[name] = views.get_epoch(inst.membership.view, name)
    if name.startswith('ledger-'):
        await ledger_opening.open_ledger(inst, name, get_fence(inst, name))
    else:
        _open_fleet(inst, name)


def get_fence(inst: instances.Instance, name: str) -> tables.Condition:
    """Returns the write condition that a partition's owner has not changed."""
    version = inst.membership.view.owner_versions[name]
    return tables.Condition(rows.get_owner_key(name), version)


def _open_fleet(inst: instances.Instance, name: str) -> None:
    view = inst.membership.view
    domain = fleet_selection.get_domain(name)
    fleet = fleets.Fleet(
        name=name,
        epoch=views.get_epoch(view, name),
        domain=domain,
        number=int(name.rpartition('-')[2]),
        scheduler=scheduling.Scheduler(
            domain,
            view.configuration,
            policy=policies.decode_policy(inst.settings.decisions),
            rng=random.Random(inst.settings.decisions.seed),
        ),
    )
    partition_tasks = tasks.TaskSet(first_error=inst.tasks.first_error)
    context = _make_fleet_context(inst, fleet, partition_tasks)
    inst.fleets[name] = fleet
    inst.partition_tasks[name] = partition_tasks
    tasks.spawn(
        partition_tasks,
        worker_lists.run_worker_list_loop(fleet, context),
        f'list {name}',
    )
    tasks.spawn(
        partition_tasks,
        scheduling_loop.run_scheduling_loop(fleet, context),
        f'place {name}',
    )
    tasks.spawn(
        partition_tasks,
        team_grants.run_grant_loop(fleet, context),
        f'grant {name}',
    )
    tasks.spawn(
        partition_tasks,
        _run_configuration_loop(inst, fleet),
        f'configure {name}',
    )
    for ledger in partition_ownership.list_partitions(inst.settings):
        if ledger.startswith('ledger-'):
            tasks.spawn(
                partition_tasks,
                report_sender.run_report_loop(fleet, context, ledger),
                f'report {name} {ledger}',
            )
            tasks.spawn(
                partition_tasks,
                start_requests.run_start_request_loop(fleet, context, ledger),
                f'begin {name} {ledger}',
            )
    logger.info('fleet_opened', extra={'partition': name})


def _make_fleet_context(
    inst: instances.Instance,
    fleet: fleets.Fleet,
    partition_tasks: tasks.TaskSet,
) -> contexts.Context:
    async def send_reports(ledger: str, unsent: list[reports.Report]) -> bool:
        is_durable = await ledger_client.send_reports(inst, ledger, unsent)
        if is_durable:
            instance_metrics.record_starts(inst, fleet, unsent)
        return is_durable

    async def request_starts(
        ledger: str, pending_starts: list[start_permissions.StartRequest]
    ) -> set[str]:
        return await ledger_client.request_starts(inst, ledger, pending_starts)

    return contexts.Context(
        clock=inst.clock,
        rng=inst.rng,
        settings=inst.settings,
        platform=inst.platform.worker_directory,
        table=inst.platform.table,
        get_fence=lambda: get_fence(inst, fleet.name),
        tasks=partition_tasks,
        may_act=lambda: authority.may_act_for(inst, fleet.name, fleet.epoch),
        request_starts=request_starts,
        send_reports=send_reports,
    )


async def _run_configuration_loop(
    inst: instances.Instance, fleet: fleets.Fleet
) -> None:
    """Applies each new configuration to a fleet partition's scheduler."""
    view = inst.membership.view
    count = -1
    while True:
        count = await signals.wait_for_notification(view.changed, count)
        if fleet.scheduler.configuration is not view.configuration:
            scheduling.set_configuration(fleet.scheduler, view.configuration)
            signals.notify(fleet.scheduling_needed)


async def hand_over(inst: instances.Instance, name: str) -> None:
    """Finishes pending work of a partition, closes it and releases it."""
    if name in inst.fleets:
        await _flush_fleet(inst, inst.fleets[name])
    if name in inst.ledgers:
        await _flush_ledger(inst, inst.ledgers[name])
    await close_partition(inst, name)
    await partition_ownership.release(inst.membership, name)


async def hand_over_all(inst: instances.Instance) -> None:
    """Hands over every partition, one after the other."""
    async with inst.ownership_lock:
        for name in list(inst.partition_tasks):
            await hand_over(inst, name)
        names = partition_ownership.list_unserved(inst.membership, [])
        for name in names:
            await partition_ownership.release(inst.membership, name)


async def _flush_ledger(
    inst: instances.Instance, ledger: ledgers.Ledger
) -> None:
    """Takes no more calls and waits, for a limited time, for pending writes."""
    del inst.ledgers[ledger.name]
    signals.notify(inst.membership.view.routes_changed)
    until_ms = inst.clock.now_ms() + HANDOVER_FLUSH_TIMEOUT_MS
    while inst.clock.now_ms() < until_ms and journals.has_unwritten_records(
        ledger.journal
    ):
        await asyncio.sleep(clock.to_seconds(HANDOVER_POLL_INTERVAL_MS))


async def _flush_fleet(inst: instances.Instance, fleet: fleets.Fleet) -> None:
    """Prepares a fleet partition for its next owner.

    Non-repeatable requests that have not started go back to their ledger
    partition, as the next owner could not know that they never started. It
    then waits, for a limited time, until start commands and reports are sent.
    """
    fleet.closing = True
    assigned_requests.return_unstarted_requests(fleet)
    until_ms = inst.clock.now_ms() + HANDOVER_FLUSH_TIMEOUT_MS
    while inst.clock.now_ms() < until_ms and _has_unsent_messages(fleet):
        await asyncio.sleep(clock.to_seconds(HANDOVER_POLL_INTERVAL_MS))
        # A request whose start a worker refused meanwhile is waiting again.
        assigned_requests.return_unstarted_requests(fleet)


def _has_unsent_messages(fleet: fleets.Fleet) -> bool:
    return any(
        session.unsent_starts for session in fleet.sessions.values()
    ) or any(outbox.unsent_reports for outbox in fleet.outboxes.values())


async def close_partition(inst: instances.Instance, name: str) -> None:
    """Stops serving a partition at once, and cancels its tasks."""
    inst.ledgers.pop(name, None)
    inst.fleets.pop(name, None)
    signals.notify(inst.membership.view.routes_changed)
    partition_tasks = inst.partition_tasks.pop(name, None)
    if partition_tasks is not None:
        await tasks.cancel_all(partition_tasks)
