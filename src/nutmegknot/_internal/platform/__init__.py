"""Adapter to the users' platform: it converts messages and decides nothing."""
