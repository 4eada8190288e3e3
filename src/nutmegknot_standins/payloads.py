"""Task payloads that tell a simulated worker how to simulate a task."""

import dataclasses
import json

from nutmegknot._internal.models import resources

_PERCENT = 100


@dataclasses.dataclass(slots=True, frozen=True)
class Payload:
    """Simulated behaviour of a task.

    Attributes:
      run_ms: Run time in ms; None means that it runs until it is stopped.
      answer: Text that it returns when it finishes.
      fail: Whether it fails at the end of its run time.
      once: Whether it must never start a second time.
      use_percent: Reported CPU and memory use in percent of the declared size.
      stop_ms: Time in ms that it takes to stop.
      checkpoint: Whether it saves a checkpoint when it is stopped. The
        checkpoint is named after the task id in its text form.
    """

    run_ms: int | None = None
    answer: str = ''
    fail: bool = False
    once: bool = False
    use_percent: int = _PERCENT
    stop_ms: int = 0
    checkpoint: bool = False


_FIELDS = frozenset(field.name for field in dataclasses.fields(Payload))


def parse_payload(text: bytes) -> Payload:
    """Parses a payload.

    Unknown keys are ignored. Text that is no JSON object gives the defaults.
    """
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
    """Returns the resources that a task of the declared size uses."""
    return dataclasses.replace(
        size,
        millicores=size.millicores * payload.use_percent // _PERCENT,
        memory_mib=size.memory_mib * payload.use_percent // _PERCENT,
    )
