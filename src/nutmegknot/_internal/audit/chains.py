"""Verification of hash chains of rows, such as configuration changes.

Each row of a chain carries the hash of the row before it.
"""

from collections.abc import Iterable
import dataclasses

from nutmegknot._internal.ledger import segments


@dataclasses.dataclass(slots=True, frozen=True)
class Row:
    """A row of a hash chain.

    Attributes:
      number: Position in the chain; rows are numbered without gaps.
      previous_hash: Hash of the row before, as this row records it.
      content: Whole stored value of the row, which the next row's
        previous_hash covers.
    """

    number: int
    previous_hash: bytes
    content: bytes


def find_break(
    rows: Iterable[Row],
    min_last_number: int = 0,
    start: segments.ChainPosition | None = None,
) -> segments.Damaged | None:
    """Returns where the chain is first broken, or None if it is intact.

    A chain is broken where a row is missing or does not carry the hash of the
    row before it. A changed row is therefore reported as a break at the row
    that follows it, and a change of the last row is not found here.

    Args:
      rows: The rows in order.
      min_last_number: Lowest number that the last row may have, for example
        the current revision of the configuration; rows that were removed from
        the end are found by it.
      start: Position of the row before the first one; None if the rows begin
        with the first row of the chain.
    """
    last = start or segments.ChainPosition()
    for row in rows:
        if row.number != last.sequence + 1:
            return segments.Damaged(
                last.sequence + 1, f'the next row is {row.number}'
            )
        if row.previous_hash != last.hash:
            return segments.Damaged(
                row.number, 'the row does not continue the one before it'
            )
        last = segments.ChainPosition(
            row.number, segments.compute_hash(row.content)
        )
    if last.sequence < min_last_number:
        return segments.Damaged(last.sequence + 1, 'the row is missing')
    return None
