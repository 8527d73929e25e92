/*
 * Deadline work: ordered by the latest safe start, which is the deadline less
 * the learned run time, and packed tightly.
 */

#include "fireflyvalve.h"

/**
 * FvPolicyDeadline_SetLatestStart - compute a job's latest safe start
 * @job: the job; it must not be queued, because its place depends on this
 * @run_ms: its expected run time as FvEstimates_RunMs tells
 */
void
FvPolicyDeadline_SetLatestStart(fv_job_t *job, int64_t run_ms)
{
    int64_t latest_ms = job->deadline_ms - run_ms;

    job->latest_start_ms = 0;
    if (job->deadline_ms > 0) {
        job->latest_start_ms = latest_ms > 0 ? latest_ms : 1; /* 0: none */
    }
}

/* Jobs without a deadline follow those with one. */
static int
compare_latest_start(const fv_job_t *a, const fv_job_t *b)
{
    int64_t left = a->latest_start_ms == 0 ? INT64_MAX : a->latest_start_ms;
    int64_t right = b->latest_start_ms == 0 ? INT64_MAX : b->latest_start_ms;

    if (left != right) {
        return left < right ? -1 : 1;
    }
    return FvPolicy_CompareSubmitted(a, b);
}

static bool
may_preempt(const fv_task_t *task)
{
    (void)task;
    return false;
}

const fv_policy_t fv_policy_deadline = {
    .name = "deadline",
    .compare = compare_latest_start,
    .usable = FvPolicy_SubtractHeadroom,
    .score = FvPolicy_BestFitScore,
    .may_preempt = may_preempt,
};
