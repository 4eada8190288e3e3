"""Changes of the configuration by compare-and-set.

A change writes the revision, the whole configuration and an audit row in one
transaction on the condition that the revision row has not changed. The audit
row names the call by its nonce, so that a lost answer can be settled by
reading: whoever finds the nonce knows that the change took effect.
"""

import asyncio
import dataclasses
import hashlib

from nutmegknot._internal.backing import tables
from nutmegknot._internal.codec import configurations
from nutmegknot._internal.configuration import checks
from nutmegknot._internal.configuration import differences
from nutmegknot._internal.membership import leases
from nutmegknot._internal.models import cells
from nutmegknot._internal.schema import operator_pb2
from nutmegknot._internal.schema import table_pb2
from nutmegknot._internal.utils import clock as clock_lib

AUDIT_PREFIX = 'audit/config/'
REVISION_DIGITS = 12
ATTEMPTS = 5
RETRY_MS = 100


@dataclasses.dataclass(slots=True, frozen=True)
class Change:
    """A change that an operator asks for.

    Attributes:
      configuration: The new whole; its revision names the one it was made
        from.
      operator: Who asks.
      reason: Why.
      nonce: The same in each repetition of the call, else unique.
      at_ms: Wall clock instant in ms.
    """

    configuration: cells.Configuration
    operator: str
    reason: str
    nonce: str
    at_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class Applied:
    """The new configuration, with its revision."""

    configuration: cells.Configuration


@dataclasses.dataclass(slots=True, frozen=True)
class Overtaken:
    """Another change came first; this is the present configuration."""

    configuration: cells.Configuration


@dataclasses.dataclass(slots=True, frozen=True)
class Invalid:
    """The configuration can't be used; detail is one line."""

    detail: str


Applying = Applied | Overtaken | Invalid | tables.Unavailable | tables.Uncertain


@dataclasses.dataclass(slots=True, frozen=True)
class _Present:
    """What the table holds.

    Attributes:
      configuration: The configuration in the table.
      row: The revision row.
      version: Version of that row, or ABSENT.
      audit: The audit row of the revision that the change would make.
    """

    configuration: cells.Configuration
    row: table_pb2.RevisionRow
    version: int
    audit: operator_pb2.ConfigurationAudit


def get_audit_key(revision: int) -> str:
    """Returns the key of a revision's audit row; keys sort by revision."""
    return f'{AUDIT_PREFIX}{revision:0{REVISION_DIGITS}d}'


async def read(
    table: tables.Table, timeout_ms: int
) -> cells.Configuration | tables.Unavailable:
    """Reads the present configuration from the table."""
    present = await _read_present(table, 0, timeout_ms)
    if isinstance(present, tables.Unavailable):
        return present
    return present.configuration


async def apply(
    table: tables.Table, change: Change, timeout_ms: int
) -> Applying:
    """Replaces the configuration if it is still at the revision named.

    A lost answer is settled by doing the same again: the condition on the
    revision row lets it take effect once, and the audit row's nonce tells
    whether an earlier attempt did.

    Args:
      table: The table service.
      change: What is asked for.
      timeout_ms: Time limit of each call in ms.
    """
    fault = checks.find_fault(change.configuration)
    if fault:
        return Invalid(fault)
    new = dataclasses.replace(
        change.configuration, revision=change.configuration.revision + 1
    )
    may_have_written = False
    for attempt in range(ATTEMPTS):
        if attempt:
            await asyncio.sleep(clock_lib.to_seconds(RETRY_MS))
        result = await _apply_once(table, change, new, timeout_ms)
        if isinstance(result, Applied | Overtaken | Invalid):
            return result
        may_have_written |= isinstance(result, tables.Uncertain)
    if may_have_written:
        return tables.Uncertain('the table service lost its answers')
    return tables.Unavailable('the table service did not answer')


async def _apply_once(
    table: tables.Table,
    change: Change,
    new: cells.Configuration,
    timeout_ms: int,
) -> Applying:
    present = await _read_present(table, new.revision, timeout_ms)
    if isinstance(present, tables.Unavailable):
        return present
    if change.nonce and present.audit.nonce == change.nonce:
        return Applied(new)
    if present.row.revision != change.configuration.revision:
        return Overtaken(present.configuration)
    fault = checks.find_revived_key(present.configuration, new)
    if fault:
        return Invalid(fault)
    result = await table.transact(
        _make_transaction(present, change, new), timeout_ms
    )
    match result:
        case tables.Committed():
            return Applied(new)
        case tables.ConditionFailed():
            return tables.Unavailable('another change came at the same time')
        case _:
            return result


async def _read_present(
    table: tables.Table, next_revision: int, timeout_ms: int
) -> _Present | tables.Unavailable:
    audit_key = get_audit_key(next_revision)
    result = await table.transact(
        tables.Transaction(
            reads=(leases.REVISION_KEY, leases.CONFIGURATION_KEY, audit_key)
        ),
        timeout_ms,
    )
    if not isinstance(result, tables.Committed):
        detail = getattr(result, 'detail', 'the read failed')
        return tables.Unavailable(detail)
    values = {key: row.value for key, row in result.rows.items()}
    revision = result.rows.get(leases.REVISION_KEY)
    message = operator_pb2.Configuration.FromString(
        values.get(leases.CONFIGURATION_KEY, b'')
    )
    return _Present(
        configurations.decode_configuration(message),
        table_pb2.RevisionRow.FromString(values.get(leases.REVISION_KEY, b'')),
        revision.version if revision else tables.ABSENT,
        operator_pb2.ConfigurationAudit.FromString(values.get(audit_key, b'')),
    )


def _make_transaction(
    present: _Present, change: Change, new: cells.Configuration
) -> tables.Transaction:
    audit = _make_audit(present, change, new).SerializeToString()
    revision = table_pb2.RevisionRow(
        revision=new.revision,
        nonce=change.nonce,
        audit_hash=hashlib.sha256(audit).digest(),
    )
    content = configurations.encode_configuration(new)
    return tables.Transaction(
        conditions=(tables.Condition(leases.REVISION_KEY, present.version),),
        writes=(
            tables.Write(leases.REVISION_KEY, revision.SerializeToString()),
            tables.Write(leases.CONFIGURATION_KEY, content.SerializeToString()),
            tables.Write(get_audit_key(new.revision), audit),
        ),
    )


def _make_audit(
    present: _Present, change: Change, new: cells.Configuration
) -> operator_pb2.ConfigurationAudit:
    old = present.configuration
    return operator_pb2.ConfigurationAudit(
        revision=new.revision,
        at_ms=change.at_ms,
        operator=change.operator,
        reason=change.reason,
        changes=differences.list_differences(old, new),
        before=configurations.encode_configuration(
            differences.keep_changed(old, new)
        ),
        after=configurations.encode_configuration(
            differences.keep_changed(new, old)
        ),
        previous_hash=present.row.audit_hash,
        nonce=change.nonce,
    )
