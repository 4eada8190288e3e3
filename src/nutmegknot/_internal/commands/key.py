"""Commands on keys of teams."""

import dataclasses

from nutmegknot._internal.cli import errors
from nutmegknot._internal.commands import editing
from nutmegknot._internal.commands import listing
from nutmegknot._internal.commands import operator_arguments
from nutmegknot._internal.commands import options
from nutmegknot._internal.commands import rendering
from nutmegknot._internal.configuration import keys
from nutmegknot._internal.models import cells


async def add_key(
    command: operator_arguments.KeyAdd,
) -> errors.CommandError | None:
    """Gives a team a new key and shows it once."""
    new = keys.make_key()
    item = cells.Key(new.id, command.team, new.digest)

    def edit(
        config: cells.Configuration,
    ) -> cells.Configuration | errors.CommandError:
        if command.team not in config.teams:
            return editing.make_missing('team', command.team)
        return editing.replace_item(config, 'keys', new.id, item)

    return await add(command, edit, new)


async def add(
    command: options.ChangeOptions, edit: editing.Edit, new: keys.NewKey
) -> errors.CommandError | None:
    """Makes a change that adds a key, and shows the key once."""
    error = await editing.change_configuration(command, edit)
    if error is None and not command.dry_run:
        fields = {'id': new.id, 'key': new.text}
        rendering.print_object(command.output, fields)
        if command.output == 'table':
            print('the key is not shown again')
    return error


async def withdraw_key(
    command: operator_arguments.KeyWithdraw,
) -> errors.CommandError | None:
    """Withdraws a team's key."""
    return await withdraw(command, 'keys', command.id)


async def withdraw(
    command: options.ChangeOptions, section: str, key_id: str
) -> errors.CommandError | None:
    """Marks a key of a section as withdrawn."""
    edit = editing.make_edit(
        section, key_id, lambda key: dataclasses.replace(key, withdrawn=True)
    )
    return await editing.change_configuration(command, edit)


async def list_keys(
    command: operator_arguments.KeyList,
) -> errors.CommandError | None:
    """Lists keys without their secrets."""
    return await listing.list_section(
        command,
        ['id', 'team', 'withdrawn'],
        lambda config: [
            [key.id, key.team, key.withdrawn]
            for _, key in sorted(config.keys.items())
        ],
    )
