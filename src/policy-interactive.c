/*
 * Policy of the interactive class: tasks start on the least loaded worker and
 * may use the headroom that the other classes leave free.
 */

#include "fireflyvalve.h"

#define PARTS_PER_MILLION 1000000

static void
use_all_free(const fv_worker_t *worker, fv_resources_t *usable)
{
    *usable = worker->free;
}

static int64_t
free_ppm(int64_t free, int64_t capacity)
{
    return capacity <= 0 ? 0 : free * PARTS_PER_MILLION / capacity;
}

/* Free connections count too, because an interactive task occupies one until
   its answer has arrived. */
static int64_t
score_least_loaded(const fv_worker_t *worker, const fv_resources_t *size,
                   uint32_t tasks_of_job_in_rack)
{
    (void)size;
    (void)tasks_of_job_in_rack;
    return free_ppm(worker->free.cpu_millis, worker->capacity.cpu_millis) +
           free_ppm(worker->free.slots, worker->capacity.slots) +
           free_ppm(worker->connection_limit - worker->connections_used,
                    worker->connection_limit);
}

/* Gang tasks are not preempted: stopping one of them leaves the others idle.
 */
static bool
may_preempt(const fv_task_t *task)
{
    return task->class_id == Fv_CLASS_DEADLINE;
}

const fv_policy_t fv_policy_interactive = {
    .name = "interactive",
    .most_free_first = true,
    .compare = FvPolicy_CompareSubmitted,
    .usable = use_all_free,
    .score = score_least_loaded,
    .may_preempt = may_preempt,
};
