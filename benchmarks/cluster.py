"""Measures a cell of six instance processes and the stand-ins.

Arguments name the phases to run (idle, rate, takeover, authority, outage,
faults); without any, all run. Every figure is judged by the workers' records,
the operating system or the callers, never by what the instances say.
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

from benchmarks import loads
from benchmarks import probes
from nutmegknot._internal.configuration import keys
from nutmegknot._internal.models import cells
from nutmegknot._internal.models import workers
from nutmegknot_standins import control_pb2

INSTANCES = 6
WORKERS = 32
IDLE_S = 20
RATE = 285.0
RATE_S = 36
WINDOW_S = 30
OUTAGE_S = 60
STEP_S = 0.02
SECOND_KEY = 'second-key'
SECOND_TEXT = f'{SECOND_KEY}.{worlds.SECRET}'


async def measure_idle(world: worlds.World) -> None:
    """Measures what an instance costs that has nothing to do."""
    running = processes.list_running(world.cluster)
    before = [probes.read_usage(p.child.pid) for p in running]
    await asyncio.sleep(IDLE_S)
    after = [probes.read_usage(p.child.pid) for p in running]
    pairs = list(zip(before, after, strict=True))
    cpu = max(b.cpu_s - a.cpu_s for a, b in pairs) / IDLE_S * 100
    sent = max(b.written - a.written for a, b in pairs) / IDLE_S / 1000
    memory = max(b.memory_mib for _, b in pairs)
    probes.print_line('control_cpu', cpu, '%', 1.3)
    probes.print_line('control_bytes', sent, 'KB/s', 8)
    probes.print_line('memory', memory, 'MB', 256)


async def measure_rate(world: worlds.World) -> None:
    """Measures starts a second and the way from submission to start."""
    load = loads.Load(world, 'rate', {'run_ms': 300})
    began = await processes.get_state(world.cluster, processes.NO_RECORDS)
    pids = [p.child.pid for p in world.cluster.started]
    before = [probes.read_usage(pid).cpu_s for pid in pids]
    from_ms = processes.read_wall_ms() + 3_000
    await loads.keep(load, RATE, RATE_S)
    after = [probes.read_usage(pid).cpu_s for pid in pids]
    state = await processes.get_state(world.cluster)
    to_ms = from_ms + WINDOW_S * 1000
    records = list(state.records)
    starts = loads.count_events(records, 'start', from_ms, to_ms)
    first = loads.find_first_starts(load, records)
    waits = [
        first.get(name, to_ms) - sent_ms
        for name, sent_ms in load.sent_ms.items()
        if from_ms <= sent_ms < to_ms
    ]
    probes.print_line('starts_rate', starts / WINDOW_S, '/s', 270, False)
    p99 = probes.find_percentile(waits, 99)
    probes.print_line('submit_to_start_p99', p99, 'ms', 250)
    writes = (state.table.writes - began.table.writes) / RATE_S
    reads = (state.table.reads - began.table.reads) / RATE_S
    objects = (state.objects.calls - began.objects.calls) / RATE_S
    probes.print_line('store_writes', writes + objects, '/s', 100)
    probes.print_line('store_reads', reads, '/s', 200)
    spent = [(b - a) / RATE_S for a, b in zip(before, after, strict=True)]
    shares = ' '.join(f'{share:.2f}' for share in spent)
    p50 = probes.find_percentile(waits, 50)
    print(f'note p50_ms={p50} cores of stand-ins and instances: {shares}')
    await loads.settle(load)


async def measure_takeover(world: worlds.World) -> None:
    """Measures the time from a kill to the first start by the next owner."""
    load = loads.Load(world, 'takeover', {'run_ms': 100})
    keeping = asyncio.create_task(loads.keep(load, 60, 14))
    await asyncio.sleep(3)
    owner = await processes.wait_owner(world.cluster, 'fleet-east-0')
    killed_ms = processes.read_wall_ms()
    await processes.kill(owner)
    await keeping
    await loads.settle(load)
    records = (await processes.get_state(world.cluster)).records
    # Orders that the dead owner had sent arrive within a moment.
    later = [
        r.at_ms - killed_ms
        for r in records
        if r.event == 'start'
        and r.domain == 'east'
        and r.at_ms > killed_ms + 200
    ]
    value = min(later, default=60_000) / 1000
    probes.print_line('takeover', value, 's', 5)
    await replace(world, owner)


async def replace(world: worlds.World, dead: processes.Process) -> None:
    """Starts a successor of a dead instance and waits until it serves."""
    number = list(world.cluster.instances).index(dead.name)
    name = f'{dead.name}-next'
    await processes.start_instance(world.cluster, name, number)
    await processes.wait_ready(world.cluster, WORKERS * len(processes.DOMAINS))


async def measure_authority(world: worlds.World) -> None:
    """Measures how long withdrawn authority still works."""
    load = loads.Load(world, 'key', {'run_ms': 100}, key=SECOND_TEXT)
    keeping = asyncio.create_task(loads.keep(load, 60, 10))
    await asyncio.sleep(3)
    config = world.configuration
    key = dataclasses.replace(config.keys[SECOND_KEY], withdrawn=True)
    keys = {**config.keys, SECOND_KEY: key}
    await worlds.change(world, dataclasses.replace(config, keys=keys))
    stated_ms = world.stated_ms
    await worlds.wait_in_force(world)
    in_force_ms = processes.read_wall_ms() - stated_ms
    probes.print_line('config_in_force', in_force_ms / 1000, 's', 3)
    await keeping
    await loads.settle(load)
    last_ms = max(load.accepted_ms.values(), default=stated_ms) - stated_ms
    probes.print_line('key_withdrawn', max(0, last_ms) / 1000, 's', 3)
    await _measure_domain(world)


async def _measure_domain(world: worlds.World) -> None:
    load = loads.Load(world, 'domain', {'run_ms': 100})
    keeping = asyncio.create_task(loads.keep(load, 60, 10))
    await asyncio.sleep(3)
    config = world.configuration
    closed = dataclasses.replace(
        config.domains['east'], state=workers.DomainState.CLOSED
    )
    domains = {**config.domains, 'east': closed}
    await worlds.change(world, dataclasses.replace(config, domains=domains))
    await keeping
    records = (await processes.get_state(world.cluster)).records
    starts = [r for r in records if r.event == 'start' and r.domain == 'east']
    last_ms = max(r.at_ms for r in starts) - world.stated_ms
    probes.print_line('domain_closed', max(0, last_ms) / 1000, 's', 3)
    await loads.settle(load)
    reopened = dataclasses.replace(world.configuration, domains=config.domains)
    await worlds.change(world, reopened)


async def measure_outage(world: worlds.World) -> None:
    """Compares the work of a minute's outage with that of the minute before."""
    load = loads.Load(world, 'outage', {'run_ms': 10_000})
    await loads.keep(load, 280, 45)
    await loads.settle(load)
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
    before = loads.count_events(records, 'finished', began_ms, middle_ms)
    during = loads.count_events(
        records, 'finished', middle_ms, middle_ms + OUTAGE_S * 1000
    )
    print(f'note finished before={before} during={during}')
    probes.print_line('outage_work', during / max(1, before), '', 0.9, False)
    await _drain(world)


