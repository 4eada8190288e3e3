"""What the settings of the two example deployments gain over the defaults."""

import dataclasses
import pathlib

from benchmarks import decisions_policies
from benchmarks import lines
from nutmegknot._internal.codec import policies as codec
from nutmegknot._internal.decisions import policies
from nutmegknot._internal.decisions import scheduling
from nutmegknot._internal.models import resources
from nutmegknot._internal.schema import settings_pb2
from nutmegknot._internal.settings import reader

EXAMPLES = pathlib.Path(__file__).parents[1] / 'examples'
# Seeds over which each figure is averaged, as the deployments are small.
SEEDS = 2
# Weights of the parts of each deployment's measure.
WAIT_WEIGHT = 0.5
WORK_WEIGHT = 0.5
SHARE_WEIGHT = 0.7
# Wait in s that counts as much as all work that could be done.
WORST_WAIT = 6.4
_GIB = 1024

TODAY = decisions_policies.Size(
    domains=3,
    workers=25,
    teams=6,
    services=20,
    backlog=300,
    arrivals=8.0,
    mean_run_ms=30_000,
)
MENON_VARGHESE = dataclasses.replace(
    TODAY,
    shapes=(
        resources.Resources(64_000, 256 * _GIB, 0, 8),
        resources.Resources(32_000, 64 * _GIB, 8, 8),
    ),
)
EZOKITA = dataclasses.replace(
    TODAY,
    shapes=(
        resources.Resources(16_000, 64 * _GIB, 0, 8),
        resources.Resources(128_000, 256 * _GIB, 8, 8),
    ),
)


def read_policy(name: str) -> policies.Policy:
    """Returns the policy of an example."""
    settings = reader.read_file(EXAMPLES / name)
    assert isinstance(settings, settings_pb2.Settings), settings
    return codec.decode_policy(settings.decisions)


def score_waits_and_work(seed: int, policy: policies.Policy) -> float:
    """Returns work during a domain's absence, less the urgent waits."""
    total = 0.0
    for number in range(SEEDS):
        result = decisions_policies.measure_domain_work(
            MENON_VARGHESE, scheduling.decide, seed + number, policy
        )
        wait = min(1.0, result.urgent_p99 / WORST_WAIT)
        total += WORK_WEIGHT * result.work + WAIT_WEIGHT * (1 - wait)
    return total / SEEDS


def score_shares(seed: int, policy: policies.Policy) -> float:
    """Returns nearness to shares, with the work that is not wasted."""
    total = 0.0
    for number in range(SEEDS):
        result = decisions_policies.measure_share_errors(
            EZOKITA, scheduling.decide, seed + number, policy
        )
        error = max(result.after, result.leaving)
        total += SHARE_WEIGHT * (1 - error)
        total += (1 - SHARE_WEIGHT) * (1 - result.wasted)
    return total / SEEDS


def measure_examples(seed: int) -> list[lines.Figure]:
    """Measures each example in its own weighted measure, from 0 to 1."""
    figures = []
    for name, score in (
        ('menon-varghese', score_waits_and_work),
        ('ezokita', score_shares),
    ):
        default = score(seed, policies.Policy())
        own = score(seed, read_policy(f'{name}.toml'))
        figures += [
            lines.Figure(f'{name}_default', default, 'parts'),
            lines.Figure(f'{name}_own', own, 'parts'),
            lines.Figure(f'{name}_gain', own - default, 'parts', '>=0'),
        ]
    return figures
