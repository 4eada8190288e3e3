"""Tests of network/tls.py with connections of both sides."""

import pathlib

import grpclib.client
import grpclib.exceptions
import grpclib.server
import pytest

from nutmegknot._internal.network import channels
from nutmegknot._internal.network import clients
from nutmegknot._internal.network import listening
from nutmegknot._internal.network import tls
from nutmegknot._internal.schema import caller_grpc
from nutmegknot._internal.schema import caller_pb2
from nutmegknot._internal.schema import settings_pb2
from nutmegknot_standins import cells

FILES = pathlib.Path(__file__).parents[2] / 'lib' / 'certificates'
REFUSED = (OSError, grpclib.exceptions.StreamTerminatedError)


def make_settings(name: str = 'instance') -> settings_pb2.TlsSettings:
    return settings_pb2.TlsSettings(
        caller_certificate=str(FILES / f'{name}.pem'),
        caller_key=str(FILES / f'{name}.key'),
        peer_certificate=str(FILES / f'{name}.pem'),
        peer_key=str(FILES / f'{name}.key'),
        peer_authority=str(FILES / 'authority.pem'),
    )


def load(name: str = 'instance') -> tls.Contexts:
    contexts = tls.load(make_settings(name))
    assert isinstance(contexts, tls.Contexts)
    return contexts


async def is_answered(channel: grpclib.client.Channel) -> bool:
    """Tells whether a server answers, here that it has no such method."""
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
async def test_peers_show_certificates(client: str, is_served: bool) -> None:
    address = f'127.0.0.1:{cells.find_ports(1)[0]}'
    server = await listening.start(address, [], 10, load().peer_server)
    assert isinstance(server, grpclib.server.Server)
    pool = channels.Channels(tls=load(client).peer_client)
    if is_served:
        assert await is_answered(channels.get(pool, address))
    else:
        with pytest.raises(REFUSED):
            await is_answered(channels.get(pool, address))
    with pytest.raises(REFUSED):
        await is_answered(channels.get(channels.Channels(), address))
    server.close()
    await server.wait_closed()


async def test_callers_check_the_instance() -> None:
    address = f'127.0.0.1:{cells.find_ports(1)[0]}'
    server = await listening.start(address, [], 10, load().caller)
    assert isinstance(server, grpclib.server.Server)
    trusted = tls.make_client_context(FILES / 'authority.pem')
    assert not isinstance(trusted, tls.BadTls)
    client = clients.connect(address, trusted)
    assert await is_answered(client.channel)
    other = tls.make_client_context(FILES / 'stranger.pem')
    assert not isinstance(other, tls.BadTls)
    with pytest.raises(OSError, match='certificate verify failed'):
        await is_answered(clients.connect(address, other).channel)
    server.close()
    await server.wait_closed()


def test_missing_file_names_the_keys() -> None:
    result = tls.load(make_settings('nobody'))
    assert isinstance(result, tls.BadTls)
    expected = 'tls.caller_certificate, tls.caller_key: cannot be used'
    assert result.detail.startswith(expected)
