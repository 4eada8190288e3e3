"""Adapter that uses the platform's metadata store as the table service."""

import base64
import logging
from typing import Any

from nutmegknot._internal.backing import platform_calls
from nutmegknot._internal.backing import tables
from nutmegknot._internal.utils import json_fields

logger = logging.getLogger(__name__)

# Table of the store that holds all rows of this system.
TABLE_NAME = 'nutmegknot'
# All rows are in one part of the table, since a transaction can't span parts.
PART_NAME = 'cell'
# Most rows that one call to the store returns.
PAGE_ROWS = 500
_OK = 200
_CONDITION_FAILED = 412
# A cheap call that shows whether the store can be reached.
PROBE_CALL = platform_calls.Call(
    'GET',
    '/api/rows-get',
    {'table': TABLE_NAME, 'part': PART_NAME, 'limit': '1'},
)
# Statuses with which the store says that a transaction had no effect.
_NO_EFFECT_STATUSES = frozenset((400, 403, 404, 413, 429, 503, 507))
# Those of them with which it rejects what the transaction contains.
_INVALID_STATUSES = frozenset((400, 413))


def connect(fetch: platform_calls.Fetch, max_value_bytes: int) -> tables.Table:
    """Returns access to the rows of this system in the store.

    Args:
      fetch: Makes a call to the store.
      max_value_bytes: Longest value of a row.
    """

    async def transact(
        transaction: tables.Transaction, timeout_ms: int
    ) -> tables.TransactionResult:
        if transaction.writes:
            return await _write(fetch, transaction, timeout_ms)
        rows_by_key = {}
        for key in transaction.reads:
            read = await read_rows(
                fetch, TABLE_NAME, PART_NAME, key, f'{key}\0', timeout_ms
            )
            if isinstance(read, tables.Unavailable):
                return read
            rows_by_key.update({row.key: row for row in read})
        return tables.Committed({}, rows_by_key)

    async def scan(prefix: str, timeout_ms: int) -> tables.ScanResult:
        end = prefix[:-1] + chr(ord(prefix[-1]) + 1)
        return await read_rows(
            fetch, TABLE_NAME, PART_NAME, prefix, end, timeout_ms
        )

    return tables.Table(transact, scan, max_value_bytes)


async def _write(
    fetch: platform_calls.Fetch,
    transaction: tables.Transaction,
    timeout_ms: int,
) -> tables.TransactionResult:
    reply = await fetch(
        platform_calls.Call(
            'POST', '/api/rows-tx', body=_encode_transaction(transaction)
        ),
        timeout_ms,
    )
    if isinstance(reply, platform_calls.NoAnswer):
        if reply.was_sent:
            return tables.Uncertain(reply.detail)
        return tables.Unavailable(reply.detail)
    if reply.status == _OK and isinstance(reply.fields.get('rowVersion'), int):
        version = reply.fields['rowVersion']
        keys = [write.key for write in transaction.writes]
        return tables.Committed(dict.fromkeys(keys, version), {})
    if reply.status == _CONDITION_FAILED:
        return _find_failed_condition(transaction, reply)
    detail = f'status {reply.status}'
    if reply.status in _NO_EFFECT_STATUSES:
        return tables.Unavailable(
            detail, is_invalid=reply.status in _INVALID_STATUSES
        )
    return tables.Uncertain(detail)


def _encode_transaction(transaction: tables.Transaction) -> dict[str, Any]:
    return {
        'precondition': [
            {**_encode_key(condition.key), 'rowVersion': condition.version}
            for condition in transaction.conditions
        ],
        'puts': [
            {
                **_encode_key(write.key),
                'value': base64.b64encode(write.value).decode(),
            }
            for write in transaction.writes
            if write.value is not None
        ],
        'remove': [
            _encode_key(write.key)
            for write in transaction.writes
            if write.value is None
        ],
    }


def _encode_key(key: str) -> dict[str, str]:
    return {'table': TABLE_NAME, 'part': PART_NAME, 'key': key}


def _find_failed_condition(
    transaction: tables.Transaction, reply: platform_calls.Reply
) -> tables.TransactionResult:
    present = {row.key: row for row in decode_rows(reply.fields)}
    for condition in transaction.conditions:
        row = present.get(condition.key)
        version = tables.ABSENT if row is None else row.version
        if version != condition.version:
            return tables.ConditionFailed(condition.key, row)
    return tables.Uncertain(
        'the store reported a failed condition, but all conditions hold'
    )


async def read_rows(
    fetch: platform_calls.Fetch,
    table: str,
    part: str,
    first: str,
    end: str,
    timeout_ms: int,
) -> list[tables.Row] | tables.Unavailable:
    """Returns all rows with keys from first (inclusive) to end (exclusive).

    An empty first or end leaves that side of the range open.
    """
    rows: list[tables.Row] = []
    start = first
    while True:
        params = {'table': table, 'part': part, 'limit': str(PAGE_ROWS)}
        if start:
            params['from'] = start
        if end:
            # The store names the end of the range 'target'.
            params['target'] = end
        reply = await fetch(
            platform_calls.Call('GET', '/api/rows-get', params), timeout_ms
        )
        if isinstance(reply, platform_calls.NoAnswer):
            return tables.Unavailable(reply.detail)
        if reply.status != _OK:
            return tables.Unavailable(f'status {reply.status}')
        page = decode_rows(reply.fields)
        rows += page
        if not reply.fields.get('morePages') or not page:
            return rows
        start = f'{page[-1].key}\0'


def decode_rows(fields: dict[str, Any]) -> list[tables.Row]:
    """Decodes the rows of a reply; leaves out rows that can't be decoded."""
    rows = []
    listed = fields.get('rows')
    for row in listed if isinstance(listed, list) else ():
        try:
            key = json_fields.check_text(row['key'])
            value = base64.b64decode(row.get('value') or '')
            rows.append(tables.Row(key, value, int(row['rowVersion'])))
        except json_fields.ERRORS as error:
            logger.warning('row_unreadable', extra={'why': repr(error)})
    return rows
