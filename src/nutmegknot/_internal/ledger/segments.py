"""Segments of a journal: decoding and verification of their hash chain.

A segment is a group of records that is written into one row of the table
service. Each segment contains the hash of the one before it.
"""

import asyncio
from collections.abc import Iterable
import dataclasses
import hashlib

from google.protobuf import message as message_lib

from nutmegknot._internal.codec import records as record_codec
from nutmegknot._internal.models import records
from nutmegknot._internal.schema import journal_pb2

# Number of digits of the row number in the key of a segment row.
ROW_NUMBER_DIGITS = 6


@dataclasses.dataclass(slots=True, frozen=True)
class Damaged:
    """Stored data is missing or differs from what was written.

    Attributes:
      sequence: Number of the first affected segment; 0 if not known.
      reason: One line of text that says what is wrong.
    """

    sequence: int
    reason: str


@dataclasses.dataclass(slots=True, frozen=True)
class ChainPosition:
    """A position in the hash chain of segments, after one of them.

    Attributes:
      sequence: Number of the segment before it; 0 at the start of the chain.
      hash: Hash of that segment; empty at the start of the chain.
    """

    sequence: int = 0
    hash: bytes = b''


@dataclasses.dataclass(slots=True, frozen=True)
class Segment:
    """A decoded segment.

    Attributes:
      end_position: The chain position after it.
      epoch: Ownership epoch under which it was written.
      records: Its records, in the order in which they were written.
      content: Its encoded bytes.
    """

    end_position: ChainPosition
    epoch: int
    records: list[records.Record]
    content: bytes


def get_prefix(partition: str) -> str:
    """Returns the prefix of a partition's segment rows."""
    return f'journal/{partition}/'


def get_key(partition: str, row_number: int) -> str:
    """Returns the key of a segment row.

    A row holds many segments in turn: once a snapshot covers its segment, the
    row is overwritten with a newer one.
    """
    return f'{get_prefix(partition)}{row_number:0{ROW_NUMBER_DIGITS}d}'


def compute_hash(content: bytes) -> bytes:
    """Returns the hash by which other stored data refers to the content."""
    return hashlib.sha256(content).digest()


def decode(partition: str, content: bytes) -> journal_pb2.Segment | Damaged:
    """Decodes the message of a segment, without its records."""
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
    """Decodes the records of a segment."""
    try:
        return [record_codec.decode_record(r) for r in message.records]
    except ValueError as error:
        return Damaged(message.sequence, f'a record does not parse: {error}')


async def decode_chain(
    partition: str, contents: Iterable[bytes], after: ChainPosition
) -> list[Segment] | Damaged:
    """Decodes the segments after a chain position and verifies the chain.

    Yields to other tasks after each segment. Segments up to that position are
    left out: a snapshot covers them, and their rows have not been overwritten
    yet.

    Args:
      partition: Name of the ledger partition.
      contents: Contents of its segment rows, in any order.
      after: The chain position.

    Returns:
      The segments, oldest first, or Damaged if one of them was changed or is
      missing. Missing segments at the end of the chain are not detected.
    """
    found = []
    for content in contents:
        message = decode(partition, content)
        if isinstance(message, Damaged):
            return message
        if message.sequence > after.sequence:
            found.append((message.sequence, message, content))
    found.sort(key=lambda item: item[0])
    chain = []
    epoch = 0
    for sequence, message, content in found:
        error = _find_chain_error(message, after, epoch)
        if error:
            return Damaged(after.sequence + 1, error)
        await asyncio.sleep(0)
        decoded = decode_records(message)
        if isinstance(decoded, Damaged):
            return decoded
        after = ChainPosition(sequence, compute_hash(content))
        epoch = message.epoch
        chain.append(Segment(after, epoch, decoded, content))
    return chain


def _find_chain_error(
    message: journal_pb2.Segment, after: ChainPosition, epoch: int
) -> str:
    """Returns why a segment can't follow a chain position; '' if it can.

    Args:
      message: The segment.
      after: The chain position.
      epoch: Epoch of the segment before; 0 for the first.
    """
    if message.sequence == after.sequence:
        return f'there are two segments {message.sequence}'
    if message.sequence != after.sequence + 1:
        return f'the next segment is {message.sequence}'
    if message.previous != after.hash:
        return 'the segment does not continue the one before it'
    if message.epoch < epoch:
        return 'the segment is of an earlier epoch than the one before it'
    return ''
