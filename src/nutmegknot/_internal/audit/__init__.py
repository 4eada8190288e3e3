"""Audit records and their verification."""
