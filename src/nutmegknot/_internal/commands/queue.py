"""Commands on queues."""

from nutmegknot._internal.cli import errors
from nutmegknot._internal.commands import configuration_edits
from nutmegknot._internal.commands import operator_arguments
from nutmegknot._internal.commands import operator_calls
from nutmegknot._internal.models import cells
from nutmegknot._internal.models import requests


async def set_queue(
    command: operator_arguments.QueueSet,
) -> errors.CommandError | None:
    """Creates a queue, or changes the values that the arguments give."""

    def edit(config: cells.Configuration) -> cells.Configuration:
        current = config.queues.get(command.name) or cells.Queue(command.name)
        priority = current.priority
        if command.priority is not None:
            priority = requests.PriorityClass[command.priority.upper()]
        team, max_waiting = command.open_team, command.max_waiting
        queue = cells.Queue(
            command.name,
            current.open_team if team is None else team,
            current.max_waiting if max_waiting is None else max_waiting,
            priority,
        )
        return configuration_edits.replace_item(
            config, 'queues', command.name, queue
        )

    return await configuration_edits.change_configuration(command, edit)


async def list_queues(
    command: operator_arguments.QueueList,
) -> errors.CommandError | None:
    """Lists queues."""
    return await operator_calls.list_section(
        command,
        ['name', 'open_team', 'max_waiting', 'priority'],
        lambda config: [
            [
                queue.name,
                queue.open_team,
                queue.max_waiting,
                queue.priority.name.lower(),
            ]
            for _, queue in sorted(config.queues.items())
        ],
    )
