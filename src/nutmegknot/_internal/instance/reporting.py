"""Sending reports of an owned fleet partition to ledger partitions."""

import logging

from nutmegknot._internal.codec import reports as report_codec
from nutmegknot._internal.instance import instances
from nutmegknot._internal.instance import ledger_calls
from nutmegknot._internal.instance import routing
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
    owner = inst.membership.view.owners.get(ledger)
    if owner is None or owner.owner in ('', inst.membership.view.me.id):
        return False
    stub = peer_grpc.LedgerStub(channels.get(inst.channels, owner.address))
    try:
        reply = await stub.Report(call, timeout=clock_lib.to_seconds(CALL_MS))
    except routing.CALL_ERRORS as error:
        logger.info('report_failed', extra={'why': repr(error)})
        return False
    return reply.HasField('durable')
