"""gRPC client for the services that callers and operators use."""

import dataclasses
import ssl

import grpclib.client

from nutmegknot._internal.network import call_errors
from nutmegknot._internal.network import channels
from nutmegknot._internal.schema import caller_grpc
from nutmegknot._internal.schema import operator_grpc

LOST_REPLY_ERRORS = call_errors.LOST_REPLY_ERRORS
CALL_ERRORS = call_errors.CALL_ERRORS


@dataclasses.dataclass(slots=True, frozen=True)
class Client:
    """A gRPC channel to one instance, with stubs for its services.

    Attributes:
      channel: gRPC channel that the calls go through.
      caller: Stub with the methods for callers.
      operator: Stub with the methods for operators.
    """

    channel: grpclib.client.Channel
    caller: caller_grpc.CallerStub
    operator: operator_grpc.OperatorStub


def connect(address: str, tls: ssl.SSLContext | None = None) -> Client:
    """Returns a client for the instance at an address, 'HOST:PORT'.

    The first call opens the connection.
    """
    host, port = channels.split_address(address)
    channel = grpclib.client.Channel(host, port, ssl=tls)
    return Client(
        channel,
        caller_grpc.CallerStub(channel),
        operator_grpc.OperatorStub(channel),
    )


def close(client: Client) -> None:
    """Closes the client's channel."""
    client.channel.close()
