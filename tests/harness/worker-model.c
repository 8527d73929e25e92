/*
 * State of the fake worker: workers, leases and the timer thread.
 */

#include "worker-model-internal.h"

#include "fake-server.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

/* Longest wait of the timer thread when no timer is set. */
#define MODEL_IDLE_NS (Fv_NS_PER_S * 3600)

static void
wait_for_timer_locked(worker_model_t *model, int64_t wait_ns)
{
    struct timespec until;

    clock_gettime(CLOCK_MONOTONIC, &until);
    until.tv_sec += (time_t)(wait_ns / Fv_NS_PER_S);
    until.tv_nsec += (long)(wait_ns % Fv_NS_PER_S);
    if (until.tv_nsec >= Fv_NS_PER_S) {
        until.tv_sec++;
        until.tv_nsec -= Fv_NS_PER_S;
    }
    pthread_cond_timedwait(&model->timers_changed, &model->lock, &until);
}

static void *
run_timers(void *context)
{
    worker_model_t *model = context;

    pthread_mutex_lock(&model->lock);
    for (;;) {
        heap_timer_t *timer = FvTimerHeap_First(&model->timers);
        int64_t now_ns = FvClock_NowNs();

        if (timer != NULL && timer->due_ns <= now_ns) {
            FvTimerHeap_Cancel(&model->timers, timer);
            timer->fire(timer->owner, now_ns);
        }
        else {
            wait_for_timer_locked(model, timer != NULL ? timer->due_ns - now_ns
                                                       : MODEL_IDLE_NS);
        }
    }
    return NULL;
}

/**
 * FvModel_SetTimerLocked - set a timer and wake the timer thread if needed
 * @model: the model
 * @timer: the timer
 * @due_ns: when it fires
 */
void
FvModel_SetTimerLocked(worker_model_t *model, heap_timer_t *timer,
                       int64_t due_ns)
{
    FvTimerHeap_Set(&model->timers, timer, due_ns);
    if (FvTimerHeap_First(&model->timers) == timer) {
        pthread_cond_signal(&model->timers_changed);
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
 * FvModel_RecordLocked - append an event record
 * @worker: the worker
 * @event: the event
 * @task: the task of the event, or NULL
 * @reason: the reason of the event, or ""
 */
void
FvModel_RecordLocked(model_worker_t *worker, record_event_t event,
                     const model_task_t *task, const char *reason)
{
    worker_model_t *model = worker->model;
    int64_t now_us = FvFake_WallUs();
    record_t record = {.event = event,
                       .term = worker->term,
                       .allocated = worker->allocated,
                       .slots_used = worker->allocated.slots,
                       .connections = worker->connections};

    if (model->options.record == NULL) {
        return;
    }
    /* Records are sorted by time; distinct times keep their order. */
    if (now_us <= model->last_record_us) {
        now_us = model->last_record_us + 1;
    }
    model->last_record_us = now_us;
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
    FvRecord_Write(model->options.record, &record);
}

static void
end_lease_locked(model_worker_t *worker, record_event_t event,
                 int64_t ended_ns)
{
    worker_model_t *model = worker->model;

    worker->lease_held = false;
    worker->expires_ns = ended_ns;
    FvTimerHeap_Cancel(&model->timers, &worker->expiry_timer);
    FvModel_SetTimerLocked(model, &worker->expiry_stop_timer,
                           ended_ns +
                               model->options.ttl_stop_ms * Fv_NS_PER_MS);
    FvModel_RecordLocked(worker, event, NULL, "");
}

/* Handles an expiry that the timer thread has not handled yet. */
static void
check_expiry_locked(model_worker_t *worker, int64_t now_ns)
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
    FvModelTask_StopExpiredLocked(owner, now_ns);
}

/**
 * FvModel_LeaseCoversLocked - whether a term is current and not expired
 * @worker: the worker
 * @term: the term
 * @now_ns: current time
 *
 * Return: true when the fencing rule allows a start under this term.
 */
bool
FvModel_LeaseCoversLocked(model_worker_t *worker, uint64_t term,
                          int64_t now_ns)
{
    check_expiry_locked(worker, now_ns);
    return worker->lease_held && worker->term == term;
}

static void
set_expiry_locked(model_worker_t *worker, int64_t ttl_ms, int64_t now_ns)
{
    worker->expires_ns = now_ns + ttl_ms * Fv_NS_PER_MS;
    FvModel_SetTimerLocked(worker->model, &worker->expiry_timer,
                           worker->expires_ns);
}

static void
grant_locked(model_worker_t *worker, const char *holder,
             const char *incarnation, int64_t ttl_ms, int64_t now_ns)
{
    snprintf(worker->holder, sizeof(worker->holder), "%s", holder);
    snprintf(worker->incarnation, sizeof(worker->incarnation), "%s",
             incarnation);
    worker->term++;
    worker->lease_held = true;
    FvTimerHeap_Cancel(&worker->model->timers, &worker->expiry_stop_timer);
    set_expiry_locked(worker, ttl_ms, now_ns);
    worker->model->counts.granted++;
    FvModel_RecordLocked(worker, RECORD_LEASE_GRANTED, NULL, "");
}

/* A restarted host has another incarnation, so it waits for the expiry of its
 * former lease like any other host. */
static bool
is_holder(const model_worker_t *worker, const char *holder,
          const char *incarnation)
{
    return worker->lease_held && strcmp(worker->holder, holder) == 0 &&
           strcmp(worker->incarnation, incarnation) == 0;
}

static bool
grant_or_renew_locked(model_worker_t *worker, const json_t *request,
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
        worker->model->counts.renewed++;
        return true;
    }
    worker->model->counts.lease_refused++;
    return false;
}

