"""The platform's metadata store as a table service."""

import base64
import logging
from typing import Any

from nutmegknot._internal.backing import fetches
from nutmegknot._internal.backing import tables

logger = logging.getLogger(__name__)

TABLE = 'nutmegknot'
# All rows stand in one part, so that a transaction stays within it.
PART = 'cell'
PAGE_ROWS = 500
_OK = 200
_CONDITION_FAILED = 412
# A cheap call that shows whether the store answers.
PROBE = fetches.Call(
    'GET', '/api/rows-get', {'table': TABLE, 'part': PART, 'limit': '1'}
)
# Answers of the store that say that nothing was done.
_NOTHING_DONE = frozenset((400, 403, 404, 413, 429, 503, 507))


def connect(fetch: fetches.Fetch) -> tables.Table:
    """Returns access to the store's rows of this system."""

    async def transact(
        transaction: tables.Transaction, timeout_ms: int
    ) -> tables.Result:
        if transaction.writes:
            return await _write(fetch, transaction, timeout_ms)
        found = {}
        for key in transaction.reads:
            read = await read_rows(
                fetch, TABLE, PART, key, f'{key}\0', timeout_ms
            )
            if isinstance(read, tables.Unavailable):
                return read
            found.update({row.key: row for row in read})
        return tables.Committed({}, found)

    async def scan(prefix: str, timeout_ms: int) -> tables.ScanResult:
        end = prefix[:-1] + chr(ord(prefix[-1]) + 1)
        return await read_rows(fetch, TABLE, PART, prefix, end, timeout_ms)

    return tables.Table(transact, scan)


async def _write(
    fetch: fetches.Fetch,
    transaction: tables.Transaction,
    timeout_ms: int,
) -> tables.Result:
    reply = await fetch(
        fetches.Call('POST', '/api/rows-tx', body=_show(transaction)),
        timeout_ms,
    )
    if isinstance(reply, fetches.NoAnswer):
        if reply.was_sent:
            return tables.Uncertain(reply.detail)
        return tables.Unavailable(reply.detail)
    if reply.status == _OK and isinstance(reply.fields.get('rowVersion'), int):
        version = reply.fields['rowVersion']
        keys = [write.key for write in transaction.writes]
        return tables.Committed(dict.fromkeys(keys, version), {})
    if reply.status == _CONDITION_FAILED:
        return _find_failed(transaction, reply)
    detail = f'status {reply.status}'
    if reply.status in _NOTHING_DONE:
        return tables.Unavailable(detail)
    return tables.Uncertain(detail)


def _show(transaction: tables.Transaction) -> dict[str, Any]:
    return {
        'precondition': [
            {**_name(c.key), 'rowVersion': c.version}
            for c in transaction.conditions
        ],
        'puts': [
            {**_name(w.key), 'value': base64.b64encode(w.value).decode()}
            for w in transaction.writes
            if w.value is not None
        ],
        'remove': [_name(w.key) for w in transaction.writes if w.value is None],
    }


def _name(key: str) -> dict[str, str]:
    return {'table': TABLE, 'part': PART, 'key': key}


def _find_failed(
    transaction: tables.Transaction, reply: fetches.Reply
) -> tables.Result:
    present = {row.key: row for row in decode_rows(reply.fields)}
    for condition in transaction.conditions:
        row = present.get(condition.key)
        version = tables.ABSENT if row is None else row.version
        if version != condition.version:
            return tables.ConditionFailed(condition.key, row)
    return tables.Uncertain('the store named no condition that failed')


async def read_rows(
    fetch: fetches.Fetch,
    table: str,
    part: str,
    first: str,
    end: str,
    timeout_ms: int,
) -> list[tables.Row] | tables.Unavailable:
    """Returns the rows with keys from first up to, but without, end."""
    found: list[tables.Row] = []
    begin = first
    while True:
        params = {'table': table, 'part': part, 'limit': str(PAGE_ROWS)}
        if begin:
            params['from'] = begin
        if end:
            # The wire's name for the end of the range.
            params['target'] = end
        reply = await fetch(
            fetches.Call('GET', '/api/rows-get', params), timeout_ms
        )
        if isinstance(reply, fetches.NoAnswer):
            return tables.Unavailable(reply.detail)
        if reply.status != _OK:
            return tables.Unavailable(f'status {reply.status}')
        page = decode_rows(reply.fields)
        found += page
        if not reply.fields.get('morePages') or not page:
            return found
        begin = f'{page[-1].key}\0'


def decode_rows(fields: dict[str, Any]) -> list[tables.Row]:
    """Returns the rows of an answer; those that can't be read are left out."""
    found = []
    for row in fields.get('rows') or ():
        try:
            value = base64.b64decode(row.get('value') or '')
            found.append(tables.Row(row['key'], value, int(row['rowVersion'])))
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            logger.warning('row_unreadable', extra={'why': repr(error)})
    return found
