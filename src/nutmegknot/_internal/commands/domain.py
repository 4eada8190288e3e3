"""Commands on failure domains."""

import dataclasses
from typing import Any

from nutmegknot._internal.cli import errors
from nutmegknot._internal.commands import cell_arguments
from nutmegknot._internal.commands import connecting
from nutmegknot._internal.commands import editing
from nutmegknot._internal.commands import listing
from nutmegknot._internal.commands import rendering
from nutmegknot._internal.models import cells
from nutmegknot._internal.models import workers
from nutmegknot._internal.network import clients
from nutmegknot._internal.schema import operator_pb2

_LOAD_NAMES = ('workers', 'running', 'waiting', 'not_repeatable')


async def close_domain(
    command: cell_arguments.DomainClose,
) -> errors.CommandError | None:
    """Takes a failure domain out, and shows what that moves first."""
    edit = editing.make_edit(
        'domains',
        command.name,
        lambda domain: dataclasses.replace(
            domain, state=workers.DomainState.CLOSED
        ),
    )

    async def close(
        client: clients.Client, key: str
    ) -> errors.CommandError | None:
        loads, unreached = await _read_loads(client, key, command.name)
        names = ['partition', *_LOAD_NAMES]
        rows = [[getattr(load, name) for name in names] for load in loads]
        if command.output == 'table':
            print('moves or gives back:')
        rendering.print_rows(command.output, names, rows)
        for partition in unreached:
            print(f'not known, as the owner is not reached: {partition}')
        return await editing.change_through(client, command, key, edit)

    return await listing.call_as_operator(command, close)


async def open_domain(
    command: cell_arguments.DomainOpen,
) -> errors.CommandError | None:
    """Brings a failure domain back, or adds one."""

    def edit(
        config: cells.Configuration,
    ) -> cells.Configuration | errors.CommandError:
        old = config.domains.get(command.name)
        region = command.region or (old.region if old else '')
        if not region:
            return editing.make_missing('domain', command.name)
        new = cells.Domain(command.name, region, workers.DomainState.OPEN)
        return editing.replace_item(config, 'domains', command.name, new)

    return await editing.change_configuration(command, edit)


async def list_domains(
    command: cell_arguments.DomainList,
) -> errors.CommandError | None:
    """Lists failure domains and what each runs."""

    async def print_domains(
        client: clients.Client, key: str
    ) -> errors.CommandError | None:
        config = await editing.read_configuration(client, key)
        rows: list[list[Any]] = []
        for name, domain in sorted(config.domains.items()):
            loads, unreached = await _read_loads(client, key, name)
            sums = [
                sum(getattr(load, column) for load in loads)
                for column in _LOAD_NAMES
            ]
            state = domain.state.value
            rows.append([name, domain.region, state, *sums, unreached])
        names = ['name', 'region', 'state', *_LOAD_NAMES, 'unreached']
        rendering.print_rows(command.output, names, rows)
        return None

    return await listing.call_as_operator(command, print_domains)


async def _read_loads(
    client: clients.Client, key: str, domain: str
) -> tuple[list[operator_pb2.FleetLoad], list[str]]:
    """Returns the loads known, and the partitions not reached."""
    call = operator_pb2.PreviewDomainCall(domain=domain, key=key)
    reply = await client.operator.PreviewDomain(call, timeout=connecting.CALL_S)
    return list(reply.loads), list(reply.unreached)
