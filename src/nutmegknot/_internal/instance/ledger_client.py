"""Calls from an owned fleet partition to the owners of ledger partitions."""

import logging

from nutmegknot._internal.codec import reports as report_codec
from nutmegknot._internal.instance import fleet_selection
from nutmegknot._internal.instance import instances
from nutmegknot._internal.instance import ledger_calls
from nutmegknot._internal.ledger import start_permissions
from nutmegknot._internal.models import reports
from nutmegknot._internal.network import channels
from nutmegknot._internal.schema import peer_grpc
from nutmegknot._internal.schema import peer_pb2
from nutmegknot._internal.utils import clock

logger = logging.getLogger(__name__)

CALL_TIMEOUT_MS = 5_000


async def send_reports(
    inst: instances.Instance, ledger: str, unsent: list[reports.Report]
) -> bool:
    """Sends reports to the owner of a ledger partition.

    Returns:
      Whether they are durable there.
    """
    call = peer_pb2.ReportCall(
        partition=ledger,
        reports=[report_codec.encode_report(report) for report in unsent],
    )
    if ledger in inst.ledgers:
        reply = await ledger_calls.process_reports(inst, call, CALL_TIMEOUT_MS)
        return reply.HasField('durable')
    stub = _get_ledger_stub(inst, ledger)
    if stub is None:
        return False
    try:
        reply = await stub.Report(
            call, timeout=clock.to_seconds(CALL_TIMEOUT_MS)
        )
    except fleet_selection.CALL_ERRORS as error:
        logger.info('report_failed', extra={'why': repr(error)})
        return False
    return reply.HasField('durable')


def _get_ledger_stub(
    inst: instances.Instance, ledger: str
) -> peer_grpc.LedgerStub | None:
    """Returns the stub for another instance that owns a ledger partition.

    None means that no other instance is known as the owner.
    """
    owner = inst.membership.view.owners.get(ledger)
    if owner is None or owner.owner in ('', inst.membership.view.me.id):
        return None
    return peer_grpc.LedgerStub(
        channels.get_channel(inst.channels, owner.address)
    )


async def request_starts(
    inst: instances.Instance,
    ledger: str,
    pending_starts: list[start_permissions.StartRequest],
) -> set[str]:
    """Asks a ledger partition which attempts may start for the first time.

    Args:
      inst: The instance.
      ledger: The ledger partition.
      pending_starts: The attempts, all of one fleet partition and epoch.

    Returns:
      Keys of the requests that may be started. The others must not be started;
      permission for them can be requested again later.
    """
    if not pending_starts:
        return set()
    call = peer_pb2.BeginCall(
        partition=ledger,
        fleet=pending_starts[0].fleet,
        fleet_epoch=pending_starts[0].fleet_epoch,
        beginnings=[
            peer_pb2.Beginning(
                request_key=start_request.request_key,
                attempt=start_request.attempt,
            )
            for start_request in pending_starts
        ],
    )
    if ledger in inst.ledgers:
        reply = await ledger_calls.permit_starts(inst, call, CALL_TIMEOUT_MS)
        return set(reply.granted.request_keys)
    stub = _get_ledger_stub(inst, ledger)
    if stub is None:
        return set()
    try:
        reply = await stub.Begin(
            call, timeout=clock.to_seconds(CALL_TIMEOUT_MS)
        )
    except fleet_selection.CALL_ERRORS as error:
        logger.info('begin_failed', extra={'why': repr(error)})
        return set()
    return set(reply.granted.request_keys)
