"""How long an instance has the authority to act for its partitions.

While the table service answers, a confirmation of the instance's lease and of
the configuration revision is valid for a short time. In an outage of the
service, authority is extended for as long as every member that could take over
answers that it can't reach the service either.
"""

from nutmegknot._internal.membership import observed_members
from nutmegknot._internal.membership import views
from nutmegknot._internal.schema import settings_pb2


def may_act(view: views.View, now_ms: int) -> bool:
    """Returns whether the instance has the authority to act now.

    Callers read the clock immediately before they act, and again after each
    wait that precedes an effect. A process that was paused past the end of its
    authority thus does nothing more.

    Args:
      view: What the instance knows of the cell.
      now_ms: Monotonic time in ms.
    """
    return now_ms <= view.may_act_until_ms


def extend_authority(
    view: views.View,
    now_ms: int,
    membership: settings_pb2.MembershipSettings,
    members: set[str],
) -> None:
    """Extends authority in an outage if every answer allows it.

    Once authority has ended, only the table service can confirm the lease.

    Args:
      view: What the instance knows of the cell.
      now_ms: Monotonic time in ms.
      membership: Settings with the lengths of time.
      members: Ids of the members that must all have answered.
    """
    if now_ms > view.may_act_until_ms:
        return
    if view.known_revision > view.configuration.revision:
        return
    statuses = [view.store_statuses.get(id) for id in members]
    asked_ms = now_ms
    for status in statuses:
        if status is None or status.reaches_store:
            return
        asked_ms = min(asked_ms, status.asked_ms)
    last_ms = view.confirmed_ms + membership.bridge_ms
    until_ms = min(asked_ms + membership.answer_ms, last_ms)
    view.may_act_until_ms = max(view.may_act_until_ms, until_ms)


def may_take_over(
    view: views.View,
    owner: str,
    now_ms: int,
    membership: settings_pb2.MembershipSettings,
) -> bool:
    """Returns whether an owner has certainly stopped acting.

    Its lease must have expired, and this instance must have reached the table
    service for some time. What else is needed depends on the members that the
    owner had read, according to its lease row:

    - It had read none: it doesn't act in an outage.
    - It had read this instance: to act in an outage, it would have to ask this
      instance, which has answered long enough that it reaches the service.
    - Otherwise it may act for the longest time for which an outage is bridged,
      and this time must have passed.
    """
    if not observed_members.has_expired(view, owner, now_ms, membership):
        return False
    expiry_delay_ms = observed_members.get_expiry_delay_ms(membership)
    reached_ms = view.store_reached_since_ms
    wait_ms = expiry_delay_ms + membership.answer_ms
    if reached_ms is None or now_ms - reached_ms <= wait_ms:
        return False
    observed = view.members.get(owner)
    if observed is None or not observed.known_members:
        return True
    if view.me.id in observed.known_members:
        return True
    wait_ms = expiry_delay_ms + membership.bridge_ms
    return now_ms - observed.unchanged_since_ms > wait_ms


def may_change_configuration(view: views.View) -> bool:
    """Returns whether this instance may change the configuration.

    A member that has not read this instance's lease row doesn't ask it in an
    outage, and could go on acting on the older configuration.
    """
    return all(
        not observed.known_members or view.me.id in observed.known_members
        for id, observed in view.members.items()
        if id != view.me.id
    )
