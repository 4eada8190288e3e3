"""Opening and closing the partitions that this instance owns."""

import asyncio
import logging
import random

from nutmegknot._internal.backing import tables
from nutmegknot._internal.codec import policies as policy_codec
from nutmegknot._internal.decisions import scheduling
from nutmegknot._internal.fleet import beginning as fleet_beginning
from nutmegknot._internal.fleet import contexts
from nutmegknot._internal.fleet import dispatching
from nutmegknot._internal.fleet import fleets
from nutmegknot._internal.fleet import granting
from nutmegknot._internal.fleet import jobs
from nutmegknot._internal.fleet import listing
from nutmegknot._internal.fleet import reporting as fleet_reporting
from nutmegknot._internal.instance import authority
from nutmegknot._internal.instance import instances
from nutmegknot._internal.instance import ledger_opening
from nutmegknot._internal.instance import measuring
from nutmegknot._internal.instance import reporting
from nutmegknot._internal.instance import routing
from nutmegknot._internal.ledger import beginning
from nutmegknot._internal.ledger import journals
from nutmegknot._internal.ledger import ledgers
from nutmegknot._internal.membership import owning
from nutmegknot._internal.membership import rows
from nutmegknot._internal.membership import views
from nutmegknot._internal.models import reports
from nutmegknot._internal.telemetry import counters
from nutmegknot._internal.utils import clock as clock_lib
from nutmegknot._internal.utils import signals
from nutmegknot._internal.utils import tasks

logger = logging.getLogger(__name__)

FLUSH_MS = 3_000
FLUSH_STEP_MS = 50


async def keep_owning(inst: instances.Instance) -> None:
    """Takes over free partitions and gives up others, until a stop begins."""
    view = inst.membership.view
    count = -1
    while not view.stopping:
        wait_ms = owning.compute_wait(inst.membership)
        count = await signals.wait_at_most(view.changed, count, wait_ms)
        async with inst.moving:
            await abandon_lost(inst)
            if not view.stopping and authority.may_act(inst):
                await _move_partitions(inst)


async def _move_partitions(inst: instances.Instance) -> None:
    """Acquires what is free, then hands over at most one partition."""
    await _settle_unserved(inst)
    for name in owning.list_free(inst.membership):
        if await owning.acquire(inst.membership, name):
            await open_partition(inst, name)
    surplus = owning.find_surplus(inst.membership, list(inst.part_tasks))
    if surplus:
        await hand_over(inst, surplus)
    await owning.remove_lapsed(inst.membership)


async def _settle_unserved(inst: instances.Instance) -> None:
    """Opens or releases partitions that are owned but not served.

    An acquisition whose answer was lost shows in this way. An epoch that has
    been served before is not served again, as what it started is forgotten.
    """
    view = inst.membership.view
    for name in owning.list_unserved(inst.membership, list(inst.part_tasks)):
        if views.get_epoch(view, name) > inst.opened.get(name, 0):
            await open_partition(inst, name)
        else:
            await owning.release(inst.membership, name)


async def abandon_lost(inst: instances.Instance) -> None:
    """Stops serving partitions whose owner row names another epoch."""
    view = inst.membership.view
    served = {name: p.epoch for name, p in inst.ledgers.items()}
    served |= {name: p.epoch for name, p in inst.fleets.items()}
    for name, epoch in served.items():
        is_mine = views.owns(view, name)
        if not is_mine or views.get_epoch(view, name) != epoch:
            logger.warning('partition_lost', extra={'partition': name})
            await close_partition(inst, name)


async def open_partition(inst: instances.Instance, name: str) -> None:
    """Starts to serve an owned partition under an epoch not served before."""
    counters.count(inst.metrics.takeovers, name.partition('-')[0])
    inst.opened[name] = views.get_epoch(inst.membership.view, name)
    if name.startswith('ledger-'):
        await ledger_opening.open_ledger(inst, name, get_fence(inst, name))
    else:
        _open_fleet(inst, name)


def get_fence(inst: instances.Instance, name: str) -> tables.Condition:
    """Returns the condition that a partition still has this owner."""
    version = inst.membership.view.owner_versions[name]
    return tables.Condition(rows.get_owner_key(name), version)


