"""Compares the ledger with a simple model under faults and changes of owner.

For each request the test keeps the set of states that the answers so far allow.
If an answer says whether an operation took effect, each state in the set is
changed or kept accordingly. If the answer leaves that open, the set contains
both the changed and the unchanged states. The state that recovery finds must be
in the set.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
from lib import fakes
from lib import ledger_partitions
from lib import makers
from lib import reference_ledger
from lib import virtual_time

from nutmegknot._internal.ledger import journals
from nutmegknot._internal.ledger import recovery
from nutmegknot._internal.ledger import report_processing
from nutmegknot._internal.ledger import request_operations
from nutmegknot._internal.ledger import snapshot_creation
from nutmegknot._internal.models import outcomes
from nutmegknot._internal.models import reports
from nutmegknot._internal.models import requests

# Time limit of a call in ms.
WAIT_MS = 300
# Time limit in ms of a call without faults. It exceeds the longest backoff of
# the writer, which may still wait after an outage.
FAULT_FREE_WAIT_MS = 5_000
NAMES = strategies.sampled_from(['a', 'b', 'c', 'd'])
FAULTS = strategies.lists(
    strategies.sampled_from(['down', 'lost', 'late', '']), max_size=6
)
UPDATES = strategies.sampled_from(
    [
        reports.Running(('worker-0',)),
        reports.Running(('worker-1',)),
        reports.Ended(outcomes.Finished((b'answer',))),
        reports.Returned('failed', 'exit 1', may_have_run=True),
        reports.Returned('stopped', 'preempted', may_have_run=True),
        reports.Returned('handover', '', may_have_run=False),
    ]
)

Change = Callable[
    [reference_ledger.State | None], reference_ledger.State | None
]


def make_request(name: str) -> requests.Request:
    return makers.make_request(name, repeatable=name in 'ab')


class Comparison(stateful.RuleBasedStateMachine):
    """Runs the same operations on the ledger and on the model."""

    def __init__(self) -> None:
        """Starts with an empty partition and its first owner."""
        super().__init__()
        self.loop = virtual_time.VirtualLoop()
        self.cell = ledger_partitions.Environment()
        self.allowed_states: dict[str, set[reference_ledger.State | None]] = {
            f't/{name}': {None} for name in 'abcd'
        }
        self.old_owners: list[ledger_partitions.PartitionOwner] = []
        self.owner = self.run(ledger_partitions.take_over(self.cell))

    def run(self, work: Coroutine[Any, Any, Any]) -> Any:  # noqa: ANN401
        """Runs a coroutine to its end in virtual time."""
        return self.loop.run_until_complete(work)

    def record_change(
        self, key: str, change: Change, took_effect: object
    ) -> None:
        """Updates the allowed states of a request after an operation.

        Args:
          key: The request key.
          change: The effect of the operation in the model.
          took_effect: Whether it took effect; None if that is not known.
        """
        changed = {change(state) for state in self.allowed_states[key]}
        if took_effect is None:
            self.allowed_states[key] |= changed
        elif took_effect:
            self.allowed_states[key] = changed

    def record_submit(self, name: str, outcome: object) -> None:
        """Updates the allowed states after the answer to a submission."""
        match outcome:
            case outcomes.Accepted():
                took_effect: bool | None = True
            case outcomes.Refused() | journals.Fenced():
                took_effect = False
            case _:
                assert isinstance(outcome, outcomes.Unknown), outcome
                took_effect = None
        req = make_request(name)
        self.record_change(
            f't/{name}',
            lambda state: reference_ledger.submit(state, req),
            took_effect,
        )

    def submit_to(
        self,
        owner: ledger_partitions.PartitionOwner,
        name: str,
        wait_ms: int = WAIT_MS,
    ) -> object:
        """Submits a request to an owner of the ledger partition."""
        req = make_request(name)
        return self.run(
            request_operations.submit(owner.ledger, owner.context, req, wait_ms)
        )

    @stateful.rule(faults=FAULTS)
    def add_table_faults(self, faults: list[str]) -> None:
        """Lets the next calls to the table fail or lose their answers."""
        self.cell.table.faults = list(faults)

    @stateful.rule(faults=FAULTS)
    def add_object_faults(self, faults: list[str]) -> None:
        """Lets the next object store calls fail or lose their answers."""
        self.cell.objects.faults = list(faults)

    @stateful.rule()
    def apply_delayed_writes(self) -> None:
        """Applies the delayed writes whose answers were lost."""
        fakes.apply_late(self.cell.table)

    @stateful.rule(first=strategies.sampled_from(['down', 'lost', 'late']))
    def start_table_outage(self, first: str) -> None:
        """Lets the table service fail for longer than any caller waits."""
        self.cell.table.faults = [first] + ['down'] * 40

    @stateful.rule(name=NAMES)
    def submit_without_faults(self, name: str) -> None:
        """Submits a request while nothing fails; it must be accepted."""
        self.cell.table.faults = []
        outcome = self.submit_to(self.owner, name, FAULT_FREE_WAIT_MS)
        assert outcome == outcomes.Accepted(f't/{name}')
        self.record_submit(name, outcome)

    @stateful.rule(name=NAMES)
    def submit(self, name: str) -> None:
        """Submits a request."""
        self.record_submit(name, self.submit_to(self.owner, name))

    @stateful.rule(names=strategies.lists(NAMES, min_size=2, max_size=4))
    def submit_together(self, names: list[str]) -> None:
        """Submits requests at the same time; some may be copies of others."""

        async def submit_all() -> list[object]:
            return await asyncio.gather(
                *(
                    request_operations.submit(
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
            self.record_submit(name, outcome)

    @stateful.rule(name=NAMES)
    def submit_to_old_owner(self, name: str) -> None:
        """Submits to an earlier owner, which may not know of the new one."""
        if not self.old_owners:
            return
        outcome = self.submit_to(self.old_owners[-1], name)
        if isinstance(outcome, outcomes.Accepted):
            assert None not in self.allowed_states[f't/{name}']
        else:
            self.record_submit(name, outcome)

    @stateful.rule(name=NAMES)
    def cancel(self, name: str) -> None:
        """Cancels a request."""
        key = f't/{name}'
        ledger, context = self.owner.ledger, self.owner.context
        outcome = self.run(
            request_operations.cancel(ledger, context, key, WAIT_MS)
        )
        match outcome:
            case outcomes.Unknown():
                took_effect: bool | None = None
            case journals.Fenced():
                took_effect = False
            case outcomes.NotFound():
                assert None in self.allowed_states[key]
                took_effect = False
            case _:
                took_effect = True
        self.record_change(key, reference_ledger.cancel, took_effect)

    @stateful.rule(
        name=NAMES,
        updates=strategies.lists(UPDATES, min_size=1, max_size=2),
        is_late=strategies.booleans(),
    )
    def report(
        self,
        name: str,
        updates: list[reports.Running | reports.Ended | reports.Returned],
        is_late: bool,
    ) -> None:
        """Reports updates about the current or the previous attempt.

        Requests without an entry are left out: only requests whose acceptance
        is durable are sent to a fleet partition.
        """
        key = f't/{name}'
        entry = self.owner.ledger.entries.get(key)
        if entry is None:
            return
        attempt = max(0, entry.attempt - is_late)
        received = [
            reports.Report(
                key, attempt, ledger_partitions.FLEET_PARTITION, 1, update
            )
            for update in updates
        ]

        async def take() -> bool | None:
            taking = report_processing.process_reports(
                self.owner.ledger, self.owner.context, received
            )
            try:
                return await asyncio.wait_for(taking, WAIT_MS / 1_000)
            except TimeoutError:
                return None

        def apply_updates(
            state: reference_ledger.State | None,
        ) -> reference_ledger.State | None:
            for update in updates:
                state = reference_ledger.report(state, attempt, update)
            return state

        took_effect = self.run(take()) or None
        if took_effect is None and len(updates) > 1:
            first = updates[0]
            self.record_change(
                key, lambda s: reference_ledger.report(s, attempt, first), None
            )
        self.record_change(key, apply_updates, took_effect)

    @stateful.rule()
    def take_snapshot(self) -> None:
        """Takes a snapshot."""
        self.run(snapshot_creation.take_snapshot(self.owner.snapshotter))

    @stateful.rule(name=NAMES)
    def submit_during_snapshot(self, name: str) -> None:
        """Lets a segment be written while a snapshot is being stored."""
        self.cell.objects.faults = ['down']

        async def do_both() -> object:
            snapshotter = self.owner.snapshotter
            taking = asyncio.create_task(
                snapshot_creation.take_snapshot(snapshotter)
            )
            req = make_request(name)
            ledger, context = self.owner.ledger, self.owner.context
            outcome = await request_operations.submit(
                ledger, context, req, WAIT_MS
            )
            await taking
            return outcome

        self.record_submit(name, self.run(do_both()))

    @stateful.rule(is_crash=strategies.booleans())
    def take_over(self, is_crash: bool) -> None:
        """Lets a new owner recover after a crash or a pause of the old one."""
        old_owner = self.owner
        if is_crash:
            self.run(ledger_partitions.stop(old_owner))
        else:
            self.old_owners.append(old_owner)
        self.cell.table.faults = []
        self.cell.objects.faults = []
        self.owner = self.run(ledger_partitions.take_over(self.cell))
        for key, allowed in self.allowed_states.items():
            found = reference_ledger.observe(self.owner.ledger.entries.get(key))
            assert found in allowed, (found, allowed)
            self.allowed_states[key] = {found}

    @stateful.invariant()
    def compare(self) -> None:
        """Checks the state that a recovery would find now."""
        ledger = ledger_partitions.acquire(ledger_partitions.Environment())
        faults = self.cell.table.faults
        self.cell.table.faults = []
        work = recovery.recover(ledger, ledger_partitions.make_store(self.cell))
        recovered = self.run(work)
        self.cell.table.faults = faults
        assert isinstance(recovered, recovery.Recovered), recovered
        for key, allowed in self.allowed_states.items():
            found = reference_ledger.observe(ledger.entries.get(key))
            assert found in allowed, (key, found, allowed)

    def teardown(self) -> None:
        """Stops the writers of all owners."""
        for owner in (*self.old_owners, self.owner):
            self.run(ledger_partitions.stop(owner))
        self.loop.close()


Comparison.TestCase.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=120,
    stateful_step_count=40,
    suppress_health_check=list(hypothesis.HealthCheck),
)
test_ledger_against_naive = Comparison.TestCase
