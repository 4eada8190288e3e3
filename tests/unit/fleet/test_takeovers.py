"""Random test of ownership changes of one fleet partition.

Earlier owners go on acting as they don't know of the change, answers get lost,
workers are cut off and time passes. The stand-ins of the workers record
violations: a task that runs in two places, a non-repeatable request that runs
twice, and a worker that is given more than its capacity.
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
from lib import worker_connections

from nutmegknot._internal.backing import tables
from nutmegknot._internal.decisions import scheduling
from nutmegknot._internal.fleet import assigned_requests
from nutmegknot._internal.fleet import contexts
from nutmegknot._internal.fleet import fleets
from nutmegknot._internal.fleet import scheduling_loop
from nutmegknot._internal.fleet import sessions
from nutmegknot._internal.fleet import start_requests
from nutmegknot._internal.ledger import start_permissions
from nutmegknot._internal.models import cells
from nutmegknot._internal.models import partitions
from nutmegknot._internal.models import reports
from nutmegknot._internal.models import requests
from nutmegknot._internal.models import workers
from nutmegknot._internal.schema import settings_pb2
from nutmegknot._internal.utils import clock
from nutmegknot_standins import machines
from nutmegknot_standins import run_history

NAMES = ['w0', 'w1', 'w2']
LEASE_MS = 1000
START_MS = 100
DRIFT_MS = 10
POLL_MS = 100


@dataclasses.dataclass(slots=True)
class LedgerEntry:
    """A request in the simple model of a ledger partition.

    Attributes:
      req: The request.
      epoch: Epoch of the fleet partition at its assignment.
      attempt: Number of the current attempt.
      ended: Whether it has its final outcome.
      start_permitted: Whether the ledger has permitted its start.
    """

    req: requests.Request
    epoch: int
    attempt: int = 0
    ended: bool = False
    start_permitted: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Step:
    """One step of the simulation, drawn at random.

    Attributes:
      name: Name of the step, a key of STEPS.
      owner: 0 for the current owner, otherwise how many owners before it.
      number: Selects a worker, several workers or a duration, by step.
      flag: Selects one of two variants, by step.
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


