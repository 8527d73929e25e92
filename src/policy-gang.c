/*
 * Gangs: all tasks of a job or none. In order of submission, with a guard
 * against small gangs that keep overtaking a large one.
 */

#include "fireflyvalve.h"

/* A gang that waited 30 s holds back later gangs for 60 s, so that workers
   can drain for it. The hold is bounded because a gang may be larger than the
   cell can ever hold at once. */
#define BLOCK_QUEUE_AFTER_MS 30000
#define BLOCK_QUEUE_FOR_MS 60000

static bool
may_preempt(const fv_task_t *task)
{
    (void)task;
    return false;
}

const fv_policy_t fv_policy_gang = {
    .name = "gang",
    .block_queue_after_ms = BLOCK_QUEUE_AFTER_MS,
    .block_queue_for_ms = BLOCK_QUEUE_FOR_MS,
    .compare = FvPolicy_CompareSubmitted,
    .usable = FvPolicy_SubtractHeadroom,
    .score = FvPolicy_BestFitScore,
    .may_preempt = may_preempt,
};
