"""Results of benchmarks: target check, output format and percentile."""

from collections.abc import Sequence
import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Measurement:
    """A measured value.

    Attributes:
      name: What was measured.
      value: The value.
      unit: 'ms', 's', '1/s', 'ratio', 'count' or 'parts' (a fraction of 1).
      target: Bound that the value must meet, such as '<=5'; '' if none.
    """

    name: str
    value: float
    unit: str
    target: str = ''


def meets_target(measurement: Measurement) -> bool:
    """Returns whether a value meets its target; True if it has none."""
    if not measurement.target:
        return True
    comparison, bound = measurement.target[:2], float(measurement.target[2:])
    value = round(measurement.value, 4)
    return value <= bound if comparison == '<=' else value >= bound


def print_measurements(measurements: Sequence[Measurement]) -> None:
    """Prints one line for each result."""
    for measurement in measurements:
        met = 'yes' if meets_target(measurement) else 'no'
        target = measurement.target or '-'
        print(
            f'bench name={measurement.name} value={measurement.value:.4g} '
            f'unit={measurement.unit} target={target} ok={met}',
            flush=True,
        )


def compute_percentile(values: Sequence[float], fraction: float) -> float:
    """Returns the percentile given as a fraction of 1, or 0 without values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]
