"""TLS contexts of gRPC servers and clients, made from certificate files."""

import dataclasses
import pathlib
import ssl

from nutmegknot._internal.schema import settings_pb2


@dataclasses.dataclass(slots=True, frozen=True)
class InvalidTlsFiles:
    """Files for TLS can't be used; detail names the settings or file."""

    detail: str


@dataclasses.dataclass(slots=True, frozen=True)
class Contexts:
    """TLS contexts of an instance; None where TLS is not configured.

    Attributes:
      caller: For the server that callers and operators connect to.
      peer_server: For the server that other instances connect to; it requires
        a certificate from them.
      peer_client: For connections to other instances.
    """

    caller: ssl.SSLContext | None = None
    peer_server: ssl.SSLContext | None = None
    peer_client: ssl.SSLContext | None = None


def load_contexts(tls: settings_pb2.TlsSettings) -> Contexts | InvalidTlsFiles:
    """Makes the contexts that the settings configure."""
    caller = peer_server = peer_client = None
    try:
        if tls.caller_certificate:
            names = 'tls.caller_certificate, tls.caller_key'
            caller = _make_context(ssl.PROTOCOL_TLS_SERVER)
            caller.load_cert_chain(tls.caller_certificate, tls.caller_key)
        if tls.peer_certificate:
            names = 'tls.peer_certificate, tls.peer_key, tls.peer_authority'
            peer_server = _make_peer_context(ssl.PROTOCOL_TLS_SERVER, tls)
            peer_client = _make_peer_context(ssl.PROTOCOL_TLS_CLIENT, tls)
    except OSError as error:
        return InvalidTlsFiles(f'{names}: cannot be used: {error}')
    return Contexts(caller, peer_server, peer_client)


def _make_context(protocol: int) -> ssl.SSLContext:
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.set_alpn_protocols(['h2'])
    return context


def _make_peer_context(
    protocol: int, tls: settings_pb2.TlsSettings
) -> ssl.SSLContext:
    """Returns a context for mutual TLS between instances.

    Host names are not checked: instances are reached by IP addresses, which
    change when an instance is replaced. The certificate authority signs
    certificates of instances only, so a valid certificate proves that the peer
    is an instance.
    """
    context = _make_context(protocol)
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    context.load_verify_locations(tls.peer_authority)
    context.load_cert_chain(tls.peer_certificate, tls.peer_key)
    return context


def make_client_context(
    authority: pathlib.Path,
) -> ssl.SSLContext | InvalidTlsFiles:
    """Returns a client context that trusts the authorities in a PEM file."""
    context = _make_context(ssl.PROTOCOL_TLS_CLIENT)
    try:
        context.load_verify_locations(authority)
    except OSError as error:
        return InvalidTlsFiles(f'{authority}: cannot be used: {error}')
    return context
