"""Drawn orders of calls, faults and changes of owner, in virtual time.

The fake workers record what runs twice (TWICE). At the end all faults are over,
and accepted jobs complete (LOST), cancelled and refused ones run nothing
(UNASKED).
"""

import asyncio
import collections
from collections.abc import Awaitable

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
from lib import job_cells
from lib import job_views
from lib import virtual_time
import pytest

from nutmegknot._internal.jobs import nodes
from nutmegknot._internal.jobs import owner_election
from nutmegknot._internal.jobs import owner_operations
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import outcomes
from nutmegknot._internal.utils import tasks

WORKERS = ('w1', 'w2', 'w3')
# So few that the ends on a worker take several pages.
MAX_LISTED_ENDS = 3
STORE_ANSWER_MS = 3
# Time in ms after the last fault within which everything has to end.
CALM_MS = 90_000
# Crashes under a task after which its job may be given up.
MAX_CRASHES = 2


class Sessions(stateful.RuleBasedStateMachine):
    """An owner, its successors and their sessions with three workers.

    Attributes:
      loop: Event loop in virtual time.
      cell: Store, workers and what has started on them.
      owner: The instance that owns the jobs.
      owners: Number of owners so far.
      run_ms: How long the tasks of each job run, by job id.
      submitted: Calls with new jobs, by job id.
      cancelled: Calls that cancel a job, by job id.
      crashes: How many workers have ended under tasks of each job, by job id.
    """

    def __init__(self) -> None:
        """Starts the first owner."""
        super().__init__()
        self.loop = virtual_time.VirtualLoop()
        self.owners = 0
        self.run_ms: dict[str, int] = {}
        self.submitted: dict[
            str, asyncio.Task[owner_operations.SubmitOutcome]
        ] = {}
        self.cancelled: dict[
            str, asyncio.Task[owner_operations.CancelOutcome]
        ] = {}
        self.crashes: collections.Counter[str] = collections.Counter()
        self.cell = job_cells.make_cell(
            self.loop, *(job_cells.make_worker(id) for id in WORKERS)
        )
        self.cell.keeps_id = True
        self.cell.table.answer_ms = STORE_ANSWER_MS
        self.cell.run_ms = lambda name: self.run_ms[name.job]
        self.owner: nodes.Node | None = None
        self._run(self._start_owner())

    def teardown(self) -> None:
        """Ends all faults and checks what became of each job."""
        try:
            self._run(self._check_ends())
        finally:
            self._run(_cancel_others())
            self.loop.close()

    def _run(self, work: Awaitable[None]) -> None:
        self.loop.run_until_complete(work)

    async def _start_owner(self) -> None:
        self.owners += 1
        self.owner = await job_cells.start_owner(
            self.cell, f'owner-{self.owners}'
        )

    @stateful.rule(
        count=strategies.integers(1, 6),
        run_ms=strategies.sampled_from((30, 400, 3_000)),
        steps=strategies.integers(1, 2),
    )
    def submit(self, count: int, run_ms: int, steps: int) -> None:
        """Hands in a job."""
        id = f'j{len(self.submitted)}'
        self.run_ms[id] = run_ms
        chain = [
            job_cells.make_step(
                count,
                100,
                estimate_ms=run_ms,
                depends_on=(number - 1,) if number else (),
            )
            for number in range(steps)
        ]
        spec = job_cells.make_job_spec(id, *chain)
        assert self.owner is not None
        self.submitted[id] = self.loop.create_task(
            owner_operations.submit(job_views.get_ownership(self.owner), spec)
        )
        self._run(asyncio.sleep(0.02))

    @stateful.precondition(lambda self: self.submitted)
    @stateful.rule(data=strategies.data())
    def cancel(self, data: strategies.DataObject) -> None:
        """Cancels a job."""
        id = data.draw(strategies.sampled_from(sorted(self.submitted)))
        assert self.owner is not None
        if id in self.cancelled:
            return
        self.cancelled[id] = self.loop.create_task(
            owner_operations.cancel(
                job_views.get_ownership(self.owner), jobs.JobReference(id)
            )
        )
        self._run(asyncio.sleep(0))

    @stateful.rule(wait_ms=strategies.sampled_from((1, 10, 120, 700, 2_600)))
    def wait(self, wait_ms: int) -> None:
        """Lets time pass."""
        self._run(asyncio.sleep(wait_ms / 1_000))

    @stateful.rule(
        id=strategies.sampled_from(WORKERS), is_cut=strategies.booleans()
    )
    def cut(self, id: str, is_cut: bool) -> None:
        """Cuts a worker off, or ends that."""
        self.cell.targets[id].is_cut = is_cut

    @stateful.rule(
        id=strategies.sampled_from(WORKERS), is_silent=strategies.booleans()
    )
    def silence(self, id: str, is_silent: bool) -> None:
        """Has a worker carry out calls without an answer, or ends that."""
        self.cell.targets[id].is_silent = is_silent

    @stateful.rule(
        id=strategies.sampled_from(WORKERS), count=strategies.integers(1, 4)
    )
    def lose_answers(self, id: str, count: int) -> None:
        """Has a worker carry out the next commands without an answer."""
        self.cell.targets[id].lost_answers = count

    @stateful.rule(id=strategies.sampled_from(WORKERS))
    def restart_worker(self, id: str) -> None:
        """Restarts a worker under its id at once."""
        target = self.cell.targets[id]
        if not target.is_down:
            self._count_crash(target)
            job_cells.restart(self.cell, target)

    @stateful.rule(id=strategies.sampled_from(WORKERS))
    def crash_worker(self, id: str) -> None:
        """Ends a worker, which comes back under its id after a while."""
        self._count_crash(self.cell.targets[id])

        async def crash() -> None:
            job_cells.crash_worker(self.cell, self.cell.targets[id])

        self._run(crash())

    def _count_crash(self, target: job_cells.FakeTarget) -> None:
        self.crashes.update({name.job for name in target.runs})

    @stateful.rule(is_down=strategies.booleans())
    def stop_store(self, is_down: bool) -> None:
        """Begins or ends an outage of the store."""
        self.cell.table.is_down = is_down

    @stateful.rule(
        faults=strategies.lists(
            strategies.sampled_from(('', 'down', 'lost', 'late')), max_size=6
        )
    )
    def disturb_store(self, faults: list[str]) -> None:
        """Has some of the next calls to the store fail or lose their answer."""
        self.cell.table.faults = faults

    @stateful.precondition(lambda self: not self.cell.table.is_down)
    @stateful.rule(is_graceful=strategies.booleans())
    def change_owner(self, is_graceful: bool) -> None:
        """Replaces the owner, which stops gracefully or is killed."""
        self.cell.table.faults = []
        self._run(self._change_owner(is_graceful))

    async def _change_owner(self, is_graceful: bool) -> None:
        assert self.owner is not None
        ownership = job_views.get_ownership(self.owner)
        if is_graceful:
            await owner_election.release_ownership(ownership.writer)
            await owner_election.end_ownership(self.owner)
        else:
            await tasks.cancel_all(ownership.tasks)
            for call in [*self.submitted.values(), *self.cancelled.values()]:
                if not call.done():
                    call.cancel()
                    await asyncio.wait((call,))
        await self._start_owner()

    @stateful.invariant()
    def nothing_runs_twice(self) -> None:
        """Checks what the workers have recorded."""
        assert self.cell.violations == []

    async def _check_ends(self) -> None:
        self.cell.table.is_down = False
        self.cell.table.faults = []
        for target in self.cell.targets.values():
            target.is_cut = target.is_silent = False
            target.lost_answers = 0
        assert await job_cells.wait_until(self.cell, self._is_all_over, CALM_MS)
        assert self.cell.violations == []
        started = {start.name.job for start in self.cell.starts}
        for id, call in self.submitted.items():
            if not call.cancelled() and isinstance(
                call.result(), outcomes.Refused
            ):
                assert id not in started

    def _is_all_over(self) -> bool:
        """Tells whether all jobs have ended and nothing runs."""
        assert self.owner is not None
        calls = [*self.submitted.values(), *self.cancelled.values()]
        if not all(call.done() for call in calls):
            return False
        if any(target.runs for target in self.cell.targets.values()):
            return False
        for id, call in self.submitted.items():
            if call.cancelled() or call.result() != outcomes.Accepted(id):
                continue
            if job_views.get_state(self.owner, id) not in self._list_ends(id):
                return False
        return True

    def _list_ends(self, id: str) -> list[jobs.JobState]:
        """Returns the states in which a job may end."""
        ends = [jobs.JobState.COMPLETED]
        if id in self.cancelled:
            ends.append(jobs.JobState.CANCELLED)
        if self.crashes[id] >= MAX_CRASHES:
            ends.append(jobs.JobState.FAILED)
        return ends


async def _cancel_others() -> None:
    current = asyncio.current_task()
    others = [task for task in asyncio.all_tasks() if task is not current]
    for task in others:
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)


def test_drawn_sessions_keep_all_promises(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(job_cells, 'MAX_LISTED_ENDS', MAX_LISTED_ENDS)
    stateful.run_state_machine_as_test(
        Sessions,
        settings=hypothesis.settings(
            derandomize=True,
            max_examples=50,
            stateful_step_count=40,
            deadline=None,
            database=None,
            phases=[hypothesis.Phase.generate],
            suppress_health_check=list(hypothesis.HealthCheck),
        ),
    )
