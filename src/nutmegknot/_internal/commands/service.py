"""Commands on services."""

from nutmegknot._internal.cli import errors
from nutmegknot._internal.commands import connecting
from nutmegknot._internal.commands import editing
from nutmegknot._internal.commands import listing
from nutmegknot._internal.commands import operator_arguments
from nutmegknot._internal.models import cells
from nutmegknot._internal.models import resources


async def set_service(
    command: operator_arguments.ServiceSet,
) -> errors.CommandError | None:
    """Creates a service or changes it."""
    payload: bytes | errors.CommandError | None = None
    if command.payload_file is not None:
        payload = connecting.read_file(command.payload_file)
        if isinstance(payload, errors.CommandError):
            return payload

    def edit(
        config: cells.Configuration,
    ) -> cells.Configuration | errors.CommandError:
        old = config.services.get(command.name)
        if old is None:
            if command.team is None:
                return editing.make_missing('service', command.name)
            old = cells.Service(
                command.name, command.team, resources.NOTHING, 1
            )
        replicas = command.replicas
        service = cells.Service(
            command.name,
            command.team or old.team,
            listing.change_amount(old.size, command),
            old.replicas if replicas is None else replicas,
            payload if isinstance(payload, bytes) else old.payload,
        )
        return editing.replace_item(config, 'services', command.name, service)

    return await editing.change_configuration(command, edit)


async def remove_service(
    command: operator_arguments.ServiceRemove,
) -> errors.CommandError | None:
    """Removes a service."""
    edit = editing.make_edit('services', command.name, lambda _: None)
    return await editing.change_configuration(command, edit)


async def list_services(
    command: operator_arguments.ServiceList,
) -> errors.CommandError | None:
    """Lists services."""
    return await listing.list_section(
        command,
        ['name', 'team', 'replicas', *listing.AMOUNT_NAMES],
        lambda config: [
            [s.name, s.team, s.replicas, *listing.show_amount(s.size)]
            for _, s in sorted(config.services.items())
        ],
    )
