"""Segments of a journal: their rows, their hash chain, damage."""

import asyncio
from collections.abc import Iterable
import dataclasses
import hashlib

from google.protobuf import message as message_lib

from nutmegknot._internal.codec import records as record_codec
from nutmegknot._internal.models import records
from nutmegknot._internal.schema import journal_pb2

SLOT_DIGITS = 6


@dataclasses.dataclass(slots=True, frozen=True)
class Damaged:
    """Content that is not what was written, or that is missing.

    Attributes:
      sequence: Number of the first segment concerned; 0 if not known.
      reason: One line.
    """

    sequence: int
    reason: str


@dataclasses.dataclass(slots=True, frozen=True)
class Link:
    """A place in the chain of segments.

    Attributes:
      sequence: Number of the last segment before it; 0 at the beginning.
      hash: Hash of that segment; empty at the beginning.
    """

    sequence: int = 0
    hash: bytes = b''


@dataclasses.dataclass(slots=True, frozen=True)
class Segment:
    """A segment as it was read.

    Attributes:
      link: The place in the chain after it.
      epoch: Epoch of its writer.
      records: Its records in the order in which they were written.
      content: The bytes that were written.
    """

    link: Link
    epoch: int
    records: list[records.Record]
    content: bytes


def get_prefix(partition: str) -> str:
    """Returns the prefix of a partition's segment rows."""
    return f'journal/{partition}/'


def get_key(partition: str, slot: int) -> str:
    """Returns the key of a segment row; rows are used again and again."""
    return f'{get_prefix(partition)}{slot:0{SLOT_DIGITS}d}'


def compute_hash(content: bytes) -> bytes:
    """Returns the hash that binds what follows to a content."""
    return hashlib.sha256(content).digest()


def decode(partition: str, content: bytes) -> journal_pb2.Segment | Damaged:
    """Returns the message of a segment of a partition."""
    try:
        message = journal_pb2.Segment.FromString(content)
    except message_lib.DecodeError:
        return Damaged(0, 'a segment does not parse')
    if message.partition != partition or message.sequence == 0:
        return Damaged(message.sequence, f'a segment is not one of {partition}')
    return message


def decode_records(
    message: journal_pb2.Segment,
) -> list[records.Record] | Damaged:
    """Returns the records of a segment."""
    try:
        return [record_codec.decode_record(r) for r in message.records]
    except ValueError as error:
        return Damaged(message.sequence, f'a record does not parse: {error}')


async def sort_segments(
    partition: str, contents: Iterable[bytes], after: Link
) -> list[Segment] | Damaged:
    """Returns the segments after a place, oldest first.

    It gives way to other tasks after each segment. Segments at or before that
    place are ones whose rows have not been used again yet, and are left out.

    Returns:
      The segments, or Damaged if one of them is changed or missing. Nothing
      shows that the last ones are missing.
    """
    found = []
    for content in contents:
        message = decode(partition, content)
        if isinstance(message, Damaged):
            return message
        if message.sequence > after.sequence:
            found.append((message.sequence, message, content))
    found.sort(key=lambda one: one[0])
    chain = []
    epoch = 0
    for sequence, message, content in found:
        fault = _find_fault(message, after, epoch)
        if fault:
            return Damaged(after.sequence + 1, fault)
        await asyncio.sleep(0)
        decoded = decode_records(message)
        if isinstance(decoded, Damaged):
            return decoded
        after = Link(sequence, compute_hash(content))
        epoch = message.epoch
        chain.append(Segment(after, epoch, decoded, content))
    return chain


def _find_fault(message: journal_pb2.Segment, after: Link, epoch: int) -> str:
    if message.sequence == after.sequence:
        return f'there are two segments {message.sequence}'
    if message.sequence != after.sequence + 1:
        return f'the next segment is {message.sequence}'
    if message.previous != after.hash:
        return 'the segment does not continue the one before it'
    if message.epoch < epoch:
        return 'the segment is of an earlier epoch than the one before it'
    return ''
