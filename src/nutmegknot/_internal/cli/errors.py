"""Errors that end a command, with advice for the user."""

import dataclasses

from nutmegknot._internal.cli import exit_codes


@dataclasses.dataclass(slots=True, frozen=True)
class CommandError:
    """Why a command did not succeed.

    Attributes:
      code: Exit code.
      detail: What is wrong, one line.
      advice: What the user can do, one line, or ''.
    """

    code: exit_codes.ExitCode
    detail: str
    advice: str = ''


def format_error(error: CommandError) -> str:
    """Returns the text that is shown to the user."""
    lines = [f'nutmegknot: error: {error.detail}']
    if error.advice:
        lines.append(f'nutmegknot: advice: {error.advice}')
    return '\n'.join(lines)
