/*
 * The workers of a fake-worker process: leases, modes and the timer thread.
 */

#include "fake-worker-set-internal.h"

#include "fake-server.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

/* Longest wait of the timer thread when no timer is set. */
#define TIMER_IDLE_NS (Fv_NS_PER_S * 3600)

static void
wait_for_timer_locked(fake_worker_set_t *set, int64_t wait_ns)
{
    struct timespec until;

    clock_gettime(CLOCK_MONOTONIC, &until);
    until.tv_sec += (time_t)(wait_ns / Fv_NS_PER_S);
    until.tv_nsec += (long)(wait_ns % Fv_NS_PER_S);
    if (until.tv_nsec >= Fv_NS_PER_S) {
        until.tv_sec++;
        until.tv_nsec -= Fv_NS_PER_S;
    }
    pthread_cond_timedwait(&set->timers_changed, &set->lock, &until);
}

static void *
run_timers(void *context)
{
    fake_worker_set_t *set = context;

    pthread_mutex_lock(&set->lock);
    for (;;) {
        heap_timer_t *timer = FvTimerHeap_First(&set->timers);
        int64_t now_ns = FvClock_NowNs();

        if (timer != NULL && timer->due_ns <= now_ns) {
            FvTimerHeap_Cancel(&set->timers, timer);
            timer->fire(timer->owner, now_ns);
        }
        else {
            wait_for_timer_locked(set, timer != NULL ? timer->due_ns - now_ns
                                                     : TIMER_IDLE_NS);
        }
    }
    return NULL;
}

/**
 * FvFakeWorkerSet_SetTimerLocked - set a timer and wake the timer thread if
 * needed
 * @set: the workers of the process
 * @timer: the timer
 * @due_ns: when it fires
 */
void
FvFakeWorkerSet_SetTimerLocked(fake_worker_set_t *set, heap_timer_t *timer,
                               int64_t due_ns)
{
    FvTimerHeap_Set(&set->timers, timer, due_ns);
    if (FvTimerHeap_First(&set->timers) == timer) {
        pthread_cond_signal(&set->timers_changed);
    }
}

/* The key is the second part of MEMBER:KEY:ATTEMPT:INDEX. */
static void
copy_key(const char *id, char key[Fv_KEY_SIZE])
{
    const char *start = strchr(id, ':');
    size_t length;

    key[0] = 0;
    if (start != NULL) {
        start++;
        length = strcspn(start, ":");
        snprintf(key, Fv_KEY_SIZE, "%.*s", (int)length, start);
    }
}

/**
 * FvFakeWorker_RecordLocked - append an event record
 * @worker: the worker
 * @event: the event
 * @task: the task of the event, or NULL
 * @reason: the reason of the event, or ""
 */
void
FvFakeWorker_RecordLocked(fake_worker_t *worker, record_event_t event,
                          const fake_task_t *task, const char *reason)
{
    fake_worker_set_t *set = worker->set;
    int64_t now_us = FvFake_WallUs();
    record_t record = {.event = event,
                       .term = worker->term,
                       .allocated = worker->allocated,
                       .slots_used = worker->allocated.slots,
                       .connections = worker->connections};

    if (set->options.record == NULL) {
        return;
    }
    /* Records are sorted by time; distinct times keep their order. */
    if (now_us <= set->last_record_us) {
        now_us = set->last_record_us + 1;
    }
    set->last_record_us = now_us;
    record.at_us = now_us;
    snprintf(record.worker, sizeof(record.worker), "%s", worker->name);
    snprintf(record.holder, sizeof(record.holder), "%s", worker->holder);
    snprintf(record.reason, sizeof(record.reason), "%s", reason);
    if (task != NULL) {
        record.term = task->term;
        record.size = task->size;
        snprintf(record.task, sizeof(record.task), "%s", task->id);
        snprintf(record.member, sizeof(record.member), "%s", task->member);
        snprintf(record.workload, sizeof(record.workload), "%s",
                 task->workload);
        copy_key(task->id, record.key);
    }
    FvRecord_Write(set->options.record, &record);
}

