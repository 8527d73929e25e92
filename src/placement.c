/*
 * Index of the workers whose leases this host holds. Policies with the same
 * usable() function share a view: a copy of the usable resources of every
 * worker, in buckets by usable processors. Choosing a worker scans these
 * copies and reads only the few workers that it ranks, so the cost hardly
 * grows with the size of the cell.
 */

#include "fireflyvalve.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define VIEWS_MAX Fv_CLASS_COUNT

/* Buckets of half a core, up to 64 cores; the last one holds all above. */
#define BUCKET_CPU_MILLIS 500
#define BUCKETS 128

/* Workers ranked for each choice. Each one costs about 50 ns; more of them
   hardly improve the fit. */
#define CANDIDATES_MAX 64

/* Neighbours in a bucket tend to be in the same rack, so scans use a stride.
   As a prime it is coprime to every bucket size that it does not divide, so
   that a scan reaches every worker. */
#define SCAN_STRIDE 61

/* Service tasks recorded for each worker. Further ones are not counted, which
   is acceptable because spreading over racks is only a preference. */
#define SERVICE_TASKS_MAX 16

#define NO_INDEX UINT32_MAX
#define INITIAL_CAPACITY 8

typedef struct rack rack_t;

typedef struct entry {
    fv_worker_t *worker;
    rack_t *rack;
    uint32_t shape;             /* index into shapes, or NO_INDEX */
    uint32_t bucket[VIEWS_MAX]; /* NO_INDEX: not in the view */
    uint32_t position[VIEWS_MAX];
    uint32_t service_count;
    uint64_t service_jobs[SERVICE_TASKS_MAX]; /* hashes of job ids */
} entry_t;

typedef struct item {
    fv_resources_t usable;
    entry_t *entry;
} item_t;

typedef struct bucket {
    item_t *items;
    uint32_t count;
    uint32_t capacity;
} bucket_t;

typedef struct view {
    void (*usable)(const fv_worker_t *worker, fv_resources_t *usable);
    bucket_t buckets[BUCKETS];
} view_t;

struct rack {
    char name[Fv_NAME_SIZE * 2]; /* key: data centre and rack */
    entry_t **entries;
    uint32_t count;
    uint32_t capacity;
};

/* Workers of equal capacity. A cell has few kinds of machines, so there are
   few shapes. */
typedef struct shape {
    fv_resources_t capacity;
    uint32_t count;
} shape_t;

struct fv_placement {
    uint32_t view_count;
    view_t views[VIEWS_MAX];
    entry_t **entries;
    uint32_t count;
    uint32_t capacity;
    fv_table_t racks;
    shape_t *shapes;
    uint32_t shape_count;
    uint32_t shape_capacity;
    uint32_t scan_start; /* advances with each choice, to spread load */
};

/* The state of one choice. */
typedef struct search {
    const fv_policy_t *policy;
    fv_resources_t size;
    uint64_t job_hash;
    int64_t now_ms;
    uint32_t ranked;
    int64_t best_score;
    fv_worker_t *best;
} search_t;

/* Ensures capacity for one more element of an array. */
static bool
grow_array(void **array, uint32_t count, uint32_t *capacity,
           size_t element_size)
{
    uint32_t larger = *capacity == 0 ? INITIAL_CAPACITY : *capacity * 2;
    void *grown;

    if (count < *capacity) {
        return true;
    }
    grown = reallocarray(*array, larger, element_size);
    if (grown == NULL) {
        return false;
    }
    *array = grown;
    *capacity = larger;
    return true;
}

static uint32_t
find_view(const fv_placement_t *placement, const fv_policy_t *policy)
{
    uint32_t i = 0;

    while (i < placement->view_count &&
           placement->views[i].usable != policy->usable) {
        i++;
    }
    return i;
}

/**
 * FvPlacement_New - allocate an empty index
 *
 * Return: the index, or NULL when memory is exhausted.
 */
