"""Validation of readable configurations of queues and customers.

What instances can't read never gets here. The findings of this module are about
configurations that would be put into force.
"""

import collections
from collections.abc import Iterator
from collections.abc import Sequence

from nutmegknot._internal.models import job_configurations
from nutmegknot._internal.models import job_settings
from nutmegknot._internal.models import resources
from nutmegknot._internal.models import workers

# A sum of all limits below this share of the workers' room is reported. Limits
# are usually set above the room in sum, so half of it is hardly intended.
LOW_SHARE_OF_ROOM = 0.5
# Attributes of resources.Resources that a limit bounds, with their units.
RESOURCE_UNITS = {
    'millicores': 'millicores',
    'memory_mib': 'MiB of memory',
    'accelerators': 'accelerators',
}

_Findings = Iterator[job_configurations.Finding]


def find_findings(
    config: job_configurations.JobConfiguration,
    listed: Sequence[workers.Worker] | None = None,
) -> list[job_configurations.Finding]:
    """Returns what an operator should know of a configuration.

    Args:
      config: The configuration.
      listed: Workers on which tasks can start; None if they are not known, so
        that the checks that need them are left out.
    """
    findings = [
        *_check_queue_names(config),
        *_check_matches(config),
        *_check_pools(config),
        *_check_customers(config),
        *_check_keys(config),
        *_check_replaced_zeros(config),
        *_check_times(config, listed),
    ]
    if listed is not None:
        findings += _check_workers_of_pools(config, listed)
        findings += _check_limits(config, listed)
        findings += _check_sum_of_limits(config, listed)
    return findings


def _warn(
    place: job_configurations.Place, text: str
) -> job_configurations.Finding:
    return job_configurations.Finding(
        job_configurations.Severity.WARNING, place, text
    )


def _note(
    place: job_configurations.Place, text: str
) -> job_configurations.Finding:
    return job_configurations.Finding(
        job_configurations.Severity.NOTE, place, text
    )


def _at_queue(index: int, field: str) -> job_configurations.Place:
    return job_configurations.Place(
        job_configurations.Section.QUEUES, index, field
    )


def _at_customer(index: int, field: str) -> job_configurations.Place:
    return job_configurations.Place(
        job_configurations.Section.CUSTOMERS, index, field
    )


def _check_queue_names(
    config: job_configurations.JobConfiguration,
) -> _Findings:
    last = {queue.name: index for index, queue in enumerate(config.queues)}
    for index, queue in enumerate(config.queues):
        if last[queue.name] != index:
            yield _warn(
                _at_queue(index, 'name'),
                f'a later queue has the name {queue.name!r} too and replaces'
                ' this one',
            )


def _check_matches(config: job_configurations.JobConfiguration) -> _Findings:
    """Finds queues that no call can match."""
    for index, queue in enumerate(config.queues):
        if config.settings.queues[queue.name] != queue:
            # A later queue of the same name replaces it.
            continue
        if not queue.host or ':' in queue.host:
            # Instances compare it with the Host header without its port.
            yield _warn(
                _at_queue(index, 'host'),
                'no call matches, as the host must be a name without a port',
            )
        if queue.prefix and not queue.prefix.startswith('/'):
            yield _warn(
                _at_queue(index, 'prefix'),
                'no call matches, as the prefix does not begin with /',
            )
        found = job_settings.find_queue(
            config.settings, queue.host, queue.prefix
        )
        if found is not None and found.name != queue.name:
            yield _warn(
                _at_queue(index, 'prefix'),
                f'no call matches, as queue {found.name!r} has the same host'
                ' and prefix',
            )


def _check_pools(config: job_configurations.JobConfiguration) -> _Findings:
    if config.pools is None:
        yield _warn(
            job_configurations.Place(job_configurations.Section.POOLS),
            'not a list of named entries, so the pools of queues are not'
            ' checked',
        )
        return
    for index, queue in enumerate(config.queues):
        if queue.pool not in config.pools:
            yield _warn(
                _at_queue(index, 'pool'), f'there is no pool {queue.pool!r}'
            )


def _check_customers(config: job_configurations.JobConfiguration) -> _Findings:
    last = {
        customer.name: index for index, customer in enumerate(config.customers)
    }
    for index, customer in enumerate(config.customers):
        if last[customer.name] != index:
            yield _warn(
                _at_customer(index, 'name'),
                f'a later customer has the name {customer.name!r} too; its'
                ' weight and limit replace those of this one',
            )
        if not customer.keys:
            yield _warn(
                _at_customer(index, 'keys'),
                f'customer {customer.name!r} has no key, so no call can be its',
            )


