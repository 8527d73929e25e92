/*
 * What the four policies share: order of submission, the headroom kept for
 * lookups, and the measure of a tight fit.
 */

#include "fireflyvalve.h"

/* Each worker keeps one slot and 1/32 of its processors and memory free for
   lookups: one core and 4 GB of a worker with 32 cores and 128 GB. A larger
   share would cost batch work more than the packing target allows. */
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
 * FvPolicy_CompareSubmitted - order jobs by time of submission
 * @a: a job
 * @b: another job
 *
 * Wall time, because a job taken over from another host keeps its place.
 *
 * Return: negative when @a came first, 0 when both came together.
 */
int
FvPolicy_CompareSubmitted(const fv_job_t *a, const fv_job_t *b)
{
    return (a->submitted_ms > b->submitted_ms) -
           (a->submitted_ms < b->submitted_ms);
}

/**
 * FvPolicy_SubtractHeadroom - what work other than lookups may use of a worker
 * @worker: the worker
 * @usable: set to its free resources less the headroom; may be negative
 *
 * A worker with a single slot keeps none free, or it could only run lookups.
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
 * FvPolicy_BestFitScore - how little a worker has left after taking a task
 * @worker: the worker
 * @size: the task's size
 * @tasks_of_job_in_rack: not considered
 *
 * Accelerators count like the other resources, so a task that needs none goes
 * to a worker with free ones last.
 *
 * Return: a score from -4,000,000 (empty) to 0 (exact fit).
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
