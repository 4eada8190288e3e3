"""Tests of membership/digests.py."""

import dataclasses
import random

from nutmegknot._internal.membership import digests
from nutmegknot._internal.models import loads
from nutmegknot._internal.models import requests
from nutmegknot._internal.models import resources

STEPS = 400


def make_load(rng: random.Random, epoch: int) -> loads.Load:
    def draw() -> resources.Resources:
        return resources.Resources(rng.randrange(10**6), rng.randrange(10**6))

    return loads.Load(
        partition='fleet-d-0',
        domain='d',
        region='r',
        epoch=epoch,
        capacity=draw(),
        free=draw(),
        largest_free=draw(),
        capacity_groups=(loads.CapacityGroup(draw(), 3),),
        queued={requests.PriorityClass.URGENT: draw()},
        usage={f'team-{n}': draw() for n in range(44)},
    )


def deliver(
    sender: digests.Sender,
    receiver: digests.Receiver,
    current: list[loads.Load],
) -> list[loads.Load]:
    outgoing = digests.make_digest(sender, current)
    received = digests.apply_digest(receiver, outgoing.message)
    if received is None:
        digests.reset(sender)
        return []
    digests.acknowledge(sender, outgoing)
    return received


def drop_zero_usage(load: loads.Load) -> loads.Load:
    usage = {t: h for t, h in load.usage.items() if h != resources.ZERO}
    return dataclasses.replace(load, usage=usage)


def test_receiver_converges_to_the_sender() -> None:
    rng = random.Random(1)
    sender, receiver = digests.Sender(), digests.Receiver()
    for step in range(STEPS):
        load = make_load(rng, 1 + step // 150)
        outgoing = digests.make_digest(sender, [load])
        assert outgoing.message.ByteSize() <= digests.TARGET_DIGEST_BYTES + 80
        event = rng.choice(['taken', 'lost', 'unanswered', 'forgotten'])
        if event == 'forgotten':
            receiver = digests.Receiver()
        if event == 'lost':
            continue
        received = digests.apply_digest(receiver, outgoing.message)
        if received is None:
            digests.reset(sender)
        elif event != 'unanswered':
            digests.acknowledge(sender, outgoing)
    load = dataclasses.replace(load, usage={'team-1': load.capacity})
    for _ in range(12):
        received = deliver(sender, receiver, [load]) or received
    assert received and drop_zero_usage(received[-1]) == drop_zero_usage(load)
    assert deliver(sender, receiver, [load]) == []


def test_overtaken_digest_changes_nothing() -> None:
    rng = random.Random(2)
    sender, receiver = digests.Sender(), digests.Receiver()
    early = digests.make_digest(sender, [make_load(rng, 1)])
    deliver(sender, receiver, [make_load(rng, 1)])
    assert digests.apply_digest(receiver, early.message) == []
