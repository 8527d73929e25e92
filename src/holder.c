/*
 * Worker leases of this host: acquires, renews and releases them, and keeps
 * the task lists of the workers whose leases it holds.
 */

#include "daemon.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define Fv_HOLDER_TICK_MS 250
#define Fv_HOLDER_RETRY_MS 300
/* Another host must be preferred for this long before a lease is released
 * to it, so that a flapping host does not move leases back and forth. */
#define Fv_HOLDER_HANDOVER_DELAY_MS 2000
#define Fv_HOLDER_LEASE_TIMEOUT_MS 1500
/* Queried only to test whether the worker replies; no job has this id. */
#define Fv_HOLDER_PROBE_TASK_ID "lease-probe"

static void fire_lease_timer(void *owner);

static void
schedule_lease_timer(fv_managed_worker_t *managed, int64_t delay_ms)
{
    FvLoop_SetTimer(managed->holder->daemon->loop, &managed->timer,
                    FvClock_NowMs() + delay_ms);
}

/* Jitter keeps the lease calls to different workers from coinciding. */
static int64_t
with_jitter(int64_t delay_ms)
{
    return delay_ms - delay_ms / 10 +
           randombytes_uniform((uint32_t)(delay_ms / 10 + 1));
}

/**
 * FvHolder_Find - look up a worker by name
 * @holder: the holder
 * @worker: the name
 *
 * Return: its entry, or NULL if the platform has never listed it.
 */
fv_managed_worker_t *
FvHolder_Find(const fv_holder_t *holder, const char *worker)
{
    fv_managed_worker_t *managed = NULL;

    HASH_FIND_STR(holder->managed_workers, worker, managed);
    return managed;
}

/**
 * FvHolder_AddTask - add a task to a worker's task list
 * @managed: the worker
 * @task: the task
 *
 * Return: the entry, or NULL when memory is exhausted.
 */
fv_task_t *
FvHolder_AddTask(fv_managed_worker_t *managed, const fv_task_t *task)
{
    fv_holder_t *holder = managed->holder;
    fv_task_t *entry = FvWorker_AddTask(managed->worker, task);

    if (entry == NULL) {
        return NULL;
    }
    entry->charged_until_ms = FvClock_NowMs();
    entry->added_ms = entry->charged_until_ms;
    FvShares_Add(holder->daemon->shares, task->member, &task->size);
    FvPlacement_Update(holder->placement, managed->worker);
    return entry;
}

static void
accrue_usage(const fv_managed_worker_t *managed, fv_task_t *task,
             int64_t now_ms)
{
    if (task->state != Fv_TASK_RESERVED) {
        FvAccounts_Accrue(managed->holder->daemon->accounts, task->member,
                          &task->size, now_ms - task->charged_until_ms);
    }
    task->charged_until_ms = now_ms;
}

/**
 * FvHolder_RemoveTask - remove a task from a worker's task list
 * @managed: the worker
 * @task: the entry; freed
 */
void
FvHolder_RemoveTask(fv_managed_worker_t *managed, fv_task_t *task)
{
    fv_daemon_t *daemon = managed->holder->daemon;

    if (task->state == Fv_TASK_RESERVED) {
        /* A task that never started says nothing about the worker's health. */
        FvQuarantine_AbortProbe(&managed->worker->quarantine);
    }
    accrue_usage(managed, task, FvClock_NowMs());
    FvShares_Subtract(daemon->shares, task->member, &task->size);
    FvWorker_RemoveTask(managed->worker, task);
    FvPlacement_Update(managed->holder->placement, managed->worker);
    FvRunner_ScheduleDispatch(daemon->runner);
}

static void
remove_all_tasks(fv_managed_worker_t *managed)
{
    fv_task_t *task = managed->worker->tasks;

    while (task != NULL) {
        fv_task_t *next = task->next;

        FvHolder_RemoveTask(managed, task);
        task = next;
    }
}

