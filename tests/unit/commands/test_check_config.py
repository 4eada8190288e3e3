"""Tests of commands/check_config.py: output and exit codes."""

import json
import pathlib

import pytest
from unit.configuration import builders

from nutmegknot._internal.cli import exit_codes
from nutmegknot._internal.cli import main


def run(path: pathlib.Path, fields: object, *args: str) -> int:
    file = path / 'new.json'
    file.write_text(json.dumps(fields))
    return main.run(['check-config', str(file), *args])


def test_warnings_alone_do_not_fail(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against scripts that stop at what instances accept."""
    assert run(tmp_path, builders.SOUND) == exit_codes.ExitCode.OK
    assert capsys.readouterr().out == 'no findings\n'
    fields = builders.change('tenants.1.apiKeys', ['k-film-1'])
    assert run(tmp_path, fields) == exit_codes.ExitCode.OK
    output = capsys.readouterr().out
    assert output.splitlines()[1].split()[:2] == [
        'warning',
        'tenants[0].apiKeys',
    ]
    assert 'k-film-1' not in output


def test_errors_fail_and_are_printed_as_json(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against an unreadable configuration that passes."""
    fields = builders.change('routes.0.pathPrefix', 5)
    del fields['version']
    code = run(tmp_path, fields, '--format', 'json')
    assert code == exit_codes.ExitCode.BAD_SETTINGS
    captured = capsys.readouterr()
    assert [json.loads(line) for line in captured.out.splitlines()] == [
        {'severity': 'error', 'place': 'version', 'finding': 'is missing'},
        {
            'severity': 'error',
            'place': 'routes[0].pathPrefix',
            'finding': 'not a text: int',
        },
    ]
    assert 'new.json: 2 error(s)' in captured.err


def test_unusable_files_are_named(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a check that skips what it was asked to compare."""
    other = tmp_path / 'other.json'
    for option, text, expected in (
        ('--in-force', '{"version": -1}', 'version: number out of range'),
        ('--in-force', '', 'not JSON: '),
        ('--workers', '{}', 'not a list'),
    ):
        other.write_text(text)
        code = run(tmp_path, builders.SOUND, option, str(other))
        assert code == exit_codes.ExitCode.BAD_SETTINGS
        assert f'{other}: {expected}' in capsys.readouterr().err
    code = run(tmp_path, builders.SOUND, '--workers', str(tmp_path / 'x'))
    assert code == exit_codes.ExitCode.BAD_SETTINGS


def test_unusable_and_draining_workers_are_left_out(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against room that no task can use."""
    workers = [dict(worker) for worker in builders.WORKERS]
    workers[0]['state'] = 'draining'
    del workers[1]['capacity']
    listed = tmp_path / 'workers.json'
    listed.write_text(json.dumps(workers))
    code = run(tmp_path, builders.SOUND, '--workers', str(listed))
    assert code == exit_codes.ExitCode.OK
    lines = capsys.readouterr().out.splitlines()[1:]
    assert [line.split()[:2] for line in lines] == [
        ['warning', 'workers[1]'],
        ['warning', 'routes[0].service'],
        ['note', 'tenants[0].cap.cpu'],
    ]
