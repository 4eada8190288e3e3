"""Hand-overs between owners, pauses around them, and restarts of all."""

import asyncio
import base64
import dataclasses
import json

from lib import job_cells
from lib import job_views
import pytest

from nutmegknot._internal.backing import listings
from nutmegknot._internal.backing import platform_calls
from nutmegknot._internal.backing import runners
from nutmegknot._internal.backing import tables
from nutmegknot._internal.jobs import call_authorization
from nutmegknot._internal.jobs import nodes
from nutmegknot._internal.jobs import owner_election
from nutmegknot._internal.jobs import owner_operations
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import outcomes
from nutmegknot._internal.models import workers
from nutmegknot._internal.platform import platform_listings
from nutmegknot._internal.utils import tasks


def delay_starts(node: nodes.Node, worker_id: str, delay_s: float) -> None:
    """Lets a process pause between the decision to start and the sending."""
    ownership = job_views.get_ownership(node)
    start = ownership.runners.start

    async def start_after_pause(
        worker: workers.Worker,
        command: runners.StartCommand,
        timeout_ms: int,
    ) -> runners.CommandResult:
        if worker.id == worker_id:
            await asyncio.sleep(delay_s)
        return await start(worker, command, timeout_ms)

    ownership.runners = dataclasses.replace(
        ownership.runners, start=start_after_pause
    )


def is_completed(node: nodes.Node, id: str) -> bool:
    return job_views.get_state(node, id) is jobs.JobState.COMPLETED


def test_two_owners_around_a_handover_start_no_task_twice() -> None:
    """The old owner learns late that its ownership has been released.

    It goes on with the orders that it decided, while the next owner is already
    at work. There are far more tasks than room, so that both have work to give
    out all the time.
    """

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        listed = [job_cells.make_worker(f'w{n}') for n in range(3)]
        cell = job_cells.make_cell(loop, *listed)
        cell.run_ms = lambda name: 120 + 30 * (name.index % 5)
        first = await job_cells.start_owner(cell, 'one')
        ownership = job_views.get_ownership(first)
        await owner_operations.submit(
            ownership, job_cells.make_job_spec('a', job_cells.make_step(150))
        )
        assert await job_cells.wait_until(cell, lambda: len(cell.starts) > 30)
        # The release takes effect and its answer is lost, again and again.
        cell.table.faults = ['lost'] + ['down'] * 10
        releasing = asyncio.create_task(
            owner_election.release_ownership(ownership.writer)
        )
        await asyncio.sleep(0.03)
        cell.table.faults = []
        before = len(cell.starts)
        second = await job_cells.start_owner(cell, 'two')
        await releasing
        await owner_election.end_ownership(first)
        assert await job_cells.wait_until(
            cell, lambda: is_completed(second, 'a')
        )
        assert before < len(cell.starts) == 150
        assert cell.violations == []

    job_cells.run(script)


def test_an_owner_goes_on_with_starts_after_its_release() -> None:
    """The release has taken effect, and its answer is lost.

    Another instance may have taken over, and find that a run has ended that the
    old owner replaces.
    """

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        listed = [job_cells.make_worker(f'w{n}') for n in range(3)]
        cell = job_cells.make_cell(loop, *listed)
        cell.run_ms = lambda name: 120
        node = await job_cells.start_owner(cell, 'one')
        ownership = job_views.get_ownership(node)
        await owner_operations.submit(
            ownership, job_cells.make_job_spec('a', job_cells.make_step(150))
        )
        assert await job_cells.wait_until(cell, lambda: len(cell.starts) > 30)
        cell.table.faults = ['lost'] + ['down'] * 10
        releasing = asyncio.create_task(
            owner_election.release_ownership(ownership.writer)
        )
        await asyncio.sleep(0.03)
        before = len(cell.starts)
        await asyncio.sleep(0.4)
        assert len(cell.starts) == before
        cell.table.faults = []
        await releasing

    job_cells.run(script)


