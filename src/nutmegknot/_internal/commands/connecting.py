"""Connections of commands to an instance, and their keys."""

from collections.abc import Awaitable
from collections.abc import Callable
import os
import pathlib

import grpclib.const
import grpclib.exceptions

from nutmegknot._internal.cli import errors
from nutmegknot._internal.cli import exit_codes
from nutmegknot._internal.commands import options
from nutmegknot._internal.network import channels
from nutmegknot._internal.network import clients
from nutmegknot._internal.network import tls

CALL_S = 15.0
CALLER_VARIABLE = 'NUTMEGKNOT_KEY'
OPERATOR_VARIABLE = 'NUTMEGKNOT_OPERATOR_KEY'

_STATUS_CODES = {
    grpclib.const.Status.UNAUTHENTICATED: exit_codes.ExitCode.NOT_ALLOWED,
    grpclib.const.Status.PERMISSION_DENIED: exit_codes.ExitCode.NOT_ALLOWED,
    grpclib.const.Status.INVALID_ARGUMENT: exit_codes.ExitCode.BAD_USAGE,
    grpclib.const.Status.RESOURCE_EXHAUSTED: exit_codes.ExitCode.REFUSED,
    grpclib.const.Status.UNAVAILABLE: exit_codes.ExitCode.REFUSED,
}


def read_key(
    path: pathlib.Path | None, variable: str
) -> str | errors.CommandError:
    """Returns the key in a file or, without one, in the environment."""
    if path is None:
        return os.environ.get(variable, '').strip()
    data = read_file(path)
    if isinstance(data, errors.CommandError):
        return data
    return data.decode('utf-8', 'replace').strip()


def read_file(path: pathlib.Path) -> bytes | errors.CommandError:
    """Returns the content of a file that the user named."""
    try:
        return path.read_bytes()
    except OSError as error:
        return errors.CommandError(
            exit_codes.ExitCode.BAD_USAGE,
            f'{path}: cannot be read: {error.strerror}',
        )


async def call_instance(
    chosen: options.ServerOptions,
    function: Callable[[clients.Client], Awaitable[errors.CommandError | None]],
) -> errors.CommandError | None:
    """Connects to the instance chosen, and runs a function with the client."""
    client = _connect(chosen)
    if isinstance(client, errors.CommandError):
        return client
    try:
        return await function(client)
    except clients.CALL_ERRORS as error:
        return make_call_error(chosen.server, error)
    finally:
        clients.close(client)


def _connect(
    chosen: options.ServerOptions,
) -> clients.Client | errors.CommandError:
    context = None
    if chosen.authority is not None:
        loaded = tls.make_client_context(chosen.authority)
        if isinstance(loaded, tls.BadTls):
            return errors.CommandError(
                exit_codes.ExitCode.BAD_USAGE, loaded.detail
            )
        context = loaded
    try:
        channels.split_address(chosen.server)
    except ValueError:
        return errors.CommandError(
            exit_codes.ExitCode.BAD_USAGE,
            f'--server: {chosen.server!r} must be HOST:PORT',
        )
    return clients.connect(chosen.server, context)


def make_call_error(server: str, error: BaseException) -> errors.CommandError:
    """Returns the error of a call that gave no reply."""
    if isinstance(error, grpclib.exceptions.GRPCError):
        code = _STATUS_CODES.get(error.status)
        if code is not None:
            return errors.CommandError(code, f'{server}: {error.message}')
    detail = str(error) or type(error).__name__
    return errors.CommandError(
        exit_codes.ExitCode.INSTANCE_UNREACHED,
        f'{server}: {detail}',
        'check --server and --authority, and that the instance runs',
    )
