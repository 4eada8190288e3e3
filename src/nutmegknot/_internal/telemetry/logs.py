"""Format of logs, one line of key=value pairs for each event.

Processes that use no log sink write the lines to standard error.
"""

import logging
import re
import sys
from typing import Any

from pythonjsonlogger import json as json_lib

_FORMAT = '%(asctime)s %(levelname)s %(name)s %(message)s'
# Printable ASCII text that needs no quotes; most values are of this form.
_PLAIN_TEXT = re.compile(r'[!#-<>-\[\]-~]+')
# Printable ASCII text that needs quotes and no escapes, such as a time.
_QUOTABLE_TEXT = re.compile(r'[ !#-\[\]-~]*')
# Key in the log line by attribute of the logging library.
_KEYS = {
    'asctime': 'time',
    'levelname': 'level',
    'name': 'module',
    'message': 'event',
}


def set_up(level: str) -> None:
    """Writes all logs of a level or above to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(make_formatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())


def make_formatter() -> logging.Formatter:
    """Returns the formatter that turns a log record into one line."""
    return json_lib.JsonFormatter(
        _FORMAT, rename_fields=_KEYS, json_serializer=format_pairs
    )


def format_pairs(record: dict[str, Any], **_: object) -> str:
    """Formats a record as key=value pairs on one line, quoted where needed."""
    return ' '.join(f'{key}={_quote(value)}' for key, value in record.items())


def _quote(value: object) -> str:
    text = str(value)
    if _PLAIN_TEXT.fullmatch(text):
        return text
    if _QUOTABLE_TEXT.fullmatch(text):
        return f'"{text}"'
    if text and not any(c in ' "=\\' or not c.isprintable() for c in text):
        return text
    escaped = text.replace('\\', '\\\\').replace('"', '\\"')
    escaped = ''.join(c if c.isprintable() else _escape(c) for c in escaped)
    return f'"{escaped}"'


def _escape(char: str) -> str:
    return char.encode('unicode_escape').decode()
