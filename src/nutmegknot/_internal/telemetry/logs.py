"""Logs: one line of key=value pairs for each event, on standard error."""

import logging
import sys
from typing import Any

from pythonjsonlogger import json as json_lib

_FORMAT = '%(asctime)s %(levelname)s %(name)s %(message)s'
_RENAMED = {
    'asctime': 'time',
    'levelname': 'level',
    'name': 'module',
    'message': 'event',
}


def set_up(level: str) -> None:
    """Sends all logs of level and above to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(make_formatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())


def make_formatter() -> logging.Formatter:
    """Returns the formatter of one event."""
    return json_lib.JsonFormatter(
        _FORMAT, rename_fields=_RENAMED, json_serializer=format_pairs
    )


def format_pairs(record: dict[str, Any], **_: object) -> str:
    """Returns a record as key=value pairs on one line."""
    return ' '.join(f'{key}={_quote(value)}' for key, value in record.items())


def _quote(value: object) -> str:
    text = str(value)
    if text and not any(c in ' "=\\' or not c.isprintable() for c in text):
        return text
    escaped = text.replace('\\', '\\\\').replace('"', '\\"')
    escaped = ''.join(c if c.isprintable() else _escape(c) for c in escaped)
    return f'"{escaped}"'


def _escape(char: str) -> str:
    return char.encode('unicode_escape').decode()
