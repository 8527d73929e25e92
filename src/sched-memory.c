/*
 * Memory of jobs. A job is accepted only if the leader, and every host that
 * may lead after it, can hold all accepted jobs. Amounts are estimates from
 * the sizes of the objects that a job needs.
 */

#include "scheduler.h"

#define Fv_ALLOCATION_BYTES 16 /* overhead of each */
#define Fv_CHECKPOINT_BYTES 48
#define Fv_TICKET_BYTES 48

/* Workers that the advice service is asked about for a stage, usually. */
#define Fv_STAGE_VERDICTS 32

/* While this many tasks of a job wait for a worker, no further occurrence is
 * opened: more are not started between two passes, and each costs time in all
 * of them. */
#define Fv_WAITING_TASKS_MAX 256

static int64_t
occurrence_bytes(const fv_job_spec_t *spec, const fv_cell_queue_t *queue)
{
    int64_t bytes = (int64_t)sizeof(fv_occurrence_t) +
                    (int64_t)sizeof(fv_occurrence_t *) +
                    2 * Fv_ALLOCATION_BYTES;

    for (uint32_t s = 0; s < spec->step_count; s++) {
        const fv_step_spec_t *step = &spec->steps[s];
        int64_t task_bytes = (int64_t)sizeof(fv_sched_task_t) +
                             (step->checkpoints ? Fv_CHECKPOINT_BYTES : 0);

        bytes += (int64_t)sizeof(fv_sched_stage_t) + Fv_ALLOCATION_BYTES;
        bytes += step->task_count * task_bytes;
        bytes += queue->needs_advice
                     ? Fv_STAGE_VERDICTS *
                           ((int64_t)sizeof(fv_verdict_t) + Fv_TICKET_BYTES)
                     : 0;
    }
    return bytes;
}

static bool
has_lasting_step(const fv_job_spec_t *spec)
{
    for (uint32_t s = 0; s < spec->step_count; s++) {
        if (spec->steps[s].long_running) {
            return true;
        }
    }
    return false;
}

/* Occurrences with a lasting step never end, so that all will be open at one
 * time. Of any others one is enough for the job to go on. */
static int32_t
reserved_occurrences(const fv_job_spec_t *spec)
{
    return spec->repeat_count > 0 && has_lasting_step(spec)
               ? spec->repeat_count
               : 1;
}

/* The submission is kept as received and as decoded. */
static int64_t
reserved_bytes(const fv_job_spec_t *spec, const fv_cell_queue_t *queue,
               size_t document_length)
{
    return (int64_t)sizeof(fv_sched_job_t) + 2 * (int64_t)document_length +
           spec->step_count * (int64_t)sizeof(fv_step_spec_t) +
           reserved_occurrences(spec) * occurrence_bytes(spec, queue);
}

/**
 * FvSched_FitsIntoMemory - check whether a job would fit if it were the only
 * one
 * @sched: the scheduler
 * @spec: the job
 * @queue: its queue
 * @document_length: length of the submission
 *
 * Return: false when it can never be accepted.
 */
bool
FvSched_FitsIntoMemory(const fv_sched_t *sched, const fv_job_spec_t *spec,
                       const fv_cell_queue_t *queue, size_t document_length)
{
    return sched->job_memory_max_bytes == 0 ||
           reserved_bytes(spec, queue, document_length) <=
               sched->job_memory_max_bytes;
}

/**
 * FvSched_HasMemoryForJob - check whether a job fits beside the accepted ones
 * @sched: the scheduler
 * @spec: the job
 * @queue: its queue
 * @document_length: length of the submission
 *
 * Return: false when it has to wait for others to end.
 */
bool
FvSched_HasMemoryForJob(const fv_sched_t *sched, const fv_job_spec_t *spec,
                        const fv_cell_queue_t *queue, size_t document_length)
{
    return sched->job_memory_max_bytes == 0 ||
           FvSched_JobMemoryBytes(sched) +
                   reserved_bytes(spec, queue, document_length) <=
               sched->job_memory_max_bytes;
}

/**
 * FvSched_JobMemoryBytes - memory that the accepted jobs need
 * @sched: the scheduler
 *
 * Return: the number of bytes.
 */
int64_t
FvSched_JobMemoryBytes(const fv_sched_t *sched)
{
    return sched->reserved_job_bytes + sched->extra_job_bytes;
}

/**
 * FvSched_ReserveJobMemory - count a job's memory as used
 * @sched: the scheduler
 * @job: the job, with its submission
 */
void
FvSched_ReserveJobMemory(fv_sched_t *sched, fv_sched_job_t *job)
{
    job->occurrence_bytes = occurrence_bytes(&job->spec, &job->queue);
    job->reserved_occurrences = reserved_occurrences(&job->spec);
    job->reserved_bytes =
        reserved_bytes(&job->spec, &job->queue, job->document_length);
    sched->reserved_job_bytes += job->reserved_bytes;
}

/**
 * FvSched_ReleaseJobMemory - count a job's memory as free
 * @sched: the scheduler
 * @job: the job
 */
void
FvSched_ReleaseJobMemory(fv_sched_t *sched, const fv_sched_job_t *job)
{
    sched->reserved_job_bytes -= job->reserved_bytes;
    sched->extra_job_bytes -= job->extra_bytes;
}

/**
 * FvSched_CountOpenOccurrences - count the memory of the occurrences of a job
 * that are open beyond the reserved ones
 * @sched: the scheduler
 * @job: the job
 */
void
FvSched_CountOpenOccurrences(fv_sched_t *sched, fv_sched_job_t *job)
{
    int64_t extra = (int64_t)job->open_count - job->reserved_occurrences;

    sched->extra_job_bytes -= job->extra_bytes;
    job->extra_bytes = extra > 0 ? extra * job->occurrence_bytes : 0;
    sched->extra_job_bytes += job->extra_bytes;
}

/**
 * FvSched_MayOpenOccurrence - check whether a job may open one more occurrence
 * that is due
 * @sched: the scheduler
 * @job: the job
 * @waiting: its tasks that wait for a worker
 *
 * Occurrences beyond the reserved ones take up to half of the memory that is
 * not reserved, so that jobs can still be accepted.
 *
 * Return: false when others of the job have to start or to end first.
 */
bool
FvSched_MayOpenOccurrence(const fv_sched_t *sched, const fv_sched_job_t *job,
                          int64_t waiting)
{
    if ((int64_t)job->open_count < job->reserved_occurrences) {
        return true;
    }
    return waiting < Fv_WAITING_TASKS_MAX &&
           (sched->job_memory_max_bytes == 0 ||
            sched->extra_job_bytes + job->occurrence_bytes <=
                (sched->job_memory_max_bytes - sched->reserved_job_bytes) / 2);
}
