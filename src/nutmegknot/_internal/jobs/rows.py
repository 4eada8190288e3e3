"""Keys and encoding of the rows that the owner of the jobs writes."""

from collections.abc import Iterable
import dataclasses

from google.protobuf import message as message_lib

from nutmegknot._internal.backing import tables
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import resources
from nutmegknot._internal.models import usage_ceilings
from nutmegknot._internal.models import workers
from nutmegknot._internal.schema import jobs_pb2

OWNER_KEY = 'jobs/owner'
JOB_PREFIX = 'jobs/job/'
PROGRESS_PREFIX = 'jobs/progress/'
EARLY_CANCEL_PREFIX = 'jobs/cancel/'
ROSTER_KEY = 'jobs/roster'
CEILINGS_KEY = 'jobs/ceilings'
# Largest number of tasks of a job whose crashes and trials are written.
MAX_WRITTEN_SUSPECTS = 60
# Longest value with a job's specification in bytes; longer jobs are refused, as
# it is written in one call to the store.
MAX_JOB_BYTES = 262_144
_PART_INFIX = '/part/'

_STATES_BY_NUMBER = {
    jobs_pb2.ProgressRow.COMPLETED: jobs.JobState.COMPLETED,
    jobs_pb2.ProgressRow.FAILED: jobs.JobState.FAILED,
    jobs_pb2.ProgressRow.CANCELLED: jobs.JobState.CANCELLED,
}
_NUMBERS_BY_STATE = {
    state: number for number, state in _STATES_BY_NUMBER.items()
}


def get_job_key(job_id: str) -> str:
    """Returns the key of the row with a job's specification."""
    return f'{JOB_PREFIX}{job_id}'


def get_progress_key(job_id: str) -> str:
    """Returns the key of the row with a job's progress."""
    return f'{PROGRESS_PREFIX}{job_id}'


def get_early_cancel_key(digest: str) -> str:
    """Returns the key of the row with the cancel of an unknown job.

    Args:
      digest: Digest of the customer and the id of the job.
    """
    return f'{EARLY_CANCEL_PREFIX}{digest}'


def encode_early_cancel(epoch: int, cancelled_ms: int) -> bytes:
    """Returns the row with the cancel of an unknown job.

    Args:
      epoch: Number of the ownership in which it was acknowledged.
      cancelled_ms: When that was, in ms since the Unix epoch.
    """
    row = jobs_pb2.EarlyCancelRow(epoch=epoch, cancelled_ms=cancelled_ms)
    return row.SerializeToString()


def encode_removal() -> bytes | None:
    """Returns the value of a row that is to be removed."""
    return None


def is_valid_id(job_id: str) -> bool:
    """Tells whether a job's id can't be taken for a further row of another."""
    return '/' not in job_id


def get_part_key(key: str, number: int) -> str:
    """Returns the key of a further row of a long value.

    Args:
      key: Key of the first row.
      number: Number of the row, from 1 for the one after the first.
    """
    return f'{key}{_PART_INFIX}{number:04}'


def split_value(
    key: str, value: bytes | None, max_bytes: int
) -> dict[str, bytes | None]:
    """Returns the rows that keep a value, which may be longer than one row.

    Args:
      key: Key of the first row.
      value: The value; None to remove the row.
      max_bytes: Longest value of one row.
    """
    if value is None:
        return {key: None}
    pieces: dict[str, bytes | None] = {key: value[:max_bytes]}
    for number, start in enumerate(range(max_bytes, len(value), max_bytes), 1):
        pieces[get_part_key(key, number)] = value[start : start + max_bytes]
    return pieces


@dataclasses.dataclass(slots=True, frozen=True)
class JoinedRows:
    """Values that were read, put together from their rows.

    Attributes:
      values: Values by key of the first row.
      part_counts: Number of further rows of each value that has some.
    """

    values: dict[str, bytes]
    part_counts: dict[str, int]


