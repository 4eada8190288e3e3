"""Format of log lines."""

import pytest

from nutmegknot._internal.telemetry import logs


@pytest.mark.parametrize('code', range(0x250))
def test_values_are_quoted_if_a_reader_could_split_them(code: int) -> None:
    text = f'a{chr(code)}'
    line = logs.format_pairs({'key': text})
    needs_quotes = chr(code) in ' "=\\' or not chr(code).isprintable()
    assert line.startswith('key="') is needs_quotes
    assert '\n' not in line
    if not needs_quotes:
        assert line == f'key={text}'


@pytest.mark.parametrize(
    ('text', 'quoted'),
    [
        ('2026-12-04 21:33:46,123', '"2026-12-04 21:33:46,123"'),
        ('', '""'),
        ('a=b', '"a=b"'),
        ('say "x"', '"say \\"x\\""'),
        ('back\\slash', '"back\\\\slash"'),
        ('line\nend', '"line\\nend"'),
    ],
)
def test_quoted_values(text: str, quoted: str) -> None:
    assert logs.format_pairs({'key': text}) == f'key={quoted}'
