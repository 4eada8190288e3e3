"""Reads JSON that others have written, with checks of types and ranges."""

import json
import math
from typing import Any

# What reading of malformed fields can raise.
ERRORS = (AttributeError, LookupError, OverflowError, TypeError, ValueError)
# Largest integer that all JSON implementations keep exactly.
MAX_INTEGER = 2**53 - 1
# Largest integer for counts, sizes and numbers of runs.
MAX_COUNT = 2**31 - 1


def decode_object(raw: bytes) -> dict[str, Any]:
    """Decodes a JSON object.

    Raises:
      ValueError: If the text is no JSON object, or is nested too deeply.
    """
    fields = _decode(raw)
    if not isinstance(fields, dict):
        raise ValueError('not an object')
    return fields


def decode_list(raw: bytes) -> list[Any]:
    """Decodes a JSON list.

    Raises:
      ValueError: If the text is no JSON list, or is nested too deeply.
    """
    items = _decode(raw)
    if not isinstance(items, list):
        raise ValueError('not a list')
    return items


def _decode(raw: bytes) -> object:
    try:
        return json.loads(raw, parse_constant=_reject_constant)
    except RecursionError as error:
        raise ValueError('nested too deeply') from error


def _reject_constant(text: str) -> float:
    raise ValueError(f'not a number: {text}')


def check_integer(value: object, highest: int = MAX_COUNT) -> int:
    """Returns a number as an integer; None counts as 0.

    Args:
      value: The value of a field, or None if there is none.
      highest: The highest number that is allowed; the lowest is 0.

    Raises:
      TypeError: If the value is no number.
      ValueError: If it is out of range.
    """
    if value is None:
        return 0
    if not isinstance(value, int | float):
        raise TypeError(f'not a number: {type(value).__name__}')
    if not 0 <= value <= highest:
        raise ValueError('number out of range')
    return int(value)


def check_number(value: object, default: float = 0.0) -> float:
    """Returns a finite number that is not negative; None gives the default.

    Raises:
      TypeError: If the value is no number.
      ValueError: If it is infinite or negative.
    """
    if value is None:
        return default
    if not isinstance(value, int | float):
        raise TypeError(f'not a number: {type(value).__name__}')
    number = float(value)
    if not math.isfinite(number) or number < 0:
        raise ValueError('number out of range')
    return number


def check_text(value: object) -> str:
    """Returns a text that can be encoded; None counts as ''.

    Raises:
      TypeError: If the value is no text.
      ValueError: If it has a part of a surrogate pair.
    """
    if value is None:
        return ''
    if not isinstance(value, str):
        raise TypeError(f'not a text: {type(value).__name__}')
    value.encode()
    return value


def check_list(value: object) -> list[Any]:
    """Returns a list; None counts as an empty one.

    Raises:
      TypeError: If the value is no list.
    """
    if value is None:
        return []
    if not isinstance(value, list):
        raise TypeError(f'not a list: {type(value).__name__}')
    return value
