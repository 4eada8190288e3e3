"""Calls of an owned fleet partition to ledger partitions."""

import logging

from nutmegknot._internal.codec import reports as report_codec
from nutmegknot._internal.instance import instances
from nutmegknot._internal.instance import ledger_calls
from nutmegknot._internal.instance import routing
from nutmegknot._internal.ledger import beginning
from nutmegknot._internal.models import reports
from nutmegknot._internal.network import channels
from nutmegknot._internal.schema import peer_grpc
from nutmegknot._internal.schema import peer_pb2
from nutmegknot._internal.utils import clock as clock_lib

logger = logging.getLogger(__name__)

CALL_MS = 5_000


async def send_reports(
    inst: instances.Instance, ledger: str, given: list[reports.Report]
) -> bool:
    """Sends reports to the owner of a ledger partition.

    Returns:
      Whether they are durable there.
    """
    call = peer_pb2.ReportCall(
        partition=ledger,
        reports=[report_codec.encode_report(one) for one in given],
    )
    if ledger in inst.ledgers:
        reply = await ledger_calls.report(inst, call, CALL_MS)
        return reply.HasField('durable')
    stub = _connect(inst, ledger)
    if stub is None:
        return False
    try:
        reply = await stub.Report(call, timeout=clock_lib.to_seconds(CALL_MS))
    except routing.CALL_ERRORS as error:
        logger.info('report_failed', extra={'why': repr(error)})
        return False
    return reply.HasField('durable')


def _connect(
    inst: instances.Instance, ledger: str
) -> peer_grpc.LedgerStub | None:
    """Returns calls to another instance that owns a ledger partition."""
    owner = inst.membership.view.owners.get(ledger)
    if owner is None or owner.owner in ('', inst.membership.view.me.id):
        return None
    return peer_grpc.LedgerStub(channels.get(inst.channels, owner.address))


async def begin(
    inst: instances.Instance, ledger: str, asked: list[beginning.Beginning]
) -> set[str]:
    """Asks a ledger partition whether attempts may start for the first time.

    Args:
      inst: The instance.
      ledger: The ledger partition.
      asked: The attempts, all of one fleet partition and epoch.

    Returns:
      Keys of the requests that may be started. Nothing may be started of the
      others; asking again later is harmless.
    """
    if not asked:
        return set()
    call = peer_pb2.BeginCall(
        partition=ledger,
        fleet=asked[0].fleet,
        fleet_epoch=asked[0].fleet_epoch,
        beginnings=[
            peer_pb2.Beginning(request_key=a.request_key, attempt=a.attempt)
            for a in asked
        ],
    )
    if ledger in inst.ledgers:
        reply = await ledger_calls.begin(inst, call, CALL_MS)
        return set(reply.granted.request_keys)
    stub = _connect(inst, ledger)
    if stub is None:
        return set()
    try:
        reply = await stub.Begin(call, timeout=clock_lib.to_seconds(CALL_MS))
    except routing.CALL_ERRORS as error:
        logger.info('begin_failed', extra={'why': repr(error)})
        return set()
    return set(reply.granted.request_keys)
