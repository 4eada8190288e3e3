"""Ledger partitions: accepted requests, their journal and recovery."""
