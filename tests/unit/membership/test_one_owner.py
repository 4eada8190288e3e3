"""Random test that at most one instance acts for a partition.

Several instances share a fake table service that fails, is slow, loses answers
or applies writes late. Instances join and pause. After each step the test
counts the instances that act for each partition.
"""

import asyncio

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
from lib import fakes
from lib import members

from nutmegknot._internal.membership import leases
from nutmegknot._internal.membership import partition_ownership
from nutmegknot._internal.membership import views
from nutmegknot._internal.utils import clock

MAX_NODES = 4
FAULTS = st.sampled_from(['', '', '', 'down', 'lost', 'late', 'slow'])
NUMBERS = st.integers(0, MAX_NODES - 1)
SLOW_MS = 1500


class OneOwner(stateful.RuleBasedStateMachine):
    """Random steps of up to four instances."""

    def __init__(self) -> None:
        """Starts with two instances that have divided the partitions."""
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.manual = clock.ManualTime()
        self.fake = fakes.FakeTable(before_slow_answer=self.spend)
        self.nodes: list[members.Node] = []
        self.pending_answers: list[
            tuple[members.Node, str, views.StoreStatus]
        ] = []
        self.join()
        self.join()
        self.run(members.run_steps(self.nodes, self.manual, 6, 700))

    def teardown(self) -> None:
        """Closes the loop."""
        self.loop.close()

    def run(self, work: object) -> None:
        """Runs a coroutine to its end."""
        self.loop.run_until_complete(work)  # type: ignore[arg-type]

    def spend(self) -> None:
        """Advances the time while an answer is delayed."""
        self.manual.at_ms += SLOW_MS

    def pick(self, number: int) -> members.Node:
        """Returns an instance."""
        return self.nodes[number % len(self.nodes)]

    @stateful.precondition(lambda self: len(self.nodes) < MAX_NODES)
    @stateful.rule()
    def join(self) -> None:
        """Adds an instance."""
        name = f'n{len(self.nodes)}'
        node = members.make_node(name, self.fake, self.manual)
        self.nodes.append(node)
        self.run(leases.renew(node.context))

    @stateful.rule(faults=st.lists(FAULTS, max_size=3), number=NUMBERS)
    def renew(self, faults: list[str], number: int) -> None:
        """Renews the lease of an instance."""
        self.fake.faults = faults
        self.run(leases.renew(self.pick(number).context))
        self.fake.faults = []

    @stateful.rule(faults=st.lists(FAULTS, max_size=3), number=NUMBERS)
    def move(self, faults: list[str], number: int) -> None:
        """Makes an instance acquire and hand over partitions."""
        self.fake.faults = faults
        self.run(members.move_partitions(self.pick(number)))
        self.fake.faults = []

    @stateful.rule(spent_ms=st.sampled_from([100, 700, 700, 2000, 3000]))
    def wait(self, spent_ms: int) -> None:
        """Advances the time while no instance runs."""
        self.manual.at_ms += spent_ms

    @stateful.rule(
        skipped=st.sets(NUMBERS, max_size=2),
        count=st.integers(1, 14),
        step_ms=st.sampled_from([250, 400, 700]),
        faults=st.lists(FAULTS, max_size=6),
        are_linked=st.booleans(),
    )
    def run_others(
        self,
        skipped: set[int],
        count: int,
        step_ms: int,
        faults: list[str],
        are_linked: bool,
    ) -> None:
        """Runs some instances while the others are paused."""
        self.fake.faults = faults
        for _ in range(count):
            for number, node in enumerate(self.nodes):
                if number in skipped:
                    continue
                self.run(leases.renew(node.context))
                self.run(members.move_partitions(node))
                self.check()
                if are_linked:
                    self.ask_others(node)
            self.manual.at_ms += step_ms
        self.fake.faults = []

    def ask_others(self, asking: members.Node) -> None:
        """Makes an instance ask all others; paused ones answer too.

        A paused instance takes no partition over, whatever it answers.
        """
        for node in self.nodes:
            if node is not asking:
                members.exchange_store_status(asking, node)
        self.check()

    @stateful.rule()
    def toggle_outage(self) -> None:
        """Begins or ends an outage of the table service."""
        self.fake.is_down = not self.fake.is_down

    @stateful.rule()
    def apply_late_writes(self) -> None:
        """Applies the writes that are still in flight."""
        fakes.apply_late(self.fake)

    @stateful.rule(asking=NUMBERS, asked=NUMBERS)
    def ask(self, asking: int, asked: int) -> None:
        """Asks another instance; its answer stays in flight."""
        one, other = self.pick(asking), self.pick(asked)
        if one is not other:
            reaches = other.context.view.store_reached_since_ms is not None
            answer = views.StoreStatus(self.manual.at_ms, reaches)
            self.pending_answers.append((one, other.context.view.me.id, answer))

    @stateful.rule()
    def answer(self) -> None:
        """Delivers the answers that are in flight."""
        answers, self.pending_answers = self.pending_answers, []
        for one, other, answer in answers:
            leases.record_store_status(one.context, other, answer)

    @stateful.invariant()
    def check(self) -> None:
        """Checks that at most one instance acts for each partition."""
        for name in partition_ownership.list_partitions(
            members.make_settings()
        ):
            acting = [n for n in self.nodes if members.acts_for(n, name)]
            assert len(acting) <= 1, name


OneOwner.TestCase.settings = hypothesis.settings(
    max_examples=40,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
    database=None,
)
test_one_owner = OneOwner.TestCase
