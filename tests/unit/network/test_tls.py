"""Tests of TLS between real servers and clients."""

import pathlib

import grpclib.client
import grpclib.exceptions
import grpclib.server
import pytest

from nutmegknot._internal.network import channels
from nutmegknot._internal.network import clients
from nutmegknot._internal.network import grpc_server
from nutmegknot._internal.network import tls
from nutmegknot._internal.schema import caller_grpc
from nutmegknot._internal.schema import caller_pb2
from nutmegknot._internal.schema import settings_pb2
from nutmegknot_standins import local_cells

CERTIFICATES = pathlib.Path(__file__).parents[2] / 'lib' / 'certificates'
CONNECTION_ERRORS = (OSError, grpclib.exceptions.StreamTerminatedError)


def make_settings(name: str = 'instance') -> settings_pb2.TlsSettings:
    return settings_pb2.TlsSettings(
        caller_certificate=str(CERTIFICATES / f'{name}.pem'),
        caller_key=str(CERTIFICATES / f'{name}.key'),
        peer_certificate=str(CERTIFICATES / f'{name}.pem'),
        peer_key=str(CERTIFICATES / f'{name}.key'),
        peer_authority=str(CERTIFICATES / 'authority.pem'),
    )


def load_contexts(name: str = 'instance') -> tls.Contexts:
    contexts = tls.load_contexts(make_settings(name))
    assert isinstance(contexts, tls.Contexts)
    return contexts


async def is_answered(channel: grpclib.client.Channel) -> bool:
    """Returns whether a server answers a call.

    The servers of these tests have no methods, so the answer is an error.
    """
    stub = caller_grpc.CallerStub(channel)
    try:
        await stub.Submit(caller_pb2.SubmitCall(), timeout=5)
    except grpclib.exceptions.GRPCError:
        return True
    finally:
        channel.close()
    return False


@pytest.mark.parametrize(
    ('client', 'is_served'), [('instance', True), ('stranger', False)]
)
async def test_instances_accept_certificates_of_instances_only(
    client: str, is_served: bool
) -> None:
    address = f'127.0.0.1:{local_cells.find_ports(1)[0]}'
    server = await grpc_server.start_server(
        address, [], 10, load_contexts().peer_server
    )
    assert isinstance(server, grpclib.server.Server)
    client_channels = channels.Channels(tls=load_contexts(client).peer_client)
    if is_served:
        assert await is_answered(channels.get_channel(client_channels, address))
    else:
        with pytest.raises(CONNECTION_ERRORS):
            await is_answered(channels.get_channel(client_channels, address))
    with pytest.raises(CONNECTION_ERRORS):
        await is_answered(channels.get_channel(channels.Channels(), address))
    server.close()
    await server.wait_closed()


async def test_client_checks_the_certificate_of_the_server() -> None:
    address = f'127.0.0.1:{local_cells.find_ports(1)[0]}'
    server = await grpc_server.start_server(
        address, [], 10, load_contexts().caller
    )
    assert isinstance(server, grpclib.server.Server)
    trusting = tls.make_client_context(CERTIFICATES / 'authority.pem')
    assert not isinstance(trusting, tls.InvalidTlsFiles)
    client = clients.connect(address, trusting)
    assert await is_answered(client.channel)
    distrusting = tls.make_client_context(CERTIFICATES / 'stranger.pem')
    assert not isinstance(distrusting, tls.InvalidTlsFiles)
    with pytest.raises(OSError, match='certificate verify failed'):
        await is_answered(clients.connect(address, distrusting).channel)
    server.close()
    await server.wait_closed()


def test_error_about_missing_file_names_the_settings() -> None:
    result = tls.load_contexts(make_settings('nobody'))
    assert isinstance(result, tls.InvalidTlsFiles)
    expected = 'tls.caller_certificate, tls.caller_key: cannot be used'
    assert result.detail.startswith(expected)
