"""Holds the ledger against a naive one under faults and take-overs.

For each request the naive side keeps every state that the answers so far
allow: an answer that a step took effect, or did not, leaves one; an answer that
nobody can know leaves both. What recovery finds must be among them.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
from lib import fakes
from lib import makers
from lib import naive
from lib import partitions
from lib import virtual_time

from nutmegknot._internal.ledger import accepting
from nutmegknot._internal.ledger import journals
from nutmegknot._internal.ledger import recovery
from nutmegknot._internal.ledger import reporting
from nutmegknot._internal.ledger import snapshotting
from nutmegknot._internal.models import outcomes
from nutmegknot._internal.models import reports
from nutmegknot._internal.models import requests

WAIT_MS = 300
# Longer than the longest pause of a writer after an outage.
CALM_MS = 5_000
NAMES = strategies.sampled_from(['a', 'b', 'c', 'd'])
FAULTS = strategies.lists(
    strategies.sampled_from(['down', 'lost', 'late', '']), max_size=6
)
NEWS = strategies.sampled_from(
    [
        reports.Running(('worker-0',)),
        reports.Running(('worker-1',)),
        reports.Ended(outcomes.Finished((b'answer',))),
        reports.Returned('failed', 'exit 1', may_have_run=True),
        reports.Returned('stopped', 'preempted', may_have_run=True),
        reports.Returned('handover', '', may_have_run=False),
    ]
)

Change = Callable[[naive.State | None], naive.State | None]


def make_request(name: str) -> requests.Request:
    return makers.make_request(name, repeatable=name in 'ab')


class Comparison(stateful.RuleBasedStateMachine):
    """Runs the same steps against the ledger and the naive one."""

    def __init__(self) -> None:
        """Starts with an empty partition and its first owner."""
        super().__init__()
        self.loop = virtual_time.VirtualLoop()
        self.cell = partitions.Cell()
        self.worlds: dict[str, set[naive.State | None]] = {
            f't/{name}': {None} for name in 'abcd'
        }
        self.old: list[partitions.Owner] = []
        self.owner = self.run(partitions.take_over(self.cell))

    def run(self, work: Coroutine[Any, Any, Any]) -> Any:  # noqa: ANN401
        """Runs work to its end in virtual time."""
        return self.loop.run_until_complete(work)

    def change(self, key: str, change: Change, took_effect: object) -> None:
        """Follows a step: True, False, or None if nobody can know."""
        after = {change(state) for state in self.worlds[key]}
        if took_effect is None:
            self.worlds[key] |= after
        elif took_effect:
            self.worlds[key] = after

    def note_submit(self, name: str, outcome: object) -> None:
        """Follows the answer to a submitted request."""
        match outcome:
            case outcomes.Accepted():
                took_effect: bool | None = True
            case outcomes.Refused() | journals.Fenced():
                took_effect = False
            case _:
                assert isinstance(outcome, outcomes.Unknown), outcome
                took_effect = None
        req = make_request(name)
        self.change(
            f't/{name}', lambda state: naive.submit(state, req), took_effect
        )

    def submit_to(
        self, owner: partitions.Owner, name: str, wait_ms: int = WAIT_MS
    ) -> object:
        """Submits a request to an owner."""
        req = make_request(name)
        return self.run(
            accepting.submit(owner.ledger, owner.context, req, wait_ms)
        )

    @stateful.rule(faults=FAULTS)
    def spoil_table(self, faults: list[str]) -> None:
        """Has the table fail or lose the answers of the next calls."""
        self.cell.table.faults = list(faults)

    @stateful.rule(faults=FAULTS)
    def spoil_objects(self, faults: list[str]) -> None:
        """Has the object store fail or lose answers."""
        self.cell.objects.faults = list(faults)

    @stateful.rule()
    def deliver_late(self) -> None:
        """Has the calls whose answers were lost arrive at last."""
        fakes.apply_late(self.cell.table)

    @stateful.rule(first=strategies.sampled_from(['down', 'lost', 'late']))
    def begin_outage(self, first: str) -> None:
        """Has the table fail for longer than any caller waits."""
        self.cell.table.faults = [first] + ['down'] * 40

    @stateful.rule(name=NAMES)
    def submit_in_calm(self, name: str) -> None:
        """Submits a request while nothing fails; it must be accepted."""
        self.cell.table.faults = []
        outcome = self.submit_to(self.owner, name, CALM_MS)
        assert outcome == outcomes.Accepted(f't/{name}')
        self.note_submit(name, outcome)

    @stateful.rule(name=NAMES)
    def submit(self, name: str) -> None:
        """Submits a request."""
        self.note_submit(name, self.submit_to(self.owner, name))

    @stateful.rule(names=strategies.lists(NAMES, min_size=2, max_size=4))
    def submit_together(self, names: list[str]) -> None:
        """Submits requests at once, copies among them."""

        async def submit_all() -> list[object]:
            return await asyncio.gather(
                *(
                    accepting.submit(
                        self.owner.ledger,
                        self.owner.context,
                        make_request(name),
                        WAIT_MS,
                    )
                    for name in names
                )
            )

        answers = self.run(submit_all())
        for name, outcome in zip(names, answers, strict=True):
            self.note_submit(name, outcome)

    @stateful.rule(name=NAMES)
    def submit_to_old_owner(self, name: str) -> None:
        """Submits to an owner that may not know that it lost the partition."""
        if not self.old:
            return
        outcome = self.submit_to(self.old[-1], name)
        if isinstance(outcome, outcomes.Accepted):
            assert None not in self.worlds[f't/{name}']
        else:
            self.note_submit(name, outcome)

    @stateful.rule(name=NAMES)
    def cancel(self, name: str) -> None:
        """Cancels a request."""
        key = f't/{name}'
        ledger, context = self.owner.ledger, self.owner.context
        outcome = self.run(accepting.cancel(ledger, context, key, WAIT_MS))
        match outcome:
            case outcomes.Unknown():
                took_effect: bool | None = None
            case journals.Fenced():
                took_effect = False
            case outcomes.NotFound():
                assert None in self.worlds[key]
                took_effect = False
            case _:
                took_effect = True
        self.change(key, naive.cancel, took_effect)

    @stateful.rule(
        name=NAMES,
        news=strategies.lists(NEWS, min_size=1, max_size=2),
        is_late=strategies.booleans(),
    )
    def report(
        self,
        name: str,
        news: list[reports.Running | reports.Ended | reports.Returned],
        is_late: bool,
    ) -> None:
        """Reports news of the present attempt or of the one before.

        Only a request whose acceptance is known to be durable was ever sent to
        a fleet partition.
        """
        key = f't/{name}'
        entry = self.owner.ledger.entries.get(key)
        if entry is None:
            return
        attempt = max(0, entry.attempt - is_late)
        given = [
            reports.Report(key, attempt, partitions.FLEET, 1, one)
            for one in news
        ]

        async def take() -> bool | None:
            taking = reporting.take_reports(
                self.owner.ledger, self.owner.context, given
            )
            try:
                return await asyncio.wait_for(taking, WAIT_MS / 1_000)
            except TimeoutError:
                return None

        def follow(state: naive.State | None) -> naive.State | None:
            for one in news:
                state = naive.report(state, attempt, one)
            return state

        took_effect = self.run(take()) or None
        if took_effect is None and len(news) > 1:
            first = news[0]
            self.change(key, lambda s: naive.report(s, attempt, first), None)
        self.change(key, follow, took_effect)

    @stateful.rule()
    def take_snapshot(self) -> None:
        """Takes a snapshot."""
        self.run(snapshotting.take_snapshot(self.owner.snapshotter))

    @stateful.rule(name=NAMES)
    def submit_during_snapshot(self, name: str) -> None:
        """Has a segment written while a snapshot is being stored."""
        self.cell.objects.faults = ['down']

        async def do_both() -> object:
            snapshotter = self.owner.snapshotter
            taking = asyncio.create_task(
                snapshotting.take_snapshot(snapshotter)
            )
            req = make_request(name)
            ledger, context = self.owner.ledger, self.owner.context
            outcome = await accepting.submit(ledger, context, req, WAIT_MS)
            await taking
            return outcome

        self.note_submit(name, self.run(do_both()))

    @stateful.rule(is_crash=strategies.booleans())
    def take_over(self, is_crash: bool) -> None:
        """Has a new owner recover; the old one has died or was paused."""
        before = self.owner
        if is_crash:
            self.run(partitions.stop(before))
        else:
            self.old.append(before)
        self.cell.table.faults = []
        self.cell.objects.faults = []
        self.owner = self.run(partitions.take_over(self.cell))
        for key, allowed in self.worlds.items():
            found = naive.observe(self.owner.ledger.entries.get(key))
            assert found in allowed, (found, allowed)
            self.worlds[key] = {found}

    @stateful.invariant()
    def compare(self) -> None:
        """Compares what a recovery would find now."""
        ledger = partitions.acquire(partitions.Cell())
        faults = self.cell.table.faults
        self.cell.table.faults = []
        work = recovery.recover(ledger, partitions.make_store(self.cell))
        recovered = self.run(work)
        self.cell.table.faults = faults
        assert isinstance(recovered, recovery.Recovered), recovered
        for key, allowed in self.worlds.items():
            found = naive.observe(ledger.entries.get(key))
            assert found in allowed, (key, found, allowed)

    def teardown(self) -> None:
        """Ends the writers."""
        for owner in (*self.old, self.owner):
            self.run(partitions.stop(owner))
        self.loop.close()


Comparison.TestCase.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=120,
    stateful_step_count=40,
    suppress_health_check=list(hypothesis.HealthCheck),
)
test_ledger_against_naive = Comparison.TestCase
