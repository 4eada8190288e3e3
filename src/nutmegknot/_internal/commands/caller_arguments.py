"""Arguments of the commands with which callers submit and follow requests."""

import dataclasses
import pathlib
from typing import Annotated

import cappa

from nutmegknot._internal.commands import options

Id = Annotated[str, cappa.Arg(help='Identifier of the request.')]
WaitMs = Annotated[
    int,
    cappa.Arg(
        long='--wait-ms', help='Maximum time to wait for the outcome, ms.'
    ),
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
      id: Identifier of the request; submitting the same request again returns
        the outcome of the first submission.
      members: Number of tasks, which start all at once or not at all.
      priority: Priority class of the request.
      once: Whether the request may run at most once.
      deadline_ms: Time from now in ms after which the request is not started;
        0 for no limit.
      run_ms: Expected run time in ms, as the caller declares it.
      payload: Payload as text; not used if payload_file is set.
      payload_file: File with the payload.
      wait_ms: Maximum time to wait for the outcome, in ms; 0 not to wait.
      cores: Processors of a task, with up to three decimals; None for the
        default, as for the other resources.
      memory_mib: Memory of a task in MiB.
      accelerators: Accelerator cards of a task.
      slots: Task slots that a task occupies on its worker.
    """

    id: Id
    members: Annotated[
        int,
        cappa.Arg(
            long='--members',
            help='Number of tasks, started all at once or not at all.',
        ),
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
            long='--deadline-ms',
            help='Do not start it later than this time from now, ms.',
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
      wait_ms: Maximum time to wait for the outcome, in ms.
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
      wait_ms: Maximum time to wait for the outcome, in ms; 0 not to wait.
    """

    id: Id
    wait_ms: WaitMs = 0


@cappa.command(
    name='describe',
    help='Show the current state of a request.',
    description='Example: nutmegknot describe sheet-17 --queue sheets',
)
@dataclasses.dataclass(slots=True, kw_only=True)
class Describe(options.CallerOptions):
    """Show the current state of a request.

    Attributes:
      id: Identifier of the request.
    """

    id: Id
