"""Conversion between the loads of fleet partitions and schema messages.

A load is what a fleet partition publishes of its capacity, free resources and
queued work. It is sent in two messages: LoadStock with what rarely changes and
LoadState with what often changes, so that an unchanged part is not sent again.
"""

from nutmegknot._internal.codec import common_messages
from nutmegknot._internal.models import loads
from nutmegknot._internal.models import requests
from nutmegknot._internal.models import resources
from nutmegknot._internal.schema import digest_pb2


def encode_load_stock(load: loads.Load) -> digest_pb2.LoadStock:
    """Returns the message with the part of a load that rarely changes."""
    return digest_pb2.LoadStock(
        region=load.region,
        is_open=load.is_open,
        is_whole=load.is_inventory_complete,
        capacity=common_messages.encode_resources(load.capacity),
        shapes=[
            digest_pb2.LoadShape(
                capacity=common_messages.encode_resources(shape.capacity),
                count=shape.count,
            )
            for shape in load.capacity_groups
        ],
    )


def encode_load_state(load: loads.Load) -> digest_pb2.LoadState:
    """Returns the message with the part of a load that often changes."""
    return digest_pb2.LoadState(
        free=common_messages.encode_resources(load.free),
        largest_hole=common_messages.encode_resources(load.largest_free),
        queued=[
            digest_pb2.QueuedWork(
                priority=common_messages.SCHEMA_PRIORITIES[priority],
                amount=common_messages.encode_resources(amount),
            )
            for priority, amount in sorted(load.queued.items())
        ],
        services=load.services,
    )


def decode_load(
    digest: digest_pb2.LoadDigest, usage: dict[str, resources.Resources]
) -> loads.Load:
    """Returns the load of a fleet partition from its messages.

    Args:
      digest: Message with the partition, its epoch, the stock and the state.
      usage: Resources allocated to each team, by name of the team.
    """
    stock, state = digest.stock, digest.state
    return loads.Load(
        partition=digest.partition,
        domain=digest.partition.removeprefix('fleet-').rpartition('-')[0],
        region=stock.region,
        epoch=digest.epoch,
        is_open=stock.is_open,
        is_inventory_complete=stock.is_whole,
        capacity=common_messages.decode_resources(stock.capacity),
        free=common_messages.decode_resources(state.free),
        largest_free=common_messages.decode_resources(state.largest_hole),
        capacity_groups=tuple(
            loads.CapacityGroup(
                common_messages.decode_resources(shape.capacity), shape.count
            )
            for shape in stock.shapes
        ),
        queued={
            requests.PriorityClass(
                work.priority
            ): common_messages.decode_resources(work.amount)
            for work in state.queued
        },
        usage=usage,
        services=dict(state.services),
    )
