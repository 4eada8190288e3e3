"""Adapter to a table service over HTTP; docs/STANDINS.md has its calls."""

import base64
from typing import Any

import aiohttp

from nutmegknot._internal.backing import http_calls
from nutmegknot._internal.backing import tables


def connect(session: aiohttp.ClientSession, url: str) -> tables.Table:
    """Returns access to the table service at url."""

    async def transact(
        transaction: tables.Transaction, timeout_ms: int
    ) -> tables.Result:
        answer = await http_calls.call_json(
            session,
            'POST',
            f'{url}/table/transact',
            timeout_ms,
            body=_show_transaction(transaction),
        )
        result: tables.Result
        if isinstance(answer, dict):
            result = http_calls.decode(_read_result, answer)
        else:
            result = answer
        if isinstance(result, tables.Uncertain) and not transaction.writes:
            return http_calls.weaken(result)
        return result

    async def scan(prefix: str, timeout_ms: int) -> tables.ScanResult:
        answer = await http_calls.call_json(
            session,
            'GET',
            f'{url}/table/scan',
            timeout_ms,
            params={'prefix': prefix},
        )
        if not isinstance(answer, dict):
            return http_calls.weaken(answer)
        rows = http_calls.decode(_read_rows, answer)
        if isinstance(rows, tables.Uncertain):
            return http_calls.weaken(rows)
        return rows

    return tables.Table(transact, scan)


def _show_transaction(transaction: tables.Transaction) -> dict[str, Any]:
    return {
        'conditions': [[c.key, c.version] for c in transaction.conditions],
        'writes': [[w.key, _show_value(w.value)] for w in transaction.writes],
        'reads': list(transaction.reads),
    }


def _show_value(value: bytes | None) -> str | None:
    return None if value is None else base64.b64encode(value).decode()


def _read_row(row: list[Any]) -> tables.Row:
    key, value, version = row
    return tables.Row(key, base64.b64decode(value), int(version))


def _read_rows(answer: dict[str, Any]) -> list[tables.Row]:
    return [_read_row(row) for row in answer['rows']]


def _read_result(answer: dict[str, Any]) -> tables.Result:
    if 'committed' in answer:
        committed = answer['committed']
        rows = [_read_row(row) for row in committed['rows']]
        return tables.Committed(
            {key: int(n) for key, n in committed['versions'].items()},
            {row.key: row for row in rows},
        )
    if 'failed' in answer:
        failed = answer['failed']
        row = failed['row']
        return tables.ConditionFailed(
            failed['key'], None if row is None else _read_row(row)
        )
    return tables.Uncertain('the answer is neither committed nor failed')
