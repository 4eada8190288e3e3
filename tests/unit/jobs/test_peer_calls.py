"""When a connection between instances is closed."""

import asyncio

from lib import job_cells

from nutmegknot._internal.jobs import nodes
from nutmegknot._internal.jobs import peer_calls

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
