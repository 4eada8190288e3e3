"""Compares the settings of two example deployments with the defaults."""

import dataclasses
import pathlib

from benchmarks import decisions_policies
from benchmarks import measurements
from nutmegknot._internal.codec import policies as codec
from nutmegknot._internal.decisions import policies
from nutmegknot._internal.decisions import scheduling
from nutmegknot._internal.models import resources
from nutmegknot._internal.schema import settings_pb2
from nutmegknot._internal.settings import reader

EXAMPLES = pathlib.Path(__file__).parents[1] / 'examples'
# Number of seeds over which each score is averaged. The deployments are small,
# so that the result of a single seed varies much.
SEED_COUNT = 2
# Weight of the urgent waits in the score of menon-varghese.
WAIT_WEIGHT = 0.5
# Weight of the work done in the score of menon-varghese.
WORK_WEIGHT = 0.5
# Weight of the share error in the score of ezokita; wasted work has the rest.
SHARE_WEIGHT = 0.7
# An urgent wait of this length or more costs as much as all possible work.
WAIT_LIMIT_S = 6.4
_MIB_PER_GIB = 1024

SMALL_CELL = decisions_policies.CellSize(
    domains=3,
    workers=25,
    teams=6,
    services=20,
    backlog=300,
    arrivals=8.0,
    mean_run_ms=30_000,
)
MENON_VARGHESE = dataclasses.replace(
    SMALL_CELL,
    worker_capacities=(
        resources.Resources(64_000, 256 * _MIB_PER_GIB, 0, 8),
        resources.Resources(32_000, 64 * _MIB_PER_GIB, 8, 8),
    ),
)
EZOKITA = dataclasses.replace(
    SMALL_CELL,
    worker_capacities=(
        resources.Resources(16_000, 64 * _MIB_PER_GIB, 0, 8),
        resources.Resources(128_000, 256 * _MIB_PER_GIB, 8, 8),
    ),
)


def read_policy(name: str) -> policies.Policy:
    """Returns the scheduling policy in an example settings file."""
    settings = reader.read_file(EXAMPLES / name)
    assert isinstance(settings, settings_pb2.Settings), settings
    return codec.decode_policy(settings.decisions)


def score_waits_and_work(seed: int, policy: policies.Policy) -> float:
    """Scores work and urgent waits while a domain is closed and reopened."""
    total = 0.0
    for offset in range(SEED_COUNT):
        result = decisions_policies.measure_domain_outage(
            MENON_VARGHESE, scheduling.decide, seed + offset, policy
        )
        wait = min(1.0, result.urgent_p99 / WAIT_LIMIT_S)
        total += WORK_WEIGHT * result.work + WAIT_WEIGHT * (1 - wait)
    return total / SEED_COUNT


def score_shares(seed: int, policy: policies.Policy) -> float:
    """Scores the share error and the wasted work."""
    total = 0.0
    for offset in range(SEED_COUNT):
        result = decisions_policies.measure_share_errors(
            EZOKITA, scheduling.decide, seed + offset, policy
        )
        error = max(result.after, result.leaving)
        total += SHARE_WEIGHT * (1 - error)
        total += (1 - SHARE_WEIGHT) * (1 - result.wasted)
    return total / SEED_COUNT


def measure_examples(seed: int) -> list[measurements.Measurement]:
    """Measures the score of each example, from 0 to 1.

    Each example is scored by a function of its own.
    """
    results = []
    for name, compute_score in (
        ('menon-varghese', score_waits_and_work),
        ('ezokita', score_shares),
    ):
        default = compute_score(seed, policies.Policy())
        example = compute_score(seed, read_policy(f'{name}.toml'))
        results += [
            measurements.Measurement(f'{name}_default', default, 'parts'),
            measurements.Measurement(f'{name}_own', example, 'parts'),
            measurements.Measurement(
                f'{name}_gain', example - default, 'parts', '>=0'
            ),
        ]
    return results
