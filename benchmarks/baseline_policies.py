"""Naive deciders, as baselines: FIFO with first fit or random fit."""

from collections.abc import Callable
import random

from nutmegknot._internal.decisions import holdings
from nutmegknot._internal.decisions import scheduling
from nutmegknot._internal.decisions import states
from nutmegknot._internal.models import partitions
from nutmegknot._internal.models import requests
from nutmegknot._internal.models import resources
from nutmegknot._internal.models import workers

Decide = Callable[[scheduling.Scheduler, int], list[scheduling.Decision]]
Choose = Callable[[scheduling.Scheduler, resources.Resources], str | None]


def choose_first(
    sched: scheduling.Scheduler, size: resources.Resources
) -> str | None:
    """Returns the first worker that has room."""
    for worker_id in sched.machines:
        if resources.fits(size, sched.free[worker_id]):
            return worker_id
    return None


def make_random_choice(rng: random.Random) -> Choose:
    """Returns a function that chooses any worker that has room."""

    def choose(
        sched: scheduling.Scheduler, size: resources.Resources
    ) -> str | None:
        fitting = [
            worker_id
            for worker_id in sched.machines
            if resources.fits(size, sched.free[worker_id])
        ]
        return rng.choice(fitting) if fitting else None

    return choose


def make_fifo(choose: Choose, *, stops: bool) -> Decide:
    """Returns a decider in order of arrival.

    Args:
      choose: Chooses a worker.
      stops: Whether a request without room keeps those behind it waiting;
        without that every waiting request is tried each time.
    """

    def decide(
        sched: scheduling.Scheduler, now_ms: int
    ) -> list[scheduling.Decision]:
        decisions: list[scheduling.Decision] = []
        for key, given in list(sched.waiting.items()):
            places = _place(sched, given, choose, now_ms)
            if places is not None:
                scheduling.remove_waiting(sched, key)
                decisions.append(scheduling.Place(key, places))
            elif stops:
                break
        return decisions

    return decide


def _place(
    sched: scheduling.Scheduler,
    given: partitions.Assignment,
    choose: Choose,
    now_ms: int,
) -> tuple[str, ...] | None:
    req = given.req
    key = requests.get_key(req)
    run = states.Run(given, now_ms, req.run_ms, set(), req.size)
    chosen: list[str] = []
    for member in range(req.members):
        worker_id = choose(sched, req.size)
        if worker_id is None:
            for task in run.members:
                holdings.free(sched, task)
            return None
        task = workers.TaskId(key, member, given.attempt)
        scheduling.hold(sched, task, states.Held(worker_id, req.team, req.size))
        run.members.add(task)
        chosen.append(worker_id)
    holdings.note_running(sched, run)
    return tuple(chosen)
