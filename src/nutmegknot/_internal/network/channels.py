"""gRPC channels to the other instances, one channel for each instance."""

import dataclasses
import ssl

import grpclib.client


@dataclasses.dataclass(slots=True)
class Channels:
    """Open channels to other instances.

    Attributes:
      tls: TLS context of new channels; None for channels without TLS.
      by_address: Channels by address.
      last_answer_ms: Time of the last answer from each address, in monotonic
        ms. The code that makes the calls sets it, not this module.
    """

    tls: ssl.SSLContext | None = None
    by_address: dict[str, grpclib.client.Channel] = dataclasses.field(
        default_factory=dict
    )
    last_answer_ms: dict[str, int] = dataclasses.field(default_factory=dict)


def get_channel(channels: Channels, address: str) -> grpclib.client.Channel:
    """Returns the channel to an address, 'HOST:PORT'; opens it if needed."""
    channel = channels.by_address.get(address)
    if channel is None:
        host, port = split_address(address)
        channel = grpclib.client.Channel(host, port, ssl=channels.tls)
        channels.by_address[address] = channel
    return channel


def close_all(channels: Channels) -> None:
    """Closes and removes all channels."""
    for channel in channels.by_address.values():
        channel.close()
    channels.by_address.clear()


def split_address(address: str) -> tuple[str, int]:
    """Splits 'HOST:PORT' into host and port; an IPv6 host is in brackets.

    Raises:
      ValueError: If there is no port or it is not a number.
    """
    host, _, port = address.rpartition(':')
    return host.strip('[]'), int(port)
