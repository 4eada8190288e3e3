"""Fills schema messages from TOML and checks the values.

The option `rule` of a field in the schema gives its unit, default and bounds. A
repeated message field is written as a TOML table of tables: the key of each
inner table is the value of the message's first field (`name` or `id`). An
enumeration value is written in lower case, without the prefix that all names of
the enumeration share.
"""

import dataclasses
import ipaddress
import math
import pathlib
import tomllib
from typing import Any

from google.protobuf import descriptor
from google.protobuf import message as message_lib
import yarl

from nutmegknot._internal.schema import rules_pb2

_FIELD = descriptor.FieldDescriptor
# A field descriptor. The type stubs and protobuf's C library have different
# classes for it.
_AnyField = Any
_INTEGERS = frozenset(
    {_FIELD.TYPE_UINT32, _FIELD.TYPE_UINT64, _FIELD.TYPE_INT64}
)
_LOG_LEVELS = ('debug', 'info', 'warning', 'error', 'critical')
_MAX_PORT = 65_535


@dataclasses.dataclass(slots=True, frozen=True)
class InvalidToml:
    """The text is invalid; detail is one line with its source and the key."""

    detail: str


class _InvalidValueError(Exception):
    """A key or its value is invalid; the message is one line with the key."""


def read_file(path: pathlib.Path) -> str | InvalidToml:
    """Reads the text of a UTF-8 file."""
    try:
        return path.read_text(encoding='utf-8')
    except OSError as error:
        return InvalidToml(f'{path}: cannot be read: {error.strerror}')
    except UnicodeDecodeError:
        return InvalidToml(f'{path}: cannot be read: it is not UTF-8')


def fill_from_toml(
    target: message_lib.Message, text: str, source: str
) -> InvalidToml | None:
    """Fills a message from TOML text; errors begin with source."""
    try:
        table = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        return InvalidToml(f'{source}: not TOML: {error}')
    try:
        _fill_message(target, table, '')
    except _InvalidValueError as error:
        return InvalidToml(f'{source}: {error}')
    return None


def get_rule(field: _AnyField) -> rules_pb2.Rule:
    """Returns the option `rule` of a field."""
    extensions: Any = field.GetOptions().Extensions
    rule: rules_pb2.Rule = extensions[rules_pb2.rule]
    return rule


def list_enum_values(field: _AnyField) -> dict[str, int]:
    """Returns the numbers of an enumeration by their names in TOML."""
    values = field.enum_type.values
    prefix = values[0].name
    while not all(v.name.startswith(prefix) for v in values):
        prefix = prefix[:-1]
    prefix = prefix[: prefix.rfind('_') + 1]
    return {v.name.removeprefix(prefix).lower(): v.number for v in values}


def _fill_message(
    target: message_lib.Message, table: dict[str, Any], prefix: str
) -> None:
    fields = target.DESCRIPTOR.fields_by_name
    for key in table:
        if key not in fields:
            known = ', '.join(sorted(fields))
            raise _InvalidValueError(
                f'{prefix}{key}: unknown key; known here: {known}'
            )
    for name, field in fields.items():
        path = f'{prefix}{name}'
        if field.type == _FIELD.TYPE_MESSAGE:
            subtable = table.get(name, {})
            if not isinstance(subtable, dict):
                raise _InvalidValueError(f'{path}: must be a table')
            _fill_submessages(target, field, subtable, f'{path}.')
        else:
            _fill_field(target, field, table.get(name), path)


def _fill_submessages(
    target: message_lib.Message,
    field: _AnyField,
    table: dict[str, Any],
    prefix: str,
) -> None:
    field_value = getattr(target, field.name)
    if not field.is_repeated:
        _fill_message(field_value, table, prefix)
        field_value.SetInParent()
        return
    name_field = field.message_type.fields[0].name
    for name, subtable in table.items():
        if not isinstance(subtable, dict):
            raise _InvalidValueError(f'{prefix}{name}: must be a table')
        _fill_message(
            field_value.add(), {name_field: name} | subtable, f'{prefix}{name}.'
        )


