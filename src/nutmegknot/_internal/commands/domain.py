"""Commands on failure domains."""

import dataclasses
from typing import Any

from nutmegknot._internal.cli import errors
from nutmegknot._internal.commands import cell_arguments
from nutmegknot._internal.commands import configuration_edits
from nutmegknot._internal.commands import instance_connections
from nutmegknot._internal.commands import operator_calls
from nutmegknot._internal.commands import output_format
from nutmegknot._internal.models import cells
from nutmegknot._internal.models import workers
from nutmegknot._internal.network import clients
from nutmegknot._internal.schema import operator_pb2

# Columns that show the load of a failure domain; fields of the message
# FleetLoad.
_LOAD_FIELDS = ('workers', 'running', 'waiting', 'not_repeatable')


async def close_domain(
    command: cell_arguments.DomainClose,
) -> errors.CommandError | None:
    """Closes a failure domain, after showing which work this moves."""
    edit = configuration_edits.make_edit(
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
        names = ['partition', *_LOAD_FIELDS]
        rows = [[getattr(load, name) for name in names] for load in loads]
        if command.output == 'table':
            print('moves or gives back:')
        output_format.print_rows(command.output, names, rows)
        for partition in unreached:
            print(f'unknown, because the owner is unreachable: {partition}')
        return await configuration_edits.change_over_client(
            client, command, key, edit
        )

    return await operator_calls.call_as_operator(command, close)


async def open_domain(
    command: cell_arguments.DomainOpen,
) -> errors.CommandError | None:
    """Opens a failure domain, or adds a new one."""

    def edit(
        config: cells.Configuration,
    ) -> cells.Configuration | errors.CommandError:
        current = config.domains.get(command.name)
        region = command.region or (current.region if current else '')
        if not region:
            return configuration_edits.make_not_found('domain', command.name)
        opened = cells.Domain(command.name, region, workers.DomainState.OPEN)
        return configuration_edits.replace_item(
            config, 'domains', command.name, opened
        )

    return await configuration_edits.change_configuration(command, edit)


async def list_domains(
    command: cell_arguments.DomainList,
) -> errors.CommandError | None:
    """Lists failure domains with the number of their workers and requests."""

    async def print_domains(
        client: clients.Client, key: str
    ) -> errors.CommandError | None:
        config = await configuration_edits.read_configuration(client, key)
        rows: list[list[Any]] = []
        for name, domain in sorted(config.domains.items()):
            loads, unreached = await _read_loads(client, key, name)
            sums = [
                sum(getattr(load, column) for load in loads)
                for column in _LOAD_FIELDS
            ]
            state = domain.state.value
            rows.append([name, domain.region, state, *sums, unreached])
        names = ['name', 'region', 'state', *_LOAD_FIELDS, 'unreached']
        output_format.print_rows(command.output, names, rows)
        return None

    return await operator_calls.call_as_operator(command, print_domains)


async def _read_loads(
    client: clients.Client, key: str, domain: str
) -> tuple[list[operator_pb2.FleetLoad], list[str]]:
    """Asks an instance for the workers and requests of a failure domain.

    Returns:
      The load of each fleet partition in the failure domain, and the names of
      the fleet partitions whose owner was not reached.
    """
    call = operator_pb2.PreviewDomainCall(domain=domain, key=key)
    reply = await client.operator.PreviewDomain(
        call, timeout=instance_connections.CALL_TIMEOUT_S
    )
    return list(reply.loads), list(reply.unreached)
