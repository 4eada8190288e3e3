"""Command dump: prints the state of an instance."""

from nutmegknot._internal.cli import errors
from nutmegknot._internal.cli import exit_codes
from nutmegknot._internal.commands import registry
from nutmegknot._internal.network import clients
from nutmegknot._internal.schema import operator_pb2

CALL_S = 10.0


async def print_dump(command: registry.Dump) -> errors.CommandError | None:
    """Prints the state of an instance as JSON."""
    client = clients.connect(command.server)
    try:
        reply = await client.operator.DumpState(
            operator_pb2.DumpStateCall(), timeout=CALL_S
        )
    except clients.CALL_ERRORS as error:
        return errors.CommandError(
            exit_codes.ExitCode.INSTANCE_UNREACHED,
            f'{command.server}: {error!r}',
            'check --server and that the instance runs',
        )
    finally:
        clients.close(client)
    print(reply.json)
    return None
