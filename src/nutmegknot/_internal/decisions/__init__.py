"""Scheduling decisions as plain functions, without input or output."""
