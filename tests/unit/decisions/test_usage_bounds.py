"""Tests the bounds of customers' usage and the ceilings that follow."""

import random

from nutmegknot._internal.decisions import usage_bounds
from nutmegknot._internal.models import cluster_state
from nutmegknot._internal.models import job_settings
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import resources
from nutmegknot._internal.models import usage_ceilings

LIMIT = resources.Resources(80_000, 160_000, 8)


def make_cluster(
    used: resources.Resources, inherited: usage_ceilings.Ceilings | None
) -> cluster_state.ClusterState:
    customer = job_settings.Customer('c', limit=LIMIT)
    settings = job_settings.JobSettings(customers={'c': customer})
    cluster = cluster_state.ClusterState(2, 0, settings)
    cluster.usage['c'] = used
    cluster.ceilings.inherited = inherited
    return cluster


def choose(
    used: resources.Resources,
    present: resources.Resources,
    needed: resources.Resources = resources.ZERO,
    limit: resources.Resources = LIMIT,
) -> resources.Resources:
    return usage_bounds.choose_ceilings(
        {'c': job_settings.Customer('c', limit=limit)},
        {'c': used},
        {'c': needed},
        {'c': present},
    )['c']


def test_the_bound_is_the_usage_once_all_runs_are_found() -> None:
    used = resources.Resources(5_000, 1_000)
    cluster = make_cluster(used, None)
    assert usage_bounds.compute_bounds(cluster) == {'c': used}


def test_unfound_runs_take_what_the_ceiling_leaves() -> None:
    ceiling = resources.Resources(50_000, 60_000, 4)
    found = resources.Resources(20_000, 70_000, 1)
    cluster = make_cluster(resources.Resources(12_000, 9_000), {'c': ceiling})
    usage_ceilings.record_found_run(cluster.ceilings, 'c', found)
    assert usage_bounds.compute_bounds(cluster) == {
        'c': resources.Resources(42_000, 9_000, 3)
    }


def test_without_a_ceiling_the_whole_limit_may_be_in_use() -> None:
    used = resources.Resources(1_000, 1_000)
    ceiling = resources.Resources(50_000, 0, 4)
    assert usage_bounds.compute_bounds(make_cluster(used, {})) == {
        'c': resources.add(used, LIMIT)
    }
    assert usage_bounds.compute_bounds(make_cluster(used, {'c': ceiling})) == {
        'c': resources.Resources(51_000, 161_000, 4)
    }


def test_usage_keeps_to_the_lower_one_of_two_ceilings() -> None:
    ceilings = usage_ceilings.UsageCeilings(
        stored={'c': resources.Resources(50_000, 60_000, 0)},
        pending={
            'c': resources.Resources(40_000, 70_000, 2),
            'd': resources.Resources(1_000),
        },
    )
    assert usage_bounds.get_ceilings(ceilings) == {
        'c': resources.Resources(40_000, 60_000, 2),
        'd': resources.Resources(1_000),
    }


def test_a_ceiling_is_raised_before_the_usage_reaches_it() -> None:
    present = resources.Resources(40_000, 40_000, 4)
    near = resources.Resources(31_000, 10_000, 1)
    assert choose(near, present).millicores > 40_000
    far = resources.Resources(29_000, 10_000, 1)
    assert choose(far, present) == present


def test_a_ceiling_is_raised_for_tasks_that_need_more_at_once() -> None:
    present = resources.Resources(20_000, 40_000, 4)
    chosen = choose(resources.ZERO, present, resources.Resources(70_000))
    assert chosen.millicores >= 70_000


def test_a_ceiling_follows_a_limit_that_fell_below_the_usage() -> None:
    used = resources.Resources(50_000, 10_000, 1)
    lower = resources.Resources(30_000, 160_000, 8)
    present = resources.Resources(80_000, 40_000, 4)
    assert choose(used, present, limit=lower).millicores == 50_000


def test_ceilings_cover_the_usage_and_change_seldom() -> None:
    """Usage drifts; a ceiling is never below it nor above what is allowed."""
    rng = random.Random(28)
    used, present, changes = 0, resources.ZERO, 0
    for _ in range(2_000):
        used = max(0, min(80_000, used + rng.randint(-2_000, 2_000)))
        chosen = choose(resources.Resources(used, used, 0), present)
        assert used <= chosen.millicores <= LIMIT.millicores
        assert chosen.millicores >= min(80_000, used + 10_000)
        changes += chosen != present
        present = chosen
    assert changes < 200


def test_unfound_runs_take_no_more_than_the_tasks_that_may_have_one() -> None:
    cluster = make_cluster(resources.ZERO, {'c': LIMIT})
    step = jobs.Step(4, resources.Resources(3_000, 1_000))
    for id, epoch in (('before', 1), ('now', 2)):
        spec = jobs.JobSpec(id, 'queue', 'c', '', (step, step), epoch=epoch)
        job = jobs.Job(spec)
        job.stages[0, 0] = jobs.make_stage(0, 0, step)
        job.stages[0, 0].tasks[0].phase = jobs.TaskPhase.DONE
        job.stages[0, 0].tasks[1].phase = jobs.TaskPhase.RUNNING
        job.inherited_stopping = resources.Resources(500)
        cluster.jobs[id] = job
    cluster.ceilings.unlocated = usage_bounds.compute_unlocated(cluster)
    expected = resources.Resources(6 * 3_000 + 500, 6_000)
    assert usage_bounds.compute_bounds(cluster) == {'c': expected}
    usage_ceilings.record_found_run(cluster.ceilings, 'c', step.size)
    assert usage_bounds.compute_bounds(cluster) == {
        'c': resources.subtract(expected, step.size)
    }


def test_a_job_that_had_ended_counts_only_runs_that_are_being_stopped() -> None:
    cluster = make_cluster(resources.ZERO, {'c': LIMIT})
    spec = jobs.JobSpec(
        'a',
        'queue',
        'c',
        '',
        (jobs.Step(4, resources.Resources(3_000)),),
        epoch=1,
    )
    job = jobs.Job(spec, jobs.JobState.CANCELLED)
    job.persisted_final_state = jobs.JobState.CANCELLED
    job.inherited_stopping = resources.Resources(6_000)
    cluster.jobs['a'] = job
    assert usage_bounds.compute_unlocated(cluster) == {
        'c': resources.Resources(6_000)
    }
