"""Calls to a stand-in worker in the same process, over a wire with faults."""

import base64
import dataclasses
from typing import Any

from nutmegknot._internal.models import workers
from nutmegknot._internal.platform import fleets
from nutmegknot._internal.platform import tables
from nutmegknot_standins import machines


@dataclasses.dataclass(slots=True)
class Wire:
    """The way to one worker.

    Attributes:
      machine: The worker.
      fault: 'cut' (nothing arrives), 'deaf' (no answer comes back) or ''.
    """

    machine: machines.Machine
    fault: str = ''


Answer = (
    dict[str, Any] | tables.Unavailable | tables.Uncertain | fleets.StaleToken
)


def connect(wire: Wire) -> fleets.Target:
    """Returns the calls to a worker."""
    machine = wire.machine

    async def claim(
        token: int, partition: str, lease_ms: int
    ) -> fleets.ClaimResult:
        answer = await _call(wire, 'claim', token, lease_ms=lease_ms)
        if isinstance(answer, dict):
            inventory = [
                dataclasses.replace(task.entry)
                for task in machine.tasks.values()
            ]
            return fleets.Claimed(machine.boot, inventory, answer['event'])
        return _weaken(answer)

    async def poll(token: int, news: fleets.Poll) -> fleets.PollResult:
        answer = await _call(
            wire,
            'poll',
            token,
            lease_ms=news.lease_ms,
            wait_ms=0,
            after=news.after,
            acknowledged=[workers.format_task(t) for t in news.acknowledged],
        )
        if isinstance(answer, dict):
            ended = [
                dataclasses.replace(task.entry)
                for task in machine.tasks.values()
                if task.event > news.after
            ]
            return fleets.Polled(ended, [], False, answer['event'])
        return _weaken(answer)

    async def start(
        token: int, orders: list[fleets.Start]
    ) -> fleets.StartResult:
        shown = [_show_start(order) for order in orders]
        answer = await _call(wire, 'start', token, tasks=shown)
        if not isinstance(answer, dict):
            return answer
        return [
            fleets.StartRefused(reason) if reason else fleets.Started()
            for reason in answer['results']
        ]

    async def stop(
        token: int, tasks: list[workers.TaskId], grace_ms: int
    ) -> fleets.StopResult:
        texts = [workers.format_task(task) for task in tasks]
        answer = await _call(
            wire, 'stop', token, tasks=texts, grace_ms=grace_ms
        )
        return None if isinstance(answer, dict) else answer

    async def throttle(
        token: int, task: workers.TaskId, millicores: int
    ) -> fleets.StopResult:
        return None

    return fleets.Target(claim, poll, start, stop, throttle)


async def _call(wire: Wire, name: str, token: int, **body: object) -> Answer:
    if wire.fault == 'cut':
        return tables.Unavailable('cut')
    sent_ms = wire.machine.clock.wall_ms()
    body |= {'token': token, 'sent_ms': sent_ms}
    answer = await machines.CALLS[name](wire.machine, body)
    if wire.fault == 'deaf':
        return tables.Uncertain('deaf')
    if 'stale' in answer:
        return fleets.StaleToken(answer['stale'])
    if 'unclaimed' in answer:
        return tables.Unavailable('unclaimed')
    return answer


def _weaken(
    answer: tables.Unavailable | tables.Uncertain | fleets.StaleToken,
) -> tables.Unavailable | fleets.StaleToken:
    if isinstance(answer, tables.Uncertain):
        return tables.Unavailable(answer.detail)
    return answer


def _show_start(order: fleets.Start) -> dict[str, Any]:
    return {
        'task': workers.format_task(order.task),
        'team': order.team,
        'size': list(dataclasses.astuple(order.size)),
        'not_after_ms': order.not_after_ms,
        'payload': base64.b64encode(order.payload).decode(),
        'checkpoint': order.checkpoint,
    }