static void
lose_lease(fv_managed_worker_t *managed, const char *reason)
{
    fv_holder_t *holder = managed->holder;
    fv_worker_t *worker = managed->worker;

    if (!worker->lease.held) {
        return;
    }
    FvLog_Event(Fv_LOG_INFO, "lease_lost", "worker=%s term=%llu reason=%s",
                worker->name, (unsigned long long)worker->lease.term, reason);
    FvMetrics_Add(Fv_COUNTER_LEASE_LOSSES, 1);
    FvLease_Lost(&worker->lease, FvClock_NowNs());
    FvPlacement_Remove(holder->placement, worker);
    FvResources_Subtract(&holder->total_capacity, &worker->capacity);
    FvShares_SetCapacity(holder->daemon->shares, &holder->total_capacity);
    remove_all_tasks(managed);
    FvWorker_SetCapacity(worker, &(fv_resources_t){0});
    worker->last_event_sequence = 0;
    FvHolder_RefuseWaiters(managed);
}

static void
begin_lease(fv_managed_worker_t *managed, const fv_lease_reply_t *reply)
{
    fv_holder_t *holder = managed->holder;
    fv_worker_t *worker = managed->worker;

    FvLease_Granted(&worker->lease, reply->term, managed->sent_ns,
                    FvClock_NowNs(), (int32_t)reply->ttl_ms);
    FvWorker_SetCapacity(worker, &reply->capacity);
    worker->connection_limit = reply->connection_limit;
    FvResources_Add(&holder->total_capacity, &worker->capacity);
    FvShares_SetCapacity(holder->daemon->shares, &holder->total_capacity);
    FvPlacement_Add(holder->placement, worker);
    FvLog_Event(Fv_LOG_INFO, "lease_acquired",
                "worker=%s term=%llu running=%u", worker->name,
                (unsigned long long)reply->term, reply->task_count);
}

/* Updates one task from the worker's report. */
static void
apply_reported_task(fv_managed_worker_t *managed, const fv_task_t *reported)
{
    fv_task_t *entry = FvWorker_FindTask(managed->worker, reported->id);

    if (FvTaskState_IsTerminal(reported->state)) {
        /* While a start is pending, its reply updates the entry. */
        if (entry != NULL && entry->state != Fv_TASK_STARTING) {
            FvHolder_RemoveTask(managed, entry);
        }
        FvHolder_OnTaskEnded(managed, reported->id);
        return;
    }
    if (entry == NULL) {
        FvHolder_AddTask(managed, reported);
        return;
    }
    entry->used = reported->used;
    entry->ran_ms = reported->ran_ms;
    if (entry->state != Fv_TASK_STARTING) {
        entry->state = reported->state;
    }
}

/* The platform's list may be out of date, so a worker also counts as leaving
 * if it reports this itself. */
static void
update_leaving(fv_managed_worker_t *managed)
{
    fv_worker_t *worker = managed->worker;
    bool leaving = managed->listed_leaving || managed->reported_leaving;

    if (leaving != worker->leaving) {
        worker->leaving = leaving;
        FvLog_Event(Fv_LOG_INFO,
                    leaving ? "worker_leaving" : "worker_returned",
                    "worker=%s", worker->name);
    }
}

static void
apply_grant(fv_managed_worker_t *managed, const fv_lease_reply_t *reply)
{
    fv_worker_t *worker = managed->worker;

    if (worker->lease.held && worker->lease.term != reply->term) {
        lose_lease(managed, "replaced");
    }
    if (!worker->lease.held) {
        begin_lease(managed, reply);
    }
    else {
        FvLease_Granted(&worker->lease, reply->term, managed->sent_ns,
                        FvClock_NowNs(), (int32_t)reply->ttl_ms);
    }
    worker->last_event_sequence = reply->sequence;
    managed->reported_leaving = reply->leaving;
    update_leaving(managed);
    for (uint32_t i = 0; i < reply->task_count; i++) {
        apply_reported_task(managed, &reply->tasks[i]);
    }
    for (fv_task_t *task = worker->tasks; task != NULL; task = task->next) {
        accrue_usage(managed, task, FvClock_NowMs());
    }
    FvPlacement_Update(managed->holder->placement, worker);
}

static int64_t
refused_delay_ms(const fv_lease_reply_t *reply)
{
    int64_t delay_ms = reply->expires_in_ms;

    /* Retries soon: the other holder may release its lease before the expiry.
     */
    if (delay_ms <= 0 || delay_ms > 2 * Fv_HOLDER_RETRY_MS) {
        delay_ms = 2 * Fv_HOLDER_RETRY_MS;
    }
    return delay_ms;
}

