"""Run times of tasks, learned as a ratio to the callers' estimates.

Load pattern: the estimates of callers are off by up to 0.9, a few tasks of a
step take seven times as long as the others, and the work of a queue changes
over time. The runs of each queue and step number are alike, so their ratios of
run time to estimate are observed as one distribution in which old observations
lose weight. The speed of workers is taken out of the observations by the
caller; see decisions/worker_speeds.py.
"""

import math

from nutmegknot._internal.models import run_time_histograms

# Factor by which an observation weighs more than the one before it. The weight
# of an observation halves with each 173 further ones, and the weights add up to
# that of 250 new ones: the 90 % quantile of that many has a standard error of
# 2 % of the runs.
WEIGHT_GROWTH = 1 / (1 - 1 / 250)
# Weight above which all weights are scaled down; far below the largest float.
_MAX_WEIGHT = 1e9
# Number of observations that weigh as much as the caller's estimate.
ESTIMATE_RUNS = 8
# Quantiles are computed again once this part of all observations is new, and at
# the latest after _MAX_NEW_RUNS: ranking reads them far more often than runs
# end.
_NEW_RUNS_FRACTION = 0.05
_MAX_NEW_RUNS = 16
# Largest number of queues and steps that are observed; the one that was added
# first is forgotten. One takes about 2 KB.
_MAX_HISTOGRAMS = 2_000
# Progress in percent from which on the time left follows from it alone. It is
# rounded to whole percents, so that its error is below a tenth there.
MIN_RELIABLE_PERCENT = 10
_PERCENT = 100

_MIN_RATIO = 2.0**-run_time_histograms.OCTAVES
_MAX_RATIO = 2.0**run_time_histograms.OCTAVES


def record_run(
    run_times: run_time_histograms.RunTimes,
    queue: str,
    step_number: int,
    estimate_ms: int,
    run_ms: float,
) -> None:
    """Records the run time of a task that is done.

    Args:
      run_times: All observed run times.
      queue: Name of the queue of its job.
      step_number: Number of its step within the job.
      estimate_ms: The caller's estimate in ms; nothing is recorded if it is 0.
      run_ms: Run time in ms on a worker of usual speed.
    """
    if estimate_ms <= 0:
        return
    key = (queue, step_number)
    histogram = run_times.histograms.get(key)
    if histogram is None:
        if len(run_times.histograms) >= _MAX_HISTOGRAMS:
            del run_times.histograms[next(iter(run_times.histograms))]
        histogram = run_time_histograms.Histogram()
        run_times.histograms[key] = histogram
    ratio = min(_MAX_RATIO, max(_MIN_RATIO, run_ms / estimate_ms))
    # The ratio 1 is in the middle of a bucket, so that exact estimates are
    # returned unchanged.
    number = run_time_histograms.MIDDLE_BUCKET + round(
        math.log2(ratio) * run_time_histograms.BUCKETS_PER_OCTAVE
    )
    histogram.newest_weight *= WEIGHT_GROWTH
    if histogram.newest_weight > _MAX_WEIGHT:
        _scale_down(histogram)
    weight = histogram.newest_weight
    histogram.buckets[number] += weight
    histogram.total += weight
    histogram.ratio_sum += weight * ratio
    histogram.count += 1
    new_runs = histogram.count - histogram.count_at_quantiles
    if new_runs >= min(_MAX_NEW_RUNS, histogram.count * _NEW_RUNS_FRACTION):
        histogram.quantiles.clear()
        histogram.count_at_quantiles = histogram.count


def _scale_down(histogram: run_time_histograms.Histogram) -> None:
    factor = 1 / histogram.newest_weight
    histogram.newest_weight = 1.0
    histogram.buckets = [weight * factor for weight in histogram.buckets]
    histogram.total *= factor
    histogram.ratio_sum *= factor


def estimate_quantile_ms(
    run_times: run_time_histograms.RunTimes,
    queue: str,
    step_number: int,
    estimate_ms: int,
    quantile: float,
) -> int:
    """Returns the run time in ms that a part of the runs does not exceed.

    It is blended with the caller's estimate while few runs were observed, and
    is that estimate if there were none.

    Args:
      run_times: All observed run times.
      queue: Name of the queue.
      step_number: Number of the step within the job.
      estimate_ms: The caller's estimate in ms; if it is 0, so is the result.
      quantile: The part of the runs, from 0 to 1.
    """
    histogram = run_times.histograms.get((queue, step_number))
    if histogram is None or estimate_ms <= 0:
        return estimate_ms
    ratio = histogram.quantiles.get(quantile)
    if ratio is None:
        ratio = _blend(histogram, _compute_quantile(histogram, quantile))
        histogram.quantiles[quantile] = ratio
    return max(1, round(estimate_ms * ratio))


def estimate_mean_ms(
    run_times: run_time_histograms.RunTimes,
    queue: str,
    step_number: int,
    estimate_ms: int,
) -> int:
    """Returns the mean run time in ms, for sums over many runs.

    It is blended with the caller's estimate as a quantile is.
    """
    histogram = run_times.histograms.get((queue, step_number))
    if histogram is None or estimate_ms <= 0:
        return estimate_ms
    ratio = _blend(histogram, histogram.ratio_sum / histogram.total)
    return max(1, round(estimate_ms * ratio))


def _blend(histogram: run_time_histograms.Histogram, ratio: float) -> float:
    """Returns a ratio that is nearer to 1 the fewer runs were observed."""
    count = histogram.count
    return (count * ratio + ESTIMATE_RUNS) / (count + ESTIMATE_RUNS)


def _compute_quantile(
    histogram: run_time_histograms.Histogram, quantile: float
) -> float:
    """Returns a quantile of the ratio; buckets are filled evenly."""
    wanted = quantile * histogram.total
    below = 0.0
    highest = 0.0
    for number, weight in enumerate(histogram.buckets):
        if not weight:
            continue
        if below + weight >= wanted:
            return _compute_ratio(number - 0.5 + (wanted - below) / weight)
        below += weight
        highest = number
    # The sum of the weights may differ from their total by rounding.
    return _compute_ratio(highest + 0.5)


def _compute_ratio(number: float) -> float:
    octaves = number - run_time_histograms.MIDDLE_BUCKET
    return float(2.0 ** (octaves / run_time_histograms.BUCKETS_PER_OCTAVE))


def estimate_left_ms(
    age_ms: int, progress_percent: int, expected_ms: int
) -> int:
    """Returns the expected time in ms until a run ends.

    With little or no progress it follows from the expected run time. A run that
    has taken longer than that is expected to take as long again as it has.

    Args:
      age_ms: Time that the run has taken for its progress.
      progress_percent: Its progress, from 0 to 100.
      expected_ms: Its expected run time.
    """
    by_expected = expected_ms - age_ms if age_ms < expected_ms else age_ms
    if progress_percent <= 0:
        return by_expected
    if progress_percent >= _PERCENT:
        return 0
    # A listed percentage stands for half a percent more on average.
    done = progress_percent + 0.5
    by_progress = age_ms * (_PERCENT - done) / done
    trust = min(1.0, progress_percent / MIN_RELIABLE_PERCENT)
    return round(trust * by_progress + (1 - trust) * by_expected)
