"""Settings of an instance, read from TOML and checked against the schema."""

import pathlib

from nutmegknot._internal.schema import settings_pb2
from nutmegknot._internal.settings import checks
from nutmegknot._internal.settings import trees

BadSettings = trees.BadTree


def read_file(path: pathlib.Path) -> settings_pb2.Settings | BadSettings:
    """Reads and checks a settings file."""
    text = trees.read_file(path)
    if isinstance(text, trees.BadTree):
        return text
    return read_text(text, str(path))


def read_text(text: str, source: str) -> settings_pb2.Settings | BadSettings:
    """Parses and checks settings from TOML text; errors begin with source."""
    settings = settings_pb2.Settings()
    invalid = trees.fill_from_text(settings, text, source)
    if invalid is not None:
        return invalid
    error = checks.find_error(settings)
    return BadSettings(f'{source}: {error}') if error else settings
