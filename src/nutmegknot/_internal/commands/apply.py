"""Command apply: replaces the configuration by the content of a file."""

from nutmegknot._internal.cli import errors
from nutmegknot._internal.cli import exit_codes
from nutmegknot._internal.commands import cell_arguments
from nutmegknot._internal.commands import editing
from nutmegknot._internal.configuration import files
from nutmegknot._internal.models import cells
from nutmegknot._internal.settings import trees


async def apply_file(
    command: cell_arguments.Apply,
) -> errors.CommandError | None:
    """Changes the configuration to the content of a file."""
    text = trees.read_file(command.file)
    if isinstance(text, trees.BadTree):
        return _make_error(text)

    def edit(
        current: cells.Configuration,
    ) -> cells.Configuration | errors.CommandError:
        edited = files.read_text(text, str(command.file), current)
        return (
            _make_error(edited) if isinstance(edited, trees.BadTree) else edited
        )

    return await editing.change_configuration(command, edit)


def _make_error(invalid: trees.BadTree) -> errors.CommandError:
    return errors.CommandError(exit_codes.ExitCode.BAD_SETTINGS, invalid.detail)