static json_t *
refused_lease_locked(const model_worker_t *worker, int64_t now_ns)
{
    int64_t left_ns = worker->lease_held ? worker->expires_ns - now_ns : 0;

    return json_pack(
        "{s:s, s:I}", "holder", worker->lease_held ? worker->holder : "",
        "expires_in_ms",
        (json_int_t)((left_ns + Fv_NS_PER_MS - 1) / Fv_NS_PER_MS));
}

static json_t *
granted_lease_locked(const model_worker_t *worker, int64_t ttl_ms,
                     int64_t seen, int64_t now_ns)
{
    const model_options_t *options = &worker->model->options;

    return json_pack("{s:I, s:I, s:I, s:b, s:o, s:i, s:o}", "term",
                     (json_int_t)worker->term, "ttl_ms", (json_int_t)ttl_ms,
                     "sequence", (json_int_t)worker->sequence, "leaving",
                     worker->mode == MODEL_LEAVING, "capacity",
                     FvRecord_ResourcesToJson(&options->capacity),
                     "connections", options->connections, "tasks",
                     FvModelTask_ChangedLocked(worker, seen, now_ns));
}

/**
 * FvModel_Lease - acquire or renew the lease
 * @worker: the worker
 * @request: body of POST /v1/lease
 * @status: set to the HTTP status
 *
 * Return: the reply.
 */
json_t *
FvModel_Lease(model_worker_t *worker, const json_t *request, int *status)
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
    pthread_mutex_lock(&worker->model->lock);
    if (grant_or_renew_locked(worker, request, now_ns)) {
        *status = 200;
        reply = granted_lease_locked(worker, json_integer_value(ttl), seen,
                                     now_ns);
    }
    else {
        *status = 409;
        reply = refused_lease_locked(worker, now_ns);
    }
    pthread_mutex_unlock(&worker->model->lock);
    return reply;
}

/**
 * FvModel_Release - release the lease
 * @worker: the worker
 * @request: body of POST /v1/lease/release
 * @status: set to the HTTP status
 *
 * Return: the reply.
 */
json_t *
FvModel_Release(model_worker_t *worker, const json_t *request, int *status)
{
    json_int_t term = json_integer_value(json_object_get(request, "term"));
    int64_t now_ns = FvClock_NowNs();
    json_t *reply;

    pthread_mutex_lock(&worker->model->lock);
    if (FvModel_LeaseCoversLocked(worker, (uint64_t)term, now_ns)) {
        *status = 200;
        end_lease_locked(worker, RECORD_LEASE_RELEASED, now_ns);
        reply = json_object();
    }
    else {
        *status = 409;
        reply = refused_lease_locked(worker, now_ns);
    }
    pthread_mutex_unlock(&worker->model->lock);
    return reply;
}

static void
init_worker(worker_model_t *model, model_worker_t *worker, int number)
{
    worker->model = model;
    snprintf(worker->name, sizeof(worker->name), "%s%d", model->options.prefix,
             number);
    worker->expiry_timer =
        (heap_timer_t){.fire = on_expiry_timer, .owner = worker};
    worker->expiry_stop_timer =
        (heap_timer_t){.fire = on_expiry_stop_timer, .owner = worker};
}

