"""Measures a cell of six instance processes on a simulated platform.

The command line names the phases to run: idle, rate, takeover, authority,
outage or faults; the default is all. Values come from the records of the
simulated workers, from the operating system or from the callers, never from
what the instances report.
"""

import asyncio
import dataclasses
import pathlib
import signal
import sys
import tempfile
import time

from lib import callers
from lib import processes
from lib import worlds
import uvloop

from benchmarks import load_generator
from benchmarks import process_usage
from nutmegknot._internal.configuration import keys
from nutmegknot._internal.models import cells
from nutmegknot._internal.models import workers
from nutmegknot_standins import control_pb2

INSTANCES = 6
WORKERS_PER_DOMAIN = 32
IDLE_PHASE_S = 20
REQUESTS_PER_S = 285.0
RATE_PHASE_S = 36
MEASUREMENT_WINDOW_S = 30
OUTAGE_S = 60
STEP_S = 0.02
SECOND_KEY_ID = 'second-key'
SECOND_KEY_TEXT = f'{SECOND_KEY_ID}.{worlds.SECRET}'


async def measure_idle(world: worlds.World) -> None:
    """Measures the resource usage of idle instances."""
    running = processes.list_running(world.cluster)
    before = [process_usage.read_usage(p.child.pid) for p in running]
    await asyncio.sleep(IDLE_PHASE_S)
    after = [process_usage.read_usage(p.child.pid) for p in running]
    pairs = list(zip(before, after, strict=True))
    cpu = max(b.cpu_s - a.cpu_s for a, b in pairs) / IDLE_PHASE_S * 100
    sent = (
        max(b.written_bytes - a.written_bytes for a, b in pairs)
        / IDLE_PHASE_S
        / 1000
    )
    memory = max(b.memory_mib for _, b in pairs)
    process_usage.print_result('control_cpu', cpu, '%', 1.3)
    process_usage.print_result('control_bytes', sent, 'KB/s', 8)
    process_usage.print_result('memory', memory, 'MB', 256)


async def measure_rate(world: worlds.World) -> None:
    """Measures starts per second and the time from submission to start."""
    load = load_generator.RequestLoad(world, 'rate', {'run_ms': 300})
    before_load = await processes.get_state(world.cluster, processes.NO_RECORDS)
    pids = [p.child.pid for p in world.cluster.started]
    before = [process_usage.read_usage(pid).cpu_s for pid in pids]
    from_ms = processes.read_wall_ms() + 3_000
    await load_generator.submit_at_rate(load, REQUESTS_PER_S, RATE_PHASE_S)
    after = [process_usage.read_usage(pid).cpu_s for pid in pids]
    state = await processes.get_state(world.cluster)
    to_ms = from_ms + MEASUREMENT_WINDOW_S * 1000
    records = list(state.records)
    starts = load_generator.count_events(records, 'start', from_ms, to_ms)
    first = load_generator.find_first_starts(load, records)
    waits = [
        first.get(name, to_ms) - sent_ms
        for name, sent_ms in load.sent_ms.items()
        if from_ms <= sent_ms < to_ms
    ]
    process_usage.print_result(
        'starts_rate', starts / MEASUREMENT_WINDOW_S, '/s', 270, False
    )
    p99 = process_usage.compute_percentile(waits, 99)
    process_usage.print_result('submit_to_start_p99', p99, 'ms', 250)
    writes = (state.table.writes - before_load.table.writes) / RATE_PHASE_S
    reads = (state.table.reads - before_load.table.reads) / RATE_PHASE_S
    objects = (state.objects.calls - before_load.objects.calls) / RATE_PHASE_S
    process_usage.print_result('store_writes', writes + objects, '/s', 100)
    process_usage.print_result('store_reads', reads, '/s', 200)
    spent = [(b - a) / RATE_PHASE_S for a, b in zip(before, after, strict=True)]
    shares = ' '.join(f'{share:.2f}' for share in spent)
    p50 = process_usage.compute_percentile(waits, 50)
    print(f'note p50_ms={p50} cores of stand-ins and instances: {shares}')
    await load_generator.wait_for_answers(load)


async def measure_takeover(world: worlds.World) -> None:
    """Measures the time from an owner's kill to its successor's first start."""
    load = load_generator.RequestLoad(world, 'takeover', {'run_ms': 100})
    submission = asyncio.create_task(
        load_generator.submit_at_rate(load, 60, 14)
    )
    await asyncio.sleep(3)
    owner = await processes.wait_owner(world.cluster, 'fleet-east-0')
    killed_ms = processes.read_wall_ms()
    await processes.kill(owner)
    await submission
    await load_generator.wait_for_answers(load)
    records = (await processes.get_state(world.cluster)).records
    # Starts in the first 200 ms may come from commands that the killed owner
    # had sent.
    start_delays_ms = [
        r.at_ms - killed_ms
        for r in records
        if r.event == 'start'
        and r.domain == 'east'
        and r.at_ms > killed_ms + 200
    ]
    value = min(start_delays_ms, default=60_000) / 1000
    process_usage.print_result('takeover', value, 's', 5)
    await replace_instance(world, owner)


