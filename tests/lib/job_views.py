"""Helpers of tests that read the state of jobs and their runs."""

from lib import job_cells

from nutmegknot._internal.jobs import accepting
from nutmegknot._internal.jobs import nodes
from nutmegknot._internal.jobs import ownerships
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import outcomes


def get_own(node: nodes.Node) -> ownerships.Ownership:
    """Returns the ownership of the jobs of an instance that owns them."""
    assert node.own is not None
    return node.own


def get_state(
    node: nodes.Node, id: str, customer: str = ''
) -> jobs.JobState | outcomes.NotFound:
    """Returns the state of a job as the owner shows it."""
    return accepting.look(get_own(node), id, customer)


def list_runs(cell: job_cells.Cell, id: str) -> list[job_cells.StartedRun]:
    """Returns the runs of a job that workers started, in order."""
    return [s for s in cell.starts if s.name.job == id]
