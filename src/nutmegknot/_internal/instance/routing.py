"""Choosing partitions, and calls to their owners with retries."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import logging

import grpclib.client
import grpclib.exceptions

from nutmegknot._internal.instance import instances
from nutmegknot._internal.ledger import accepting
from nutmegknot._internal.membership import views
from nutmegknot._internal.models import outcomes
from nutmegknot._internal.models import requests
from nutmegknot._internal.models import workers
from nutmegknot._internal.network import channels
from nutmegknot._internal.schema import peer_pb2
from nutmegknot._internal.utils import clock as clock_lib
from nutmegknot._internal.utils import hashing
from nutmegknot._internal.utils import retries

logger = logging.getLogger(__name__)

CALL_ERRORS = (
    grpclib.exceptions.GRPCError,
    grpclib.exceptions.StreamTerminatedError,
    grpclib.exceptions.ProtocolError,
    OSError,
    asyncio.TimeoutError,
)

Remote = Callable[
    [grpclib.client.Channel, float], Awaitable[peer_pb2.LedgerReply]
]
Local = Callable[[int], Awaitable[peer_pb2.LedgerReply]]


def choose_fleet(
    inst: instances.Instance, req: requests.Request, avoid: frozenset[str]
) -> accepting.Choice | outcomes.Refused:
    """Chooses the fleet partition that a request is assigned to."""
    view = inst.membership.view
    open_names = [
        name
        for name in sorted(view.owners)
        if name.startswith('fleet-')
        and name not in avoid
        and _is_open(view, name)
    ]
    chosen = hashing.choose_owner(requests.get_key(req), open_names)
    if not chosen:
        return outcomes.Refused(
            outcomes.RefusalReason.UNAVAILABLE, 'no failure domain is open'
        )
    return accepting.Choice(chosen, views.get_epoch(view, chosen))


def get_domain(fleet: str) -> str:
    """Returns the failure domain of a fleet partition, 'fleet-DOMAIN-N'."""
    return fleet.removeprefix('fleet-').rpartition('-')[0]


def _is_open(view: views.View, fleet: str) -> bool:
    domain = view.configuration.domains.get(get_domain(fleet))
    return domain is None or domain.state is workers.DomainState.OPEN


async def call_ledger(
    inst: instances.Instance,
    partition: str,
    wait_ms: int,
    local: Local,
    remote: Remote,
) -> outcomes.Outcome | peer_pb2.LedgerReply:
    """Calls the owner of a ledger partition until it answers.

    Args:
      inst: The instance.
      partition: The ledger partition.
      wait_ms: Time left in ms.
      local: Makes the call if this instance owns the partition.
      remote: Makes it over a channel, with a time limit in s.

    Returns:
      The owner's reply, or Refused if no owner was ever reached, or Unknown if
      one may have been.
    """
    until_ms = inst.clock.now_ms() + wait_ms
    backoff = retries.Backoff(inst.rng)
    may_have_reached = False
    while (left_ms := until_ms - inst.clock.now_ms()) > 0:
        reply = None
        if partition in inst.ledgers:
            reply = await local(left_ms)
        else:
            owner = inst.membership.view.owners.get(partition)
            if owner and owner.owner and owner.owner != _get_id(inst):
                channel = channels.get(inst.channels, owner.address)
                try:
                    reply = await remote(channel, clock_lib.to_seconds(left_ms))
                except CALL_ERRORS as error:
                    may_have_reached = True
                    logger.info(
                        'owner_unreached',
                        extra={'partition': partition, 'why': repr(error)},
                    )
        if reply is not None and not reply.HasField('not_owner'):
            return reply
        left_ms = max(0, until_ms - inst.clock.now_ms())
        wait = min(retries.take_wait(backoff), left_ms)
        await asyncio.sleep(clock_lib.to_seconds(wait))
    if may_have_reached:
        return outcomes.Unknown('the owner did not answer in time')
    return outcomes.Refused(
        outcomes.RefusalReason.UNAVAILABLE, 'no owner was found in time', 1000
    )


def _get_id(inst: instances.Instance) -> str:
    return inst.membership.view.me.id