static void
receive_lease(void *context, const fv_lease_reply_t *reply)
{
    fv_managed_worker_t *managed = context;
    fv_worker_t *worker = managed->worker;
    fv_daemon_t *daemon = managed->holder->daemon;
    int64_t ttl_ns = daemon->settings.lease_ttl_ms * Fv_NS_PER_MS;

    managed->call_pending = false;
    managed->lease_call_unconfirmed = reply->error == Fv_UPSTREAM_UNCONFIRMED;
    switch (reply->error) {
    case Fv_UPSTREAM_OK:
        FvMetrics_Add(Fv_COUNTER_LEASE_RENEWALS, 1);
        apply_grant(managed, reply);
        FvRunner_ScheduleDispatch(daemon->runner);
        schedule_lease_timer(managed,
                             with_jitter(daemon->settings.lease_renew_ms));
        return;
    case Fv_UPSTREAM_REFUSED:
        lose_lease(managed, "refused");
        schedule_lease_timer(managed, with_jitter(refused_delay_ms(reply)));
        return;
    case Fv_UPSTREAM_UNCONFIRMED:
    case Fv_UPSTREAM_MALFORMED:
        managed->unconfirmed_grant_expires_ns = FvClock_NowNs() + ttl_ns;
        break;
    case Fv_UPSTREAM_NOT_SENT:
        break;
    }
    FvLog_Event(Fv_LOG_DEBUG, "lease_call_failed", "worker=%s error=%d",
                worker->name, (int)reply->error);
    schedule_lease_timer(managed, with_jitter(Fv_HOLDER_RETRY_MS));
}

static void
receive_release(void *context, const fv_lease_reply_t *reply)
{
    fv_managed_worker_t *managed = context;

    (void)reply;
    managed->call_pending = false;
    lose_lease(managed, "released");
    schedule_lease_timer(managed, Fv_HOLDER_RETRY_MS);
}

static void
call_lease(fv_managed_worker_t *managed)
{
    fv_worker_t *worker = managed->worker;
    fv_upstream_t *upstream = managed->holder->daemon->upstream;
    uint64_t term = worker->lease.held ? worker->lease.term : 0;

    managed->call_pending = true;
    managed->sent_ns = FvClock_NowNs();
    upstream->type->lease(upstream, worker, term, receive_lease, managed);
}

static void
receive_probe(void *context, fv_upstream_error_t error, fv_task_reply_t *reply)
{
    fv_managed_worker_t *managed = context;

    (void)reply;
    managed->probe_pending = false;
    managed->lease_call_unconfirmed =
        error != Fv_UPSTREAM_OK && error != Fv_UPSTREAM_REFUSED;
    schedule_lease_timer(managed, with_jitter(Fv_HOLDER_RETRY_MS));
}

/* If a worker receives requests but its replies are lost, repeated lease calls
 * would keep extending the lease: its tasks would not stop, and its expiry
 * could not be proven. A query does not extend the lease. */
static void
probe_worker(fv_managed_worker_t *managed)
{
    fv_upstream_t *upstream = managed->holder->daemon->upstream;

    managed->probe_pending = true;
    upstream->type->query(upstream, managed->worker->base_url,
                          Fv_HOLDER_PROBE_TASK_ID, receive_probe, managed);
}

static bool
has_reservations(const fv_worker_t *worker)
{
    for (const fv_task_t *task = worker->tasks; task != NULL;
         task = task->next) {
        if (task->state == Fv_TASK_RESERVED) {
            return true;
        }
    }
    return false;
}

/* Whether the lease should be released now. */
static bool
should_release(const fv_managed_worker_t *managed)
{
    bool must_release = managed->holder->draining || !managed->worker->listed;

    if (managed->starts_pending > 0) {
        return false;
    }
    if (must_release) {
        return true;
    }
    return !managed->is_preferred_holder &&
           !has_reservations(managed->worker) &&
           FvClock_NowMs() - managed->not_preferred_since_ms >=
               Fv_HOLDER_HANDOVER_DELAY_MS;
}

