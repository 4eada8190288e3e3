"""Errors that end a command, with advice for the user."""

import dataclasses
import pathlib
import traceback

from nutmegknot._internal.cli import exit_codes


@dataclasses.dataclass(slots=True, frozen=True)
class CommandError:
    """Error that ends a command.

    Attributes:
      code: Exit code of the process.
      detail: What is wrong, in one line.
      advice: What the user can do about it, in one line, or ''.
    """

    code: exit_codes.ExitCode
    detail: str
    advice: str = ''


def format_error(error: CommandError) -> str:
    """Returns the error as text for the user."""
    lines = [f'nutmegknot: error: {error.detail}']
    if error.advice:
        lines.append(f'nutmegknot: advice: {error.advice}')
    return '\n'.join(lines)


def find_location(error: BaseException) -> str:
    """Returns file name and line number at which an exception was raised."""
    frames = traceback.extract_tb(error.__traceback__)
    if not frames:
        return ''
    return f'{pathlib.PurePath(frames[-1].filename).name}:{frames[-1].lineno}'
