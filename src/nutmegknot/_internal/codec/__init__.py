"""Conversion between schema messages and core types."""
