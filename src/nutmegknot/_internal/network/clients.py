"""Client of the caller and operator interfaces."""

import dataclasses
import ssl

import grpclib.client

from nutmegknot._internal.network import calls
from nutmegknot._internal.network import channels
from nutmegknot._internal.schema import caller_grpc
from nutmegknot._internal.schema import operator_grpc

LOST_ERRORS = calls.LOST_ERRORS
CALL_ERRORS = calls.CALL_ERRORS


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


def connect(address: str, tls: ssl.SSLContext | None = None) -> Client:
    """Returns a client of the instance at an address, 'HOST:PORT'."""
    host, port = channels.split_address(address)
    channel = grpclib.client.Channel(host, port, ssl=tls)
    return Client(
        channel,
        caller_grpc.CallerStub(channel),
        operator_grpc.OperatorStub(channel),
    )


def close(client: Client) -> None:
    """Closes the connection."""
    client.channel.close()
