"""How long the instance may act.

While the table answers, a confirmation of lease and revision counts for a short
time. In a store outage the time is extended without a break for as long as
every member that could take over says that it too can't reach the table.
"""

from nutmegknot._internal.membership import sightings
from nutmegknot._internal.membership import views
from nutmegknot._internal.schema import settings_pb2


def may_act(view: views.View, now_ms: int) -> bool:
    """Tells whether the instance may own, authorize and start right now.

    Callers read the clock immediately before acting, and again after each wait
    that comes before an effect, so that a process that was paused stops itself.

    Args:
      view: What the instance knows.
      now_ms: Monotonic instant in ms.
    """
    return now_ms <= view.held_until_ms


def extend(
    view: views.View,
    now_ms: int,
    membership: settings_pb2.MembershipSettings,
    asked: set[str],
) -> None:
    """Extends the time to act in a store outage, if every answer allows it.

    Once the time has passed, only the table can confirm the lease again.

    Args:
      view: What the instance knows.
      now_ms: Monotonic instant in ms.
      membership: Lengths of time.
      asked: Members that must all have answered.
    """
    if now_ms > view.held_until_ms:
        return
    if view.known_revision > view.configuration.revision:
        return
    answers = [view.answers.get(id) for id in asked]
    asked_ms = now_ms
    for answer in answers:
        if answer is None or answer.reaches:
            return
        asked_ms = min(asked_ms, answer.asked_ms)
    last_ms = view.confirmed_ms + membership.bridge_ms
    held_ms = min(asked_ms + membership.answer_ms, last_ms)
    view.held_until_ms = max(view.held_until_ms, held_ms)


def may_take_over(
    view: views.View,
    owner: str,
    now_ms: int,
    membership: settings_pb2.MembershipSettings,
) -> bool:
    """Tells whether an owner that no longer renews has surely stopped acting.

    Its lease has lapsed. If its row says that this instance is known, the owner
    has asked this instance whether it reaches the table, and has been told so
    for long enough. If the row says that nobody is known, the owner doesn't act
    in an outage. Otherwise it may act for as long as any outage is bridged.
    """
    if not sightings.has_lapsed(view, owner, now_ms, membership):
        return False
    lapse_ms = sightings.get_lapse_ms(membership)
    reached_ms = view.reached_since_ms
    wait_ms = lapse_ms + membership.answer_ms
    if reached_ms is None or now_ms - reached_ms <= wait_ms:
        return False
    sighting = view.members.get(owner)
    if sighting is None or not sighting.known:
        return True
    if view.me.id in sighting.known:
        return True
    wait_ms = lapse_ms + membership.bridge_ms
    return now_ms - sighting.since_ms > wait_ms


def may_change_configuration(view: views.View) -> bool:
    """Tells whether every member would hear of a change made through this one.

    A member that doesn't know this instance doesn't ask it in an outage, and
    could go on acting on the older configuration.
    """
    return all(
        not sighting.known or view.me.id in sighting.known
        for id, sighting in view.members.items()
        if id != view.me.id
    )