static void
end_lease_locked(fake_worker_t *worker, record_event_t event, int64_t ended_ns)
{
    fake_worker_set_t *set = worker->set;

    worker->lease_held = false;
    worker->expires_ns = ended_ns;
    FvTimerHeap_Cancel(&set->timers, &worker->expiry_timer);
    FvFakeWorkerSet_SetTimerLocked(set, &worker->expiry_stop_timer,
                                   ended_ns + set->options.ttl_stop_ms *
                                                  Fv_NS_PER_MS);
    FvFakeWorker_RecordLocked(worker, event, NULL, "");
}

/* Handles an expiry that the timer thread has not handled yet. */
static void
check_expiry_locked(fake_worker_t *worker, int64_t now_ns)
{
    if (worker->lease_held && now_ns >= worker->expires_ns) {
        end_lease_locked(worker, RECORD_LEASE_EXPIRED, worker->expires_ns);
    }
}

static void
on_expiry_timer(void *owner, int64_t now_ns)
{
    check_expiry_locked(owner, now_ns);
}

static void
on_expiry_stop_timer(void *owner, int64_t now_ns)
{
    FvFakeWorker_StopExpiredTasksLocked(owner, now_ns);
}

/**
 * FvFakeWorker_LeaseCoversLocked - whether a term is current and not expired
 * @worker: the worker
 * @term: the term
 * @now_ns: current time
 *
 * Return: true when the fencing rule allows a start under this term.
 */
bool
FvFakeWorker_LeaseCoversLocked(fake_worker_t *worker, uint64_t term,
                               int64_t now_ns)
{
    check_expiry_locked(worker, now_ns);
    return worker->lease_held && worker->term == term;
}

static void
set_expiry_locked(fake_worker_t *worker, int64_t ttl_ms, int64_t now_ns)
{
    worker->expires_ns = now_ns + ttl_ms * Fv_NS_PER_MS;
    FvFakeWorkerSet_SetTimerLocked(worker->set, &worker->expiry_timer,
                                   worker->expires_ns);
}

static void
grant_locked(fake_worker_t *worker, const char *holder,
             const char *incarnation, int64_t ttl_ms, int64_t now_ns)
{
    snprintf(worker->holder, sizeof(worker->holder), "%s", holder);
    snprintf(worker->incarnation, sizeof(worker->incarnation), "%s",
             incarnation);
    worker->term++;
    worker->lease_held = true;
    FvTimerHeap_Cancel(&worker->set->timers, &worker->expiry_stop_timer);
    set_expiry_locked(worker, ttl_ms, now_ns);
    worker->set->counts.granted++;
    FvFakeWorker_RecordLocked(worker, RECORD_LEASE_GRANTED, NULL, "");
}

/* A restarted host has another incarnation, so it waits for the expiry of its
 * former lease like any other host. */
static bool
is_holder(const fake_worker_t *worker, const char *holder,
          const char *incarnation)
{
    return worker->lease_held && strcmp(worker->holder, holder) == 0 &&
           strcmp(worker->incarnation, incarnation) == 0;
}

static bool
grant_or_renew_locked(fake_worker_t *worker, const json_t *request,
                      int64_t now_ns)
{
    const char *holder = json_string_value(json_object_get(request, "holder"));
    const char *incarnation =
        json_string_value(json_object_get(request, "incarnation"));
    json_int_t term = json_integer_value(json_object_get(request, "term"));
    int64_t ttl_ms = json_integer_value(json_object_get(request, "ttl_ms"));
    bool own;

    check_expiry_locked(worker, now_ns);
    own = is_holder(worker, holder, incarnation != NULL ? incarnation : "");
    if (term == 0 && (own || !worker->lease_held)) {
        grant_locked(worker, holder, incarnation != NULL ? incarnation : "",
                     ttl_ms, now_ns);
        return true;
    }
    if (term != 0 && own && worker->term == (uint64_t)term) {
        set_expiry_locked(worker, ttl_ms, now_ns);
        worker->set->counts.renewed++;
        return true;
    }
    worker->set->counts.lease_refused++;
    return false;
}

