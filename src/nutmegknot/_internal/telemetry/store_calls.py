"""Counts calls to the table service and the object store by their result."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
from typing import Any

from nutmegknot._internal.backing import object_store
from nutmegknot._internal.backing import tables
from nutmegknot._internal.telemetry import instruments


def count_table_calls(
    table: tables.Table, counter: instruments.Counter
) -> tables.Table:
    """Wraps a table service so that its calls are counted by result."""
    return dataclasses.replace(
        table,
        transact=_count(table.transact, counter, 'table_transact'),
        scan=_count(table.scan, counter, 'table_scan'),
    )


def count_object_store_calls(
    store: object_store.ObjectStore, counter: instruments.Counter
) -> object_store.ObjectStore:
    """Wraps an object store so that its calls are counted by result."""
    return dataclasses.replace(
        store,
        put=_count(store.put, counter, 'object_put'),
        get=_count(store.get, counter, 'object_get'),
        delete=_count(store.delete, counter, 'object_delete'),
    )


def _count(
    function: Callable[..., Awaitable[Any]],
    counter: instruments.Counter,
    operation: str,
) -> Callable[..., Awaitable[Any]]:
    async def counted_call(*args: object) -> object:
        result = await function(*args)
        instruments.increment(counter, operation, _get_result_label(result))
        return result

    return counted_call


def _get_result_label(result: object) -> str:
    if isinstance(result, list | bytes):
        return 'read'
    return type(result).__name__.lower()
