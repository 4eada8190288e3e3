"""Reads settings from TOML and checks them against the schema's rules."""

import pathlib

from nutmegknot._internal.schema import settings_pb2
from nutmegknot._internal.settings import checks
from nutmegknot._internal.settings import trees

BadSettings = trees.BadTree


def read_file(path: pathlib.Path) -> settings_pb2.Settings | BadSettings:
    """Reads a settings file."""
    text = trees.read_file(path)
    if isinstance(text, trees.BadTree):
        return text
    return read_text(text, str(path))


def read_text(text: str, source: str) -> settings_pb2.Settings | BadSettings:
    """Reads settings from TOML text; source names it in errors."""
    settings = settings_pb2.Settings()
    bad = trees.fill_from_text(settings, text, source)
    if bad is not None:
        return bad
    fault = checks.find_fault(settings)
    return BadSettings(f'{source}: {fault}') if fault else settings
