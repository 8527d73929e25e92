/*
 * Bounded queue of one class. Each member has a heap of jobs, ordered by the
 * policy; the member with the lowest dominant share is served next. Jobs that
 * do not fit are skipped until the next scheduling pass.
 */

#include "fireflyvalve.h"

#include <stdlib.h>
#include <string.h>

/* Largest part of the queue that one member may use, so that a burst from one
   member leaves space for the others. */
#define MEMBER_LIMIT_PERCENT 75

/* Jobs of one member that a pass may skip. Without a limit, the cost of a pass
   would grow with the length of the queue. */
#define SKIPS_PER_PASS 32

#define HEAP_INITIAL_CAPACITY 16

/* Set in queue_index when it is an index into the skipped jobs. */
#define SKIPPED_FLAG UINT32_C(0x80000000)

typedef struct member_queue {
    char member[Fv_NAME_SIZE]; /* key */
    fv_job_t **heap;
    uint32_t count;
    uint32_t capacity;
    fv_job_t *skipped[SKIPS_PER_PASS];
    uint32_t skipped_count;
    bool exhausted; /* offers no more jobs in this pass */
    uint32_t workload_count;
    struct {
        char name[Fv_NAME_SIZE];
        uint32_t queued;
    } workloads[Fv_WORKLOADS_MAX];
} member_queue_t;

struct fv_queue {
    const fv_policy_t *policy;
    uint32_t limit;
    uint32_t member_limit;
    uint32_t count;
    uint64_t next_order;
    int64_t pass_ms;              /* wall; start of the pass */
    const fv_job_t *blocking_job; /* NULL: the pass is not blocked */
    fv_table_t members;
};

/**
 * FvQueue_New - allocate a queue
 * @policy: orders the jobs of one member
 * @limit: the largest number of jobs
 *
 * Return: the queue, or NULL when memory is exhausted.
 */
fv_queue_t *
FvQueue_New(const fv_policy_t *policy, uint32_t limit)
{
    fv_queue_t *queue = calloc(1, sizeof(*queue));

    if (queue != NULL) {
        queue->policy = policy;
        queue->limit = limit;
        queue->member_limit =
            (uint32_t)((uint64_t)limit * MEMBER_LIMIT_PERCENT / 100);
        if (queue->member_limit == 0) {
            queue->member_limit = 1;
        }
        queue->next_order = 1;
    }
    return queue;
}

static void
clear_queue_fields(fv_job_t *job)
{
    job->queued = false;
    job->queue_member = NULL;
}

/**
 * FvQueue_Free - release a queue; its jobs are removed, not released
 * @queue: the queue, or NULL
 */
void
FvQueue_Free(fv_queue_t *queue)
{
    if (queue == NULL) {
        return;
    }
    for (uint32_t i = 0; i < queue->members.count; i++) {
        member_queue_t *member = queue->members.entries[i];

        for (uint32_t j = 0; j < member->count; j++) {
            clear_queue_fields(member->heap[j]);
        }
        for (uint32_t j = 0; j < member->skipped_count; j++) {
            clear_queue_fields(member->skipped[j]);
        }
        free(member->heap);
    }
    FvTable_Clear(&queue->members);
    free(queue);
}

static bool
starts_before(const fv_queue_t *queue, const fv_job_t *a, const fv_job_t *b)
{
    int order = queue->policy->compare(a, b);

    return order != 0 ? order < 0 : a->queue_order < b->queue_order;
}

static void
set_position(member_queue_t *member, uint32_t position, fv_job_t *job)
{
    member->heap[position] = job;
    job->queue_index = position;
}

static void
sift_up(const fv_queue_t *queue, member_queue_t *member, uint32_t position)
{
    fv_job_t *job = member->heap[position];

    while (position > 0) {
        uint32_t parent = (position - 1) / 2;

        if (!starts_before(queue, job, member->heap[parent])) {
            break;
        }
        set_position(member, position, member->heap[parent]);
        position = parent;
    }
    set_position(member, position, job);
}

