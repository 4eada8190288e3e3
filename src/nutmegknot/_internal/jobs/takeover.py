"""Takeover of the jobs: reads and writes the owner row, loads the jobs."""

import dataclasses
import logging

from google.protobuf import message as message_lib

from nutmegknot._internal.backing import tables
from nutmegknot._internal.decisions import crash_trials
from nutmegknot._internal.decisions import stage_ranking
from nutmegknot._internal.jobs import early_cancels as early_cancels_lib
from nutmegknot._internal.jobs import rows
from nutmegknot._internal.jobs import starts
from nutmegknot._internal.models import cluster_state
from nutmegknot._internal.models import job_settings
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import resources
from nutmegknot._internal.models import workers
from nutmegknot._internal.schema import jobs_pb2
from nutmegknot._internal.utils import work_slices

logger = logging.getLogger(__name__)

LOAD_READ_TIMEOUT_MS = 2_000


@dataclasses.dataclass(slots=True, frozen=True)
class VersionedOwnerRow:
    """The owner row with its version in the table.

    Attributes:
      row: The row; empty if there is none.
      version: Its version; tables.ABSENT if there is none.
    """

    row: jobs_pb2.JobsOwnerRow
    version: int


async def read_owner(
    table: tables.Table, timeout_ms: int
) -> VersionedOwnerRow | None:
    """Returns the owner row, or None if it can't be read."""
    result = await table.transact(
        tables.Transaction(reads=(rows.OWNER_KEY,)), timeout_ms
    )
    if not isinstance(result, tables.Committed):
        return None
    row = result.rows.get(rows.OWNER_KEY)
    owner = jobs_pb2.JobsOwnerRow()
    if row is None:
        return VersionedOwnerRow(owner, tables.ABSENT)
    try:
        owner.ParseFromString(row.value)
    except message_lib.DecodeError as error:
        logger.error('owner_row_unreadable', extra={'why': str(error)})
        return None
    return VersionedOwnerRow(owner, row.version)


async def take_over(
    table: tables.Table,
    found: VersionedOwnerRow,
    holder: str,
    address: str,
    timeout_ms: int,
) -> VersionedOwnerRow | None:
    """Writes a new holder into the owner row.

    Args:
      table: The platform's table service.
      found: The owner row as it was read; the write fails if it has changed.
      holder: Id of the new owner.
      address: Address of the new owner.
      timeout_ms: Time-out of the write.

    Returns:
      The new row, or None if the write failed or its outcome is unknown.
    """
    row = jobs_pb2.JobsOwnerRow(
        epoch=found.row.epoch + 1,
        holder=holder,
        address=address,
        keeps_ceilings=True,
    )
    writes = [tables.Write(rows.OWNER_KEY, row.SerializeToString())]
    if not found.row.keeps_ceilings:
        # The owner before may have exceeded ceilings of an earlier one.
        writes.append(tables.Write(rows.CEILINGS_KEY, None))
    result = await table.transact(
        tables.Transaction(
            (tables.Condition(rows.OWNER_KEY, found.version),), tuple(writes)
        ),
        timeout_ms,
    )
    if isinstance(result, tables.Committed):
        return VersionedOwnerRow(row, result.versions[rows.OWNER_KEY])
    if isinstance(result, tables.Uncertain):
        # The next reading of the row shows whether the write took effect.
        logger.warning('takeover_uncertain', extra={'why': result.detail})
    return None


@dataclasses.dataclass(slots=True, frozen=True)
class LoadedState:
    """What earlier owners have written.

    Attributes:
      cluster: State of jobs and workers.
      part_counts: Number of rows that each long value in the table takes after
        its first one.
      early_cancels: Cancels of jobs that were not known.
    """

    cluster: cluster_state.ClusterState
    part_counts: dict[str, int]
    early_cancels: early_cancels_lib.EarlyCancels


