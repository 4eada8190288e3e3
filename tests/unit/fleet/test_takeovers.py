"""Owners of one fleet partition, old and new, against stand-in workers.

Old owners go on acting without knowing, answers get lost, workers are cut off
and time passes. The workers' own records judge: nothing runs in two places,
nothing non-repeatable runs twice, and no worker is given more than it has.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import json
import random

import hypothesis
from hypothesis import strategies
from lib import fakes
from lib import makers
from lib import targets

from nutmegknot._internal.backing import tables
from nutmegknot._internal.decisions import scheduling
from nutmegknot._internal.fleet import beginning as fleet_beginning
from nutmegknot._internal.fleet import contexts
from nutmegknot._internal.fleet import dispatching
from nutmegknot._internal.fleet import fleets
from nutmegknot._internal.fleet import jobs
from nutmegknot._internal.fleet import sessions
from nutmegknot._internal.ledger import beginning
from nutmegknot._internal.models import cells
from nutmegknot._internal.models import partitions
from nutmegknot._internal.models import reports
from nutmegknot._internal.models import requests
from nutmegknot._internal.models import workers
from nutmegknot._internal.schema import settings_pb2
from nutmegknot._internal.utils import clock as clock_lib
from nutmegknot_standins import books
from nutmegknot_standins import machines

NAMES = ['w0', 'w1', 'w2']
LEASE_MS = 1000
START_MS = 100
DRIFT_MS = 10
POLL_MS = 100


@dataclasses.dataclass(slots=True)
class Promise:
    """A request as a naive ledger keeps it.

    Attributes:
      req: The request.
      attempt: Number of the present attempt.
      epoch: Epoch of the fleet partition at its assignment.
      ended: Whether it has its final outcome.
      begun: Whether it may have been started.
    """

    req: requests.Request
    epoch: int
    attempt: int = 0
    ended: bool = False
    begun: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Step:
    """One drawn step.

    Attributes:
      name: What happens.
      owner: 0 for the present owner, otherwise one before it.
      number: Worker, workers or length, as the step needs.
      flag: A choice, as the step needs.
    """

    name: str
    owner: int
    number: int
    flag: bool


def make_settings() -> settings_pb2.Settings:
    settings = settings_pb2.Settings()
    settings.fleet.task_lease_ms = LEASE_MS
    settings.fleet.start_ms = START_MS
    settings.fleet.poll_ms = POLL_MS
    settings.membership.drift_ms = DRIFT_MS
    settings.cell.ledger_partitions = 1
    return settings


class Owners:
    """The system under test, and a naive ledger."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.manual = clock_lib.ManualTime(1_000_000)
        self.clock = clock_lib.make_manual_clock(self.manual)
        self.book = books.Book(self.clock)
        self.wires = {
            name: targets.Wire(
                machines.Machine(
                    makers.make_worker(name), self.clock, self.book
                )
            )
            for name in NAMES
        }
        self.promises: dict[str, Promise] = {}
        self.owners: list[fleets.Fleet] = []
        self.context = self.make_context()
        self.take_over()

    def make_context(self) -> contexts.Context:
        async def accept(*_: object) -> bool:
            return True

        return contexts.Context(
            clock=self.clock,
            rng=random.Random(1),
            settings=make_settings(),
            platform=None,  # type: ignore[arg-type]
            table=fakes.connect_table(fakes.FakeTable()),
            tasks=None,  # type: ignore[arg-type]
            get_fence=lambda: tables.Condition('owner', 1),
            may_act=lambda: True,
            begin=self.grant,
            send_reports=accept,
        )

    async def grant(
        self, ledger: str, asked: list[beginning.Beginning]
    ) -> set[str]:
        granted = set()
        for one in asked:
            promise = self.promises[one.request_key]
            is_present = (promise.attempt, promise.epoch) == (
                one.attempt,
                one.fleet_epoch,
            )
            if is_present and not promise.ended:
                promise.begun = True
                granted.add(one.request_key)
        return granted

    def begin(self, number: int) -> None:
        fleet = self.pick(number)
        for ledger, asking in fleet.asking.items():
            self.run(fleet_beginning.ask(fleet, self.context, ledger, asking))

    def run(self, work: object) -> None:
        async def run_and_settle() -> None:
            await work  # type: ignore[misc]
            await asyncio.sleep(0)

        self.loop.run_until_complete(run_and_settle())

    def close(self) -> None:
        self.loop.close()

    def pick(self, number: int) -> fleets.Fleet:
        """Returns the present owner for 0, and one before it otherwise."""
        return self.owners[-1 - min(number, len(self.owners) - 1)]

    def take_over(self) -> None:
        epoch = len(self.owners) + 1
        sched = scheduling.Scheduler('d', cells.Configuration())
        fleet = fleets.Fleet('fleet-d-0', epoch, 'd', 0, sched, listed=True)
        now_ms = self.manual.at_ms
        for name in NAMES:
            fleet.sessions[name] = fleets.Session(
                makers.make_worker(name),
                targets.connect(self.wires[name]),
                renewed_ms=now_ms,
                answered_ms=now_ms,
            )
        self.owners.append(fleet)
        for promise in self.promises.values():
            if promise.ended:
                continue
            if not promise.req.repeatable and not promise.begun:
                promise.attempt += 1
                promise.epoch = epoch
            self.assign(promise)
        fleet.complete = {'ledger-0'}

    def assign(self, promise: Promise) -> None:
        given = partitions.Assignment(
            promise.req,
            'ledger-0',
            'fleet-d-0',
            promise.epoch,
            promise.attempt,
            1,
        )
        jobs.take_assignment(self.owners[-1], given)

    def submit(self, repeatable: bool, members: int) -> None:
        name = f'r{len(self.promises)}'
        req = makers.make_request(
            name,
            repeatable=repeatable,
            members=members,
            payload=json.dumps({'once': not repeatable}).encode(),
        )
        promise = Promise(req, len(self.owners))
        self.promises[f't/{name}'] = promise
        self.assign(promise)

    def hear(self, number: int, names: set[str]) -> None:
        fleet = self.pick(number)
        for name in sorted(names):
            session = fleet.sessions.get(name)
            if session is None:
                continue
            if session.claimed:
                self.run(sessions.poll(fleet, self.context, session))
            else:
                self.run(sessions.claim(fleet, self.context, session))

    def work(self, names: set[str]) -> None:
        """A whole round of the present owner."""
        self.hear(0, names)
        self.dispatch(0)
        self.begin(0)
        for name in sorted(names):
            self.send(0, name)

    def send(self, number: int, name: str) -> None:
        fleet = self.pick(number)
        session = fleet.sessions.get(name)
        if session is None:
            return
        if session.starts:
            self.run(sessions.send_starts(fleet, self.context, session))
        if session.stops:
            self.run(sessions.send_stops(fleet, self.context, session))

    def dispatch(self, number: int) -> None:
        fleet = self.pick(number)
        dispatching.lose_lapsed(fleet, self.context)
        jobs.resolve_held(fleet)
        jobs.stop_orphans(fleet, 1)
        dispatching.dispatch(fleet, self.context)

    def change_wire(self, name: str, fault: str) -> None:
        self.wires[name].fault = fault

    def end_task(self, name: str, state: workers.TaskState) -> None:
        machine = self.wires[name].machine
        for text in list(machines.list_running(machine))[:1]:
            machines.end(machine, text, state)

    def pass_time(self, step_ms: int) -> None:
        self.manual.at_ms += step_ms
        for wire in self.wires.values():
            machines.stop_lapsed(wire.machine)

    def report(self, number: int) -> None:
        fleet = self.pick(number)
        for outbox in fleet.outboxes.values():
            for report in outbox.waiting:
                self.take_report(report)
                if not isinstance(report.news, reports.Running):
                    jobs.forget(fleet, report, self.manual.at_ms)
            outbox.waiting.clear()

    def take_report(self, report: reports.Report) -> None:
        promise = self.promises[report.request_key]
        is_stale = report.fleet_epoch != len(self.owners)
        if promise.ended or is_stale or report.attempt != promise.attempt:
            return
        if isinstance(report.news, reports.Ended):
            promise.ended = True
        elif isinstance(report.news, reports.Returned):
            if report.news.may_have_run and not promise.req.repeatable:
                promise.ended = True
                return
            promise.attempt += 1
            promise.epoch = len(self.owners)
            promise.begun = False
            self.assign(promise)


