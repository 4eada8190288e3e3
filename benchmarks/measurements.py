"""Lines that a benchmark prints."""

from collections.abc import Sequence
import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Figure:
    """A measured value.

    Attributes:
      name: What was measured.
      value: The value.
      unit: 'ms', 's', '1/s', 'parts', 'ratio' or 'count'.
      target: The bound that it has to keep, as text such as '<=5'; '' if none.
    """

    name: str
    value: float
    unit: str
    target: str = ''


def is_met(figure: Figure) -> bool:
    """Tells whether a figure keeps its target; one without always does."""
    if not figure.target:
        return True
    sign, bound = figure.target[:2], float(figure.target[2:])
    value = round(figure.value, 4)
    return value <= bound if sign == '<=' else value >= bound


def show(figures: Sequence[Figure]) -> None:
    """Prints one line for each figure."""
    for one in figures:
        met = 'yes' if is_met(one) else 'no'
        target = one.target or '-'
        print(
            f'bench name={one.name} value={one.value:.4g} unit={one.unit} '
            f'target={target} ok={met}',
            flush=True,
        )


def compute_percentile(values: Sequence[float], part: float) -> float:
    """Returns the value that a part of the values, from 0 to 1, stays below."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]
