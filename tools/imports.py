"""Checks that modules are imported, not names out of them.

Prints one line for each import that breaks the rule; exits with 1 if any.
"""

import ast
import importlib.util
import pathlib
import subprocess
import sys

TYPING_MODULES = frozenset({'typing', 'collections.abc', '__future__'})
GENERATED_SUFFIXES = ('_pb2.py', '_grpc.py')
ROOTS = (pathlib.Path('src'), pathlib.Path('tests'), pathlib.Path('.'))


def is_module(base: str, name: str) -> bool:
    """Tells whether base.name is a module of the tree or an installed one."""
    rel = pathlib.Path(*base.split('.')) / name
    for root in ROOTS:
        if (root / rel).is_dir() or (root / rel).with_suffix('.py').is_file():
            return True
    try:
        return importlib.util.find_spec(f'{base}.{name}') is not None
    except (ImportError, AttributeError):
        return False


def find_name_imports(path: pathlib.Path) -> list[str]:
    """Returns a line for each imported name in the file."""
    lines: list[str] = []
    for node in ast.walk(ast.parse(path.read_text(encoding='utf-8'))):
        if not isinstance(node, ast.ImportFrom) or node.module is None:
            continue
        if node.module in TYPING_MODULES:
            continue
        lines.extend(
            f'{path}:{node.lineno}: imports the name {alias.name}'
            for alias in node.names
            if not is_module(node.module, alias.name)
        )
    return lines


def main() -> int:
    """Checks the tracked Python files below the current folder."""
    listed = subprocess.run(
        ['git', 'ls-files', '*.py'], capture_output=True, text=True, check=True
    )
    paths = [
        pathlib.Path(name)
        for name in listed.stdout.split()
        if not name.endswith(GENERATED_SUFFIXES)
    ]
    sys.path[:0] = ['src', 'tests']
    lines = [
        line
        for path in paths
        if path.exists()
        for line in find_name_imports(path)
    ]
    print('\n'.join(lines) or 'only modules are imported')
    return bool(lines)


if __name__ == '__main__':
    sys.exit(main())