static void
sift_down(const fv_queue_t *queue, member_queue_t *member, uint32_t position)
{
    fv_job_t *job = member->heap[position];

    for (;;) {
        uint32_t child = 2 * position + 1;

        if (child >= member->count) {
            break;
        }
        if (child + 1 < member->count &&
            starts_before(queue, member->heap[child + 1],
                          member->heap[child])) {
            child++;
        }
        if (!starts_before(queue, member->heap[child], job)) {
            break;
        }
        set_position(member, position, member->heap[child]);
        position = child;
    }
    set_position(member, position, job);
}

/* Ensures capacity for one more job. Skipped jobs count, because they return
   to the heap in the next pass. */
static bool
grow_heap(member_queue_t *member)
{
    uint32_t capacity =
        member->capacity == 0 ? HEAP_INITIAL_CAPACITY : member->capacity * 2;
    fv_job_t **heap;

    if (member->count + member->skipped_count < member->capacity) {
        return true;
    }
    heap = reallocarray(member->heap, capacity, sizeof(fv_job_t *));
    if (heap == NULL) {
        return false;
    }
    member->heap = heap;
    member->capacity = capacity;
    return true;
}

static void
heap_insert(const fv_queue_t *queue, member_queue_t *member, fv_job_t *job)
{
    member->heap[member->count++] = job;
    sift_up(queue, member, member->count - 1);
}

static void
heap_remove(const fv_queue_t *queue, member_queue_t *member, uint32_t position)
{
    fv_job_t *last = member->heap[--member->count];

    if (position == member->count) {
        return;
    }
    set_position(member, position, last);
    sift_up(queue, member, position);
    sift_down(queue, member, last->queue_index);
}

/* Returns the counter of a workload. Reuses a counter that has dropped to 0;
   returns NULL if all are in use. */
static uint32_t *
workload_counter(member_queue_t *member, const char *name)
{
    uint32_t vacant = member->workload_count;

    for (uint32_t i = 0; i < member->workload_count; i++) {
        if (strcmp(member->workloads[i].name, name) == 0) {
            return &member->workloads[i].queued;
        }
        if (member->workloads[i].queued == 0) {
            vacant = i;
        }
    }
    if (vacant == Fv_WORKLOADS_MAX) {
        return NULL;
    }
    if (vacant == member->workload_count) {
        member->workload_count++;
    }
    snprintf(member->workloads[vacant].name, Fv_NAME_SIZE, "%s", name);
    return &member->workloads[vacant].queued;
}

/* A job that was queued before has already been accepted, so the limits do not
   apply to it. */
static fv_queue_error_t
check_bounds(const fv_queue_t *queue, const member_queue_t *member,
             const uint32_t *workload_queued, const fv_job_t *job)
{
    if (job->queue_order != 0) {
        return Fv_QUEUE_OK;
    }
    if (queue->count >= queue->limit) {
        return Fv_QUEUE_FULL;
    }
    if (member->count + member->skipped_count >= queue->member_limit) {
        return Fv_QUEUE_MEMBER_FULL;
    }
    if (job->workload.queue_limit > 0 && workload_queued != NULL &&
        *workload_queued >= (uint32_t)job->workload.queue_limit) {
        return Fv_QUEUE_MEMBER_FULL;
    }
    return Fv_QUEUE_OK;
}

/**
 * FvQueue_CanAccept - whether a new job is within the limits
 * @queue: the queue
 * @job: the job; not queued yet
 *
 * Allows a job to be refused before its claim is written.
 *
 * Return: false if a limit is reached or memory is exhausted.
 */
bool
FvQueue_CanAccept(fv_queue_t *queue, const fv_job_t *job)
{
    member_queue_t *member = FvTable_FindOrAdd(
        &queue->members, job->member, Fv_NAME_SIZE, sizeof(member_queue_t));

    return member != NULL &&
           check_bounds(queue, member,
                        workload_counter(member, job->workload.name),
                        job) == Fv_QUEUE_OK;
}

