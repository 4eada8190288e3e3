"""Options that several commands share."""

import dataclasses
import os
import pathlib
from typing import Annotated

import cappa

SERVER = os.environ.get('NUTMEGKNOT_SERVER', '127.0.0.1:7600')

# Options for an amount of resources; None keeps the present one.
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
      authority: Certificate authority that the instance's certificate is
        checked against; None for a connection without TLS.
      output: 'table' or 'json'.
    """

    server: Annotated[
        str,
        cappa.Arg(
            long='--server',
            help='Address of an instance; NUTMEGKNOT_SERVER gives the default.',
        ),
    ] = SERVER
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
            long='--output', choices=['table', 'json'], help='Form of output.'
        ),
    ] = 'table'


@dataclasses.dataclass(slots=True, kw_only=True)
class CallerOptions(ServerOptions):
    """Options of the commands of callers.

    Attributes:
      key_file: File with the team's key; the key is never an argument, as
        arguments are seen by all users of the machine.
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
      key_file: File with the operator's key.
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
      reason: Why; kept in the audit row.
      operator: Who asks; an operator's key goes before it.
      revision: Revision that the change was made from; 0 for the one in
        force.
      dry_run: Whether only the difference is shown.
    """

    reason: Annotated[
        str, cappa.Arg(long='--reason', help='Why; kept for examiners.')
    ]
    operator: Annotated[
        str,
        cappa.Arg(long='--operator', help='Who asks, where no key tells it.'),
    ] = ''
    revision: Annotated[
        int,
        cappa.Arg(
            long='--revision',
            help='Revision that the change is made from; default: the present.',
        ),
    ] = 0
    dry_run: Annotated[
        bool, cappa.Arg(long='--dry-run', help='Only show the difference.')
    ] = False
