"""Interfaces of the services that an instance calls, and HTTP adapters."""
