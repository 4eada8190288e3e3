"""Arguments of the commands on failure domains, jobs and the whole cell."""

import dataclasses
import pathlib
from typing import Annotated

import cappa

from nutmegknot._internal.commands import operator_arguments
from nutmegknot._internal.commands import options


@cappa.command(
    name='close',
    help='Close a failure domain, after showing the work that this moves.',
    description='Example: nutmegknot domain close kochi-a --reason "switch"',
)
@dataclasses.dataclass(slots=True, kw_only=True)
class DomainClose(options.ChangeOptions):
    """Close a failure domain, after showing the work that this moves.

    Attributes:
      name: Name of the failure domain.
    """

    name: operator_arguments.Name


@cappa.command(
    name='open',
    help='Open a closed failure domain, or add a new one.',
    description='Example: nutmegknot domain open kochi-a --reason "repaired"',
)
@dataclasses.dataclass(slots=True, kw_only=True)
class DomainOpen(options.ChangeOptions):
    """Open a closed failure domain, or add a new one.

    Attributes:
      name: Name of the failure domain.
      region: Region of a new failure domain; None keeps the current region.
    """

    name: operator_arguments.Name
    region: Annotated[
        str | None,
        cappa.Arg(long='--region', help='Region of a new failure domain.'),
    ] = None


@cappa.command(
    name='list',
    help='List failure domains with their workers and requests.',
    description='Example: nutmegknot domain list',
)
@dataclasses.dataclass(slots=True, kw_only=True)
class DomainList(options.OperatorOptions):
    """List failure domains with their workers and requests."""


@cappa.command(name='domain', help='Failure domains.')
@dataclasses.dataclass(slots=True)
class Domain:
    """Commands on failure domains.

    Attributes:
      command: The command that the user named.
    """

    command: cappa.Subcommands[DomainClose | DomainOpen | DomainList]


@cappa.command(
    name='explain',
    help='Show the state of a request, and why it is waiting.',
    description='Example: nutmegknot job explain sheet-17 --team sheets',
)
@dataclasses.dataclass(slots=True, kw_only=True)
class JobExplain(options.OperatorOptions):
    """Show the state of a request, and why it is waiting.

    Attributes:
      id: Identifier of the request.
      team: Team of the request.
    """

    id: Annotated[str, cappa.Arg(help='Identifier of the request.')]
    team: Annotated[str, cappa.Arg(long='--team', help='Team of the request.')]


@cappa.command(
    name='list',
    help='List requests, oldest first.',
    description='Example: nutmegknot job list --team sheets',
)
@dataclasses.dataclass(slots=True, kw_only=True)
class JobList(options.OperatorOptions):
    """List requests, oldest first.

    Attributes:
      team: Team whose requests are listed; '' for all teams.
      ended: Whether requests that have ended are listed too.
      most: Maximum number of lines.
    """

    team: Annotated[
        str, cappa.Arg(long='--team', help='List requests of this team only.')
    ] = ''
    ended: Annotated[
        bool,
        cappa.Arg(long='--ended', help='Also list requests that have ended.'),
    ] = False
    most: Annotated[
        int,
        cappa.Arg(long='--most', help='Maximum number of lines, 1000 at most.'),
    ] = 100


@cappa.command(name='job', help='Accepted requests.')
@dataclasses.dataclass(slots=True)
class Job:
    """Commands on requests.

    Attributes:
      command: The command that the user named.
    """

    command: cappa.Subcommands[JobExplain | JobList]


@cappa.command(
    name='show',
    help='Print the configuration in force as a file for apply.',
    description='Example: nutmegknot config show > cell.toml',
)
@dataclasses.dataclass(slots=True, kw_only=True)
class ConfigShow(options.OperatorOptions):
    """Print the configuration in force."""


@cappa.command(name='config', help='The whole configuration.')
@dataclasses.dataclass(slots=True)
class Config:
    """Commands on the whole configuration.

    Attributes:
      command: The command that the user named.
    """

    command: cappa.Subcommands[ConfigShow]


@cappa.command(
    name='apply',
    help='Change the configuration to the content of a file, all or nothing.',
    description=(
        'Example: nutmegknot apply -f cell.toml --dry-run --reason "audit"'
    ),
)
@dataclasses.dataclass(slots=True, kw_only=True)
class Apply(options.ChangeOptions):
    """Change the configuration to the content of a file.

    Attributes:
      file: File with the configuration, in TOML.
    """

    file: Annotated[
        pathlib.Path,
        cappa.Arg(short='-f', long='--file', help='Configuration (TOML).'),
    ]


@cappa.command(
    name='list',
    help='List events of requests, or changes of the configuration.',
    description=(
        'Example: nutmegknot audit list --request sheets/sheet-17 --output json'
    ),
)
@dataclasses.dataclass(slots=True, kw_only=True)
class AuditList(options.OperatorOptions):
    """List events of requests, or changes of the configuration.

    Attributes:
      request: Team and identifier of a request, 'TEAM/ID'; '' for all.
      team: Team whose requests are included; '' for all teams.
      since: Earliest time, ISO 8601; '' for no bound.
      until: Time before which all listed events happened, ISO 8601; '' for no
        bound.
      changes: Whether changes of the configuration are listed instead of
        events of requests.
      most: Maximum number of lines.
    """

    request: Annotated[
        str,
        cappa.Arg(
            long='--request', help='List events of one request only, TEAM/ID.'
        ),
    ] = ''
    team: Annotated[
        str,
        cappa.Arg(
            long='--team', help='List events of requests of this team only.'
        ),
    ] = ''
    since: Annotated[
        str,
        cappa.Arg(
            long='--since',
            help='Earliest time to list, for example 2026-01-31T08:00Z.',
        ),
    ] = ''
    until: Annotated[
        str,
        cappa.Arg(
            long='--until', help='List only what happened before this time.'
        ),
    ] = ''
    changes: Annotated[
        bool,
        cappa.Arg(
            long='--changes',
            help='List changes of the configuration instead of events.',
        ),
    ] = False
    most: Annotated[
        int,
        cappa.Arg(
            long='--most', help='Maximum number of lines, 10000 at most.'
        ),
    ] = 100


@cappa.command(
    name='verify',
    help='Verify the history: look for changed or missing records.',
    description='Example: nutmegknot audit verify',
)
@dataclasses.dataclass(slots=True, kw_only=True)
class AuditVerify(options.OperatorOptions):
    """Verify the history: look for changed or missing records."""


@cappa.command(name='audit', help='History of requests and configurations.')
@dataclasses.dataclass(slots=True)
class Audit:
    """Commands on the history of requests and configurations.

    Attributes:
      command: The command that the user named.
    """

    command: cappa.Subcommands[AuditList | AuditVerify]


@cappa.command(
    name='dump',
    help='Print the state of an instance as JSON.',
    description='Example: nutmegknot dump --server 127.0.0.1:7600',
)
@dataclasses.dataclass(slots=True, kw_only=True)
class Dump(options.OperatorOptions):
    """Print the state of an instance as JSON."""
