"""Adapters to the table service, object store, instance list and workers."""
