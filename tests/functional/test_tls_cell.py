"""A cell whose ports all use TLS."""

import asyncio
import pathlib

from nutmegknot._internal.commands import demonstration
from nutmegknot._internal.instance import instance_lifecycle
from nutmegknot._internal.network import clients
from nutmegknot._internal.network import tls
from nutmegknot_standins import local_cells

FILES = pathlib.Path(__file__).parents[1] / 'lib' / 'certificates'
TLS = f"""
[tls]
caller_certificate = "{FILES}/instance.pem"
caller_key = "{FILES}/instance.key"
peer_certificate = "{FILES}/instance.pem"
peer_key = "{FILES}/instance.key"
peer_authority = "{FILES}/authority.pem"
"""
REQUESTS = 8


async def test_requests_pass_between_instances_over_tls() -> None:
    cell = await local_cells.start(instances=1, workers=3)
    assert isinstance(cell, local_cells.LocalCell)
    # The first instance has no TLS; it applies the first configuration and is
    # replaced by instances with TLS.
    cell.stop_events[0].set()
    await cell.instance_tasks[0]
    cell.stop_events.clear()
    cell.instance_tasks.clear()
    addresses = []
    for number in range(2):
        settings = local_cells.make_settings(
            cell.platform.url, number, local_cells.find_ports(3), TLS
        )
        stopped = asyncio.Event()
        cell.stop_events.append(stopped)
        cell.instance_tasks.append(
            asyncio.create_task(instance_lifecycle.run(settings, stopped))
        )
        addresses.append(settings.instance.listen)
    context = tls.make_client_context(FILES / 'authority.pem')
    assert not isinstance(context, tls.InvalidTlsFiles)
    all_clients = [clients.connect(one, context) for one in addresses]
    try:
        for client in all_clients:
            await _wait_listening(client)
            await demonstration.wait_until_ready(client)
        # Request keys spread over all ledger partitions, so instances forward
        # some of the calls to each other.
        calls = [
            demonstration.make_submit_call(f'r-{n}') for n in range(REQUESTS)
        ]
        outcomes = await asyncio.gather(
            *(
                demonstration.submit_and_wait(all_clients[n % 2], call)
                for n, call in enumerate(calls)
            )
        )
    finally:
        for client in all_clients:
            clients.close(client)
        await local_cells.stop(cell)
    assert [one.WhichOneof('kind') for one in outcomes] == (
        ['finished'] * REQUESTS
    )


async def _wait_listening(client: clients.Client) -> None:
    while True:
        try:
            await client.caller.Describe(demonstration.caller_pb2.RequestCall())
            return
        except OSError:
            await asyncio.sleep(0)
