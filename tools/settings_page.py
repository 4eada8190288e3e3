"""Generates the tables of settings in docs/OPERATIONS.md from the schema.

With --check, writes nothing and exits with 1 if the tables are out of date.
"""

import pathlib
import sys
import tempfile
from typing import Any

from google.protobuf import descriptor_pb2
from grpc_tools import protoc

from nutmegknot._internal.schema import rules_pb2

ROOT = pathlib.Path(__file__).parent.parent
PAGE = ROOT / 'docs' / 'OPERATIONS.md'
SCHEMA = 'nutmegknot/_internal/schema/settings.proto'
BEGIN = '<!-- settings: written by tools/settings_page.py -->'
END = '<!-- settings: end -->'
# Numbers of the fields FileDescriptorProto.message_type and
# DescriptorProto.field; the path of a source location consists of such numbers
# and of indexes.
MESSAGE_TYPE_FIELD, MESSAGE_FIELD_FIELD = 4, 2


def read_schema() -> descriptor_pb2.FileDescriptorProto:
    """Returns the schema of the settings, including its comments."""
    with tempfile.NamedTemporaryFile() as file:
        code = protoc.main(
            [
                'protoc',
                f'-I{ROOT / "src"}',
                f'-I{pathlib.Path(protoc.__file__).parent / "_proto"}',
                f'--descriptor_set_out={file.name}',
                '--include_source_info',
                SCHEMA,
            ]
        )
        assert code == 0, 'the schema cannot be read'
        data = pathlib.Path(file.name).read_bytes()
    return descriptor_pb2.FileDescriptorSet.FromString(data).file[0]


def read_comments(
    file: descriptor_pb2.FileDescriptorProto,
) -> dict[tuple[int, ...], str]:
    """Returns the comment before each schema item, by its source path."""
    return {
        tuple(location.path): ' '.join(location.leading_comments.split())
        for location in file.source_code_info.location
        if location.leading_comments
    }


def format_tables(file: descriptor_pb2.FileDescriptorProto) -> str:
    """Returns a table for each group of settings, in Markdown."""
    comments = read_comments(file)
    numbers = {m.name: n for n, m in enumerate(file.message_type)}
    lines = []
    for group in file.message_type[numbers['Settings']].field:
        number = numbers[group.type_name.rpartition('.')[2]]
        lines += ['', f'### [{group.name}]', '']
        intro = comments.get((MESSAGE_TYPE_FIELD, number))
        lines += [intro, ''] if intro else []
        lines += ['| key | default | bounds | meaning |']
        lines += ['| --- | --- | --- | --- |']
        for location, field in enumerate(file.message_type[number].field):
            path = (MESSAGE_TYPE_FIELD, number, MESSAGE_FIELD_FIELD, location)
            lines.append(format_row(field, comments.get(path, '')))
    return '\n'.join(lines) + '\n'


def format_row(field: descriptor_pb2.FieldDescriptorProto, comment: str) -> str:
    """Returns the table row of one setting."""
    extensions: Any = field.options.Extensions
    rule: rules_pb2.Rule = extensions[rules_pb2.rule]
    is_number = field.type in (field.TYPE_UINT32, field.TYPE_UINT64)
    if rule.default:
        default = rule.default if is_number else f'`"{rule.default}"`'
    else:
        default = 'empty' if rule.optional else 'required'
    bounds = rule.unit
    if is_number:
        bounds = f'{rule.min:.0f} to {rule.max:.0f} {rule.unit}'
    return f'| `{field.name}` | {default} | {bounds} | {comment} |'


def replace_tables(text: str, tables: str) -> str:
    """Returns the page with its tables replaced."""
    head, _, rest = text.partition(BEGIN)
    _, _, tail = rest.partition(END)
    return f'{head}{BEGIN}\n{tables}\n{END}{tail}'


def main() -> int:
    """Writes or checks the page; returns the exit code."""
    text = PAGE.read_text(encoding='utf-8')
    updated = replace_tables(text, format_tables(read_schema()))
    if '--check' not in sys.argv:
        PAGE.write_text(updated, encoding='utf-8')
        return 0
    if updated != text:
        print(f'{PAGE.name}: out of date with the settings; run make generate')
        return 1
    return 0


if __name__ == '__main__':
    sys.exit(main())
