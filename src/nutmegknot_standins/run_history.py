"""History of task runs on the simulated workers.

Tests check it for violations of the scheduler's guarantees, such as a task that
runs on two workers at once.
"""

import dataclasses

from nutmegknot._internal.models import workers
from nutmegknot._internal.utils import clock as clock_lib
from nutmegknot_standins import control_pb2

# A change must be in force in all instances within this time. Starts on a
# closed failure domain or a leaving worker count as violations only after it.
CHANGE_GRACE_MS = 3_000


@dataclasses.dataclass(slots=True)
class RunHistory:
    """Task runs and violations of all simulated workers.

    Attributes:
      clock: Source of time.
      records: Starts and ends of task runs, oldest first.
      violations: Guarantees that were broken, and refused starts that would
        have broken one.
      running: Number of running tasks by request key and member number.
      started_non_repeatable: Request key and member number of each started
        task that must not start a second time.
      domains_closed_ms: Wall clock time in ms at which each closed failure
        domain was closed.
      checkpoints: Run time in ms that each checkpoint has saved, by name.
    """

    clock: clock_lib.Clock
    records: list[control_pb2.Record] = dataclasses.field(default_factory=list)
    violations: list[control_pb2.Violation] = dataclasses.field(
        default_factory=list
    )
    running: dict[tuple[str, int], int] = dataclasses.field(
        default_factory=dict
    )
    started_non_repeatable: set[tuple[str, int]] = dataclasses.field(
        default_factory=set
    )
    domains_closed_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    checkpoints: dict[str, int] = dataclasses.field(default_factory=dict)


def change_domain(
    history: RunHistory, change: control_pb2.DomainChange
) -> None:
    """Records that operators have closed or opened a failure domain."""
    if change.closed:
        history.domains_closed_ms.setdefault(
            change.domain, history.clock.wall_ms()
        )
    else:
        history.domains_closed_ms.pop(change.domain, None)


def add_start(
    history: RunHistory,
    worker: workers.Worker,
    entry: workers.InventoryEntry,
    is_once: bool,
) -> None:
    """Records the start of a task and any violations that it causes."""
    member = _get_member(entry)
    kinds = control_pb2.ViolationKind
    if history.running.get(member):
        add_violation(
            history, kinds.VIOLATION_KIND_TWO_PLACES, worker, entry.task
        )
    if is_once and member in history.started_non_repeatable:
        add_violation(
            history, kinds.VIOLATION_KIND_RUN_TWICE, worker, entry.task
        )
    closed_ms = history.domains_closed_ms.get(worker.domain)
    if closed_ms and history.clock.wall_ms() > closed_ms + CHANGE_GRACE_MS:
        kind = kinds.VIOLATION_KIND_CLOSED_DOMAIN
        add_violation(history, kind, worker, entry.task)
    if is_once:
        history.started_non_repeatable.add(member)
    history.running[member] = history.running.get(member, 0) + 1
    _add(history, worker, entry, 'start')


def add_end(
    history: RunHistory, worker: workers.Worker, entry: workers.InventoryEntry
) -> None:
    """Records the end of a task run.

    An entry whose state is still RUNNING is recorded as lost: its worker was
    killed, removed or rebooted.
    """
    member = _get_member(entry)
    history.running[member] -= 1
    if not history.running[member]:
        del history.running[member]
    is_lost = entry.state is workers.TaskState.RUNNING
    _add(history, worker, entry, 'lost' if is_lost else entry.state.value)


def add_violation(
    history: RunHistory,
    kind: control_pb2.ViolationKind,
    worker: workers.Worker,
    task: workers.TaskId | None = None,
) -> None:
    """Records a broken guarantee, or a refused call that would break one."""
    history.violations.append(
        control_pb2.Violation(
            at_ms=history.clock.wall_ms(),
            kind=kind,
            worker=worker.id,
            task=workers.format_task(task) if task else '',
        )
    )


def _get_member(entry: workers.InventoryEntry) -> tuple[str, int]:
    return (entry.task.request_key, entry.task.member)


def _add(
    history: RunHistory,
    worker: workers.Worker,
    entry: workers.InventoryEntry,
    event: str,
) -> None:
    history.records.append(
        control_pb2.Record(
            at_ms=history.clock.wall_ms(),
            worker=worker.id,
            domain=worker.domain,
            task=workers.format_task(entry.task),
            request=entry.task.request_key,
            team=entry.team,
            event=event,
            millicores=entry.size.millicores,
            memory_mib=entry.size.memory_mib,
            accelerators=entry.size.accelerators,
            slots=entry.size.slots,
        )
    )
