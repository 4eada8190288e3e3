"""When an instance takes the ownership over."""

import asyncio

from lib import job_cells

from nutmegknot._internal.jobs import nodes
from nutmegknot._internal.jobs import opening
from nutmegknot._internal.jobs import owning
from nutmegknot._internal.jobs import peers
from nutmegknot._internal.schema import jobs_pb2


def see(node: nodes.Node, epoch: int, holder: str, version: int) -> None:
    row = jobs_pb2.JobsOwnerRow(
        epoch=epoch, holder=holder, address=f'{holder}:1'
    )
    owning.note_row(node, opening.Owner(row, version))


def test_an_owner_is_replaced_after_its_lease() -> None:
    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = job_cells.make_cell(loop)
        node = job_cells.make_node(cell, 'me')
        see(node, 1, 'other', 7)
        await asyncio.sleep(node.limits.lease_ms / 1_000 - 0.1)
        assert not owning.is_free(node)
        see(node, 1, 'other', 8)
        await asyncio.sleep(0.4)
        assert not owning.is_free(node)
        await asyncio.sleep(node.limits.lease_ms / 1_000)
        assert owning.is_free(node)

    job_cells.run(script)


def test_an_owner_whose_process_has_ended_is_replaced_at_once() -> None:
    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = job_cells.make_cell(loop)
        node = job_cells.make_node(cell, 'me')
        see(node, 1, 'other', 7)
        owning.note_silence(node, peers.Silence(is_refused=True))
        assert not owning.is_free(node)
        await asyncio.sleep(0.5)
        assert owning.is_free(node)

    job_cells.run(script)


def test_a_new_owner_is_not_taken_for_the_one_that_ended() -> None:
    """Found in trouble-3 --seed 11 of the site ezokita-sched.

    Two instances had seen the owner's process end; the second replaced the
    first 0.2 s after that had taken over.
    """

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = job_cells.make_cell(loop)
        node = job_cells.make_node(cell, 'me')
        see(node, 1, 'other', 7)
        owning.note_silence(node, peers.Silence(is_refused=True))
        await asyncio.sleep(0.5)
        see(node, 2, 'third', 9)
        assert not owning.is_free(node)

    job_cells.run(script)


def test_a_planned_hand_over_is_taken_up_at_once() -> None:
    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = job_cells.make_cell(loop)
        node = job_cells.make_node(cell, 'me')
        see(node, 1, '', 7)
        await asyncio.sleep(0.4)
        assert owning.is_free(node)

    job_cells.run(script)
