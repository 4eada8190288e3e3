"""Conversion of settings into the parameters of scheduling decisions."""

from nutmegknot._internal.decisions import policies
from nutmegknot._internal.schema import settings_pb2

_PERMILLE_OF_ONE = 1_000


def decode_policy(message: settings_pb2.DecisionSettings) -> policies.Policy:
    """Returns the parameters of scheduling decisions from the settings."""
    return policies.Policy(
        ageing_ms=message.ageing_ms,
        aged_turn=message.aged_turn,
        reserve_after_ms=message.reserve_after_ms,
        reservations=message.reservations,
        candidates=message.candidates,
        min_run_ms=message.min_run_ms,
        urgent_after_ms=message.urgent_after_ms,
        share_after_ms=message.share_after_ms,
        share_margin=message.share_margin_permille / _PERMILLE_OF_ONE,
        preempt_batch=message.preempt_batch_permille / _PERMILLE_OF_ONE,
        drain_ms=message.drain_ms,
        finish_ms=message.finish_ms,
        ramp_ms=message.ramp_ms,
        task_failures=message.task_failures,
        probation_score=float(message.worker_failures),
        failure_half_life_ms=message.failure_half_life_ms,
    )