static void
release_lease(fv_managed_worker_t *managed)
{
    fv_upstream_t *upstream = managed->holder->daemon->upstream;

    managed->call_pending = true;
    /* No task may be started under a lease that is being released. */
    managed->worker->lease.starts_allowed_from_ns = INT64_MAX;
    upstream->type->release(upstream, managed->worker, receive_release,
                            managed);
}

static void
fire_lease_timer(void *owner)
{
    fv_managed_worker_t *managed = owner;
    fv_worker_t *worker = managed->worker;

    if (managed->call_pending || managed->probe_pending) {
        return;
    }
    if (worker->lease.held &&
        FvLease_Expired(&worker->lease, FvClock_NowNs())) {
        lose_lease(managed, "expired");
    }
    if (worker->lease.held) {
        if (should_release(managed)) {
            release_lease(managed);
        }
        else {
            call_lease(managed);
        }
        return;
    }
    if (!managed->is_preferred_holder || managed->holder->draining ||
        !worker->listed) {
        return;
    }
    if (managed->lease_call_unconfirmed) {
        probe_worker(managed);
    }
    else {
        call_lease(managed);
    }
}

static uint64_t
hash_alive_hosts(const fv_daemon_t *daemon, int64_t now_ms)
{
    uint64_t hash = 0;

    for (uint32_t i = 0; i < daemon->hosts.count; i++) {
        const fv_host_t *host = daemon->hosts.entries[i];

        if (!host->digest.draining &&
            FvHost_IsAlive(host, daemon->self, now_ms)) {
            hash ^= FvText_Hash(host->name, strlen(host->name), 1);
        }
    }
    return hash;
}

static void
update_preferred_holder(fv_managed_worker_t *managed, int64_t now_ms)
{
    fv_daemon_t *daemon = managed->holder->daemon;
    fv_worker_t *worker = managed->worker;
    const fv_host_t *best = FvHosts_PreferredLeaseHolder(
        &daemon->hosts, daemon->self, worker->data_center, worker->region,
        worker->rack, now_ms);
    bool is_preferred_holder = best == daemon->self && worker->listed;

    if (managed->is_preferred_holder && !is_preferred_holder) {
        managed->not_preferred_since_ms = now_ms;
    }
    managed->is_preferred_holder = is_preferred_holder;
    if (is_preferred_holder && !managed->timer.armed &&
        !managed->call_pending) {
        schedule_lease_timer(managed, randombytes_uniform(Fv_HOLDER_RETRY_MS));
    }
}

static void
expire_reservations(fv_managed_worker_t *managed, int64_t now_ms)
{
    fv_task_t *task = managed->worker->tasks;

    while (task != NULL) {
        fv_task_t *next = task->next;

        if (task->state == Fv_TASK_RESERVED && now_ms >= task->expires_ms) {
            FvHolder_RemoveTask(managed, task);
        }
        task = next;
    }
}

static void
tick(void *owner)
{
    fv_holder_t *holder = owner;
    int64_t now_ms = FvClock_NowMs();
    uint64_t signature = hash_alive_hosts(holder->daemon, now_ms);
    bool changed =
        holder->list_changed || signature != holder->alive_hosts_hash;
    fv_managed_worker_t *managed;

    holder->alive_hosts_hash = signature;
    holder->list_changed = false;
    for (managed = holder->managed_workers; managed != NULL;
         managed = managed->hh.next) {
        if (changed) {
            update_preferred_holder(managed, now_ms);
        }
        expire_reservations(managed, now_ms);
    }
    FvLoop_SetTimer(holder->daemon->loop, &holder->tick,
                    now_ms + Fv_HOLDER_TICK_MS);
}

static fv_managed_worker_t *
add_managed_worker(fv_holder_t *holder, const char *name)
{
    fv_managed_worker_t *managed = calloc(1, sizeof(*managed));

    if (managed == NULL) {
        return NULL;
    }
    managed->holder = holder;
    managed->timer.fire = fire_lease_timer;
    managed->timer.owner = managed;
    managed->worker = FvWorker_New(name);
    if (managed->worker == NULL) {
        free(managed);
        return NULL;
    }
    managed->worker->managed = managed;
    HASH_ADD_KEYPTR(hh, holder->managed_workers, managed->worker->name,
                    strlen(managed->worker->name), managed);
    holder->list_changed = true;
    return managed;
}

