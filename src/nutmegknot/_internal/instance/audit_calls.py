"""Answers operators' calls for the history of requests and configurations."""

from nutmegknot._internal.audit import chains
from nutmegknot._internal.audit import queries
from nutmegknot._internal.audit import verification
from nutmegknot._internal.backing import tables
from nutmegknot._internal.codec import common_messages
from nutmegknot._internal.configuration import changes
from nutmegknot._internal.instance import inspection_calls
from nutmegknot._internal.instance import instances
from nutmegknot._internal.instance import ledger_opening
from nutmegknot._internal.ledger import segments
from nutmegknot._internal.membership import leases
from nutmegknot._internal.membership import partition_ownership
from nutmegknot._internal.models import records
from nutmegknot._internal.schema import inspect_pb2
from nutmegknot._internal.schema import operator_pb2
from nutmegknot._internal.schema import table_pb2

MAX_LINES_PER_REPLY = 10_000
DEFAULT_LINES_PER_REPLY = 100
CONFIGURATION_CHAIN = 'configuration'


async def list_audit(
    inst: instances.Instance, call: operator_pb2.ListAuditCall, wait_ms: int
) -> operator_pb2.ListAuditReply:
    """Lists events of requests, or changes of the configuration."""
    max_lines = min(call.most or DEFAULT_LINES_PER_REPLY, MAX_LINES_PER_REPLY)
    if call.configuration:
        return await _list_configuration_changes(inst, call, max_lines)
    event_filter = queries.EventFilter(
        call.request_key, call.team, call.from_ms, call.until_ms
    )
    count = inst.settings.cell.ledger_partitions
    names = queries.list_partitions(event_filter, count)
    store = ledger_opening.make_store(inst)
    result = await queries.find_events(store, names, event_filter, max_lines)
    if not isinstance(result, queries.QueryResult):
        return operator_pb2.ListAuditReply(fault=_describe_fault(result))
    return operator_pb2.ListAuditReply(
        lines=[_make_event_line(event) for event in result.events],
        truncated=not result.is_complete,
    )


async def _list_configuration_changes(
    inst: instances.Instance, call: operator_pb2.ListAuditCall, max_lines: int
) -> operator_pb2.ListAuditReply:
    rows = await _read_changes(inst)
    if isinstance(rows, tables.Unavailable):
        return operator_pb2.ListAuditReply(fault=_describe_fault(rows))
    chosen = [
        audit
        for audit in map(_decode_change, rows)
        if audit.at_ms >= call.from_ms
        and (not call.until_ms or audit.at_ms < call.until_ms)
    ]
    return operator_pb2.ListAuditReply(
        lines=[_make_change_line(audit) for audit in chosen[-max_lines:]],
        truncated=len(chosen) > max_lines,
    )


async def verify_audit(
    inst: instances.Instance, call: operator_pb2.VerifyAuditCall, wait_ms: int
) -> operator_pb2.VerifyAuditReply:
    """Verifies each hash chain back to its start, one chain after the other."""
    names = [
        name
        for name in partition_ownership.list_partitions(inst.settings)
        if name.startswith('ledger-')
    ]
    states = [await _verify_ledger_chain(inst, name, wait_ms) for name in names]
    states.append(await _verify_configuration_chain(inst))
    return operator_pb2.VerifyAuditReply(chains=states)


async def _verify_ledger_chain(
    inst: instances.Instance, name: str, wait_ms: int
) -> operator_pb2.ChainState:
    head_call = inspect_pb2.ShowHeadCall(partition=name)
    reply = await inspection_calls.call_owner(
        inst, 'ShowHead', head_call, wait_ms
    )
    if reply is None:
        return operator_pb2.ChainState(
            chain=name, fault='the owner is not reached', unread=True
        )
    head = segments.ChainPosition(reply.sequence, reply.hash)
    store = ledger_opening.make_store(inst)
    result = await verification.verify(store, name, head)
    if not isinstance(result, verification.VerifiedChain):
        return _make_fault_state(name, result)
    return operator_pb2.ChainState(
        chain=name,
        last=result.last.sequence,
        hash=result.last.hash.hex(),
        records=result.records,
    )


