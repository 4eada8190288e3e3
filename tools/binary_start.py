"""Entry point of the executable file that tools/binary.py builds.

It makes native modules in the archive importable.
"""

from __future__ import annotations

import importlib.machinery
import sys
import tempfile
import types
import zipfile

# The build replaces this text by the version of Python that it runs on.
PYTHON_VERSION = (3, 11)
BAD_ENVIRONMENT_EXIT_CODE = 3


def find_native_modules(archive: str) -> dict[str, str]:
    """Returns the path in the archive of each native module, by module name."""
    found = {}
    with zipfile.ZipFile(archive) as archive_file:
        for name in archive_file.namelist():
            folder, _, file = name.rpartition('/')
            for suffix in importlib.machinery.EXTENSION_SUFFIXES:
                if file.endswith(suffix):
                    parts = [*folder.split('/'), file[: -len(suffix)]]
                    found['.'.join(filter(None, parts))] = name
                    break
    return found


class NativeFinder:
    """Finds and loads native modules in the archive.

    The operating system can load them only from files. Each is written to a
    temporary file, which is deleted right after loading.
    """

    def __init__(self, archive: str) -> None:
        """Finds the native modules in the archive."""
        self.archive = archive
        self.names = find_native_modules(archive)

    def find_spec(
        self, name: str, path: object = None, target: object = None
    ) -> importlib.machinery.ModuleSpec | None:
        """Returns the spec of a native module, or None for any other module."""
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
        """Loads the module from a temporary file."""
        with zipfile.ZipFile(self.archive) as archive_file:
            data = archive_file.read(self.names[spec.name])
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
        """Runs the initialization of the module."""
        spec = module.__spec__
        assert spec is not None
        spec.loader_state.exec_module(module)


def run() -> int:
    """Checks the Python version, then runs the command line.

    Returns the exit code.
    """
    if sys.version_info[:2] != PYTHON_VERSION:
        required = '.'.join(str(part) for part in PYTHON_VERSION)
        found = '.'.join(str(part) for part in sys.version_info[:2])
        sys.stderr.write(
            f'nutmegknot: error: this file needs Python {required}, '
            f'this is {found}\n'
        )
        return BAD_ENVIRONMENT_EXIT_CODE
    finder = NativeFinder(sys.argv[0])
    sys.meta_path.insert(0, finder)
    from nutmegknot import __main__

    return __main__.run()


if __name__ == '__main__':
    sys.exit(run())