fv_placement_t *
FvPlacement_New(void)
{
    fv_placement_t *placement = calloc(1, sizeof(*placement));

    for (int i = 0; placement != NULL && i < Fv_CLASS_COUNT; i++) {
        const fv_policy_t *policy = FvPolicy_ForClass((fv_class_t)i);
        uint32_t view = find_view(placement, policy);

        if (view == placement->view_count) {
            placement->views[view].usable = policy->usable;
            placement->view_count++;
        }
    }
    return placement;
}

/**
 * FvPlacement_Free - release an index; its workers are removed, not released
 * @placement: the index, or NULL
 */
void
FvPlacement_Free(fv_placement_t *placement)
{
    if (placement == NULL) {
        return;
    }
    for (uint32_t i = 0; i < placement->count; i++) {
        placement->entries[i]->worker->placement_index = -1;
        free(placement->entries[i]);
    }
    for (uint32_t i = 0; i < placement->view_count; i++) {
        for (uint32_t j = 0; j < BUCKETS; j++) {
            free(placement->views[i].buckets[j].items);
        }
    }
    for (uint32_t i = 0; i < placement->racks.count; i++) {
        rack_t *rack = placement->racks.entries[i];

        free(rack->entries);
    }
    FvTable_Clear(&placement->racks);
    free(placement->shapes);
    free(placement->entries);
    free(placement);
}

static uint32_t
bucket_of(int64_t cpu_millis)
{
    int64_t bucket = cpu_millis / BUCKET_CPU_MILLIS;

    if (bucket < 0) {
        return 0;
    }
    return bucket < BUCKETS ? (uint32_t)bucket : BUCKETS - 1;
}

static void
remove_from_bucket(view_t *view, uint32_t view_index, entry_t *entry)
{
    uint32_t position = entry->position[view_index];
    bucket_t *bucket;

    if (entry->bucket[view_index] == NO_INDEX) {
        return;
    }
    bucket = &view->buckets[entry->bucket[view_index]];
    bucket->items[position] = bucket->items[--bucket->count];
    bucket->items[position].entry->position[view_index] = position;
    entry->bucket[view_index] = NO_INDEX;
}

/* If memory is exhausted, the worker is not a candidate until its next
   update. */
static void
insert_into_bucket(view_t *view, uint32_t view_index, entry_t *entry,
                   const fv_resources_t *usable)
{
    uint32_t number = bucket_of(usable->cpu_millis);
    bucket_t *bucket = &view->buckets[number];

    if (!grow_array((void **)&bucket->items, bucket->count, &bucket->capacity,
                    sizeof(item_t))) {
        return;
    }
    bucket->items[bucket->count] = (item_t){.usable = *usable, .entry = entry};
    entry->bucket[view_index] = number;
    entry->position[view_index] = bucket->count;
    bucket->count++;
}

static void
update_view(view_t *view, uint32_t view_index, entry_t *entry)
{
    const fv_worker_t *worker = entry->worker;
    fv_resources_t usable;
    uint32_t number;

    view->usable(worker, &usable);
    if (!worker->listed || worker->leaving || !worker->lease.held ||
        usable.slots <= 0 || usable.cpu_millis < 0 ||
        usable.memory_bytes < 0) {
        remove_from_bucket(view, view_index, entry);
        return;
    }
    number = entry->bucket[view_index];
    if (number != NO_INDEX && number == bucket_of(usable.cpu_millis)) {
        view->buckets[number].items[entry->position[view_index]].usable =
            usable;
        return;
    }
    remove_from_bucket(view, view_index, entry);
    insert_into_bucket(view, view_index, entry, &usable);
}

static bool
same_resources(const fv_resources_t *a, const fv_resources_t *b)
{
    return FvResources_Fits(a, b) && FvResources_Fits(b, a);
}

