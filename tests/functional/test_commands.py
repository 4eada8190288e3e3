"""Commands against one local cell."""

from collections.abc import AsyncIterator
import dataclasses
import json
import pathlib
from typing import Any

import pytest
import pytest_asyncio

from nutmegknot._internal.cli import errors
from nutmegknot._internal.cli import exit_codes
from nutmegknot._internal.commands import apply
from nutmegknot._internal.commands import caller_arguments
from nutmegknot._internal.commands import cell_arguments
from nutmegknot._internal.commands import config
from nutmegknot._internal.commands import demonstration
from nutmegknot._internal.commands import domain
from nutmegknot._internal.commands import job
from nutmegknot._internal.commands import key
from nutmegknot._internal.commands import operator
from nutmegknot._internal.commands import operator_arguments
from nutmegknot._internal.commands import submit
from nutmegknot._internal.commands import team
from nutmegknot._internal.network import clients
from nutmegknot_standins import local_cells

Output = pytest.CaptureFixture[str]


@pytest_asyncio.fixture
async def server() -> AsyncIterator[str]:
    cell = await local_cells.start(instances=1, workers=3)
    assert isinstance(cell, local_cells.LocalCell)
    client = clients.connect(cell.addresses[0])
    try:
        await demonstration.wait_until_ready(client)
        yield cell.addresses[0]
    finally:
        clients.close(client)
        await local_cells.stop(cell)


def read_objects(capsys: Output) -> list[dict[str, object]]:
    return [json.loads(line) for line in capsys.readouterr().out.splitlines()]


async def test_team_with_key_submits_until_it_is_withdrawn(
    server: str, capsys: Output, tmp_path: pathlib.Path
) -> None:
    shared: dict[str, Any] = {
        'server': server,
        'output': 'json',
        'reason': 'test',
    }
    new_team = operator_arguments.TeamSet(
        name='sheets', cores=4.0, memory_mib=4000, slots=4, **shared
    )
    assert await team.set_team(new_team) is None
    assert (
        await key.add_key(operator_arguments.KeyAdd(team='sheets', **shared))
        is None
    )
    shown = read_objects(capsys)[-1]
    path = tmp_path / 'key'
    path.write_text(str(shown['key']))
    command = caller_arguments.Submit(
        id='s-1',
        queue='batch',
        key_file=path,
        payload='{"run_ms": 1, "answer": "hi"}',
        wait_ms=10_000,
        server=server,
        output='json',
    )
    assert await submit.submit_request(command) is None
    assert read_objects(capsys)[-1]['answers'] == ['hi']
    withdrawal = operator_arguments.KeyWithdraw(id=str(shown['id']), **shared)
    assert await key.withdraw_key(withdrawal) is None
    again = dataclasses.replace(command, id='s-2')
    error = await submit.submit_request(again)
    assert isinstance(error, errors.CommandError)
    assert error.code == exit_codes.ExitCode.REFUSED
    assert 'not run' in error.detail


async def test_apply_is_idempotent_and_shows_conflicts(
    server: str, capsys: Output, tmp_path: pathlib.Path
) -> None:
    show = cell_arguments.ConfigShow(server=server)
    assert await config.show_config(show) is None
    text = capsys.readouterr().out
    path = tmp_path / 'cell.toml'
    path.write_text(text.replace('share = 1.0', 'share = 2.0'))
    command = cell_arguments.Apply(file=path, server=server, reason='test')
    dry_run = dataclasses.replace(command, dry_run=True)
    assert await apply.apply_file(dry_run) is None
    assert capsys.readouterr().out.splitlines() == [
        '~ team demo: share 1.0 -> 2.0',
        'not applied; revision 1 stays in force',
    ]
    assert await apply.apply_file(command) is None
    assert 'revision 2 is in force' in capsys.readouterr().out
    assert await apply.apply_file(command) is None
    expected = 'no difference; revision 2 stays in force\n'
    assert capsys.readouterr().out == expected
    path.write_text(text.replace('share = 1.0', 'share = 3.0'))
    error = await apply.apply_file(command)
    assert isinstance(error, errors.CommandError)
    assert error.code == exit_codes.ExitCode.CONFLICT
    out = capsys.readouterr().out
    assert 'share 2.0 -> 3.0' in out
    assert 'in force, revision 2:' in out


async def test_explain_and_domains(server: str, capsys: Output) -> None:
    client = clients.connect(server)
    call = demonstration.make_submit_call('large')
    call.request.size.millicores = 7_900
    call.request.members = 4
    await client.caller.Submit(call)
    clients.close(client)
    explain = cell_arguments.JobExplain(
        id='large', team='demo', server=server, output='json'
    )
    assert await job.explain_job(explain) is None
    shown = read_objects(capsys)[-1]
    assert shown['state'] == 'queued'
    assert shown['held_by']
    close = cell_arguments.DomainClose(
        name='domain-a', server=server, reason='test', output='json'
    )
    assert await domain.close_domain(close) is None
    preview, change = read_objects(capsys)
    assert preview['partition'] == 'fleet-domain-a-0'
    assert change['changes'] == ['~ domain domain-a: state open -> closed']


async def test_operator_key_is_demanded_once_there_is_one(
    server: str, capsys: Output, tmp_path: pathlib.Path
) -> None:
    command = operator_arguments.OperatorAdd(
        name='asha', server=server, reason='test', output='json'
    )
    assert await operator.add_operator(command) is None
    path = tmp_path / 'key'
    path.write_text(str(read_objects(capsys)[-1]['key']))
    teams = operator_arguments.TeamList(server=server)
    error = await team.list_teams(teams)
    assert isinstance(error, errors.CommandError)
    assert error.code == exit_codes.ExitCode.NOT_ALLOWED
    with_key = dataclasses.replace(teams, key_file=path)
    assert await team.list_teams(with_key) is None
    assert 'demo' in capsys.readouterr().out