async def _verify_configuration_chain(
    inst: instances.Instance,
) -> operator_pb2.ChainState:
    head = await inst.platform.table.transact(
        tables.Transaction(reads=(leases.REVISION_KEY,)),
        inst.settings.platform.timeout_ms,
    )
    rows = await _read_changes(inst)
    if not isinstance(head, tables.Committed):
        rows = tables.Unavailable('the revision row was not read')
    if isinstance(rows, tables.Unavailable):
        return _make_fault_state(CONFIGURATION_CHAIN, rows)
    assert isinstance(head, tables.Committed)
    row = head.rows.get(leases.REVISION_KEY)
    revision = table_pb2.RevisionRow.FromString(row.value if row else b'')
    damage = chains.find_break(map(_make_chain_row, rows), revision.revision)
    damage = damage or _check_newest_row(rows, revision)
    if damage is not None:
        return _make_fault_state(CONFIGURATION_CHAIN, damage)
    return operator_pb2.ChainState(
        chain=CONFIGURATION_CHAIN,
        last=len(rows),
        hash=segments.compute_hash(rows[-1].value).hex() if rows else '',
        records=len(rows),
    )


def _check_newest_row(
    rows: list[tables.Row], revision: table_pb2.RevisionRow
) -> segments.Damaged | None:
    """Checks the row of the newest revision against its stored hash."""
    if not revision.revision:
        return None
    content = rows[revision.revision - 1].value
    if segments.compute_hash(content) == revision.audit_hash:
        return None
    return segments.Damaged(revision.revision, 'the row was changed')


async def _read_changes(
    inst: instances.Instance,
) -> list[tables.Row] | tables.Unavailable:
    return await inst.platform.table.scan(
        changes.AUDIT_PREFIX, inst.settings.platform.timeout_ms
    )


def _decode_change(row: tables.Row) -> operator_pb2.ConfigurationAudit:
    return operator_pb2.ConfigurationAudit.FromString(row.value)


def _make_chain_row(row: tables.Row) -> chains.Row:
    audit = _decode_change(row)
    return chains.Row(audit.revision, audit.previous_hash, row.value)


def _make_change_line(
    audit: operator_pb2.ConfigurationAudit,
) -> operator_pb2.AuditLine:
    changes_text = '; '.join(audit.changes)
    return operator_pb2.AuditLine(
        at_ms=audit.at_ms,
        subject=f'revision {audit.revision}',
        step='changed',
        detail=f'{audit.operator}: {audit.reason}: {changes_text}',
        chain=CONFIGURATION_CHAIN,
        sequence=audit.revision,
    )


def _make_event_line(event: queries.StoredEvent) -> operator_pb2.AuditLine:
    name, detail = _describe_event(event.record.event)
    return operator_pb2.AuditLine(
        at_ms=event.record.at_ms,
        subject=event.record.request_key,
        step=name,
        detail=detail,
        chain=event.partition,
        sequence=event.sequence,
    )


def _describe_event(event: records.RequestEvent) -> tuple[str, str]:
    """Returns the name of an event and a one-line description."""
    match event:
        case records.Accept():
            once = '' if event.req.repeatable else ', at most once'
            text = f'queue {event.req.queue}, {event.req.members} member(s)'
            return 'accepted', f'{text}{once}, assigned to {event.fleet}'
        case records.Assign():
            text = f'{event.fleet}, attempt {event.attempt}'
            return 'assigned', f'{text}, as the one before: {event.reason}'
        case records.Start():
            workers = ', '.join(event.workers)
            return 'started', f'attempt {event.attempt} on {workers}'
        case records.End():
            outcome = common_messages.encode_outcome(event.outcome)
            kind = outcome.WhichOneof('kind') or ''
            return kind, getattr(event.outcome, 'detail', '')
        case records.Cancel():
            return 'cancelling', 'asked for by the caller'
        case records.Forget():
            return 'forgotten', 'the outcome is past its retention time'


def _make_fault_state(
    chain: str, fault: segments.Damaged | tables.Unavailable
) -> operator_pb2.ChainState:
    return operator_pb2.ChainState(
        chain=chain,
        fault=_describe_fault(fault),
        unread=isinstance(fault, tables.Unavailable),
    )


def _describe_fault(fault: segments.Damaged | tables.Unavailable) -> str:
    if isinstance(fault, segments.Damaged):
        return f'segment {fault.sequence}: {fault.reason}'
    return f'not read: {fault.detail}'
