"""Tests the dump of an instance's state to its log."""

import asyncio

from lib import job_cells
import pytest

from nutmegknot._internal.jobs import nodes
from nutmegknot._internal.jobs import owner_operations
from nutmegknot._internal.jobs import state_dump
from nutmegknot._internal.models import job_settings
from nutmegknot._internal.utils import signals
from nutmegknot._internal.utils import tasks

CUSTOMER = job_settings.Customer('team', keys=frozenset(('secret-key',)))


async def start_busy_owner(loop: asyncio.AbstractEventLoop) -> nodes.Node:
    """Returns an owner with one worker, two running tasks and one waiting."""
    cell = job_cells.make_cell(
        loop,
        job_cells.make_worker('w1'),
        settings=job_cells.make_settings(customers=(CUSTOMER,)),
    )
    cell.run_ms = lambda name: 5_000
    node = await job_cells.start_owner(cell, 'one')
    node.routes = job_cells.make_routes(cell)
    assert node.ownership is not None
    step = job_cells.make_step(3, 2_000)
    spec = job_cells.make_job_spec('a', step, customer='team')
    await owner_operations.submit(node.ownership, spec)
    await asyncio.sleep(0.5)
    return node


def test_a_dump_names_workers_jobs_and_usage() -> None:
    async def script(loop: asyncio.AbstractEventLoop) -> None:
        node = await start_busy_owner(loop)
        shown = {line.event: line.fields for line in state_dump.describe(node)}
        assert shown['state_ownership']['may_act']
        assert shown['state_worker']['runs'] == 2
        assert shown['state_worker']['claimed']
        assert shown['state_job']['job'] == 'a'
        assert shown['state_job']['running'] == 2
        assert shown['state_job']['waiting'] == 1
        assert shown['state_usage']['customer'] == 'team'
        assert shown['state_usage']['millicores'] == 4_000

    job_cells.run(script)


def test_a_dump_has_neither_payloads_nor_keys() -> None:
    async def script(loop: asyncio.AbstractEventLoop) -> None:
        node = await start_busy_owner(loop)
        text = str(state_dump.describe(node))
        assert 'payload of a' not in text
        assert 'secret-key' not in text

    job_cells.run(script)


def test_a_dump_is_written_on_request(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def script(loop: asyncio.AbstractEventLoop) -> None:
        node = await start_busy_owner(loop)
        requested = signals.Signal()
        tasks.spawn(
            node.tasks, state_dump.log_state_on_request(node, requested), 'dump'
        )
        await asyncio.sleep(0.1)
        assert 'state_instance' not in caplog.messages
        signals.notify(requested)
        await asyncio.sleep(1.0)

    caplog.set_level('INFO')
    job_cells.run(script)
    assert caplog.messages.count('state_instance') == 1
    assert caplog.messages.count('state_written') == 1


def test_a_standby_shows_itself_and_the_owner_it_sees() -> None:
    async def script(loop: asyncio.AbstractEventLoop) -> None:
        node = job_cells.make_node(job_cells.make_cell(loop), 'me')
        events = [line.event for line in state_dump.describe(node)]
        assert events == ['state_instance']

    job_cells.run(script)
