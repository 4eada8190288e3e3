"""Simulated platform services and workers for local use and tests."""
