"""Connects commands to an instance and reads the keys that they send."""

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

CALL_TIMEOUT_S = 15.0
# Environment variable with the key of a team, read if no key file is named.
CALLER_KEY_VARIABLE = 'NUTMEGKNOT_KEY'
# Environment variable with the key of an operator, read if no key file is
# named.
OPERATOR_KEY_VARIABLE = 'NUTMEGKNOT_OPERATOR_KEY'

# Exit codes of commands by the gRPC status with which an instance ended the
# call. Any other status counts as an instance that was not reached.
_EXIT_CODES = {
    grpclib.const.Status.UNAUTHENTICATED: exit_codes.ExitCode.NOT_ALLOWED,
    grpclib.const.Status.PERMISSION_DENIED: exit_codes.ExitCode.NOT_ALLOWED,
    grpclib.const.Status.INVALID_ARGUMENT: exit_codes.ExitCode.BAD_USAGE,
    grpclib.const.Status.RESOURCE_EXHAUSTED: exit_codes.ExitCode.REFUSED,
    grpclib.const.Status.UNAVAILABLE: exit_codes.ExitCode.REFUSED,
}


def read_key(
    path: pathlib.Path | None, variable: str
) -> str | errors.CommandError:
    """Reads a key from a file or an environment variable.

    Args:
      path: File with the key; None to read the environment variable.
      variable: Name of the environment variable.

    Returns:
      The key, '' if the environment variable is not set, or the error of
      reading the file.
    """
    if path is None:
        return os.environ.get(variable, '').strip()
    data = read_file(path)
    if isinstance(data, errors.CommandError):
        return data
    return data.decode('utf-8', 'replace').strip()


def read_file(path: pathlib.Path) -> bytes | errors.CommandError:
    """Reads a file that the user named."""
    try:
        return path.read_bytes()
    except OSError as error:
        return errors.CommandError(
            exit_codes.ExitCode.BAD_USAGE,
            f'{path}: cannot be read: {error.strerror}',
        )


async def call_instance(
    command: options.ServerOptions,
    function: Callable[[clients.Client], Awaitable[errors.CommandError | None]],
) -> errors.CommandError | None:
    """Connects to the instance that a command names, then calls a function.

    Args:
      command: Options with the address of the instance.
      function: Called with the connected client, which is closed afterwards.

    Returns:
      The result of the function, or an error if the connection or a call in
      the function failed.
    """
    client = _connect(command)
    if isinstance(client, errors.CommandError):
        return client
    try:
        return await function(client)
    except clients.CALL_ERRORS as error:
        return make_call_error(command.server, error)
    finally:
        clients.close(client)


def _connect(
    command: options.ServerOptions,
) -> clients.Client | errors.CommandError:
    context = None
    if command.authority is not None:
        result = tls.make_client_context(command.authority)
        if isinstance(result, tls.InvalidTlsFiles):
            return errors.CommandError(
                exit_codes.ExitCode.BAD_USAGE, result.detail
            )
        context = result
    try:
        channels.split_address(command.server)
    except ValueError:
        return errors.CommandError(
            exit_codes.ExitCode.BAD_USAGE,
            f'--server: {command.server!r} must be HOST:PORT',
        )
    return clients.connect(command.server, context)


def make_call_error(server: str, error: BaseException) -> errors.CommandError:
    """Returns the error of a command whose call to an instance failed.

    Args:
      server: Address of the instance.
      error: Exception that the call raised.
    """
    if isinstance(error, grpclib.exceptions.GRPCError):
        code = _EXIT_CODES.get(error.status)
        if code is not None:
            return errors.CommandError(code, f'{server}: {error.message}')
    detail = str(error) or type(error).__name__
    return errors.CommandError(
        exit_codes.ExitCode.INSTANCE_UNREACHED,
        f'{server}: {detail}',
        'check --server and --authority, and that the instance runs',
    )
