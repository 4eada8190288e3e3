"""Measures the network traffic of the digests that instances exchange.

The cell has six instances, ten fleet partitions and 44 teams. In the busy case
the usage of every team changes every second. The size of the encoded messages
is counted in both directions.
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
# Number of simulated seconds; a digest is sent in each.
TICKS = 120
TARGET_KIB_PER_S = 8.0
BYTES_PER_KIB = 1024
# Size of the frames and compressed headers of a call and its reply on a
# connection that stays open.
CALL_OVERHEAD_BYTES = 160


def draw_resources(rng: random.Random) -> resources.Resources:
    """Returns random resources as in a fleet partition of a busy fleet."""
    return resources.Resources(
        rng.randrange(5_000_000),
        rng.randrange(20_000_000),
        rng.randrange(60),
        rng.randrange(700),
    )


def make_load(rng: random.Random, number: int) -> loads.Load:
    """Returns a random load of one fleet partition."""
    name = f'fleet-domain-{number}-0'
    return loads.Load(
        partition=name,
        domain=f'domain-{number}',
        region='kerala-south',
        epoch=7,
        is_inventory_complete=True,
        capacity=draw_resources(rng),
        free=draw_resources(rng),
        largest_free=draw_resources(rng),
        capacity_groups=tuple(
            loads.CapacityGroup(draw_resources(rng), 20) for _ in range(4)
        ),
        queued={
            priority: draw_resources(rng) for priority in requests.PriorityClass
        },
        usage={f'team-{n:02d}': draw_resources(rng) for n in range(TEAMS)},
    )


def make_sender_state(number: int) -> digest_pb2.Standing:
    """Returns the message about the sender that is in every digest."""
    return digest_pb2.Standing(
        member=f'instance-{number:08x}',
        revision=1800,
        change=1_000_000,
        reaches_store=True,
        reached_ms=100_000_000,
    )


def measure_bytes_per_s(is_busy: bool) -> float:
    """Returns the bytes per second that the busiest instance transfers."""
    rng = random.Random(1)
    total_bytes = [0] * INSTANCES
    pairs = [
        (a, b) for a in range(INSTANCES) for b in range(INSTANCES) if a != b
    ]
    senders = {pair: digests.Sender() for pair in pairs}
    partition_loads = [make_load(rng, n) for n in range(PARTITIONS)]
    for _ in range(TICKS):
        if is_busy:
            partition_loads = [make_load(rng, n) for n in range(PARTITIONS)]
        for (a, b), sender in senders.items():
            outgoing = digests.make_digest(
                sender, partition_loads[a::INSTANCES]
            )
            outgoing.message.standing.CopyFrom(make_sender_state(a))
            reply = digest_pb2.DigestReply(
                standing=make_sender_state(b), number=sender.number
            )
            digests.acknowledge(sender, outgoing)
            size = (
                outgoing.message.ByteSize()
                + reply.ByteSize()
                + CALL_OVERHEAD_BYTES
            )
            total_bytes[a] += size
            total_bytes[b] += size
    return max(total_bytes) / TICKS


def main() -> int:
    """Prints one line for each result; returns 1 if a target is missed."""
    has_missed_target = False
    for name, is_busy in (('digests_idle', False), ('digests_busy', True)):
        value = measure_bytes_per_s(is_busy) / BYTES_PER_KIB
        is_ok = value <= TARGET_KIB_PER_S
        has_missed_target |= not is_ok
        print(
            f'bench name={name} value={value:.2f} unit=KB/s '
            f'target=<={TARGET_KIB_PER_S:g} ok={"yes" if is_ok else "no"}'
        )
    return int(has_missed_target)


if __name__ == '__main__':
    sys.exit(main())
