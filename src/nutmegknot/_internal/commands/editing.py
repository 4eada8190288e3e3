"""Changes of the configuration by commands."""

from collections.abc import Callable
import dataclasses
import getpass
import secrets
from typing import Any

from nutmegknot._internal.cli import errors
from nutmegknot._internal.cli import exit_codes
from nutmegknot._internal.codec import configurations
from nutmegknot._internal.commands import connecting
from nutmegknot._internal.commands import options
from nutmegknot._internal.commands import rendering
from nutmegknot._internal.configuration import differences
from nutmegknot._internal.models import cells
from nutmegknot._internal.network import clients
from nutmegknot._internal.schema import common_pb2
from nutmegknot._internal.schema import operator_pb2

# Calls of one change; each has the same nonce, so that it is made once.
ATTEMPTS = 3
NONCE_BYTES = 12

Edit = Callable[
    [cells.Configuration], cells.Configuration | errors.CommandError
]


async def change_configuration(
    command: options.ChangeOptions, edit: Edit
) -> errors.CommandError | None:
    """Reads the configuration, edits it, shows the difference, applies it."""
    key = connecting.read_key(command.key_file, connecting.OPERATOR_VARIABLE)
    if isinstance(key, errors.CommandError):
        return key

    async def change(client: clients.Client) -> errors.CommandError | None:
        return await change_through(client, command, key, edit)

    return await connecting.call_instance(command, change)


async def read_configuration(
    client: clients.Client, key: str
) -> cells.Configuration:
    """Returns the configuration in force at an instance."""
    reply = await client.operator.GetConfiguration(
        operator_pb2.GetConfigurationCall(key=key), timeout=connecting.CALL_S
    )
    return configurations.decode_configuration(reply.configuration)


async def change_through(
    client: clients.Client,
    command: options.ChangeOptions,
    key: str,
    edit: Edit,
) -> errors.CommandError | None:
    """Makes a change through a connected client."""
    present = await read_configuration(client, key)
    wanted = edit(present)
    if isinstance(wanted, errors.CommandError):
        return wanted
    lines = differences.list_differences(present, wanted)
    if not lines:
        _print_result(command, present.revision, [])
        return None
    base = command.revision or wanted.revision
    if base != present.revision:
        return _report_conflict(lines, base, present)
    if command.dry_run:
        _print_result(command, present.revision, lines)
        return None
    call = operator_pb2.ApplyConfigurationCall(
        configuration=configurations.encode_configuration(wanted),
        operator=command.operator or getpass.getuser(),
        reason=command.reason,
        nonce=secrets.token_hex(NONCE_BYTES),
        key=key,
    )
    reply = await _apply(client, call)
    return _report(command, reply, present, lines)


async def _apply(
    client: clients.Client, call: operator_pb2.ApplyConfigurationCall
) -> operator_pb2.ApplyConfigurationReply:
    """Makes the call again while its answer is lost."""
    detail = ''
    for _ in range(ATTEMPTS):
        try:
            return await client.operator.ApplyConfiguration(
                call, timeout=connecting.CALL_S
            )
        except clients.LOST_ERRORS as error:
            detail = repr(error)
    unknown = common_pb2.Unknown(detail=detail)
    return operator_pb2.ApplyConfigurationReply(unknown=unknown)


def _report(
    command: options.ChangeOptions,
    reply: operator_pb2.ApplyConfigurationReply,
    present: cells.Configuration,
    lines: list[str],
) -> errors.CommandError | None:
    code = exit_codes.ExitCode
    match reply.WhichOneof('kind'):
        case 'applied':
            _print_result(command, reply.applied.revision, lines)
            return None
        case 'conflict':
            other = configurations.decode_configuration(reply.conflict)
            return _report_conflict(lines, present.revision, other, present)
        case 'refused':
            return errors.CommandError(code.REFUSED, reply.refused.detail)
    return errors.CommandError(
        code.UNKNOWN,
        f'the change may or may not be in force: {reply.unknown.detail}',
        'nutmegknot config show tells',
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
        rendering.print_object('json', fields)
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
    present: cells.Configuration | None = None,
) -> errors.CommandError:
    """Shows both versions: what was asked for, and what came first."""
    print(f'yours, made from revision {base}:')
    for line in lines:
        print(f'  {line}')
    print(f'in force, revision {other.revision}:')
    for line in differences.list_differences(
        present or cells.Configuration(), other
    ):
        print(f'  {line}')
    return errors.CommandError(
        exit_codes.ExitCode.CONFLICT,
        f'the change was made from revision {base}, but revision '
        f'{other.revision} is in force',
        'look at both, and make the change again from the present revision',
    )


def replace_item(
    config: cells.Configuration, section: str, name: str, item: object | None
) -> cells.Configuration:
    """Returns a configuration with one item set, or removed if it is None."""
    items = dict(getattr(config, section))
    if item is None:
        items.pop(name, None)
    else:
        items[name] = item
    changed: dict[str, object] = {section: items}
    return dataclasses.replace(config, **changed)  # type: ignore[arg-type]


def make_edit(section: str, name: str, change: Callable[[Any], Any]) -> Edit:
    """Returns an edit of one item that must exist.

    Args:
      section: Section of the configuration.
      name: Name or id of the item.
      change: Returns the new item, or None to remove it.
    """

    def edit(
        config: cells.Configuration,
    ) -> cells.Configuration | errors.CommandError:
        old = getattr(config, section).get(name)
        if old is None:
            return make_missing(differences.SECTIONS[section], name)
        return replace_item(config, section, name, change(old))

    return edit


def make_missing(word: str, name: str) -> errors.CommandError:
    """Returns the error of a command that names something unknown."""
    return errors.CommandError(
        exit_codes.ExitCode.NOT_FOUND, f'no {word} {name!r}'
    )
