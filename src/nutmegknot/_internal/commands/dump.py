"""Command dump: prints the internal state of an instance, for debugging."""

from nutmegknot._internal.cli import errors
from nutmegknot._internal.commands import cell_arguments
from nutmegknot._internal.commands import instance_connections
from nutmegknot._internal.commands import operator_calls
from nutmegknot._internal.network import clients
from nutmegknot._internal.schema import operator_pb2


async def print_dump(
    command: cell_arguments.Dump,
) -> errors.CommandError | None:
    """Prints the state of an instance as JSON."""

    async def dump(
        client: clients.Client, key: str
    ) -> errors.CommandError | None:
        call = operator_pb2.DumpStateCall(key=key)
        reply = await client.operator.DumpState(
            call, timeout=instance_connections.CALL_TIMEOUT_S
        )
        print(reply.json, end='')
        return None

    return await operator_calls.call_as_operator(command, dump)
