"""Measures how memory and processor time grow with the number of items.

Each cost is measured at three sizes and fitted by a line. Prints one output
line for each slope.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import sys
import threading
import time
import tracemalloc

import aiohttp
from lib import ledger_partitions
from lib import makers

from benchmarks import linear_regression
from nutmegknot._internal.backing import http_worker_clients
from nutmegknot._internal.backing import worker_clients
from nutmegknot._internal.codec import common_messages
from nutmegknot._internal.decisions import scheduling
from nutmegknot._internal.fleet import assigned_requests
from nutmegknot._internal.fleet import fleets
from nutmegknot._internal.ledger import ledgers
from nutmegknot._internal.ledger import report_processing
from nutmegknot._internal.ledger import request_operations
from nutmegknot._internal.models import outcomes
from nutmegknot._internal.models import reports
from nutmegknot._internal.models import requests
from nutmegknot._internal.models import resources
from nutmegknot._internal.models import workers
from nutmegknot._internal.utils import clock as clock_lib
from nutmegknot_standins import servers

ITEM_COUNTS = (500, 1000, 2000)
POLL_COUNTS = (100, 200, 400)
BYTES_PER_KIB = 1024


def measure_memory(make: Callable[[int], object]) -> Callable[[int], float]:
    """Returns a function that measures in KiB what make keeps allocated."""

    def measure(size: int) -> float:
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        kept = make(size)
        after = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        del kept
        return (after - before) / BYTES_PER_KIB

    return measure


def measure_cpu(work: Callable[[int], None]) -> Callable[[int], float]:
    """Returns a function that measures the processor time of work in ms."""

    def measure(size: int) -> float:
        started_at = time.process_time()
        work(size)
        return (time.process_time() - started_at) * clock_lib.MS_PER_S

    return measure


def make_entries(size: int) -> dict[str, ledgers.Entry]:
    """Returns ledger entries of running requests."""
    made = {}
    for number in range(size):
        req = makers.make_request(f'job-{number}', payload=b'x' * 200)
        made[requests.get_key(req)] = ledgers.Entry(
            req, f'{number:032x}', number, 'fleet-d-0', 1, workers=('worker',)
        )
    return made


def make_sessions(size: int) -> fleets.Fleet:
    """Returns a fleet partition with claimed workers."""
    names = [f'worker-{number}' for number in range(size)]
    fleet = makers.make_fleet(names)
    for name in names:
        makers.claim(fleet, name)
    return fleet


def make_running_requests(size: int) -> fleets.Fleet:
    """Returns a fleet partition with running requests."""
    fleet = makers.make_fleet(['worker-0'])
    makers.claim(fleet, 'worker-0')
    for number in range(size):
        _start_task(fleet, number)
    return fleet


def _start_task(fleet: fleets.Fleet, number: int) -> workers.TaskId:
    assignment = makers.make_assignment(f'job-{number}', payload=b'x' * 200)
    assigned_requests.add_assignment(fleet, assignment)
    key = requests.get_key(assignment.req)
    scheduling.remove_waiting(fleet.scheduler, key)
    task = workers.TaskId(key)
    fleet.requests[key].runs = [fleets.MemberRun('worker-0', 'running')]
    assigned_requests.update_task(fleet, 'worker-0', makers.make_entry(task), 0)
    return task


def run_fleet_requests(size: int) -> None:
    """Runs requests in a fleet partition from assignment to removal."""
    fleet = makers.make_fleet(['worker-0'])
    makers.claim(fleet, 'worker-0')
    for number in range(size):
        task = _start_task(fleet, number)
        ended = makers.make_entry(task, workers.TaskState.FINISHED, b'y' * 200)
        assigned_requests.update_task(fleet, 'worker-0', ended, 0)
        outbox = fleet.outboxes['ledger-0']
        assigned_requests.forget(fleet, outbox.unsent_reports[-1], 0)
        outbox.unsent_reports.clear()


def run_ledger_requests(size: int) -> None:
    """Runs requests in a ledger partition from acceptance to outcome."""
    asyncio.run(_run_ledger_requests(size))


async def _run_ledger_requests(size: int) -> None:
    owner = await ledger_partitions.take_over(ledger_partitions.Environment())
    ledger, context = owner.ledger, owner.context
    made = [
        makers.make_request(f'job-{n}', payload=b'x' * 200) for n in range(size)
    ]
    await asyncio.gather(
        *(
            request_operations.submit(ledger, context, req, 10_000)
            for req in made
        )
    )
    ended = reports.Ended(outcomes.Finished((b'y' * 200,)))
    for update in (reports.Running(('worker-0',)), ended):
        new_reports = [
            reports.Report(requests.get_key(req), 0, 'fleet-d-0', 1, update)
            for req in made
        ]
        await report_processing.process_reports(ledger, context, new_reports)
    await ledger_partitions.stop(owner)


def encode_assignments(size: int) -> None:
    """Encodes and decodes assignments, as the calls between instances do."""
    assignment = makers.make_assignment('job', payload=b'x' * 200)
    for _ in range(size):
        message = common_messages.encode_assignment(assignment)
        content = message.SerializeToString()
        common_messages.decode_assignment(type(message).FromString(content))


@dataclasses.dataclass(slots=True)
class WorkerServer:
    """Simulated workers that are served by a separate thread.

    Attributes:
      platform: The simulated platform.
      ready: Set as soon as calls are answered.
      stop: Set to end the thread.
    """

    platform: servers.Platform
    ready: threading.Event
    stop: threading.Event


def serve_workers(server: WorkerServer) -> None:
    """Serves simulated workers until the stop event is set."""

    async def serve() -> None:
        runner = await servers.serve(server.platform, '127.0.0.1', 0)
        server.ready.set()
        await asyncio.to_thread(server.stop.wait)
        await servers.close(server.platform, runner)

    asyncio.run(serve())


def measure_polls(
    call: Callable[[worker_clients.WorkerClient], Awaitable[object]],
) -> Callable[[int], float]:
    """Returns a function that measures processor time of calls in ms.

    Only the time of the calling thread counts.
    """

    def measure(size: int) -> float:
        clock = clock_lib.make_system_clock()
        capacity = resources.Resources(64_000, 262_144, 0, 8)
        listed = servers.make_workers('r', ['d'], 20, capacity)
        server = WorkerServer(
            servers.make_platform(listed, clock),
            threading.Event(),
            threading.Event(),
        )
        thread = threading.Thread(target=serve_workers, args=(server,))
        thread.start()
        server.ready.wait()
        try:
            return asyncio.run(_call_workers(server, size, call))
        finally:
            server.stop.set()
            thread.join()

    return measure


async def _call_workers(
    server: WorkerServer,
    size: int,
    call: Callable[[worker_clients.WorkerClient], Awaitable[object]],
) -> float:
    async with aiohttp.ClientSession() as session:
        fleet = http_worker_clients.connect(session, server.platform.url, 5000)
        listed = await fleet.list_workers(5000)
        assert isinstance(listed, list)
        targets = [fleet.connect(worker) for worker in listed]
        for target in targets:
            await target.claim(1, 'fleet-d-0', 60_000)
        started_at = time.thread_time()
        for number in range(size):
            await call(targets[number % len(targets)])
        return (time.thread_time() - started_at) * clock_lib.MS_PER_S


def poll_idle(
    worker_client: worker_clients.WorkerClient,
) -> Awaitable[worker_clients.PollResult]:
    """Sends one poll to which the worker has nothing to report."""
    return worker_client.poll(1, worker_clients.Poll(60_000, 0))


def measure_all() -> list[linear_regression.Slope]:
    """Returns all slopes."""
    return [
        linear_regression.fit_slope(
            'ledger_memory',
            'KiB/entry',
            ITEM_COUNTS,
            measure_memory(make_entries),
        ),
        linear_regression.fit_slope(
            'ledger_cpu',
            'ms/request',
            ITEM_COUNTS,
            measure_cpu(run_ledger_requests),
        ),
        linear_regression.fit_slope(
            'worker_memory',
            'KiB/worker',
            ITEM_COUNTS,
            measure_memory(make_sessions),
        ),
        linear_regression.fit_slope(
            'job_memory',
            'KiB/job',
            ITEM_COUNTS,
            measure_memory(make_running_requests),
        ),
        linear_regression.fit_slope(
            'fleet_cpu', 'ms/job', ITEM_COUNTS, measure_cpu(run_fleet_requests)
        ),
        linear_regression.fit_slope(
            'link_cpu',
            'ms/assignment',
            ITEM_COUNTS,
            measure_cpu(encode_assignments),
        ),
        linear_regression.fit_slope(
            'poll_cpu', 'ms/poll', POLL_COUNTS, measure_polls(poll_idle)
        ),
    ]


def main() -> int:
    """Prints all slopes."""
    for slope in measure_all():
        print(linear_regression.format_slope(slope))
    return 0


if __name__ == '__main__':
    sys.exit(main())
