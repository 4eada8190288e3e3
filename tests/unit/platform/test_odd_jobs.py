"""Odd jobs that callers submit."""

import asyncio
import json
from typing import Any

from lib import job_cells
from lib import job_views
import pytest

from nutmegknot._internal.jobs import call_authorization
from nutmegknot._internal.jobs import owner_operations
from nutmegknot._internal.jobs import rows
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import outcomes
from nutmegknot._internal.platform import caller_api

DEEP = '[' * 50_000 + ']' * 50_000
STEP: dict[str, Any] = {'count': 1, 'cpu': 500, 'memMb': 100}
JOB: dict[str, Any] = {'spec': 'text', 'steps': [STEP]}
AUTHORIZED_CALL = call_authorization.AuthorizedCall(
    job_cells.make_queue(), 'team', 'a' * 16
)
ODD_STEPS: list[dict[str, Any]] = [
    {'count': 10**30},
    {'count': -1},
    {'count': 10**9},
    {'cpu': 10**30},
    {'cpu': -500},
    {'memMb': 2**40},
    {'gpu': -1},
    {'estimateMs': 10**30},
    {'after': [0]},
    {'after': [-1]},
    {'after': [10**30]},
    {'after': 5},
    {'requires': ['label']},
    {'requires': '\ud800'},
    {'dataRack': {}},
    {'image': '\ud800'},
    {'antiAffinity': -1},
    {'targetMs': 10**30},
    {'longRunning': True, 'mayMiss': 10**30},
]
ODD_JOBS: list[dict[str, Any]] = [
    {'steps': {}},
    {'steps': 5},
    {'spec': '\ud800'},
    {'spec': 5},
    {'startAtMs': 10**30, 'repeatCount': 1},
    {'repeatCount': 10**9},
    {'repeatCount': 10**9, 'intervalMs': 1},
    {'repeatCount': -1},
    {'intervalMs': 10**30, 'repeatCount': 1},
]


@pytest.mark.parametrize(
    'text',
    [
        DEEP,
        json.dumps({**JOB, 'steps': 0}).replace('0', DEEP),
        json.dumps({'spec': 'text', 'steps': 0}).replace('0', 'NaN'),
        *(json.dumps({**JOB, 'steps': [{**STEP, **s}]}) for s in ODD_STEPS),
        *(json.dumps({**JOB, **fields}) for fields in ODD_JOBS),
    ],
)
def test_an_odd_job_is_refused_and_its_owner_goes_on(text: str) -> None:
    """Guards against a job that ends each owner that reads or opens it."""
    spec = caller_api.decode_job_spec(text.encode(), AUTHORIZED_CALL)
    if isinstance(spec, outcomes.Refused):
        assert spec.reason is outcomes.RefusalReason.BAD_REQUEST
        return
    assert rows.encode_spec(spec)
    submitted: list[owner_operations.SubmitOutcome] = []

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = job_cells.make_cell(loop, job_cells.make_worker('w1'))
        node = await job_cells.start_owner(cell, 'one')
        ownership = job_views.get_ownership(node)
        await asyncio.sleep(0.5)
        submitted.append(await owner_operations.submit(ownership, spec))

    job_cells.run(script)
    assert isinstance(submitted[0], outcomes.Refused)


def test_an_ordinary_job_is_decoded() -> None:
    spec = caller_api.decode_job_spec(json.dumps(JOB).encode(), AUTHORIZED_CALL)
    assert isinstance(spec, jobs.JobSpec)
    assert spec.steps[0].count == 1
