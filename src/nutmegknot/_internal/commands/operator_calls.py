"""Calls with an operator's key, and lists of items of the configuration."""

from collections.abc import Callable
from collections.abc import Sequence
from typing import Any

from nutmegknot._internal.cli import errors
from nutmegknot._internal.commands import configuration_edits
from nutmegknot._internal.commands import instance_connections
from nutmegknot._internal.commands import operator_arguments
from nutmegknot._internal.commands import options
from nutmegknot._internal.commands import output_format
from nutmegknot._internal.models import cells
from nutmegknot._internal.models import resources
from nutmegknot._internal.network import clients

MILLICORES_PER_CORE = 1000
# Columns of the lists in which list_amounts gives an amount of resources.
RESOURCE_NAMES = ('cores', 'memory_mib', 'accelerators', 'slots')


async def list_section(
    command: options.OperatorOptions,
    names: Sequence[str],
    list_rows: Callable[[cells.Configuration], list[list[Any]]],
) -> errors.CommandError | None:
    """Reads the configuration in force and prints rows that list its items.

    Args:
      command: Options of the command.
      names: Names of the columns.
      list_rows: Makes the rows from the configuration.
    """

    async def print_rows(
        client: clients.Client, key: str
    ) -> errors.CommandError | None:
        config = await configuration_edits.read_configuration(client, key)
        output_format.print_rows(command.output, names, list_rows(config))
        return None

    return await call_as_operator(command, print_rows)


async def call_as_operator(
    command: options.OperatorOptions,
    function: Callable[[clients.Client, str], Any],
) -> errors.CommandError | None:
    """Connects to an instance and calls a function with the operator's key.

    Args:
      command: Options with the address of the instance and the key file.
      function: Called with the connected client and the key.

    Returns:
      The result of the function, or an error if the key could not be read, or
      the connection or a call in the function failed.
    """
    key = instance_connections.read_key(
        command.key_file, instance_connections.OPERATOR_KEY_VARIABLE
    )
    if isinstance(key, errors.CommandError):
        return key

    async def call(client: clients.Client) -> errors.CommandError | None:
        result: errors.CommandError | None = await function(client, key)
        return result

    return await instance_connections.call_instance(command, call)


def list_amounts(amount: resources.Resources) -> list[Any]:
    """Returns an amount of resources as values for RESOURCE_NAMES."""
    return [
        amount.millicores / MILLICORES_PER_CORE,
        amount.memory_mib,
        amount.accelerators,
        amount.slots,
    ]


def replace_amounts(
    current: resources.Resources,
    command: operator_arguments.TeamSet | operator_arguments.ServiceSet,
) -> resources.Resources:
    """Returns an amount of resources changed as the arguments say.

    Args:
      current: The amount before the change.
      command: Arguments; None keeps the current value of a resource.
    """
    cores, memory = command.cores, command.memory_mib
    accelerators, slots = command.accelerators, command.slots
    return resources.Resources(
        current.millicores
        if cores is None
        else round(cores * MILLICORES_PER_CORE),
        current.memory_mib if memory is None else memory,
        current.accelerators if accelerators is None else accelerators,
        current.slots if slots is None else slots,
    )
