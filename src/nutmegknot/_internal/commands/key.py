"""Commands on the keys with which teams submit requests."""

import dataclasses

from nutmegknot._internal.cli import errors
from nutmegknot._internal.commands import configuration_edits
from nutmegknot._internal.commands import operator_arguments
from nutmegknot._internal.commands import operator_calls
from nutmegknot._internal.commands import options
from nutmegknot._internal.commands import output_format
from nutmegknot._internal.configuration import keys
from nutmegknot._internal.models import cells


async def add_key(
    command: operator_arguments.KeyAdd,
) -> errors.CommandError | None:
    """Adds a new key to a team and prints it; it is not printed again."""
    new_key = keys.make_key()
    item = cells.Key(new_key.id, command.team, new_key.digest)

    def edit(
        config: cells.Configuration,
    ) -> cells.Configuration | errors.CommandError:
        if command.team not in config.teams:
            return configuration_edits.make_not_found('team', command.team)
        return configuration_edits.replace_item(
            config, 'keys', new_key.id, item
        )

    return await apply_key_addition(command, edit, new_key)


async def apply_key_addition(
    command: options.ChangeOptions,
    edit: configuration_edits.Edit,
    new_key: keys.NewKey,
) -> errors.CommandError | None:
    """Applies a change that adds a key, then prints the key with its secret.

    The key is printed only here, as the configuration holds no more than a
    hash of its secret.

    Args:
      command: Options of the command.
      edit: Adds the key to the configuration.
      new_key: The key.
    """
    error = await configuration_edits.change_configuration(command, edit)
    if error is None and not command.dry_run:
        fields = {'id': new_key.id, 'key': new_key.text}
        output_format.print_object(command.output, fields)
        if command.output == 'table':
            print('the key is not shown again')
    return error


async def withdraw_key(
    command: operator_arguments.KeyWithdraw,
) -> errors.CommandError | None:
    """Withdraws a key of a team."""
    return await withdraw_from_section(command, 'keys', command.id)


async def withdraw_from_section(
    command: options.ChangeOptions, section: str, key_id: str
) -> errors.CommandError | None:
    """Marks a key as withdrawn.

    Args:
      command: Options of the command.
      section: Section of the configuration, 'keys' or 'operators'.
      key_id: Public part of the key.
    """
    edit = configuration_edits.make_edit(
        section, key_id, lambda key: dataclasses.replace(key, withdrawn=True)
    )
    return await configuration_edits.change_configuration(command, edit)


async def list_keys(
    command: operator_arguments.KeyList,
) -> errors.CommandError | None:
    """Lists the keys of teams without their secrets."""
    return await operator_calls.list_section(
        command,
        ['id', 'team', 'withdrawn'],
        lambda config: [
            [key.id, key.team, key.withdrawn]
            for _, key in sorted(config.keys.items())
        ],
    )