static uint32_t
obtain_shape(fv_placement_t *placement, const fv_resources_t *capacity)
{
    uint32_t vacant = placement->shape_count;

    for (uint32_t i = 0; i < placement->shape_count; i++) {
        if (same_resources(&placement->shapes[i].capacity, capacity)) {
            return i;
        }
        if (placement->shapes[i].count == 0) {
            vacant = i;
        }
    }
    if (vacant == placement->shape_count) {
        if (!grow_array((void **)&placement->shapes, placement->shape_count,
                        &placement->shape_capacity, sizeof(shape_t))) {
            return NO_INDEX;
        }
        placement->shape_count++;
    }
    placement->shapes[vacant] = (shape_t){.capacity = *capacity};
    return vacant;
}

static void
release_shape(fv_placement_t *placement, entry_t *entry)
{
    if (entry->shape != NO_INDEX) {
        placement->shapes[entry->shape].count--;
        entry->shape = NO_INDEX;
    }
}

static void
update_shape(fv_placement_t *placement, entry_t *entry)
{
    const fv_resources_t *capacity = &entry->worker->capacity;

    if (entry->shape != NO_INDEX &&
        same_resources(&placement->shapes[entry->shape].capacity, capacity)) {
        return;
    }
    release_shape(placement, entry);
    entry->shape = obtain_shape(placement, capacity);
    if (entry->shape != NO_INDEX) {
        placement->shapes[entry->shape].count++;
    }
}

/* Hashes MEMBER:KEY:ATTEMPT, the job id in the task id
 * MEMBER:KEY:ATTEMPT:INDEX. */
static uint64_t
hash_job_id(const char *task_id)
{
    const char *end = strrchr(task_id, ':');
    size_t length = end == NULL ? strlen(task_id) : (size_t)(end - task_id);

    return XXH3_64bits(task_id, length);
}

static void
update_service_jobs(entry_t *entry)
{
    const fv_task_t *task = entry->worker->tasks;

    entry->service_count = 0;
    for (; task != NULL && entry->service_count < SERVICE_TASKS_MAX;
         task = task->next) {
        if (task->class_id == Fv_CLASS_SERVICE) {
            entry->service_jobs[entry->service_count++] =
                hash_job_id(task->id);
        }
    }
}

static entry_t *
find_entry(const fv_placement_t *placement, const fv_worker_t *worker)
{
    uint32_t slot = (uint32_t)worker->placement_index;

    if (worker->placement_index < 0 || slot >= placement->count ||
        placement->entries[slot]->worker != worker) {
        return NULL;
    }
    return placement->entries[slot];
}

/**
 * FvPlacement_Update - update the index after a change of a worker
 * @placement: the index
 * @worker: a worker of the index
 *
 * To be called after every change of the worker's tasks, capacity, lease
 * ownership or list state. After a missed call the worker may be overlooked,
 * but a worker that does not fit is never chosen.
 */
void
FvPlacement_Update(fv_placement_t *placement, fv_worker_t *worker)
{
    entry_t *entry = find_entry(placement, worker);

    if (entry == NULL) {
        return;
    }
    update_shape(placement, entry);
    update_service_jobs(entry);
    for (uint32_t i = 0; i < placement->view_count; i++) {
        update_view(&placement->views[i], i, entry);
    }
}

static bool
join_rack(fv_placement_t *placement, entry_t *entry)
{
    char name[Fv_NAME_SIZE * 2];
    rack_t *rack;

    snprintf(name, sizeof(name), "%s/%s", entry->worker->data_center,
             entry->worker->rack);
    rack = FvTable_FindOrAdd(&placement->racks, name, sizeof(name),
                             sizeof(rack_t));
    if (rack == NULL || !grow_array((void **)&rack->entries, rack->count,
                                    &rack->capacity, sizeof(entry_t *))) {
        return false;
    }
    rack->entries[rack->count++] = entry;
    entry->rack = rack;
    return true;
}

static void
leave_rack(entry_t *entry)
{
    rack_t *rack = entry->rack;
    uint32_t i = 0;

    while (rack->entries[i] != entry) {
        i++;
    }
    rack->entries[i] = rack->entries[--rack->count];
}

/**
 * FvPlacement_Add - add a worker to the index
 * @placement: the index
 * @worker: the worker; it must be removed before it is freed
 *
 * Return: false if it is already in an index or memory is exhausted.
 */
