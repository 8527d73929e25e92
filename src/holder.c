/*
 * Worker leases of this host: taking, renewing and handing them over, and the
 * ledgers of the workers under them.
 */

#include "daemon.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define Fv_HOLDER_TICK_MS 250
#define Fv_HOLDER_RETRY_MS 300
/* A better candidate must stand this long before a lease is handed over, so
 * that a host that flaps does not move leases back and forth. */
#define Fv_HOLDER_HANDOVER_MS 2000
#define Fv_HOLDER_LEASE_TIMEOUT_MS 1500
/* Asked for only to see whether the worker answers; no job has this id. */
#define Fv_HOLDER_PROBE_TASK "lease-probe"

static void fire_holding(void *owner);

static void
schedule(fv_holding_t *holding, int64_t delay_ms)
{
    FvLoop_SetTimer(holding->holder->daemon->loop, &holding->timer,
                    FvClock_NowMs() + delay_ms);
}

/* Spreads the calls of many workers over the interval. */
static int64_t
with_jitter(int64_t delay_ms)
{
    return delay_ms - delay_ms / 10 +
           randombytes_uniform((uint32_t)(delay_ms / 10 + 1));
}

/**
 * FvHolder_Find - look a worker up by name
 * @holder: the holder
 * @worker: the name
 *
 * Return: its holding, or NULL when it is not listed.
 */
fv_holding_t *
FvHolder_Find(const fv_holder_t *holder, const char *worker)
{
    fv_holding_t *holding = NULL;

    HASH_FIND_STR(holder->holdings, worker, holding);
    return holding;
}

/**
 * FvHolder_AddTask - put a task into a worker's ledger
 * @holding: the worker
 * @task: the task
 *
 * Return: the entry, or NULL when memory is exhausted.
 */
fv_task_t *
FvHolder_AddTask(fv_holding_t *holding, const fv_task_t *task)
{
    fv_holder_t *holder = holding->holder;
    fv_task_t *entry = FvWorker_AddTask(holding->worker, task);

    if (entry == NULL) {
        return NULL;
    }
    entry->charged_until_ms = FvClock_NowMs();
    entry->added_ms = entry->charged_until_ms;
    FvShares_Add(holder->daemon->shares, task->member, &task->size);
    FvPlacement_Update(holder->placement, holding->worker);
    return entry;
}

static void
accrue(const fv_holding_t *holding, fv_task_t *task, int64_t now_ms)
{
    if (task->state != Fv_TASK_RESERVED) {
        FvAccounts_Accrue(holding->holder->daemon->accounts, task->member,
                          &task->size, now_ms - task->charged_until_ms);
    }
    task->charged_until_ms = now_ms;
}

/**
 * FvHolder_RemoveTask - take a task off a worker's ledger
 * @holding: the worker
 * @task: the entry; released
 */
void
FvHolder_RemoveTask(fv_holding_t *holding, fv_task_t *task)
{
    fv_daemon_t *daemon = holding->holder->daemon;

    if (task->state == Fv_TASK_RESERVED) {
        /* It never started, so it tells nothing of the worker. */
        FvQuarantine_AbortProbe(&holding->worker->quarantine);
    }
    accrue(holding, task, FvClock_NowMs());
    FvShares_Subtract(daemon->shares, task->member, &task->size);
    FvWorker_RemoveTask(holding->worker, task);
    FvPlacement_Update(holding->holder->placement, holding->worker);
    FvRunner_Wake(daemon->runner);
}

static void
clear_ledger(fv_holding_t *holding)
{
    fv_task_t *task = holding->worker->tasks;

    while (task != NULL) {
        fv_task_t *next = task->next;

        FvHolder_RemoveTask(holding, task);
        task = next;
    }
}

