/*
 * Functions shared by the four policies: order of submission, the headroom
 * reserved for interactive tasks, and the best-fit score.
 */

#include "fireflyvalve.h"

/* Each worker keeps one slot and 1/32 of its processors and memory free for
   interactive tasks: one core and 4 GB of a worker with 32 cores and 128 GB. A
   larger share would lower the utilization by batch work below its target. */
#define HEADROOM_SLOTS 1
#define HEADROOM_DIVISOR 32

#define PARTS_PER_MILLION 1000000

/**
 * FvPolicy_ForClass - the policy of a class
 * @class_id: the class
 *
 * Return: its policy.
 */
const fv_policy_t *
FvPolicy_ForClass(fv_class_t class_id)
{
    switch (class_id) {
    case Fv_CLASS_INTERACTIVE:
        return &fv_policy_interactive;
    case Fv_CLASS_SERVICE:
        return &fv_policy_service;
    case Fv_CLASS_GANG:
        return &fv_policy_gang;
    case Fv_CLASS_DEADLINE:
    case Fv_CLASS_COUNT:
    default:
        return &fv_policy_deadline;
    }
}

/**
 * FvPolicy_CompareSubmitted - compare jobs by time of submission
 * @a: a job
 * @b: another job
 *
 * Compares wall time, so that a job recovered from another host keeps its
 * position.
 *
 * Return: negative if @a was submitted first, 0 if at the same time.
 */
int
FvPolicy_CompareSubmitted(const fv_job_t *a, const fv_job_t *b)
{
    return (a->submitted_ms > b->submitted_ms) -
           (a->submitted_ms < b->submitted_ms);
}

/**
 * FvPolicy_SubtractHeadroom - free resources usable by non-interactive tasks
 * @worker: the worker
 * @usable: set to its free resources less the headroom; may be negative
 *
 * A worker with a single slot reserves none; otherwise it could run only
 * interactive tasks.
 */
void
FvPolicy_SubtractHeadroom(const fv_worker_t *worker, fv_resources_t *usable)
{
    *usable = worker->free;
    usable->cpu_millis -= worker->capacity.cpu_millis / HEADROOM_DIVISOR;
    usable->memory_bytes -= worker->capacity.memory_bytes / HEADROOM_DIVISOR;
    if (worker->capacity.slots > HEADROOM_SLOTS) {
        usable->slots -= HEADROOM_SLOTS;
    }
}

static int64_t
remaining_ppm(int64_t free, int64_t size, int64_t capacity)
{
    if (capacity <= 0) {
        return 0;
    }
    return (int64_t)((double)(free - size) * PARTS_PER_MILLION /
                     (double)capacity);
}

/**
 * FvPolicy_BestFitScore - score a worker by how tightly a task fits
 * @worker: the worker
 * @size: the task's size
 * @tasks_of_job_in_rack: unused
 *
 * Accelerators count like the other resources, so workers with free
 * accelerators rank last for a task that needs none.
 *
 * Return: minus the capacity left over, in parts per million summed over the
 * four resources: from -4,000,000 (empty worker) to 0 (exact fit).
 */
int64_t
FvPolicy_BestFitScore(const fv_worker_t *worker, const fv_resources_t *size,
                      uint32_t tasks_of_job_in_rack)
{
    const fv_resources_t *free = &worker->free;
    const fv_resources_t *capacity = &worker->capacity;
    int64_t remaining = remaining_ppm(free->cpu_millis, size->cpu_millis,
                                      capacity->cpu_millis);

    (void)tasks_of_job_in_rack;
    remaining += remaining_ppm(free->memory_bytes, size->memory_bytes,
                               capacity->memory_bytes);
    remaining += remaining_ppm(free->accelerators, size->accelerators,
                               capacity->accelerators);
    remaining += remaining_ppm(free->slots, size->slots, capacity->slots);
    return -remaining;
}
