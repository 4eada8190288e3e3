"""Arguments of the commands on teams, keys, operators, queues and services."""

import dataclasses
import pathlib
from typing import Annotated

import cappa

from nutmegknot._internal.commands import options

Name = Annotated[str, cappa.Arg(help='Name.')]


@cappa.command(
    name='set',
    help='Create a team, or change its share and limit.',
    description=(
        'Example: nutmegknot team set sheets --share 3 --cores 200 '
        '--memory-mib 800000 --slots 120 --reason "peak season"'
    ),
)
@dataclasses.dataclass(slots=True, kw_only=True)
class TeamSet(options.ChangeOptions):
    """Create or change a team.

    Attributes:
      name: Name of the team.
      share: Weight of the team when the fleet is full; None keeps the current
        one.
      cores: Limit of processors, with up to three decimals; None keeps the
        current one.
      memory_mib: Limit of memory in MiB; None keeps the current one.
      accelerators: Limit of accelerator cards; None keeps the current one.
      slots: Limit of task slots; None keeps the current one.
    """

    name: Name
    share: Annotated[
        float | None,
        cappa.Arg(
            long='--share', help='Weight of the team when the fleet is full.'
        ),
    ] = None
    cores: options.Cores = None
    memory_mib: options.MemoryMib = None
    accelerators: options.Accelerators = None
    slots: options.Slots = None


@cappa.command(
    name='remove',
    help='Remove a team whose keys are withdrawn.',
    description='Example: nutmegknot team remove sheets --reason "closed"',
)
@dataclasses.dataclass(slots=True, kw_only=True)
class TeamRemove(options.ChangeOptions):
    """Remove a team.

    Attributes:
      name: Name of the team.
    """

    name: Name


@cappa.command(
    name='list',
    help='List teams with their shares and limits.',
    description='Example: nutmegknot team list --output json',
)
@dataclasses.dataclass(slots=True, kw_only=True)
class TeamList(options.OperatorOptions):
    """List teams."""


@cappa.command(name='team', help='Teams, their shares and upper limits.')
@dataclasses.dataclass(slots=True)
class Team:
    """Commands on teams.

    Attributes:
      command: The command that the user named.
    """

    command: cappa.Subcommands[TeamSet | TeamRemove | TeamList]


@cappa.command(
    name='add',
    help='Give a team a new key; it is shown once.',
    description='Example: nutmegknot key add sheets --reason "rotation"',
)
@dataclasses.dataclass(slots=True, kw_only=True)
class KeyAdd(options.ChangeOptions):
    """Give a team a new key.

    Attributes:
      team: Team that gets the key.
    """

    team: Annotated[str, cappa.Arg(help='Team that gets the key.')]


@cappa.command(
    name='withdraw',
    help='Withdraw a key for good.',
    description='Example: nutmegknot key withdraw k12ab --reason "leaked"',
)
@dataclasses.dataclass(slots=True, kw_only=True)
class KeyWithdraw(options.ChangeOptions):
    """Withdraw a team's key.

    Attributes:
      id: Public part of the key.
    """

    id: Annotated[str, cappa.Arg(help='Public part of the key.')]


@cappa.command(
    name='list',
    help='List keys without their secrets.',
    description='Example: nutmegknot key list',
)
@dataclasses.dataclass(slots=True, kw_only=True)
class KeyList(options.OperatorOptions):
    """List keys."""


@cappa.command(name='key', help='Keys of teams.')
@dataclasses.dataclass(slots=True)
class Key:
    """Commands on keys.

    Attributes:
      command: The command that the user named.
    """

    command: cappa.Subcommands[KeyAdd | KeyWithdraw | KeyList]


@cappa.command(
    name='add',
    help='Give an operator a new key; it is shown once.',
    description='Example: nutmegknot operator add asha --reason "joins"',
)
@dataclasses.dataclass(slots=True, kw_only=True)
class OperatorAdd(options.ChangeOptions):
    """Give an operator a new key.

    Attributes:
      name: Name of the operator, as the audit history shows it.
    """

    name: Annotated[
        str,
        cappa.Arg(help='Name of the operator, as the audit history shows it.'),
    ]


@cappa.command(
    name='withdraw',
    help='Withdraw an operator key for good.',
    description='Example: nutmegknot operator withdraw k12ab --reason "left"',
)
@dataclasses.dataclass(slots=True, kw_only=True)
class OperatorWithdraw(options.ChangeOptions):
    """Withdraw an operator's key.

    Attributes:
      id: Public part of the key.
    """

    id: Annotated[str, cappa.Arg(help='Public part of the key.')]


@cappa.command(
    name='list',
    help='List operator keys without their secrets.',
    description='Example: nutmegknot operator list',
)
@dataclasses.dataclass(slots=True, kw_only=True)
class OperatorList(options.OperatorOptions):
    """List operators' keys."""