/**
 * FvQueue_Push - queue a job
 * @queue: the queue
 * @job: the job; it must not be queued
 *
 * A job that returns after a refused reservation keeps its position and is
 * accepted even if the queue is full. While the job is queued, the fields that
 * the policy compares may change only in FvQueue_Reorder.
 *
 * Return: Fv_QUEUE_OK, or the reason why it was not queued.
 */
fv_queue_error_t
FvQueue_Push(fv_queue_t *queue, fv_job_t *job)
{
    member_queue_t *member = FvTable_FindOrAdd(
        &queue->members, job->member, Fv_NAME_SIZE, sizeof(member_queue_t));
    fv_queue_error_t error;
    uint32_t *workload_queued;

    if (member == NULL) {
        return Fv_QUEUE_NO_MEMORY;
    }
    workload_queued = workload_counter(member, job->workload.name);
    error = check_bounds(queue, member, workload_queued, job);
    if (error != Fv_QUEUE_OK) {
        return error;
    }
    if (!grow_heap(member)) {
        return Fv_QUEUE_NO_MEMORY;
    }
    if (job->queue_order == 0) {
        job->queue_order = queue->next_order++;
    }
    job->queued = true;
    job->queue_member = member;
    heap_insert(queue, member, job);
    queue->count++;
    if (workload_queued != NULL) {
        (*workload_queued)++;
    }
    return Fv_QUEUE_OK;
}

static void
skipped_remove(member_queue_t *member, uint32_t position)
{
    fv_job_t *last = member->skipped[--member->skipped_count];

    member->skipped[position] = last;
    last->queue_index = position | SKIPPED_FLAG;
}

/**
 * FvQueue_Remove - remove a job, whether skipped or not
 * @queue: the queue
 * @job: the job; nothing happens if it is not queued
 */
void
FvQueue_Remove(fv_queue_t *queue, fv_job_t *job)
{
    member_queue_t *member = job->queue_member;
    uint32_t *workload_queued;

    if (!job->queued || member == NULL) {
        return;
    }
    if (job->queue_index & SKIPPED_FLAG) {
        skipped_remove(member, job->queue_index & ~SKIPPED_FLAG);
    }
    else {
        heap_remove(queue, member, job->queue_index);
    }
    workload_queued = workload_counter(member, job->workload.name);
    if (workload_queued != NULL && *workload_queued > 0) {
        (*workload_queued)--;
    }
    if (queue->blocking_job == job) {
        queue->blocking_job = NULL;
    }
    clear_queue_fields(job);
    queue->count--;
}

/**
 * FvQueue_BeginPass - start a scheduling pass, offering all jobs again
 * @queue: the queue
 * @now_wall_ms: wall time, compared with the jobs' time of submission
 */
void
FvQueue_BeginPass(fv_queue_t *queue, int64_t now_wall_ms)
{
    queue->pass_ms = now_wall_ms;
    queue->blocking_job = NULL;
    for (uint32_t i = 0; i < queue->members.count; i++) {
        member_queue_t *member = queue->members.entries[i];

        member->exhausted = false;
        for (uint32_t j = 0; j < member->skipped_count; j++) {
            heap_insert(queue, member, member->skipped[j]);
        }
        member->skipped_count = 0;
    }
}

/* Returns the member with the lowest dominant share; among equal shares, the
   one whose first job was queued first. */
static member_queue_t *
next_member(const fv_queue_t *queue, const fv_shares_t *shares)
{
    member_queue_t *best = NULL;
    double best_share = 0;

    for (uint32_t i = 0; i < queue->members.count; i++) {
        member_queue_t *member = queue->members.entries[i];
        double share;

        if (member->count == 0 || member->exhausted) {
            continue;
        }
        share = shares == NULL
                    ? 0
                    : FvShares_DominantShare(shares, member->member);
        if (best == NULL || share < best_share ||
            (share == best_share &&
             member->heap[0]->queue_order < best->heap[0]->queue_order)) {
            best = member;
            best_share = share;
        }
    }
    return best;
}

