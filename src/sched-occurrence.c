/*
 * Occurrences of jobs. A job that is not repeated has one. A repeated job may
 * have tens of thousands: each is open, which means in memory with its stages
 * and tasks, from the time when it is due until all of its stages are done.
 * Those before next_occurrence that are not open are done; the others are not
 * due yet.
 */

#include "scheduler.h"

#include <stdlib.h>
#include <string.h>

static bool
build_stage(fv_sched_job_t *job, fv_occurrence_t *occurrence,
            uint32_t step_index)
{
    fv_sched_stage_t *stage = &occurrence->stages[step_index];
    const fv_step_spec_t *step = &job->spec.steps[step_index];

    *stage = (fv_sched_stage_t){
        .job = job,
        .occurrence = occurrence,
        .step_index = step_index,
        .step = step,
        .waiting = step->task_count,
    };
    stage->tasks = calloc((size_t)step->task_count, sizeof(*stage->tasks));
    if (stage->tasks == NULL) {
        return false;
    }
    for (int32_t i = 0; i < step->task_count; i++) {
        stage->tasks[i] = (fv_sched_task_t){
            .stage = stage, .index = i, .inherited = job->inherited};
    }
    return true;
}

static void
free_stage(fv_sched_stage_t *stage)
{
    for (int32_t t = 0; stage->tasks != NULL && t < stage->step->task_count;
         t++) {
        free(stage->tasks[t].checkpoint);
    }
    free(stage->tasks);
    for (uint32_t v = 0; v < stage->verdict_count; v++) {
        free(stage->verdicts[v].ticket);
    }
    free(stage->verdicts);
    FvSched_ForgetRuns(stage);
}

/**
 * FvSched_FreeStages - free the stages of an occurrence and their tasks
 * @job: the job
 * @occurrence: the occurrence; none of its stages may be pending, and none of
 *              its tasks on a worker
 */
void
FvSched_FreeStages(const fv_sched_job_t *job, fv_occurrence_t *occurrence)
{
    for (uint32_t s = 0;
         occurrence->stages != NULL && s < job->spec.step_count; s++) {
        free_stage(&occurrence->stages[s]);
    }
    free(occurrence->stages);
    occurrence->stages = NULL;
}

static void
free_occurrence(const fv_sched_job_t *job, fv_occurrence_t *occurrence)
{
    FvSched_FreeStages(job, occurrence);
    free(occurrence);
}

static fv_occurrence_t *
build_occurrence(fv_sched_job_t *job, int32_t number)
{
    fv_occurrence_t *occurrence = calloc(1, sizeof(*occurrence));

    if (occurrence == NULL) {
        return NULL;
    }
    occurrence->number = number;
    occurrence->stages =
        calloc(job->spec.step_count, sizeof(*occurrence->stages));
    for (uint32_t s = 0;
         occurrence->stages != NULL && s < job->spec.step_count; s++) {
        if (!build_stage(job, occurrence, s)) {
            FvSched_FreeStages(job, occurrence);
        }
    }
    if (occurrence->stages == NULL) {
        free(occurrence);
        return NULL;
    }
    return occurrence;
}

/* Returns the index of the first open occurrence that is not before @number.
 */
