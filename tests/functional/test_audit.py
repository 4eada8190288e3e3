"""Audit commands on the history of requests and configurations."""

from collections.abc import AsyncIterator
import dataclasses
import json

import pytest
import pytest_asyncio

from nutmegknot._internal.cli import errors
from nutmegknot._internal.cli import exit_codes
from nutmegknot._internal.commands import audit
from nutmegknot._internal.commands import cell_arguments
from nutmegknot._internal.commands import demonstration
from nutmegknot._internal.configuration import changes
from nutmegknot._internal.network import clients
from nutmegknot_standins import local_cells

Output = pytest.CaptureFixture[str]


@pytest_asyncio.fixture
async def cell() -> AsyncIterator[local_cells.LocalCell]:
    started = await local_cells.start(instances=2, workers=3)
    assert isinstance(started, local_cells.LocalCell)
    client = clients.connect(started.addresses[0])
    await demonstration.wait_until_ready(client)
    call = demonstration.make_submit_call('seen', repeatable=False)
    outcome = await demonstration.submit_and_wait(client, call)
    assert outcome.HasField('finished'), outcome
    yield started
    clients.close(client)
    await local_cells.stop(started)


def read_objects(capsys: Output) -> list[dict[str, str]]:
    return [json.loads(line) for line in capsys.readouterr().out.splitlines()]


def corrupt_row(cell: local_cells.LocalCell, key: str) -> None:
    rows = cell.platform.table.rows
    value, version = rows[key]
    rows[key] = (value[:-1] + bytes([value[-1] ^ 1]), version)


async def test_steps_of_one_request(
    cell: local_cells.LocalCell, capsys: Output
) -> None:
    command = cell_arguments.AuditList(
        request='demo/seen', server=cell.addresses[0], output='json'
    )
    assert await audit.list_audit(command) is None
    lines = read_objects(capsys)
    assert [line['step'] for line in lines] == [
        'accepted',
        'started',
        'finished',
    ]
    assert 'at most once' in lines[0]['detail']
    later = dataclasses.replace(command, since='2999-01-01')
    assert await audit.list_audit(later) is None
    assert read_objects(capsys) == []
    wrong = dataclasses.replace(command, since='yesterday')
    error = await audit.list_audit(wrong)
    assert isinstance(error, errors.CommandError)
    assert error.code == exit_codes.ExitCode.BAD_USAGE


async def test_changes_name_operator_and_reason(
    cell: local_cells.LocalCell, capsys: Output
) -> None:
    command = cell_arguments.AuditList(
        changes=True, server=cell.addresses[0], output='json'
    )
    assert await audit.list_audit(command) is None
    (line,) = read_objects(capsys)
    assert line['subject'] == 'revision 1'
    assert line['detail'].startswith('local: first configuration: + team demo')


@pytest.mark.parametrize('chain', ['configuration', 'ledger'])
async def test_changed_row_is_found(
    cell: local_cells.LocalCell, capsys: Output, chain: str
) -> None:
    command = cell_arguments.AuditVerify(
        server=cell.addresses[0], output='json'
    )
    # A partition that is being handed over is not verified.
    while error := await audit.verify_audit(command):
        assert error.code == exit_codes.ExitCode.UNKNOWN
        read_objects(capsys)
    states = read_objects(capsys)
    assert all(state['fault'] == '' for state in states)
    if chain == 'configuration':
        key = changes.get_audit_key(1)
    else:
        listed = cell_arguments.AuditList(
            request='demo/seen', server=cell.addresses[0], output='json'
        )
        assert await audit.list_audit(listed) is None
        chain = read_objects(capsys)[0]['chain']
        rows = cell.platform.table.rows
        key = min(row for row in rows if row.startswith(f'journal/{chain}/'))
    corrupt_row(cell, key)
    error = await audit.verify_audit(command)
    assert isinstance(error, errors.CommandError)
    assert error.code == exit_codes.ExitCode.DAMAGED
    assert chain in error.detail
