"""Settings of an instance, read from TOML and checked against the schema."""

import pathlib

from nutmegknot._internal.schema import settings_pb2
from nutmegknot._internal.settings import checks
from nutmegknot._internal.settings import toml_messages

InvalidSettings = toml_messages.InvalidToml


def read_file(path: pathlib.Path) -> settings_pb2.Settings | InvalidSettings:
    """Reads and checks a settings file."""
    text = toml_messages.read_file(path)
    if isinstance(text, toml_messages.InvalidToml):
        return text
    return parse_toml(text, str(path))


def parse_toml(
    text: str, source: str
) -> settings_pb2.Settings | InvalidSettings:
    """Parses and checks settings from TOML text; errors begin with source."""
    settings = settings_pb2.Settings()
    invalid = toml_messages.fill_from_toml(settings, text, source)
    if invalid is not None:
        return invalid
    error = checks.find_error(settings)
    return InvalidSettings(f'{source}: {error}') if error else settings
