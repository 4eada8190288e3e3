"""Records of what ran where, and of broken promises."""

import dataclasses

from nutmegknot._internal.models import workers
from nutmegknot._internal.utils import clock as clock_lib
from nutmegknot_standins import control_pb2

# Time that a change has until it must be in force everywhere, in ms.
GRACE_MS = 3_000


@dataclasses.dataclass(slots=True)
class Book:
    """Records of all workers of one process.

    Attributes:
      clock: Source of time.
      records: Starts and ends, oldest first.
      violations: What broke a promise, or would have.
      running: Live runs by request and member.
      once: Requests and members that were marked not repeatable and started.
      closed: Wall clock instant in ms since when a failure domain is closed.
      checkpoints: Work done in ms by name of the checkpoint.
    """

    clock: clock_lib.Clock
    records: list[control_pb2.Record] = dataclasses.field(default_factory=list)
    violations: list[control_pb2.Violation] = dataclasses.field(
        default_factory=list
    )
    running: dict[tuple[str, int], int] = dataclasses.field(
        default_factory=dict
    )
    once: set[tuple[str, int]] = dataclasses.field(default_factory=set)
    closed: dict[str, int] = dataclasses.field(default_factory=dict)
    checkpoints: dict[str, int] = dataclasses.field(default_factory=dict)


def change_domain(book: Book, change: control_pb2.DomainChange) -> None:
    """Takes note that operators have closed or opened a failure domain."""
    if change.closed:
        book.closed.setdefault(change.domain, book.clock.wall_ms())
    else:
        book.closed.pop(change.domain, None)


def add_start(
    book: Book,
    worker: workers.Worker,
    entry: workers.InventoryEntry,
    is_once: bool,
) -> None:
    """Records a start and judges it."""
    member = _get_member(entry)
    kinds = control_pb2.ViolationKind
    if book.running.get(member):
        add_violation(book, kinds.VIOLATION_KIND_TWO_PLACES, worker, entry.task)
    if is_once and member in book.once:
        add_violation(book, kinds.VIOLATION_KIND_RUN_TWICE, worker, entry.task)
    closed_ms = book.closed.get(worker.domain)
    if closed_ms and book.clock.wall_ms() > closed_ms + GRACE_MS:
        kind = kinds.VIOLATION_KIND_CLOSED_DOMAIN
        add_violation(book, kind, worker, entry.task)
    if is_once:
        book.once.add(member)
    book.running[member] = book.running.get(member, 0) + 1
    _add(book, worker, entry, 'start')


def add_end(
    book: Book, worker: workers.Worker, entry: workers.InventoryEntry
) -> None:
    """Records the end of a run; one that still runs was lost."""
    member = _get_member(entry)
    book.running[member] -= 1
    if not book.running[member]:
        del book.running[member]
    is_lost = entry.state is workers.TaskState.RUNNING
    _add(book, worker, entry, 'lost' if is_lost else entry.state.value)


def add_violation(
    book: Book,
    kind: control_pb2.ViolationKind,
    worker: workers.Worker,
    task: workers.TaskId | None = None,
) -> None:
    """Records what breaks a promise, or would if it were obeyed."""
    book.violations.append(
        control_pb2.Violation(
            at_ms=book.clock.wall_ms(),
            kind=kind,
            worker=worker.id,
            task=workers.format_task(task) if task else '',
        )
    )


def _get_member(entry: workers.InventoryEntry) -> tuple[str, int]:
    return (entry.task.request_key, entry.task.member)


def _add(
    book: Book,
    worker: workers.Worker,
    entry: workers.InventoryEntry,
    event: str,
) -> None:
    book.records.append(
        control_pb2.Record(
            at_ms=book.clock.wall_ms(),
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
