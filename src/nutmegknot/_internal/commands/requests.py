"""Commands wait, cancel and describe, which concern submitted requests."""

from nutmegknot._internal.cli import errors
from nutmegknot._internal.commands import caller_arguments
from nutmegknot._internal.commands import instance_connections
from nutmegknot._internal.commands import outcome_output
from nutmegknot._internal.network import clients
from nutmegknot._internal.schema import caller_pb2
from nutmegknot._internal.utils import clock

RequestCommand = (
    caller_arguments.Wait | caller_arguments.Cancel | caller_arguments.Describe
)


async def wait_for_request(
    command: caller_arguments.Wait,
) -> errors.CommandError | None:
    """Waits for the outcome of a request."""
    return await _call_methods(command, ['Wait'], command.wait_ms)


async def cancel_request(
    command: caller_arguments.Cancel,
) -> errors.CommandError | None:
    """Cancels a request, and waits for its outcome if wait_ms is set."""
    methods = ['Cancel', 'Wait'] if command.wait_ms else ['Cancel']
    return await _call_methods(command, methods, command.wait_ms)


async def describe_request(
    command: caller_arguments.Describe,
) -> errors.CommandError | None:
    """Shows the current state of a request."""
    return await _call_methods(command, ['Describe'], 0)


async def _call_methods(
    command: RequestCommand, methods: list[str], wait_ms: int
) -> errors.CommandError | None:
    """Calls methods of the caller interface and prints the last outcome.

    Args:
      command: Options of the command.
      methods: Names of the methods, in the order of the calls.
      wait_ms: Maximum time to wait for the outcome, in ms.
    """
    key = instance_connections.read_key(
        command.key_file, instance_connections.CALLER_KEY_VARIABLE
    )
    if isinstance(key, errors.CommandError):
        return key
    call = caller_pb2.RequestCall(
        key=key, queue=command.queue, request_id=command.id, wait_ms=wait_ms
    )
    timeout = instance_connections.CALL_TIMEOUT_S + clock.to_seconds(wait_ms)

    async def call_methods(
        client: clients.Client,
    ) -> errors.CommandError | None:
        for method in methods:
            stub = getattr(client.caller, method)
            outcome = await stub(call, timeout=timeout)
        return outcome_output.print_outcome(command.output, command.id, outcome)

    return await instance_connections.call_instance(command, call_methods)
