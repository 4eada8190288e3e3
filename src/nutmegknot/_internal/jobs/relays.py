"""Ways to the store: the own one, and through other instances.

Load pattern: the store turns some instances away, or single links to it are
cut, while others reach it. An instance that fails to reach it hands its calls
to one that does, so that an owner can go on instead of being replaced.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import logging

from nutmegknot._internal.backing import fetches
from nutmegknot._internal.utils import clock as clock_lib

logger = logging.getLogger(__name__)

# Interval of trying the own way while it fails, and time limit of a try, in ms.
PROBE_MS = 400
PROBE_TIMEOUT_MS = 400
# How long another instance is relied on after its last word, in ms.
RELY_MS = 1_500
# How long another instance is left alone after it failed, in ms.
REST_MS = 600
# How long the word of another instance counts in an outage for all, and how
# long it is remembered, in ms.
WORD_MS = 1_100
FORGET_MS = 10_000
# Answers with which the store turns a call away; nothing was done.
_TURNED_AWAY = frozenset((429, 503))

Ask = Callable[
    [str, fetches.Call, int], Awaitable[fetches.Reply | fetches.NoAnswer]
]


@dataclasses.dataclass(slots=True)
class Peer:
    """What another instance has said of its own way.

    Attributes:
      heard_ms: When, by our clock.
      reaches: Whether it reaches the store.
      strength: Its processors in thousandths of a core; 0 if not known.
      late_ms: How late it gets to what is due.
      failed_ms: When a call through it failed last; None if none did.
    """

    heard_ms: int
    reaches: bool
    strength: int = 0
    late_ms: int = 0
    failed_ms: int | None = None


@dataclasses.dataclass(slots=True)
class Relay:
    """The ways to the store.

    Attributes:
      clock: Source of time.
      direct: Calls on the own way.
      probe: A cheap call that shows whether the own way works.
      ask: Makes a call through the instance at an address.
      peers: Other instances by address.
      lost_ms: Since when the own way fails; None while it works.
    """

    clock: clock_lib.Clock
    direct: fetches.Fetch
    probe: fetches.Call
    ask: Ask | None = None
    peers: dict[str, Peer] = dataclasses.field(default_factory=dict)
    lost_ms: int | None = None


def note_peer(
    relay: Relay,
    address: str,
    reaches: bool,
    strength: int = 0,
    late_ms: int = 0,
) -> None:
    """Takes note of what another instance says of its own way."""
    known = relay.peers.get(address)
    failed_ms = None if known is None else known.failed_ms
    relay.peers[address] = Peer(
        relay.clock.now_ms(), reaches, strength, late_ms, failed_ms
    )


def make_fetch(relay: Relay) -> fetches.Fetch:
    """Returns calls that take the own way, or that of another instance."""

    async def fetch(
        call: fetches.Call, timeout_ms: int
    ) -> fetches.Reply | fetches.NoAnswer:
        if relay.lost_ms is not None:
            reply = await _ask_peer(relay, call, timeout_ms)
            if reply is not None:
                return reply
        reply = await relay.direct(call, timeout_ms)
        _note_reply(relay, reply)
        if relay.lost_ms is not None and _is_undone(reply):
            relayed = await _ask_peer(relay, call, timeout_ms)
            return reply if relayed is None else relayed
        return reply

    return fetch


def _is_failed(reply: fetches.Reply | fetches.NoAnswer) -> bool:
    return isinstance(reply, fetches.NoAnswer) or reply.status in _TURNED_AWAY


def _is_undone(reply: fetches.Reply | fetches.NoAnswer) -> bool:
    """Tells whether a call surely had no effect."""
    if isinstance(reply, fetches.NoAnswer):
        return not reply.was_sent
    return reply.status in _TURNED_AWAY


def _note_reply(relay: Relay, reply: fetches.Reply | fetches.NoAnswer) -> None:
    if _is_failed(reply):
        if relay.lost_ms is None:
            relay.lost_ms = relay.clock.now_ms()
            why = (
                reply.detail
                if isinstance(reply, fetches.NoAnswer)
                else f'status {reply.status}'
            )
            logger.warning('own_way_lost', extra={'why': why})
    elif relay.lost_ms is not None:
        lost_ms = relay.clock.now_ms() - relay.lost_ms
        relay.lost_ms = None
        logger.info('own_way_regained', extra={'after_ms': lost_ms})


def choose_peer(relay: Relay) -> str | None:
    """Returns the address of an instance that reaches the store, or None."""
    now_ms = relay.clock.now_ms()
    usable = [
        (peer.heard_ms, address)
        for address, peer in relay.peers.items()
        if peer.reaches
        and now_ms - peer.heard_ms < RELY_MS
        and (peer.failed_ms is None or now_ms - peer.failed_ms >= REST_MS)
    ]
    return max(usable)[1] if usable else None


def list_standbys(relay: Relay) -> list[Peer]:
    """Returns the instances that could take over."""
    now_ms = relay.clock.now_ms()
    return [
        peer
        for peer in relay.peers.values()
        if peer.reaches and now_ms - peer.heard_ms < RELY_MS
    ]


async def _ask_peer(
    relay: Relay, call: fetches.Call, timeout_ms: int
) -> fetches.Reply | fetches.NoAnswer | None:
    """Makes a call through another instance; None if none can be asked.

    A call that surely had no effect there is tried through the next one.
    """
    while relay.ask is not None:
        address = choose_peer(relay)
        if address is None:
            return None
        reply = await relay.ask(address, call, timeout_ms)
        if not _is_failed(reply):
            return reply
        relay.peers[address].failed_ms = relay.clock.now_ms()
        logger.info('relay_failed', extra={'address': address})
        if not _is_undone(reply):
            return reply
    return None


async def keep_probing(relay: Relay) -> None:
    """Tries the own way now and then while it fails."""
    while True:
        await clock_lib.sleep(PROBE_MS)
        if relay.lost_ms is not None:
            await check(relay)


async def check(relay: Relay) -> None:
    """Finds out whether the own way works."""
    reply = await relay.direct(relay.probe, PROBE_TIMEOUT_MS)
    _note_reply(relay, reply)


def is_lost_for_all(relay: Relay) -> bool:
    """Tells whether no known instance reaches the store.

    Each of those heard in the last FORGET_MS must have said so just now; one
    that is silent may reach it.
    """
    now_ms = relay.clock.now_ms()
    known = [
        peer
        for peer in relay.peers.values()
        if now_ms - peer.heard_ms < FORGET_MS
    ]
    return (
        relay.lost_ms is not None
        and bool(known)
        and all(
            not peer.reaches and now_ms - peer.heard_ms < WORD_MS
            for peer in known
        )
    )
