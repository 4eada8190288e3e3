"""Arguments of the commands of callers."""

import dataclasses
import pathlib
from typing import Annotated

import cappa

from nutmegknot._internal.commands import options

Id = Annotated[str, cappa.Arg(help='Identifier of the request.')]
WaitMs = Annotated[
    int, cappa.Arg(long='--wait-ms', help='Longest wait for the outcome, ms.')
]


@cappa.command(
    name='submit',
    help='Submit a request, and wait for its outcome if asked to.',
    description=(
        'Example: nutmegknot submit sheet-17 --queue sheets --once '
        '--payload-file sheet.json --wait-ms 60000'
    ),
)
@dataclasses.dataclass(slots=True, kw_only=True)
class Submit(options.CallerOptions):
    """Submit a request.

    Attributes:
      id: Identifier; repeating it gives the first one's outcome.
      members: Tasks that start all at once or not at all.
      priority: Class of the request.
      once: Whether it may run at most once.
      deadline_ms: Time from now in ms after which it is not started; 0 for
        none.
      run_ms: Declared run time in ms.
      payload: Payload as text.
      payload_file: File with the payload.
      wait_ms: Longest wait in ms.
      cores: Processors, with up to three decimals.
      memory_mib: Memory in MiB.
      accelerators: Accelerator cards.
      slots: Task slots.
    """

    id: Id
    members: Annotated[
        int, cappa.Arg(long='--members', help='Tasks, all at once or none.')
    ] = 1
    priority: Annotated[
        str,
        cappa.Arg(
            long='--priority',
            choices=['urgent', 'normal', 'best_effort'],
            help='Class.',
        ),
    ] = 'normal'
    once: Annotated[
        bool, cappa.Arg(long='--once', help='Run it at most once.')
    ] = False
    deadline_ms: Annotated[
        int,
        cappa.Arg(
            long='--deadline-ms', help='Do not start it later than this, ms.'
        ),
    ] = 0
    run_ms: Annotated[
        int, cappa.Arg(long='--run-ms', help='Declared run time, ms.')
    ] = 0
    payload: Annotated[
        str, cappa.Arg(long='--payload', help='Payload as text.')
    ] = ''
    payload_file: Annotated[
        pathlib.Path | None,
        cappa.Arg(long='--payload-file', help='File with the payload.'),
    ] = None
    wait_ms: WaitMs = 0
    cores: options.Cores = None
    memory_mib: options.MemoryMib = None
    accelerators: options.Accelerators = None
    slots: options.Slots = None


@cappa.command(
    name='wait',
    help='Wait for the outcome of a request.',
    description='Example: nutmegknot wait sheet-17 --queue sheets',
)
@dataclasses.dataclass(slots=True, kw_only=True)
class Wait(options.CallerOptions):
    """Wait for the outcome of a request.

    Attributes:
      id: Identifier of the request.
      wait_ms: Longest wait in ms.
    """

    id: Id
    wait_ms: WaitMs = 60_000


@cappa.command(
    name='cancel',
    help='Cancel a request.',
    description='Example: nutmegknot cancel sheet-17 --queue sheets',
)
@dataclasses.dataclass(slots=True, kw_only=True)
class Cancel(options.CallerOptions):
    """Cancel a request.

    Attributes:
      id: Identifier of the request.
      wait_ms: Longest wait in ms.
    """

    id: Id
    wait_ms: WaitMs = 0


@cappa.command(
    name='describe',
    help='Show the present state of a request.',
    description='Example: nutmegknot describe sheet-17 --queue sheets',
)
@dataclasses.dataclass(slots=True, kw_only=True)
class Describe(options.CallerOptions):
    """Show the present state of a request.

    Attributes:
      id: Identifier of the request.
    """

    id: Id