async def load_state(
    table: tables.Table,
    epoch: int,
    now_ms: int,
    settings: job_settings.JobSettings,
) -> LoadedState | tables.Unavailable:
    """Returns the state of jobs and workers that earlier owners have written.

    Args:
      table: The platform's table service.
      epoch: Number of the new ownership.
      now_ms: Time now, by this instance's clock.
      settings: Operators' settings in force.

    Returns:
      The state, or why it could not be read. Rows that can't be decoded are
      logged and left out.

    Load pattern: a large backlog takes longer to decode than the lease on the
    ownership lasts, which has to be renewed meanwhile.
    """
    found: list[tables.Row] = []
    for prefix in (
        rows.JOB_PREFIX,
        rows.PROGRESS_PREFIX,
        rows.ROSTER_KEY,
        rows.CEILINGS_KEY,
    ):
        scanned = await table.scan(prefix, LOAD_READ_TIMEOUT_MS)
        if isinstance(scanned, tables.Unavailable):
            return scanned
        found += scanned
    cancels = await table.scan(rows.EARLY_CANCEL_PREFIX, LOAD_READ_TIMEOUT_MS)
    if isinstance(cancels, tables.Unavailable):
        return cancels
    cluster = cluster_state.ClusterState(epoch, now_ms, settings)
    joined = rows.join_rows(found)
    _read_roster(cluster, joined.values.pop(rows.ROSTER_KEY, None))
    _read_ceilings(cluster, joined.values.pop(rows.CEILINGS_KEY, None))
    work = work_slices.WorkSlice()
    for key, value in joined.values.items():
        if not key.startswith(rows.JOB_PREFIX):
            continue
        job = rows.decode_job(value)
        if job is None:
            logger.error('job_row_unreadable', extra={'key': key})
            continue
        progress = joined.values.get(rows.get_progress_key(job.spec.id))
        if progress is not None and not rows.apply_progress(job, progress):
            logger.error('progress_row_unreadable', extra={'key': key})
            continue
        _add_job(cluster, job, now_ms)
        await work_slices.record_work(work, measure_job(job))
    return LoadedState(
        cluster,
        joined.part_counts,
        early_cancels_lib.load_cancels(cancels, now_ms),
    )


def measure_job(job: jobs.Job) -> int:
    """Returns how many units of work it takes to load a job or open it."""
    return (
        1
        + len(job.spec.steps)
        + sum(len(stage.tasks) for stage in job.stages.values())
    )


def _read_roster(
    cluster: cluster_state.ClusterState, value: bytes | None
) -> None:
    """Adds the workers on which earlier owners may have started runs."""
    if value is None:
        return
    found = rows.decode_roster(value)
    if found is None:
        logger.error('roster_unreadable', extra={'bytes': len(value)})
        return
    cluster.predecessor_workers = found


def _read_ceilings(
    cluster: cluster_state.ClusterState, value: bytes | None
) -> None:
    """Reads the ceilings to which the owner before kept.

    The first owner ever finds no runs of others.
    """
    if cluster.epoch == 1:
        return
    stored = None if value is None else rows.decode_ceilings(value)
    if value is not None and stored is None:
        logger.error('ceilings_unreadable', extra={'bytes': len(value)})
    cluster.ceilings.stored = stored or {}
    cluster.ceilings.inherited = stored or {}


def _add_job(
    cluster: cluster_state.ClusterState, job: jobs.Job, now_ms: int
) -> None:
    """Adds a job, and sets the number of the last known run of each task."""
    job.known_since_ms = now_ms
    job.critical_path_ms = jobs.compute_critical_path(job.spec.steps)
    stage_ranking.estimate_job(
        cluster, cluster_state.get_queue(cluster, job.spec), job
    )
    cluster.jobs[job.spec.id] = job
    if jobs.is_final(job):
        return
    max_earlier_run = (cluster.epoch - 1) * starts.RUN_NUMBERS_PER_EPOCH
    for stage in job.stages.values():
        for task in stage.tasks:
            name = cluster_state.make_task_name(job, stage, task.index)
            _add_crashes(cluster, name, task, now_ms)
            task.run = max((*task.failed_runs, *task.crashes), default=0)
            if task.run > max_earlier_run:
                logger.error(
                    'run_number_ahead',
                    extra={'job': job.spec.id, 'run': task.run},
                )


def _add_crashes(
    cluster: cluster_state.ClusterState,
    name: jobs.TaskName,
    task: jobs.Task,
    now_ms: int,
) -> None:
    """Registers the crashes of a task, and its trial if one was in progress.

    Whether the worker of the trial has crashed shows when it answers.
    """
    for crash in task.crashes.values():
        key = (crash.worker, crash.life)
        cluster.tasks_by_crash.setdefault(key, set()).add(name)
    trial, task.trial = task.trial, None
    if trial is None:
        return
    missing = cluster.missing_workers.get(trial.worker)
    if missing is None:
        worker = workers.Worker(
            trial.worker,
            region='',
            domain='',
            rack='',
            capacity=resources.ZERO,
            address=trial.address,
            life=trial.life,
        )
        missing = cluster_state.MissingWorker(worker, [], now_ms)
        cluster.missing_workers[trial.worker] = missing
    missing.runs.append(
        cluster_state.InterruptedRun(
            name,
            trial.run,
            survived_ms=trial.survived_ms,
            is_on_trial=trial.survived_ms < crash_trials.STARTUP_MS
            and crash_trials.needs_trial(task),
            is_confirmed=trial.was_confirmed,
            is_age_known=trial.survived_ms > 0,
        )
    )
