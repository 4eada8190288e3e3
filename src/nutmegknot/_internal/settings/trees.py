"""Fills schema messages from TOML by the rules in the field options.

A repeated message is a TOML table of tables, named by the first field of the
message (`name` or `id`). An enumeration is written in lower case without its
prefix.
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
# The generated code and the C library name the same thing differently.
_AnyField = Any
_INTEGERS = frozenset(
    {_FIELD.TYPE_UINT32, _FIELD.TYPE_UINT64, _FIELD.TYPE_INT64}
)
_LEVELS = ('debug', 'info', 'warning', 'error', 'critical')
_MAX_PORT = 65_535


@dataclasses.dataclass(slots=True, frozen=True)
class BadTree:
    """The text can't be used; detail is one line that names the key."""

    detail: str


class _RuleBrokenError(Exception):
    """Carries the line about a key out of the nested checks below."""


def read_file(path: pathlib.Path) -> str | BadTree:
    """Reads the text of a file."""
    try:
        return path.read_text(encoding='utf-8')
    except OSError as error:
        return BadTree(f'{path}: cannot be read: {error.strerror}')
    except UnicodeDecodeError:
        return BadTree(f'{path}: cannot be read: it is not UTF-8')


def fill_from_text(
    target: message_lib.Message, text: str, source: str
) -> BadTree | None:
    """Fills a message from TOML text; source names the text in errors."""
    try:
        tree = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        return BadTree(f'{source}: not TOML: {error}')
    try:
        _fill(target, tree, '')
    except _RuleBrokenError as error:
        return BadTree(f'{source}: {error}')
    return None


def get_rule(field: _AnyField) -> rules_pb2.Rule:
    """Returns the rule of a field."""
    extensions: Any = field.GetOptions().Extensions
    rule: rules_pb2.Rule = extensions[rules_pb2.rule]
    return rule


def list_choices(field: _AnyField) -> dict[str, int]:
    """Returns the numbers of an enumeration's values by their short names."""
    values = field.enum_type.values
    prefix = values[0].name
    while not all(v.name.startswith(prefix) for v in values):
        prefix = prefix[:-1]
    prefix = prefix[: prefix.rfind('_') + 1]
    return {v.name.removeprefix(prefix).lower(): v.number for v in values}


def _fill(
    target: message_lib.Message, tree: dict[str, Any], prefix: str
) -> None:
    fields = target.DESCRIPTOR.fields_by_name
    for key in tree:
        if key not in fields:
            known = ', '.join(sorted(fields))
            raise _RuleBrokenError(
                f'{prefix}{key}: unknown key; known here: {known}'
            )
    for name, field in fields.items():
        path = f'{prefix}{name}'
        if field.type == _FIELD.TYPE_MESSAGE:
            inner = tree.get(name, {})
            if not isinstance(inner, dict):
                raise _RuleBrokenError(f'{path}: must be a table')
            _fill_messages(target, field, inner, f'{path}.')
        else:
            _fill_value(target, field, tree.get(name), path)


def _fill_messages(
    target: message_lib.Message,
    field: _AnyField,
    tree: dict[str, Any],
    prefix: str,
) -> None:
    held = getattr(target, field.name)
    if not field.is_repeated:
        _fill(held, tree, prefix)
        held.SetInParent()
        return
    named_by = field.message_type.fields[0].name
    for name, inner in tree.items():
        if not isinstance(inner, dict):
            raise _RuleBrokenError(f'{prefix}{name}: must be a table')
        _fill(held.add(), {named_by: name} | inner, f'{prefix}{name}.')


def _fill_value(
    target: message_lib.Message,
    field: _AnyField,
    given: Any,  # noqa: ANN401 - any TOML value may stand here
    path: str,
) -> None:
    rule = get_rule(field)
    if field.is_repeated:
        items = _check_list(given, rule, path)
        getattr(target, field.name).extend(items)
    else:
        setattr(target, field.name, _check_value(field, given, rule, path))


def _check_value(
    field: _AnyField,
    given: Any,  # noqa: ANN401 - any TOML value may stand here
    rule: rules_pb2.Rule,
    path: str,
) -> object:
    if given is None and not rule.default and not rule.optional:
        raise _RuleBrokenError(f'{path}: missing')
    if field.type in _INTEGERS:
        given = int(rule.default) if given is None else given
        return _check_integer(given, rule, path)
    if field.type == _FIELD.TYPE_DOUBLE:
        given = float(rule.default) if given is None else given
        return _check_number(given, rule, path)
    if field.type == _FIELD.TYPE_BOOL:
        given = rule.default == 'true' if given is None else given
        return _check_flag(given, path)
    text = _check_text(rule.default if given is None else given, rule, path)
    if field.type == _FIELD.TYPE_ENUM:
        return _check_choice(text, list_choices(field), path)
    return text.encode() if field.type == _FIELD.TYPE_BYTES else text


def _check_list(given: object, rule: rules_pb2.Rule, path: str) -> list[str]:
    if given is None and not rule.optional:
        raise _RuleBrokenError(f'{path}: missing')
    given = [] if given is None else given
    if not isinstance(given, list):
        raise _RuleBrokenError(f'{path}: must be a list of texts')
    if not given and not rule.optional:
        raise _RuleBrokenError(f'{path}: must not be empty')
    return [_check_text(item, rule, path) for item in given]


def _check_text(given: object, rule: rules_pb2.Rule, path: str) -> str:
    if not isinstance(given, str):
        raise _RuleBrokenError(f'{path}: must be a text')
    if not given and not rule.optional:
        raise _RuleBrokenError(f'{path}: must not be empty')
    if rule.unit == 'address' and not is_address(given):
        raise _RuleBrokenError(f'{path}: {given!r} must be "IP:PORT"')
    if rule.unit == 'url' and not _is_url(given):
        raise _RuleBrokenError(f'{path}: {given!r} must be a http(s) URL')
    if rule.unit == 'level':
        _check_choice(given, dict.fromkeys(_LEVELS, 0), path)
    return given


def is_address(text: str) -> bool:
    """Tells whether a text is an IP number with a port."""
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
        raise _RuleBrokenError(f'{path}: {text!r} must be one of {known}')
    return choices[text]


def _check_flag(given: object, path: str) -> bool:
    if not isinstance(given, bool):
        raise _RuleBrokenError(f'{path}: must be true or false')
    return given


def _check_integer(given: object, rule: rules_pb2.Rule, path: str) -> int:
    if not isinstance(given, int) or isinstance(given, bool):
        raise _RuleBrokenError(f'{path}: must be an integer ({rule.unit})')
    _check_bounds(given, rule, path)
    return given


def _check_number(given: object, rule: rules_pb2.Rule, path: str) -> float:
    if not isinstance(given, int | float) or isinstance(given, bool):
        raise _RuleBrokenError(f'{path}: must be a number ({rule.unit})')
    _check_bounds(given, rule, path)
    return float(given)


def _check_bounds(given: float, rule: rules_pb2.Rule, path: str) -> None:
    if math.isnan(given) or not rule.min <= given <= rule.max:
        raise _RuleBrokenError(
            f'{path}: {given} is out of range, '
            f'{_show(rule.min)} to {_show(rule.max)} {rule.unit}'
        )


def _show(bound: float) -> str:
    return f'{bound:.0f}' if bound == int(bound) else str(bound)
