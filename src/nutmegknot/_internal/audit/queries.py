"""Finds recorded events of requests, such as acceptance, start and end.

The events are records in the journals of the ledger partitions.
"""

from collections.abc import Iterable
import dataclasses

from nutmegknot._internal.audit import histories
from nutmegknot._internal.backing import tables
from nutmegknot._internal.ledger import recovery
from nutmegknot._internal.ledger import segments
from nutmegknot._internal.models import records
from nutmegknot._internal.utils import hashing


@dataclasses.dataclass(slots=True, frozen=True)
class EventFilter:
    """Filter of events; an event must meet every condition that is set.

    Attributes:
      request_key: Key of a request, 'TEAM/ID', or '' for all requests.
      team: Name of a team, or '' for all teams.
      from_ms: Earliest time of an event, in ms since the Unix epoch.
      until_ms: Time in ms since the Unix epoch; only events before it are
        returned. 0 for no bound.
    """

    request_key: str = ''
    team: str = ''
    from_ms: int = 0
    until_ms: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class StoredEvent:
    """An event of a request, and the journal segment that holds it.

    Attributes:
      partition: The ledger partition.
      sequence: Number of the segment.
      epoch: Epoch of the owner that wrote the segment.
      record: The record of the event.
    """

    partition: str
    sequence: int
    epoch: int
    record: records.Record


@dataclasses.dataclass(slots=True, frozen=True)
class QueryResult:
    """Events that a query has found.

    Attributes:
      events: The events, oldest first.
      is_complete: False if older events are left out because more events
        match the filter than may be returned.
    """

    events: list[StoredEvent]
    is_complete: bool


# Assumed limit of the difference between the clocks of two instances. Events
# carry the wall clock of the instance that wrote them, so older segments are
# searched until their events are earlier than wanted by more than this.
CLOCK_TOLERANCE_MS = 60_000


def list_partitions(event_filter: EventFilter, count: int) -> list[str]:
    """Returns the names of the ledger partitions that can hold the events.

    Args:
      event_filter: Filter of the events.
      count: Number of ledger partitions of the cell.
    """
    if event_filter.request_key:
        return [hashing.choose_ledger(event_filter.request_key, count)]
    return [f'ledger-{number}' for number in range(count)]


async def find_events(
    store: recovery.Store,
    partitions: Iterable[str],
    event_filter: EventFilter,
    max_events: int,
) -> QueryResult | segments.Damaged | tables.Unavailable:
    """Finds the newest events that match a filter.

    Args:
      store: Table service and object store that keep the journals.
      partitions: Ledger partitions to search, as list_partitions returns them.
      event_filter: Filter of the events.
      max_events: Maximum number of events to return.

    Returns:
      The events, or why a partition's journal could not be read.
    """
    events: list[StoredEvent] = []
    is_complete = True
    for partition in partitions:
        result = await _query_partition(
            store, partition, event_filter, max_events
        )
        if not isinstance(result, QueryResult):
            return result
        events += result.events
        is_complete &= result.is_complete
    events.sort(key=lambda event: event.record.at_ms)
    is_complete &= len(events) <= max_events
    return QueryResult(events[-max_events:], is_complete)


async def _query_partition(
    store: recovery.Store,
    partition: str,
    event_filter: EventFilter,
    max_events: int,
) -> QueryResult | segments.Damaged | tables.Unavailable:
    events: list[StoredEvent] = []
    async for part in histories.read_parts(partition, store):
        if not isinstance(part, histories.HistoryPart):
            return part
        events = _list_selected(partition, part, event_filter) + events
        if len(events) > max_events:
            return QueryResult(events[-max_events:], False)
        if _ends_before(part, event_filter.from_ms):
            break
        if _has_acceptance(events, event_filter):
            break
    return QueryResult(events, True)


def _list_selected(
    partition: str, part: histories.HistoryPart, event_filter: EventFilter
) -> list[StoredEvent]:
    return [
        StoredEvent(
            partition, segment.end_position.sequence, segment.epoch, record
        )
        for segment in part.segments
        for record in segment.records
        if _is_selected(record, event_filter)
    ]


def _is_selected(record: records.Record, event_filter: EventFilter) -> bool:
    key = record.request_key
    if event_filter.request_key and key != event_filter.request_key:
        return False
    if event_filter.team and key.partition('/')[0] != event_filter.team:
        return False
    if record.at_ms < event_filter.from_ms:
        return False
    return not event_filter.until_ms or record.at_ms < event_filter.until_ms


def _ends_before(part: histories.HistoryPart, from_ms: int) -> bool:
    """Returns whether the newest event of a part is before a time.

    Then all older parts end before it too, even if the clocks of the instances
    that wrote them differ.

    Args:
      part: A part of the journal.
      from_ms: The time, in ms since the Unix epoch.
    """
    if not part.segments:
        return False
    newest_ms = max(r.at_ms for s in part.segments for r in s.records)
    return newest_ms + CLOCK_TOLERANCE_MS < from_ms


def _has_acceptance(
    events: list[StoredEvent], event_filter: EventFilter
) -> bool:
    """Returns whether the acceptance of the wanted request has been found.

    The acceptance is the first event of a request, so that no older part needs
    to be read. After the retention time a request key can be used again: then
    only the events of its latest use are found, unless the filter has a start
    time, with which all uses since then are found.
    """
    if not event_filter.request_key or event_filter.from_ms:
        return False
    return any(
        isinstance(event.record.event, records.Accept) for event in events
    )
