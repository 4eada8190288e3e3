"""Prints the output of commands as text or JSON."""

from collections.abc import Sequence
import json
from typing import Any


def print_rows(
    output: str, names: Sequence[str], rows: Sequence[Sequence[Any]]
) -> None:
    """Prints rows as a table, or as lines with one JSON object for each row.

    Args:
      output: Output format, 'table' or 'json'.
      names: Names of the columns.
      rows: Values of each row, in the order of the columns.
    """
    if output == 'json':
        for row in rows:
            print(json.dumps(dict(zip(names, row, strict=True))))
        return
    texts = [[name.upper() for name in names]]
    texts += [[_format_value(value) for value in row] for row in rows]
    widths = [
        max(len(cell) for cell in column) for column in zip(*texts, strict=True)
    ]
    for line in texts:
        cells = (
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        )
        print('  '.join(cells).rstrip())


def print_object(output: str, fields: dict[str, Any]) -> None:
    """Prints named values, one in each line, or as one JSON object.

    Args:
      output: Output format, 'table' or 'json'.
      fields: The values by name.
    """
    if output == 'json':
        print(json.dumps(fields))
        return
    width = max((len(name) for name in fields), default=0)
    for name, value in fields.items():
        print(f'{name:<{width}}  {_format_value(value)}'.rstrip())


def _format_value(value: object) -> str:
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    if isinstance(value, list):
        return ', '.join(_format_value(item) for item in value) or '-'
    return '-' if value in ('', None) else str(value)