static json_t *
refused_lease_locked(const fake_worker_t *worker, int64_t now_ns)
{
    int64_t left_ns = worker->lease_held ? worker->expires_ns - now_ns : 0;

    return json_pack(
        "{s:s, s:I}", "holder", worker->lease_held ? worker->holder : "",
        "expires_in_ms",
        (json_int_t)((left_ns + Fv_NS_PER_MS - 1) / Fv_NS_PER_MS));
}

static json_t *
granted_lease_locked(const fake_worker_t *worker, int64_t ttl_ms, int64_t seen,
                     int64_t now_ns)
{
    const fake_worker_options_t *options = &worker->set->options;

    return json_pack(
        "{s:I, s:I, s:I, s:b, s:o, s:i, s:o}", "term",
        (json_int_t)worker->term, "ttl_ms", (json_int_t)ttl_ms, "sequence",
        (json_int_t)worker->sequence, "leaving",
        worker->mode == FAKE_WORKER_LEAVING, "capacity",
        FvRecord_ResourcesToJson(&options->capacity), "connections",
        options->connections, "tasks",
        FvFakeWorker_ListChangedTasksLocked(worker, seen, now_ns));
}

/**
 * FvFakeWorker_Lease - acquire or renew the lease
 * @worker: the worker
 * @request: body of POST /v1/lease
 * @status: set to the HTTP status
 *
 * Return: the reply.
 */
json_t *
FvFakeWorker_Lease(fake_worker_t *worker, const json_t *request, int *status)
{
    const json_t *ttl = json_object_get(request, "ttl_ms");
    int64_t seen = json_integer_value(json_object_get(request, "seen"));
    int64_t now_ns = FvClock_NowNs();
    json_t *reply;

    if (!json_is_string(json_object_get(request, "holder")) ||
        json_integer_value(ttl) <= 0) {
        *status = 400;
        return json_pack("{s:s}", "error", "holder and ttl_ms are required");
    }
    pthread_mutex_lock(&worker->set->lock);
    if (grant_or_renew_locked(worker, request, now_ns)) {
        *status = 200;
        reply = granted_lease_locked(worker, json_integer_value(ttl), seen,
                                     now_ns);
    }
    else {
        *status = 409;
        reply = refused_lease_locked(worker, now_ns);
    }
    pthread_mutex_unlock(&worker->set->lock);
    return reply;
}

/**
 * FvFakeWorker_Release - release the lease
 * @worker: the worker
 * @request: body of POST /v1/lease/release
 * @status: set to the HTTP status
 *
 * Return: the reply.
 */
json_t *
FvFakeWorker_Release(fake_worker_t *worker, const json_t *request, int *status)
{
    json_int_t term = json_integer_value(json_object_get(request, "term"));
    int64_t now_ns = FvClock_NowNs();
    json_t *reply;

    pthread_mutex_lock(&worker->set->lock);
    if (FvFakeWorker_LeaseCoversLocked(worker, (uint64_t)term, now_ns)) {
        *status = 200;
        end_lease_locked(worker, RECORD_LEASE_RELEASED, now_ns);
        reply = json_object();
    }
    else {
        *status = 409;
        reply = refused_lease_locked(worker, now_ns);
    }
    pthread_mutex_unlock(&worker->set->lock);
    return reply;
}

static void
init_worker(fake_worker_set_t *set, fake_worker_t *worker, int number)
{
    worker->set = set;
    snprintf(worker->name, sizeof(worker->name), "%s%d", set->options.prefix,
             number);
    worker->expiry_timer =
        (heap_timer_t){.fire = on_expiry_timer, .owner = worker};
    worker->expiry_stop_timer =
        (heap_timer_t){.fire = on_expiry_stop_timer, .owner = worker};
}

/**
 * FvFakeWorkerSet_New - allocate the workers and start the timer thread
 * @options: copied; its strings and file stay with the caller
 *
 * Return: the set; NULL when the thread cannot be started.
 */
