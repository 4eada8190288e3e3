"""Run times of tasks as the owner of the jobs has observed them.

See decisions/run_times.py for what they are used for.
"""

import dataclasses

# Number of buckets for each doubling of the ratio of run time to estimate. A
# bucket is 9 % wide.
BUCKETS_PER_OCTAVE = 8
# Number of doublings on either side of the ratio 1 that are told apart. Tasks
# that take 7 times as long as others, with estimates off by 0.9, have a ratio
# of about 70; 2 ** 7 is above it.
OCTAVES = 7
# Number of the bucket in the middle of which the ratio 1 is.
MIDDLE_BUCKET = OCTAVES * BUCKETS_PER_OCTAVE
BUCKET_COUNT = 2 * MIDDLE_BUCKET + 1


def _make_buckets() -> list[float]:
    return [0.0] * BUCKET_COUNT


@dataclasses.dataclass(slots=True)
class Histogram:
    """Ratios of run time to the caller's estimate, newer ones weighing more.

    Attributes:
      count: Number of runs observed.
      newest_weight: Weight of the newest observation; it grows by a factor with
        each one.
      total: Sum of the weights.
      ratio_sum: Sum of the ratios, each times its weight.
      buckets: Weight of the observations in each bucket. The width of a bucket
        is a constant part of the ratio.
      quantiles: Quantiles of the ratio that were computed lately.
      count_at_quantiles: Value of `count` when these were last discarded.
    """

    count: int = 0
    newest_weight: float = 1.0
    total: float = 0.0
    ratio_sum: float = 0.0
    buckets: list[float] = dataclasses.field(default_factory=_make_buckets)
    quantiles: dict[float, float] = dataclasses.field(default_factory=dict)
    count_at_quantiles: int = 0


@dataclasses.dataclass(slots=True)
class RunTimes:
    """Observed run times of all queues.

    Attributes:
      histograms: One for each queue and number of a step.
    """

    histograms: dict[tuple[str, int], Histogram] = dataclasses.field(
        default_factory=dict
    )
