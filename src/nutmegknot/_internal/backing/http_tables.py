"""HTTP client for a table service; docs/STANDINS.md describes its calls."""

import base64
from typing import Any

import aiohttp

from nutmegknot._internal.backing import http_calls
from nutmegknot._internal.backing import tables


def connect(session: aiohttp.ClientSession, url: str) -> tables.Table:
    """Returns access to the table service at a URL."""

    async def transact(
        transaction: tables.Transaction, timeout_ms: int
    ) -> tables.TransactionResult:
        reply = await http_calls.call_json(
            session,
            'POST',
            f'{url}/table/transact',
            timeout_ms,
            body=_encode_transaction(transaction),
        )
        result: tables.TransactionResult
        if isinstance(reply, dict):
            result = http_calls.decode(_decode_result, reply)
        else:
            result = reply
        if isinstance(result, tables.Uncertain) and not transaction.writes:
            return http_calls.to_unavailable(result)
        return result

    async def scan(prefix: str, timeout_ms: int) -> tables.ScanResult:
        reply = await http_calls.call_json(
            session,
            'GET',
            f'{url}/table/scan',
            timeout_ms,
            params={'prefix': prefix},
        )
        if not isinstance(reply, dict):
            return http_calls.to_unavailable(reply)
        rows = http_calls.decode(_decode_rows, reply)
        if isinstance(rows, tables.Uncertain):
            return http_calls.to_unavailable(rows)
        return rows

    return tables.Table(transact, scan)


def _encode_transaction(transaction: tables.Transaction) -> dict[str, Any]:
    return {
        'conditions': [
            [condition.key, condition.version]
            for condition in transaction.conditions
        ],
        'writes': [
            [write.key, _encode_value(write.value)]
            for write in transaction.writes
        ],
        'reads': list(transaction.reads),
    }


def _encode_value(value: bytes | None) -> str | None:
    return None if value is None else base64.b64encode(value).decode()


def _decode_row(row: list[Any]) -> tables.Row:
    key, value, version = row
    return tables.Row(key, base64.b64decode(value), int(version))


def _decode_rows(fields: dict[str, Any]) -> list[tables.Row]:
    return [_decode_row(row) for row in fields['rows']]


def _decode_result(fields: dict[str, Any]) -> tables.TransactionResult:
    if 'committed' in fields:
        committed = fields['committed']
        rows = [_decode_row(row) for row in committed['rows']]
        return tables.Committed(
            {
                key: int(version)
                for key, version in committed['versions'].items()
            },
            {row.key: row for row in rows},
        )
    if 'failed' in fields:
        failed = fields['failed']
        row = failed['row']
        return tables.ConditionFailed(
            failed['key'], None if row is None else _decode_row(row)
        )
    return tables.Uncertain('the response says neither committed nor failed')