class Simulation:
    """All owners of the partition, the workers, and a model of the ledger."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.manual = clock.ManualTime(1_000_000)
        self.clock = clock.make_manual_clock(self.manual)
        self.history = run_history.RunHistory(self.clock)
        self.connections = {
            name: worker_connections.FaultyConnection(
                machines.Machine(
                    makers.make_worker(name), self.clock, self.history
                )
            )
            for name in NAMES
        }
        self.entries: dict[str, LedgerEntry] = {}
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
            request_starts=self.permit,
            send_reports=accept,
        )

    async def permit(
        self, ledger: str, wanted: list[start_permissions.StartRequest]
    ) -> set[str]:
        permitted = set()
        for one in wanted:
            entry = self.entries[one.request_key]
            is_current = (entry.attempt, entry.epoch) == (
                one.attempt,
                one.fleet_epoch,
            )
            if is_current and not entry.ended:
                entry.start_permitted = True
                permitted.add(one.request_key)
        return permitted

    def begin(self, number: int) -> None:
        """Requests permission for the pending starts of an owner."""
        fleet = self.pick(number)
        for ledger, pending_starts in fleet.pending_starts.items():
            self.run(
                start_requests.request_starts(
                    fleet, self.context, ledger, pending_starts
                )
            )

    def run(self, work: object) -> None:
        async def run_and_settle() -> None:
            await work  # type: ignore[misc]
            await asyncio.sleep(0)

        self.loop.run_until_complete(run_and_settle())

    def close(self) -> None:
        self.loop.close()

    def pick(self, number: int) -> fleets.Fleet:
        """Returns the current owner for 0, or the owner that many before it."""
        return self.owners[-1 - min(number, len(self.owners) - 1)]

    def take_over(self) -> None:
        """Adds a new owner; earlier ones go on acting."""
        epoch = len(self.owners) + 1
        sched = scheduling.Scheduler('d', cells.Configuration())
        fleet = fleets.Fleet('fleet-d-0', epoch, 'd', 0, sched, listed=True)
        now_ms = self.manual.at_ms
        for name in NAMES:
            fleet.sessions[name] = fleets.Session(
                makers.make_worker(name),
                worker_connections.connect(self.connections[name]),
                renewed_ms=now_ms,
                last_answer_ms=now_ms,
            )
        self.owners.append(fleet)
        for entry in self.entries.values():
            if entry.ended:
                continue
            if not entry.req.repeatable and not entry.start_permitted:
                entry.attempt += 1
                entry.epoch = epoch
            self.assign(entry)
        fleet.complete_ledgers = {'ledger-0'}

    def assign(self, entry: LedgerEntry) -> None:
        assignment = partitions.Assignment(
            entry.req,
            'ledger-0',
            'fleet-d-0',
            entry.epoch,
            entry.attempt,
            1,
        )
        assigned_requests.add_assignment(self.owners[-1], assignment)

    def submit(self, repeatable: bool, members: int) -> None:
        name = f'r{len(self.entries)}'
        req = makers.make_request(
            name,
            repeatable=repeatable,
            members=members,
            payload=json.dumps({'once': not repeatable}).encode(),
        )
        entry = LedgerEntry(req, len(self.owners))
        self.entries[f't/{name}'] = entry
        self.assign(entry)

    def hear(self, number: int, names: set[str]) -> None:
        """Polls workers, or claims those that are not claimed yet."""
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
        """Runs each activity of the current owner once."""
        self.hear(0, names)
        self.dispatch(0)
        self.begin(0)
        for name in sorted(names):
            self.send(0, name)

    def send(self, number: int, name: str) -> None:
        """Sends the queued starts and stops of an owner to a worker."""
        fleet = self.pick(number)
        session = fleet.sessions.get(name)
        if session is None:
            return
        if session.unsent_starts:
            self.run(sessions.send_starts(fleet, self.context, session))
        if session.unsent_stops:
            self.run(sessions.send_stops(fleet, self.context, session))

    def dispatch(self, number: int) -> None:
        fleet = self.pick(number)
        scheduling_loop.remove_lost_workers(fleet, self.context)
        assigned_requests.resolve_inherited_requests(fleet)
        assigned_requests.stop_orphans(fleet, 1)
        scheduling_loop.run_scheduling_pass(fleet, self.context)

    def change_wire(self, name: str, fault: str) -> None:
        self.connections[name].fault = fault

    def end_task(self, name: str, state: workers.TaskState) -> None:
        machine = self.connections[name].machine
        for text in list(machines.list_running(machine))[:1]:
            machines.end_task(machine, text, state)

    def pass_time(self, step_ms: int) -> None:
        self.manual.at_ms += step_ms
        for connection in self.connections.values():
            machines.stop_expired_tasks(connection.machine)

    def report(self, number: int) -> None:
        """Delivers the reports of an owner to the model of the ledger."""
        fleet = self.pick(number)
        for outbox in fleet.outboxes.values():
            for report in outbox.unsent_reports:
                self.take_report(report)
                if not isinstance(report.update, reports.Running):
                    assigned_requests.forget(fleet, report, self.manual.at_ms)
            outbox.unsent_reports.clear()

    def take_report(self, report: reports.Report) -> None:
        entry = self.entries[report.request_key]
        is_stale = report.fleet_epoch != len(self.owners)
        if entry.ended or is_stale or report.attempt != entry.attempt:
            return
        if isinstance(report.update, reports.Ended):
            entry.ended = True
        elif isinstance(report.update, reports.Returned):
            if report.update.may_have_run and not entry.req.repeatable:
                entry.ended = True
                return
            entry.attempt += 1
            entry.epoch = len(self.owners)
            entry.start_permitted = False
            self.assign(entry)


def choose_names(step: Step) -> set[str]:
    """Returns the workers whose bit is set in the number of a step."""
    return {name for bit, name in enumerate(NAMES) if step.number >> bit & 1}


STEP_MS = (30, 150, 700, 2000)
FAULTS = ('', '', 'cut', 'deaf')
ENDS = (workers.TaskState.FINISHED, workers.TaskState.FAILED)

# What each step does, by its name.
STEPS: dict[str, Callable[[Simulation, Step], None]] = {
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
# Steps to draw from; a step is drawn as often as it is listed.
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
def test_workers_observe_no_violation(steps: list[Step]) -> None:
    simulation = Simulation()
    try:
        for step in steps:
            STEPS[step.name](simulation, step)
            assert list(simulation.history.violations) == []
    finally:
        simulation.close()
