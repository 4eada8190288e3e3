"""All commands of the command line, and the functions that carry them out.

The module of a command is imported only when the command runs.
"""

from collections.abc import Callable
import dataclasses
import importlib
import pathlib
from typing import Annotated
from typing import Any

import cappa

from nutmegknot._internal.commands import caller_arguments
from nutmegknot._internal.commands import cell_arguments
from nutmegknot._internal.commands import operator_arguments


@cappa.command(
    name='serve',
    help='Run one instance until it is stopped.',
    description='Example: nutmegknot serve --config instance.toml',
)
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
    name='attach',
    help="Run one instance on the users' platform.",
    description='Example: NUTMEGKNOT_CONFIG=boot.json nutmegknot attach',
)
@dataclasses.dataclass(slots=True)
class Attach:
    """Run one instance on the users' platform.

    Attributes:
      level: Lowest level that is logged.
    """

    level: Annotated[
        str, cappa.Arg(long='--level', help='Lowest level that is logged.')
    ] = 'info'


@cappa.command(
    name='explain',
    help='Follow one job through the logs of several instances.',
    description='Example: nutmegknot explain 5c0e7a21d94b36f8 a.log b.log',
)
@dataclasses.dataclass(slots=True)
class Explain:
    """Follow one job through the logs of several instances.

    Attributes:
      job: Id of the job.
      logs: Files with the standard output of instances.
    """

    job: Annotated[str, cappa.Arg(help='Id of the job.')]
    logs: Annotated[
        list[pathlib.Path],
        cappa.Arg(help='Files with the standard output of instances.'),
    ]


@cappa.command(
    name='check-config',
    help="Check a configuration for the users' platform before its use.",
    description='Example: nutmegknot check-config new.json --in-force old.json',
)
@dataclasses.dataclass(slots=True)
class CheckConfig:
    """Check a configuration for the users' platform before its use.

    Attributes:
      file: The configuration.
      in_force: The configuration in force; None to list no differences.
      workers: List of workers; None to leave out the checks that need it.
      format: Output format, 'text' or 'json'.
    """

    file: Annotated[pathlib.Path, cappa.Arg(help='Configuration (JSON).')]
    in_force: Annotated[
        pathlib.Path | None,
        cappa.Arg(
            long='--in-force',
            help='Configuration in force; list the differences from it.',
        ),
    ] = None
    workers: Annotated[
        pathlib.Path | None,
        cappa.Arg(
            long='--workers',
            help='List of workers (JSON); compare limits with it.',
        ),
    ] = None
    format: Annotated[
        str,
        cappa.Arg(
            long='--format', choices=['text', 'json'], help='Output format.'
        ),
    ] = 'text'


@cappa.command(
    name='local',
    help='Run a whole cell with stand-in workers in one process.',
    description='Example: nutmegknot local --demo',
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


@cappa.command(
    name='nutmegknot',
    help='Cluster scheduler for services, batch queues and all-at-once jobs.',
)
@dataclasses.dataclass(slots=True)
class Nutmegknot:
    """The whole command line.

    Attributes:
      command: The command or group of commands that the user named.
    """

    command: cappa.Subcommands[
        Serve
        | Attach
        | Explain
        | CheckConfig
        | Local
        | caller_arguments.Submit
        | caller_arguments.Wait
        | caller_arguments.Cancel
        | caller_arguments.Describe
        | operator_arguments.Team
        | operator_arguments.Key
        | operator_arguments.Operator
        | operator_arguments.Queue
        | operator_arguments.Service
        | cell_arguments.Domain
        | cell_arguments.Job
        | cell_arguments.Config
        | cell_arguments.Apply
        | cell_arguments.Audit
        | cell_arguments.Dump
    ]


# Module in this package and function in it, by class of the command.
_FUNCTIONS: dict[type, tuple[str, str]] = {
    Serve: ('serve', 'run_instance'),
    Attach: ('attach', 'run_instance'),
    Explain: ('explain', 'explain_job'),
    CheckConfig: ('check_config', 'check_config'),
    Local: ('local', 'run_cell'),
    caller_arguments.Submit: ('submit', 'submit_request'),
    caller_arguments.Wait: ('requests', 'wait_for_request'),
    caller_arguments.Cancel: ('requests', 'cancel_request'),
    caller_arguments.Describe: ('requests', 'describe_request'),
    operator_arguments.TeamSet: ('team', 'set_team'),
    operator_arguments.TeamRemove: ('team', 'remove_team'),
    operator_arguments.TeamList: ('team', 'list_teams'),
    operator_arguments.KeyAdd: ('key', 'add_key'),
    operator_arguments.KeyWithdraw: ('key', 'withdraw_key'),
    operator_arguments.KeyList: ('key', 'list_keys'),
    operator_arguments.OperatorAdd: ('operator', 'add_operator'),
    operator_arguments.OperatorWithdraw: ('operator', 'withdraw_operator'),
    operator_arguments.OperatorList: ('operator', 'list_operators'),
    operator_arguments.OperatorBootstrap: ('operator', 'print_bootstrap'),
    operator_arguments.QueueSet: ('queue', 'set_queue'),
    operator_arguments.QueueList: ('queue', 'list_queues'),
    operator_arguments.ServiceSet: ('service', 'set_service'),
    operator_arguments.ServiceRemove: ('service', 'remove_service'),
    operator_arguments.ServiceList: ('service', 'list_services'),
    cell_arguments.DomainClose: ('domain', 'close_domain'),
    cell_arguments.DomainOpen: ('domain', 'open_domain'),
    cell_arguments.DomainList: ('domain', 'list_domains'),
    cell_arguments.JobExplain: ('job', 'explain_job'),
    cell_arguments.JobList: ('job', 'list_jobs'),
    cell_arguments.ConfigShow: ('config', 'show_config'),
    cell_arguments.Apply: ('apply', 'apply_file'),
    cell_arguments.AuditList: ('audit', 'list_audit'),
    cell_arguments.AuditVerify: ('audit', 'verify_audit'),
    cell_arguments.Dump: ('dump', 'print_dump'),
}


def find_command(parsed: Nutmegknot) -> object:
    """Returns the command itself, without the groups that it belongs to."""
    command: Any = parsed
    while type(command) not in _FUNCTIONS:
        command = command.command
    return command


def import_function(command: object) -> Callable[[Any], Any]:
    """Imports the module of a command and returns the command's function."""
    module_name, function_name = _FUNCTIONS[type(command)]
    module = importlib.import_module(
        f'nutmegknot._internal.commands.{module_name}'
    )
    function: Callable[[Any], Any] = getattr(module, function_name)
    return function
