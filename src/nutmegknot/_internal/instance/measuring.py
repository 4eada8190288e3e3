"""Gauges of an instance, read from its state when metrics are asked for."""

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
from nutmegknot._internal.telemetry import counters
from nutmegknot._internal.telemetry import metrics
from nutmegknot._internal.telemetry import store_calls

_PARTS = ('millicores', 'memory_mib', 'accelerators', 'slots')


def add_gauges(inst: instances.Instance) -> None:
    """Adds all gauges to the instance's metrics."""
    gauges = {
        'waiting': ('Requests that wait.', '1', _read_waiting),
        'running': ('Requests placed.', '1', _read_running),
        'packing': ('Part of the capacity that is held.', '1', _read_packing),
        'share_distance': (
            "Team's part of what is held, less its due share.",
            '1',
            _read_share_distances,
        ),
        'ledger_entries': ('Requests kept.', '1', _read_entries),
        'calls': ('Calls being handled.', '1', _read_calls),
        'control_memory': ('Largest memory used.', 'KiB', _read_memory),
        'control_cpu': ('Processor time used.', 's', _read_processor_time),
    }
    for name, (text, unit, read) in gauges.items():
        gauge = counters.Gauge(name, text, unit, functools.partial(read, inst))
        metrics.add_gauge(inst.metrics, gauge)


def count_stores(
    platform: instances.Platform, counter: counters.Counter
) -> instances.Platform:
    """Returns the platform's services with calls to the stores counted."""
    return dataclasses.replace(
        platform,
        table=store_calls.count_table(platform.table, counter),
        objects=store_calls.count_objects(platform.objects, counter),
    )


def note_reports(
    inst: instances.Instance,
    fleet: fleets.Fleet,
    given: list[reports.Report],
) -> None:
    """Counts the starts among reports that have just become durable."""
    now_ms = inst.clock.wall_ms()
    for report in given:
        job = fleet.jobs.get(report.request_key)
        if job is None or not isinstance(report.news, reports.Running):
            continue
        req = job.given.req
        labels = (req.priority.name.lower(), req.team)
        counters.count(inst.metrics.starts, *labels)
        waited_ms = max(0, now_ms - job.given.accepted_ms)
        counters.record(inst.metrics.waits, waited_ms, *labels)


def _read_waiting(inst: instances.Instance) -> Iterable[counters.Reading]:
    for name, fleet in inst.fleets.items():
        waiting = len(fleet.scheduler.waiting)
        yield counters.Reading({'partition': name}, waiting)


def _read_running(inst: instances.Instance) -> Iterable[counters.Reading]:
    for name, fleet in inst.fleets.items():
        running = sum(bool(job.runs) for job in fleet.jobs.values())
        yield counters.Reading({'partition': name}, running)


def _read_entries(inst: instances.Instance) -> Iterable[counters.Reading]:
    for name, ledger in inst.ledgers.items():
        yield counters.Reading({'partition': name}, len(ledger.entries))


def _read_calls(inst: instances.Instance) -> Iterable[counters.Reading]:
    yield counters.Reading({}, inst.calls.running)


def _read_processor_time(
    inst: instances.Instance,
) -> Iterable[counters.Reading]:
    yield counters.Reading({}, time.process_time())


def _read_memory(inst: instances.Instance) -> Iterable[counters.Reading]:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    yield counters.Reading({}, usage.ru_maxrss)


def _read_packing(inst: instances.Instance) -> Iterable[counters.Reading]:
    for name, fleet in inst.fleets.items():
        capacity = _compute_capacity(fleet)
        held = _compute_held(fleet)
        for part in _PARTS:
            whole = getattr(capacity, part)
            if whole:
                value = getattr(held, part) / whole
                yield counters.Reading(
                    {'partition': name, 'resource': part}, value
                )


def _read_share_distances(
    inst: instances.Instance,
) -> Iterable[counters.Reading]:
    """Compares each active team's part of what is held with its due share."""
    for name, fleet in inst.fleets.items():
        usage = scheduling.compute_usage(fleet.scheduler)
        demand = scheduling.compute_demand(fleet.scheduler)
        teams = fleet.scheduler.configuration.teams
        active = [t for t in teams if t in usage or t in demand]
        held = {team: _get_part(fleet, usage.get(team)) for team in active}
        all_held = sum(held.values())
        all_shares = sum(teams[team].share for team in active)
        for team in active if all_held else ():
            due = teams[team].share / all_shares
            distance = held[team] / all_held - due
            yield counters.Reading({'partition': name, 'team': team}, distance)


def _get_part(fleet: fleets.Fleet, amount: resources.Resources | None) -> float:
    """Returns the largest part of the capacity that an amount takes."""
    capacity = _compute_capacity(fleet)
    parts = [
        getattr(amount, part) / getattr(capacity, part)
        for part in _PARTS
        if amount is not None and getattr(capacity, part)
    ]
    return max(parts, default=0.0)


def _compute_capacity(fleet: fleets.Fleet) -> resources.Resources:
    total = resources.NOTHING
    for worker in fleet.scheduler.machines.values():
        total = resources.add(total, worker.capacity)
    return total


def _compute_held(fleet: fleets.Fleet) -> resources.Resources:
    total = resources.NOTHING
    for held in fleet.scheduler.held.values():
        total = resources.add(total, held.size)
    return total