static void
lose_lease(fv_holding_t *holding, const char *reason)
{
    fv_holder_t *holder = holding->holder;
    fv_worker_t *worker = holding->worker;

    if (!worker->lease.held) {
        return;
    }
    FvLog_Event(Fv_LOG_INFO, "lease_lost", "worker=%s term=%llu reason=%s",
                worker->name, (unsigned long long)worker->lease.term, reason);
    FvMetrics_Add(Fv_COUNTER_LEASE_LOSSES, 1);
    FvLease_Lost(&worker->lease, FvClock_NowNs());
    FvPlacement_Remove(holder->placement, worker);
    FvResources_Subtract(&holder->total, &worker->capacity);
    FvShares_SetCapacity(holder->daemon->shares, &holder->total);
    clear_ledger(holding);
    FvWorker_SetCapacity(worker, &(fv_resources_t){0});
    worker->last_event_sequence = 0;
    FvHolder_DropWaiters(holding);
}

static void
gain_lease(fv_holding_t *holding, const fv_lease_reply_t *reply)
{
    fv_holder_t *holder = holding->holder;
    fv_worker_t *worker = holding->worker;

    FvLease_Granted(&worker->lease, reply->term, holding->sent_ns,
                    FvClock_NowNs(), (int32_t)reply->ttl_ms);
    FvWorker_SetCapacity(worker, &reply->capacity);
    worker->connections = reply->connections;
    FvResources_Add(&holder->total, &worker->capacity);
    FvShares_SetCapacity(holder->daemon->shares, &holder->total);
    FvPlacement_Add(holder->placement, worker);
    FvLog_Event(Fv_LOG_INFO, "lease_acquired",
                "worker=%s term=%llu running=%u", worker->name,
                (unsigned long long)reply->term, reply->task_count);
}

/* Takes over what the worker says of one task. */
static void
apply_task(fv_holding_t *holding, const fv_task_t *told)
{
    fv_task_t *entry = FvWorker_FindTask(holding->worker, told->id);

    if (FvTaskState_IsTerminal(told->state)) {
        /* The reply to a pending start settles its own entry. */
        if (entry != NULL && entry->state != Fv_TASK_STARTING) {
            FvHolder_RemoveTask(holding, entry);
        }
        FvHolder_TaskEnded(holding, told->id);
        return;
    }
    if (entry == NULL) {
        FvHolder_AddTask(holding, told);
        return;
    }
    entry->used = told->used;
    entry->ran_ms = told->ran_ms;
    if (entry->state != Fv_TASK_STARTING) {
        entry->state = told->state;
    }
}

/* The list lags, so the worker's own word counts as much as the list's. */
static void
update_leaving(fv_holding_t *holding)
{
    fv_worker_t *worker = holding->worker;
    bool leaving = holding->listed_leaving || holding->told_leaving;

    if (leaving != worker->leaving) {
        worker->leaving = leaving;
        FvLog_Event(Fv_LOG_INFO,
                    leaving ? "worker_leaving" : "worker_returned",
                    "worker=%s", worker->name);
    }
}

static void
apply_grant(fv_holding_t *holding, const fv_lease_reply_t *reply)
{
    fv_worker_t *worker = holding->worker;

    if (worker->lease.held && worker->lease.term != reply->term) {
        lose_lease(holding, "replaced");
    }
    if (!worker->lease.held) {
        gain_lease(holding, reply);
    }
    else {
        FvLease_Granted(&worker->lease, reply->term, holding->sent_ns,
                        FvClock_NowNs(), (int32_t)reply->ttl_ms);
    }
    worker->last_event_sequence = reply->sequence;
    holding->told_leaving = reply->leaving;
    update_leaving(holding);
    for (uint32_t i = 0; i < reply->task_count; i++) {
        apply_task(holding, &reply->tasks[i]);
    }
    for (fv_task_t *task = worker->tasks; task != NULL; task = task->next) {
        accrue(holding, task, FvClock_NowMs());
    }
    FvPlacement_Update(holding->holder->placement, worker);
}

static int64_t
refused_delay_ms(const fv_lease_reply_t *reply)
{
    int64_t delay_ms = reply->expires_in_ms;

    /* Ask again soon: the other holder may release it before it expires. */
    if (delay_ms <= 0 || delay_ms > 2 * Fv_HOLDER_RETRY_MS) {
        delay_ms = 2 * Fv_HOLDER_RETRY_MS;
    }
    return delay_ms;
}

