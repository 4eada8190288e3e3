"""Calls of operators."""

import json

from nutmegknot._internal.codec import configurations
from nutmegknot._internal.configuration import changes
from nutmegknot._internal.instance import dumps
from nutmegknot._internal.instance import instances
from nutmegknot._internal.membership import leases
from nutmegknot._internal.schema import common_pb2
from nutmegknot._internal.schema import operator_pb2


async def get_configuration(
    inst: instances.Instance,
    call: operator_pb2.GetConfigurationCall,
    wait_ms: int,
) -> operator_pb2.GetConfigurationReply:
    """Returns the configuration in force here."""
    config = inst.membership.view.configuration
    return operator_pb2.GetConfigurationReply(
        configuration=configurations.encode_configuration(config)
    )


async def apply_configuration(
    inst: instances.Instance,
    call: operator_pb2.ApplyConfigurationCall,
    wait_ms: int,
) -> operator_pb2.ApplyConfigurationReply:
    """Replaces the configuration if it has not changed meanwhile."""
    pb = operator_pb2
    changed = configurations.decode_configuration(call.configuration)
    result = await changes.apply(
        inst.platform.table, changed, inst.settings.platform.timeout_ms
    )
    match result:
        case changes.Applied(config):
            await leases.read_configuration(inst.membership)
            message = configurations.encode_configuration(config)
            return pb.ApplyConfigurationReply(applied=message)
        case changes.Overtaken(config):
            message = configurations.encode_configuration(config)
            return pb.ApplyConfigurationReply(conflict=message)
        case changes.Invalid(detail):
            refused = pb.ConfigurationRefused(detail=detail)
            return pb.ApplyConfigurationReply(refused=refused)
        case _:
            unknown = common_pb2.Unknown(detail=result.detail)
            return pb.ApplyConfigurationReply(unknown=unknown)


async def dump_state(
    inst: instances.Instance, call: operator_pb2.DumpStateCall, wait_ms: int
) -> operator_pb2.DumpStateReply:
    """Returns the instance's state as JSON."""
    text = json.dumps(dumps.show_instance(inst), sort_keys=True)
    return operator_pb2.DumpStateReply(json=text)
