"""Command submit: submits a request to a queue."""

from nutmegknot._internal.cli import errors
from nutmegknot._internal.commands import caller_arguments
from nutmegknot._internal.commands import instance_connections
from nutmegknot._internal.commands import outcome_output
from nutmegknot._internal.network import clients
from nutmegknot._internal.schema import caller_pb2
from nutmegknot._internal.schema import common_pb2
from nutmegknot._internal.utils import clock as clock_lib

_PRIORITIES = {
    'urgent': common_pb2.PRIORITY_CLASS_URGENT,
    'normal': common_pb2.PRIORITY_CLASS_NORMAL,
    'best_effort': common_pb2.PRIORITY_CLASS_BEST_EFFORT,
}
MILLICORES_PER_CORE = 1000
# Processors of a task if the arguments do not set them.
DEFAULT_CORES = 1.0
# Memory of a task if the arguments do not set it.
DEFAULT_MEMORY_MIB = 512


async def submit_request(
    command: caller_arguments.Submit,
) -> errors.CommandError | None:
    """Submits a request, and waits for its outcome if wait_ms is set."""
    key = instance_connections.read_key(
        command.key_file, instance_connections.CALLER_KEY_VARIABLE
    )
    if isinstance(key, errors.CommandError):
        return key
    payload = _read_payload(command)
    if isinstance(payload, errors.CommandError):
        return payload
    call = caller_pb2.SubmitCall(
        key=key, request=make_request(command, payload)
    )

    async def submit(client: clients.Client) -> errors.CommandError | None:
        outcome = await client.caller.Submit(
            call, timeout=instance_connections.CALL_TIMEOUT_S
        )
        if command.wait_ms and outcome.HasField('accepted'):
            outcome = await client.caller.Wait(
                caller_pb2.RequestCall(
                    key=key,
                    queue=command.queue,
                    request_id=command.id,
                    wait_ms=command.wait_ms,
                ),
                timeout=instance_connections.CALL_TIMEOUT_S
                + clock_lib.to_seconds(command.wait_ms),
            )
        return outcome_output.print_outcome(command.output, command.id, outcome)

    return await instance_connections.call_instance(command, submit)


def make_request(
    command: caller_arguments.Submit, payload: bytes
) -> common_pb2.Request:
    """Returns the request that the arguments describe."""
    cores = DEFAULT_CORES if command.cores is None else command.cores
    memory_mib = command.memory_mib
    deadline_ms = 0
    if command.deadline_ms:
        clock = clock_lib.make_system_clock()
        deadline_ms = clock.wall_ms() + command.deadline_ms
    return common_pb2.Request(
        id=command.id,
        queue=command.queue,
        size=common_pb2.Resources(
            millicores=round(cores * MILLICORES_PER_CORE),
            memory_mib=DEFAULT_MEMORY_MIB if memory_mib is None else memory_mib,
            accelerators=command.accelerators or 0,
            slots=1 if command.slots is None else command.slots,
        ),
        members=command.members,
        priority=_PRIORITIES[command.priority],
        repeatable=not command.once,
        deadline_ms=deadline_ms,
        run_ms=command.run_ms,
        payload=payload,
    )


def _read_payload(
    command: caller_arguments.Submit,
) -> bytes | errors.CommandError:
    if command.payload_file is None:
        return command.payload.encode()
    return instance_connections.read_file(command.payload_file)
