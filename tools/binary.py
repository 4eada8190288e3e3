"""Builds one executable file with the program and its dependencies.

The file is a zip archive that begins with a shebang line. Python imports
modules from it; a native module is loaded from a temporary file, which is
deleted right after that. The file runs on the Python version that built it,
starts no other process and leaves no files on disk.
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
START_MODULE = ROOT / 'tools' / 'binary_start.py'
EXECUTABLE_MODE = 0o755


def find_distributions() -> dict[str, importlib.metadata.Distribution]:
    """Returns the installed distributions of all dependencies, by name."""
    text = (ROOT / 'pyproject.toml').read_text(encoding='utf-8')
    remaining = list(tomllib.loads(text)['project']['dependencies'])
    distributions: dict[str, importlib.metadata.Distribution] = {}
    while remaining:
        requirement = requirements.Requirement(remaining.pop())
        if requirement.name in distributions:
            continue
        if requirement.marker and not requirement.marker.evaluate(
            {'extra': ''}
        ):
            continue
        dist = importlib.metadata.distribution(requirement.name)
        distributions[requirement.name] = dist
        remaining += dist.requires or []
    return distributions


def copy_distribution(
    dist: importlib.metadata.Distribution, target: pathlib.Path
) -> None:
    """Copies modules and metadata of a distribution, without its scripts."""
    for file in dist.files or ():
        if '..' in file.parts or '__pycache__' in file.parts:
            continue
        copy = target / file
        copy.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(str(file.locate()), copy)


def compile_modules(target: pathlib.Path) -> None:
    """Replaces modules by their bytecode, which loads faster."""
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
    """Writes the shebang line and the archive to an executable file."""
    version = f'{sys.version_info.major}.{sys.version_info.minor}'
    output.parent.mkdir(parents=True, exist_ok=True)
    with output.open('wb') as file:
        file.write(f'#!/usr/bin/env python{version}\n'.encode())
        with zipfile.ZipFile(file, 'w', zipfile.ZIP_DEFLATED) as archive:
            start = START_MODULE.read_text(encoding='utf-8')
            start = start.replace('(3, 11)', repr(sys.version_info[:2]))
            archive.writestr('__main__.py', start)
            for path in sorted(target.rglob('*')):
                # Namespace packages need entries for directories, too.
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
    """Builds the file given on the command line, by default dist/nutmegknot."""
    output = pathlib.Path(sys.argv[1]) if len(sys.argv) > 1 else OUTPUT
    build(output)
    print(f'{output}: {output.stat().st_size / 1e6:.1f} MB')
    return 0


if __name__ == '__main__':
    sys.exit(main())
