"""Tests of instance/forwarding.py."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import random
from typing import Any

import grpclib.client
from lib import members

from nutmegknot._internal.backing import tables
from nutmegknot._internal.instance import forwarding
from nutmegknot._internal.instance import instances
from nutmegknot._internal.membership import leases
from nutmegknot._internal.membership import rows
from nutmegknot._internal.membership import views
from nutmegknot._internal.models import outcomes
from nutmegknot._internal.models import partitions
from nutmegknot._internal.schema import common_pb2
from nutmegknot._internal.schema import peer_pb2
from nutmegknot._internal.utils import clock as clock_lib
from nutmegknot._internal.utils import signals
from nutmegknot._internal.utils import tasks

KEY = 'team/r'
PARTITION = 'ledger-0'
WAIT_MS = 10_000

Remote = Callable[[grpclib.client.Channel, int], Awaitable[Any]]


def make_instance() -> instances.Instance:
    view = views.View(partitions.Member('me', 'h:1', 'r', 'd'))
    table: Any = None
    clock = clock_lib.make_system_clock()
    settings = members.make_settings()
    return instances.Instance(
        settings=settings,
        clock=clock,
        rng=random.Random(1),
        platform=table,
        membership=leases.Context(view, leases.Lease(), table, clock, settings),
        tasks=tasks.Tasks(),
    )


def set_owner(inst: instances.Instance, owner: str, epoch: int) -> None:
    ownership = partitions.Ownership(PARTITION, epoch, owner, '127.0.0.1:9')
    write = rows.make_owner_write(ownership)
    assert write.value is not None
    row = tables.Row(write.key, write.value, epoch)
    leases.take_owner_row(inst.membership.view, row)


def make_reply(outcome: common_pb2.Outcome) -> peer_pb2.LedgerReply:
    return peer_pb2.LedgerReply(outcome=outcome, request_key=KEY)


ACCEPTED = make_reply(common_pb2.Outcome(accepted=common_pb2.Accepted()))
REFUSED = make_reply(common_pb2.Outcome(refused=common_pb2.Refused()))
NOT_OWNER = peer_pb2.LedgerReply(not_owner=peer_pb2.NotOwner(), request_key=KEY)


async def call(
    inst: instances.Instance, remote: Remote, wait_ms: int = WAIT_MS
) -> outcomes.Outcome | peer_pb2.LedgerReply:
    async def call_local(left_ms: int) -> peer_pb2.LedgerReply:
        raise AssertionError('not the owner')

    return await forwarding.call_ledger(
        inst, PARTITION, KEY, wait_ms, call_local, remote
    )


def script(*steps: Any) -> tuple[Remote, list[int]]:  # noqa: ANN401 - replies, errors or events
    """Returns calls that give one step after the other, and their count."""
    left, made = list(steps), [0]

    async def remote(channel: grpclib.client.Channel, left_ms: int) -> Any:  # noqa: ANN401
        made[0] += 1
        step = left.pop(0)
        if callable(step):
            step()
            await asyncio.Event().wait()
        if isinstance(step, Exception):
            raise step
        return step

    return remote, made


async def test_hung_owner_is_left_once_another_follows() -> None:
    inst = make_instance()
    set_owner(inst, 'a', 1)
    remote, made = script(lambda: set_owner(inst, 'b', 2), ACCEPTED)
    assert await call(inst, remote) == ACCEPTED
    assert made == [2]


async def test_owner_that_is_not_reached_is_asked_anew() -> None:
    inst = make_instance()
    set_owner(inst, 'a', 1)

    def lose() -> None:
        inst.unreached.add('a')
        signals.notify(inst.membership.view.routes)

    remote, _ = script(lose, ACCEPTED)
    assert await call(inst, remote) == ACCEPTED


async def test_refusal_after_unanswered_call_is_not_passed_on() -> None:
    inst = make_instance()
    set_owner(inst, 'a', 1)
    remote, _ = script(TimeoutError(), REFUSED)
    assert isinstance(await call(inst, remote), outcomes.Unknown)


async def test_refusal_by_later_owner_is_true() -> None:
    inst = make_instance()
    set_owner(inst, 'a', 1)
    remote, _ = script(lambda: set_owner(inst, 'b', 2), REFUSED)
    assert await call(inst, remote) == REFUSED


async def test_refused_connection_has_no_effect() -> None:
    inst = make_instance()
    set_owner(inst, 'a', 1)
    remote, _ = script(ConnectionRefusedError(), NOT_OWNER, REFUSED)
    assert await call(inst, remote) == REFUSED


async def test_reply_to_another_request_is_dropped() -> None:
    inst = make_instance()
    set_owner(inst, 'a', 1)
    crossed = peer_pb2.LedgerReply(
        outcome=ACCEPTED.outcome, request_key='team/other'
    )
    remote, made = script(crossed, ACCEPTED)
    assert await call(inst, remote) == ACCEPTED
    assert made == [2]


async def test_without_owner_nothing_is_known() -> None:
    inst = make_instance()
    remote, made = script()
    outcome = await call(inst, remote, wait_ms=30)
    assert isinstance(outcome, outcomes.Unknown)
    assert made == [0]


async def test_empty_budget_slows_retries() -> None:
    inst = make_instance()
    set_owner(inst, 'a', 1)
    inst.retry_budget.left = 0.0
    remote, made = script(NOT_OWNER, NOT_OWNER, ACCEPTED)
    await call(inst, remote, wait_ms=100)
    assert made == [1]
