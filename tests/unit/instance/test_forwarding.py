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

RemoteCall = Callable[[grpclib.client.Channel, int], Awaitable[Any]]


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
        tasks=tasks.TaskSet(),
    )


def set_owner(inst: instances.Instance, owner: str, epoch: int) -> None:
    ownership = partitions.Ownership(PARTITION, epoch, owner, '127.0.0.1:9')
    write = rows.make_owner_write(ownership)
    assert write.value is not None
    row = tables.Row(write.key, write.value, epoch)
    leases.record_owner_row(inst.membership.view, row)


def make_reply(outcome: common_pb2.Outcome) -> peer_pb2.LedgerReply:
    return peer_pb2.LedgerReply(outcome=outcome, request_key=KEY)


ACCEPTED = make_reply(common_pb2.Outcome(accepted=common_pb2.Accepted()))
REFUSED = make_reply(common_pb2.Outcome(refused=common_pb2.Refused()))
NOT_OWNER = peer_pb2.LedgerReply(not_owner=peer_pb2.NotOwner(), request_key=KEY)


async def call(
    inst: instances.Instance, remote: RemoteCall, wait_ms: int = WAIT_MS
) -> outcomes.Outcome | peer_pb2.LedgerReply:
    async def call_local(left_ms: int) -> peer_pb2.LedgerReply:
        raise AssertionError('not the owner')

    return await forwarding.call_ledger_owner(
        inst, PARTITION, KEY, wait_ms, call_local, remote
    )


def make_remote(*results: Any) -> tuple[RemoteCall, list[int]]:  # noqa: ANN401 - replies, errors or functions
    """Returns a remote call, and a list with the number of calls made.

    Args:
      results: What the calls give, in order: a reply; an error to be raised; or
        a function that is called before the call waits without end.
    """
    remaining, call_count = list(results), [0]

    async def remote(channel: grpclib.client.Channel, left_ms: int) -> Any:  # noqa: ANN401
        call_count[0] += 1
        result = remaining.pop(0)
        if callable(result):
            result()
            await asyncio.Event().wait()
        if isinstance(result, Exception):
            raise result
        return result

    return remote, call_count


async def test_call_to_hung_owner_ends_when_owner_changes() -> None:
    inst = make_instance()
    set_owner(inst, 'a', 1)
    remote, call_count = make_remote(lambda: set_owner(inst, 'b', 2), ACCEPTED)
    assert await call(inst, remote) == ACCEPTED
    assert call_count == [2]


async def test_call_is_repeated_when_owner_becomes_unreachable() -> None:
    inst = make_instance()
    set_owner(inst, 'a', 1)

    def mark_unreachable() -> None:
        inst.unreachable_members.add('a')
        signals.notify(inst.membership.view.routes_changed)

    remote, _ = make_remote(mark_unreachable, ACCEPTED)
    assert await call(inst, remote) == ACCEPTED


async def test_refusal_after_unanswered_call_is_unknown() -> None:
    inst = make_instance()
    set_owner(inst, 'a', 1)
    remote, _ = make_remote(TimeoutError(), REFUSED)
    assert isinstance(await call(inst, remote), outcomes.Unknown)


async def test_refusal_by_later_owner_is_returned() -> None:
    inst = make_instance()
    set_owner(inst, 'a', 1)
    remote, _ = make_remote(lambda: set_owner(inst, 'b', 2), REFUSED)
    assert await call(inst, remote) == REFUSED


async def test_refused_connection_is_no_unanswered_call() -> None:
    inst = make_instance()
    set_owner(inst, 'a', 1)
    remote, _ = make_remote(ConnectionRefusedError(), NOT_OWNER, REFUSED)
    assert await call(inst, remote) == REFUSED


async def test_reply_to_another_request_is_ignored() -> None:
    inst = make_instance()
    set_owner(inst, 'a', 1)
    wrong_reply = peer_pb2.LedgerReply(
        outcome=ACCEPTED.outcome, request_key='team/other'
    )
    remote, call_count = make_remote(wrong_reply, ACCEPTED)
    assert await call(inst, remote) == ACCEPTED
    assert call_count == [2]


async def test_outcome_without_owner_is_unknown() -> None:
    inst = make_instance()
    remote, call_count = make_remote()
    outcome = await call(inst, remote, wait_ms=30)
    assert isinstance(outcome, outcomes.Unknown)
    assert call_count == [0]


async def test_empty_budget_slows_retries() -> None:
    inst = make_instance()
    set_owner(inst, 'a', 1)
    inst.retry_budget.retries_left = 0.0
    remote, call_count = make_remote(NOT_OWNER, NOT_OWNER, ACCEPTED)
    await call(inst, remote, wait_ms=100)
    assert call_count == [1]
