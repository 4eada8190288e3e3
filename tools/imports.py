"""Checks that code imports modules, not names from modules.

Prints one line for each import that violates the rule; exits with 1 if there is
any. Names may be imported from typing, collections.abc and __future__.
"""

import ast
import importlib.util
import pathlib
import subprocess
import sys

TYPING_MODULES = frozenset({'typing', 'collections.abc', '__future__'})
GENERATED_SUFFIXES = ('_pb2.py', '_grpc.py')
IMPORT_ROOTS = (pathlib.Path('src'), pathlib.Path('tests'), pathlib.Path('.'))


def is_module(base: str, name: str) -> bool:
    """Returns whether base.name is a module of this project or installed."""
    relative_path = pathlib.Path(*base.split('.')) / name
    for root in IMPORT_ROOTS:
        if (root / relative_path).is_dir() or (
            root / relative_path
        ).with_suffix('.py').is_file():
            return True
    try:
        return importlib.util.find_spec(f'{base}.{name}') is not None
    except (ImportError, AttributeError):
        return False


def find_name_imports(path: pathlib.Path) -> list[str]:
    """Returns an output line for each name that a file imports."""
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
    """Checks the Python files tracked by git below the current folder."""
    git_result = subprocess.run(
        ['git', 'ls-files', '*.py'], capture_output=True, text=True, check=True
    )
    paths = [
        pathlib.Path(name)
        for name in git_result.stdout.split()
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
