"""Fixtures of the scenarios."""

import asyncio
from collections.abc import Iterator
import pathlib

from lib import callers
from lib import processes
from lib import worlds
import pytest

INSTANCES = 3
WORKERS = 4


@pytest.hookimpl(hookwrapper=True)
def pytest_runtest_makereport(item: pytest.Item) -> Iterator[None]:
    """Adds the processes' logs to the report of a failed scenario."""
    outcome = yield
    report = outcome.get_result()  # type: ignore[attr-defined]
    world = getattr(item, 'funcargs', {}).get('world')
    if report.when == 'call' and report.failed and world is not None:
        logs = processes.show_logs(world.cluster)
        report.sections.append(('logs of the processes', logs))


@pytest.fixture
def world(tmp_path: pathlib.Path) -> Iterator[worlds.World]:
    """Provides a ready cell with three instances and twelve workers."""
    with asyncio.Runner() as runner:
        layout = processes.make_layout(WORKERS)
        cluster = runner.run(processes.start(tmp_path, INSTANCES, layout))
        made = worlds.World(runner, cluster, callers.Balancer(list))
        made.balancer.list_addresses = lambda: worlds.list_serving(made)
        try:
            try:
                runner.run(_prepare(made))
            except AssertionError as error:
                error.add_note(processes.show_logs(cluster))
                raise
            yield made
        finally:
            runner.run(_finish(made))


async def _prepare(world: worlds.World) -> None:
    workers = WORKERS * len(processes.DOMAINS)
    await processes.wait_ready(world.cluster, workers)
    await worlds.apply_through_any(world, worlds.make_configuration())
    await worlds.wait_in_force(world)


async def _finish(world: worlds.World) -> None:
    tasks = [*world.pending.values(), *world.background]
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    callers.close(world.balancer)
    await processes.stop(world.cluster)
