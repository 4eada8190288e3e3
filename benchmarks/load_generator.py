"""Open-loop load: submits requests to a cell and records the results.

Submissions follow a fixed schedule and do not wait for earlier answers.
"""

import asyncio
import dataclasses
import time

from lib import callers
from lib import processes
from lib import worlds

from nutmegknot._internal.schema import caller_pb2
from nutmegknot_standins import control_pb2


@dataclasses.dataclass(slots=True)
class RequestLoad:
    """Requests of one phase.

    Attributes:
      world: The cell.
      name: Prefix of the request ids.
      payload: Payload that tells the simulated workers how each task behaves.
      key: API key of the submissions.
      repeatable: Whether the requests may run more than once.
      messages: Submissions by request id.
      sent_ms: Wall-clock time of each submission in ms.
      accepted_ms: Wall-clock time of each acceptance in ms.
      answers: Answers to the submissions by request id.
      unanswered: Ids of requests whose submission got no answer.
      tasks: Asyncio tasks of the submissions in progress.
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
    unanswered: list[str] = dataclasses.field(default_factory=list)
    tasks: set[asyncio.Task] = dataclasses.field(default_factory=set)


async def submit(load: RequestLoad, request_id: str) -> None:
    """Submits one request and records its answer."""
    message = load.messages[request_id]
    load.sent_ms[request_id] = processes.read_wall_ms()
    try:
        answer = await callers.submit(load.world.balancer, message)
    except TimeoutError:
        load.unanswered.append(request_id)
        return
    load.answers[request_id] = answer
    if answer.kind == 'accepted':
        load.accepted_ms[request_id] = processes.read_wall_ms()


async def submit_at_rate(
    load: RequestLoad, rate: float, duration_s: float
) -> None:
    """Submits requests at a constant rate without waiting for answers."""
    started_at = time.monotonic()
    first = len(load.messages)
    for number in range(int(rate * duration_s)):
        due_at = started_at + number / rate
        wait_s = due_at - time.monotonic()
        if wait_s > 0:
            await asyncio.sleep(wait_s)
        request_id = f'{load.name}-{first + number}'
        load.messages[request_id] = callers.make_submit(
            request_id, load.key, load.payload, repeatable=load.repeatable
        )
        task = asyncio.create_task(submit(load, request_id))
        load.tasks.add(task)
        task.add_done_callback(load.tasks.discard)


async def wait_for_answers(load: RequestLoad) -> None:
    """Waits until no submission is in progress."""
    await asyncio.gather(*load.tasks)


async def wait_for_outcomes(
    load: RequestLoad, limit_s: float
) -> dict[str, str]:
    """Returns the kind of final outcome of each accepted request.

    The kind is '' if no final outcome arrives within the limit.
    """
    slots = asyncio.Semaphore(64)

    async def wait(request_id: str) -> str:
        async with slots:
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
    load: RequestLoad, records: list[control_pb2.Record]
) -> dict[str, int]:
    """Returns the time in ms of the first start of each request."""
    found: dict[str, int] = {}
    for record in records:
        request_id = record.request.partition('/')[2]
        if record.event == 'start' and request_id in load.messages:
            found.setdefault(request_id, record.at_ms)
    return found


def count_events(
    records: list[control_pb2.Record], event: str, from_ms: int, to_ms: int
) -> int:
    """Returns the number of records of an event in a time range."""
    return sum(
        record.event == event and from_ms <= record.at_ms < to_ms
        for record in records
    )
