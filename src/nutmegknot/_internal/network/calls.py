"""Errors of calls over gRPC."""

import asyncio

import grpclib.exceptions

# The call may have taken effect; its answer did not come.
LOST_ERRORS = (
    grpclib.exceptions.StreamTerminatedError,
    grpclib.exceptions.ProtocolError,
    OSError,
    asyncio.TimeoutError,
)
CALL_ERRORS = (grpclib.exceptions.GRPCError, *LOST_ERRORS)
