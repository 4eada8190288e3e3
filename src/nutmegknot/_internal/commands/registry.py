"""All commands; the module of a command is imported when it runs."""

from collections.abc import Callable
import dataclasses
import importlib
import pathlib
from typing import Annotated
from typing import Any

import cappa


@cappa.command(name='serve', help='Run one instance until it is stopped.')
@dataclasses.dataclass(slots=True)
class Serve:
    """Run one instance until it is stopped.

    Attributes:
      config: Settings file.
    """

    config: Annotated[
        pathlib.Path,
        cappa.Arg(long='--config', required=True, help='Settings file (TOML).'),
    ]


@cappa.command(
    name='local',
    help='Run a whole cell with stand-in workers in one process.',
)
@dataclasses.dataclass(slots=True)
class Local:
    """Run a whole cell with stand-in workers in one process.

    Attributes:
      demo: Whether to run the demonstration and end.
    """

    demo: Annotated[
        bool,
        cappa.Arg(long='--demo', help='Run a short demonstration and end.'),
    ] = False


@cappa.command(name='dump', help='Print the state of an instance as JSON.')
@dataclasses.dataclass(slots=True)
class Dump:
    """Print the state of an instance as JSON.

    Attributes:
      server: Address of the instance.
    """

    server: Annotated[
        str, cappa.Arg(long='--server', help='Address of an instance.')
    ] = '127.0.0.1:7600'


@cappa.command(
    name='nutmegknot',
    help='Cluster scheduler for services, batch queues and all-at-once jobs.',
)
@dataclasses.dataclass(slots=True)
class Nutmegknot:
    """The whole command line.

    Attributes:
      command: The command given.
    """

    command: cappa.Subcommands[Serve | Local | Dump]


_FUNCTIONS: dict[type, tuple[str, str]] = {
    Serve: ('serve', 'run_instance'),
    Local: ('local', 'run_cell'),
    Dump: ('dump', 'print_dump'),
}


def load(command: object) -> Callable[[Any], Any]:
    """Imports the module of a command and returns its function."""
    module_name, function_name = _FUNCTIONS[type(command)]
    module = importlib.import_module(
        f'nutmegknot._internal.commands.{module_name}'
    )
    function: Callable[[Any], Any] = getattr(module, function_name)
    return function