bool
FvPlacement_Add(fv_placement_t *placement, fv_worker_t *worker)
{
    entry_t *entry;

    if (worker->placement_index >= 0 ||
        !grow_array((void **)&placement->entries, placement->count,
                    &placement->capacity, sizeof(entry_t *))) {
        return false;
    }
    entry = calloc(1, sizeof(*entry));
    if (entry == NULL) {
        return false;
    }
    entry->worker = worker;
    entry->shape = NO_INDEX;
    memset(entry->bucket, 0xff, sizeof(entry->bucket)); /* NO_INDEX */
    if (!join_rack(placement, entry)) {
        free(entry);
        return false;
    }
    worker->placement_index = (int32_t)placement->count;
    placement->entries[placement->count++] = entry;
    FvPlacement_Update(placement, worker);
    return true;
}

/**
 * FvPlacement_Remove - remove a worker from the index
 * @placement: the index
 * @worker: the worker; nothing happens if it is not in the index
 */
void
FvPlacement_Remove(fv_placement_t *placement, fv_worker_t *worker)
{
    entry_t *entry = find_entry(placement, worker);
    entry_t *last;

    if (entry == NULL) {
        return;
    }
    for (uint32_t i = 0; i < placement->view_count; i++) {
        remove_from_bucket(&placement->views[i], i, entry);
    }
    release_shape(placement, entry);
    leave_rack(entry);
    last = placement->entries[--placement->count];
    placement->entries[worker->placement_index] = last;
    last->worker->placement_index = worker->placement_index;
    worker->placement_index = -1;
    free(entry);
}

static uint32_t
tasks_in_rack(const rack_t *rack, uint64_t job_hash)
{
    uint32_t tasks = 0;

    for (uint32_t i = 0; i < rack->count; i++) {
        const entry_t *entry = rack->entries[i];

        for (uint32_t j = 0; j < entry->service_count; j++) {
            tasks += entry->service_jobs[j] == job_hash;
        }
    }
    return tasks;
}

/* Compares a worker with the best one so far. Uses the worker's current state,
   because the copy in the index may be out of date. */
static void
rank_worker(search_t *search, const entry_t *entry)
{
    fv_worker_t *worker = entry->worker;
    fv_resources_t usable;
    uint32_t in_rack = 0;
    int64_t score;

    search->policy->usable(worker, &usable);
    if (!FvResources_Fits(&search->size, &usable) ||
        !FvWorker_AcceptsTasks(worker, search->now_ms)) {
        return;
    }
    if (search->policy->spreads_racks) {
        in_rack = tasks_in_rack(entry->rack, search->job_hash);
    }
    score = search->policy->score(worker, &search->size, in_rack);
    if (search->best == NULL || score > search->best_score) {
        search->best = worker;
        search->best_score = score;
    }
    search->ranked++;
}

static void
scan_bucket(const bucket_t *bucket, uint32_t start, search_t *search)
{
    uint32_t stride = 1;
    uint32_t position;

    if (bucket->count == 0) {
        return;
    }
    if (bucket->count > CANDIDATES_MAX && bucket->count % SCAN_STRIDE != 0) {
        stride = SCAN_STRIDE;
    }
    position = start % bucket->count;
    for (uint32_t i = 0; i < bucket->count; i++) {
        const item_t *item = &bucket->items[position];

        if (FvResources_Fits(&search->size, &item->usable)) {
            rank_worker(search, item->entry);
            if (search->ranked >= CANDIDATES_MAX) {
                return;
            }
        }
        position += stride;
        if (position >= bucket->count) {
            position -= bucket->count;
        }
    }
}

/* Scans the buckets in which the size may fit: the emptiest workers first if
   the policy asks for them, otherwise the fullest first. */
static void
scan_view(const view_t *view, uint32_t start, search_t *search)
{
    uint32_t lowest = bucket_of(search->size.cpu_millis);

    for (uint32_t i = lowest; i < BUCKETS; i++) {
        uint32_t number =
            search->policy->most_free_first ? BUCKETS - 1 - (i - lowest) : i;

        scan_bucket(&view->buckets[number], start, search);
        if (search->ranked >= CANDIDATES_MAX) {
            return;
        }
    }
}

