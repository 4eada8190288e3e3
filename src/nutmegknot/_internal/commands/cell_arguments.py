"""Arguments of the commands on failure domains, jobs and the whole cell."""

import dataclasses
import pathlib
from typing import Annotated

import cappa

from nutmegknot._internal.commands import operator_arguments
from nutmegknot._internal.commands import options


@cappa.command(
    name='close',
    help='Take a failure domain out; shows what that moves.',
    description='Example: nutmegknot domain close kochi-a --reason "switch"',
)
@dataclasses.dataclass(slots=True, kw_only=True)
class DomainClose(options.ChangeOptions):
    """Take a failure domain out.

    Attributes:
      name: Name of the failure domain.
    """

    name: operator_arguments.Name


@cappa.command(
    name='open',
    help='Bring a failure domain back, or add one.',
    description='Example: nutmegknot domain open kochi-a --reason "repaired"',
)
@dataclasses.dataclass(slots=True, kw_only=True)
class DomainOpen(options.ChangeOptions):
    """Bring a failure domain back.

    Attributes:
      name: Name of the failure domain.
      region: Region of a new one.
    """

    name: operator_arguments.Name
    region: Annotated[
        str | None, cappa.Arg(long='--region', help='Region of a new one.')
    ] = None


@cappa.command(
    name='list',
    help='List failure domains and what each runs.',
    description='Example: nutmegknot domain list',
)
@dataclasses.dataclass(slots=True, kw_only=True)
class DomainList(options.OperatorOptions):
    """List failure domains."""


@cappa.command(name='domain', help='Failure domains.')
@dataclasses.dataclass(slots=True)
class Domain:
    """Commands on failure domains.

    Attributes:
      command: The command given.
    """

    command: cappa.Subcommands[DomainClose | DomainOpen | DomainList]


@cappa.command(
    name='explain',
    help='Tell what holds a waiting request.',
    description='Example: nutmegknot job explain sheet-17 --team sheets',
)
@dataclasses.dataclass(slots=True, kw_only=True)
class JobExplain(options.OperatorOptions):
    """Tell what holds a waiting request.

    Attributes:
      id: Identifier of the request.
      team: Its team.
    """

    id: Annotated[str, cappa.Arg(help='Identifier of the request.')]
    team: Annotated[str, cappa.Arg(long='--team', help='Its team.')]


@cappa.command(
    name='list',
    help='List requests, oldest first.',
    description='Example: nutmegknot job list --team sheets',
)
@dataclasses.dataclass(slots=True, kw_only=True)
class JobList(options.OperatorOptions):
    """List requests.

    Attributes:
      team: Only this team's; '' for all.
      ended: Whether ended ones are listed too.
      most: The most lines.
    """

    team: Annotated[str, cappa.Arg(long='--team', help="Only this team's.")] = (
        ''
    )
    ended: Annotated[
        bool, cappa.Arg(long='--ended', help='Ended ones too.')
    ] = False
    most: Annotated[
        int, cappa.Arg(long='--most', help='Most lines, up to 1000.')
    ] = 100


@cappa.command(name='job', help='Accepted requests.')
@dataclasses.dataclass(slots=True)
class Job:
    """Commands on requests.

    Attributes:
      command: The command given.
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
      command: The command given.
    """

    command: cappa.Subcommands[ConfigShow]


@cappa.command(
    name='apply',
    help='Bring the configuration to what a file asks for, all or nothing.',
    description=(
        'Example: nutmegknot apply -f cell.toml --dry-run --reason "audit"'
    ),
)
@dataclasses.dataclass(slots=True, kw_only=True)
class Apply(options.ChangeOptions):
    """Apply a whole configuration.

    Attributes:
      file: The file.
    """

    file: Annotated[
        pathlib.Path,
        cappa.Arg(short='-f', long='--file', help='Configuration (TOML).'),
    ]


@cappa.command(
    name='list',
    help='List steps of requests, or changes of the configuration.',
    description=(
        'Example: nutmegknot audit list --request sheets/sheet-17 --output json'
    ),
)
@dataclasses.dataclass(slots=True, kw_only=True)
class AuditList(options.OperatorOptions):
    """List steps of requests.

    Attributes:
      request: Team and identifier, 'TEAM/ID'; '' for all.
      team: Only this team's; '' for all.
      since: Earliest instant, ISO 8601; '' for no bound.
      until: Instant before which a step was taken; '' for no bound.
      changes: Whether changes of the configuration are listed instead.
      most: The most lines.
    """

    request: Annotated[
        str, cappa.Arg(long='--request', help='One request, TEAM/ID.')
    ] = ''
    team: Annotated[str, cappa.Arg(long='--team', help="Only this team's.")] = (
        ''
    )
    since: Annotated[
        str,
        cappa.Arg(long='--since', help='Not before this, 2026-01-31T08:00Z.'),
    ] = ''
    until: Annotated[
        str, cappa.Arg(long='--until', help='Before this instant.')
    ] = ''
    changes: Annotated[
        bool,
        cappa.Arg(
            long='--changes', help='Changes of the configuration instead.'
        ),
    ] = False
    most: Annotated[
        int, cappa.Arg(long='--most', help='Most lines, up to 10000.')
    ] = 100


@cappa.command(
    name='verify',
    help='Look for changed or missing records.',
    description='Example: nutmegknot audit verify',
)
@dataclasses.dataclass(slots=True, kw_only=True)
class AuditVerify(options.OperatorOptions):
    """Look for changed or missing records."""


@cappa.command(name='audit', help='History of requests and configurations.')
@dataclasses.dataclass(slots=True)
class Audit:
    """Commands on the history.

    Attributes:
      command: The command given.
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
