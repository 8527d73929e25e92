/*
 * A job as seen by its home host.
 */

#include "fireflyvalve.h"

#include <stdlib.h>
#include <string.h>

static const char *const outcome_names[] = {
    [Fv_OUTCOME_NONE] = "",           [Fv_OUTCOME_DONE] = "done",
    [Fv_OUTCOME_FAILED] = "failed",   [Fv_OUTCOME_CANCELLED] = "cancelled",
    [Fv_OUTCOME_NOT_RUN] = "not_run", [Fv_OUTCOME_UNKNOWN] = "unknown",
};

#define OUTCOME_COUNT (sizeof(outcome_names) / sizeof(outcome_names[0]))

/**
 * FvJobState_Name - name of a state in replies to callers
 * @state: the state; a job whose claim is not yet written counts as queued
 *
 * Return: a static string.
 */
const char *
FvJobState_Name(fv_job_state_t state)
{
    switch (state) {
    case Fv_JOB_RUNNING:
        return "running";
    case Fv_JOB_ENDED:
        return "ended";
    case Fv_JOB_ADMITTING:
    case Fv_JOB_QUEUED:
    default:
        return "queued";
    }
}

/**
 * FvOutcome_Name - name of an outcome in replies to callers
 * @outcome: the outcome
 *
 * Return: a static string, empty while the job has not ended.
 */
const char *
FvOutcome_Name(fv_outcome_t outcome)
{
    return (size_t)outcome < OUTCOME_COUNT ? outcome_names[outcome]
                                           : "unknown";
}

/**
 * FvOutcome_Parse - parse the name of an outcome
 * @name: its name
 * @outcome: set when the name is known
 *
 * Return: false when the name is not known.
 */
bool
FvOutcome_Parse(const char *name, fv_outcome_t *outcome)
{
    for (size_t i = 0; name != NULL && i < OUTCOME_COUNT; i++) {
        if (strcmp(name, outcome_names[i]) == 0) {
            *outcome = (fv_outcome_t)i;
            return true;
        }
    }
    return false;
}

/**
 * FvJob_New - allocate a job that is not yet admitted
 * @member: its owner
 * @key: its key within the member
 * @workload: copied, so a later configuration does not change the job
 *
 * Return: the job, or NULL when memory is exhausted.
 */
fv_job_t *
FvJob_New(const char *member, const char *key, const fv_workload_t *workload)
{
    fv_job_t *job = calloc(1, sizeof(*job));

    if (job != NULL) {
        snprintf(job->member, sizeof(job->member), "%s", member);
        snprintf(job->key, sizeof(job->key), "%s", key);
        job->workload = *workload;
    }
    return job;
}

/**
 * FvJob_Free - free a job, its payload and its answer
 * @job: the job, or NULL; it must not be queued
 */
void
FvJob_Free(fv_job_t *job)
{
    if (job != NULL) {
        free(job->payload);
        free(job->answer);
        free(job);
    }
}
