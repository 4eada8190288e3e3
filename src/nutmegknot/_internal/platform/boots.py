"""The settings file that the platform writes for each process."""

import dataclasses
import json
import os
import pathlib
from typing import Any

from nutmegknot._internal.jobs import bounds

SETTINGS_VARIABLE = 'NUTMEGKNOT_CONFIG'
# As in the deploy file, which names it for all days.
METRICS_PORT = 9464


@dataclasses.dataclass(slots=True, frozen=True)
class Boot:
    """What a process learns from the platform.

    Attributes:
      instance: Name of the instance.
      domain: Its failure domain.
      regions: Region by failure domain.
      front: Address for callers; '' if this role serves none.
      ready: Address for readiness; '' if there is none.
      peer: Address for calls between instances.
      metrics: Address for metrics.
      store: Address of the store.
      adviser: Address of the service for advice; '' if there is none.
      millicores: Processors of the instance in thousandths of a core.
      limits: Bounds on time.
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
    limits: bounds.Bounds


@dataclasses.dataclass(slots=True, frozen=True)
class BadBoot:
    """The settings can't be used; detail is one line."""

    detail: str


def read_boot() -> Boot | BadBoot:
    """Reads the file that the environment names."""
    path = os.environ.get(SETTINGS_VARIABLE, '')
    try:
        fields = json.loads(pathlib.Path(path).read_text(encoding='utf-8'))
        return _decode(fields)
    except (OSError, ValueError, KeyError, TypeError) as error:
        return BadBoot(f'{path or SETTINGS_VARIABLE}: {error!r}')


def _decode(fields: dict[str, Any]) -> Boot:
    listen = fields['listen']
    first_port, _ = fields['portRange']
    share = fields['limits']
    ip = fields['ip']
    return Boot(
        instance=fields['nodeName'],
        domain=fields['zone'],
        regions=dict(fields['zones']),
        front=listen.get('front', ''),
        ready=listen.get('ready', ''),
        peer=f'{ip}:{first_port}',
        metrics=f'{ip}:{METRICS_PORT}',
        store=fields['platform']['address'],
        adviser=fields.get('advice') or '',
        millicores=int(share['cpuShare'] * share['cores'] * 1000),
        limits=_decode_bounds(fields['bounds']),
    )


def _decode_bounds(given: dict[str, Any]) -> bounds.Bounds:
    default = bounds.Bounds()
    most_hold_ms = int(given.get('maxHoldMs', default.most_hold_ms))
    return dataclasses.replace(
        default,
        most_hold_ms=most_hold_ms,
        hold_ms=min(default.hold_ms, most_hold_ms),
    )
