"""When a connection between instances is closed, and time-outs of greetings."""

import asyncio

from lib import job_cells
import pytest

from nutmegknot._internal.backing import platform_calls
from nutmegknot._internal.jobs import nodes
from nutmegknot._internal.jobs import peer_calls
from nutmegknot._internal.schema import jobs_pb2
from nutmegknot._internal.utils import event_loop_lag

ADDRESS = '127.0.0.1:1'


def is_open(node: nodes.Node) -> bool:
    return ADDRESS in node.channels.by_address


def test_a_lost_call_does_not_close_a_connection_with_other_answers() -> None:
    """Guards against one lost call that ends many others.

    52 calls to an owner on a slow machine timed out, and each closed the
    connection, which ended 682 other calls. Found in
    deploy/days/slow-owner.toml --seed 1 of the site mvhd-sched.
    """

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        node = job_cells.make_node(job_cells.make_cell(loop), 'me')
        peer_calls.get_stub(node, ADDRESS)
        peer_calls.record_answer(node, ADDRESS)
        await asyncio.sleep(0.9)
        peer_calls.record_lost_call(node, ADDRESS)
        assert is_open(node)
        peer_calls.record_answer(node, ADDRESS)
        await asyncio.sleep(0.9)
        peer_calls.record_lost_call(node, ADDRESS)
        assert is_open(node)

    job_cells.run(script)


def test_a_connection_without_answers_is_closed() -> None:
    async def script(loop: asyncio.AbstractEventLoop) -> None:
        node = job_cells.make_node(job_cells.make_cell(loop), 'me')
        peer_calls.get_stub(node, ADDRESS)
        peer_calls.record_lost_call(node, ADDRESS)
        assert not is_open(node)
        peer_calls.get_stub(node, ADDRESS)
        peer_calls.record_answer(node, ADDRESS)
        await asyncio.sleep(peer_calls.IDLE_CONNECTION_MS / 1_000 + 0.1)
        peer_calls.record_lost_call(node, ADDRESS)
        assert not is_open(node)

    job_cells.run(script)


def test_the_time_out_of_a_greeting_allows_for_lag() -> None:
    """Guards against standbys that give up on an owner that is only late."""

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        node = job_cells.make_node(job_cells.make_cell(loop), 'me')
        prompt_ms = peer_calls.compute_greeting_margin(node)
        assert prompt_ms == peer_calls.GREETING_TIMEOUT_MARGIN_MS
        node.owner_lag_ms = 150
        assert peer_calls.compute_greeting_margin(node) == prompt_ms + 150
        event_loop_lag.record_sample(node.lateness, 100)
        assert peer_calls.compute_greeting_margin(node) == prompt_ms + 250
        # A failed owner is noticed before its lease ends, whatever its lag was.
        node.owner_lag_ms = 60_000
        assert (
            peer_calls.GREETING_HOLD_MS
            + peer_calls.compute_greeting_margin(node)
            < node.limits.lease_ms
        )

    job_cells.run(script)


@pytest.mark.parametrize('fields', [b'[' * 50_000, b'\xff', b'[]', b''])
def test_an_odd_reply_to_a_relayed_call_counts_as_none(
    fields: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    class Stub:
        async def Relay(  # noqa: N802
            self, request: jobs_pb2.RelayCall, timeout: float
        ) -> jobs_pb2.RelayReply:
            return jobs_pb2.RelayReply(
                is_answered=True, status=200, fields=fields
            )

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        node = job_cells.make_node(job_cells.make_cell(loop), 'me')
        monkeypatch.setattr(peer_calls, 'get_stub', lambda *_: Stub())
        call = platform_calls.Call('GET', '/')
        reply = await peer_calls.relay_call(node, ADDRESS, call, 100)
        assert isinstance(reply, platform_calls.NoAnswer)
        assert reply.was_sent

    job_cells.run(script)
