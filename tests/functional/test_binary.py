"""The executable file that tools/binary.py builds."""

import asyncio
import pathlib
import signal
import sys

import aiohttp

from nutmegknot_standins import local_cells
from tools import binary

SETTINGS = """
[instance]
region = "local"
domain = "domain-a"
listen = "127.0.0.1:{ports[0]}"
peer_listen = "127.0.0.1:{ports[1]}"
http_listen = "127.0.0.1:{ports[2]}"
drain_ms = 0
[platform]
table_url = "{url}"
objects_url = "{url}"
fleet_url = "{url}"
[cell]
domains = ["local/domain-a", "local/domain-b", "local/domain-c"]
"""


def list_children(pid: int) -> list[str]:
    tasks = pathlib.Path(f'/proc/{pid}/task')
    return [
        child
        for task in tasks.iterdir()
        for child in (task / 'children').read_text().split()
    ]


async def wait_ready(address: str) -> None:
    async with aiohttp.ClientSession() as session:
        while True:
            try:
                async with session.get(f'http://{address}/readyz') as reply:
                    if reply.status == 200:
                        return
            except aiohttp.ClientConnectionError:
                pass
            await asyncio.sleep(0.05)


async def test_binary_serves_alone_and_leaves_nothing_on_disk(
    tmp_path: pathlib.Path,
) -> None:
    program = tmp_path / 'nutmegknot'
    binary.build(program)
    temporary = tmp_path / 'temporary'
    temporary.mkdir()
    cell = await local_cells.start(instances=1, workers=1)
    assert isinstance(cell, local_cells.LocalCell)
    ports = local_cells.find_ports(3)
    config = tmp_path / 'instance.toml'
    config.write_text(SETTINGS.format(ports=ports, url=cell.platform.url))
    # -I and -S hide the packages of this test's virtual environment, so that
    # the program must bring its own.
    process = await asyncio.create_subprocess_exec(
        sys._base_executable,  # type: ignore[attr-defined]
        '-I',
        '-S',
        str(program),
        'serve',
        '--config',
        str(config),
        env={'TMPDIR': str(temporary)},
        stderr=asyncio.subprocess.PIPE,
    )
    try:
        await wait_ready(f'127.0.0.1:{ports[2]}')
        children = list_children(process.pid)
        left = list(temporary.iterdir())
    finally:
        process.send_signal(signal.SIGTERM)
        _, log = await process.communicate()
        await local_cells.stop(cell)
    assert children == []
    assert left == []
    assert process.returncode == 0
    assert b'event=stopped' in log
    assert b'Traceback' not in log
