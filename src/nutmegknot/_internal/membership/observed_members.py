"""Lease rows of all members, and when each was last observed to change.

Expiry is determined by this instance's own clock: a lease has expired when its
row has been unchanged for long enough. Clocks of instances are not compared.
"""

from nutmegknot._internal.backing import tables
from nutmegknot._internal.membership import rows
from nutmegknot._internal.membership import views
from nutmegknot._internal.schema import settings_pb2


def get_expiry_delay_ms(membership: settings_pb2.MembershipSettings) -> int:
    """Returns how long a row must stay unchanged for its lease to expire.

    The member may act on a confirmation of its lease, or on an answer of
    another member, that it got before the row's last write. The time covers
    the validity of both, whatever the settings say.
    """
    longest_ms = max(
        membership.lease_ms, membership.authority_ms, membership.answer_ms
    )
    return longest_ms + membership.drift_ms


def has_expired(
    view: views.View,
    instance: str,
    now_ms: int,
    membership: settings_pb2.MembershipSettings,
) -> bool:
    """Returns whether an instance's lease has expired.

    This is so if its row is missing, or if the row's version has not changed
    for the time that get_expiry_delay_ms returns.
    """
    observed = view.members.get(instance)
    if observed is None:
        return True
    return now_ms - observed.unchanged_since_ms > get_expiry_delay_ms(
        membership
    )


def update(
    view: views.View,
    read: tables.Committed,
    now_ms: int,
    membership: settings_pb2.MembershipSettings,
) -> None:
    """Updates known members from the lease rows that a renewal read."""
    for id, previous in list(view.members.items()):
        row = read.rows.get(rows.get_member_key(id))
        if row is not None:
            view.members[id] = _observe(row, previous, now_ms, membership)
        elif id != view.me.id:
            del view.members[id]


def replace(
    view: views.View,
    found: list[tables.Row],
    now_ms: int,
    membership: settings_pb2.MembershipSettings,
) -> None:
    """Replaces the known members by a read of all lease rows."""
    seen = {}
    for row in found:
        id = row.key.removeprefix(rows.MEMBER_PREFIX)
        seen[id] = _observe(row, view.members.get(id), now_ms, membership)
    view.members = seen


def _observe(
    row: tables.Row,
    previous: views.ObservedMember | None,
    now_ms: int,
    membership: settings_pb2.MembershipSettings,
) -> views.ObservedMember:
    member, known_members = rows.decode_member(row)
    if previous is None:
        return views.ObservedMember(
            member, row.version, known_members, now_ms, now_ms
        )
    if previous.version == row.version:
        return previous
    is_back = now_ms - previous.unchanged_since_ms > get_expiry_delay_ms(
        membership
    )
    joined_ms = now_ms if is_back else previous.joined_ms
    return views.ObservedMember(
        member, row.version, known_members, now_ms, joined_ms
    )
