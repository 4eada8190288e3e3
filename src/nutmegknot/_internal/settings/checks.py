"""Checks of settings that concern several keys."""

from nutmegknot._internal.schema import settings_pb2

_CALLER_GROUP = ('caller_certificate', 'caller_key')
_PEER_GROUP = ('peer_certificate', 'peer_key', 'peer_authority')


def find_fault(settings: settings_pb2.Settings) -> str:
    """Returns what is wrong between several keys, naming them, or ''."""
    return (
        find_half_group(settings.tls, _CALLER_GROUP)
        or find_half_group(settings.tls, _PEER_GROUP)
        or _find_lease_fault(settings.membership)
        or _find_address_fault(settings.instance)
    )


def find_half_group(
    tls: settings_pb2.TlsSettings, names: tuple[str, ...]
) -> str:
    """Returns a fault if some, but not all, keys of a group are set."""
    missing = [f'tls.{name}' for name in names if not getattr(tls, name)]
    if not missing or len(missing) == len(names):
        return ''
    given = [f'tls.{name}' for name in names if getattr(tls, name)]
    return (
        f'{", ".join(given)}: also needs {", ".join(missing)}; '
        'set all keys of the group or none'
    )


def _find_lease_fault(membership: settings_pb2.MembershipSettings) -> str:
    if membership.renew_ms >= membership.authority_ms:
        return (
            f'membership.renew_ms: {membership.renew_ms} must be below '
            f'membership.authority_ms, {membership.authority_ms} ms'
        )
    if membership.authority_ms + membership.drift_ms > membership.lease_ms:
        return (
            f'membership.authority_ms: {membership.authority_ms} and '
            f'membership.drift_ms, {membership.drift_ms}, must not exceed '
            f'membership.lease_ms, {membership.lease_ms} ms'
        )
    return ''


def _find_address_fault(instance: settings_pb2.InstanceSettings) -> str:
    names = ('listen', 'peer_listen', 'http_listen')
    taken: dict[str, str] = {}
    for name in names:
        address = getattr(instance, name)
        if address in taken:
            return (
                f'instance.{name}: {address} is also instance.{taken[address]}'
            )
        taken[address] = name
    return ''
