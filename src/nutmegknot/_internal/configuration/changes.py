"""Changes of the configuration by compare-and-set.

A change writes the revision, the whole configuration and an audit row to the
table in one transaction, on the condition that the revision row has not
changed. The audit row contains the nonce of the call. If the answer of the
table service is lost, the row is read: if it has the nonce, the change has
taken effect.
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
from nutmegknot._internal.utils import clock

# Prefix of the keys of audit rows in the table.
AUDIT_PREFIX = 'audit/config/'
# In the key of an audit row the revision is padded with zeros to this number of
# digits, so that the keys sort by revision.
REVISION_DIGITS = 12
# Attempts to write one change if the table service does not answer, or if
# another change is written at the same time.
MAX_ATTEMPTS = 5
RETRY_DELAY_MS = 100


@dataclasses.dataclass(slots=True, frozen=True)
class Change:
    """A change of the configuration that an operator requests.

    Attributes:
      configuration: The whole new configuration. Its revision is the one that
        the change is based on.
      operator: Name of the operator.
      reason: The operator's reason for the change.
      nonce: Random text that identifies the change; the same in each
        repetition of the call.
      at_ms: Wall clock time of the call in ms.
    """

    configuration: cells.Configuration
    operator: str
    reason: str
    nonce: str
    at_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class Applied:
    """The change took effect.

    Attributes:
      configuration: The new configuration, with its new revision.
    """

    configuration: cells.Configuration


@dataclasses.dataclass(slots=True, frozen=True)
class RevisionConflict:
    """Another change came first, so that this one was not made.

    Attributes:
      configuration: The current configuration.
    """

    configuration: cells.Configuration


@dataclasses.dataclass(slots=True, frozen=True)
class Invalid:
    """The new configuration is not valid.

    Attributes:
      detail: What is wrong with it, one line.
    """

    detail: str


ApplyResult = (
    Applied | RevisionConflict | Invalid | tables.Unavailable | tables.Uncertain
)


@dataclasses.dataclass(slots=True, frozen=True)
class _StoredState:
    """What the table holds before a change.

    Attributes:
      configuration: The configuration in the table.
      row: The revision row; empty if there is none.
      version: Version of the revision row, or tables.ABSENT.
      audit: The audit row of the revision that the change would make; empty if
        there is none.
    """

    configuration: cells.Configuration
    row: table_pb2.RevisionRow
    version: int
    audit: operator_pb2.ConfigurationAudit


def get_audit_key(revision: int) -> str:
    """Returns the key of a revision's audit row; keys sort by revision."""
    return f'{AUDIT_PREFIX}{revision:0{REVISION_DIGITS}d}'


async def read_configuration(
    table: tables.Table, timeout_ms: int
) -> cells.Configuration | tables.Unavailable:
    """Reads the current configuration from the table."""
    stored = await _read_stored_state(table, 0, timeout_ms)
    if isinstance(stored, tables.Unavailable):
        return stored
    return stored.configuration


async def apply_change(
    table: tables.Table, change: Change, timeout_ms: int
) -> ApplyResult:
    """Replaces the configuration if it still has the revision to be changed.

    If an answer is lost, the change is tried again. The condition on the
    revision row lets it take effect only once, and the nonce in the audit row
    shows whether an earlier attempt took effect.

    Args:
      table: The table service.
      change: The change.
      timeout_ms: Time limit of each call to the table service in ms.
    """
    error = checks.find_error(change.configuration)
    if error:
        return Invalid(error)
    new = dataclasses.replace(
        change.configuration, revision=change.configuration.revision + 1
    )
    may_have_written = False
    for attempt in range(MAX_ATTEMPTS):
        if attempt:
            await asyncio.sleep(clock.to_seconds(RETRY_DELAY_MS))
        result = await _apply_once(table, change, new, timeout_ms)
        if isinstance(result, Applied | RevisionConflict | Invalid):
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
) -> ApplyResult:
    stored = await _read_stored_state(table, new.revision, timeout_ms)
    if isinstance(stored, tables.Unavailable):
        return stored
    if change.nonce and stored.audit.nonce == change.nonce:
        return Applied(new)
    if stored.row.revision != change.configuration.revision:
        return RevisionConflict(stored.configuration)
    error = checks.find_reactivated_key(stored.configuration, new)
    if error:
        return Invalid(error)
    result = await table.transact(
        _make_transaction(stored, change, new), timeout_ms
    )
    match result:
        case tables.Committed():
            return Applied(new)
        case tables.ConditionFailed():
            return tables.Unavailable('another change came at the same time')
        case _:
            return result


async def _read_stored_state(
    table: tables.Table, next_revision: int, timeout_ms: int
) -> _StoredState | tables.Unavailable:
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
    return _StoredState(
        configurations.decode_configuration(message),
        table_pb2.RevisionRow.FromString(values.get(leases.REVISION_KEY, b'')),
        revision.version if revision else tables.ABSENT,
        operator_pb2.ConfigurationAudit.FromString(values.get(audit_key, b'')),
    )


def _make_transaction(
    stored: _StoredState, change: Change, new: cells.Configuration
) -> tables.Transaction:
    audit = _make_audit(stored, change, new).SerializeToString()
    revision = table_pb2.RevisionRow(
        revision=new.revision,
        nonce=change.nonce,
        audit_hash=hashlib.sha256(audit).digest(),
    )
    content = configurations.encode_configuration(new)
    return tables.Transaction(
        conditions=(tables.Condition(leases.REVISION_KEY, stored.version),),
        writes=(
            tables.Write(leases.REVISION_KEY, revision.SerializeToString()),
            tables.Write(leases.CONFIGURATION_KEY, content.SerializeToString()),
            tables.Write(get_audit_key(new.revision), audit),
        ),
    )


def _make_audit(
    stored: _StoredState, change: Change, new: cells.Configuration
) -> operator_pb2.ConfigurationAudit:
    old = stored.configuration
    return operator_pb2.ConfigurationAudit(
        revision=new.revision,
        at_ms=change.at_ms,
        operator=change.operator,
        reason=change.reason,
        changes=differences.list_differences(old, new),
        before=configurations.encode_configuration(
            differences.select_changed(old, new)
        ),
        after=configurations.encode_configuration(
            differences.select_changed(new, old)
        ),
        previous_hash=stored.row.audit_hash,
        nonce=change.nonce,
    )
