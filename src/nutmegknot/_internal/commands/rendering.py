"""Output of commands as tables or JSON."""

from collections.abc import Sequence
import json
from typing import Any


def print_rows(
    output: str, names: Sequence[str], rows: Sequence[Sequence[Any]]
) -> None:
    """Prints rows as a table, or as one JSON object a line."""
    if output == 'json':
        for row in rows:
            print(json.dumps(dict(zip(names, row, strict=True))))
        return
    texts = [[name.upper() for name in names]]
    texts += [[_show(value) for value in row] for row in rows]
    widths = [
        max(len(cell) for cell in column) for column in zip(*texts, strict=True)
    ]
    for line in texts:
        cells = (
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        )
        print('  '.join(cells).rstrip())


def print_object(output: str, fields: dict[str, Any]) -> None:
    """Prints named values, one a line, or as one JSON object."""
    if output == 'json':
        print(json.dumps(fields))
        return
    width = max((len(name) for name in fields), default=0)
    for name, value in fields.items():
        print(f'{name:<{width}}  {_show(value)}'.rstrip())


def _show(value: object) -> str:
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    if isinstance(value, list):
        return ', '.join(_show(item) for item in value) or '-'
    return '-' if value in ('', None) else str(value)
