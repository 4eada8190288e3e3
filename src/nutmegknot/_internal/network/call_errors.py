"""Exceptions that calls over gRPC raise."""

import asyncio

import grpclib.exceptions

# The reply to the call did not arrive, so the call may have taken effect.
LOST_REPLY_ERRORS = (
    grpclib.exceptions.StreamTerminatedError,
    grpclib.exceptions.ProtocolError,
    OSError,
    asyncio.TimeoutError,
)
CALL_ERRORS = (grpclib.exceptions.GRPCError, *LOST_REPLY_ERRORS)
