"""Bytes that digests between instances cost each node.

Six instances, ten fleet partitions and 44 teams whose usage all changes on
every tick; what is counted is the encoded messages, both ways.
"""

import random
import sys

from nutmegknot._internal.membership import digests
from nutmegknot._internal.models import loads
from nutmegknot._internal.models import requests
from nutmegknot._internal.models import resources
from nutmegknot._internal.schema import digest_pb2

INSTANCES = 6
PARTITIONS = 10
TEAMS = 44
TICKS = 120
TARGET_KIB = 8.0
BYTES_PER_KIB = 1024
# Frames and compressed headers of a call and its reply on a kept connection.
FRAME_BYTES = 160


def draw(rng: random.Random) -> resources.Resources:
    """Returns an amount as a part of a busy fleet would have."""
    return resources.Resources(
        rng.randrange(5_000_000),
        rng.randrange(20_000_000),
        rng.randrange(60),
        rng.randrange(700),
    )


def make_load(rng: random.Random, number: int) -> loads.Load:
    """Returns the load of one fleet partition."""
    name = f'fleet-domain-{number}-0'
    return loads.Load(
        partition=name,
        domain=f'domain-{number}',
        region='kerala-south',
        epoch=7,
        is_whole=True,
        capacity=draw(rng),
        free=draw(rng),
        largest_hole=draw(rng),
        shapes=tuple(loads.Shape(draw(rng), 20) for _ in range(4)),
        queued={priority: draw(rng) for priority in requests.PriorityClass},
        usage={f'team-{n:02d}': draw(rng) for n in range(TEAMS)},
    )


def make_standing(number: int) -> digest_pb2.Standing:
    """Returns what each digest says of its sender."""
    return digest_pb2.Standing(
        member=f'instance-{number:08x}',
        revision=1800,
        change=1_000_000,
        reaches_store=True,
        reached_ms=100_000_000,
    )


def measure(is_busy: bool) -> float:
    """Returns the bytes a second of the busiest node, sent and received."""
    rng = random.Random(1)
    total = [0] * INSTANCES
    pairs = [
        (a, b) for a in range(INSTANCES) for b in range(INSTANCES) if a != b
    ]
    senders = {pair: digests.Sender() for pair in pairs}
    told = [make_load(rng, n) for n in range(PARTITIONS)]
    for _ in range(TICKS):
        if is_busy:
            told = [make_load(rng, n) for n in range(PARTITIONS)]
        for (a, b), sender in senders.items():
            made = digests.make_digest(sender, told[a::INSTANCES])
            made.message.standing.CopyFrom(make_standing(a))
            reply = digest_pb2.DigestReply(
                standing=make_standing(b), number=sender.number
            )
            digests.acknowledge(sender, made)
            size = made.message.ByteSize() + reply.ByteSize() + FRAME_BYTES
            total[a] += size
            total[b] += size
    return max(total) / TICKS


def main() -> int:
    """Prints one line for each measurement; exits with 1 if one misses."""
    missed = False
    for name, is_busy in (('digests_idle', False), ('digests_busy', True)):
        value = measure(is_busy) / BYTES_PER_KIB
        is_ok = value <= TARGET_KIB
        missed |= not is_ok
        print(
            f'bench name={name} value={value:.2f} unit=KB/s '
            f'target=<={TARGET_KIB:g} ok={"yes" if is_ok else "no"}'
        )
    return int(missed)


if __name__ == '__main__':
    sys.exit(main())