static void
receive_lease(void *context, const fv_lease_reply_t *reply)
{
    fv_holding_t *holding = context;
    fv_worker_t *worker = holding->worker;
    fv_daemon_t *daemon = holding->holder->daemon;
    int64_t ttl_ns = daemon->settings.lease_ttl_ms * Fv_NS_PER_MS;

    holding->call_pending = false;
    holding->unanswered = reply->error == Fv_UPSTREAM_IN_DOUBT;
    switch (reply->error) {
    case Fv_UPSTREAM_OK:
        FvMetrics_Add(Fv_COUNTER_LEASE_RENEWALS, 1);
        apply_grant(holding, reply);
        FvRunner_Wake(daemon->runner);
        schedule(holding, with_jitter(daemon->settings.lease_renew_ms));
        return;
    case Fv_UPSTREAM_REFUSED:
        lose_lease(holding, "refused");
        schedule(holding, with_jitter(refused_delay_ms(reply)));
        return;
    case Fv_UPSTREAM_IN_DOUBT:
    case Fv_UPSTREAM_MALFORMED:
        holding->maybe_held_until_ns = FvClock_NowNs() + ttl_ns;
        break;
    case Fv_UPSTREAM_NOT_SENT:
        break;
    }
    FvLog_Event(Fv_LOG_DEBUG, "lease_call_failed", "worker=%s error=%d",
                worker->name, (int)reply->error);
    schedule(holding, with_jitter(Fv_HOLDER_RETRY_MS));
}

static void
receive_release(void *context, const fv_lease_reply_t *reply)
{
    fv_holding_t *holding = context;

    (void)reply;
    holding->call_pending = false;
    lose_lease(holding, "released");
    schedule(holding, Fv_HOLDER_RETRY_MS);
}

static void
call_lease(fv_holding_t *holding)
{
    fv_worker_t *worker = holding->worker;
    fv_upstream_t *upstream = holding->holder->daemon->upstream;
    uint64_t term = worker->lease.held ? worker->lease.term : 0;

    holding->call_pending = true;
    holding->sent_ns = FvClock_NowNs();
    upstream->type->lease(upstream, worker, term, receive_lease, holding);
}

static void
receive_probe(void *context, fv_upstream_error_t error, fv_task_reply_t *reply)
{
    fv_holding_t *holding = context;

    (void)reply;
    holding->probe_pending = false;
    holding->unanswered =
        error != Fv_UPSTREAM_OK && error != Fv_UPSTREAM_REFUSED;
    schedule(holding, with_jitter(Fv_HOLDER_RETRY_MS));
}

/* A worker that receives requests but whose answers are lost would keep its
 * tasks for as long as its lease is asked for: no lapse could be proven. */
