"""Commands on the history of requests and configurations."""

import datetime

from nutmegknot._internal.cli import errors
from nutmegknot._internal.cli import exit_codes
from nutmegknot._internal.commands import cell_arguments
from nutmegknot._internal.commands import connecting
from nutmegknot._internal.commands import listing
from nutmegknot._internal.commands import rendering
from nutmegknot._internal.network import clients
from nutmegknot._internal.schema import operator_pb2
from nutmegknot._internal.utils import clock as clock_lib

# Verification reads the whole history.
VERIFY_S = 600.0


async def list_audit(
    command: cell_arguments.AuditList,
) -> errors.CommandError | None:
    """Lists steps of requests, or changes of the configuration."""
    bounds_ms = [read_instant(command.since), read_instant(command.until)]
    if None in bounds_ms:
        return errors.CommandError(
            exit_codes.ExitCode.BAD_USAGE,
            '--since and --until must be like 2026-01-31T08:00Z',
        )

    async def list_lines(
        client: clients.Client, key: str
    ) -> errors.CommandError | None:
        call = operator_pb2.ListAuditCall(
            request_key=command.request,
            team=command.team,
            from_ms=bounds_ms[0] or 0,
            until_ms=bounds_ms[1] or 0,
            most=command.most,
            configuration=command.changes,
            key=key,
        )
        reply = await client.operator.ListAudit(call, timeout=connecting.CALL_S)
        return _print_lines(command.output, reply)

    return await listing.call_as_operator(command, list_lines)


def read_instant(text: str) -> int | None:
    """Returns an ISO 8601 instant in ms, 0 for '', or None if it is none.

    Without a zone it is taken as UTC.
    """
    if not text:
        return 0
    try:
        instant = datetime.datetime.fromisoformat(text)
    except ValueError:
        return None
    if instant.tzinfo is None:
        instant = instant.replace(tzinfo=datetime.UTC)
    return int(instant.timestamp() * clock_lib.MS_PER_S)


def show_instant(at_ms: int) -> str:
    """Returns an instant in ms as ISO 8601 text."""
    instant = datetime.datetime.fromtimestamp(
        at_ms / clock_lib.MS_PER_S, datetime.UTC
    )
    return instant.isoformat(timespec='milliseconds')


def _print_lines(
    output: str, reply: operator_pb2.ListAuditReply
) -> errors.CommandError | None:
    if reply.fault:
        return errors.CommandError(
            exit_codes.ExitCode.UNKNOWN,
            f'the history cannot be read: {reply.fault}',
            'nutmegknot audit verify tells more',
        )
    rows = [
        [
            show_instant(line.at_ms),
            line.subject,
            line.step,
            line.detail,
            line.chain,
            line.sequence,
        ]
        for line in reply.lines
    ]
    names = ['at', 'subject', 'step', 'detail', 'chain', 'sequence']
    rendering.print_rows(output, names, rows)
    if reply.truncated and output == 'table':
        print('older lines are left out; --most and --until show them')
    return None


async def verify_audit(
    command: cell_arguments.AuditVerify,
) -> errors.CommandError | None:
    """Looks for changed or missing records."""

    async def verify(
        client: clients.Client, key: str
    ) -> errors.CommandError | None:
        call = operator_pb2.VerifyAuditCall(key=key)
        reply = await client.operator.VerifyAudit(call, timeout=VERIFY_S)
        names = ['chain', 'last', 'records', 'fault', 'hash']
        rows = [[getattr(one, n) for n in names] for one in reply.chains]
        rendering.print_rows(command.output, names, rows)
        return _judge(list(reply.chains))

    return await listing.call_as_operator(command, verify)


def _judge(
    chains: list[operator_pb2.ChainState],
) -> errors.CommandError | None:
    damaged = [one.chain for one in chains if one.fault and not one.unread]
    if damaged:
        return errors.CommandError(
            exit_codes.ExitCode.DAMAGED,
            f'changed or missing records in {", ".join(damaged)}',
            'keep the stores as they are, and compare with kept hashes',
        )
    unread = [one.chain for one in chains if one.unread]
    if unread:
        return errors.CommandError(
            exit_codes.ExitCode.UNKNOWN,
            f'not verified: {", ".join(unread)}',
            'try again',
        )
    return None
