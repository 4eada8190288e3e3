"""A job that was cancelled before it arrived runs after a planned hand-over."""

import asyncio
import signal

import standins

FREEZE_S = 4.0
LEAVE_MS = 300
JOBS = [f'{number:016x}' for number in range(1, 7)]
BODY = {
    'spec': 'a label',
    'steps': [{'count': 2, 'cpu': 4000, 'memMb': 64, 'estimateMs': 880}],
}


async def play(cell: standins.Cell) -> list[str]:
    """Plays the case; returns what broke the rule."""
    await cell.start(workers=6, instances=3)
    await cell.wait_ready()
    await cell.submit('a' * 16, BODY)
    await asyncio.sleep(1)
    owner = cell.find_owner()
    if owner is None:
        raise standins.CantRunError('no owner found')
    frozen, third = [i for i in cell.instances if i is not owner]
    if standins.TROUBLE:
        frozen.send_signal(signal.SIGSTOP)
    began_ms = standins.now_ms()

    async def hand_in_and_cancel(job: str) -> int | None:
        """Returns when the cancel was acknowledged; None if it was not.

        The client leaves without an answer, and cancels what it handed in.
        """
        status, _ = await cell.call(frozen, 'POST', job, BODY, wait_ms=LEAVE_MS)
        status, _ = await cell.call(third, 'DELETE', job)
        return standins.now_ms() if status in (200, 410) else None

    acks = dict(
        zip(
            JOBS,
            await asyncio.gather(*(hand_in_and_cancel(job) for job in JOBS)),
            strict=True,
        )
    )
    await asyncio.sleep(0.5)
    if standins.TROUBLE:
        owner.send_signal(signal.SIGTERM)
    left_ms = began_ms + FREEZE_S * 1000 - standins.now_ms()
    await asyncio.sleep(max(0, left_ms) / 1000)
    if standins.TROUBLE:
        frozen.send_signal(signal.SIGCONT)
    await asyncio.sleep(6)
    starter = cell.find_owner()
    cell.record.add(f'owner at the end: {starter and starter.name}')
    if standins.TROUBLE and starter is not third:
        raise standins.CantRunError('another instance has become the owner')
    if None in acks.values():
        raise standins.CantRunError('a cancel was not acknowledged')
    broken = []
    for span in cell.spans:
        ack_ms = acks.get(span.task.partition('.')[0])
        if ack_ms is None:
            continue
        late_ms = span.began_ms - ack_ms
        if late_ms > standins.BOUNDS['cancel_ms']:
            broken.append(
                f'UNASKED {span.task} run {span.run} started {late_ms} ms '
                "after its job's cancelling was acknowledged"
            )
    return broken


standins.run(play)