@pytest.mark.parametrize('is_cut_from_the_next_owner', [False, True])
def test_an_order_sent_after_a_pause_takes_no_effect(
    is_cut_from_the_next_owner: bool,
) -> None:
    """An owner pauses after it has checked that it may act.

    By the time that it sends the order, another instance owns the jobs. A
    worker that the next owner has called refuses the token, and any other
    worker refuses the order since its time has passed.
    """

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = job_cells.make_cell(
            loop, job_cells.make_worker('w1'), job_cells.make_worker('w2')
        )
        cell.run_ms = lambda name: 20_000
        first = await job_cells.start_owner(cell, 'one')
        await asyncio.sleep(0.5)
        ownership = job_views.get_ownership(first)
        delay_starts(first, 'w1', 3.0)
        delay_starts(first, 'w2', 3.0)
        # The order of a paused process is handed over when it runs again.
        sending = tasks.TaskSet()
        await owner_operations.submit(
            ownership, job_cells.make_job_spec('a', job_cells.make_step())
        )
        await asyncio.sleep(0.05)
        task = ownership.cluster.jobs['a'].stages[0, 0].tasks[0]
        assert task.phase is jobs.TaskPhase.STARTING
        target = cell.targets[task.worker]
        for running in list(ownership.tasks.running):
            if running.get_name() == f'send {task.worker}':
                ownership.tasks.running.discard(running)
                sending.running.add(running)
        await owner_election.end_ownership(first)
        target.is_cut = is_cut_from_the_next_owner
        second = await job_cells.start_owner(cell, 'two')
        await asyncio.sleep(2.4)
        target.is_cut = False
        assert await job_cells.wait_until(
            cell, lambda: len(cell.starts) == 1, 15_000
        )
        await asyncio.sleep(1)
        assert [start.run for start in cell.starts] == [10_001]
        assert job_views.get_state(second, 'a') is jobs.JobState.RUNNING
        assert cell.violations == []
        await tasks.cancel_all(sending)

    job_cells.run(script)


def test_a_worker_that_left_meanwhile_gets_no_work_after_a_restart() -> None:
    """All instances restart, and the table still names a worker that left."""

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = job_cells.make_cell(
            loop, job_cells.make_worker('w1'), job_cells.make_worker('w2')
        )
        first = await job_cells.start_owner(cell, 'one')
        ownership = job_views.get_ownership(first)
        await owner_operations.submit(
            ownership, job_cells.make_job_spec('a', job_cells.make_step(8))
        )
        assert await job_cells.wait_until(
            cell, lambda: is_completed(first, 'a')
        )
        assert {start.worker for start in cell.starts} == {'w1', 'w2'}
        await owner_election.end_ownership(first)
        cell.unlisted.add('w1')
        cell.starts.clear()
        second = await job_cells.start_owner(cell, 'two')
        await owner_operations.submit(
            job_views.get_ownership(second),
            job_cells.make_job_spec('b', job_cells.make_step(8)),
        )
        assert await job_cells.wait_until(
            cell, lambda: is_completed(second, 'b')
        )
        assert {start.worker for start in cell.starts} == {'w2'}
        assert cell.violations == []

    job_cells.run(script)


async def test_a_withdrawn_key_is_not_accepted_after_a_restart() -> None:
    """A new process accepts no key before it has read the newest settings."""
    rows = {'version': 0, 'keys': ['old', 'kept']}
    is_down = True

    async def fetch(
        call: platform_calls.Call, timeout_ms: int
    ) -> platform_calls.Reply | platform_calls.NoAnswer:
        if is_down:
            return platform_calls.Reply(503, {})
        configuration = {
            'version': rows['version'],
            'routes': [
                {'name': 'q', 'pathPrefix': '/q/', 'service': 's', 'host': 'h'}
            ],
            'tenants': [{'name': 'team', 'apiKeys': rows['keys']}],
        }
        value = json.dumps(configuration).encode()
        row = {
            'key': 'config',
            'value': base64.b64encode(value).decode(),
            'rowVersion': rows['version'],
        }
        return platform_calls.Reply(
            200, {'rows': [row], 'rowVersion': rows['version']}
        )

    def authorize(
        update: listings.SettingsUpdate | tables.Unavailable, key: str
    ) -> object:
        settings = None
        if isinstance(update, listings.SettingsUpdate):
            settings = update.settings
        return call_authorization.authorize_call(settings, 'h', '/q/a1', key)

    rows['version'], rows['keys'] = 5, ['kept']
    restarted = platform_listings.connect(fetch, {})
    early = authorize(await restarted.read_settings(100), 'kept')
    assert isinstance(early, outcomes.Refused)
    assert early.retry_after_ms > 0
    is_down = False
    update = await restarted.read_settings(100)
    withdrawn = authorize(update, 'old')
    assert isinstance(withdrawn, outcomes.Refused)
    assert withdrawn.reason is outcomes.RefusalReason.KEY_REJECTED
    assert isinstance(
        authorize(update, 'kept'), call_authorization.AuthorizedCall
    )
    # A delayed answer with older rows does not bring the key back.
    rows['version'], rows['keys'] = 4, ['old', 'kept']
    delayed = authorize(await restarted.read_settings(100), 'old')
    assert isinstance(delayed, outcomes.Refused)