def _check_keys(config: job_configurations.JobConfiguration) -> _Findings:
    """Finds keys that do not stand for one customer; keys are not shown."""
    holders = collections.defaultdict(list)
    for index, customer in enumerate(config.customers):
        for key in customer.keys:
            holders[key].append(index)
    shared = collections.Counter(
        (index, config.settings.customer_by_key[key])
        for key, indexes in holders.items()
        for index in indexes
    )
    for (index, holder), count in sorted(shared.items()):
        if holder != config.customers[index].name:
            yield _warn(
                _at_customer(index, 'keys'),
                f'{count} key(s) count as those of customer {holder!r}, which'
                ' lists them too',
            )
    for index in holders.get('', ()):
        yield _warn(
            _at_customer(index, 'keys'),
            'a key is empty, so calls without a key count as this customer',
        )


def _check_replaced_zeros(
    config: job_configurations.JobConfiguration,
) -> _Findings:
    for place in config.replaced_zeros:
        yield _warn(place, '0 has the same effect as leaving the field out')


def _check_times(
    config: job_configurations.JobConfiguration,
    listed: Sequence[workers.Worker] | None,
) -> _Findings:
    sizes = collections.Counter(worker.pool for worker in listed or ())
    for index, queue in enumerate(config.queues):
        # An objective without a fixed part is the factor times the run time.
        if not queue.objective_base_ms and queue.objective_factor < 1:
            yield _warn(
                _at_queue(index, 'objective_base_ms'),
                'no job can meet its objective, which is'
                f' {queue.objective_factor:g} times its own run time',
            )
        # At least one worker is asked about, also if none is known.
        count = max(1, sizes[queue.pool])
        advice_us = queue.advice_base_ms * 1000
        advice_us += queue.advice_per_worker_us * count
        if queue.needs_tickets and queue.timeout_ms * 1000 < advice_us:
            yield _warn(
                _at_queue(index, 'timeout_ms'),
                f'{queue.timeout_ms} ms is less than the {advice_us / 1000:g}'
                f' ms that advice takes for {count} worker(s)',
            )


def _check_workers_of_pools(
    config: job_configurations.JobConfiguration,
    listed: Sequence[workers.Worker],
) -> _Findings:
    pools = {worker.pool for worker in listed}
    for index, queue in enumerate(config.queues):
        if queue.pool not in pools:
            yield _warn(
                _at_queue(index, 'pool'),
                f'pool {queue.pool!r} has no worker on which tasks can start',
            )


def _sum_room(listed: Sequence[workers.Worker]) -> resources.Resources:
    total = resources.ZERO
    for worker in listed:
        total = resources.add(total, worker.capacity)
    return total


def _check_limits(
    config: job_configurations.JobConfiguration,
    listed: Sequence[workers.Worker],
) -> _Findings:
    """Compares single limits with the workers; a limit of 0 is none."""
    room = _sum_room(listed)
    for name, unit in RESOURCE_UNITS.items():
        amounts = [getattr(worker.capacity, name) for worker in listed]
        smallest = min((amount for amount in amounts if amount), default=0)
        for index, customer in enumerate(config.customers):
            place = _at_customer(index, f'limit.{name}')
            limit, total = getattr(customer.limit, name), getattr(room, name)
            if 0 < limit < smallest:
                yield _warn(
                    place,
                    f'{limit} {unit} is less than any worker has; the smallest'
                    f' has {smallest}',
                )
            if limit > total:
                yield _note(
                    place,
                    f'{limit} {unit} is more than the {total} of all workers',
                )


def _check_sum_of_limits(
    config: job_configurations.JobConfiguration,
    listed: Sequence[workers.Worker],
) -> _Findings:
    customers = config.settings.customers.values()
    if not customers or any(queue.is_open for queue in config.queues):
        # Jobs without a customer have no limit, and can use all the room.
        return
    room = _sum_room(listed)
    for name, unit in RESOURCE_UNITS.items():
        limits = [getattr(customer.limit, name) for customer in customers]
        total = getattr(room, name)
        if all(limits) and sum(limits) < total * LOW_SHARE_OF_ROOM:
            yield _note(
                job_configurations.Place(job_configurations.Section.CUSTOMERS),
                f'all limits together allow {sum(limits)} of the {total}'
                f' {unit} of the workers',
            )