/**
 * FvModel_New - allocate the workers and start the timer thread
 * @options: copied; its strings and file stay with the caller
 *
 * Return: the model; NULL when the thread cannot be started.
 */
worker_model_t *
FvModel_New(const model_options_t *options)
{
    worker_model_t *model = calloc(1, sizeof(*model));
    pthread_condattr_t attr;
    pthread_t thread;

    if (model == NULL) {
        return NULL;
    }
    model->options = *options;
    model->created_ns = FvClock_NowNs();
    model->workers = calloc((size_t)options->workers, sizeof(*model->workers));
    if (model->workers == NULL) {
        goto fail;
    }
    for (int i = 0; i < options->workers; i++) {
        init_worker(model, &model->workers[i], i + 1);
    }
    pthread_condattr_init(&attr);
    pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
    pthread_mutex_init(&model->lock, NULL);
    pthread_cond_init(&model->timers_changed, &attr);
    if (pthread_create(&thread, NULL, run_timers, model) == 0) {
        pthread_detach(thread);
        return model;
    }
    free(model->workers);
fail:
    free(model);
    return NULL;
}

/**
 * FvModel_Find - look up a worker
 * @model: the model
 * @name: its name
 *
 * Return: the worker, or NULL.
 */
model_worker_t *
FvModel_Find(worker_model_t *model, const char *name)
{
    size_t prefix = strlen(model->options.prefix);
    long number;

    if (strncmp(name, model->options.prefix, prefix) != 0) {
        return NULL;
    }
    number = strtol(name + prefix, NULL, 10);
    if (number < 1 || number > model->options.workers ||
        strcmp(model->workers[number - 1].name, name) != 0) {
        return NULL;
    }
    return &model->workers[number - 1];
}

/**
 * FvModel_OpenConnection - count a request as an open connection of the worker
 * @worker: the worker
 *
 * Return: false when the connection limit is reached; the request is not
 * counted then.
 */
bool
FvModel_OpenConnection(model_worker_t *worker)
{
    worker_model_t *model = worker->model;
    bool accepted;

    pthread_mutex_lock(&model->lock);
    accepted = worker->connections < model->options.connections;
    if (accepted) {
        worker->connections++;
        model->counts.connections++;
    }
    else {
        model->counts.refused++;
        FvModel_RecordLocked(worker, RECORD_REFUSED, NULL, "no_connections");
    }
    pthread_mutex_unlock(&model->lock);
    return accepted;
}

/**
 * FvModel_CloseConnection - end a request that was counted as open
 * @worker: the worker
 */
void
FvModel_CloseConnection(model_worker_t *worker)
{
    pthread_mutex_lock(&worker->model->lock);
    worker->connections--;
    worker->model->counts.connections--;
    pthread_mutex_unlock(&worker->model->lock);
}

/**
 * FvModel_SetMode - set the mode of one worker or of all
 * @model: the model
 * @name: a worker, or * for all
 * @mode: the mode
 *
 * Return: false when there is no such worker.
 */
bool
FvModel_SetMode(worker_model_t *model, const char *name, model_mode_t mode)
{
    bool all = strcmp(name, "*") == 0;
    model_worker_t *worker = FvModel_Find(model, name);

    pthread_mutex_lock(&model->lock);
    for (int i = 0; all && i < model->options.workers; i++) {
        model->workers[i].mode = mode;
    }
    if (worker != NULL) {
        worker->mode = mode;
    }
    pthread_mutex_unlock(&model->lock);
    return all || worker != NULL;
}

/**
 * FvModel_GetMode - read the mode of a worker
 * @worker: the worker
 *
 * Return: its mode.
 */
model_mode_t
FvModel_GetMode(model_worker_t *worker)
{
    model_mode_t mode;

    pthread_mutex_lock(&worker->model->lock);
    mode = worker->mode;
    pthread_mutex_unlock(&worker->model->lock);
    return mode;
}

/**
 * FvModel_GetCounts - read the counters
 * @model: the model
 * @counts: filled in
 */
void
FvModel_GetCounts(worker_model_t *model, model_counts_t *counts)
{
    pthread_mutex_lock(&model->lock);
    *counts = model->counts;
    pthread_mutex_unlock(&model->lock);
}
