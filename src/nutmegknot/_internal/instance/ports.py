"""Services that an instance offers at its ports."""

import functools

from nutmegknot._internal.instance import entry
from nutmegknot._internal.instance import fleet_calls
from nutmegknot._internal.instance import forwarding
from nutmegknot._internal.instance import inspecting
from nutmegknot._internal.instance import instances
from nutmegknot._internal.instance import ledger_calls
from nutmegknot._internal.instance import links
from nutmegknot._internal.instance import operators
from nutmegknot._internal.network import services
from nutmegknot._internal.schema import caller_pb2
from nutmegknot._internal.schema import digest_pb2
from nutmegknot._internal.schema import inspect_pb2
from nutmegknot._internal.schema import operator_pb2
from nutmegknot._internal.schema import peer_pb2

BYTES_PER_KIB = 1024
# Instances hand over whole lists of assignments in one message.
PEER_MESSAGE_BYTES = 256 * 1024 * 1024


def bind_caller_services(
    inst: instances.Instance,
) -> list[services.BoundService]:
    """Returns the services for callers and operators."""
    settings = inst.settings.limits
    limits = services.Limits(
        settings.message_kib * BYTES_PER_KIB, settings.calls_per_caller
    )
    return [
        _bind(inst, limits, caller_pb2, 'Caller', make_caller_handles(inst)),
        _bind(
            inst, limits, operator_pb2, 'Operator', operators.make_handles(inst)
        ),
    ]


def bind_peer_services(
    inst: instances.Instance,
) -> list[services.BoundService]:
    """Returns the services for other instances."""
    limits = services.Limits(PEER_MESSAGE_BYTES)
    return [
        _bind(inst, limits, peer_pb2, 'Ledger', make_ledger_handles(inst)),
        _bind(inst, limits, peer_pb2, 'Fleet', make_fleet_handles(inst)),
        _bind(inst, limits, digest_pb2, 'Peer', make_peer_handles(inst)),
        _bind(
            inst, limits, inspect_pb2, 'Inspect', inspecting.make_handles(inst)
        ),
    ]


def _bind(
    inst: instances.Instance,
    limits: services.Limits,
    file: object,
    name: str,
    handles: dict[str, services.Handle],
) -> services.BoundService:
    service = file.DESCRIPTOR.services_by_name[name]  # type: ignore[attr-defined]
    inst.calls.report_broken = functools.partial(_report_broken, inst)
    return services.bind(service, handles, inst.calls, limits)


def _report_broken(inst: instances.Instance, error: Exception) -> None:
    if not inst.tasks.broken.done():
        inst.tasks.broken.set_result(error)


def make_caller_handles(
    inst: instances.Instance,
) -> dict[str, services.Handle]:
    """Returns the function of each method of the caller interface."""
    return {
        'Submit': functools.partial(entry.submit, inst),
        'Wait': functools.partial(entry.ask, inst, 'Wait'),
        'Cancel': functools.partial(entry.ask, inst, 'Cancel'),
        'Describe': functools.partial(entry.ask, inst, 'Describe'),
    }


def make_ledger_handles(
    inst: instances.Instance,
) -> dict[str, services.Handle]:
    """Returns the function of each method of the ledger interface."""
    answer = forwarding.answer_ledger
    return {
        'Submit': functools.partial(forwarding.answer_submit, inst),
        'Wait': functools.partial(answer, inst, ledger_calls.wait),
        'Cancel': functools.partial(answer, inst, ledger_calls.cancel),
        'Describe': functools.partial(answer, inst, ledger_calls.describe),
        'Report': functools.partial(ledger_calls.report, inst),
        'Begin': functools.partial(ledger_calls.begin, inst),
    }


def make_fleet_handles(
    inst: instances.Instance,
) -> dict[str, services.Handle]:
    """Returns the function of each method of the fleet interface."""
    return {
        'Assign': functools.partial(fleet_calls.assign, inst),
        'Withdraw': functools.partial(fleet_calls.withdraw, inst),
    }


def make_peer_handles(
    inst: instances.Instance,
) -> dict[str, services.Handle]:
    """Returns the function of each method of the peer interface."""
    return {'Exchange': functools.partial(links.exchange, inst)}