static void
apply_listed_worker(fv_holder_t *holder, const json_t *entry, const char *name)
{
    fv_managed_worker_t *managed = FvHolder_Find(holder, name);
    const char *state = FvJson_String(entry, "state");
    fv_worker_t *worker;

    if (managed == NULL) {
        managed = add_managed_worker(holder, name);
    }
    if (managed == NULL) {
        return;
    }
    managed->list_generation = holder->list_generation;
    worker = managed->worker;
    FvJson_CopyString(entry, "region", worker->region, sizeof(worker->region));
    FvJson_CopyString(entry, "data_center", worker->data_center,
                      sizeof(worker->data_center));
    FvJson_CopyString(entry, "rack", worker->rack, sizeof(worker->rack));
    FvJson_CopyString(entry, "url", worker->base_url,
                      sizeof(worker->base_url));
    if (!worker->listed) {
        worker->listed = true;
        holder->list_changed = true;
    }
    managed->listed_leaving = state != NULL && strcmp(state, "leaving") == 0;
    update_leaving(managed);
}

/* Marks the workers that are missing from the last list. */
static void
mark_unlisted(fv_holder_t *holder)
{
    fv_managed_worker_t *managed;

    for (managed = holder->managed_workers; managed != NULL;
         managed = managed->hh.next) {
        if (managed->worker->listed &&
            managed->list_generation != holder->list_generation) {
            managed->worker->listed = false;
            holder->list_changed = true;
            FvLog_Event(Fv_LOG_INFO, "worker_unlisted", "worker=%s",
                        managed->worker->name);
        }
    }
}

/**
 * FvHolder_OnWorkers - handle a new list of workers from the platform
 * @holder: the holder
 * @listed: the list's entries
 */
void
FvHolder_OnWorkers(fv_holder_t *holder, const json_t *listed)
{
    size_t index;
    json_t *entry;

    holder->list_generation++;
    json_array_foreach(listed, index, entry)
    {
        const char *role = FvJson_String(entry, "role");
        const char *name = FvJson_String(entry, "name");

        if (role != NULL && strcmp(role, "worker") == 0 &&
            FvText_IsName(name, Fv_NAME_SIZE - 1)) {
            apply_listed_worker(holder, entry, name);
        }
    }
    mark_unlisted(holder);
}

/**
 * FvHolder_New - allocate the holder and start its timer
 * @daemon: the daemon
 *
 * Return: the holder, or NULL when memory is exhausted.
 */
fv_holder_t *
FvHolder_New(fv_daemon_t *daemon)
{
    fv_holder_t *holder = calloc(1, sizeof(*holder));

    if (holder == NULL) {
        return NULL;
    }
    holder->daemon = daemon;
    holder->placement = FvPlacement_New();
    if (holder->placement == NULL) {
        free(holder);
        return NULL;
    }
    holder->tick.fire = tick;
    holder->tick.owner = holder;
    FvLoop_SetTimer(daemon->loop, &holder->tick,
                    FvClock_NowMs() + Fv_HOLDER_TICK_MS);
    return holder;
}

/* The links are closed by now, so no reply can be sent. */
static void
free_waiters(fv_managed_worker_t *managed)
{
    fv_task_waiter_t *waiter = managed->waiters;

    while (waiter != NULL) {
        fv_task_waiter_t *next = waiter->next;

        FvLoop_CancelTimer(managed->holder->daemon->loop, &waiter->timer);
        free(waiter);
        waiter = next;
    }
}

/**
 * FvHolder_Free - free the holder and its workers
 * @holder: the holder, or NULL
 */
void
FvHolder_Free(fv_holder_t *holder)
{
    fv_managed_worker_t *managed;
    fv_managed_worker_t *next;

    if (holder == NULL) {
        return;
    }
    managed = holder->managed_workers;
    HASH_CLEAR(hh, holder->managed_workers);
    while (managed != NULL) {
        next = managed->hh.next;
        free_waiters(managed);
        FvWorker_Free(managed->worker);
        free(managed);
        managed = next;
    }
    FvPlacement_Free(holder->placement);
    free(holder);
}

