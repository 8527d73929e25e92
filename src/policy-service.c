/*
 * Policy of the service class: long-running tasks, spread over racks so that a
 * rack failure stops few of them, and placed by best fit among equal racks.
 */

#include "fireflyvalve.h"

/* Exceeds the range of FvPolicy_BestFitScore, so that fewer tasks of the job
   in the rack always outweigh a tighter fit. */
#define RACK_PENALTY INT64_C(10000000)

static int64_t
score_rack_spread(const fv_worker_t *worker, const fv_resources_t *size,
                  uint32_t tasks_of_job_in_rack)
{
    return FvPolicy_BestFitScore(worker, size, tasks_of_job_in_rack) -
           (int64_t)tasks_of_job_in_rack * RACK_PENALTY;
}

static bool
may_preempt(const fv_task_t *task)
{
    return task->class_id == Fv_CLASS_DEADLINE;
}

const fv_policy_t fv_policy_service = {
    .name = "service",
    .spreads_racks = true,
    .compare = FvPolicy_CompareSubmitted,
    .usable = FvPolicy_SubtractHeadroom,
    .score = score_rack_spread,
    .may_preempt = may_preempt,
};
