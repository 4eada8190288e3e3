"""Open-loop load on a cell, and what became of each request."""

import asyncio
import dataclasses
import time

from lib import callers
from lib import processes
from lib import worlds

from nutmegknot._internal.schema import caller_pb2
from nutmegknot_standins import control_pb2


@dataclasses.dataclass(slots=True)
class Load:
    """Requests of one phase.

    Attributes:
      world: The cell.
      name: Prefix of the request ids.
      payload: What each task does.
      key: Key of the submissions.
      repeatable: Whether the requests are.
      messages: Submissions by request id.
      sent_ms: Wall clock instants in ms of the submissions.
      accepted_ms: Wall clock instants in ms of the acceptances.
      answers: Replies to the submissions.
      failed: Submissions without any answer.
      tasks: Submissions in progress.
    """

    world: worlds.World
    name: str
    payload: dict
    key: str = worlds.KEY
    repeatable: bool = True
    messages: dict[str, caller_pb2.SubmitCall] = dataclasses.field(
        default_factory=dict
    )
    sent_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    accepted_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    answers: dict[str, callers.Answer] = dataclasses.field(default_factory=dict)
    failed: list[str] = dataclasses.field(default_factory=list)
    tasks: set[asyncio.Task] = dataclasses.field(default_factory=set)


async def submit(load: Load, request_id: str) -> None:
    """Submits one request and notes when it was accepted."""
    message = load.messages[request_id]
    load.sent_ms[request_id] = processes.read_wall_ms()
    try:
        answer = await callers.submit(load.world.balancer, message)
    except TimeoutError:
        load.failed.append(request_id)
        return
    load.answers[request_id] = answer
    if answer.kind == 'accepted':
        load.accepted_ms[request_id] = processes.read_wall_ms()


async def keep(load: Load, rate: float, duration_s: float) -> None:
    """Submits at a steady rate, however long the answers take."""
    began = time.monotonic()
    first = len(load.messages)
    for number in range(int(rate * duration_s)):
        due = began + number / rate
        wait_s = due - time.monotonic()
        if wait_s > 0:
            await asyncio.sleep(wait_s)
        request_id = f'{load.name}-{first + number}'
        load.messages[request_id] = callers.make_submit(
            request_id, load.key, load.payload, repeatable=load.repeatable
        )
        task = asyncio.create_task(submit(load, request_id))
        load.tasks.add(task)
        task.add_done_callback(load.tasks.discard)


async def settle(load: Load) -> None:
    """Waits until every submission has its answer."""
    await asyncio.gather(*load.tasks)


async def wait_finals(load: Load, limit_s: float) -> dict[str, str]:
    """Returns the final outcome of each accepted request, '' if none comes."""
    places = asyncio.Semaphore(64)

    async def wait(request_id: str) -> str:
        async with places:
            try:
                answer = await callers.wait(
                    load.world.balancer, load.messages[request_id], limit_s
                )
            except AssertionError:
                return ''
            return answer.kind

    accepted = sorted(load.accepted_ms)
    kinds = await asyncio.gather(*(wait(one) for one in accepted))
    return dict(zip(accepted, kinds, strict=True))


def find_first_starts(
    load: Load, records: list[control_pb2.Record]
) -> dict[str, int]:
    """Returns the instant in ms of each request's first start."""
    found: dict[str, int] = {}
    for record in records:
        request_id = record.request.partition('/')[2]
        if record.event == 'start' and request_id in load.messages:
            found.setdefault(request_id, record.at_ms)
    return found


def count_events(
    records: list[control_pb2.Record], event: str, from_ms: int, to_ms: int
) -> int:
    """Returns how many records of an event are in a span of time."""
    return sum(
        record.event == event and from_ms <= record.at_ms < to_ms
        for record in records
    )
