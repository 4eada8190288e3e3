"""Options that several commands share."""

import dataclasses
import os
import pathlib
from typing import Annotated

import cappa

DEFAULT_SERVER = os.environ.get('NUTMEGKNOT_SERVER', '127.0.0.1:7600')

Cores = Annotated[float | None, cappa.Arg(long='--cores', help='Processors.')]
MemoryMib = Annotated[
    int | None, cappa.Arg(long='--memory-mib', help='Memory in MiB.')
]
Accelerators = Annotated[
    int | None, cappa.Arg(long='--accelerators', help='Accelerator cards.')
]
Slots = Annotated[int | None, cappa.Arg(long='--slots', help='Task slots.')]


@dataclasses.dataclass(slots=True, kw_only=True)
class ServerOptions:
    """Options of every command that calls an instance.

    Attributes:
      server: Address of the instance.
      authority: File with the certificate authorities that the instance's
        certificate is checked against; None for a connection without TLS.
      output: Output format, 'table' or 'json'.
    """

    server: Annotated[
        str,
        cappa.Arg(
            long='--server',
            help='Address of an instance; NUTMEGKNOT_SERVER gives the default.',
        ),
    ] = DEFAULT_SERVER
    authority: Annotated[
        pathlib.Path | None,
        cappa.Arg(
            long='--authority',
            help='Use TLS, and trust the authorities in this file (PEM).',
        ),
    ] = None
    output: Annotated[
        str,
        cappa.Arg(
            long='--output', choices=['table', 'json'], help='Output format.'
        ),
    ] = 'table'


@dataclasses.dataclass(slots=True, kw_only=True)
class CallerOptions(ServerOptions):
    """Options of the commands of callers.

    Attributes:
      key_file: File with the team's key; None to read it from the environment.
        The key itself is never an argument, because all users of the machine
        can see the arguments of a process.
      queue: Queue of the request.
    """

    key_file: Annotated[
        pathlib.Path | None,
        cappa.Arg(
            long='--key-file',
            help='File with the key; else NUTMEGKNOT_KEY is read.',
        ),
    ] = None
    queue: Annotated[str, cappa.Arg(long='--queue', help='Queue.')]


@dataclasses.dataclass(slots=True, kw_only=True)
class OperatorOptions(ServerOptions):
    """Options of the commands of operators.

    Attributes:
      key_file: File with the operator's key; None to read it from the
        environment.
    """

    key_file: Annotated[
        pathlib.Path | None,
        cappa.Arg(
            long='--key-file',
            help='File with the key; else NUTMEGKNOT_OPERATOR_KEY is read.',
        ),
    ] = None


@dataclasses.dataclass(slots=True, kw_only=True)
class ChangeOptions(OperatorOptions):
    """Options of the commands that change the configuration.

    Attributes:
      reason: Reason of the change, which is kept in the audit history.
      operator: Name of the operator who makes the change; '' for the login
        name. If the key belongs to an operator, that operator's name is
        recorded instead.
      revision: Revision that the change is based on; 0 for the revision that
        apply finds in its file, or else for the one in force.
      dry_run: Whether the differences are shown without applying them.
    """

    reason: Annotated[
        str,
        cappa.Arg(
            long='--reason',
            help='Reason of the change; kept in the audit history.',
        ),
    ]
    operator: Annotated[
        str,
        cappa.Arg(
            long='--operator',
            help='Who makes the change, if no operator key tells it; '
            'default: the login name.',
        ),
    ] = ''
    revision: Annotated[
        int,
        cappa.Arg(
            long='--revision',
            help='Revision that the change is based on; default: the one in '
            'force.',
        ),
    ] = 0
    dry_run: Annotated[
        bool,
        cappa.Arg(
            long='--dry-run',
            help='Show the differences, but do not apply them.',
        ),
    ] = False
