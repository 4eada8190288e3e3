"""Whether an instance may act, under its lease and as owner of partitions."""

from nutmegknot._internal.instance import instances
from nutmegknot._internal.membership import authority_period
from nutmegknot._internal.membership import views


def may_act(inst: instances.Instance) -> bool:
    """Returns whether the instance may act at the present clock reading."""
    return authority_period.may_act(inst.membership.view, inst.clock.now_ms())


def may_act_for(inst: instances.Instance, partition: str, epoch: int) -> bool:
    """Returns whether the instance may act for a partition in an epoch."""
    view = inst.membership.view
    return (
        views.owns(view, partition)
        and views.get_epoch(view, partition) == epoch
        and may_act(inst)
    )
