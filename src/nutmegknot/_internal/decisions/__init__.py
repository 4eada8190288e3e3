"""Placement, order, shares, limits and admission as plain functions."""