fake_worker_set_t *
FvFakeWorkerSet_New(const fake_worker_options_t *options)
{
    fake_worker_set_t *set = calloc(1, sizeof(*set));
    pthread_condattr_t attr;
    pthread_t thread;

    if (set == NULL) {
        return NULL;
    }
    set->options = *options;
    set->created_ns = FvClock_NowNs();
    set->workers = calloc((size_t)options->workers, sizeof(*set->workers));
    if (set->workers == NULL) {
        goto fail;
    }
    for (int i = 0; i < options->workers; i++) {
        init_worker(set, &set->workers[i], i + 1);
    }
    pthread_condattr_init(&attr);
    pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
    pthread_mutex_init(&set->lock, NULL);
    pthread_cond_init(&set->timers_changed, &attr);
    if (pthread_create(&thread, NULL, run_timers, set) == 0) {
        pthread_detach(thread);
        return set;
    }
    free(set->workers);
fail:
    free(set);
    return NULL;
}

/**
 * FvFakeWorkerSet_Find - look up a worker
 * @set: the workers of the process
 * @name: its name
 *
 * Return: the worker, or NULL.
 */
fake_worker_t *
FvFakeWorkerSet_Find(fake_worker_set_t *set, const char *name)
{
    size_t prefix = strlen(set->options.prefix);
    long number;

    if (strncmp(name, set->options.prefix, prefix) != 0) {
        return NULL;
    }
    number = strtol(name + prefix, NULL, 10);
    if (number < 1 || number > set->options.workers ||
        strcmp(set->workers[number - 1].name, name) != 0) {
        return NULL;
    }
    return &set->workers[number - 1];
}

/**
 * FvFakeWorker_OpenConnection - count a request as an open connection of the
 * worker
 * @worker: the worker
 *
 * Return: false when the connection limit is reached; the request is not
 * counted then.
 */
bool
FvFakeWorker_OpenConnection(fake_worker_t *worker)
{
    fake_worker_set_t *set = worker->set;
    bool accepted;

    pthread_mutex_lock(&set->lock);
    accepted = worker->connections < set->options.connections;
    if (accepted) {
        worker->connections++;
        set->counts.connections++;
    }
    else {
        set->counts.refused++;
        FvFakeWorker_RecordLocked(worker, RECORD_REFUSED, NULL,
                                  "no_connections");
    }
    pthread_mutex_unlock(&set->lock);
    return accepted;
}

/**
 * FvFakeWorker_CloseConnection - end a request that was counted as open
 * @worker: the worker
 */
void
FvFakeWorker_CloseConnection(fake_worker_t *worker)
{
    pthread_mutex_lock(&worker->set->lock);
    worker->connections--;
    worker->set->counts.connections--;
    pthread_mutex_unlock(&worker->set->lock);
}

/**
 * FvFakeWorkerSet_SetMode - set the mode of one worker or of all
 * @set: the workers of the process
 * @name: a worker, or * for all
 * @mode: the mode
 *
 * Return: false when there is no such worker.
 */
bool
FvFakeWorkerSet_SetMode(fake_worker_set_t *set, const char *name,
                        fake_worker_mode_t mode)
{
    bool all = strcmp(name, "*") == 0;
    fake_worker_t *worker = FvFakeWorkerSet_Find(set, name);

    pthread_mutex_lock(&set->lock);
    for (int i = 0; all && i < set->options.workers; i++) {
        set->workers[i].mode = mode;
    }
    if (worker != NULL) {
        worker->mode = mode;
    }
    pthread_mutex_unlock(&set->lock);
    return all || worker != NULL;
}

/**
 * FvFakeWorker_GetMode - read the mode of a worker
 * @worker: the worker
 *
 * Return: its mode.
 */
fake_worker_mode_t
FvFakeWorker_GetMode(fake_worker_t *worker)
{
    fake_worker_mode_t mode;

    pthread_mutex_lock(&worker->set->lock);
    mode = worker->mode;
    pthread_mutex_unlock(&worker->set->lock);
    return mode;
}

/**
 * FvFakeWorkerSet_GetCounts - read the counters
 * @set: the workers of the process
 * @counts: filled in
 */
void
FvFakeWorkerSet_GetCounts(fake_worker_set_t *set, fake_worker_counts_t *counts)
{
    pthread_mutex_lock(&set->lock);
    *counts = set->counts;
    pthread_mutex_unlock(&set->lock);
}