/**
 * FvHolder_Drain - release all leases and start no more tasks
 * @holder: the holder
 */
void
FvHolder_Drain(fv_holder_t *holder)
{
    fv_managed_worker_t *managed;

    holder->draining = true;
    for (managed = holder->managed_workers; managed != NULL;
         managed = managed->hh.next) {
        if (managed->worker->lease.held && !managed->call_pending) {
            schedule_lease_timer(managed, 0);
        }
    }
}

/**
 * FvHolder_IsDrained - whether no lease is held
 * @holder: the holder
 *
 * Return: true when all leases were released or have expired.
 */
bool
FvHolder_IsDrained(const fv_holder_t *holder)
{
    fv_managed_worker_t *managed;

    for (managed = holder->managed_workers; managed != NULL;
         managed = managed->hh.next) {
        if (managed->worker->lease.held) {
            return false;
        }
    }
    return true;
}

static void
raise_each_to_max(fv_resources_t *largest, const fv_resources_t *other)
{
    if (other->cpu_millis > largest->cpu_millis) {
        largest->cpu_millis = other->cpu_millis;
    }
    if (other->memory_bytes > largest->memory_bytes) {
        largest->memory_bytes = other->memory_bytes;
    }
    if (other->accelerators > largest->accelerators) {
        largest->accelerators = other->accelerators;
    }
    if (other->slots > largest->slots) {
        largest->slots = other->slots;
    }
}

/**
 * FvHolder_Summarize - fill in the digest's lease count and largest capacity
 * @holder: the holder
 * @digest: the digest
 */
void
FvHolder_Summarize(const fv_holder_t *holder, fv_host_digest_t *digest)
{
    fv_managed_worker_t *managed;

    digest->held_leases = 0;
    digest->largest_capacity = (fv_resources_t){0};
    for (managed = holder->managed_workers; managed != NULL;
         managed = managed->hh.next) {
        if (managed->worker->lease.held) {
            digest->held_leases++;
            raise_each_to_max(&digest->largest_capacity,
                              &managed->worker->capacity);
        }
    }
}

/**
 * FvHolder_CountListed - count the workers in the platform's list
 * @holder: the holder
 *
 * Return: the number, without workers that are leaving.
 */
uint32_t
FvHolder_CountListed(const fv_holder_t *holder)
{
    uint32_t count = 0;
    fv_managed_worker_t *managed;

    for (managed = holder->managed_workers; managed != NULL;
         managed = managed->hh.next) {
        if (managed->worker->listed && !managed->worker->leaving) {
            count++;
        }
    }
    return count;
}

static json_t *
describe_worker(const fv_managed_worker_t *managed)
{
    const fv_worker_t *worker = managed->worker;
    int32_t running = 0;
    int32_t reserved = 0;

    for (const fv_task_t *task = worker->tasks; task != NULL;
         task = task->next) {
        if (task->state == Fv_TASK_RESERVED) {
            reserved++;
        }
        else {
            running++;
        }
    }
    return json_pack(
        "{s:s, s:s, s:s, s:s, s:b, s:b, s:i, s:i, s:o, s:o}", "name",
        worker->name, "region", worker->region, "data_center",
        worker->data_center, "rack", worker->rack, "leaving",
        (int)worker->leaving, "quarantined",
        (int)!FvQuarantine_AllowsTask(&worker->quarantine, FvClock_NowMs()),
        "running", (int)running, "reserved", (int)reserved, "capacity",
        FvResources_ToJson(&worker->capacity), "free",
        FvResources_ToJson(&worker->free));
}

/**
 * FvHolder_ToJson - describe the workers whose leases are held
 * @holder: the holder
 *
 * Return: a new array.
 */
json_t *
FvHolder_ToJson(const fv_holder_t *holder)
{
    json_t *list = json_array();
    fv_managed_worker_t *managed;

    for (managed = holder->managed_workers; managed != NULL;
         managed = managed->hh.next) {
        if (managed->worker->lease.held) {
            json_array_append_new(list, describe_worker(managed));
        }
    }
    return list;
}