static uint32_t
find_position(const fv_sched_job_t *job, int32_t number)
{
    uint32_t low = 0;
    uint32_t high = job->open_count;

    while (low < high) {
        uint32_t middle = low + (high - low) / 2;

        if (job->occurrences[middle]->number < number) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

/**
 * FvSched_FindOccurrence - find an open occurrence
 * @job: the job
 * @number: its number
 *
 * Return: the occurrence, or NULL when it is done or not due yet.
 */
fv_occurrence_t *
FvSched_FindOccurrence(const fv_sched_job_t *job, int32_t number)
{
    uint32_t position = find_position(job, number);

    return position < job->open_count &&
                   job->occurrences[position]->number == number
               ? job->occurrences[position]
               : NULL;
}

static bool
insert_occurrence(fv_sched_job_t *job, fv_occurrence_t *occurrence)
{
    uint32_t position = find_position(job, occurrence->number);

    if (job->open_count == job->open_capacity) {
        uint32_t capacity = job->open_capacity * 2 + 1;
        fv_occurrence_t **grown =
            realloc(job->occurrences, capacity * sizeof(fv_occurrence_t *));

        if (grown == NULL) {
            return false;
        }
        job->occurrences = grown;
        job->open_capacity = capacity;
    }
    memmove(&job->occurrences[position + 1], &job->occurrences[position],
            (job->open_count - position) * sizeof(fv_occurrence_t *));
    job->occurrences[position] = occurrence;
    job->open_count++;
    return true;
}

/**
 * FvSched_OpenOccurrence - find an open occurrence, or open it
 * @job: the job
 * @number: its number
 *
 * Return: the occurrence, or NULL when it is done or memory is exhausted.
 */
fv_occurrence_t *
FvSched_OpenOccurrence(fv_sched_job_t *job, int32_t number)
{
    fv_occurrence_t *occurrence = FvSched_FindOccurrence(job, number);

    if (occurrence != NULL || number < job->next_occurrence) {
        return occurrence;
    }
    occurrence = build_occurrence(job, number);
    if (occurrence != NULL && !insert_occurrence(job, occurrence)) {
        free_occurrence(job, occurrence);
        return NULL;
    }
    return occurrence;
}

/**
 * FvSched_IsOccurrenceDone - check whether all stages of an occurrence are
 * done
 * @job: the job
 * @occurrence: the occurrence
 *
 * Return: true when they are; its stages may have been freed.
 */
bool
FvSched_IsOccurrenceDone(const fv_sched_job_t *job,
                         const fv_occurrence_t *occurrence)
{
    return occurrence->stages_done == job->spec.step_count;
}

/**
 * FvSched_AreOccurrencesDone - check whether all occurrences of a job are done
 * @job: the job
 *
 * Return: true when they are.
 */
bool
FvSched_AreOccurrencesDone(const fv_sched_job_t *job)
{
    int32_t unknown = job->occurrence_count - job->next_occurrence;

    for (uint32_t o = 0; o < job->open_count; o++) {
        const fv_occurrence_t *occurrence = job->occurrences[o];

        if (!FvSched_IsOccurrenceDone(job, occurrence)) {
            return false;
        }
        unknown -= occurrence->number >= job->next_occurrence ? 1 : 0;
    }
    return unknown == 0;
}

/* Frees the stages of an occurrence that is done. Returns false when it has to
 * stay in the list without them: a report of a run may come before its
 * occurrence is due by this host's clock, and others before it are not due
 * either. */
static bool
close_occurrence(fv_sched_job_t *job, fv_occurrence_t *occurrence)
{
    FvSched_FreeStages(job, occurrence);
    if (occurrence->number == job->next_occurrence) {
        job->next_occurrence++;
    }
    return occurrence->number < job->next_occurrence;
}

static void
unmark_stages(fv_sched_t *sched, const fv_sched_job_t *job,
              fv_occurrence_t *occurrence)
{
    for (uint32_t s = 0;
         occurrence->stages != NULL && s < job->spec.step_count; s++) {
        FvSched_UnmarkPending(sched, &occurrence->stages[s]);
    }
}

static void
drop_done_occurrences(fv_sched_t *sched, fv_sched_job_t *job)
{
    uint32_t kept = 0;

    for (uint32_t o = 0; o < job->open_count; o++) {
        fv_occurrence_t *occurrence = job->occurrences[o];

        if (FvSched_IsOccurrenceDone(job, occurrence)) {
            unmark_stages(sched, job, occurrence);
            if (close_occurrence(job, occurrence)) {
                free(occurrence);
                continue;
            }
        }
        job->occurrences[kept++] = occurrence;
    }
    job->open_count = kept;
}

/**
 * FvSched_CloseLastOccurrence - close the last one of the open occurrences
 * @job: a repeated job; the stages of the occurrence are done and not pending
 */
void
FvSched_CloseLastOccurrence(fv_sched_job_t *job)
{
    fv_occurrence_t *last = job->occurrences[job->open_count - 1];

    if (close_occurrence(job, last)) {
        job->open_count--;
        free(last);
    }
}

static int64_t
count_pending_tasks(const fv_sched_job_t *job)
{
    int64_t count = 0;

    for (uint32_t o = 0; o < job->open_count; o++) {
        const fv_occurrence_t *occurrence = job->occurrences[o];

        for (uint32_t s = 0;
             occurrence->stages != NULL && s < job->spec.step_count; s++) {
            const fv_sched_stage_t *stage = &occurrence->stages[s];

            count += stage->pending ? stage->waiting : 0;
        }
    }
    return count;
}

/* Tasks of an occurrence that wait for no others. */
static int64_t
count_first_tasks(const fv_job_spec_t *spec)
{
    int64_t count = 0;

    for (uint32_t s = 0; s < spec->step_count; s++) {
        const fv_step_spec_t *step = &spec->steps[s];

        count += step->predecessor_count == 0 ? step->task_count : 0;
    }
    return count;
}

static int64_t
due_wall_ms(const fv_sched_job_t *job, int32_t number)
{
    return job->spec.first_due_wall_ms + number * job->spec.interval_ms;
}

/**
 * FvSched_OpenDueOccurrences - open the occurrences of a repeated job that are
 * due, and close those that are done
 * @sched: the scheduler
 * @job: the job
 * @wall_ms: the wall clock
 *
 * The next pass opens what is due and does not fit into memory now.
 */
void
FvSched_OpenDueOccurrences(fv_sched_t *sched, fv_sched_job_t *job,
                           int64_t wall_ms)
{
    int64_t waiting;

    drop_done_occurrences(sched, job);
    FvSched_CountOpenOccurrences(sched, job);
    waiting = count_pending_tasks(job);
    while (job->next_occurrence < job->occurrence_count &&
           due_wall_ms(job, job->next_occurrence) <= wall_ms &&
           FvSched_MayOpenOccurrence(sched, job, waiting) &&
           FvSched_OpenOccurrence(job, job->next_occurrence) != NULL) {
        job->next_occurrence++;
        FvSched_CountOpenOccurrences(sched, job);
        waiting += count_first_tasks(&job->spec);
    }
}

/**
 * FvSched_MarkJobInherited - note that an earlier leader may have started the
 * tasks of a job
 * @job: the job
 */
void
FvSched_MarkJobInherited(fv_sched_job_t *job)
{
    job->inherited = true;
    for (uint32_t o = 0; o < job->open_count; o++) {
        fv_occurrence_t *occurrence = job->occurrences[o];

        for (uint32_t s = 0;
             occurrence->stages != NULL && s < job->spec.step_count; s++) {
            fv_sched_stage_t *stage = &occurrence->stages[s];

            for (int32_t t = 0; t < stage->step->task_count; t++) {
                stage->tasks[t].inherited = true;
            }
        }
    }
}

/**
 * FvSched_FreeOccurrences - free all occurrences of a job
 * @job: the job; none of its stages may be pending, and none of its tasks on a
 *       worker
 */
void
FvSched_FreeOccurrences(fv_sched_job_t *job)
{
    for (uint32_t o = 0; o < job->open_count; o++) {
        free_occurrence(job, job->occurrences[o]);
    }
    free(job->occurrences);
    job->occurrences = NULL;
    job->open_count = 0;
}
