"""The settings file that the platform writes for each instance process."""

import dataclasses
import os
import pathlib
from typing import Any

from nutmegknot._internal.backing import tables
from nutmegknot._internal.jobs import time_limits
from nutmegknot._internal.utils import json_fields

SETTINGS_VARIABLE = 'NUTMEGKNOT_CONFIG'
# Must equal the metrics port in deploy/system.toml, which never changes.
METRICS_PORT = 9464


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
      max_row_bytes: Longest value of a row in the store.
      limits: Time limits and intervals.
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
    max_row_bytes: int
    limits: time_limits.TimeLimits


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
    cpu_limits = fields['limits']
    ip = fields['ip']
    return ProcessSettings(
        instance=fields['nodeName'],
        domain=fields['zone'],
        regions=dict(fields['zones']),
        front=listen.get('front', ''),
        ready=listen.get('ready', ''),
        peer=f'{ip}:{first_port}',
        metrics=f'{ip}:{METRICS_PORT}',
        store=fields['platform']['address'],
        adviser=fields.get('advice') or '',
        millicores=int(cpu_limits['cpuShare'] * cpu_limits['cores'] * 1000),
        max_row_bytes=int(
            fields['bounds'].get('rowBytes', tables.DEFAULT_MAX_VALUE_BYTES)
        ),
        limits=_decode_time_limits(fields['bounds']),
    )


def _decode_time_limits(fields: dict[str, Any]) -> time_limits.TimeLimits:
    default = time_limits.TimeLimits()
    max_worker_lease_ms = int(
        fields.get('maxHoldMs', default.max_worker_lease_ms)
    )
    return dataclasses.replace(
        default,
        max_worker_lease_ms=max_worker_lease_ms,
        worker_lease_ms=min(default.worker_lease_ms, max_worker_lease_ms),
    )
