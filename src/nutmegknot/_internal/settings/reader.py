"""Reads settings from TOML and checks them against the schema's rules."""

import dataclasses
import pathlib
import tomllib
from typing import Any

from google.protobuf import descriptor
from google.protobuf import message as message_lib

from nutmegknot._internal.schema import rules_pb2
from nutmegknot._internal.schema import settings_pb2

_FIELD = descriptor.FieldDescriptor
# The generated code and the C library name the same thing differently.
_AnyField = Any
_INTEGERS = frozenset({_FIELD.TYPE_UINT32, _FIELD.TYPE_UINT64})


@dataclasses.dataclass(slots=True, frozen=True)
class BadSettings:
    """The settings can't be used; detail is one line that names the key."""

    detail: str


class _RuleBrokenError(Exception):
    """Carries the line about a key out of the nested checks below."""


def read_file(path: pathlib.Path) -> settings_pb2.Settings | BadSettings:
    """Reads a settings file."""
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return BadSettings(f'{path}: cannot be read: {error}')
    return read_text(text, str(path))


def read_text(text: str, source: str) -> settings_pb2.Settings | BadSettings:
    """Reads settings from TOML text; source names it in errors."""
    try:
        tree = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return BadSettings(f'{source}: not TOML: {error}')
    settings = settings_pb2.Settings()
    try:
        _fill(settings, tree, '')
    except _RuleBrokenError as error:
        return BadSettings(f'{source}: {error}')
    return settings


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
            _fill(getattr(target, name), inner, f'{path}.')
            getattr(target, name).SetInParent()
        else:
            _fill_value(target, field, tree.get(name), path)


def _fill_value(
    target: message_lib.Message,
    field: _AnyField,
    given: Any,  # noqa: ANN401 - any TOML value may stand here
    path: str,
) -> None:
    rule = _get_rule(field)
    if given is None:
        given = _read_default(field, rule, path)
    if field.is_repeated:
        getattr(target, field.name).extend(_check_list(given, rule, path))
    elif field.type in _INTEGERS:
        setattr(target, field.name, _check_integer(given, rule, path))
    else:
        setattr(target, field.name, _check_text(given, rule, path))


def _get_rule(field: _AnyField) -> rules_pb2.Rule:
    extensions: Any = field.GetOptions().Extensions
    rule: rules_pb2.Rule = extensions[rules_pb2.rule]
    return rule


def _read_default(field: _AnyField, rule: rules_pb2.Rule, path: str) -> Any:  # noqa: ANN401 - depends on the field
    if rule.default:
        is_integer = field.type in _INTEGERS
        return int(rule.default) if is_integer else rule.default
    if rule.optional:
        return [] if field.is_repeated else ''
    raise _RuleBrokenError(f'{path}: missing')


def _check_list(given: object, rule: rules_pb2.Rule, path: str) -> list[str]:
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
    return given


def _check_integer(given: object, rule: rules_pb2.Rule, path: str) -> int:
    if not isinstance(given, int) or isinstance(given, bool):
        raise _RuleBrokenError(f'{path}: must be an integer ({rule.unit})')
    if not rule.min <= given <= rule.max:
        raise _RuleBrokenError(
            f'{path}: {given} is out of range, '
            f'{rule.min:.0f} to {rule.max:.0f} {rule.unit}'
        )
    return given
