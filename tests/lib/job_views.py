"""Helpers of tests that read the state of jobs and their runs."""

from lib import job_cells

from nutmegknot._internal.jobs import nodes
from nutmegknot._internal.jobs import owner_operations
from nutmegknot._internal.jobs import ownerships
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import outcomes


def get_ownership(node: nodes.Node) -> ownerships.Ownership:
    """Returns the ownership of the jobs of an instance that owns them."""
    assert node.ownership is not None
    return node.ownership


def get_state(
    node: nodes.Node, id: str, customer: str = ''
) -> jobs.JobState | outcomes.NotFound:
    """Returns the state of a job as the owner shows it."""
    return owner_operations.get_job_state(
        get_ownership(node), jobs.JobReference(id, customer)
    )


def list_runs(cell: job_cells.Cell, id: str) -> list[job_cells.StartedRun]:
    """Returns the runs of a job that workers started, in order."""
    return [s for s in cell.starts if s.name.job == id]
