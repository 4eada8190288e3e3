"""The settings file that the platform writes for each instance process."""

import dataclasses
import os
import pathlib
from typing import Any

from nutmegknot._internal.backing import tables
from nutmegknot._internal.decisions import customer_rates
from nutmegknot._internal.jobs import time_limits
from nutmegknot._internal.utils import json_fields

SETTINGS_VARIABLE = 'NUTMEGKNOT_CONFIG'
# Operators set it to 1 to have work delayed in overloaded pools.
DELAYS_VARIABLE = 'NUTMEGKNOT_DELAYS_UNDER_OVERLOAD'
# Must equal the metrics port in deploy/system.toml, which never changes.
METRICS_PORT = 9464
# Section and name of the settings that have a default.
_DEFAULTED_SETTINGS = (
    ('platform', 'rowBytes'),
    ('bounds', 'maxHoldMs'),
    ('limits', 'memoryMb'),
    ('limits', 'maxFds'),
)
# Those of the smallest known instance.
DEFAULT_MEMORY_MB = 200
DEFAULT_MAX_FDS = 4_100


@dataclasses.dataclass(slots=True, frozen=True)
class ProcessSettings:
    """Contents of the settings file of one process.

    Attributes:
      instance: Name of the instance.
      domain: Failure domain of the instance.
      regions: Region of each failure domain.
      front: Address on which callers are served; '' if none are served.
      ready: Address of the readiness check; '' if there is none.
      peer: Address on which other instances are served.
      metrics: Address on which metrics are served.
      store: Address of the platform's metadata store.
      adviser: Address of the advice service; '' if there is none.
      millicores: Processor time of the instance in thousandths of a core.
      memory_mb: Memory of the instance in MiB.
      max_fds: Most file descriptors of the instance.
      max_row_bytes: Longest value of a row in the store.
      limits: Time limits and intervals.
      defaulted: Names of the settings that the file leaves out, so that their
        defaults are in force.
    """

    instance: str
    domain: str
    regions: dict[str, str]
    front: str
    ready: str
    peer: str
    metrics: str
    store: str
    adviser: str
    millicores: int
    memory_mb: int
    max_fds: int
    max_row_bytes: int
    limits: time_limits.TimeLimits
    defaulted: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class InvalidSettings:
    """The settings file can't be read; detail is a one-line reason."""

    detail: str


def read_settings() -> ProcessSettings | InvalidSettings:
    """Reads the settings file whose path NUTMEGKNOT_CONFIG gives."""
    path = os.environ.get(SETTINGS_VARIABLE, '')
    try:
        fields = json_fields.decode_object(pathlib.Path(path).read_bytes())
        return _decode_settings(fields)
    except (OSError, *json_fields.ERRORS) as error:
        return InvalidSettings(f'{path or SETTINGS_VARIABLE}: {error!r}')


def _decode_settings(fields: dict[str, Any]) -> ProcessSettings:
    listen = fields['listen']
    first_port, _ = fields['portRange']
    machine = fields['limits']
    platform = fields['platform']
    bounds = fields['bounds']
    default = time_limits.TimeLimits()
    max_worker_lease_ms = _decode_limit(
        bounds, 'maxHoldMs', default.max_worker_lease_ms
    )
    ip = fields['ip']
    return ProcessSettings(
        instance=fields['nodeName'],
        domain=fields['zone'],
        regions=dict(fields['zones']),
        front=listen.get('front', ''),
        ready=listen.get('ready', ''),
        peer=f'{ip}:{first_port}',
        metrics=f'{ip}:{METRICS_PORT}',
        store=platform['address'],
        adviser=fields.get('advice') or '',
        millicores=int(machine['cpuShare'] * machine['cores'] * 1000),
        memory_mb=_decode_limit(machine, 'memoryMb', DEFAULT_MEMORY_MB),
        max_fds=_decode_limit(machine, 'maxFds', DEFAULT_MAX_FDS),
        max_row_bytes=_decode_limit(
            platform, 'rowBytes', tables.DEFAULT_MAX_VALUE_BYTES
        ),
        limits=dataclasses.replace(
            default,
            max_worker_lease_ms=max_worker_lease_ms,
            worker_lease_ms=min(default.worker_lease_ms, max_worker_lease_ms),
            delays_under_overload=os.environ.get(DELAYS_VARIABLE) == '1',
            rate_limits=_decode_rate_limits(bounds),
        ),
        defaulted=tuple(
            f'{section}.{name}'
            for section, name in _DEFAULTED_SETTINGS
            if fields[section].get(name) is None
        ),
    )


def _decode_rate_limits(bounds: dict[str, Any]) -> customer_rates.RateLimits:
    """Returns how customers' rates are measured.

    Raises:
      TypeError, ValueError: If a value is no number, or the window is 0.
    """
    default = customer_rates.RateLimits()
    window_s = bounds.get('quotaWindowS')
    overage = bounds.get('quotaOverage')
    window_ms = default.window_ms
    if window_s is not None:
        window_ms = int(json_fields.check_number(window_s) * 1000)
    if window_ms <= 0:
        raise ValueError('quotaWindowS is 0')
    return customer_rates.RateLimits(
        window_ms,
        default.overage
        if overage is None
        else json_fields.check_number(overage),
    )


def _decode_limit(section: dict[str, Any], name: str, default: int) -> int:
    """Returns a limit of the platform, or the default if there is none.

    Raises:
      TypeError, ValueError: If it is no number above 0.
    """
    value = section.get(name)
    if value is None:
        return default
    limit = json_fields.check_integer(value)
    if limit == 0:
        raise ValueError(f'{name} is 0')
    return limit