static void
probe_worker(fv_holding_t *holding)
{
    fv_upstream_t *upstream = holding->holder->daemon->upstream;

    holding->probe_pending = true;
    upstream->type->query(upstream, holding->worker->base_url,
                          Fv_HOLDER_PROBE_TASK, receive_probe, holding);
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

/* Whether the lease should go to another host now. */
static bool
should_release(const fv_holding_t *holding)
{
    bool unwanted = holding->holder->draining || !holding->worker->listed;

    if (holding->starts_pending > 0) {
        return false;
    }
    if (unwanted) {
        return true;
    }
    return !holding->candidate && !has_reservations(holding->worker) &&
           FvClock_NowMs() - holding->not_candidate_since_ms >=
               Fv_HOLDER_HANDOVER_MS;
}

static void
release_lease(fv_holding_t *holding)
{
    fv_upstream_t *upstream = holding->holder->daemon->upstream;

    holding->call_pending = true;
    /* Nothing starts under a lease that is being handed over. */
    holding->worker->lease.start_from_ns = INT64_MAX;
    upstream->type->release(upstream, holding->worker, receive_release,
                            holding);
}

static void
fire_holding(void *owner)
{
    fv_holding_t *holding = owner;
    fv_worker_t *worker = holding->worker;

    if (holding->call_pending || holding->probe_pending) {
        return;
    }
    if (worker->lease.held &&
        FvLease_Expired(&worker->lease, FvClock_NowNs())) {
        lose_lease(holding, "expired");
    }
    if (worker->lease.held) {
        if (should_release(holding)) {
            release_lease(holding);
        }
        else {
            call_lease(holding);
        }
        return;
    }
    if (!holding->candidate || holding->holder->draining || !worker->listed) {
        return;
    }
    if (holding->unanswered) {
        probe_worker(holding);
    }
    else {
        call_lease(holding);
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
update_candidate(fv_holding_t *holding, int64_t now_ms)
{
    fv_daemon_t *daemon = holding->holder->daemon;
    fv_worker_t *worker = holding->worker;
    const fv_host_t *best = FvHosts_PreferredLeaseHolder(
        &daemon->hosts, daemon->self, worker->data_center, worker->region,
        worker->rack, now_ms);
    bool candidate = best == daemon->self && worker->listed;

    if (holding->candidate && !candidate) {
        holding->not_candidate_since_ms = now_ms;
    }
    holding->candidate = candidate;
    if (candidate && !holding->timer.armed && !holding->call_pending) {
        schedule(holding, randombytes_uniform(Fv_HOLDER_RETRY_MS));
    }
}

static void
expire_reservations(fv_holding_t *holding, int64_t now_ms)
{
    fv_task_t *task = holding->worker->tasks;

    while (task != NULL) {
        fv_task_t *next = task->next;

        if (task->state == Fv_TASK_RESERVED && now_ms >= task->expires_ms) {
            FvHolder_RemoveTask(holding, task);
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
        holder->list_changed || signature != holder->alive_signature;
    fv_holding_t *holding;

    holder->alive_signature = signature;
    holder->list_changed = false;
    for (holding = holder->holdings; holding != NULL;
         holding = holding->hh.next) {
        if (changed) {
            update_candidate(holding, now_ms);
        }
        expire_reservations(holding, now_ms);
    }
    FvLoop_SetTimer(holder->daemon->loop, &holder->tick,
                    now_ms + Fv_HOLDER_TICK_MS);
}

static fv_holding_t *
add_holding(fv_holder_t *holder, const char *name)
{
    fv_holding_t *holding = calloc(1, sizeof(*holding));

    if (holding == NULL) {
        return NULL;
    }
    holding->holder = holder;
    holding->timer.fire = fire_holding;
    holding->timer.owner = holding;
    holding->worker = FvWorker_New(name);
    if (holding->worker == NULL) {
        free(holding);
        return NULL;
    }
    holding->worker->holder = holding;
    HASH_ADD_KEYPTR(hh, holder->holdings, holding->worker->name,
                    strlen(holding->worker->name), holding);
    holder->list_changed = true;
    return holding;
}

static void
read_worker(fv_holder_t *holder, const json_t *entry, const char *name)
{
    fv_holding_t *holding = FvHolder_Find(holder, name);
    const char *state = FvJson_String(entry, "state");
    fv_worker_t *worker;

    if (holding == NULL) {
        holding = add_holding(holder, name);
    }
    if (holding == NULL) {
        return;
    }
    holding->list_generation = holder->list_generation;
    worker = holding->worker;
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
    holding->listed_leaving = state != NULL && strcmp(state, "leaving") == 0;
    update_leaving(holding);
}

/* Workers that the last list did not name are gone. */
static void
drop_unlisted(fv_holder_t *holder)
{
    fv_holding_t *holding;

    for (holding = holder->holdings; holding != NULL;
         holding = holding->hh.next) {
        if (holding->worker->listed &&
            holding->list_generation != holder->list_generation) {
            holding->worker->listed = false;
            holder->list_changed = true;
            FvLog_Event(Fv_LOG_INFO, "worker_unlisted", "worker=%s",
                        holding->worker->name);
        }
    }
}

/**
 * FvHolder_OnWorkers - take over the workers of the platform's list
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
            read_worker(holder, entry, name);
        }
    }
    drop_unlisted(holder);
}

/**
 * FvHolder_New - start holding leases
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

/* The links are closed by now, so nobody is told. */
static void
free_waiters(fv_holding_t *holding)
{
    fv_waiter_t *waiter = holding->waiters;

    while (waiter != NULL) {
        fv_waiter_t *next = waiter->next;

        FvLoop_CancelTimer(holding->holder->daemon->loop, &waiter->timer);
        free(waiter);
        waiter = next;
    }
}

/**
 * FvHolder_Free - release the holder and all ledgers
 * @holder: the holder, or NULL
 */
void
FvHolder_Free(fv_holder_t *holder)
{
    fv_holding_t *holding;
    fv_holding_t *next;

    if (holder == NULL) {
        return;
    }
    holding = holder->holdings;
    HASH_CLEAR(hh, holder->holdings);
    while (holding != NULL) {
        next = holding->hh.next;
        free_waiters(holding);
        FvWorker_Free(holding->worker);
        free(holding);
        holding = next;
    }
    FvPlacement_Free(holder->placement);
    free(holder);
}

/**
 * FvHolder_Drain - hand over all leases and start nothing more
 * @holder: the holder
 */
void
FvHolder_Drain(fv_holder_t *holder)
{
    fv_holding_t *holding;

    holder->draining = true;
    for (holding = holder->holdings; holding != NULL;
         holding = holding->hh.next) {
        if (holding->worker->lease.held && !holding->call_pending) {
            schedule(holding, 0);
        }
    }
}

/**
 * FvHolder_IsDrained - whether no lease is held any more
 * @holder: the holder
 *
 * Return: true when all leases were handed over or have expired.
 */
bool
FvHolder_IsDrained(const fv_holder_t *holder)
{
    fv_holding_t *holding;

    for (holding = holder->holdings; holding != NULL;
         holding = holding->hh.next) {
        if (holding->worker->lease.held) {
            return false;
        }
    }
    return true;
}

static void
raise_to(fv_resources_t *largest, const fv_resources_t *other)
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
 * FvHolder_Summarize - fill in what a digest says of the leases held
 * @holder: the holder
 * @digest: the digest
 */
void
FvHolder_Summarize(const fv_holder_t *holder, fv_host_digest_t *digest)
{
    fv_holding_t *holding;

    digest->held = 0;
    digest->largest_capacity = (fv_resources_t){0};
    for (holding = holder->holdings; holding != NULL;
         holding = holding->hh.next) {
        if (holding->worker->lease.held) {
            digest->held++;
            raise_to(&digest->largest_capacity, &holding->worker->capacity);
        }
    }
}

/**
 * FvHolder_CountListed - number of workers in the platform's list
 * @holder: the holder
 *
 * Return: the number, without workers that leave.
 */
uint32_t
FvHolder_CountListed(const fv_holder_t *holder)
{
    uint32_t count = 0;
    fv_holding_t *holding;

    for (holding = holder->holdings; holding != NULL;
         holding = holding->hh.next) {
        if (holding->worker->listed && !holding->worker->leaving) {
            count++;
        }
    }
    return count;
}

static json_t *
describe_worker(const fv_holding_t *holding)
{
    const fv_worker_t *worker = holding->worker;
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
 * FvHolder_ToJson - describe the workers held
 * @holder: the holder
 *
 * Return: a new array.
 */
json_t *
FvHolder_ToJson(const fv_holder_t *holder)
{
    json_t *list = json_array();
    fv_holding_t *holding;

    for (holding = holder->holdings; holding != NULL;
         holding = holding->hh.next) {
        if (holding->worker->lease.held) {
            json_array_append_new(list, describe_worker(holding));
        }
    }
    return list;
}
