"""Start of the executable file; see tools/binary.py."""

from __future__ import annotations

import importlib.machinery
import sys
import tempfile
import types
import zipfile

VERSION = (3, 11)
BAD_ENVIRONMENT = 3


def find_native_modules(archive: str) -> dict[str, str]:
    """Returns the names inside the archive of native modules, by module."""
    found = {}
    with zipfile.ZipFile(archive) as opened:
        for name in opened.namelist():
            folder, _, file = name.rpartition('/')
            for suffix in importlib.machinery.EXTENSION_SUFFIXES:
                if file.endswith(suffix):
                    parts = [*folder.split('/'), file[: -len(suffix)]]
                    found['.'.join(filter(None, parts))] = name
                    break
    return found


class NativeFinder:
    """Finds and loads native modules in the archive.

    The system loads them from files only, so each goes through a temporary one
    that is deleted as soon as it is loaded.
    """

    def __init__(self, archive: str) -> None:
        """Reads where the native modules are in the archive."""
        self.archive = archive
        self.names = find_native_modules(archive)

    def find_spec(
        self, name: str, path: object = None, target: object = None
    ) -> importlib.machinery.ModuleSpec | None:
        """Returns the spec of a native module, or None for others."""
        if name not in self.names:
            return None
        return importlib.machinery.ModuleSpec(
            name,
            self,  # type: ignore[arg-type]
            origin=self.names[name],
        )

    def create_module(
        self, spec: importlib.machinery.ModuleSpec
    ) -> types.ModuleType:
        """Loads the module through a temporary file."""
        with zipfile.ZipFile(self.archive) as opened:
            data = opened.read(self.names[spec.name])
        with tempfile.NamedTemporaryFile(suffix='.so') as file:
            file.write(data)
            file.flush()
            loader = importlib.machinery.ExtensionFileLoader(
                spec.name, file.name
            )
            spec.loader_state = loader
            native = importlib.machinery.ModuleSpec(
                spec.name, loader, origin=file.name
            )
            return loader.create_module(native)

    def exec_module(self, module: types.ModuleType) -> None:
        """Runs the module's initialization."""
        spec = module.__spec__
        assert spec is not None
        spec.loader_state.exec_module(module)


def run() -> int:
    """Checks the Python version, then runs the command line."""
    if sys.version_info[:2] != VERSION:
        needed = '.'.join(str(part) for part in VERSION)
        found = '.'.join(str(part) for part in sys.version_info[:2])
        sys.stderr.write(
            f'nutmegknot: error: this file needs Python {needed}, '
            f'this is {found}\n'
        )
        return BAD_ENVIRONMENT
    finder = NativeFinder(sys.argv[0])
    sys.meta_path.insert(0, finder)
    from nutmegknot import __main__

    return __main__.run()


if __name__ == '__main__':
    sys.exit(run())
