"""What the stand-in workers do for a task, as its payload says."""

import dataclasses
import json

from nutmegknot._internal.models import resources

_PERCENT = 100


@dataclasses.dataclass(slots=True, frozen=True)
class Payload:
    """What a task does.

    Attributes:
      run_ms: How long it runs in ms; None means until it is stopped.
      answer: Its answer.
      fail: Whether it fails.
      once: Whether it must never start a second time.
      use_percent: What it uses, in percent of its declared size.
      stop_ms: Time that it needs to stop in ms.
      checkpoint: Whether it leaves a checkpoint when it is stopped; its name
        is the text form of the task's id.
    """

    run_ms: int | None = None
    answer: str = ''
    fail: bool = False
    once: bool = False
    use_percent: int = _PERCENT
    stop_ms: int = 0
    checkpoint: bool = False


_FIELDS = frozenset(field.name for field in dataclasses.fields(Payload))


def read(text: bytes) -> Payload:
    """Returns what a payload says; it may hold other keys or other text."""
    try:
        spec = json.loads(text or b'{}')
    except ValueError:
        return Payload()
    if not isinstance(spec, dict):
        return Payload()
    return Payload(**{k: v for k, v in spec.items() if k in _FIELDS})


def compute_usage(
    payload: Payload, size: resources.Resources
) -> resources.Resources:
    """Returns what a task of a size uses."""
    return dataclasses.replace(
        size,
        millicores=size.millicores * payload.use_percent // _PERCENT,
        memory_mib=size.memory_mib * payload.use_percent // _PERCENT,
    )
