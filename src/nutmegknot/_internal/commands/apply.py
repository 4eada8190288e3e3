"""Command apply: replaces the configuration by the content of a file."""

from nutmegknot._internal.cli import errors
from nutmegknot._internal.cli import exit_codes
from nutmegknot._internal.commands import cell_arguments
from nutmegknot._internal.commands import configuration_edits
from nutmegknot._internal.configuration import toml_files
from nutmegknot._internal.models import cells
from nutmegknot._internal.settings import toml_messages


async def apply_file(
    command: cell_arguments.Apply,
) -> errors.CommandError | None:
    """Changes the configuration to the content of a file."""
    text = toml_messages.read_file(command.file)
    if isinstance(text, toml_messages.InvalidToml):
        return _make_error(text)

    def edit(
        current: cells.Configuration,
    ) -> cells.Configuration | errors.CommandError:
        edited = toml_files.parse_toml(text, str(command.file), current)
        return (
            _make_error(edited)
            if isinstance(edited, toml_messages.InvalidToml)
            else edited
        )

    return await configuration_edits.change_configuration(command, edit)


def _make_error(invalid: toml_messages.InvalidToml) -> errors.CommandError:
    return errors.CommandError(exit_codes.ExitCode.BAD_SETTINGS, invalid.detail)
