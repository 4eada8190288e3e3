"""Digests of the loads of fleet partitions, as deltas of bounded size.

Instances send each other digests. A part of a load is sent when it differs
from what the receiver has acknowledged. A digest has room for a few hundred
bytes; parts that don't fit wait for a later digest. Parts that were never
acknowledged go first, then those whose acknowledgement is the oldest.
"""

import dataclasses

from nutmegknot._internal.codec import common_messages
from nutmegknot._internal.codec import loads as load_codec
from nutmegknot._internal.models import loads
from nutmegknot._internal.models import resources
from nutmegknot._internal.schema import digest_pb2

# No part is added to a digest that has reached this size. An instance that
# exchanges digests and replies with 5 others once a second, in each direction,
# then stays below 8 KB/s.
TARGET_DIGEST_BYTES = 420

STOCK = '#stock'
STATE = '#state'


@dataclasses.dataclass(slots=True, frozen=True)
class LoadPart:
    """Identifies a part of a load.

    Attributes:
      partition: Name of the fleet partition.
      epoch: Epoch of the partition's owner.
      name: STOCK, STATE, or the name of the team whose usage it is.
    """

    partition: str
    epoch: int
    name: str


PartContent = digest_pb2.LoadStock | digest_pb2.LoadState | resources.Resources


@dataclasses.dataclass(slots=True)
class Sender:
    """State for sending digests to one receiver.

    Attributes:
      number: Number of the last digest made.
      acknowledged_number: Number of the last digest acknowledged.
      acknowledged: Acknowledged content of each part, oldest first.
      teams: Number that stands for each team in digests, by team name.
      acknowledged_teams: Teams whose number the receiver has acknowledged.
    """

    number: int = 0
    acknowledged_number: int = 0
    acknowledged: dict[LoadPart, PartContent] = dataclasses.field(
        default_factory=dict
    )
    teams: dict[str, int] = dataclasses.field(default_factory=dict)
    acknowledged_teams: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True, frozen=True)
class OutgoingDigest:
    """A digest and the parts that it carries."""

    message: digest_pb2.Digest
    parts: dict[LoadPart, PartContent]


@dataclasses.dataclass(slots=True)
class Receiver:
    """State from the digests of one sender.

    Attributes:
      number: Number of the last digest applied.
      loads: The sender's partitions without their usage, by name.
      usage: Usage by partition and team.
      teams: Names of teams by the sender's numbers.
    """

    number: int = 0
    loads: dict[str, digest_pb2.LoadDigest] = dataclasses.field(
        default_factory=dict
    )
    usage: dict[str, dict[str, resources.Resources]] = dataclasses.field(
        default_factory=dict
    )
    teams: dict[int, str] = dataclasses.field(default_factory=dict)


def make_digest(sender: Sender, current: list[loads.Load]) -> OutgoingDigest:
    """Returns the next digest, with parts that have changed."""
    sender.number += 1
    present = _list_parts(current)
    _forget_parts(sender, present)
    order = [part for part in present if part not in sender.acknowledged]
    order += [part for part in sender.acknowledged if part in present]
    message = digest_pb2.Digest(
        number=sender.number, base=sender.acknowledged_number
    )
    chosen: dict[LoadPart, PartContent] = {}
    groups: dict[str, digest_pb2.LoadDigest] = {}
    for part in order:
        content = present[part]
        if sender.acknowledged.get(part) == content:
            continue
        group = groups.get(part.partition)
        if group is None:
            group = message.loads.add(partition=part.partition)
            group.epoch = part.epoch
            groups[part.partition] = group
        _add_part(sender, group, part, content)
        chosen[part] = content
        if message.ByteSize() >= TARGET_DIGEST_BYTES:
            break
    return OutgoingDigest(message, chosen)


def _list_parts(current: list[loads.Load]) -> dict[LoadPart, PartContent]:
    parts: dict[LoadPart, PartContent] = {}
    for load in current:
        name, epoch = load.partition, load.epoch
        parts[LoadPart(name, epoch, STOCK)] = load_codec.encode_load_stock(load)
        parts[LoadPart(name, epoch, STATE)] = load_codec.encode_load_state(load)
        for team, usage in load.usage.items():
            parts[LoadPart(name, epoch, team)] = usage
    return parts


def _forget_parts(sender: Sender, present: dict[LoadPart, PartContent]) -> None:
    """Removes parts of partitions that the instance no longer owns.

    A team's usage that is gone in an owned partition is sent as zero.
    """
    owned = {(part.partition, part.epoch) for part in present}
    for part in list(sender.acknowledged):
        if (part.partition, part.epoch) not in owned:
            del sender.acknowledged[part]
        elif part not in present:
            present[part] = resources.ZERO


def _add_part(
    sender: Sender,
    group: digest_pb2.LoadDigest,
    part: LoadPart,
    content: PartContent,
) -> None:
    """Adds a part to a digest."""
    if isinstance(content, digest_pb2.LoadStock):
        group.stock.CopyFrom(content)
    elif isinstance(content, digest_pb2.LoadState):
        group.state.CopyFrom(content)
    else:
        number = sender.teams.setdefault(part.name, len(sender.teams))
        added = group.usage.add(team=number)
        added.held.CopyFrom(common_messages.encode_resources(content))
        if part.name not in sender.acknowledged_teams:
            added.name = part.name


def acknowledge(sender: Sender, outgoing: OutgoingDigest) -> None:
    """Records that the receiver has acknowledged a digest."""
    sender.acknowledged_number = outgoing.message.number
    for part, content in outgoing.parts.items():
        sender.acknowledged.pop(part, None)
        sender.acknowledged[part] = content
        sender.acknowledged_teams.add(part.name)


def reset(sender: Sender) -> None:
    """Makes the next digests send everything again."""
    sender.acknowledged_number = 0
    sender.acknowledged.clear()
    sender.acknowledged_teams.clear()


def apply_digest(
    receiver: Receiver, message: digest_pb2.Digest
) -> list[loads.Load] | None:
    """Applies a digest.

    A digest that arrives after a later one changes nothing.

    Returns:
      The loads that it changes, or None if the digest on which it is based was
      not received; the sender must then send everything again.
    """
    if receiver.number < message.base:
        return None
    if message.number <= receiver.number:
        return []
    receiver.number = message.number
    return [_apply_load(receiver, one) for one in message.loads]


def _apply_load(
    receiver: Receiver, current: digest_pb2.LoadDigest
) -> loads.Load:
    name = current.partition
    load = receiver.loads.get(name)
    if load is None or load.epoch != current.epoch:
        load = digest_pb2.LoadDigest(partition=name, epoch=current.epoch)
        receiver.loads[name] = load
        receiver.usage[name] = {}
    if current.HasField('stock'):
        load.stock.CopyFrom(current.stock)
    if current.HasField('state'):
        load.state.CopyFrom(current.state)
    usage = receiver.usage[name]
    for team_usage in current.usage:
        if team_usage.name:
            receiver.teams[team_usage.team] = team_usage.name
        usage[receiver.teams[team_usage.team]] = (
            common_messages.decode_resources(team_usage.held)
        )
    return load_codec.decode_load(load, dict(usage))
