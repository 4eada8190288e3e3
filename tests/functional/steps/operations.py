"""Steps in which operators change the configuration."""

import asyncio
import dataclasses
import signal

from lib import processes
from lib import worlds
import pytest_bdd
from pytest_bdd import parsers

from nutmegknot._internal.models import workers
from nutmegknot_standins import control_pb2

WATCH_INTERVAL_S = 0.05


@pytest_bdd.when('operators withdraw the key')
def withdraw_key(world: worlds.World) -> None:
    """Withdraws the only key of the team."""
    config = world.configuration
    key = dataclasses.replace(config.keys[worlds.KEY_ID], withdrawn=True)
    changed = dataclasses.replace(config, keys={worlds.KEY_ID: key})
    worlds.run(world, worlds.apply_through_any(world, changed))


@pytest_bdd.given(parsers.parse('a limit of {slots:d} slots for the team'))
@pytest_bdd.when(parsers.parse('operators lower the limit to {slots:d} slots'))
def set_limit(world: worlds.World, slots: int) -> None:
    """Sets the team's upper limit."""
    config = world.configuration
    limit = dataclasses.replace(worlds.LARGE_LIMIT, slots=slots)
    team = dataclasses.replace(config.teams[worlds.TEAM], limit=limit)
    changed = dataclasses.replace(config, teams={worlds.TEAM: team})
    worlds.run(world, worlds.apply_through_any(world, changed))
    world.limits.append((world.last_change_ms, limit))


@pytest_bdd.when(parsers.parse('operators close the failure domain {domain}'))
def close_domain(world: worlds.World, domain: str) -> None:
    """Closes a failure domain and tells the simulated platform.

    The platform then records starts in the domain as violations.
    """
    config = world.configuration
    closed = dataclasses.replace(
        config.domains[domain], state=workers.DomainState.CLOSED
    )
    changed = dataclasses.replace(
        config, domains={**config.domains, domain: closed}
    )
    worlds.run(world, worlds.apply_through_any(world, changed))
    note = control_pb2.DomainChange(domain=domain, closed=True)
    worlds.run(world, processes.send_command(world.cluster, 'domain', note))


@pytest_bdd.when('two operators change the same revision at once')
def race(world: worlds.World) -> None:
    """Applies two changes to one revision through different instances."""
    config = world.configuration
    share = dataclasses.replace(config.teams[worlds.TEAM], share=2.0)
    one = dataclasses.replace(config, teams={worlds.TEAM: share})
    two = dataclasses.replace(config, teams={**config.teams})
    first, second, *_ = worlds.list_serving(world)

    async def apply_both() -> list:
        calls = [
            worlds.apply_through(world, first, one),
            worlds.apply_through(world, second, two),
        ]
        return list(await asyncio.gather(*calls))

    world.step_values['replies'] = worlds.run(world, apply_both())


@pytest_bdd.given('someone who watches the revision of every instance')
def watch_revisions(world: worlds.World) -> None:
    """Records all revisions that the instances show, in the background."""
    seen: dict[str, list[int]] = {}
    world.step_values['revisions'] = seen

    async def watch() -> None:
        while True:
            for process in processes.list_running(world.cluster):
                revision = await worlds.read_revision(process.address)
                if revision >= 0:
                    seen.setdefault(process.name, []).append(revision)
            await asyncio.sleep(WATCH_INTERVAL_S)

    world.background.append(world.runner.get_loop().create_task(watch()))


@pytest_bdd.when(
    parsers.parse('operators make {count:d} changes while an instance pauses')
)
def change_often(world: worlds.World, count: int) -> None:
    """Makes changes one after the other while one instance is suspended."""

    async def change_all() -> None:
        paused = processes.list_running(world.cluster)[0]
        world.draining.add(paused.name)
        processes.send(paused, signal.SIGSTOP)
        for number in range(count):
            team = world.configuration.teams[worlds.TEAM]
            team = dataclasses.replace(team, share=1.0 + number)
            teams = {worlds.TEAM: team}
            changed = dataclasses.replace(world.configuration, teams=teams)
            await worlds.apply_through_any(world, changed)
        processes.send(paused, signal.SIGCONT)
        world.draining.discard(paused.name)

    worlds.run(world, change_all())
