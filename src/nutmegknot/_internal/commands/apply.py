"""Command apply: a whole configuration from a file."""

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
    """Brings the configuration to what a file asks for."""
    text = trees.read_file(command.file)
    if isinstance(text, trees.BadTree):
        return _make_error(text)

    def edit(
        present: cells.Configuration,
    ) -> cells.Configuration | errors.CommandError:
        wanted = files.read_text(text, str(command.file), present)
        return (
            _make_error(wanted) if isinstance(wanted, trees.BadTree) else wanted
        )

    return await editing.change_configuration(command, edit)


def _make_error(bad: trees.BadTree) -> errors.CommandError:
    return errors.CommandError(exit_codes.ExitCode.BAD_SETTINGS, bad.detail)
