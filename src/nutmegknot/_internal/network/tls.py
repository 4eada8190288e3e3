"""TLS contexts of servers and clients."""

import dataclasses
import pathlib
import ssl

from nutmegknot._internal.schema import settings_pb2


@dataclasses.dataclass(slots=True, frozen=True)
class BadTls:
    """Files for TLS can't be used; detail is one line that names the key."""

    detail: str


@dataclasses.dataclass(slots=True, frozen=True)
class Contexts:
    """TLS contexts of an instance; None where there is no TLS.

    Attributes:
      caller: Of the server for callers and operators.
      peer_server: Of the server for other instances; asks for certificates.
      peer_client: Of connections to other instances.
    """

    caller: ssl.SSLContext | None = None
    peer_server: ssl.SSLContext | None = None
    peer_client: ssl.SSLContext | None = None


def load(tls: settings_pb2.TlsSettings) -> Contexts | BadTls:
    """Returns the contexts that the settings ask for."""
    caller = peer_server = peer_client = None
    try:
        if tls.caller_certificate:
            keys = 'tls.caller_certificate, tls.caller_key'
            caller = _make_context(ssl.PROTOCOL_TLS_SERVER)
            caller.load_cert_chain(tls.caller_certificate, tls.caller_key)
        if tls.peer_certificate:
            keys = 'tls.peer_certificate, tls.peer_key, tls.peer_authority'
            peer_server = _make_peer_context(ssl.PROTOCOL_TLS_SERVER, tls)
            peer_client = _make_peer_context(ssl.PROTOCOL_TLS_CLIENT, tls)
    except OSError as error:
        return BadTls(f'{keys}: cannot be used: {error}')
    return Contexts(caller, peer_server, peer_client)


def _make_context(protocol: int) -> ssl.SSLContext:
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.set_alpn_protocols(['h2'])
    return context


def _make_peer_context(
    protocol: int, tls: settings_pb2.TlsSettings
) -> ssl.SSLContext:
    """Returns a context in which both sides show certificates.

    The authority vouches for instances only. Addresses are IP numbers that
    change with each replacement, so the host name is not checked.
    """
    context = _make_context(protocol)
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    context.load_verify_locations(tls.peer_authority)
    context.load_cert_chain(tls.peer_certificate, tls.peer_key)
    return context


def make_client_context(authority: pathlib.Path) -> ssl.SSLContext | BadTls:
    """Returns the context of a client that trusts the authorities in a file."""
    context = _make_context(ssl.PROTOCOL_TLS_CLIENT)
    try:
        context.load_verify_locations(authority)
    except OSError as error:
        return BadTls(f'{authority}: cannot be used: {error}')
    return context
