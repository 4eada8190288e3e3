"""Errors of calls between instances."""

import asyncio

import grpclib.exceptions

CALL_ERRORS = (
    grpclib.exceptions.GRPCError,
    grpclib.exceptions.StreamTerminatedError,
    grpclib.exceptions.ProtocolError,
    OSError,
    asyncio.TimeoutError,
)