def _fill_field(
    target: message_lib.Message,
    field: _AnyField,
    value: Any,  # noqa: ANN401 - any TOML value
    path: str,
) -> None:
    rule = get_rule(field)
    if field.is_repeated:
        items = _check_list(value, rule, path)
        getattr(target, field.name).extend(items)
    else:
        setattr(target, field.name, _check_value(field, value, rule, path))


def _check_value(
    field: _AnyField,
    value: Any,  # noqa: ANN401 - any TOML value
    rule: rules_pb2.Rule,
    path: str,
) -> object:
    if value is None and not rule.default and not rule.optional:
        raise _InvalidValueError(f'{path}: missing')
    if field.type in _INTEGERS:
        value = int(rule.default) if value is None else value
        return _check_integer(value, rule, path)
    if field.type == _FIELD.TYPE_DOUBLE:
        value = float(rule.default) if value is None else value
        return _check_number(value, rule, path)
    if field.type == _FIELD.TYPE_BOOL:
        value = rule.default == 'true' if value is None else value
        return _check_boolean(value, path)
    text = _check_text(rule.default if value is None else value, rule, path)
    if field.type == _FIELD.TYPE_ENUM:
        return _check_choice(text, list_enum_values(field), path)
    return text.encode() if field.type == _FIELD.TYPE_BYTES else text


def _check_list(value: object, rule: rules_pb2.Rule, path: str) -> list[str]:
    if value is None and not rule.optional:
        raise _InvalidValueError(f'{path}: missing')
    value = [] if value is None else value
    if not isinstance(value, list):
        raise _InvalidValueError(f'{path}: must be a list of strings')
    if not value and not rule.optional:
        raise _InvalidValueError(f'{path}: must not be empty')
    return [_check_text(item, rule, path) for item in value]


def _check_text(value: object, rule: rules_pb2.Rule, path: str) -> str:
    if not isinstance(value, str):
        raise _InvalidValueError(f'{path}: must be a string')
    if not value and not rule.optional:
        raise _InvalidValueError(f'{path}: must not be empty')
    if rule.unit == 'address' and not is_address(value):
        raise _InvalidValueError(f'{path}: {value!r} must be "IP:PORT"')
    if rule.unit == 'url' and not _is_url(value):
        raise _InvalidValueError(f'{path}: {value!r} must be an http(s) URL')
    if rule.unit == 'level':
        _check_choice(value, dict.fromkeys(_LOG_LEVELS, 0), path)
    return value


def is_address(text: str) -> bool:
    """Returns whether a text is an IP address with a port."""
    host, _, port = text.rpartition(':')
    try:
        ipaddress.ip_address(host.strip('[]'))
    except ValueError:
        return False
    return port.isascii() and port.isdigit() and int(port) <= _MAX_PORT


def _is_url(text: str) -> bool:
    try:
        url = yarl.URL(text)
    except ValueError:
        return False
    return url.scheme in ('http', 'https') and bool(url.host)


def _check_choice(text: str, choices: dict[str, int], path: str) -> int:
    if text not in choices:
        known = ', '.join(choices)
        raise _InvalidValueError(f'{path}: {text!r} must be one of {known}')
    return choices[text]


def _check_boolean(value: object, path: str) -> bool:
    if not isinstance(value, bool):
        raise _InvalidValueError(f'{path}: must be true or false')
    return value


def _check_integer(value: object, rule: rules_pb2.Rule, path: str) -> int:
    if not isinstance(value, int) or isinstance(value, bool):
        raise _InvalidValueError(f'{path}: must be an integer ({rule.unit})')
    _check_bounds(value, rule, path)
    return value


def _check_number(value: object, rule: rules_pb2.Rule, path: str) -> float:
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise _InvalidValueError(f'{path}: must be a number ({rule.unit})')
    _check_bounds(value, rule, path)
    return float(value)


def _check_bounds(value: float, rule: rules_pb2.Rule, path: str) -> None:
    if math.isnan(value) or not rule.min <= value <= rule.max:
        raise _InvalidValueError(
            f'{path}: {value} is out of range, '
            f'{_format_bound(rule.min)} to {_format_bound(rule.max)} '
            f'{rule.unit}'
        )


def _format_bound(bound: float) -> str:
    return f'{bound:.0f}' if bound == int(bound) else str(bound)
