"""Commands on the recorded history of requests and of the configuration."""

import datetime

from nutmegknot._internal.cli import errors
from nutmegknot._internal.cli import exit_codes
from nutmegknot._internal.commands import cell_arguments
from nutmegknot._internal.commands import instance_connections
from nutmegknot._internal.commands import operator_calls
from nutmegknot._internal.commands import output_format
from nutmegknot._internal.network import clients
from nutmegknot._internal.schema import operator_pb2
from nutmegknot._internal.utils import clock

# Longer than for other calls, because verification reads the whole history.
VERIFY_TIMEOUT_S = 600.0


async def list_audit(
    command: cell_arguments.AuditList,
) -> errors.CommandError | None:
    """Lists events of requests, or changes of the configuration."""
    bounds_ms = [parse_time(command.since), parse_time(command.until)]
    if None in bounds_ms:
        return errors.CommandError(
            exit_codes.ExitCode.BAD_USAGE,
            '--since and --until must be ISO 8601 times, for example '
            '2026-01-31T08:00Z',
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
        reply = await client.operator.ListAudit(
            call, timeout=instance_connections.CALL_TIMEOUT_S
        )
        return _print_lines(command.output, reply)

    return await operator_calls.call_as_operator(command, list_lines)


def parse_time(text: str) -> int | None:
    """Parses an ISO 8601 time; without a time zone it is taken as UTC.

    Returns:
      The time in ms since the Unix epoch, 0 for an empty text, or None if the
      text is not an ISO 8601 time.
    """
    if not text:
        return 0
    try:
        parsed = datetime.datetime.fromisoformat(text)
    except ValueError:
        return None
    if parsed.tzinfo is None:
        parsed = parsed.replace(tzinfo=datetime.UTC)
    return int(parsed.timestamp() * clock.MS_PER_S)


def format_time(at_ms: int) -> str:
    """Formats a time in ms since the Unix epoch as ISO 8601 text, in UTC."""
    time = datetime.datetime.fromtimestamp(at_ms / clock.MS_PER_S, datetime.UTC)
    return time.isoformat(timespec='milliseconds')


def _print_lines(
    output: str, reply: operator_pb2.ListAuditReply
) -> errors.CommandError | None:
    if reply.fault:
        return errors.CommandError(
            exit_codes.ExitCode.UNKNOWN,
            f'the history cannot be read: {reply.fault}',
            'nutmegknot audit verify shows the state of each part of it',
        )
    rows = [
        [
            format_time(line.at_ms),
            line.subject,
            line.step,
            line.detail,
            line.chain,
            line.sequence,
        ]
        for line in reply.lines
    ]
    names = ['at', 'subject', 'step', 'detail', 'chain', 'sequence']
    output_format.print_rows(output, names, rows)
    if reply.truncated and output == 'table':
        print('older lines are left out; --most and --until show them')
    return None


async def verify_audit(
    command: cell_arguments.AuditVerify,
) -> errors.CommandError | None:
    """Verifies all hash chains of the history.

    It finds records that were changed or removed, and prints the state of each
    chain.
    """

    async def verify(
        client: clients.Client, key: str
    ) -> errors.CommandError | None:
        call = operator_pb2.VerifyAuditCall(key=key)
        reply = await client.operator.VerifyAudit(
            call, timeout=VERIFY_TIMEOUT_S
        )
        names = ['chain', 'last', 'records', 'fault', 'hash']
        rows = [[getattr(chain, n) for n in names] for chain in reply.chains]
        output_format.print_rows(command.output, names, rows)
        return _find_fault(list(reply.chains))

    return await operator_calls.call_as_operator(command, verify)


def _find_fault(
    states: list[operator_pb2.ChainState],
) -> errors.CommandError | None:
    damaged = [
        state.chain for state in states if state.fault and not state.unread
    ]
    if damaged:
        return errors.CommandError(
            exit_codes.ExitCode.DAMAGED,
            f'changed or missing records in {", ".join(damaged)}',
            'leave the table and the object store as they are, and compare '
            'the hashes with those that you kept from earlier verifications',
        )
    unread = [state.chain for state in states if state.unread]
    if unread:
        return errors.CommandError(
            exit_codes.ExitCode.UNKNOWN,
            f'could not be read, so not verified: {", ".join(unread)}',
            'try again',
        )
    return None