def choose_names(step: Step) -> set[str]:
    """Returns the workers whose bit is set in a step's number."""
    return {name for bit, name in enumerate(NAMES) if step.number >> bit & 1}


STEP_MS = (30, 150, 700, 2000)
FAULTS = ('', '', 'cut', 'deaf')
ENDS = (workers.TaskState.FINISHED, workers.TaskState.FAILED)

# Each step by its name; names that stand twice are drawn twice as often.
STEPS: dict[str, Callable[[Owners, Step], None]] = {
    'take_over': lambda o, s: o.take_over(),
    'submit': lambda o, s: o.submit(s.flag, 1 + (s.number == 7)),
    'hear': lambda o, s: o.hear(s.owner, choose_names(s)),
    'send': lambda o, s: o.send(s.owner, NAMES[s.number % 3]),
    'begin': lambda o, s: o.begin(s.owner),
    'dispatch': lambda o, s: o.dispatch(s.owner),
    'work': lambda o, s: o.work(set(NAMES)),
    'change_wire': lambda o, s: o.change_wire(
        NAMES[s.number % 3], FAULTS[s.number % 4]
    ),
    'end_task': lambda o, s: o.end_task(NAMES[s.number % 3], ENDS[s.flag]),
    'pass_time': lambda o, s: o.pass_time(STEP_MS[s.number % 4]),
    'report': lambda o, s: o.report(s.owner),
}
DRAWN = [*STEPS, 'submit', 'send', 'hear', 'work', 'work', 'work', 'report']

steps_drawn = strategies.builds(
    Step,
    strategies.sampled_from(DRAWN),
    strategies.integers(0, 2),
    strategies.integers(0, 7),
    strategies.booleans(),
)


@hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=100,
    phases=[hypothesis.Phase.explicit, hypothesis.Phase.generate],
    suppress_health_check=list(hypothesis.HealthCheck),
)
@hypothesis.given(strategies.lists(steps_drawn, min_size=60, max_size=120))
def test_workers_see_no_broken_promise(steps: list[Step]) -> None:
    owners = Owners()
    try:
        for step in steps:
            STEPS[step.name](owners, step)
            assert list(owners.book.violations) == []
    finally:
        owners.close()
