"""Commands wait, cancel and describe."""

from nutmegknot._internal.cli import errors
from nutmegknot._internal.commands import caller_arguments
from nutmegknot._internal.commands import connecting
from nutmegknot._internal.commands import outcome_output
from nutmegknot._internal.network import clients
from nutmegknot._internal.schema import caller_pb2
from nutmegknot._internal.utils import clock as clock_lib

Command = (
    caller_arguments.Wait | caller_arguments.Cancel | caller_arguments.Describe
)


async def wait_for_request(
    command: caller_arguments.Wait,
) -> errors.CommandError | None:
    """Waits for the outcome of a request."""
    return await _ask(command, ['Wait'], command.wait_ms)


async def cancel_request(
    command: caller_arguments.Cancel,
) -> errors.CommandError | None:
    """Cancels a request, and waits for its end if asked to."""
    methods = ['Cancel', 'Wait'] if command.wait_ms else ['Cancel']
    return await _ask(command, methods, command.wait_ms)


async def describe_request(
    command: caller_arguments.Describe,
) -> errors.CommandError | None:
    """Shows the present state of a request."""
    return await _ask(command, ['Describe'], 0)


async def _ask(
    command: Command, methods: list[str], wait_ms: int
) -> errors.CommandError | None:
    """Calls the methods one after the other, and prints the last outcome."""
    key = connecting.read_key(command.key_file, connecting.CALLER_VARIABLE)
    if isinstance(key, errors.CommandError):
        return key
    call = caller_pb2.RequestCall(
        key=key, queue=command.queue, request_id=command.id, wait_ms=wait_ms
    )
    timeout = connecting.CALL_S + clock_lib.to_seconds(wait_ms)

    async def ask(client: clients.Client) -> errors.CommandError | None:
        for method in methods:
            stub = getattr(client.caller, method)
            outcome = await stub(call, timeout=timeout)
        return outcome_output.print_outcome(command.output, command.id, outcome)

    return await connecting.call_instance(command, ask)