async def replace_instance(
    world: worlds.World, killed: processes.Process
) -> None:
    """Replaces a killed instance and waits until the cell is ready."""
    number = list(world.cluster.instances).index(killed.name)
    name = f'{killed.name}-next'
    await processes.start_instance(world.cluster, name, number)
    await processes.wait_ready(
        world.cluster, WORKERS_PER_DOMAIN * len(processes.DOMAINS)
    )


async def measure_authority(world: worlds.World) -> None:
    """Measures how long a withdrawn key and a closed domain remain in use."""
    load = load_generator.RequestLoad(
        world, 'key', {'run_ms': 100}, key=SECOND_KEY_TEXT
    )
    submission = asyncio.create_task(
        load_generator.submit_at_rate(load, 60, 10)
    )
    await asyncio.sleep(3)
    config = world.configuration
    key = dataclasses.replace(config.keys[SECOND_KEY_ID], withdrawn=True)
    keys = {**config.keys, SECOND_KEY_ID: key}
    await worlds.apply_through_any(
        world, dataclasses.replace(config, keys=keys)
    )
    stated_ms = world.last_change_ms
    await worlds.wait_in_force(world)
    in_force_ms = processes.read_wall_ms() - stated_ms
    process_usage.print_result('config_in_force', in_force_ms / 1000, 's', 3)
    await submission
    await load_generator.wait_for_answers(load)
    last_ms = max(load.accepted_ms.values(), default=stated_ms) - stated_ms
    process_usage.print_result('key_withdrawn', max(0, last_ms) / 1000, 's', 3)
    await _measure_domain(world)


async def _measure_domain(world: worlds.World) -> None:
    load = load_generator.RequestLoad(world, 'domain', {'run_ms': 100})
    submission = asyncio.create_task(
        load_generator.submit_at_rate(load, 60, 10)
    )
    await asyncio.sleep(3)
    config = world.configuration
    closed = dataclasses.replace(
        config.domains['east'], state=workers.DomainState.CLOSED
    )
    domains = {**config.domains, 'east': closed}
    await worlds.apply_through_any(
        world, dataclasses.replace(config, domains=domains)
    )
    await submission
    records = (await processes.get_state(world.cluster)).records
    starts = [r for r in records if r.event == 'start' and r.domain == 'east']
    last_ms = max(r.at_ms for r in starts) - world.last_change_ms
    process_usage.print_result('domain_closed', max(0, last_ms) / 1000, 's', 3)
    await load_generator.wait_for_answers(load)
    reopened = dataclasses.replace(world.configuration, domains=config.domains)
    await worlds.apply_through_any(world, reopened)


async def measure_outage(world: worlds.World) -> None:
    """Compares the tasks finished in an outage with those finished before it.

    The outage of the table and the object store lasts one minute.
    """
    load = load_generator.RequestLoad(world, 'outage', {'run_ms': 10_000})
    await load_generator.submit_at_rate(load, 280, 45)
    await load_generator.wait_for_answers(load)
    began_ms = processes.read_wall_ms()
    await asyncio.sleep(OUTAGE_S)
    for part in ('table', 'objects'):
        await processes.add_fault(
            world.cluster,
            part=part,
            kind=control_pb2.FAULT_KIND_DOWN,
            for_ms=OUTAGE_S * 1000,
        )
    await asyncio.sleep(OUTAGE_S)
    records = list((await processes.get_state(world.cluster)).records)
    middle_ms = began_ms + OUTAGE_S * 1000
    before = load_generator.count_events(
        records, 'finished', began_ms, middle_ms
    )
    during = load_generator.count_events(
        records, 'finished', middle_ms, middle_ms + OUTAGE_S * 1000
    )
    print(f'note finished before={before} during={during}')
    process_usage.print_result(
        'outage_work', during / max(1, before), '', 0.9, False
    )
    await _wait_until_idle(world)


async def _wait_until_idle(world: worlds.World) -> None:
    """Waits until no task runs."""

    async def is_idle() -> bool:
        await asyncio.sleep(0.5)
        state = await processes.get_state(world.cluster, processes.NO_RECORDS)
        return state.running == 0

    await processes.wait_until(is_idle, 'nothing runs', 180)