async def _drain(world: worlds.World) -> None:
    """Waits until nothing runs any more."""

    async def is_idle() -> bool:
        await asyncio.sleep(0.5)
        state = await processes.get_state(world.cluster, processes.NO_RECORDS)
        return state.running == 0

    await processes.wait_until(is_idle, 'nothing runs', 180)


async def measure_faults(world: worlds.World) -> None:
    """Counts broken promises over a run with a kill, a pause and an outage."""
    several = [
        loads.Load(world, 'repeated', {'run_ms': 700}),
        loads.Load(world, 'single', {'run_ms': 700}, repeatable=False),
    ]
    keeping = [asyncio.create_task(loads.keep(one, 40, 50)) for one in several]
    await asyncio.sleep(5)
    killed = await processes.wait_owner(world.cluster, 'ledger-0')
    await processes.kill(killed)
    await asyncio.sleep(10)
    paused = await processes.wait_owner(world.cluster, 'fleet-north-0')
    processes.send(paused, signal.SIGSTOP)
    await asyncio.sleep(6)
    processes.send(paused, signal.SIGCONT)
    await asyncio.sleep(5)
    for part in ('table', 'objects'):
        kind = control_pb2.FAULT_KIND_DOWN
        await processes.add_fault(
            world.cluster, part=part, kind=kind, for_ms=8_000
        )
    await asyncio.gather(*keeping)
    for load in several:
        await loads.settle(load)
    await _judge(world, several)


