"""Fits straight lines to values measured at several sizes."""

from collections.abc import Callable
import dataclasses
import statistics


@dataclasses.dataclass(slots=True, frozen=True)
class Slope:
    """A fitted line: value = base + slope * size.

    Attributes:
      name: What was measured.
      unit: Unit of the slope.
      slope: Increase of the value per unit of size.
      base: Value of the line at size 0.
      residual: Largest deviation of a measured value from the line, divided by
        the largest measured value.
      sizes: Sizes at which values were measured.
    """

    name: str
    unit: str
    slope: float
    base: float
    residual: float
    sizes: tuple[int, ...]


def fit_slope(
    name: str,
    unit: str,
    sizes: tuple[int, ...],
    measure: Callable[[int], float],
    repeats: int = 3,
) -> Slope:
    """Measures at each size and fits a line.

    Args:
      name: What is measured.
      unit: Unit of the measured value for each unit of size.
      sizes: Three or more sizes.
      measure: Returns the value at a size. The smallest value of all runs at a
        size is used.
      repeats: Number of runs at each size.
    """
    values = [min(measure(size) for _ in range(repeats)) for size in sizes]
    line = statistics.linear_regression(sizes, values)
    max_deviation = max(
        abs(value - line.intercept - line.slope * size)
        for size, value in zip(sizes, values, strict=True)
    )
    max_value = max(abs(value) for value in values) or 1.0
    return Slope(
        name, unit, line.slope, line.intercept, max_deviation / max_value, sizes
    )


def format_slope(slope: Slope) -> str:
    """Returns the output line for a slope."""
    sizes = ','.join(str(size) for size in slope.sizes)
    return (
        f'slope name={slope.name} value={slope.slope:.6g} unit={slope.unit} '
        f'base={slope.base:.6g} residual={slope.residual:.3f} sizes={sizes}'
    )
