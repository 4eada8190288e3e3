"""Measures how the cost of each role grows, at three sizes each.

Prints one line for each slope, and what the slopes give at the planned size.
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
from lib import makers
from lib import partitions

from benchmarks import fits
from nutmegknot._internal.backing import fleets as platform_fleets
from nutmegknot._internal.backing import http_fleets
from nutmegknot._internal.codec import values
from nutmegknot._internal.decisions import scheduling
from nutmegknot._internal.fleet import fleets
from nutmegknot._internal.fleet import jobs
from nutmegknot._internal.ledger import accepting
from nutmegknot._internal.ledger import ledgers
from nutmegknot._internal.ledger import reporting
from nutmegknot._internal.models import outcomes
from nutmegknot._internal.models import reports
from nutmegknot._internal.models import requests
from nutmegknot._internal.models import resources
from nutmegknot._internal.models import workers
from nutmegknot._internal.utils import clock as clock_lib
from nutmegknot_standins import servers

SIZES = (500, 1000, 2000)
POLLS = (100, 200, 400)
KIB = 1024


def measure_memory(make: Callable[[int], object]) -> Callable[[int], float]:
    """Returns a measurement in KiB of what make keeps alive at a size."""

    def measure(size: int) -> float:
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        kept = make(size)
        after = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        del kept
        return (after - before) / KIB

    return measure


def measure_cpu(work: Callable[[int], None]) -> Callable[[int], float]:
    """Returns a measurement in ms of processor time that work takes."""

    def measure(size: int) -> float:
        began = time.process_time()
        work(size)
        return (time.process_time() - began) * clock_lib.MS_PER_S

    return measure


def make_entries(size: int) -> dict[str, ledgers.Entry]:
    """Returns entries of running requests."""
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


def make_jobs(size: int) -> fleets.Fleet:
    """Returns a fleet partition with running jobs."""
    fleet = makers.make_fleet(['worker-0'])
    makers.claim(fleet, 'worker-0')
    for number in range(size):
        _run_job(fleet, number)
    return fleet


def _run_job(fleet: fleets.Fleet, number: int) -> workers.TaskId:
    given = makers.make_assignment(f'job-{number}', payload=b'x' * 200)
    jobs.take_assignment(fleet, given)
    key = requests.get_key(given.req)
    scheduling.remove_waiting(fleet.scheduler, key)
    task = workers.TaskId(key)
    fleet.jobs[key].runs = [fleets.MemberRun('worker-0', 'running')]
    jobs.take_entry(fleet, 'worker-0', makers.make_entry(task), 0)
    return task


def run_jobs(size: int) -> None:
    """Takes jobs through a fleet partition from assignment to forgetting."""
    fleet = makers.make_fleet(['worker-0'])
    makers.claim(fleet, 'worker-0')
    for number in range(size):
        task = _run_job(fleet, number)
        ended = makers.make_entry(task, workers.TaskState.FINISHED, b'y' * 200)
        jobs.take_entry(fleet, 'worker-0', ended, 0)
        outbox = fleet.outboxes['ledger-0']
        jobs.forget(fleet, outbox.waiting[-1], 0)
        outbox.waiting.clear()


def run_requests(size: int) -> None:
    """Takes requests through a ledger partition from accept to outcome."""
    asyncio.run(_run_requests(size))


async def _run_requests(size: int) -> None:
    owner = await partitions.take_over(partitions.Cell())
    ledger, context = owner.ledger, owner.context
    made = [
        makers.make_request(f'job-{n}', payload=b'x' * 200) for n in range(size)
    ]
    await asyncio.gather(
        *(accepting.submit(ledger, context, req, 10_000) for req in made)
    )
    ended = reports.Ended(outcomes.Finished((b'y' * 200,)))
    for news in (reports.Running(('worker-0',)), ended):
        given = [
            reports.Report(requests.get_key(req), 0, 'fleet-d-0', 1, news)
            for req in made
        ]
        await reporting.take_reports(ledger, context, given)
    await partitions.stop(owner)


def encode_assignments(size: int) -> None:
    """Encodes and decodes assignments, as a peer link does."""
    given = makers.make_assignment('job', payload=b'x' * 200)
    for _ in range(size):
        message = values.encode_assignment(given)
        content = message.SerializeToString()
        values.decode_assignment(type(message).FromString(content))


@dataclasses.dataclass(slots=True)
class Served:
    """Stand-in workers served by a thread of their own.

    Attributes:
      platform: The stand-ins.
      ready: Set once they are served.
      stop: Ends the thread.
    """

    platform: servers.Platform
    ready: threading.Event
    stop: threading.Event


def serve_workers(served: Served) -> None:
    """Serves stand-in workers until told to stop."""

    async def serve() -> None:
        runner = await servers.serve(served.platform, '127.0.0.1', 0)
        served.ready.set()
        await asyncio.to_thread(served.stop.wait)
        await servers.close(served.platform, runner)

    asyncio.run(serve())


def measure_polls(
    call: Callable[[platform_fleets.Target], Awaitable[object]],
) -> Callable[[int], float]:
    """Returns a measurement in ms of this thread's time for calls."""

    def measure(size: int) -> float:
        clock = clock_lib.make_system_clock()
        capacity = resources.Resources(64_000, 262_144, 0, 8)
        listed = servers.make_workers('r', ['d'], 20, capacity)
        served = Served(
            servers.make_platform(listed, clock),
            threading.Event(),
            threading.Event(),
        )
        thread = threading.Thread(target=serve_workers, args=(served,))
        thread.start()
        served.ready.wait()
        try:
            return asyncio.run(_call_workers(served, size, call))
        finally:
            served.stop.set()
            thread.join()

    return measure


async def _call_workers(
    served: Served,
    size: int,
    call: Callable[[platform_fleets.Target], Awaitable[object]],
) -> float:
    async with aiohttp.ClientSession() as session:
        fleet = http_fleets.connect(session, served.platform.url, 5000)
        listed = await fleet.list_workers(5000)
        assert isinstance(listed, list)
        targets = [fleet.connect(worker) for worker in listed]
        for target in targets:
            await target.claim(1, 'fleet-d-0', 60_000)
        began = time.thread_time()
        for number in range(size):
            await call(targets[number % len(targets)])
        return (time.thread_time() - began) * clock_lib.MS_PER_S


def poll_idle(
    target: platform_fleets.Target,
) -> Awaitable[platform_fleets.PollResult]:
    """Makes one poll that finds no news."""
    return target.poll(1, platform_fleets.Poll(60_000, 0))


def measure_all() -> list[fits.Slope]:
    """Returns all slopes."""
    return [
        fits.fit(
            'ledger_memory', 'KiB/entry', SIZES, measure_memory(make_entries)
        ),
        fits.fit('ledger_cpu', 'ms/request', SIZES, measure_cpu(run_requests)),
        fits.fit(
            'worker_memory', 'KiB/worker', SIZES, measure_memory(make_sessions)
        ),
        fits.fit('job_memory', 'KiB/job', SIZES, measure_memory(make_jobs)),
        fits.fit('fleet_cpu', 'ms/job', SIZES, measure_cpu(run_jobs)),
        fits.fit(
            'link_cpu', 'ms/assignment', SIZES, measure_cpu(encode_assignments)
        ),
        fits.fit('poll_cpu', 'ms/poll', POLLS, measure_polls(poll_idle)),
    ]


def main() -> int:
    """Prints all slopes."""
    for slope in measure_all():
        print(fits.format_slope(slope))
    return 0


if __name__ == '__main__':
    sys.exit(main())
