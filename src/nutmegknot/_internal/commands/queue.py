"""Commands on queues."""

from nutmegknot._internal.cli import errors
from nutmegknot._internal.commands import editing
from nutmegknot._internal.commands import listing
from nutmegknot._internal.commands import operator_arguments
from nutmegknot._internal.models import cells
from nutmegknot._internal.models import requests


async def set_queue(
    command: operator_arguments.QueueSet,
) -> errors.CommandError | None:
    """Creates a queue or changes it."""

    def edit(config: cells.Configuration) -> cells.Configuration:
        old = config.queues.get(command.name) or cells.Queue(command.name)
        priority = old.priority
        if command.priority is not None:
            priority = requests.PriorityClass[command.priority.upper()]
        team, most = command.open_team, command.max_waiting
        queue = cells.Queue(
            command.name,
            old.open_team if team is None else team,
            old.max_waiting if most is None else most,
            priority,
        )
        return editing.replace_item(config, 'queues', command.name, queue)

    return await editing.change_configuration(command, edit)


async def list_queues(
    command: operator_arguments.QueueList,
) -> errors.CommandError | None:
    """Lists queues."""
    return await listing.list_section(
        command,
        ['name', 'open_team', 'max_waiting', 'priority'],
        lambda config: [
            [q.name, q.open_team, q.max_waiting, q.priority.name.lower()]
            for _, q in sorted(config.queues.items())
        ],
    )
