"""Commands on the keys of operators."""

from nutmegknot._internal.cli import errors
from nutmegknot._internal.commands import configuration_edits
from nutmegknot._internal.commands import key
from nutmegknot._internal.commands import operator_arguments
from nutmegknot._internal.commands import operator_calls
from nutmegknot._internal.configuration import keys
from nutmegknot._internal.models import cells


async def add_operator(
    command: operator_arguments.OperatorAdd,
) -> errors.CommandError | None:
    """Adds a new key for an operator and prints it; it is not printed again."""
    new_key = keys.make_key()
    item = cells.OperatorKey(new_key.id, command.name, new_key.digest)

    def edit(config: cells.Configuration) -> cells.Configuration:
        return configuration_edits.replace_item(
            config, 'operators', new_key.id, item
        )

    return await key.apply_key_addition(command, edit, new_key)


async def withdraw_operator(
    command: operator_arguments.OperatorWithdraw,
) -> errors.CommandError | None:
    """Withdraws a key of an operator."""
    return await key.withdraw_from_section(command, 'operators', command.id)


async def list_operators(
    command: operator_arguments.OperatorList,
) -> errors.CommandError | None:
    """Lists the keys of operators without their secrets."""
    return await operator_calls.list_section(
        command,
        ['id', 'operator', 'withdrawn'],
        lambda config: [
            [operator_key.id, operator_key.operator, operator_key.withdrawn]
            for _, operator_key in sorted(config.operators.items())
        ],
    )


def print_bootstrap(command: operator_arguments.OperatorBootstrap) -> None:
    """Makes a first operator key and prints it with the setting for it.

    The setting lets an operator use the key before the configuration has any
    operator key.
    """
    new_key = keys.make_key(keys.BOOTSTRAP_KEY_ID)
    print('in the settings of every instance:')
    print('[operators]')
    print(f'bootstrap_digest = "{new_key.digest}"')
    print('the key, not shown again:')
    print(new_key.text)
