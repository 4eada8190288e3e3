"""Client of the caller and operator interfaces."""

import asyncio
import dataclasses

import grpclib.client
import grpclib.exceptions

from nutmegknot._internal.network import channels
from nutmegknot._internal.schema import caller_grpc
from nutmegknot._internal.schema import operator_grpc

CALL_ERRORS = (
    grpclib.exceptions.GRPCError,
    grpclib.exceptions.StreamTerminatedError,
    grpclib.exceptions.ProtocolError,
    OSError,
    asyncio.TimeoutError,
)


@dataclasses.dataclass(slots=True, frozen=True)
class Client:
    """Calls to one instance.

    Attributes:
      channel: The connection.
      caller: Calls of callers.
      operator: Calls of operators.
    """

    channel: grpclib.client.Channel
    caller: caller_grpc.CallerStub
    operator: operator_grpc.OperatorStub


def connect(address: str) -> Client:
    """Returns a client of the instance at an address, 'HOST:PORT'."""
    channel = grpclib.client.Channel(*channels.split_address(address))
    return Client(
        channel,
        caller_grpc.CallerStub(channel),
        operator_grpc.OperatorStub(channel),
    )


def close(client: Client) -> None:
    """Closes the connection."""
    client.channel.close()
