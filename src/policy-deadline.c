/*
 * Policy of the deadline class: jobs are ordered by their latest start, which
 * is the deadline less the estimated run time, and placed by best fit.
 */

#include "fireflyvalve.h"

/**
 * FvPolicyDeadline_SetLatestStart - compute a job's latest start
 * @job: the job; while it is queued, only FvQueue_Reorder may call this,
 *       because the queue is ordered by the latest start
 * @run_ms: its run time as estimated by FvEstimates_RunMs
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

/* Orders jobs without a deadline after those with one. */
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
