"""Ledger partitions: durable storage of accepted requests.

A ledger partition keeps a part of all accepted requests, and assigns each to a
fleet partition, which runs it. Every change to a request is appended to a
journal, which is written to the table service in segments. Snapshots in the
object store keep the journal short. Recovery rebuilds the state from the newest
snapshot and the later segments.
"""
