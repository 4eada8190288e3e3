"""gRPC services that an instance offers to callers, operators and instances."""

import functools

from nutmegknot._internal.instance import caller_service
from nutmegknot._internal.instance import digest_exchange
from nutmegknot._internal.instance import fleet_calls
from nutmegknot._internal.instance import forwarding
from nutmegknot._internal.instance import inspection_calls
from nutmegknot._internal.instance import instances
from nutmegknot._internal.instance import ledger_calls
from nutmegknot._internal.instance import operator_service
from nutmegknot._internal.network import services
from nutmegknot._internal.schema import caller_pb2
from nutmegknot._internal.schema import digest_pb2
from nutmegknot._internal.schema import inspect_pb2
from nutmegknot._internal.schema import operator_pb2
from nutmegknot._internal.schema import peer_pb2

BYTES_PER_KIB = 1024
# One message may list all open assignments of a ledger partition.
MAX_PEER_MESSAGE_BYTES = 256 * 1024 * 1024


def bind_caller_services(
    inst: instances.Instance,
) -> list[services.BoundService]:
    """Returns the services for callers and operators."""
    settings = inst.settings.limits
    limits = services.Limits(
        settings.message_kib * BYTES_PER_KIB, settings.calls_per_caller
    )
    return [
        _bind_service(
            inst, limits, caller_pb2, 'Caller', make_caller_handlers(inst)
        ),
        _bind_service(
            inst,
            limits,
            operator_pb2,
            'Operator',
            operator_service.make_method_handlers(inst),
        ),
    ]


def bind_peer_services(
    inst: instances.Instance,
) -> list[services.BoundService]:
    """Returns the services for other instances."""
    limits = services.Limits(MAX_PEER_MESSAGE_BYTES)
    return [
        _bind_service(
            inst, limits, peer_pb2, 'Ledger', make_ledger_handlers(inst)
        ),
        _bind_service(
            inst, limits, peer_pb2, 'Fleet', make_fleet_handlers(inst)
        ),
        _bind_service(
            inst, limits, digest_pb2, 'Peer', make_peer_handlers(inst)
        ),
        _bind_service(
            inst,
            limits,
            inspect_pb2,
            'Inspect',
            inspection_calls.make_method_handlers(inst),
        ),
    ]


def _bind_service(
    inst: instances.Instance,
    limits: services.Limits,
    schema: object,
    name: str,
    method_handlers: dict[str, services.MethodHandler],
) -> services.BoundService:
    service = schema.DESCRIPTOR.services_by_name[name]  # type: ignore[attr-defined]
    inst.calls.report_error = functools.partial(_report_broken_invariant, inst)
    return services.bind(service, method_handlers, inst.calls, limits)


def _report_broken_invariant(
    inst: instances.Instance, error: Exception
) -> None:
    if not inst.tasks.first_error.done():
        inst.tasks.first_error.set_result(error)


def make_caller_handlers(
    inst: instances.Instance,
) -> dict[str, services.MethodHandler]:
    """Returns the handler of each method of the service Caller."""
    return {
        'Submit': functools.partial(caller_service.submit, inst),
        'Wait': functools.partial(caller_service.forward_call, inst, 'Wait'),
        'Cancel': functools.partial(
            caller_service.forward_call, inst, 'Cancel'
        ),
        'Describe': functools.partial(
            caller_service.forward_call, inst, 'Describe'
        ),
    }


def make_ledger_handlers(
    inst: instances.Instance,
) -> dict[str, services.MethodHandler]:
    """Returns the handler of each method of the service Ledger."""
    handle = forwarding.handle_request_call
    return {
        'Submit': functools.partial(forwarding.handle_submit, inst),
        'Wait': functools.partial(handle, inst, ledger_calls.wait_for_outcome),
        'Cancel': functools.partial(handle, inst, ledger_calls.cancel),
        'Describe': functools.partial(handle, inst, ledger_calls.get_outcome),
        'Report': functools.partial(ledger_calls.process_reports, inst),
        'Begin': functools.partial(ledger_calls.permit_starts, inst),
    }


def make_fleet_handlers(
    inst: instances.Instance,
) -> dict[str, services.MethodHandler]:
    """Returns the handler of each method of the service Fleet."""
    return {
        'Assign': functools.partial(fleet_calls.assign, inst),
        'Withdraw': functools.partial(fleet_calls.withdraw, inst),
    }


def make_peer_handlers(
    inst: instances.Instance,
) -> dict[str, services.MethodHandler]:
    """Returns the handler of each method of the service Peer."""
    return {'Exchange': functools.partial(digest_exchange.handle_digest, inst)}