@cappa.command(
    name='bootstrap',
    help='Make the first operator key and the setting that admits it.',
    description='Example: nutmegknot operator bootstrap',
)
@dataclasses.dataclass(slots=True, kw_only=True)
class OperatorBootstrap:
    """Make the first operator key and the setting that admits it."""


@cappa.command(name='operator', help='Operators and their keys.')
@dataclasses.dataclass(slots=True)
class Operator:
    """Commands on operators.

    Attributes:
      command: The command that the user named.
    """

    command: cappa.Subcommands[
        OperatorAdd | OperatorWithdraw | OperatorList | OperatorBootstrap
    ]


@cappa.command(
    name='set',
    help='Create or change a queue.',
    description=(
        'Example: nutmegknot queue set sheets --max-waiting 5000 '
        '--reason "first queue"'
    ),
)
@dataclasses.dataclass(slots=True, kw_only=True)
class QueueSet(options.ChangeOptions):
    """Create or change a queue.

    Attributes:
      name: Name of the queue.
      open_team: Opens the queue to all callers, and counts their work for this
        team; '' closes the queue to callers without a key; None keeps the
        current value.
      max_waiting: Maximum number of requests of one team that may wait; None
        keeps the current value.
      priority: Highest priority class that the queue admits; None keeps the
        current value.
    """

    name: Name
    open_team: Annotated[
        str | None,
        cappa.Arg(
            long='--open-team',
            help='Open the queue to all; its work counts for this team. '
            'An empty name closes it.',
        ),
    ] = None
    max_waiting: Annotated[
        int | None,
        cappa.Arg(
            long='--max-waiting',
            help='Maximum number of waiting requests of one team.',
        ),
    ] = None
    priority: Annotated[
        str | None,
        cappa.Arg(
            long='--priority',
            choices=['urgent', 'normal', 'best_effort'],
            help='Highest priority class that the queue admits.',
        ),
    ] = None


@cappa.command(
    name='list',
    help='List queues.',
    description='Example: nutmegknot queue list',
)
@dataclasses.dataclass(slots=True, kw_only=True)
class QueueList(options.OperatorOptions):
    """List queues."""


@cappa.command(name='queue', help='Queues that work is submitted to.')
@dataclasses.dataclass(slots=True)
class Queue:
    """Commands on queues.

    Attributes:
      command: The command that the user named.
    """

    command: cappa.Subcommands[QueueSet | QueueList]


@cappa.command(
    name='set',
    help='Create or change a service.',
    description=(
        'Example: nutmegknot service set label-api --team sheets '
        '--replicas 3 --cores 2 --memory-mib 2048 --slots 1 --reason "launch"'
    ),
)
@dataclasses.dataclass(slots=True, kw_only=True)
class ServiceSet(options.ChangeOptions):
    """Create or change a service.

    Attributes:
      name: Name of the service.
      team: Team that the service's work counts for; required for a new
        service.
      replicas: Number of replicas to keep running; None keeps the current
        value.
      payload_file: File with the payload that a replica runs; None keeps the
        current payload.
      cores: Processors of a replica, with up to three decimals; None keeps the
        current value.
      memory_mib: Memory of a replica in MiB; None keeps the current value.
      accelerators: Accelerator cards of a replica; None keeps the current
        value.
      slots: Task slots of a replica; None keeps the current value.
    """

    name: Name
    team: Annotated[
        str | None,
        cappa.Arg(
            long='--team', help="Team that the service's work counts for."
        ),
    ] = None
    replicas: Annotated[
        int | None,
        cappa.Arg(
            long='--replicas', help='Number of replicas to keep running.'
        ),
    ] = None
    payload_file: Annotated[
        pathlib.Path | None,
        cappa.Arg(
            long='--payload-file',
            help='File with the payload that a replica runs.',
        ),
    ] = None
    cores: options.Cores = None
    memory_mib: options.MemoryMib = None
    accelerators: options.Accelerators = None
    slots: options.Slots = None


@cappa.command(
    name='remove',
    help='Remove a service and stop its replicas.',
    description='Example: nutmegknot service remove label-api --reason "old"',
)
@dataclasses.dataclass(slots=True, kw_only=True)
class ServiceRemove(options.ChangeOptions):
    """Remove a service.

    Attributes:
      name: Name of the service.
    """

    name: Name


@cappa.command(
    name='list',
    help='List services.',
    description='Example: nutmegknot service list',
)
@dataclasses.dataclass(slots=True, kw_only=True)
class ServiceList(options.OperatorOptions):
    """List services."""


@cappa.command(name='service', help='Long-running services.')
@dataclasses.dataclass(slots=True)
class Service:
    """Commands on services.

    Attributes:
      command: The command that the user named.
    """

    command: cappa.Subcommands[ServiceSet | ServiceRemove | ServiceList]
