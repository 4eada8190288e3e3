"""Edits of the configuration by commands.

A command reads the configuration, edits it and applies the whole of it, if no
other change has been applied since the reading.
"""

from collections.abc import Callable
import dataclasses
import getpass
import secrets
from typing import Any

from nutmegknot._internal.cli import errors
from nutmegknot._internal.cli import exit_codes
from nutmegknot._internal.codec import configurations
from nutmegknot._internal.commands import instance_connections
from nutmegknot._internal.commands import options
from nutmegknot._internal.commands import output_format
from nutmegknot._internal.configuration import differences
from nutmegknot._internal.models import cells
from nutmegknot._internal.network import clients
from nutmegknot._internal.schema import common_pb2
from nutmegknot._internal.schema import operator_pb2

# Number of calls for one change while their answers are lost. All carry the
# same nonce, so that instances apply the change only once.
MAX_ATTEMPTS = 3
NONCE_BYTES = 12

# Edits a configuration: returns the new one, or the error of the command.
Edit = Callable[
    [cells.Configuration], cells.Configuration | errors.CommandError
]


async def change_configuration(
    command: options.ChangeOptions, edit: Edit
) -> errors.CommandError | None:
    """Connects to an instance and changes the configuration.

    Args:
      command: Options of the command.
      edit: Makes the new configuration from the one in force.
    """
    key = instance_connections.read_key(
        command.key_file, instance_connections.OPERATOR_KEY_VARIABLE
    )
    if isinstance(key, errors.CommandError):
        return key

    async def change(client: clients.Client) -> errors.CommandError | None:
        return await change_over_client(client, command, key, edit)

    return await instance_connections.call_instance(command, change)


async def read_configuration(
    client: clients.Client, key: str
) -> cells.Configuration:
    """Returns the configuration in force at an instance."""
    reply = await client.operator.GetConfiguration(
        operator_pb2.GetConfigurationCall(key=key),
        timeout=instance_connections.CALL_TIMEOUT_S,
    )
    return configurations.decode_configuration(reply.configuration)


async def change_over_client(
    client: clients.Client,
    command: options.ChangeOptions,
    key: str,
    edit: Edit,
) -> errors.CommandError | None:
    """Changes the configuration through a connected client.

    It reads the configuration, edits it, applies the change unless this is a
    dry run, and prints the differences.

    Args:
      client: Client of an instance.
      command: Options of the command.
      key: The operator's key.
      edit: Makes the new configuration from the one in force.
    """
    current = await read_configuration(client, key)
    edited = edit(current)
    if isinstance(edited, errors.CommandError):
        return edited
    lines = differences.list_differences(current, edited)
    if not lines:
        _print_result(command, current.revision, [])
        return None
    base = command.revision or edited.revision
    if base != current.revision:
        return _report_conflict(lines, base, current)
    if command.dry_run:
        _print_result(command, current.revision, lines)
        return None
    call = operator_pb2.ApplyConfigurationCall(
        configuration=configurations.encode_configuration(edited),
        operator=command.operator or getpass.getuser(),
        reason=command.reason,
        nonce=secrets.token_hex(NONCE_BYTES),
        key=key,
    )
    reply = await _apply_with_retries(client, call)
    return _handle_reply(command, reply, current, lines)


async def _apply_with_retries(
    client: clients.Client, call: operator_pb2.ApplyConfigurationCall
) -> operator_pb2.ApplyConfigurationReply:
    """Makes the call, and repeats it if the answer is lost."""
    detail = ''
    for _ in range(MAX_ATTEMPTS):
        try:
            return await client.operator.ApplyConfiguration(
                call, timeout=instance_connections.CALL_TIMEOUT_S
            )
        except clients.LOST_REPLY_ERRORS as error:
            detail = repr(error)
    unknown = common_pb2.Unknown(detail=detail)
    return operator_pb2.ApplyConfigurationReply(unknown=unknown)


