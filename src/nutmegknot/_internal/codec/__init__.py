"""Conversion between core types and messages of the schema."""
