"""Keeping the replicas of services as requests of a ledger partition."""

import asyncio

from nutmegknot._internal.instance import instances
from nutmegknot._internal.instance import ledger_calls
from nutmegknot._internal.ledger import accepting
from nutmegknot._internal.ledger import ledgers
from nutmegknot._internal.models import cells
from nutmegknot._internal.models import requests
from nutmegknot._internal.utils import hashing
from nutmegknot._internal.utils import signals

CHECK_MS = 1_000
CALL_MS = 10_000


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
        missing = _list_missing(inst, ledger, services)
        surplus = _list_surplus(ledger, services)
        await asyncio.gather(
            *(accepting.submit(ledger, context, r, CALL_MS) for r in missing),
            *(accepting.cancel(ledger, context, k, CALL_MS) for k in surplus),
        )


def _list_missing(
    inst: instances.Instance,
    ledger: ledgers.Ledger,
    services: dict[str, cells.Service],
) -> list[requests.Request]:
    """Returns the next generation of each replica whose last one has ended."""
    count = inst.settings.cell.ledger_partitions
    missing = []
    for service in services.values():
        for number in range(service.replicas):
            stem = get_stem(service, number)
            if hashing.choose_ledger(stem, count) != ledger.name:
                continue
            generation = _find_missing(ledger, stem)
            if generation is not None:
                missing.append(make_replica(service, number, generation))
    return missing


def _find_missing(ledger: ledgers.Ledger, stem: str) -> int | None:
    """Returns the generation to submit, or None if one is open."""
    newest = ledger.replicas.get(stem)
    if newest is None:
        return 0
    entry = ledger.entries.get(f'{stem}@{newest}')
    if entry is None or entry.outcome is not None or entry.cancelled:
        return newest + 1
    return None


def get_stem(service: cells.Service, number: int) -> str:
    """Returns what the request keys of a replica's generations share."""
    return f'{service.team}/service/{service.name}/{number}'


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


def _list_surplus(
    ledger: ledgers.Ledger, services: dict[str, cells.Service]
) -> list[str]:
    """Returns the open replicas that no service asks for any more."""
    surplus = []
    for stem, generation in ledger.replicas.items():
        key = f'{stem}@{generation}'
        entry = ledger.entries.get(key)
        if entry is None or entry.outcome is not None or entry.cancelled:
            continue
        service = services.get(entry.req.service)
        number = int(stem.rpartition('/')[2])
        if service is None or number >= service.replicas:
            surplus.append(key)
    return surplus
