"""Questions about the steps of accepted requests."""

from collections.abc import Iterable
import dataclasses

from nutmegknot._internal.audit import histories
from nutmegknot._internal.backing import tables
from nutmegknot._internal.ledger import recovery
from nutmegknot._internal.ledger import segments
from nutmegknot._internal.models import records
from nutmegknot._internal.utils import hashing


@dataclasses.dataclass(slots=True, frozen=True)
class Selection:
    """Which steps are asked for; all that is set must hold.

    Attributes:
      request_key: One request, 'TEAM/ID', or '' for all.
      team: One team, or '' for all.
      from_ms: Earliest wall clock instant in ms.
      until_ms: Instant in ms before which a step was taken; 0 for no bound.
    """

    request_key: str = ''
    team: str = ''
    from_ms: int = 0
    until_ms: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Step:
    """A step of a request, and where it is kept.

    Attributes:
      partition: The ledger partition.
      sequence: Number of the segment.
      epoch: Epoch of the partition's owner.
      record: The step.
    """

    partition: str
    sequence: int
    epoch: int
    record: records.Record


@dataclasses.dataclass(slots=True, frozen=True)
class Found:
    """The answer to a question.

    Attributes:
      steps: The steps in the order of their instants.
      is_complete: False if older steps were left out, as there were too many.
    """

    steps: list[Step]
    is_complete: bool


# Clocks of instances may differ by so much; a part older than that is skipped.
CLOCK_TOLERANCE_MS = 60_000


def list_partitions(selection: Selection, count: int) -> list[str]:
    """Returns the ledger partitions that can hold what is asked for.

    Args:
      selection: What is asked for.
      count: Ledger partitions of the cell.
    """
    if selection.request_key:
        return [hashing.choose_ledger(selection.request_key, count)]
    return [f'ledger-{number}' for number in range(count)]


async def query(
    store: recovery.Store,
    partitions: Iterable[str],
    selection: Selection,
    most: int,
) -> Found | segments.Damaged | tables.Unavailable:
    """Finds the steps that a selection asks for.

    Args:
      store: The platform's services.
      partitions: Ledger partitions to look in, as list_partitions gives them.
      selection: What is asked for.
      most: The most steps to return; the newest ones of each partition.
    """
    steps: list[Step] = []
    is_complete = True
    for partition in partitions:
        found = await _query_partition(store, partition, selection, most)
        if not isinstance(found, Found):
            return found
        steps += found.steps
        is_complete &= found.is_complete
    steps.sort(key=lambda step: step.record.at_ms)
    is_complete &= len(steps) <= most
    return Found(steps[-most:], is_complete)


async def _query_partition(
    store: recovery.Store, partition: str, selection: Selection, most: int
) -> Found | segments.Damaged | tables.Unavailable:
    steps: list[Step] = []
    async for part in histories.read_parts(partition, store):
        if not isinstance(part, histories.Part):
            return part
        steps = _select(partition, part, selection) + steps
        if len(steps) > most:
            return Found(steps[-most:], False)
        if _is_before(part, selection.from_ms):
            break
        if _has_acceptance(steps, selection):
            break
    return Found(steps, True)


def _select(
    partition: str, part: histories.Part, selection: Selection
) -> list[Step]:
    return [
        Step(partition, segment.link.sequence, segment.epoch, record)
        for segment in part.segments
        for record in segment.records
        if _is_selected(record, selection)
    ]


def _is_selected(record: records.Record, selection: Selection) -> bool:
    key = record.request_key
    if selection.request_key and key != selection.request_key:
        return False
    if selection.team and key.partition('/')[0] != selection.team:
        return False
    if record.at_ms < selection.from_ms:
        return False
    return not selection.until_ms or record.at_ms < selection.until_ms


def _is_before(part: histories.Part, from_ms: int) -> bool:
    """Tells whether all parts before this one are too old."""
    if not part.segments:
        return False
    newest_ms = max(r.at_ms for s in part.segments for r in s.records)
    return newest_ms + CLOCK_TOLERANCE_MS < from_ms


def _has_acceptance(steps: list[Step], selection: Selection) -> bool:
    """Tells whether a request's first step has been found.

    A key whose outcome was forgotten can be accepted again. A selection with a
    time from which on steps are asked for finds all such lives of it.
    """
    if not selection.request_key or selection.from_ms:
        return False
    return any(isinstance(step.record.step, records.Accept) for step in steps)
