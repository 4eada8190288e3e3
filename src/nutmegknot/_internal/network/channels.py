"""gRPC channels to the other instances, one for each."""

import dataclasses
import ssl

import grpclib.client


@dataclasses.dataclass(slots=True)
class Channels:
    """Open channels by address.

    Attributes:
      tls: TLS context of new channels; None for none.
      opened: Channels by address.
      heard_ms: When an answer last came from an address, by the clock of the
        caller that keeps it.
    """

    tls: ssl.SSLContext | None = None
    opened: dict[str, grpclib.client.Channel] = dataclasses.field(
        default_factory=dict
    )
    heard_ms: dict[str, int] = dataclasses.field(default_factory=dict)


def get(channels: Channels, address: str) -> grpclib.client.Channel:
    """Returns the channel to an address, 'HOST:PORT'."""
    channel = channels.opened.get(address)
    if channel is None:
        host, port = split_address(address)
        channel = grpclib.client.Channel(host, port, ssl=channels.tls)
        channels.opened[address] = channel
    return channel


def close_all(channels: Channels) -> None:
    """Closes all channels."""
    for channel in channels.opened.values():
        channel.close()
    channels.opened.clear()


def split_address(address: str) -> tuple[str, int]:
    """Returns host and port of 'HOST:PORT'.

    Raises:
      ValueError: If there is no port.
    """
    host, _, port = address.rpartition(':')
    return host.strip('[]'), int(port)
