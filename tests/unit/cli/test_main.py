"""Tests of cli/main.py: exit codes and error messages of commands."""

import pathlib
import socket

import pytest

from nutmegknot import __main__ as start
from nutmegknot._internal.cli import exit_codes
from nutmegknot._internal.cli import main
from nutmegknot._internal.commands import serve
from nutmegknot._internal.telemetry import logs
from nutmegknot_standins import local_cells

SETTINGS = """
[instance]
region = "r"
domain = "d"
listen = "127.0.0.1:{port}"
peer_listen = "127.0.0.1:{ports[0]}"
http_listen = "127.0.0.1:{ports[1]}"
[platform]
table_url = "http://127.0.0.1:1"
objects_url = "http://127.0.0.1:1"
fleet_url = "http://127.0.0.1:1"
timeout_ms = 100
[cell]
domains = ["r/d"]
"""


def run_serve(path: pathlib.Path, text: str) -> int:
    path.write_text(text)
    return main.run(['serve', '--config', str(path)])


def test_bad_settings_name_key_bound_and_file(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / 'x.toml'
    text = SETTINGS.format(port=9, ports=[8, 7])
    text += '[membership]\nlease_ms = 1\n'
    assert run_serve(path, text) == exit_codes.ExitCode.BAD_SETTINGS
    error = capsys.readouterr().err
    expected = (
        f'{path}: membership.lease_ms: 1 is out of range, 200 to 60000 ms'
    )
    assert error.splitlines()[0] == f'nutmegknot: error: {expected}'
    assert 'Traceback' not in error


def test_missing_settings_file(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / 'none.toml'
    code = main.run(['serve', '--config', str(path)])
    assert code == exit_codes.ExitCode.BAD_SETTINGS
    assert f'{path}: cannot be read: No such file' in capsys.readouterr().err


def test_address_in_use(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    with socket.socket() as listener:
        listener.bind(('127.0.0.1', 0))
        listener.listen()
        port = listener.getsockname()[1]
        text = SETTINGS.format(port=port, ports=local_cells.find_ports(2))
        code = run_serve(tmp_path / 'x.toml', text)
    assert code == exit_codes.ExitCode.PORT_TAKEN
    error = capsys.readouterr().err
    assert f'127.0.0.1:{port}: ' in error
    assert 'Traceback' not in error


def test_unreachable_table_service(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    ports = local_cells.find_ports(3)
    text = SETTINGS.format(port=ports[2], ports=ports)
    code = run_serve(tmp_path / 'x.toml', text)
    assert code == exit_codes.ExitCode.PLATFORM_UNREACHED
    assert 'the table service does not answer' in capsys.readouterr().err


@pytest.mark.parametrize(
    'args', [['serve', '--colour'], ['paint'], ['team', 'set', 'x'], ['serve']]
)
def test_bad_usage(args: list[str], capsys: pytest.CaptureFixture[str]) -> None:
    assert main.run(args) == exit_codes.ExitCode.BAD_USAGE
    assert capsys.readouterr().err.count('Error: ') == 1


def test_unexpected_exception_is_logged_as_one_line(
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def raise_assertion_error(path: pathlib.Path) -> None:
        raise AssertionError('two owners')

    logs.set_up('info')
    monkeypatch.setattr(serve.reader, 'read_file', raise_assertion_error)
    code = main.run(['serve', '--config', 'x'])
    assert code == exit_codes.ExitCode.BROKEN_INVARIANT
    error = capsys.readouterr().err
    assert error.count('\n') == 1
    assert 'event=broken_invariant' in error
    assert 'two owners' in error


def test_unsupported_python_version(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(start.sys, 'version_info', (3, 8, 1))
    assert start.run() == exit_codes.ExitCode.BAD_ENVIRONMENT
    expected = 'nutmegknot: error: needs Python 3.11, this is 3.8\n'
    assert capsys.readouterr().err == expected


def test_operations_page_lists_every_exit_code() -> None:
    page = pathlib.Path(__file__).parents[3] / 'docs' / 'OPERATIONS.md'
    text = page.read_text(encoding='utf-8')
    listed = text.partition('## Exit codes')[2].partition('\n## ')[0]
    codes = [line.split()[1] for line in listed.splitlines()[4:] if line]
    assert [int(code) for code in codes] == sorted(exit_codes.ExitCode)
