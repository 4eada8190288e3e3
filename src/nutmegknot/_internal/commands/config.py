"""Command config: shows the whole configuration."""

import json

from nutmegknot._internal.cli import errors
from nutmegknot._internal.commands import cell_arguments
from nutmegknot._internal.commands import configuration_edits
from nutmegknot._internal.commands import operator_calls
from nutmegknot._internal.configuration import toml_files
from nutmegknot._internal.network import clients


async def show_config(
    command: cell_arguments.ConfigShow,
) -> errors.CommandError | None:
    """Prints the configuration in force as a file that apply can read."""

    async def show(
        client: clients.Client, key: str
    ) -> errors.CommandError | None:
        config = await configuration_edits.read_configuration(client, key)
        text = toml_files.format_toml(config)
        if command.output == 'json':
            print(json.dumps({'revision': config.revision, 'file': text}))
        else:
            print(text, end='')
        return None

    return await operator_calls.call_as_operator(command, show)
