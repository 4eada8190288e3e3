"""Keeping the replicas of services as requests of a ledger partition."""

from nutmegknot._internal.instance import instances
from nutmegknot._internal.instance import ledger_calls
from nutmegknot._internal.ledger import accepting
from nutmegknot._internal.ledger import ledgers
from nutmegknot._internal.models import cells
from nutmegknot._internal.models import requests
from nutmegknot._internal.utils import hashing
from nutmegknot._internal.utils import signals

CHECK_MS = 1_000
SUBMIT_MS = 10_000


async def keep_services(
    inst: instances.Instance, ledger: ledgers.Ledger
) -> None:
    """Keeps the replicas that belong to a ledger partition, until cancelled."""
    view = inst.membership.view
    context = ledger_calls.make_context(inst, ledger)
    count = -1
    while True:
        count = await signals.wait_at_most(ledger.changed, count, CHECK_MS)
        if not context.may_act():
            continue
        services = view.configuration.services
        for service in services.values():
            for number in range(service.replicas):
                if _belongs_here(inst, ledger, service, number):
                    await _keep_replica(ledger, context, service, number)
        await _cancel_surplus(ledger, context, services)


def _belongs_here(
    inst: instances.Instance,
    ledger: ledgers.Ledger,
    service: cells.Service,
    number: int,
) -> bool:
    name = f'{service.team}/service/{service.name}/{number}'
    count = inst.settings.cell.ledger_partitions
    return hashing.choose_ledger(name, count) == ledger.name


async def _keep_replica(
    ledger: ledgers.Ledger,
    context: accepting.Context,
    service: cells.Service,
    number: int,
) -> None:
    """Submits the next generation of a replica whose last one has ended."""
    generation = 0
    while True:
        req = make_replica(service, number, generation)
        entry = ledger.entries.get(requests.get_key(req))
        if entry is None:
            break
        if entry.outcome is None and not entry.cancelled:
            return
        generation += 1
    await accepting.submit(ledger, context, req, SUBMIT_MS)


def make_replica(
    service: cells.Service, number: int, generation: int
) -> requests.Request:
    """Returns the request of one generation of a replica."""
    return requests.Request(
        id=f'service/{service.name}/{number}@{generation}',
        team=service.team,
        queue='',
        size=service.size,
        payload=service.payload,
        service=service.name,
    )


async def _cancel_surplus(
    ledger: ledgers.Ledger,
    context: accepting.Context,
    services: dict[str, cells.Service],
) -> None:
    for key, entry in list(ledger.entries.items()):
        if not entry.req.service or entry.outcome is not None:
            continue
        service = services.get(entry.req.service)
        number = int(entry.req.id.partition('@')[0].rpartition('/')[2])
        is_surplus = service is None or number >= service.replicas
        if is_surplus and not entry.cancelled:
            await accepting.cancel(ledger, context, key)
