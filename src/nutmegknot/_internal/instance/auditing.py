"""Calls of operators for the history of requests and configurations."""

from nutmegknot._internal.audit import chains
from nutmegknot._internal.audit import queries
from nutmegknot._internal.audit import verification
from nutmegknot._internal.backing import tables
from nutmegknot._internal.codec import values
from nutmegknot._internal.configuration import changes
from nutmegknot._internal.instance import inspecting
from nutmegknot._internal.instance import instances
from nutmegknot._internal.instance import ledger_opening
from nutmegknot._internal.ledger import segments
from nutmegknot._internal.membership import leases
from nutmegknot._internal.membership import owning
from nutmegknot._internal.models import records
from nutmegknot._internal.schema import inspect_pb2
from nutmegknot._internal.schema import operator_pb2
from nutmegknot._internal.schema import table_pb2

MOST_LINES = 10_000
DEFAULT_LINES = 100
CONFIGURATION_CHAIN = 'configuration'


async def list_audit(
    inst: instances.Instance, call: operator_pb2.ListAuditCall, wait_ms: int
) -> operator_pb2.ListAuditReply:
    """Lists steps of requests, or changes of the configuration."""
    most = min(call.most or DEFAULT_LINES, MOST_LINES)
    if call.configuration:
        return await _list_changes(inst, call, most)
    selection = queries.Selection(
        call.request_key, call.team, call.from_ms, call.until_ms
    )
    count = inst.settings.cell.ledger_partitions
    names = queries.list_partitions(selection, count)
    store = ledger_opening.make_store(inst)
    found = await queries.query(store, names, selection, most)
    if not isinstance(found, queries.Found):
        return operator_pb2.ListAuditReply(fault=_describe_fault(found))
    return operator_pb2.ListAuditReply(
        lines=[_show_step(step) for step in found.steps],
        truncated=not found.is_complete,
    )


async def _list_changes(
    inst: instances.Instance, call: operator_pb2.ListAuditCall, most: int
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
        lines=[_show_change(audit) for audit in chosen[-most:]],
        truncated=len(chosen) > most,
    )


async def verify_audit(
    inst: instances.Instance, call: operator_pb2.VerifyAuditCall, wait_ms: int
) -> operator_pb2.VerifyAuditReply:
    """Follows each chain back to its beginning, one after the other."""
    names = [
        name
        for name in owning.list_partitions(inst.settings)
        if name.startswith('ledger-')
    ]
    states = [await _verify_ledger(inst, name, wait_ms) for name in names]
    states.append(await _verify_changes(inst))
    return operator_pb2.VerifyAuditReply(chains=states)


async def _verify_ledger(
    inst: instances.Instance, name: str, wait_ms: int
) -> operator_pb2.ChainState:
    ask = inspect_pb2.ShowHeadCall(partition=name)
    reply = await inspecting.ask_owner(inst, 'ShowHead', ask, wait_ms)
    if reply is None:
        return operator_pb2.ChainState(
            chain=name, fault='the owner is not reached', unread=True
        )
    head = segments.Link(reply.sequence, reply.hash)
    store = ledger_opening.make_store(inst)
    result = await verification.verify(store, name, head)
    if not isinstance(result, verification.Verified):
        return _make_faulty(name, result)
    return operator_pb2.ChainState(
        chain=name,
        last=result.last.sequence,
        hash=result.last.hash.hex(),
        records=result.records,
    )


async def _verify_changes(
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
        return _make_faulty(CONFIGURATION_CHAIN, rows)
    assert isinstance(head, tables.Committed)
    row = head.rows.get(leases.REVISION_KEY)
    revision = table_pb2.RevisionRow.FromString(row.value if row else b'')
    found = chains.find_break(map(_make_chain_row, rows), revision.revision)
    found = found or _compare_head(rows, revision)
    if found is not None:
        return _make_faulty(CONFIGURATION_CHAIN, found)
    return operator_pb2.ChainState(
        chain=CONFIGURATION_CHAIN,
        last=len(rows),
        hash=segments.compute_hash(rows[-1].value).hex() if rows else '',
        records=len(rows),
    )


def _compare_head(
    rows: list[tables.Row], revision: table_pb2.RevisionRow
) -> segments.Damaged | None:
    """Compares the row of the revision with the hash kept beside it."""
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


def _show_change(
    audit: operator_pb2.ConfigurationAudit,
) -> operator_pb2.AuditLine:
    what = '; '.join(audit.changes)
    return operator_pb2.AuditLine(
        at_ms=audit.at_ms,
        subject=f'revision {audit.revision}',
        step='changed',
        detail=f'{audit.operator}: {audit.reason}: {what}',
        chain=CONFIGURATION_CHAIN,
        sequence=audit.revision,
    )


def _show_step(step: queries.Step) -> operator_pb2.AuditLine:
    name, detail = _describe_step(step.record.step)
    return operator_pb2.AuditLine(
        at_ms=step.record.at_ms,
        subject=step.record.request_key,
        step=name,
        detail=detail,
        chain=step.partition,
        sequence=step.sequence,
    )


def _describe_step(step: records.Step) -> tuple[str, str]:
    """Returns the name of a step and one line on it."""
    match step:
        case records.Accept():
            again = '' if step.req.repeatable else ', at most once'
            text = f'queue {step.req.queue}, {step.req.members} member(s)'
            return 'accepted', f'{text}{again}, assigned to {step.fleet}'
        case records.Assign():
            text = f'{step.fleet}, attempt {step.attempt}'
            return 'assigned', f'{text}, as the one before: {step.reason}'
        case records.Start():
            where = ', '.join(step.workers)
            return 'started', f'attempt {step.attempt} on {where}'
        case records.End():
            outcome = values.encode_outcome(step.outcome)
            kind = outcome.WhichOneof('kind') or ''
            return kind, getattr(step.outcome, 'detail', '')
        case records.Cancel():
            return 'cancelling', 'asked for by the caller'
        case records.Forget():
            return 'forgotten', 'the outcome is past its retention time'


def _make_faulty(
    chain: str, found: segments.Damaged | tables.Unavailable
) -> operator_pb2.ChainState:
    return operator_pb2.ChainState(
        chain=chain,
        fault=_describe_fault(found),
        unread=isinstance(found, tables.Unavailable),
    )


def _describe_fault(found: segments.Damaged | tables.Unavailable) -> str:
    if isinstance(found, segments.Damaged):
        return f'segment {found.sequence}: {found.reason}'
    return f'not read: {found.detail}'
