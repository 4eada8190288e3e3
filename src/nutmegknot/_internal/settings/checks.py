"""Checks of settings that depend on each other."""

from nutmegknot._internal.schema import settings_pb2

# TLS settings for callers, which must be set all together or not at all.
_CALLER_TLS_SETTINGS = ('caller_certificate', 'caller_key')
# TLS settings for connections between instances, which must be set all together
# or not at all.
_PEER_TLS_SETTINGS = ('peer_certificate', 'peer_key', 'peer_authority')


def find_error(settings: settings_pb2.Settings) -> str:
    """Returns an error that names the conflicting settings, or ''."""
    return (
        _find_incomplete_group(settings.tls, _CALLER_TLS_SETTINGS)
        or _find_incomplete_group(settings.tls, _PEER_TLS_SETTINGS)
        or _find_lease_error(settings.membership)
        or _find_duplicate_address(settings.instance)
    )


def _find_incomplete_group(
    tls: settings_pb2.TlsSettings, names: tuple[str, ...]
) -> str:
    """Returns an error if some, but not all, settings of a group are set."""
    missing = [f'tls.{name}' for name in names if not getattr(tls, name)]
    if not missing or len(missing) == len(names):
        return ''
    present = [f'tls.{name}' for name in names if getattr(tls, name)]
    return (
        f'{", ".join(present)}: also needs {", ".join(missing)}; '
        'set all keys of the group or none'
    )


def _find_lease_error(membership: settings_pb2.MembershipSettings) -> str:
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


def _find_duplicate_address(instance: settings_pb2.InstanceSettings) -> str:
    names = ('listen', 'peer_listen', 'http_listen')
    names_by_address: dict[str, str] = {}
    for name in names:
        address = getattr(instance, name)
        if address in names_by_address:
            return (
                f'instance.{name}: {address} is also '
                f'instance.{names_by_address[address]}'
            )
        names_by_address[address] = name
    return ''
