/*
 * Policy of the gang class: all tasks of a job start together or none does.
 * Jobs start in order of submission, and a large gang is protected from
 * starvation by small ones.
 */

#include "fireflyvalve.h"

/* A gang that has waited 30 s blocks later gangs for 60 s, so that capacity
   becomes free for it. The block is bounded because a gang may be larger than
   the cell can ever run at once. */
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
