"""Random messages of callers and operators, sent to a running cell.

Each must be answered, time out or fail with an expected status; the instance
must keep running and workers must record no violation.
"""

from collections.abc import AsyncIterator

import grpclib.const
import grpclib.exceptions
import hypothesis
from hypothesis import strategies
from lib import messages
import pytest_asyncio

from nutmegknot._internal.commands import demonstration
from nutmegknot._internal.network import clients
from nutmegknot._internal.schema import caller_pb2
from nutmegknot._internal.schema import operator_pb2
from nutmegknot_standins import local_cells

KNOWN_TEXTS = (local_cells.KEY_TEXT, 'batch', 'public', 'demo', 'domain-a', 'x')
METHODS = [
    method
    for file, name in ((caller_pb2, 'Caller'), (operator_pb2, 'Operator'))
    for method in file.DESCRIPTOR.services_by_name[name].methods
]
EXPECTED_STATUSES = {
    grpclib.const.Status.INVALID_ARGUMENT,
    grpclib.const.Status.UNAUTHENTICATED,
    grpclib.const.Status.DEADLINE_EXCEEDED,
    grpclib.const.Status.UNAVAILABLE,
}


@pytest_asyncio.fixture
async def cell() -> AsyncIterator[local_cells.LocalCell]:
    started = await local_cells.start(instances=1, workers=3)
    assert isinstance(started, local_cells.LocalCell)
    client = clients.connect(started.addresses[0])
    await demonstration.wait_until_ready(client)
    yield started
    clients.close(client)
    await local_cells.stop(started)


@hypothesis.settings(
    max_examples=200,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(hypothesis.HealthCheck),
)
@hypothesis.given(data=strategies.data())
async def test_any_message_gets_a_clear_answer(
    cell: local_cells.LocalCell, data: strategies.DataObject
) -> None:
    method = data.draw(strategies.sampled_from(METHODS))
    call = data.draw(messages.draw_message(method.input_type, KNOWN_TEXTS))
    client = clients.connect(cell.addresses[0])
    service = method.containing_service.name.lower()
    stub = getattr(getattr(client, service), method.name)
    try:
        await stub(call, timeout=0.5)
    except grpclib.exceptions.GRPCError as error:
        assert error.status in EXPECTED_STATUSES, error
    except TimeoutError:
        pass
    finally:
        clients.close(client)
    assert not cell.instance_tasks[0].done()
    assert cell.platform.history.violations == []
