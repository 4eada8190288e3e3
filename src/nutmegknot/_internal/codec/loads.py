"""Conversion between loads and schema messages."""

from nutmegknot._internal.codec import values
from nutmegknot._internal.models import loads
from nutmegknot._internal.models import requests
from nutmegknot._internal.models import resources
from nutmegknot._internal.schema import digest_pb2


def encode_stock(load: loads.Load) -> digest_pb2.LoadStock:
    """Returns the message of what rarely changes in a load."""
    return digest_pb2.LoadStock(
        region=load.region,
        is_open=load.is_open,
        is_whole=load.is_whole,
        capacity=values.encode_resources(load.capacity),
        shapes=[
            digest_pb2.LoadShape(
                capacity=values.encode_resources(shape.capacity),
                count=shape.count,
            )
            for shape in load.shapes
        ],
    )


def encode_state(load: loads.Load) -> digest_pb2.LoadState:
    """Returns the message of what often changes in a load."""
    return digest_pb2.LoadState(
        free=values.encode_resources(load.free),
        largest_hole=values.encode_resources(load.largest_hole),
        queued=[
            digest_pb2.QueuedWork(
                priority=values.PRIORITIES[priority],
                amount=values.encode_resources(amount),
            )
            for priority, amount in sorted(load.queued.items())
        ],
        services=load.services,
    )


def decode_load(
    head: digest_pb2.LoadDigest, usage: dict[str, resources.Resources]
) -> loads.Load:
    """Returns the load of a partition from its parts.

    Args:
      head: Partition, epoch, stock and state.
      usage: What each team holds, by team.
    """
    stock, state = head.stock, head.state
    return loads.Load(
        partition=head.partition,
        domain=head.partition.removeprefix('fleet-').rpartition('-')[0],
        region=stock.region,
        epoch=head.epoch,
        is_open=stock.is_open,
        is_whole=stock.is_whole,
        capacity=values.decode_resources(stock.capacity),
        free=values.decode_resources(state.free),
        largest_hole=values.decode_resources(state.largest_hole),
        shapes=tuple(
            loads.Shape(values.decode_resources(one.capacity), one.count)
            for one in stock.shapes
        ),
        queued={
            requests.PriorityClass(one.priority): values.decode_resources(
                one.amount
            )
            for one in state.queued
        },
        usage=usage,
        services=dict(state.services),
    )
