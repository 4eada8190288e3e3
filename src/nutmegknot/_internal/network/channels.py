"""gRPC channels to the other instances, one channel for each instance."""

import dataclasses
import ssl

import grpclib.client


@dataclasses.dataclass(slots=True)
class Channels:
    """Open channels to other instances.

    Attributes:
      tls: TLS context of new channels; None for channels without TLS.
      opened: Channels by address.
      heard_ms: Time of the last answer from each address, in monotonic ms.
        The code that makes the calls sets it, not this module.
    """

    tls: ssl.SSLContext | None = None
    opened: dict[str, grpclib.client.Channel] = dataclasses.field(
        default_factory=dict
    )
    heard_ms: dict[str, int] = dataclasses.field(default_factory=dict)


def get(channels: Channels, address: str) -> grpclib.client.Channel:
    """Returns the channel to an address, 'HOST:PORT'; opens it if needed."""
    channel = channels.opened.get(address)
    if channel is None:
        host, port = split_address(address)
        channel = grpclib.client.Channel(host, port, ssl=channels.tls)
        channels.opened[address] = channel
    return channel


def close_all(channels: Channels) -> None:
    """Closes and removes all channels."""
    for channel in channels.opened.values():
        channel.close()
    channels.opened.clear()


def split_address(address: str) -> tuple[str, int]:
    """Splits 'HOST:PORT' into host and port; an IPv6 host is in brackets.

    Raises:
      ValueError: If there is no port or it is not a number.
    """
    host, _, port = address.rpartition(':')
    return host.strip('[]'), int(port)
