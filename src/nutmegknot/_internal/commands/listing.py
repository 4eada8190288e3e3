"""Commands that list one section of the configuration."""

from collections.abc import Callable
from collections.abc import Sequence
from typing import Any

from nutmegknot._internal.cli import errors
from nutmegknot._internal.commands import connecting
from nutmegknot._internal.commands import editing
from nutmegknot._internal.commands import operator_arguments
from nutmegknot._internal.commands import options
from nutmegknot._internal.commands import rendering
from nutmegknot._internal.models import cells
from nutmegknot._internal.models import resources
from nutmegknot._internal.network import clients

MILLI = 1000
AMOUNT_NAMES = ('cores', 'memory_mib', 'accelerators', 'slots')


async def list_section(
    command: options.OperatorOptions,
    names: Sequence[str],
    list_rows: Callable[[cells.Configuration], list[list[Any]]],
) -> errors.CommandError | None:
    """Prints rows made from the configuration in force."""

    async def print_rows(
        client: clients.Client, key: str
    ) -> errors.CommandError | None:
        config = await editing.read_configuration(client, key)
        rendering.print_rows(command.output, names, list_rows(config))
        return None

    return await call_as_operator(command, print_rows)


async def call_as_operator(
    command: options.OperatorOptions,
    function: Callable[[clients.Client, str], Any],
) -> errors.CommandError | None:
    """Runs a function with a client and the operator's key."""
    key = connecting.read_key(command.key_file, connecting.OPERATOR_VARIABLE)
    if isinstance(key, errors.CommandError):
        return key

    async def call(client: clients.Client) -> errors.CommandError | None:
        result: errors.CommandError | None = await function(client, key)
        return result

    return await connecting.call_instance(command, call)


def show_amount(amount: resources.Resources) -> list[Any]:
    """Returns an amount as the columns AMOUNT_NAMES."""
    return [
        amount.millicores / MILLI,
        amount.memory_mib,
        amount.accelerators,
        amount.slots,
    ]


def change_amount(
    present: resources.Resources,
    chosen: operator_arguments.TeamSet | operator_arguments.ServiceSet,
) -> resources.Resources:
    """Returns an amount with the parts that were given replaced."""
    cores, memory = chosen.cores, chosen.memory_mib
    cards, slots = chosen.accelerators, chosen.slots
    return resources.Resources(
        present.millicores if cores is None else round(cores * MILLI),
        present.memory_mib if memory is None else memory,
        present.accelerators if cards is None else cards,
        present.slots if slots is None else slots,
    )
