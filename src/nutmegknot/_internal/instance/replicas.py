"""Keeps replicas of services running, as requests of a ledger partition."""

import asyncio

from nutmegknot._internal.instance import instances
from nutmegknot._internal.instance import ledger_calls
from nutmegknot._internal.ledger import ledgers
from nutmegknot._internal.ledger import request_operations
from nutmegknot._internal.models import cells
from nutmegknot._internal.models import requests
from nutmegknot._internal.utils import hashing
from nutmegknot._internal.utils import signals

CHECK_INTERVAL_MS = 1_000
CALL_TIMEOUT_MS = 10_000


async def run_replica_loop(
    inst: instances.Instance, ledger: ledgers.Ledger
) -> None:
    """Submits missing replicas and cancels surplus ones, until cancelled.

    Each replica belongs to the ledger partition that its key is hashed to.
    """
    view = inst.membership.view
    context = ledger_calls.make_context(inst, ledger)
    count = -1
    while True:
        count = await signals.wait_with_timeout(
            ledger.send_needed, count, CHECK_INTERVAL_MS
        )
        if not context.may_act():
            continue
        services = view.configuration.services
        missing = _list_missing(inst, ledger, services)
        surplus = _list_surplus(ledger, services)
        await asyncio.gather(
            *(
                request_operations.submit(
                    ledger, context, request, CALL_TIMEOUT_MS
                )
                for request in missing
            ),
            *(
                request_operations.cancel(ledger, context, key, CALL_TIMEOUT_MS)
                for key in surplus
            ),
        )


def _list_missing(
    inst: instances.Instance,
    ledger: ledgers.Ledger,
    services: dict[str, cells.Service],
) -> list[requests.Request]:
    """Returns requests for the replicas of which no generation is open.

    Each time a replica is restarted, its generation number rises by 1.
    """
    count = inst.settings.cell.ledger_partitions
    missing = []
    for service in services.values():
        for number in range(service.replicas):
            replica_key = get_replica_key(service, number)
            if hashing.choose_ledger(replica_key, count) != ledger.name:
                continue
            generation = _find_missing_generation(ledger, replica_key)
            if generation is not None:
                missing.append(
                    make_replica_request(service, number, generation)
                )
    return missing


def _find_missing_generation(
    ledger: ledgers.Ledger, replica_key: str
) -> int | None:
    """Returns the generation of a replica to submit, or None if one is open."""
    newest_generation = ledger.replicas.get(replica_key)
    if newest_generation is None:
        return 0
    entry = ledger.entries.get(f'{replica_key}@{newest_generation}')
    if entry is None or entry.outcome is not None or entry.cancelled:
        return newest_generation + 1
    return None


def get_replica_key(service: cells.Service, number: int) -> str:
    """Returns the part before '@' of the request keys of a replica."""
    return f'{service.team}/service/{service.name}/{number}'


def make_replica_request(
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
    """Returns request keys of open replicas that no service needs any more."""
    surplus = []
    for replica_key, generation in ledger.replicas.items():
        key = f'{replica_key}@{generation}'
        entry = ledger.entries.get(key)
        if entry is None or entry.outcome is not None or entry.cancelled:
            continue
        service = services.get(entry.req.service)
        number = int(replica_key.rpartition('/')[2])
        if service is None or number >= service.replicas:
            surplus.append(key)
    return surplus