async def _judge(world: worlds.World, several: list[loads.Load]) -> None:
    lost = untrue = 0
    finals = [await loads.wait_finals(load, 60) for load in several]
    state = await processes.get_state(world.cluster)
    for load, kinds in zip(several, finals, strict=True):
        first = loads.find_first_starts(load, list(state.records))
        counts = {k: list(kinds.values()).count(k) for k in kinds.values()}
        print(
            f'note {load.name}: outcomes {counts}, no answer to submit '
            f'{len(load.failed)}'
        )
        refused = sum(a.kind == 'refused' for a in load.answers.values())
        print(f'note {load.name}: {refused} refused of {len(load.messages)}')
        lost += sum(kind == '' for kind in kinds.values())
        untrue += sum(
            answer.kind == 'refused' and name in first
            for name, answer in load.answers.items()
        )
        untrue += sum(
            kind == 'refused' and name in first for name, kind in kinds.items()
        )
    kinds_seen = [violation.kind for violation in state.violations]
    doubled = kinds_seen.count(control_pb2.VIOLATION_KIND_TWO_PLACES)
    doubled += kinds_seen.count(control_pb2.VIOLATION_KIND_RUN_TWICE)
    over = kinds_seen.count(control_pb2.VIOLATION_KIND_OVER_CAPACITY)
    probes.print_line('lost', lost, '', 0)
    probes.print_line('doubled', doubled, '', 0)
    probes.print_line('overcommitted', over, '', 0)
    probes.print_line('untrue_refusals', untrue, '', 0)


PHASES = {
    'idle': measure_idle,
    'rate': measure_rate,
    'takeover': measure_takeover,
    'authority': measure_authority,
    'outage': measure_outage,
    'faults': measure_faults,
}


def make_configuration() -> cells.Configuration:
    """Returns the tests' configuration with a second key."""
    config = worlds.make_configuration()
    digest = keys.compute_digest(worlds.SECRET)
    key = cells.Key(SECOND_KEY, worlds.TEAM, digest)
    return dataclasses.replace(config, keys={**config.keys, SECOND_KEY: key})


async def run(
    runner: asyncio.Runner, folder: pathlib.Path, names: list[str]
) -> None:
    """Starts a cell, runs phases and ends every process."""
    layout = processes.make_layout(WORKERS)
    cluster = await processes.start(folder, INSTANCES, layout, extra='')
    world = worlds.World(runner, cluster, callers.Balancer(list))
    world.balancer.list_addresses = lambda: worlds.list_serving(world)
    try:
        await processes.wait_ready(cluster, WORKERS * len(processes.DOMAINS))
        await worlds.change(world, make_configuration())
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
    """Ends callers that a failed phase has left."""
    others = asyncio.all_tasks() - {asyncio.current_task()}
    for task in others:
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)


def main() -> None:
    """Runs the phases that the arguments name, or all."""
    names = sys.argv[1:] or list(PHASES)
    with (
        tempfile.TemporaryDirectory() as folder,
        asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner,
    ):
        runner.run(run(runner, pathlib.Path(folder), names))


if __name__ == '__main__':
    main()