def join_rows(found: Iterable[tables.Row]) -> JoinedRows:
    """Returns the values of rows that were read in the order of their keys.

    Further rows without a first one belong to a value that was removed.
    """
    joined = JoinedRows({}, {})
    pieces: dict[str, list[bytes]] = {}
    for row in found:
        key, infix, _ = row.key.partition(_PART_INFIX)
        if not infix:
            pieces[key] = [row.value]
            continue
        joined.part_counts[key] = joined.part_counts.get(key, 0) + 1
        if key in pieces:
            pieces[key].append(row.value)
    for key, values in pieces.items():
        joined.values[key] = b''.join(values)
    return joined


def encode_spec(spec: jobs.JobSpec) -> jobs_pb2.JobRow:
    """Returns the message with a job's specification."""
    return jobs_pb2.JobRow(
        id=spec.id,
        queue=spec.queue,
        customer=spec.customer,
        payload=spec.payload,
        steps=[_encode_step(step) for step in spec.steps],
        start_at_ms=spec.start_at_ms,
        interval_ms=spec.interval_ms,
        occurrences=spec.occurrences,
        accepted_ms=spec.accepted_ms,
        epoch=spec.epoch,
        pool=spec.pool,
        attempts=spec.max_failed_runs,
        priority=spec.priority,
        needs_tickets=spec.needs_tickets,
    )


def measure_spec(spec: jobs.JobSpec) -> int:
    """Returns the length of the row with a job's specification in bytes."""
    return encode_spec(spec).ByteSize()


def decode_spec(row: jobs_pb2.JobRow) -> jobs.JobSpec:
    """Returns the job's specification from its message."""
    return jobs.JobSpec(
        id=row.id,
        queue=row.queue,
        customer=row.customer,
        payload=row.payload,
        steps=tuple(_decode_step(step) for step in row.steps),
        start_at_ms=row.start_at_ms,
        interval_ms=row.interval_ms,
        occurrences=row.occurrences,
        accepted_ms=row.accepted_ms,
        epoch=row.epoch,
        pool=row.pool,
        max_failed_runs=row.attempts,
        priority=row.priority,
        needs_tickets=row.needs_tickets,
    )


def _encode_step(step: jobs.Step) -> jobs_pb2.StepPart:
    part = jobs_pb2.StepPart(
        count=step.count,
        millicores=step.size.millicores,
        memory_mib=step.size.memory_mib,
        accelerators=step.size.accelerators,
        estimate_ms=step.estimate_ms,
        after=step.depends_on,
        saves_progress=step.makes_checkpoints,
        all_at_once=step.is_gang,
        one_rack=step.same_rack,
        label=step.required_label,
        data_rack=step.data_rack,
        per_worker=step.max_per_worker,
        speculative=step.speculative,
        lasting=step.is_long_running,
        image=step.image,
        tail_target_ms=step.tail_latency_target_ms,
        fills=step.is_opportunistic,
    )
    if step.max_unavailable is not None:
        part.may_miss = step.max_unavailable
    return part


def _decode_step(part: jobs_pb2.StepPart) -> jobs.Step:
    return jobs.Step(
        count=part.count,
        size=resources.Resources(
            part.millicores, part.memory_mib, part.accelerators
        ),
        estimate_ms=part.estimate_ms,
        depends_on=tuple(part.after),
        makes_checkpoints=part.saves_progress,
        is_gang=part.all_at_once,
        same_rack=part.one_rack,
        required_label=part.label,
        data_rack=part.data_rack,
        max_per_worker=part.per_worker,
        speculative=part.speculative,
        is_long_running=part.lasting,
        image=part.image,
        tail_latency_target_ms=part.tail_target_ms,
        is_opportunistic=part.fills,
        max_unavailable=part.may_miss if part.HasField('may_miss') else None,
    )


def encode_job(job: jobs.Job) -> bytes:
    """Returns the row with a job's specification.

    It leaves out the steps and the payload of a job that has ended, since they
    are not needed any more.
    """
    row = encode_spec(job.spec)
    if jobs.is_final(job):
        row.payload = ''
        del row.steps[:]
    return row.SerializeToString()


