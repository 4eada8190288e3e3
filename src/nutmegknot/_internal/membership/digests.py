"""Digests of loads, as deltas of bounded size.

A part of a load is sent again once it differs from what the receiver has
acknowledged. A digest has room for a few hundred bytes of parts; those that
don't fit wait for the next one, and the longest unsent ones go first.
"""

import dataclasses

from nutmegknot._internal.codec import loads as load_codec
from nutmegknot._internal.codec import values
from nutmegknot._internal.models import loads
from nutmegknot._internal.models import resources
from nutmegknot._internal.schema import digest_pb2

# A digest of this size takes no more parts. With 5 others, one digest a second
# each way and the replies, a node stays below 8 KB/s.
FULL_BYTES = 420

STOCK = '#stock'
STATE = '#state'


@dataclasses.dataclass(slots=True, frozen=True)
class Part:
    """Names a part of a load: STOCK, STATE or the usage of a team."""

    partition: str
    epoch: int
    name: str


Content = digest_pb2.LoadStock | digest_pb2.LoadState | resources.Resources


@dataclasses.dataclass(slots=True)
class Sender:
    """What one receiver has acknowledged.

    Attributes:
      number: Number of the last digest made.
      base: Number of the last digest acknowledged.
      acknowledged: Content of each part, the longest unsent first.
      teams: Number of each team.
      named: Teams whose number has been acknowledged.
    """

    number: int = 0
    base: int = 0
    acknowledged: dict[Part, Content] = dataclasses.field(default_factory=dict)
    teams: dict[str, int] = dataclasses.field(default_factory=dict)
    named: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True, frozen=True)
class Made:
    """A digest and the parts that it carries."""

    message: digest_pb2.Digest
    parts: dict[Part, Content]


@dataclasses.dataclass(slots=True)
class Receiver:
    """What one sender has told.

    Attributes:
      number: Number of its last digest.
      heads: Its partitions without their usage, by name.
      usage: Usage by partition and team.
      teams: Names of its teams by number.
    """

    number: int = 0
    heads: dict[str, digest_pb2.LoadDigest] = dataclasses.field(
        default_factory=dict
    )
    usage: dict[str, dict[str, resources.Resources]] = dataclasses.field(
        default_factory=dict
    )
    teams: dict[int, str] = dataclasses.field(default_factory=dict)


def make_digest(sender: Sender, told: list[loads.Load]) -> Made:
    """Returns the next digest with what has changed."""
    sender.number += 1
    present = _list_parts(told)
    _forget_parts(sender, present)
    order = [part for part in present if part not in sender.acknowledged]
    order += [part for part in sender.acknowledged if part in present]
    message = digest_pb2.Digest(number=sender.number, base=sender.base)
    chosen: dict[Part, Content] = {}
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
        if message.ByteSize() >= FULL_BYTES:
            break
    return Made(message, chosen)


def _list_parts(told: list[loads.Load]) -> dict[Part, Content]:
    parts: dict[Part, Content] = {}
    for load in told:
        name, epoch = load.partition, load.epoch
        parts[Part(name, epoch, STOCK)] = load_codec.encode_stock(load)
        parts[Part(name, epoch, STATE)] = load_codec.encode_state(load)
        for team, held in load.usage.items():
            parts[Part(name, epoch, team)] = held
    return parts


def _forget_parts(sender: Sender, present: dict[Part, Content]) -> None:
    """Drops partitions that are owned no more, and zeroes vanished usage."""
    owned = {(part.partition, part.epoch) for part in present}
    for part in list(sender.acknowledged):
        if (part.partition, part.epoch) not in owned:
            del sender.acknowledged[part]
        elif part not in present:
            present[part] = resources.NOTHING


def _add_part(
    sender: Sender,
    group: digest_pb2.LoadDigest,
    part: Part,
    content: Content,
) -> None:
    """Puts a part into a digest."""
    if isinstance(content, digest_pb2.LoadStock):
        group.stock.CopyFrom(content)
    elif isinstance(content, digest_pb2.LoadState):
        group.state.CopyFrom(content)
    else:
        number = sender.teams.setdefault(part.name, len(sender.teams))
        added = group.usage.add(team=number)
        added.held.CopyFrom(values.encode_resources(content))
        if part.name not in sender.named:
            added.name = part.name


def acknowledge(sender: Sender, made: Made) -> None:
    """Takes note that the receiver has a digest."""
    sender.base = made.message.number
    for part, content in made.parts.items():
        sender.acknowledged.pop(part, None)
        sender.acknowledged[part] = content
        sender.named.add(part.name)


def reset(sender: Sender) -> None:
    """Has everything sent anew."""
    sender.base = 0
    sender.acknowledged.clear()
    sender.named.clear()


def take_digest(
    receiver: Receiver, message: digest_pb2.Digest
) -> list[loads.Load] | None:
    """Puts a digest in.

    A digest that was overtaken by a later one changes nothing.

    Returns:
      The loads that it changes, or None if what it builds on is not here.
    """
    if receiver.number < message.base:
        return None
    if message.number <= receiver.number:
        return []
    receiver.number = message.number
    return [_take_load(receiver, one) for one in message.loads]


def _take_load(receiver: Receiver, told: digest_pb2.LoadDigest) -> loads.Load:
    name = told.partition
    head = receiver.heads.get(name)
    if head is None or head.epoch != told.epoch:
        head = digest_pb2.LoadDigest(partition=name, epoch=told.epoch)
        receiver.heads[name] = head
        receiver.usage[name] = {}
    if told.HasField('stock'):
        head.stock.CopyFrom(told.stock)
    if told.HasField('state'):
        head.state.CopyFrom(told.state)
    usage = receiver.usage[name]
    for one in told.usage:
        if one.name:
            receiver.teams[one.team] = one.name
        usage[receiver.teams[one.team]] = values.decode_resources(one.held)
    return load_codec.decode_load(head, dict(usage))
