"""Builds one executable file with the program and all that it needs.

The file is a zip archive with a start line. Python reads modules out of it;
native modules go through a temporary file that is deleted once loaded. It runs
on the Python version that built it, starts no other process, and leaves
nothing on disk.
"""

import compileall
import importlib.metadata
import pathlib
import py_compile
import shutil
import sys
import tempfile
import tomllib
import zipfile

from packaging import requirements

ROOT = pathlib.Path(__file__).parent.parent
PACKAGES = ('nutmegknot', 'nutmegknot_standins')
OUTPUT = ROOT / 'dist' / 'nutmegknot'
START = ROOT / 'tools' / 'binary_start.py'
EXECUTABLE_MODE = 0o755


def find_distributions() -> dict[str, importlib.metadata.Distribution]:
    """Returns the installed distributions that the program needs, by name."""
    text = (ROOT / 'pyproject.toml').read_text(encoding='utf-8')
    wanted = list(tomllib.loads(text)['project']['dependencies'])
    found: dict[str, importlib.metadata.Distribution] = {}
    while wanted:
        need = requirements.Requirement(wanted.pop())
        if need.name in found:
            continue
        if need.marker and not need.marker.evaluate({'extra': ''}):
            continue
        dist = importlib.metadata.distribution(need.name)
        found[need.name] = dist
        wanted += dist.requires or []
    return found


def copy_distribution(
    dist: importlib.metadata.Distribution, target: pathlib.Path
) -> None:
    """Copies modules and metadata of a distribution, scripts left out."""
    for file in dist.files or ():
        if '..' in file.parts or '__pycache__' in file.parts:
            continue
        copied = target / file
        copied.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(str(file.locate()), copied)


def compile_modules(target: pathlib.Path) -> None:
    """Replaces each module by its compiled form, which starts faster."""
    compileall.compile_dir(
        target,
        quiet=2,
        legacy=True,
        stripdir=str(target),
        invalidation_mode=py_compile.PycInvalidationMode.UNCHECKED_HASH,
    )
    for source in target.rglob('*.py'):
        if source.with_suffix('.pyc').exists():
            source.unlink()


def write_archive(target: pathlib.Path, output: pathlib.Path) -> None:
    """Writes the start line and the archive into an executable file."""
    version = f'{sys.version_info.major}.{sys.version_info.minor}'
    output.parent.mkdir(parents=True, exist_ok=True)
    with output.open('wb') as file:
        file.write(f'#!/usr/bin/env python{version}\n'.encode())
        with zipfile.ZipFile(file, 'w', zipfile.ZIP_DEFLATED) as archive:
            start = START.read_text(encoding='utf-8')
            start = start.replace('(3, 11)', repr(sys.version_info[:2]))
            archive.writestr('__main__.py', start)
            for path in sorted(target.rglob('*')):
                # Folders are entries too, as namespace packages need them.
                archive.write(path, path.relative_to(target))
    output.chmod(EXECUTABLE_MODE)


def build(output: pathlib.Path) -> None:
    """Builds the executable file."""
    with tempfile.TemporaryDirectory() as folder:
        target = pathlib.Path(folder)
        for dist in find_distributions().values():
            copy_distribution(dist, target)
        for name in PACKAGES:
            shutil.copytree(
                ROOT / 'src' / name,
                target / name,
                ignore=shutil.ignore_patterns('__pycache__', '*.pyi'),
            )
        compile_modules(target)
        write_archive(target, output)


def main() -> int:
    """Builds the file that the command line names, or dist/nutmegknot."""
    output = pathlib.Path(sys.argv[1]) if len(sys.argv) > 1 else OUTPUT
    build(output)
    print(f'{output}: {output.stat().st_size / 1e6:.1f} MB')
    return 0


if __name__ == '__main__':
    sys.exit(main())
