"""Rows that each carry the hash of the row before, as for configurations."""

from collections.abc import Iterable
import dataclasses

from nutmegknot._internal.ledger import segments


@dataclasses.dataclass(slots=True, frozen=True)
class Row:
    """A row of a chain.

    Attributes:
      number: Its number; each row's is one above that of the row before.
      previous: The hash that it says the row before has.
      content: The whole row.
    """

    number: int
    previous: bytes
    content: bytes


def find_break(
    rows: Iterable[Row], head: int = 0, after: segments.Link | None = None
) -> segments.Damaged | None:
    """Returns the first changed or missing row, or None.

    Args:
      rows: The rows in order.
      head: Number that the last row must have at least, for example the
        configuration's revision.
      after: The place before the first row; None for the beginning.
    """
    last = after or segments.Link()
    for row in rows:
        if row.number != last.sequence + 1:
            return segments.Damaged(
                last.sequence + 1, f'the next row is {row.number}'
            )
        if row.previous != last.hash:
            return segments.Damaged(
                row.number, 'the row does not continue the one before it'
            )
        last = segments.Link(row.number, segments.compute_hash(row.content))
    if last.sequence < head:
        return segments.Damaged(last.sequence + 1, 'the row is missing')
    return None
