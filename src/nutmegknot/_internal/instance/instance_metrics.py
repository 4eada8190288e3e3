"""Metrics of an instance: gauges read on request, and counters of starts."""

from collections.abc import Iterable
import dataclasses
import functools
import resource
import time

from nutmegknot._internal.decisions import scheduling
from nutmegknot._internal.fleet import fleets
from nutmegknot._internal.instance import instances
from nutmegknot._internal.models import reports
from nutmegknot._internal.models import resources
from nutmegknot._internal.telemetry import instruments
from nutmegknot._internal.telemetry import metrics
from nutmegknot._internal.telemetry import store_calls

_RESOURCE_NAMES = ('millicores', 'memory_mib', 'accelerators', 'slots')


def add_gauges(inst: instances.Instance) -> None:
    """Adds the gauges to the instance's metrics."""
    gauges = {
        'waiting': ('Requests that wait.', '1', _read_waiting),
        'running': ('Requests placed.', '1', _read_running),
        'packing': ('Part of the capacity that is held.', '1', _read_packing),
        'share_distance': (
            "Team's part of what is held, less its due share.",
            '1',
            _read_share_deviations,
        ),
        'ledger_entries': ('Requests kept.', '1', _read_entries),
        'calls': ('Calls being handled.', '1', _read_calls),
        'control_memory': ('Largest memory used.', 'KiB', _read_memory),
        'control_cpu': ('Processor time used.', 's', _read_processor_time),
    }
    for name, (text, unit, read) in gauges.items():
        gauge = instruments.Gauge(
            name, text, unit, functools.partial(read, inst)
        )
        metrics.add_gauge(inst.metrics, gauge)


def count_store_calls(
    platform: instances.Platform, counter: instruments.Counter
) -> instances.Platform:
    """Returns the platform's clients with calls to the stores counted."""
    return dataclasses.replace(
        platform,
        table=store_calls.count_table_calls(platform.table, counter),
        objects=store_calls.count_object_store_calls(platform.objects, counter),
    )


def record_starts(
    inst: instances.Instance,
    fleet: fleets.Fleet,
    durable_reports: list[reports.Report],
) -> None:
    """Counts the starts among reports that have just become durable.

    It also records the time from acceptance to each start.
    """
    now_ms = inst.clock.wall_ms()
    for report in durable_reports:
        request = fleet.requests.get(report.request_key)
        if request is None or not isinstance(report.update, reports.Running):
            continue
        req = request.assignment.req
        labels = (req.priority.name.lower(), req.team)
        instruments.increment(inst.metrics.starts, *labels)
        waited_ms = max(0, now_ms - request.assignment.accepted_ms)
        instruments.record(inst.metrics.waits, waited_ms, *labels)


def _read_waiting(
    inst: instances.Instance,
) -> Iterable[instruments.GaugeReading]:
    for name, fleet in inst.fleets.items():
        waiting = len(fleet.scheduler.waiting)
        yield instruments.GaugeReading({'partition': name}, waiting)


def _read_running(
    inst: instances.Instance,
) -> Iterable[instruments.GaugeReading]:
    for name, fleet in inst.fleets.items():
        running = sum(bool(request.runs) for request in fleet.requests.values())
        yield instruments.GaugeReading({'partition': name}, running)


def _read_entries(
    inst: instances.Instance,
) -> Iterable[instruments.GaugeReading]:
    for name, ledger in inst.ledgers.items():
        yield instruments.GaugeReading({'partition': name}, len(ledger.entries))


def _read_calls(inst: instances.Instance) -> Iterable[instruments.GaugeReading]:
    yield instruments.GaugeReading({}, inst.calls.running)


def _read_processor_time(
    inst: instances.Instance,
) -> Iterable[instruments.GaugeReading]:
    yield instruments.GaugeReading({}, time.process_time())


def _read_memory(
    inst: instances.Instance,
) -> Iterable[instruments.GaugeReading]:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    yield instruments.GaugeReading({}, usage.ru_maxrss)


def _read_packing(
    inst: instances.Instance,
) -> Iterable[instruments.GaugeReading]:
    for name, fleet in inst.fleets.items():
        capacity = _compute_capacity(fleet)
        allocated = _compute_allocated(fleet)
        for resource_name in _RESOURCE_NAMES:
            total = getattr(capacity, resource_name)
            if total:
                value = getattr(allocated, resource_name) / total
                yield instruments.GaugeReading(
                    {'partition': name, 'resource': resource_name}, value
                )


def _read_share_deviations(
    inst: instances.Instance,
) -> Iterable[instruments.GaugeReading]:
    """Compares each active team's allocation with its due share.

    An allocation is measured by its dominant share: the largest part of the
    capacity that it takes of any one resource.
    """
    for name, fleet in inst.fleets.items():
        usage = scheduling.compute_usage(fleet.scheduler)
        demand = scheduling.compute_demand(fleet.scheduler)
        teams = fleet.scheduler.configuration.teams
        active = [team for team in teams if team in usage or team in demand]
        dominant_shares = {
            team: _compute_dominant_share(fleet, usage.get(team))
            for team in active
        }
        total_share = sum(dominant_shares.values())
        total_weight = sum(teams[team].share for team in active)
        for team in active if total_share else ():
            due_share = teams[team].share / total_weight
            deviation = dominant_shares[team] / total_share - due_share
            yield instruments.GaugeReading(
                {'partition': name, 'team': team}, deviation
            )


def _compute_dominant_share(
    fleet: fleets.Fleet, amount: resources.Resources | None
) -> float:
    """Returns the largest part of the capacity that an amount takes."""
    capacity = _compute_capacity(fleet)
    parts = [
        getattr(amount, name) / getattr(capacity, name)
        for name in _RESOURCE_NAMES
        if amount is not None and getattr(capacity, name)
    ]
    return max(parts, default=0.0)


def _compute_capacity(fleet: fleets.Fleet) -> resources.Resources:
    total = resources.ZERO
    for worker in fleet.scheduler.schedulable_workers.values():
        total = resources.add(total, worker.capacity)
    return total


def _compute_allocated(fleet: fleets.Fleet) -> resources.Resources:
    total = resources.ZERO
    for allocation in fleet.scheduler.allocations.values():
        total = resources.add(total, allocation.size)
    return total