def _handle_reply(
    command: options.ChangeOptions,
    reply: operator_pb2.ApplyConfigurationReply,
    current: cells.Configuration,
    lines: list[str],
) -> errors.CommandError | None:
    """Prints the result of an applied change, or returns the error.

    Args:
      command: Options of the command.
      reply: Reply of the instance.
      current: Configuration in force when it was read.
      lines: Differences between it and the edited configuration.
    """
    code = exit_codes.ExitCode
    match reply.WhichOneof('kind'):
        case 'applied':
            _print_result(command, reply.applied.revision, lines)
            return None
        case 'conflict':
            other = configurations.decode_configuration(reply.conflict)
            return _report_conflict(lines, current.revision, other, current)
        case 'refused':
            return errors.CommandError(code.REFUSED, reply.refused.detail)
    return errors.CommandError(
        code.UNKNOWN,
        f'the change may or may not be in force: {reply.unknown.detail}',
        'nutmegknot config show prints the configuration in force',
    )


def _print_result(
    command: options.ChangeOptions, revision: int, lines: list[str]
) -> None:
    if command.output == 'json':
        fields = {
            'revision': revision,
            'changes': lines,
            'applied': bool(lines) and not command.dry_run,
        }
        output_format.print_object('json', fields)
        return
    for line in lines:
        print(line)
    if not lines:
        print(f'no difference; revision {revision} stays in force')
    elif command.dry_run:
        print(f'not applied; revision {revision} stays in force')
    else:
        print(f'applied; revision {revision} is in force')


def _report_conflict(
    lines: list[str],
    base: int,
    other: cells.Configuration,
    base_config: cells.Configuration | None = None,
) -> errors.CommandError:
    """Prints both conflicting changes and returns the error.

    Args:
      lines: Differences that the command wanted to apply.
      base: Revision that they were made from.
      other: Configuration in force.
      base_config: Configuration at the revision base, to show what has changed
        since; None if it is not known, to show the whole of other.
    """
    print(f'yours, made from revision {base}:')
    for line in lines:
        print(f'  {line}')
    print(f'in force, revision {other.revision}:')
    for line in differences.list_differences(
        base_config or cells.Configuration(), other
    ):
        print(f'  {line}')
    return errors.CommandError(
        exit_codes.ExitCode.CONFLICT,
        f'the change was made from revision {base}, but revision '
        f'{other.revision} is in force',
        'compare both, and make the change again from the revision in force',
    )


def replace_item(
    config: cells.Configuration, section: str, name: str, item: object | None
) -> cells.Configuration:
    """Returns a configuration in which one item is replaced or removed.

    Args:
      config: The configuration, which stays unchanged.
      section: Section of the configuration, for example 'teams'.
      name: Name or id of the item.
      item: The new item; None to remove it.
    """
    items = dict(getattr(config, section))
    if item is None:
        items.pop(name, None)
    else:
        items[name] = item
    changed: dict[str, object] = {section: items}
    return dataclasses.replace(config, **changed)  # type: ignore[arg-type]


def make_edit(section: str, name: str, change: Callable[[Any], Any]) -> Edit:
    """Returns an edit of one item; the edit fails if there is no such item.

    Args:
      section: Section of the configuration, for example 'teams'.
      name: Name or id of the item.
      change: Makes the new item from the current one, or None to remove it.
    """

    def edit(
        config: cells.Configuration,
    ) -> cells.Configuration | errors.CommandError:
        item = getattr(config, section).get(name)
        if item is None:
            return make_not_found(differences.ITEM_NAMES[section], name)
        return replace_item(config, section, name, change(item))

    return edit


def make_not_found(kind: str, name: str) -> errors.CommandError:
    """Returns the error of a command that names an item that does not exist.

    Args:
      kind: Kind of the item, for example 'team'.
      name: Name or id that the command gave.
    """
    return errors.CommandError(
        exit_codes.ExitCode.NOT_FOUND, f'there is no {kind} {name!r}'
    )
