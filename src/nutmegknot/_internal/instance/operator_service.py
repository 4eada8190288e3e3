"""Operators' calls: authentication, configuration, and the state dump."""

import functools
import ipaddress

import grpclib.const

from nutmegknot._internal.codec import configurations
from nutmegknot._internal.configuration import changes
from nutmegknot._internal.configuration import keys
from nutmegknot._internal.instance import audit_calls
from nutmegknot._internal.instance import authority
from nutmegknot._internal.instance import dumps
from nutmegknot._internal.instance import inspection_calls
from nutmegknot._internal.instance import instances
from nutmegknot._internal.membership import authority_period
from nutmegknot._internal.membership import leases
from nutmegknot._internal.models import cells
from nutmegknot._internal.network import channels
from nutmegknot._internal.network import services
from nutmegknot._internal.schema import common_pb2
from nutmegknot._internal.schema import operator_pb2

MAX_TEXT_CHARS = 500


def make_method_handlers(
    inst: instances.Instance,
) -> dict[str, services.MethodHandler]:
    """Returns the handler of each method of the service Operator."""
    functions: dict[str, inspection_calls.UnboundHandler] = {
        'GetConfiguration': get_configuration,
        'ApplyConfiguration': apply_configuration,
        'DumpState': dump_state,
        'Explain': inspection_calls.explain,
        'ListJobs': inspection_calls.list_jobs,
        'PreviewDomain': inspection_calls.preview_domain,
        'ListAudit': audit_calls.list_audit,
        'VerifyAudit': audit_calls.verify_audit,
    }
    return {
        name: _require_operator(inst, functools.partial(function, inst))
        for name, function in functions.items()
    }


def _require_operator(
    inst: instances.Instance, handle: services.MethodHandler
) -> services.MethodHandler:
    """Returns a handler that rejects calls without a valid operator's key."""

    async def handle_authenticated(call: object, wait_ms: int) -> object:
        operator = authenticate_operator(inst, getattr(call, 'key', ''))
        if isinstance(operator, services.Rejected):
            return operator
        return await handle(call, wait_ms)

    return handle_authenticated


def authenticate_operator(
    inst: instances.Instance, key_text: str
) -> str | services.Rejected:
    """Returns the name of the operator who makes a call.

    While no operator has a valid key, calls are accepted without one if the
    instance listens on a loopback address; the name is then ''.
    """
    operator_keys = dict(inst.membership.view.configuration.operators)
    digest = inst.settings.operators.bootstrap_digest
    if digest:
        operator_keys.setdefault(
            keys.BOOTSTRAP_KEY_ID,
            cells.OperatorKey(
                keys.BOOTSTRAP_KEY_ID, keys.BOOTSTRAP_KEY_ID, digest
            ),
        )
    if not any(not key.withdrawn for key in operator_keys.values()):
        return _check_loopback_listener(inst.settings.instance.listen)
    valid_key = keys.find_valid_key(operator_keys, key_text)
    if isinstance(valid_key, cells.OperatorKey):
        return valid_key.operator
    return services.Rejected(
        grpclib.const.Status.UNAUTHENTICATED,
        'the operator key is missing, unknown or withdrawn',
    )


def _check_loopback_listener(address: str) -> str | services.Rejected:
    host, _ = channels.split_address(address)
    if ipaddress.ip_address(host).is_loopback:
        return ''
    return services.Rejected(
        grpclib.const.Status.PERMISSION_DENIED,
        'no operator is known: set operators.bootstrap_digest, or listen on a '
        'loopback address',
    )


async def get_configuration(
    inst: instances.Instance,
    call: operator_pb2.GetConfigurationCall,
    wait_ms: int,
) -> operator_pb2.GetConfigurationReply:
    """Returns the configuration in force in this instance."""
    config = inst.membership.view.configuration
    return operator_pb2.GetConfigurationReply(
        configuration=configurations.encode_configuration(config)
    )


async def apply_configuration(
    inst: instances.Instance,
    call: operator_pb2.ApplyConfigurationCall,
    wait_ms: int,
) -> operator_pb2.ApplyConfigurationReply | services.Rejected:
    """Replaces the configuration, unless another change was made meanwhile."""
    if not authority.may_act(inst):
        # The operator's key may have been withdrawn, and this instance may
        # not have read that change yet.
        return services.Rejected(
            grpclib.const.Status.UNAVAILABLE,
            'authority is not confirmed; nothing was changed',
        )
    if not authority_period.may_change_configuration(inst.membership.view):
        return services.Rejected(
            grpclib.const.Status.UNAVAILABLE,
            'not every instance knows this one yet; nothing was changed',
        )
    pb = operator_pb2
    change = _make_change(inst, call)
    if isinstance(change, changes.Invalid):
        refused = pb.ConfigurationRefused(detail=change.detail)
        return pb.ApplyConfigurationReply(refused=refused)
    result = await changes.apply_change(
        inst.platform.table, change, inst.settings.platform.timeout_ms
    )
    match result:
        case changes.Applied(config):
            await leases.read_configuration(inst.membership)
            message = configurations.encode_configuration(config)
            return pb.ApplyConfigurationReply(applied=message)
        case changes.RevisionConflict(config):
            message = configurations.encode_configuration(config)
            return pb.ApplyConfigurationReply(conflict=message)
        case changes.Invalid(detail):
            refused = pb.ConfigurationRefused(detail=detail)
            return pb.ApplyConfigurationReply(refused=refused)
        case _:
            unknown = common_pb2.Unknown(detail=result.detail)
            return pb.ApplyConfigurationReply(unknown=unknown)


def _make_change(
    inst: instances.Instance, call: operator_pb2.ApplyConfigurationCall
) -> changes.Change | changes.Invalid:
    result = authenticate_operator(inst, call.key)
    operator = result if isinstance(result, str) and result else call.operator
    for name, text in (('operator', operator), ('reason', call.reason)):
        if not text or len(text) > MAX_TEXT_CHARS:
            return changes.Invalid(
                f'{name}: must have 1 to {MAX_TEXT_CHARS} letters'
            )
    try:
        config = configurations.decode_configuration(call.configuration)
    except ValueError as error:
        return changes.Invalid(str(error))
    return changes.Change(
        config, operator, call.reason, call.nonce, inst.clock.wall_ms()
    )


async def dump_state(
    inst: instances.Instance, call: operator_pb2.DumpStateCall, wait_ms: int
) -> operator_pb2.DumpStateReply:
    """Returns the instance's state as JSON lines."""
    return operator_pb2.DumpStateReply(json=dumps.format_state(inst))