static bool
within_quota(const fv_shares_t *shares, const fv_job_t *job)
{
    const fv_resources_t *size = &job->workload.size;
    int32_t tasks = job->workload.tasks > 1 ? job->workload.tasks : 1;
    fv_resources_t total = {.cpu_millis = size->cpu_millis * tasks,
                            .memory_bytes = size->memory_bytes * tasks,
                            .accelerators = size->accelerators * tasks,
                            .slots = size->slots * tasks};

    return shares == NULL || FvShares_WithinQuota(shares, job->member, &total);
}

static void
skip_job(fv_queue_t *queue, fv_job_t *job)
{
    member_queue_t *member = job->queue_member;

    if (job->queue_index & SKIPPED_FLAG) {
        return;
    }
    if (member->skipped_count == SKIPS_PER_PASS) {
        member->exhausted = true;
        return;
    }
    heap_remove(queue, member, job->queue_index);
    job->queue_index = member->skipped_count | SKIPPED_FLAG;
    member->skipped[member->skipped_count++] = job;
}

/**
 * FvQueue_Peek - the job to place next; it stays queued
 * @queue: the queue
 * @shares: the members' dominant shares and quotas, or NULL to ignore both
 *
 * The caller removes the job once it is placed, or skips it. Jobs that exceed
 * their member's quota are skipped here.
 *
 * Return: the job, or NULL if the pass has no more jobs to offer.
 */
fv_job_t *
FvQueue_Peek(fv_queue_t *queue, const fv_shares_t *shares)
{
    member_queue_t *member;

    if (queue->blocking_job != NULL) {
        return NULL;
    }
    while ((member = next_member(queue, shares)) != NULL) {
        if (within_quota(shares, member->heap[0])) {
            return member->heap[0];
        }
        skip_job(queue, member->heap[0]);
    }
    return NULL;
}

static bool
blocks_queue(const fv_queue_t *queue, const fv_job_t *job)
{
    const fv_policy_t *policy = queue->policy;
    int64_t waited_ms = queue->pass_ms - job->submitted_ms;

    return policy->block_queue_after_ms > 0 &&
           waited_ms % (policy->block_queue_after_ms +
                        policy->block_queue_for_ms) >=
               policy->block_queue_after_ms;
}

/**
 * FvQueue_Skip - skip a job that does not fit until the next pass
 * @queue: the queue
 * @job: a queued job
 *
 * If the policy lets a job that has waited this long block the queue, the pass
 * ends here.
 */
void
FvQueue_Skip(fv_queue_t *queue, fv_job_t *job)
{
    if (!job->queued) {
        return;
    }
    if (blocks_queue(queue, job)) {
        queue->blocking_job = job;
    }
    skip_job(queue, job);
}

/**
 * FvQueue_BlockingJob - the job that blocks the queue in this pass
 * @queue: the queue
 *
 * Classes served later must leave it the capacity that it waits for.
 *
 * Return: the job, or NULL.
 */
const fv_job_t *
FvQueue_BlockingJob(const fv_queue_t *queue)
{
    return queue->blocking_job;
}

/**
 * FvQueue_Reorder - update all jobs and restore the order of the queue
 * @queue: the queue
 * @update: called for each job; may change the fields that the policy compares
 * @context: passed to @update
 *
 * Used when run time estimates change while jobs are queued. Takes time linear
 * in the number of jobs.
 */
void
FvQueue_Reorder(fv_queue_t *queue,
                void (*update)(fv_job_t *job, void *context), void *context)
{
    for (uint32_t i = 0; i < queue->members.count; i++) {
        member_queue_t *member = queue->members.entries[i];

        for (uint32_t j = 0; j < member->skipped_count; j++) {
            update(member->skipped[j], context);
        }
        for (uint32_t j = 0; j < member->count; j++) {
            update(member->heap[j], context);
        }
        for (uint32_t j = member->count / 2; j > 0; j--) {
            sift_down(queue, member, j - 1);
        }
    }
}

/**
 * FvQueue_Count - number of queued jobs
 * @queue: the queue
 *
 * Return: the number, including skipped jobs.
 */
uint32_t
FvQueue_Count(const fv_queue_t *queue)
{
    return queue->count;
}
