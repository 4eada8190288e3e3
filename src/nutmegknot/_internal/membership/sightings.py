"""Lease rows of all members, and when each was seen to change."""

from nutmegknot._internal.backing import tables
from nutmegknot._internal.membership import rows
from nutmegknot._internal.membership import views
from nutmegknot._internal.schema import settings_pb2


def get_lapse_ms(membership: settings_pb2.MembershipSettings) -> int:
    """Returns how long a row must stay unchanged for its lease to lapse.

    Neither a confirmation nor an answer of before its last writing may count
    for longer, whatever the settings say.
    """
    longest_ms = max(
        membership.lease_ms, membership.authority_ms, membership.answer_ms
    )
    return longest_ms + membership.drift_ms


def has_lapsed(
    view: views.View,
    instance: str,
    now_ms: int,
    membership: settings_pb2.MembershipSettings,
) -> bool:
    """Tells whether an instance's lease has lapsed.

    Its row's version has not changed for the length of a lease and the
    possible drift, or its row is gone.
    """
    sighting = view.members.get(instance)
    if sighting is None:
        return True
    return now_ms - sighting.since_ms > get_lapse_ms(membership)


def update(
    view: views.View,
    read: tables.Committed,
    now_ms: int,
    membership: settings_pb2.MembershipSettings,
) -> None:
    """Takes note of the lease rows that a renewal read."""
    for id, known in list(view.members.items()):
        row = read.rows.get(rows.get_member_key(id))
        if row is not None:
            view.members[id] = _see(row, known, now_ms, membership)
        elif id != view.me.id:
            del view.members[id]


def replace(
    view: views.View,
    found: list[tables.Row],
    now_ms: int,
    membership: settings_pb2.MembershipSettings,
) -> None:
    """Takes note of all lease rows."""
    seen = {}
    for row in found:
        id = row.key.removeprefix(rows.MEMBER_PREFIX)
        seen[id] = _see(row, view.members.get(id), now_ms, membership)
    view.members = seen


def _see(
    row: tables.Row,
    known: views.Sighting | None,
    now_ms: int,
    membership: settings_pb2.MembershipSettings,
) -> views.Sighting:
    member, others = rows.decode_member(row)
    if known is None:
        return views.Sighting(member, row.version, others, now_ms, now_ms)
    if known.version == row.version:
        return known
    is_back = now_ms - known.since_ms > get_lapse_ms(membership)
    joined_ms = now_ms if is_back else known.joined_ms
    return views.Sighting(member, row.version, others, now_ms, joined_ms)
