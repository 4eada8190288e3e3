"""Odd entries of other writers in the store, in answers and in calls."""

import asyncio
import base64
import json
from typing import Any

from lib import job_cells
from lib import job_views
import pytest

from nutmegknot._internal.backing import listings
from nutmegknot._internal.backing import platform_calls
from nutmegknot._internal.jobs import owner_operations
from nutmegknot._internal.models import jobs
from nutmegknot._internal.platform import platform_listings

REGION_BY_DOMAIN = {'a': 'region'}
WORKER_ROW: dict[str, Any] = {
    'service': 'pool',
    'address': '10.128.0.9:8080',
    'zone': 'a',
    'state': 'ready',
    'capacity': {'cpu': 16_000, 'memMb': 32_768},
    'labels': ['fast', 'r1-3'],
    'born': 77,
}
DEPTH = 50_000
DEEP = '[' * DEPTH + ']' * DEPTH
# A part of a surrogate pair, which no text can be encoded with.
HALF_CHARACTER = '\ud800'
ODD_FIELDS: list[tuple[str, Any]] = [
    ('address', '10.128.0.9:99999'),
    ('address', '10.128.0.9:0'),
    ('address', '999.128.0.9:8080'),
    ('address', '١٠.128.0.9:8080'),
    ('capacity', {'cpu': 10**30, 'memMb': 1}),
    ('capacity', {'cpu': -5, 'memMb': 1}),
    ('capacity', {'cpu': '16000', 'memMb': 1}),
    ('capacity', {'cpu': [16_000], 'memMb': 1}),
    ('born', 10**30),
    ('born', -1),
    ('born', 1e300),
    ('labels', 'fast'),
    ('labels', {'fast': 1}),
    ('labels', ['fast', HALF_CHARACTER]),
    ('labels', ['fast', ['r1-3']]),
    ('service', HALF_CHARACTER),
]


def make_odd_rows() -> list[bytes]:
    """Returns entries of which none names a worker to use."""
    rows = [
        DEEP.encode(),
        f'{{"a":{DEEP}}}'.encode(),
        json.dumps(WORKER_ROW)[:-1].encode() + f',"labels":{DEEP}}}'.encode(),
        b'\xff\x00',
        b'1' * 5_000,
        b'null',
    ]
    rows += [
        json.dumps({**WORKER_ROW, field: value}).encode()
        for field, value in ODD_FIELDS
    ]
    for text in ('NaN', 'Infinity', '1e999', '9' * 5_000):
        rows.append(
            json.dumps({**WORKER_ROW, 'born': 0})
            .replace('"born": 0', f'"born": {text}')
            .encode()
        )
    return rows


@pytest.mark.parametrize('number', range(len(make_odd_rows())))
def test_an_odd_entry_names_no_worker(number: int) -> None:
    row = make_odd_rows()[number]
    assert platform_listings.decode_worker('i-1', row, REGION_BY_DOMAIN) is None


def test_odd_entries_of_the_list_of_workers_leave_the_others() -> None:
    """Guards against owners that end, or don't read the list, for one entry.

    An entry nested 50,000 deep let each reading of the list fail, and a worker
    said to have started at 10^30 ms ended each owner as it wrote its roster.
    """

    async def fetch(
        call: platform_calls.Call, timeout_ms: int
    ) -> platform_calls.Reply:
        values = [*make_odd_rows(), json.dumps(WORKER_ROW).encode()]
        rows: list[Any] = [
            {
                'key': f'i-{number}',
                'value': base64.b64encode(value).decode(),
                'rowVersion': 1,
            }
            for number, value in enumerate(values)
        ]
        rows += [None, [], 5, {'key': 7, 'value': '', 'rowVersion': 1}]
        rows.append({**rows[-1], 'key': HALF_CHARACTER, 'value': rows[26]})
        rows.append({**rows[26], 'key': HALF_CHARACTER})
        return platform_calls.Reply(200, {'rows': rows})

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = job_cells.make_cell(loop, job_cells.make_worker('i-26'))
        node = job_cells.make_node(cell, 'one')
        source = platform_listings.connect(fetch, REGION_BY_DOMAIN)
        listed = await source.list_workers(100)
        assert isinstance(listed, listings.WorkerList)
        assert list(listed.workers) == ['i-26']
        cell.targets['i-26'].worker = listed.workers['i-26']
        node = await job_cells.start_owner(cell, 'one')
        await asyncio.sleep(0.5)
        ownership = job_views.get_ownership(node)
        await owner_operations.submit(
            ownership, job_cells.make_job_spec('a', job_cells.make_step())
        )
        assert await job_cells.wait_until(
            cell,
            lambda: job_views.get_state(node, 'a') is jobs.JobState.COMPLETED,
        )
        assert not ownership.tasks.first_error.done()

    job_cells.run(script)