/**
 * FvPlacement_Choose - choose the worker for one task
 * @placement: the index
 * @policy: the policy of the task's class
 * @size: the task's size; at least one slot is counted
 * @job_id: MEMBER:KEY:ATTEMPT, used to spread a service over racks, or NULL
 * @now_ms: boot time
 *
 * Return: a worker that the task fits on now, or NULL if there is none.
 */
fv_worker_t *
FvPlacement_Choose(fv_placement_t *placement, const fv_policy_t *policy,
                   const fv_resources_t *size, const char *job_id,
                   int64_t now_ms)
{
    uint32_t view = find_view(placement, policy);
    search_t search = {.policy = policy, .size = *size, .now_ms = now_ms};

    if (view == placement->view_count) {
        return NULL;
    }
    if (search.size.slots < 1) {
        search.size.slots = 1;
    }
    if (policy->spreads_racks && job_id != NULL) {
        search.job_hash = XXH3_64bits(job_id, strlen(job_id));
    }
    scan_view(&placement->views[view], placement->scan_start, &search);
    placement->scan_start += CANDIDATES_MAX;
    return search.best;
}

/**
 * FvPlacement_CanEverFit - whether a task fits on any worker when it is idle
 * @placement: the index; workers without a lease count too
 * @policy: the policy of the task's class
 * @size: the task's size
 *
 * Return: false if no worker is large enough for the task.
 */
bool
FvPlacement_CanEverFit(const fv_placement_t *placement,
                       const fv_policy_t *policy, const fv_resources_t *size)
{
    for (uint32_t i = 0; i < placement->shape_count; i++) {
        const shape_t *shape = &placement->shapes[i];
        fv_worker_t idle = {.capacity = shape->capacity,
                            .free = shape->capacity};
        fv_resources_t usable;

        if (shape->count == 0) {
            continue;
        }
        policy->usable(&idle, &usable);
        if (FvResources_Fits(size, &usable)) {
            return true;
        }
    }
    return false;
}

#define MAX_OF(A, B) ((A) > (B) ? (A) : (B))

/* Takes the maximum of each resource separately, because a host that has one
   worker with processors and another with accelerators can run both kinds of
   tasks. */
static void
raise_each(fv_resources_t *largest, const fv_resources_t *other)
{
    largest->cpu_millis = MAX_OF(largest->cpu_millis, other->cpu_millis);
    largest->memory_bytes = MAX_OF(largest->memory_bytes, other->memory_bytes);
    largest->accelerators = MAX_OF(largest->accelerators, other->accelerators);
    largest->slots = MAX_OF(largest->slots, other->slots);
}

/**
 * FvPlacement_Summarize - fill in the free capacity of a digest
 * @placement: the index
 * @digest: receives the number of workers that accept tasks; the total and the
 *          maximum of each resource that non-interactive tasks may use; and
 *          the total that interactive tasks may use
 * @now_ms: boot time
 */
void
FvPlacement_Summarize(const fv_placement_t *placement,
                      fv_host_digest_t *digest, int64_t now_ms)
{
    digest->workers = 0;
    digest->free_total = (fv_resources_t){0};
    digest->free_largest = (fv_resources_t){0};
    digest->free_interactive = (fv_resources_t){0};
    for (uint32_t i = 0; i < placement->count; i++) {
        const fv_worker_t *worker = placement->entries[i]->worker;
        fv_resources_t usable;

        if (!FvWorker_AcceptsTasks(worker, now_ms)) {
            continue;
        }
        digest->workers++;
        FvResources_Add(&digest->free_interactive, &worker->free);
        FvPolicy_SubtractHeadroom(worker, &usable);
        if (usable.slots > 0 && usable.cpu_millis > 0 &&
            usable.memory_bytes > 0) {
            FvResources_Add(&digest->free_total, &usable);
            raise_each(&digest->free_largest, &usable);
        }
    }
}