def encode_progress(job: jobs.Job) -> bytes:
    """Returns the row with a job's progress: its state and its stages."""
    row = jobs_pb2.ProgressRow(
        state=_NUMBERS_BY_STATE.get(job.state, jobs_pb2.ProgressRow.ACTIVE),
        ended_ms=job.ended_ms,
    )
    stopping = resources.add(job.inherited_stopping, jobs.compute_stopping(job))
    if stopping != resources.ZERO:
        row.stopping.CopyFrom(
            jobs_pb2.Amount(
                millicores=stopping.millicores,
                memory_mib=stopping.memory_mib,
                accelerators=stopping.accelerators,
            )
        )
    if not jobs.is_final(job):
        suspects = _choose_suspects(job)
        for stage in job.stages.values():
            part = _encode_stage(stage, suspects)
            if part is not None:
                row.stages.append(part)
    return row.SerializeToString()


def _choose_suspects(job: jobs.Job) -> set[int]:
    """Chooses the tasks whose crashes and trials are written.

    Returns:
      Their identities; at most MAX_WRITTEN_SUSPECTS of the job.
    """
    suspects = [
        task
        for stage in job.stages.values()
        for task in stage.tasks
        if task.crashes or task.trial is not None
    ]
    suspects.sort(
        key=lambda task: (len(task.crashes), task.trial is not None),
        reverse=True,
    )
    return {id(task) for task in suspects[:MAX_WRITTEN_SUSPECTS]}


def _encode_stage(
    stage: jobs.Stage, suspects: set[int]
) -> jobs_pb2.StageProgress | None:
    """Returns the progress of a stage.

    Args:
      stage: The stage.
      suspects: Identities of the tasks whose crashes and trials are written.

    Returns:
      Which tasks are done, failed runs, checkpoints, crashes and trials; None
      if there are none.
    """
    part = jobs_pb2.StageProgress(
        occurrence=stage.occurrence, step=stage.number
    )
    empty_size = part.ByteSize()
    for task in stage.tasks:
        if task.phase is jobs.TaskPhase.DONE:
            part.done.append(task.index)
            continue
        if task.failed_runs:
            part.failures[task.index].runs.extend(sorted(task.failed_runs))
        if task.checkpoint:
            part.checkpoints[task.index] = task.checkpoint
        if id(task) in suspects:
            _encode_crashes(part, task)
    if part.ByteSize() > empty_size:
        return part
    return None


def _encode_crashes(part: jobs_pb2.StageProgress, task: jobs.Task) -> None:
    if task.crashes:
        part.crashes[task.index].runs.extend(
            jobs_pb2.CrashedRun(
                run=run,
                worker=crash.worker,
                life=crash.life,
                suspect=crash.is_suspect,
                only_suspect=crash.is_only_suspect,
                confirmed=crash.is_confirmed,
                survived_ms=crash.survived_ms,
                explained=crash.is_explained,
                age_unknown=not crash.is_age_known,
            )
            for run, crash in sorted(task.crashes.items())
        )
    if task.trial is not None:
        part.trials[task.index].CopyFrom(
            jobs_pb2.TrialRun(
                run=task.trial.run,
                worker=task.trial.worker,
                life=task.trial.life,
                address=task.trial.address,
                confirmed=task.started_clock_ms > 0,
                survived_ms=task.trial.survived_ms,
            )
        )


def encode_roster(roster: Iterable[workers.Worker]) -> bytes:
    """Returns the row of the workers on which the owner may start runs."""
    row = jobs_pb2.RosterRow(
        workers=[
            jobs_pb2.RosterWorker(
                id=worker.id,
                address=worker.address,
                life=worker.life,
                pool=worker.pool,
                region=worker.region,
                domain=worker.domain,
            )
            for worker in roster
        ]
    )
    return row.SerializeToString()


