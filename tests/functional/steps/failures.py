"""Steps that inject failures and remove them."""

import asyncio
import signal

from lib import processes
from lib import worlds
import pytest_bdd
from pytest_bdd import parsers

from nutmegknot_standins import control_pb2

PAUSE_S = 2.0
PARTITIONS = {'fleet': 'fleet-east-0', 'ledger': 'ledger-0'}
FAULT_KINDS = {
    'down': control_pb2.FAULT_KIND_DOWN,
    'cut off': control_pb2.FAULT_KIND_CUT,
    'slow': control_pb2.FAULT_KIND_SLOW,
    'losing its answers': control_pb2.FAULT_KIND_LOST,
    'late': control_pb2.FAULT_KIND_LATE,
}


async def find_owner_to_fail(
    world: worlds.World, owned: str
) -> processes.Process:
    """Returns the owner of a partition and stores it as the faulty instance.

    Args:
      world: State of the scenario.
      owned: Kind of the partition: 'fleet' or 'ledger'.
    """
    partition = PARTITIONS[owned]
    world.faulty_instance = await processes.wait_owner(world.cluster, partition)
    return world.faulty_instance


def find_busiest(world: worlds.World) -> str:
    """Returns the worker with most starts in the first failure domain."""
    names: list[str] = []

    async def has_started() -> bool:
        starts = await worlds.list_starts(world)
        names[:] = [
            r.worker for r in starts if r.domain == processes.DOMAINS[0]
        ]
        return bool(names)

    worlds.run(
        world,
        processes.wait_until(
            has_started, 'a start in the first failure domain'
        ),
    )
    return max(sorted(set(names)), key=names.count)


@pytest_bdd.when(parsers.parse('the owner of a {owned} partition is killed'))
def kill_owner(world: worlds.World, owned: str) -> None:
    """Kills the owner of a partition."""

    async def kill() -> None:
        await processes.kill(await find_owner_to_fail(world, owned))

    worlds.run(world, kill())


@pytest_bdd.when(
    parsers.parse('the owner of a {owned} partition pauses past its lease')
)
def pause_owner(world: worlds.World, owned: str) -> None:
    """Suspends an owner's process until another instance has taken over."""

    async def pause() -> None:
        owner_process = await find_owner_to_fail(world, owned)
        world.draining.add(owner_process.name)
        processes.send(owner_process, signal.SIGSTOP)

        async def is_taken_over() -> bool:
            owner = await processes.find_owner(world.cluster, PARTITIONS[owned])
            return owner is not None and owner is not owner_process

        await processes.wait_until(is_taken_over, 'another owner')
        processes.send(owner_process, signal.SIGCONT)
        world.draining.discard(owner_process.name)

    worlds.run(world, pause())


@pytest_bdd.given(
    parsers.parse('the owner of a {owned} partition is cut off the table')
)
@pytest_bdd.when(
    parsers.parse('the owner of a {owned} partition is cut off the table')
)
def cut_owner_off(world: worlds.World, owned: str) -> None:
    """Cuts all calls of an owner to the table service."""

    async def cut() -> None:
        owner_process = await find_owner_to_fail(world, owned)
        await processes.add_fault(
            world.cluster,
            part='table',
            kind=control_pb2.FAULT_KIND_CUT,
            caller=owner_process.name,
        )

    worlds.run(world, cut())


def add_worker_fault(
    world: worlds.World,
    prefix: str,
    kind: control_pb2.FaultKind,
    delay_ms: int = 0,
    caller: str = '',
) -> None:
    """Adds a fault to calls to the workers whose id starts with a prefix."""
    fault = processes.add_fault(
        world.cluster,
        part='worker',
        prefix=prefix,
        kind=kind,
        delay_ms=delay_ms,
        caller=caller,
    )
    worlds.run(world, fault)


@pytest_bdd.when(
    parsers.parse('no call of its owner reaches the busiest worker')
)
def cut_worker(world: worlds.World) -> None:
    """Cuts all calls from the owner of a worker to that worker."""
    kind = control_pb2.FAULT_KIND_CUT
    owner = worlds.run(world, find_owner_to_fail(world, 'fleet'))
    add_worker_fault(world, find_busiest(world), kind, caller=owner.name)


@pytest_bdd.when(
    parsers.parse('calls reach the busiest worker {delay_ms:d} ms late')
)
def delay_calls(world: worlds.World, delay_ms: int) -> None:
    """Delays the execution of calls to a worker beyond their time-out."""
    kind = control_pb2.FAULT_KIND_LATE
    add_worker_fault(world, find_busiest(world), kind, delay_ms)


@pytest_bdd.when(parsers.parse('the busiest worker is {action}'))
def change_worker(world: worlds.World, action: str) -> None:
    """Lets the busiest worker leave or reboot."""
    actions = {
        'leaving': control_pb2.WORKER_ACTION_LEAVE,
        'rebooted': control_pb2.WORKER_ACTION_REBOOT,
    }
    worker = find_busiest(world)
    change = control_pb2.WorkerChange(worker=worker, action=actions[action])
    worlds.run(world, processes.send_command(world.cluster, 'worker', change))
    world.last_change_ms = processes.read_wall_ms()


@pytest_bdd.given(parsers.parse('the store is {state}'))
@pytest_bdd.when(parsers.parse('the store is {state}'))
def add_store_faults(world: worlds.World, state: str) -> None:
    """Adds a fault to the table service and the object store."""

    async def add_faults() -> None:
        for part in ('table', 'objects'):
            await processes.add_fault(
                world.cluster, part=part, kind=FAULT_KINDS[state], delay_ms=1500
            )

    worlds.run(world, add_faults())


@pytest_bdd.given(
    parsers.parse('workers whose answers are {delay_ms:d} ms late')
)
def delay_workers(world: worlds.World, delay_ms: int) -> None:
    """Delays the answers of the workers of one failure domain."""
    kind = control_pb2.FAULT_KIND_SLOW
    add_worker_fault(world, processes.DOMAINS[0], kind, delay_ms)


@pytest_bdd.when('the faults are mended')
def remove_faults(world: worlds.World) -> None:
    """Removes all faults."""
    worlds.run(world, processes.clear_faults(world.cluster))


@pytest_bdd.when('every instance is stopped and replaced, one after the other')
def replace_all(world: worlds.World) -> None:
    """Starts a successor for each instance, then stops the instance.

    An instance is stopped gracefully as soon as its successor serves.
    """

    async def replace() -> None:
        for number, process in enumerate(processes.list_running(world.cluster)):
            name = f'successor-{number}'
            new = await processes.start_instance(world.cluster, name, number)

            async def serves(new: processes.Process = new) -> bool:
                state = await processes.dump(new)
                return bool(state.get('may_act'))

            world.draining.add(name)
            await processes.wait_until(serves, f'{name} serves')
            world.draining.discard(name)
            world.draining.add(process.name)
            assert await processes.terminate(process) == 0

    worlds.run(world, replace())


@pytest_bdd.when(parsers.parse('the cell works on for {seconds:d} s'))
def work_on(world: worlds.World, seconds: int) -> None:
    """Lets the cell run for some seconds."""
    worlds.run(world, asyncio.sleep(seconds))
