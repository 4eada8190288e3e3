"""Commands on services."""

from nutmegknot._internal.cli import errors
from nutmegknot._internal.commands import configuration_edits
from nutmegknot._internal.commands import instance_connections
from nutmegknot._internal.commands import operator_arguments
from nutmegknot._internal.commands import operator_calls
from nutmegknot._internal.models import cells
from nutmegknot._internal.models import resources


async def set_service(
    command: operator_arguments.ServiceSet,
) -> errors.CommandError | None:
    """Creates a service, or changes the values that the arguments give."""
    payload: bytes | errors.CommandError | None = None
    if command.payload_file is not None:
        payload = instance_connections.read_file(command.payload_file)
        if isinstance(payload, errors.CommandError):
            return payload

    def edit(
        config: cells.Configuration,
    ) -> cells.Configuration | errors.CommandError:
        current = config.services.get(command.name)
        if current is None:
            if command.team is None:
                return configuration_edits.make_not_found(
                    'service', command.name
                )
            current = cells.Service(
                command.name, command.team, resources.ZERO, 1
            )
        replicas = command.replicas
        service = cells.Service(
            command.name,
            command.team or current.team,
            operator_calls.replace_amounts(current.size, command),
            current.replicas if replicas is None else replicas,
            payload if isinstance(payload, bytes) else current.payload,
        )
        return configuration_edits.replace_item(
            config, 'services', command.name, service
        )

    return await configuration_edits.change_configuration(command, edit)


async def remove_service(
    command: operator_arguments.ServiceRemove,
) -> errors.CommandError | None:
    """Removes a service, which stops its replicas."""
    edit = configuration_edits.make_edit(
        'services', command.name, lambda _: None
    )
    return await configuration_edits.change_configuration(command, edit)


async def list_services(
    command: operator_arguments.ServiceList,
) -> errors.CommandError | None:
    """Lists services."""
    return await operator_calls.list_section(
        command,
        ['name', 'team', 'replicas', *operator_calls.RESOURCE_NAMES],
        lambda config: [
            [
                service.name,
                service.team,
                service.replicas,
                *operator_calls.list_amounts(service.size),
            ]
            for _, service in sorted(config.services.items())
        ],
    )
