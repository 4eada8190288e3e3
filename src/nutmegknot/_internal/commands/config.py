"""Command config: shows the whole configuration."""

import json

from nutmegknot._internal.cli import errors
from nutmegknot._internal.commands import cell_arguments
from nutmegknot._internal.commands import editing
from nutmegknot._internal.commands import listing
from nutmegknot._internal.configuration import files
from nutmegknot._internal.network import clients


async def show_config(
    command: cell_arguments.ConfigShow,
) -> errors.CommandError | None:
    """Prints the configuration in force as a file that apply can read."""

    async def show(
        client: clients.Client, key: str
    ) -> errors.CommandError | None:
        config = await editing.read_configuration(client, key)
        text = files.format_text(config)
        if command.output == 'json':
            print(json.dumps({'revision': config.revision, 'file': text}))
        else:
            print(text, end='')
        return None

    return await listing.call_as_operator(command, show)
