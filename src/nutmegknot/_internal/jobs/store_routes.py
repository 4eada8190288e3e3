"""Routes to the store: the direct one, and those through other instances.

Load pattern: the store rejects the calls of some instances, or single network
links to it are cut, while other instances reach it. An instance that fails to
reach the store sends its calls through one that reaches it, so that an owner
can go on instead of being replaced.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import logging

from nutmegknot._internal.backing import platform_calls
from nutmegknot._internal.utils import clock as clock_lib

logger = logging.getLogger(__name__)

# Interval between probes of the direct route while it fails.
PROBE_INTERVAL_MS = 400
PROBE_TIMEOUT_MS = 400
# How long the last report of another instance is relied on for relaying calls
# and for choosing standbys.
PEER_REPORT_VALIDITY_MS = 1_500
# How long no calls are sent through another instance after one failed.
PEER_RETRY_DELAY_MS = 600
# How long another instance's report that it does not reach the store counts
# as evidence of an outage for all instances.
OUTAGE_REPORT_VALIDITY_MS = 1_100
# How long before the failure of the direct route an instance must have been
# heard of to count as one that may reach the store during the failure.
PEER_RETENTION_MS = 10_000
# HTTP statuses with which the store rejects a call without executing it.
_REJECTION_STATUSES = frozenset((429, 503))

# Address of the instance, call, time-out in ms.
CallPeer = Callable[
    [str, platform_calls.Call, int],
    Awaitable[platform_calls.Reply | platform_calls.NoAnswer],
]


@dataclasses.dataclass(slots=True)
class Peer:
    """Last report of another instance about itself.

    Attributes:
      heard_ms: When the report came, by this instance's clock.
      reaches_store: Whether it reaches the store on its direct route.
      millicores: Its processors in thousandths of a core; 0 if not known.
      late_ms: Mean lateness of its timers.
      calculation_us: Time that a fixed calculation takes there; 0 if not known.
      last_failure_ms: When a call through it failed last; None if none did.
    """

    heard_ms: int
    reaches_store: bool
    millicores: int = 0
    late_ms: int = 0
    calculation_us: int = 0
    last_failure_ms: int | None = None


@dataclasses.dataclass(slots=True)
class StoreRoutes:
    """State of the routes to the store.

    Attributes:
      clock: Source of time.
      direct: Makes a call on the direct route.
      probe: A cheap call that shows whether the direct route works.
      call_peer: Makes a call through the instance at an address; None if calls
        can't be relayed.
      peers: Last reports of the other instances by address.
      direct_failed_since_ms: Since when the direct route fails; None while it
        works.
      on_change: Called when the direct route fails or works again.
    """

    clock: clock_lib.Clock
    direct: platform_calls.Fetch
    probe: platform_calls.Call
    call_peer: CallPeer | None = None
    peers: dict[str, Peer] = dataclasses.field(default_factory=dict)
    direct_failed_since_ms: int | None = None
    on_change: Callable[[], None] = lambda: None


def update_peer(
    routes: StoreRoutes,
    address: str,
    reaches_store: bool,
    millicores: int = 0,
    late_ms: int = 0,
    calculation_us: int = 0,
) -> None:
    """Records the report of another instance about itself."""
    known = routes.peers.get(address)
    last_failure_ms = None if known is None else known.last_failure_ms
    routes.peers[address] = Peer(
        routes.clock.now_ms(),
        reaches_store,
        millicores,
        late_ms,
        calculation_us,
        last_failure_ms,
    )


def make_fetch(routes: StoreRoutes) -> platform_calls.Fetch:
    """Returns a function that makes a call on the direct or a relayed route.

    While the direct route fails, calls go through another instance. A call that
    certainly had no effect on the direct route is repeated through another one.
    """

    async def fetch(
        call: platform_calls.Call, timeout_ms: int
    ) -> platform_calls.Reply | platform_calls.NoAnswer:
        if routes.direct_failed_since_ms is not None:
            reply = await _call_through_peers(routes, call, timeout_ms)
            if reply is not None:
                return reply
        reply = await routes.direct(call, timeout_ms)
        _record_direct_reply(routes, reply)
        if routes.direct_failed_since_ms is not None and _had_no_effect(reply):
            relayed = await _call_through_peers(routes, call, timeout_ms)
            return reply if relayed is None else relayed
        return reply

    return fetch


def _is_failed(reply: platform_calls.Reply | platform_calls.NoAnswer) -> bool:
    """Tells whether the store rejected a call or did not answer it."""
    return (
        isinstance(reply, platform_calls.NoAnswer)
        or reply.status in _REJECTION_STATUSES
    )


def _had_no_effect(
    reply: platform_calls.Reply | platform_calls.NoAnswer,
) -> bool:
    """Tells whether a call certainly had no effect."""
    if isinstance(reply, platform_calls.NoAnswer):
        return not reply.was_sent
    return reply.status in _REJECTION_STATUSES


def _record_direct_reply(
    routes: StoreRoutes, reply: platform_calls.Reply | platform_calls.NoAnswer
) -> None:
    """Records from the reply to a direct call whether the route works."""
    if _is_failed(reply):
        if routes.direct_failed_since_ms is None:
            routes.direct_failed_since_ms = routes.clock.now_ms()
            why = (
                reply.detail
                if isinstance(reply, platform_calls.NoAnswer)
                else f'status {reply.status}'
            )
            logger.warning('direct_route_lost', extra={'why': why})
            routes.on_change()
    elif routes.direct_failed_since_ms is not None:
        lost_ms = routes.clock.now_ms() - routes.direct_failed_since_ms
        routes.direct_failed_since_ms = None
        logger.info('direct_route_regained', extra={'after_ms': lost_ms})
        routes.on_change()


def choose_peer(routes: StoreRoutes) -> str | None:
    """Returns the address of an instance that reaches the store, or None."""
    now_ms = routes.clock.now_ms()
    usable = [
        (peer.heard_ms, address)
        for address, peer in routes.peers.items()
        if peer.reaches_store
        and now_ms - peer.heard_ms < PEER_REPORT_VALIDITY_MS
        and (
            peer.last_failure_ms is None
            or now_ms - peer.last_failure_ms >= PEER_RETRY_DELAY_MS
        )
    ]
    return max(usable)[1] if usable else None


def is_out_of_reach(routes: StoreRoutes) -> bool:
    """Tells whether no route of this instance to the store works at present."""
    return (
        routes.direct_failed_since_ms is not None
        and choose_peer(routes) is None
    )


def list_standbys(routes: StoreRoutes) -> list[Peer]:
    """Returns the instances that could take over, as they reach the store."""
    now_ms = routes.clock.now_ms()
    return [
        peer
        for peer in routes.peers.values()
        if peer.reaches_store
        and now_ms - peer.heard_ms < PEER_REPORT_VALIDITY_MS
    ]


async def _call_through_peers(
    routes: StoreRoutes, call: platform_calls.Call, timeout_ms: int
) -> platform_calls.Reply | platform_calls.NoAnswer | None:
    """Makes a call through another instance.

    A call that certainly had no effect is repeated through the next instance.

    Returns:
      The reply; None if no instance is left that could relay the call.
    """
    while routes.call_peer is not None:
        address = choose_peer(routes)
        if address is None:
            return None
        reply = await routes.call_peer(address, call, timeout_ms)
        if not _is_failed(reply):
            return reply
        routes.peers[address].last_failure_ms = routes.clock.now_ms()
        logger.info('relay_failed', extra={'address': address})
        if not _had_no_effect(reply):
            return reply
    return None


async def probe_periodically(routes: StoreRoutes) -> None:
    """Probes the direct route at a fixed interval while it fails."""
    while True:
        await clock_lib.sleep(PROBE_INTERVAL_MS)
        if routes.direct_failed_since_ms is not None:
            await probe_direct_route(routes)


async def probe_direct_route(routes: StoreRoutes) -> None:
    """Probes whether the direct route works."""
    reply = await routes.direct(routes.probe, PROBE_TIMEOUT_MS)
    _record_direct_reply(routes, reply)


def is_unreachable_for_all(routes: StoreRoutes) -> bool:
    """Tells whether no known instance reaches the store.

    This instance's direct route must fail, and at least one other instance must
    be known. Each one heard of since PEER_RETENTION_MS before the route failed
    must have reported within OUTAGE_REPORT_VALIDITY_MS that it does not reach
    the store. One that does not answer may reach it, however long that lasts:
    this instance may be cut off from it and from the store.
    """
    if routes.direct_failed_since_ms is None:
        return False
    now_ms = routes.clock.now_ms()
    known_since_ms = routes.direct_failed_since_ms - PEER_RETENTION_MS
    known = [
        peer for peer in routes.peers.values() if peer.heard_ms > known_since_ms
    ]
    return bool(known) and all(
        not peer.reaches_store
        and now_ms - peer.heard_ms < OUTAGE_REPORT_VALIDITY_MS
        for peer in known
    )
