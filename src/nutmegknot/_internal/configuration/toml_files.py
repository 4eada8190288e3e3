"""Reads and writes configurations as TOML files."""

import dataclasses
import json
from typing import Any

from google.protobuf import descriptor
from google.protobuf import message as message_lib

from nutmegknot._internal.codec import configurations
from nutmegknot._internal.models import cells
from nutmegknot._internal.schema import operator_pb2
from nutmegknot._internal.settings import toml_messages

_FIELD = descriptor.FieldDescriptor


def parse_toml(
    text: str, source: str, current: cells.Configuration
) -> cells.Configuration | toml_messages.InvalidToml:
    """Returns the configuration that a file describes.

    Args:
      text: The TOML text.
      source: Name of the file, for errors.
      current: The current configuration. The keys of teams and operators are
        taken from it, as files don't contain them, and so is the revision if
        the file has none.
    """
    message = operator_pb2.ConfigurationFile()
    error = toml_messages.fill_from_toml(message, text, source)
    if error is not None:
        return error
    whole = operator_pb2.Configuration(
        teams=message.teams,
        queues=message.queues,
        services=message.services,
        domains=message.domains,
    )
    config = configurations.decode_configuration(whole)
    return dataclasses.replace(
        config,
        revision=message.revision or current.revision,
        keys=current.keys,
        operators=current.operators,
    )


def format_toml(config: cells.Configuration) -> str:
    """Returns a configuration as the text of a TOML file, without keys."""
    whole = configurations.encode_configuration(config)
    lines = [f'revision = {config.revision}']
    for section in operator_pb2.ConfigurationFile.DESCRIPTOR.fields:
        if not section.is_repeated:
            continue
        for item in getattr(whole, section.name):
            lines += ['', *_format_item(item, section.name)]
    return '\n'.join(lines) + '\n'


def _format_item(item: message_lib.Message, section: str) -> list[str]:
    fields: list[Any] = list(item.DESCRIPTOR.fields)
    name = getattr(item, fields[0].name)
    lines = [f'[{section}.{_quote(name)}]']
    lines += [
        f'{field.name} = {_format_value(item, field)}' for field in fields[1:]
    ]
    return lines


def _format_value(item: message_lib.Message, field: Any) -> str:  # noqa: ANN401
    value = getattr(item, field.name)
    if field.type == _FIELD.TYPE_MESSAGE:
        parts = ', '.join(
            f'{part.name} = {_format_value(value, part)}'
            for part in list(value.DESCRIPTOR.fields)
        )
        return f'{{ {parts} }}'
    if field.type == _FIELD.TYPE_ENUM:
        choices = toml_messages.list_enum_values(field)
        names = {number: name for name, number in choices.items()}
        return _quote(names[value])
    if isinstance(value, bytes):
        return _quote(value.decode('utf-8', 'backslashreplace'))
    return _quote(value) if isinstance(value, str) else str(value).lower()


def _quote(text: str) -> str:
    """Returns a TOML basic string; JSON's escapes are valid in it."""
    return json.dumps(text, ensure_ascii=False).replace('\x7f', '\\u007f')
