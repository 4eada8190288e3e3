"""Instances that only run membership, on one shared fake table."""

import dataclasses

from lib import fakes

from nutmegknot._internal.membership import authority_period
from nutmegknot._internal.membership import leases
from nutmegknot._internal.membership import partition_ownership
from nutmegknot._internal.membership import views
from nutmegknot._internal.models import partitions
from nutmegknot._internal.schema import settings_pb2
from nutmegknot._internal.settings import reader
from nutmegknot._internal.utils import clock

SETTINGS = """
    [instance]
    region = "r"
    domain = "d"
    [platform]
    table_url = "http://127.0.0.1:1"
    objects_url = "http://127.0.0.1:1"
    fleet_url = "http://127.0.0.1:1"
    [cell]
    ledger_partitions = 2
    domains = ["r/d"]
"""


@dataclasses.dataclass(slots=True)
class Node:
    """The membership part of one instance.

    Attributes:
      context: View, lease, table and clock of its membership.
      opened: Newest epoch in which it opened each partition.
      served: Epoch of each partition that it serves now.
    """

    context: leases.Context
    opened: dict[str, int] = dataclasses.field(default_factory=dict)
    served: dict[str, int] = dataclasses.field(default_factory=dict)


def make_settings() -> settings_pb2.Settings:
    """Returns settings with default time-outs and intervals."""
    settings = reader.parse_toml(SETTINGS, 'test')
    assert isinstance(settings, settings_pb2.Settings)
    return settings


def make_node(
    name: str, fake: fakes.FakeTable, manual: clock.ManualTime
) -> Node:
    """Returns an instance that has not joined yet."""
    view = views.View(partitions.Member(name, f'{name}:1', 'r', 'd'))
    context = leases.Context(
        view,
        leases.Lease(),
        fakes.connect_table(fake),
        clock.make_manual_clock(manual),
        make_settings(),
    )
    return Node(context)


def acts_for(node: Node, partition: str) -> bool:
    """Returns whether an instance would act as owner of a partition now."""
    view = node.context.view
    return (
        node.served.get(partition, 0) > 0
        and views.owns(view, partition)
        and views.get_epoch(view, partition) == node.served[partition]
        and authority_period.may_act(view, node.context.clock.now_ms())
    )


def _open(node: Node, partition: str) -> None:
    epoch = views.get_epoch(node.context.view, partition)
    node.opened[partition] = epoch
    node.served[partition] = epoch


async def move_partitions(node: Node) -> None:
    """Opens, acquires and releases partitions after a change of the view."""
    view = node.context.view
    for name, epoch in list(node.served.items()):
        if not views.owns(view, name) or views.get_epoch(view, name) != epoch:
            del node.served[name]
    if not authority_period.may_act(view, node.context.clock.now_ms()):
        return
    for name in partition_ownership.list_unserved(
        node.context, list(node.served)
    ):
        if views.get_epoch(view, name) > node.opened.get(name, 0):
            _open(node, name)
        else:
            await partition_ownership.release(node.context, name)
    for name in partition_ownership.list_acquirable(node.context):
        if await partition_ownership.acquire(node.context, name):
            _open(node, name)
    surplus = partition_ownership.find_partition_to_release(
        node.context, list(node.served)
    )
    if surplus:
        del node.served[surplus]
        await partition_ownership.release(node.context, surplus)
    await partition_ownership.remove_expired_members(node.context)


async def run_steps(
    nodes: list[Node], manual: clock.ManualTime, count: int, step_ms: int
) -> None:
    """Lets all instances renew leases and move partitions, step by step.

    The clock advances by step_ms after each of the count steps.
    """
    for _ in range(count):
        for node in nodes:
            await leases.renew(node.context)
            await move_partitions(node)
        manual.at_ms += step_ms


def exchange_store_status(asking: Node, asked: Node) -> None:
    """Tells one instance whether another one reaches the table service."""
    now_ms = asking.context.clock.now_ms()
    reaches = asked.context.view.store_reached_since_ms is not None
    answer = views.StoreStatus(now_ms, reaches)
    leases.record_store_status(asking.context, asked.context.view.me.id, answer)
