"""Commands on operators and their keys."""

from nutmegknot._internal.cli import errors
from nutmegknot._internal.commands import editing
from nutmegknot._internal.commands import key
from nutmegknot._internal.commands import listing
from nutmegknot._internal.commands import operator_arguments
from nutmegknot._internal.configuration import keys
from nutmegknot._internal.models import cells


async def add_operator(
    command: operator_arguments.OperatorAdd,
) -> errors.CommandError | None:
    """Gives an operator a new key and shows it once."""
    new = keys.make_key()
    item = cells.OperatorKey(new.id, command.name, new.digest)

    def edit(config: cells.Configuration) -> cells.Configuration:
        return editing.replace_item(config, 'operators', new.id, item)

    return await key.add(command, edit, new)


async def withdraw_operator(
    command: operator_arguments.OperatorWithdraw,
) -> errors.CommandError | None:
    """Withdraws an operator's key."""
    return await key.withdraw(command, 'operators', command.id)


async def list_operators(
    command: operator_arguments.OperatorList,
) -> errors.CommandError | None:
    """Lists operators' keys without their secrets."""
    return await listing.list_section(
        command,
        ['id', 'operator', 'withdrawn'],
        lambda config: [
            [one.id, one.operator, one.withdrawn]
            for _, one in sorted(config.operators.items())
        ],
    )


def print_bootstrap(command: operator_arguments.OperatorBootstrap) -> None:
    """Prints a first operator key and the setting that admits it."""
    new = keys.make_key(keys.BOOTSTRAP_ID)
    print('in the settings of every instance:')
    print('[operators]')
    print(f'bootstrap_digest = "{new.digest}"')
    print('the key, not shown again:')
    print(new.text)
