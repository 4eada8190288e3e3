"""Builds minicheck models whose states are named tuples."""

from collections.abc import Callable
from typing import Any
from typing import NamedTuple

import minicheck


def make_model(
    name: str,
    initial: NamedTuple,
    list_transitions: Callable[[Any], list[tuple[str, Any]]],
    invariants: dict[str, Callable[[dict[str, Any]], bool]],
) -> minicheck.Protocol:
    """Returns a model.

    Args:
      name: Name of the model.
      initial: Initial state.
      list_transitions: Returns the label and the resulting state of each
        transition that is possible in a state.
      invariants: Predicates by name. Each gets the fields of a state by name
        and must be true in every reachable state.
    """
    state_type = type(initial)

    def list_next(state: tuple) -> list[tuple[str, tuple]]:
        transitions = list_transitions(state_type(*state))
        return [(label, tuple(after)) for label, after in transitions]

    return minicheck.Protocol(
        name=name,
        candidate=False,
        fields=initial._fields,
        initial=tuple(initial),
        transitions=list_next,
        invariants=invariants,
    )