def _open_fleet(inst: instances.Instance, name: str) -> None:
    view = inst.membership.view
    domain = routing.get_domain(name)
    fleet = fleets.Fleet(
        name=name,
        epoch=views.get_epoch(view, name),
        domain=domain,
        number=int(name.rpartition('-')[2]),
        scheduler=scheduling.Scheduler(
            domain,
            view.configuration,
            policy=policy_codec.decode_policy(inst.settings.decisions),
            rng=random.Random(inst.settings.decisions.seed),
        ),
    )
    part = tasks.Tasks(broken=inst.tasks.broken)
    context = _make_fleet_context(inst, fleet, part)
    inst.fleets[name] = fleet
    inst.part_tasks[name] = part
    tasks.spawn(part, listing.keep_listing(fleet, context), f'list {name}')
    tasks.spawn(
        part, dispatching.keep_dispatching(fleet, context), f'place {name}'
    )
    tasks.spawn(part, granting.keep_grants(fleet, context), f'grant {name}')
    tasks.spawn(part, _keep_configuration(inst, fleet), f'configure {name}')
    for ledger in owning.list_partitions(inst.settings):
        if ledger.startswith('ledger-'):
            tasks.spawn(
                part,
                fleet_reporting.keep_reporting(fleet, context, ledger),
                f'report {name} {ledger}',
            )
            tasks.spawn(
                part,
                fleet_beginning.keep_beginning(fleet, context, ledger),
                f'begin {name} {ledger}',
            )
    logger.info('fleet_opened', extra={'partition': name})


def _make_fleet_context(
    inst: instances.Instance, fleet: fleets.Fleet, part: tasks.Tasks
) -> contexts.Context:
    async def send_reports(ledger: str, given: list[reports.Report]) -> bool:
        is_durable = await reporting.send_reports(inst, ledger, given)
        if is_durable:
            measuring.note_reports(inst, fleet, given)
        return is_durable

    async def begin(ledger: str, asked: list[beginning.Beginning]) -> set[str]:
        return await reporting.begin(inst, ledger, asked)

    return contexts.Context(
        clock=inst.clock,
        rng=inst.rng,
        settings=inst.settings,
        platform=inst.platform.fleet,
        table=inst.platform.table,
        get_fence=lambda: get_fence(inst, fleet.name),
        tasks=part,
        may_act=lambda: authority.may_act_for(inst, fleet.name, fleet.epoch),
        begin=begin,
        send_reports=send_reports,
    )


async def _keep_configuration(
    inst: instances.Instance, fleet: fleets.Fleet
) -> None:
    """Puts each new configuration in force in a fleet partition."""
    view = inst.membership.view
    count = -1
    while True:
        count = await signals.wait_beyond(view.changed, count)
        if fleet.scheduler.configuration is not view.configuration:
            scheduling.set_configuration(fleet.scheduler, view.configuration)
            signals.notify(fleet.changed)


async def hand_over(inst: instances.Instance, name: str) -> None:
    """Stops serving a partition in order, and releases it."""
    if name in inst.fleets:
        await _flush_fleet(inst, inst.fleets[name])
    if name in inst.ledgers:
        await _flush_ledger(inst, inst.ledgers[name])
    await close_partition(inst, name)
    await owning.release(inst.membership, name)


async def hand_over_all(inst: instances.Instance) -> None:
    """Hands every partition over, one after the other."""
    async with inst.moving:
        for name in list(inst.part_tasks):
            await hand_over(inst, name)
        names = owning.list_unserved(inst.membership, [])
        for name in names:
            await owning.release(inst.membership, name)


async def _flush_ledger(
    inst: instances.Instance, ledger: ledgers.Ledger
) -> None:
    """Waits until nothing is left to be written, but not for long."""
    del inst.ledgers[ledger.name]
    signals.notify(inst.membership.view.routes)
    until_ms = inst.clock.now_ms() + FLUSH_MS
    while inst.clock.now_ms() < until_ms and journals.is_busy(ledger.journal):
        await asyncio.sleep(clock_lib.to_seconds(FLUSH_STEP_MS))


async def _flush_fleet(inst: instances.Instance, fleet: fleets.Fleet) -> None:
    """Gives back what must not change owner, and waits for open orders."""
    fleet.closing = True
    jobs.give_back_unbegun(fleet)
    until_ms = inst.clock.now_ms() + FLUSH_MS
    while inst.clock.now_ms() < until_ms and _has_orders(fleet):
        await asyncio.sleep(clock_lib.to_seconds(FLUSH_STEP_MS))
        # A start that a worker refused meanwhile waits again.
        jobs.give_back_unbegun(fleet)


def _has_orders(fleet: fleets.Fleet) -> bool:
    return any(s.starts for s in fleet.sessions.values()) or any(
        o.waiting for o in fleet.outboxes.values()
    )


async def close_partition(inst: instances.Instance, name: str) -> None:
    """Stops serving a partition at once."""
    inst.ledgers.pop(name, None)
    inst.fleets.pop(name, None)
    signals.notify(inst.membership.view.routes)
    part = inst.part_tasks.pop(name, None)
    if part is not None:
        await tasks.cancel_all(part)
