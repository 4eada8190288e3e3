"""Gauges of customers' rates, and of work that is delayed under overload."""

from nutmegknot._internal.decisions import customer_rates
from nutmegknot._internal.jobs import nodes
from nutmegknot._internal.models import jobs
from nutmegknot._internal.telemetry import instruments


def make_gauges(node: nodes.Node) -> list[instruments.Gauge]:
    """Returns the gauges; an instance that is not the owner has no readings."""
    return [
        instruments.Gauge(
            'customer_recent_jobs',
            'Jobs within its rate that each customer submitted in the window.',
            '1',
            lambda: _count_recent_jobs(node),
        ),
        instruments.Gauge(
            'customer_allowance',
            'Jobs that each customer may submit in that window.',
            '1',
            lambda: _read_allowances(node),
        ),
        instruments.Gauge(
            'customer_waiting_tasks',
            'Tasks of each customer that wait for a start.',
            '1',
            lambda: _count_waiting_tasks(node),
        ),
        instruments.Gauge(
            'stages_delayed',
            'Waiting stages that others go before, by what they will miss.',
            '1',
            lambda: _count_delayed_stages(node),
        ),
    ]


def _count_recent_jobs(node: nodes.Node) -> list[instruments.GaugeReading]:
    if node.ownership is None:
        return []
    wall_ms = node.clock.wall_ms()
    return [
        instruments.GaugeReading(
            {'customer': name},
            customer_rates.count_recent(
                node.ownership.rates, name, wall_ms, node.limits.rate_limits
            ),
        )
        for name in node.ownership.rates.accepted_ms
    ]


def _read_allowances(node: nodes.Node) -> list[instruments.GaugeReading]:
    if node.ownership is None:
        return []
    return [
        instruments.GaugeReading(
            {'customer': customer.name},
            customer_rates.compute_allowance(customer, node.limits.rate_limits),
        )
        for customer in node.ownership.cluster.settings.customers.values()
        if customer.weight > 0
    ]


def _count_waiting_tasks(node: nodes.Node) -> list[instruments.GaugeReading]:
    if node.ownership is None:
        return []
    cluster = node.ownership.cluster
    counts: dict[str, int] = {}
    for key, stage in cluster.waiting_stages.items():
        customer = cluster.jobs[key[0]].spec.customer
        waiting = sum(
            task.phase is jobs.TaskPhase.WAITING for task in stage.tasks
        )
        counts[customer] = counts.get(customer, 0) + waiting
    return [
        instruments.GaugeReading({'customer': name}, count)
        for name, count in counts.items()
    ]


def _count_delayed_stages(node: nodes.Node) -> list[instruments.GaugeReading]:
    if node.ownership is None:
        return []
    cluster = node.ownership.cluster
    return [
        instruments.GaugeReading(
            {'misses': 'objective'}, len(cluster.deferred_stages)
        ),
        instruments.GaugeReading(
            {'misses': 'value'}, len(cluster.too_late_stages)
        ),
    ]