async def measure_faults(world: worlds.World) -> None:
    """Counts violated guarantees under a kill, a pause and a store outage."""
    request_loads = [
        load_generator.RequestLoad(world, 'repeated', {'run_ms': 700}),
        load_generator.RequestLoad(
            world, 'single', {'run_ms': 700}, repeatable=False
        ),
    ]
    submission = [
        asyncio.create_task(load_generator.submit_at_rate(one, 40, 50))
        for one in request_loads
    ]
    await asyncio.sleep(5)
    owner = await processes.wait_owner(world.cluster, 'ledger-0')
    await processes.kill(owner)
    await asyncio.sleep(10)
    paused_owner = await processes.wait_owner(world.cluster, 'fleet-north-0')
    processes.send(paused_owner, signal.SIGSTOP)
    await asyncio.sleep(6)
    processes.send(paused_owner, signal.SIGCONT)
    await asyncio.sleep(5)
    for part in ('table', 'objects'):
        kind = control_pb2.FAULT_KIND_DOWN
        await processes.add_fault(
            world.cluster, part=part, kind=kind, for_ms=8_000
        )
    await asyncio.gather(*submission)
    for load in request_loads:
        await load_generator.wait_for_answers(load)
    await _print_violations(world, request_loads)


async def _print_violations(
    world: worlds.World, request_loads: list[load_generator.RequestLoad]
) -> None:
    lost = false_refusals = 0
    finals = [
        await load_generator.wait_for_outcomes(load, 60)
        for load in request_loads
    ]
    state = await processes.get_state(world.cluster)
    for load, kinds in zip(request_loads, finals, strict=True):
        first = load_generator.find_first_starts(load, list(state.records))
        counts = {k: list(kinds.values()).count(k) for k in kinds.values()}
        print(
            f'note {load.name}: outcomes {counts}, no answer to submit '
            f'{len(load.unanswered)}'
        )
        refused = sum(a.kind == 'refused' for a in load.answers.values())
        print(f'note {load.name}: {refused} refused of {len(load.messages)}')
        lost += sum(kind == '' for kind in kinds.values())
        false_refusals += sum(
            answer.kind == 'refused' and name in first
            for name, answer in load.answers.items()
        )
        false_refusals += sum(
            kind == 'refused' and name in first for name, kind in kinds.items()
        )
    kinds_seen = [violation.kind for violation in state.violations]
    duplicate_runs = kinds_seen.count(control_pb2.VIOLATION_KIND_TWO_PLACES)
    duplicate_runs += kinds_seen.count(control_pb2.VIOLATION_KIND_RUN_TWICE)
    overcommitments = kinds_seen.count(control_pb2.VIOLATION_KIND_OVER_CAPACITY)
    process_usage.print_result('lost', lost, '', 0)
    process_usage.print_result('doubled', duplicate_runs, '', 0)
    process_usage.print_result('overcommitted', overcommitments, '', 0)
    process_usage.print_result('untrue_refusals', false_refusals, '', 0)


PHASES = {
    'idle': measure_idle,
    'rate': measure_rate,
    'takeover': measure_takeover,
    'authority': measure_authority,
    'outage': measure_outage,
    'faults': measure_faults,
}


def make_configuration() -> cells.Configuration:
    """Returns the configuration of the tests with a second key."""
    config = worlds.make_configuration()
    digest = keys.compute_digest(worlds.SECRET)
    key = cells.Key(SECOND_KEY_ID, worlds.TEAM, digest)
    return dataclasses.replace(config, keys={**config.keys, SECOND_KEY_ID: key})


async def run(
    runner: asyncio.Runner, folder: pathlib.Path, names: list[str]
) -> None:
    """Starts a cell, runs the phases and stops all processes."""
    layout = processes.make_layout(WORKERS_PER_DOMAIN)
    cluster = await processes.start(folder, INSTANCES, layout, extra='')
    world = worlds.World(runner, cluster, callers.Balancer(list))
    world.balancer.list_addresses = lambda: worlds.list_serving(world)
    try:
        await processes.wait_ready(
            cluster, WORKERS_PER_DOMAIN * len(processes.DOMAINS)
        )
        await worlds.apply_through_any(world, make_configuration())
        await worlds.wait_in_force(world)
        await asyncio.sleep(2)
        for name in names:
            print(f'phase {name} at {time.strftime("%H:%M:%S")}', flush=True)
            await PHASES[name](world)
    except Exception:
        print(processes.show_logs(cluster), file=sys.stderr)
        raise
    finally:
        await _cancel_others()
        callers.close(world.balancer)
        await processes.stop(cluster)


async def _cancel_others() -> None:
    """Cancels the tasks that a failed phase has left running."""
    others = asyncio.all_tasks() - {asyncio.current_task()}
    for task in others:
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)


def main() -> None:
    """Runs the phases given on the command line, or all."""
    names = sys.argv[1:] or list(PHASES)
    with (
        tempfile.TemporaryDirectory() as folder,
        asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner,
    ):
        runner.run(run(runner, pathlib.Path(folder), names))


if __name__ == '__main__':
    main()
