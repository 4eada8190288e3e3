"""Health, readiness, metrics and dumps of a local cell."""

import asyncio
import json
import pathlib

import aiohttp
import pytest

from nutmegknot._internal.commands import demonstration
from nutmegknot._internal.instance import instance_lifecycle
from nutmegknot._internal.network import channels
from nutmegknot._internal.network import clients
from nutmegknot._internal.schema import operator_pb2
from nutmegknot._internal.utils import signals
from nutmegknot_standins import local_cells


async def fetch(
    session: aiohttp.ClientSession, address: str, path: str
) -> tuple[int, str]:
    async with session.get(f'http://{address}{path}') as response:
        return response.status, await response.text()


async def send_bytes(address: str, data: bytes) -> bytes:
    host, port = channels.split_address(address)
    reader, writer = await asyncio.open_connection(host, port)
    writer.write(data)
    line = await reader.readline()
    writer.close()
    return line


async def test_pages_and_dump(tmp_path: pathlib.Path) -> None:
    cell = await local_cells.start(instances=1, workers=3)
    assert isinstance(cell, local_cells.LocalCell)
    path = tmp_path / 'dump'
    ports = local_cells.find_ports(3)
    extra = f'[telemetry]\ndump_file = "{path}"\n'
    settings = local_cells.make_settings(cell.platform.url, 1, ports, extra)
    settings.instance.drain_ms = 60_000
    stopped = asyncio.Event()
    dump_wanted = signals.Signal()
    run = asyncio.create_task(
        instance_lifecycle.run(settings, stopped, dump_wanted)
    )
    address = settings.instance.http_listen
    client = clients.connect(cell.addresses[0])
    try:
        await demonstration.wait_until_ready(client)
        call = demonstration.make_submit_call('secret-1')
        await demonstration.submit_and_wait(client, call)
        shown = await client.operator.DumpState(operator_pb2.DumpStateCall())
        async with aiohttp.ClientSession() as session:
            while await _get_status(session, address) != 200:
                await asyncio.sleep(0)
            assert await fetch(session, address, '/healthz') == (
                200,
                'healthy\n',
            )
            status, text = await fetch(session, address, '/metrics')
            assert status == 200
            assert 'nutmegknot_store_calls_total{operation="table_' in text
            assert 'nutmegknot_control_cpu_s ' in text
            assert (await fetch(session, address, '/none'))[0] == 404
            assert b' 400 ' in await send_bytes(
                address, b'\xff\x00 bad\r\n\r\n'
            )
            signals.notify(dump_wanted)
            while not path.exists() or not path.read_text():
                await asyncio.sleep(0)
            stopped.set()
            while await _get_status(session, address) == 200:
                await asyncio.sleep(0)
            assert not run.done()
    finally:
        clients.close(client)
        run.cancel()
        await asyncio.gather(run, return_exceptions=True)
        await local_cells.stop(cell)
    for text in (shown.json, path.read_text()):
        parts = [json.loads(line) for line in text.splitlines()]
        assert parts[0]['part'] == 'instance'
        assert local_cells.KEY_SECRET not in text
        assert 'digest' not in text
        assert 'run_ms": 100' not in text
        assert 'done secret-1' not in text
    # The partition may have moved between the instances between the two dumps.
    assert 'demo/secret-1' in shown.json + path.read_text()


async def _get_status(session: aiohttp.ClientSession, address: str) -> int:
    try:
        return (await fetch(session, address, '/readyz'))[0]
    except aiohttp.ClientConnectionError:
        return 0


@pytest.mark.parametrize('name', ['listen', 'peer_listen', 'http_listen'])
async def test_taken_port_is_named(name: str) -> None:
    cell = await local_cells.start(instances=1, workers=1)
    assert isinstance(cell, local_cells.LocalCell)
    settings = local_cells.make_settings(
        cell.platform.url, 1, local_cells.find_ports(3)
    )
    setattr(settings.instance, name, cell.addresses[0])
    result = await instance_lifecycle.run(settings, asyncio.Event())
    await local_cells.stop(cell)
    assert isinstance(result, instance_lifecycle.AddressUnavailable)
    assert result.detail.startswith(cell.addresses[0])