def decode_roster(value: bytes) -> list[workers.Worker] | None:
    """Returns the workers of a row, or None if it can't be decoded.

    The row does not keep the capacity and the rack of a worker.
    """
    row = jobs_pb2.RosterRow()
    try:
        row.ParseFromString(value)
    except message_lib.DecodeError:
        return None
    return [
        workers.Worker(
            id=part.id,
            region=part.region,
            domain=part.domain,
            rack='',
            capacity=resources.ZERO,
            address=part.address,
            state=workers.TargetState.GONE,
            pool=part.pool,
            life=part.life,
        )
        for part in row.workers
    ]


def encode_ceilings(ceilings: usage_ceilings.Ceilings) -> bytes:
    """Returns the row of the ceilings of customers' usage."""
    row = jobs_pb2.CeilingsRow(
        customers=[
            jobs_pb2.CustomerCeiling(
                customer=customer,
                millicores=ceiling.millicores,
                memory_mib=ceiling.memory_mib,
                accelerators=ceiling.accelerators,
            )
            for customer, ceiling in ceilings.items()
        ]
    )
    return row.SerializeToString()


def decode_ceilings(value: bytes) -> usage_ceilings.Ceilings | None:
    """Returns the ceilings of a row, or None if it can't be decoded."""
    row = jobs_pb2.CeilingsRow()
    try:
        row.ParseFromString(value)
    except message_lib.DecodeError:
        return None
    return {
        part.customer: resources.Resources(
            part.millicores, part.memory_mib, part.accelerators
        )
        for part in row.customers
    }


def decode_job(value: bytes) -> jobs.Job | None:
    """Returns the job of a row, or None if the row can't be decoded."""
    row = jobs_pb2.JobRow()
    try:
        row.ParseFromString(value)
    except message_lib.DecodeError:
        return None
    return jobs.Job(decode_spec(row), is_durable=True)


def apply_progress(job: jobs.Job, value: bytes) -> bool:
    """Applies a progress row to a job; tells whether it could be decoded."""
    row = jobs_pb2.ProgressRow()
    try:
        row.ParseFromString(value)
    except message_lib.DecodeError:
        return False
    job.inherited_stopping = resources.Resources(
        row.stopping.millicores,
        row.stopping.memory_mib,
        row.stopping.accelerators,
    )
    state = _STATES_BY_NUMBER.get(row.state)
    if state is not None:
        job.state = job.persisted_final_state = state
        job.ended_ms = row.ended_ms
        return True
    if not all(_is_applicable(job, part) for part in row.stages):
        return False
    for part in row.stages:
        _apply_stage(job, part)
    return True


def _is_applicable(job: jobs.Job, part: jobs_pb2.StageProgress) -> bool:
    """Tells whether a job has the tasks that the progress of a stage names."""
    if part.step >= len(job.spec.steps):
        return False
    indexes = {
        *part.done,
        *part.failures,
        *part.checkpoints,
        *part.crashes,
        *part.trials,
    }
    return max(indexes, default=0) < job.spec.steps[part.step].count


def _apply_stage(job: jobs.Job, part: jobs_pb2.StageProgress) -> None:
    key = (part.occurrence, part.step)
    stage = job.stages.get(key)
    if stage is None:
        step = job.spec.steps[part.step]
        stage = jobs.make_stage(part.occurrence, part.step, step)
        job.stages[key] = stage
    stage.has_started = job.has_started = True
    for index in part.done:
        stage.tasks[index].phase = jobs.TaskPhase.DONE
        stage.done_count += 1
    for index, failures in part.failures.items():
        stage.tasks[index].failed_runs.update(failures.runs)
    for index, checkpoint in part.checkpoints.items():
        stage.tasks[index].checkpoint = checkpoint
    for index, crashes in part.crashes.items():
        stage.tasks[index].crashes = {
            row.run: jobs.Crash(
                row.worker,
                row.life,
                row.suspect,
                row.only_suspect,
                row.confirmed,
                row.survived_ms,
                row.explained,
                not row.age_unknown,
            )
            for row in crashes.runs
        }
    for index, trial in part.trials.items():
        stage.tasks[index].trial = jobs.Trial(
            trial.run,
            trial.worker,
            trial.life,
            trial.address,
            trial.confirmed,
            trial.survived_ms,
        )
