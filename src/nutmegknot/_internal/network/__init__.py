"""Servers, clients and peer links."""
