/*
 * Requests for tasks on the workers whose leases this host holds: reserve,
 * start, stop, query, release. A start that is refused, unless with
 * Fv_REFUSAL_UNCONFIRMED, has certainly not taken place.
 */

#include "daemon.h"

#include <stdlib.h>
#include <string.h>

/* Share of a worker's connections used for starts; the rest is left for lease
 * calls of other hosts and for queries. */
#define Fv_HOLDER_CONNECTION_SHARE_PERCENT 75
#define Fv_HOLDER_STOP_RETRY_MS 1000

/* One request to a worker on behalf of a host. */
typedef struct fv_worker_call {
    fv_holder_t *holder;
    char worker[Fv_NAME_SIZE];
    char base_url[Fv_URL_SIZE];
    char task_id[Fv_TASK_ID_SIZE];
    fv_reply_to_t to;
    bool counted;             /* in the worker's connections_used */
    bool stop_if_unconfirmed; /* stop the task if its start is unconfirmed */
    fv_task_reply_t state;    /* reply kept while the answer is fetched */
    fv_timer_t retry;
} fv_worker_call_t;

static void
reply_task(fv_holder_t *holder, const fv_reply_to_t *to,
           const fv_task_reply_t *task)
{
    fv_message_t message = {.type = Fv_MESSAGE_TASK_REPLY,
                            .body.task_reply = *task};

    FvPeers_Reply(holder->daemon->peers, to, &message);
}

static void
reply_refusal(fv_holder_t *holder, const fv_reply_to_t *to,
              const char *task_id, fv_refusal_t refusal)
{
    fv_task_reply_t task = {.state = Fv_TASK_UNKNOWN, .refusal = refusal};

    FvText_Copy(task.id, sizeof(task.id), task_id);
    if (refusal != Fv_REFUSAL_UNCONFIRMED) {
        FvMetrics_Add(Fv_COUNTER_STARTS_REFUSED, 1);
    }
    reply_task(holder, to, &task);
}

static void
reply_reserved(fv_holder_t *holder, const fv_reply_to_t *to,
               const fv_reserve_reply_t *reserved)
{
    fv_message_t message = {.type = Fv_MESSAGE_RESERVE_REPLY};

    message.body.reserved = malloc(sizeof(*reserved));
    if (message.body.reserved == NULL) {
        abort();
    }
    *message.body.reserved = *reserved;
    FvPeers_Reply(holder->daemon->peers, to, &message);
}

/* Fills in the task list entry of a request. */
static void
fill_task(const fv_task_request_t *request, const char *id,
          fv_task_state_t state, fv_task_t *task)
{
    *task = (fv_task_t){
        .class_id = request->class_id,
        .state = state,
        .restartable = !request->send_once,
        .size = request->size,
    };
    FvText_Copy(task->id, sizeof(task->id), id);
    FvText_Copy(task->member, sizeof(task->member), request->member);
    FvText_Copy(task->workload, sizeof(task->workload), request->workload);
}

static fv_worker_t *
choose_worker(fv_holder_t *holder, const fv_task_request_t *request)
{
    FvMetrics_Add(Fv_COUNTER_DECISIONS, 1);
    return FvPlacement_Choose(holder->placement,
                              FvPolicy_ForClass(request->class_id),
                              &request->size, request->id, FvClock_NowMs());
}

/* Preempted tasks free their capacity only once they have stopped, so the
 * request is refused and the caller retries. */
static fv_refusal_t
handle_no_worker(fv_holder_t *holder, const fv_task_request_t *request)
{
    const fv_policy_t *policy = FvPolicy_ForClass(request->class_id);

    if (!FvPlacement_CanEverFit(holder->placement, policy, &request->size)) {
        return Fv_REFUSAL_NEVER_FITS;
    }
    FvPreemption_FreeCapacityFor(holder, request);
    return Fv_REFUSAL_NO_CAPACITY;
}

static bool
reserve_task(fv_holder_t *holder, const fv_task_request_t *request,
             int32_t index, fv_reserve_reply_t *reserved)
{
    fv_worker_t *worker = choose_worker(holder, request);
    char id[Fv_TASK_ID_SIZE + 16];
    fv_task_t task;

    if (worker == NULL) {
        return false;
    }
    snprintf(id, sizeof(id), "%s:%d", request->id, request->first + index);
    fill_task(request, id, Fv_TASK_RESERVED, &task);
    task.expires_ms = FvClock_NowMs() + Fv_RESERVATION_TTL_MS;
    if (FvHolder_AddTask(worker->managed, &task) == NULL) {
        return false;
    }
    FvQuarantine_RecordStart(&worker->quarantine, FvClock_NowMs());
    FvText_Copy(reserved->workers[reserved->count++], Fv_NAME_SIZE,
                worker->name);
    return true;
}

/**
 * FvHolder_Reserve - reserve capacity for the tasks of a job
 * @holder: the holder
 * @request: the job and the number of tasks
 * @to: where the reply goes
 *
 * The reply names the workers of the tasks that could be placed, in task
 * order. If there are too few, the caller reserves the rest on other hosts or
 * releases these.
 */
void
FvHolder_Reserve(fv_holder_t *holder, const fv_task_request_t *request,
                 const fv_reply_to_t *to)
{
    fv_reserve_reply_t reserved = {.refusal = Fv_REFUSAL_NONE};

    if (holder->draining) {
        reserved.refusal = Fv_REFUSAL_DRAINING;
        reply_reserved(holder, to, &reserved);
        return;
    }
    for (int32_t i = 0; i < request->count; i++) {
        if (!reserve_task(holder, request, i, &reserved)) {
            break;
        }
    }
    if (reserved.count == 0) {
        reserved.refusal = handle_no_worker(holder, request);
    }
    reply_reserved(holder, to, &reserved);
}

/**
 * FvHolder_Release - release a reservation
 * @holder: the holder
 * @request: the id of the reserved task and its worker
 */
void
FvHolder_Release(fv_holder_t *holder, const fv_task_request_t *request)
{
    fv_managed_worker_t *managed = FvHolder_Find(holder, request->worker);
    fv_task_t *task;

    if (managed == NULL) {
        return;
    }
    task = FvWorker_FindTask(managed->worker, request->id);
    if (task != NULL && task->state == Fv_TASK_RESERVED) {
        FvHolder_RemoveTask(managed, task);
    }
}

static fv_worker_call_t *
new_worker_call(fv_holder_t *holder, const fv_worker_t *worker,
                const char *task_id, const fv_reply_to_t *to)
{
    fv_worker_call_t *call = calloc(1, sizeof(*call));

    if (call == NULL) {
        abort();
    }
    call->holder = holder;
    call->to = *to;
    FvText_Copy(call->worker, sizeof(call->worker), worker->name);
    FvText_Copy(call->base_url, sizeof(call->base_url), worker->base_url);
    FvText_Copy(call->task_id, sizeof(call->task_id), task_id);
    return call;
}

/* Forwards the worker's reply, with its answer, and frees the call. */
static void
reply_and_free(fv_worker_call_t *call, fv_task_reply_t *reply)
{
    FvText_Copy(reply->worker, sizeof(reply->worker), call->worker);
    reply_task(call->holder, &call->to, reply);
    reply->answer = NULL;
    free(call);
}

static void
reply_unconfirmed_and_free(fv_worker_call_t *call)
{
    reply_refusal(call->holder, &call->to, call->task_id,
                  Fv_REFUSAL_UNCONFIRMED);
    free(call);
}

static fv_task_t *
find_entry(const fv_worker_call_t *call, fv_managed_worker_t **managed)
{
    *managed = FvHolder_Find(call->holder, call->worker);
    return *managed ? FvWorker_FindTask((*managed)->worker, call->task_id)
                    : NULL;
}

static void
remove_entry(const fv_worker_call_t *call)
{
    fv_managed_worker_t *managed;
    fv_task_t *task = find_entry(call, &managed);

    if (task != NULL) {
        FvHolder_RemoveTask(managed, task);
    }
}

static void stop_unconfirmed_start(void *owner);

static void
receive_unconfirmed_start_stop(void *context, fv_upstream_error_t error,
                               fv_task_reply_t *reply)
{
    fv_worker_call_t *call = context;
    fv_managed_worker_t *managed;
    fv_task_t *entry = find_entry(call, &managed);

    if (error == Fv_UPSTREAM_OK && FvTaskState_IsTerminal(reply->state)) {
        remove_entry(call);
        free(call);
        return;
    }
    if (entry == NULL || managed->holder->draining) {
        free(call);
        return;
    }
    call->retry.fire = stop_unconfirmed_start;
    call->retry.owner = call;
    FvLoop_SetTimer(call->holder->daemon->loop, &call->retry,
                    FvClock_NowMs() + Fv_HOLDER_STOP_RETRY_MS);
}

/* The task keeps its capacity until the worker confirms that it has ended. */
static void
stop_unconfirmed_start(void *owner)
{
    fv_worker_call_t *call = owner;
    fv_upstream_t *upstream = call->holder->daemon->upstream;

    upstream->type->stop(upstream, call->base_url, call->task_id,
                         receive_unconfirmed_start_stop, call);
}

static void
handle_unconfirmed_start(fv_worker_call_t *call)
{
    fv_managed_worker_t *managed;
    fv_task_t *entry = find_entry(call, &managed);

    if (entry != NULL) {
        entry->state = Fv_TASK_UNKNOWN;
    }
    reply_refusal(call->holder, &call->to, call->task_id,
                  Fv_REFUSAL_UNCONFIRMED);
    if (call->stop_if_unconfirmed && entry != NULL) {
        stop_unconfirmed_start(call);
        return;
    }
    free(call);
}

static void
record_health(fv_managed_worker_t *managed, fv_upstream_error_t error,
              const fv_task_reply_t *reply)
{
    fv_quarantine_t *quarantine = &managed->worker->quarantine;
    bool failed = error == Fv_UPSTREAM_NOT_SENT ||
                  (error == Fv_UPSTREAM_OK && reply->state == Fv_TASK_FAILED);

    if (failed) {
        if (FvQuarantine_RecordFailure(quarantine, FvClock_NowMs())) {
            FvMetrics_Add(Fv_COUNTER_QUARANTINES, 1);
            FvLog_Event(Fv_LOG_WARN, "worker_quarantined",
                        "worker=%s backoff_ms=%lld", managed->worker->name,
                        (long long)quarantine->backoff_ms);
        }
    }
    else if (error == Fv_UPSTREAM_OK) {
        FvQuarantine_RecordSuccess(quarantine);
    }
    else {
        FvQuarantine_AbortProbe(quarantine);
    }
}

static void
handle_accepted_start(fv_worker_call_t *call, fv_task_reply_t *reply)
{
    fv_managed_worker_t *managed;
    fv_task_t *entry = find_entry(call, &managed);

    if (FvTaskState_IsTerminal(reply->state)) {
        remove_entry(call);
    }
    else if (entry != NULL) {
        entry->state = Fv_TASK_RUNNING;
    }
    reply_and_free(call, reply);
}

static void
receive_start(void *context, fv_upstream_error_t error, fv_task_reply_t *reply)
{
    fv_worker_call_t *call = context;
    fv_managed_worker_t *managed = FvHolder_Find(call->holder, call->worker);

    if (managed != NULL) {
        managed->starts_pending--;
        managed->worker->connections_used--;
        record_health(managed, error, reply);
        FvPlacement_Update(call->holder->placement, managed->worker);
    }
    switch (error) {
    case Fv_UPSTREAM_OK:
        handle_accepted_start(call, reply);
        return;
    case Fv_UPSTREAM_NOT_SENT:
        reply->refusal = Fv_REFUSAL_EXPIRED;
        break;
    case Fv_UPSTREAM_REFUSED:
        break;
    case Fv_UPSTREAM_UNCONFIRMED:
    case Fv_UPSTREAM_MALFORMED:
        handle_unconfirmed_start(call);
        return;
    }
    remove_entry(call);
    reply_refusal(call->holder, &call->to, call->task_id, reply->refusal);
    free(call);
}

static bool
has_free_connection(const fv_worker_t *worker)
{
    int32_t limit =
        worker->connection_limit * Fv_HOLDER_CONNECTION_SHARE_PERCENT / 100;

    return worker->connections_used < limit;
}

/* Turns the reservation of a request into a starting task, or places the task
 * if it has no reservation. Returns NULL and sets the refusal on failure. */
static fv_managed_worker_t *
allocate_capacity(fv_holder_t *holder, const fv_task_request_t *request,
                  int64_t *not_after_ns, fv_refusal_t *refusal)
{
    fv_worker_t *worker;
    fv_task_t task;
    fv_task_t *entry;

    if (request->reserved) {
        fv_managed_worker_t *managed = FvHolder_Find(holder, request->worker);

        entry =
            managed ? FvWorker_FindTask(managed->worker, request->id) : NULL;
        *refusal = Fv_REFUSAL_EXPIRED;
        if (entry == NULL || entry->state != Fv_TASK_RESERVED ||
            FvClock_NowMs() >= entry->expires_ms) {
            return NULL;
        }
        entry->state = Fv_TASK_STARTING;
        *not_after_ns = entry->expires_ms * Fv_NS_PER_MS;
        return managed;
    }
    worker = choose_worker(holder, request);
    if (worker == NULL) {
        *refusal = handle_no_worker(holder, request);
        return NULL;
    }
    fill_task(request, request->id, Fv_TASK_STARTING, &task);
    *refusal = Fv_REFUSAL_NO_CAPACITY;
    entry = FvHolder_AddTask(worker->managed, &task);
    return entry ? worker->managed : NULL;
}

/**
 * FvHolder_Start - start a task on a worker
 * @holder: the holder
 * @request: the task
 * @to: where the reply goes
 *
 * The lease and the reservation are checked here. The HTTP client checks their
 * expiry again when it is connected and about to send the request.
 */
void
FvHolder_Start(fv_holder_t *holder, const fv_task_request_t *request,
               const fv_reply_to_t *to)
{
    fv_upstream_t *upstream = holder->daemon->upstream;
    fv_refusal_t refusal = Fv_REFUSAL_DRAINING;
    int64_t not_after_ns = INT64_MAX;
    fv_managed_worker_t *managed = NULL;
    fv_task_request_t start = *request;
    fv_worker_t *worker;
    fv_worker_call_t *call;

    /* A reservation granted before the drain remains valid. */
    if (!holder->draining || request->reserved) {
        managed = allocate_capacity(holder, request, &not_after_ns, &refusal);
    }
    if (managed == NULL) {
        reply_refusal(holder, to, request->id, refusal);
        return;
    }
    worker = managed->worker;
    call = new_worker_call(holder, worker, request->id, to);
    if (!FvLease_AllowsStart(&worker->lease, FvClock_NowNs()) ||
        !has_free_connection(worker)) {
        remove_entry(call);
        free(call);
        reply_refusal(holder, to, request->id, Fv_REFUSAL_EXPIRED);
        return;
    }
    if (worker->lease.expires_ns < not_after_ns) {
        not_after_ns = worker->lease.expires_ns;
    }
    call->stop_if_unconfirmed = !request->reserved;
    managed->starts_pending++;
    worker->connections_used++;
    if (!request->reserved) {
        FvQuarantine_RecordStart(&worker->quarantine, FvClock_NowMs());
    }
    FvMetrics_Add(Fv_COUNTER_STARTS, 1);
    /* The home's size estimate may have changed since the reservation. */
    start.size = FvWorker_FindTask(worker, request->id)->size;
    upstream->type->start(upstream, worker, &start, not_after_ns,
                          receive_start, call);
}

static void
receive_answer(void *context, fv_upstream_error_t error,
               fv_task_reply_t *reply)
{
    fv_worker_call_t *call = context;

    if (error != Fv_UPSTREAM_OK) {
        reply_unconfirmed_and_free(call);
        return;
    }
    reply->ran_ms = call->state.ran_ms;
    reply->used = call->state.used;
    reply_and_free(call, reply);
}

/* The reply to a stop or a query has the state but not the answer. */
static void
fetch_answer(fv_worker_call_t *call, const fv_task_reply_t *reply)
{
    fv_upstream_t *upstream = call->holder->daemon->upstream;

    call->state = *reply;
    call->state.answer = NULL;
    upstream->type->answer(upstream, call->base_url, call->task_id,
                           receive_answer, call);
}

static void
receive_stop(void *context, fv_upstream_error_t error, fv_task_reply_t *reply)
{
    fv_worker_call_t *call = context;

    if (error != Fv_UPSTREAM_OK) {
        reply_unconfirmed_and_free(call);
        return;
    }
    if (FvTaskState_IsTerminal(reply->state)) {
        remove_entry(call);
        FvRunner_ScheduleDispatch(call->holder->daemon->runner);
    }
    if (reply->state == Fv_TASK_DONE) {
        fetch_answer(call, reply);
        return;
    }
    reply_and_free(call, reply);
}

/**
 * FvHolder_Stop - stop a task, or prevent it from starting
 * @holder: the holder
 * @request: the task and its worker
 * @to: where the reply goes
 *
 * Does not need the worker's lease: a worker accepts a stop from any host.
 */
void
FvHolder_Stop(fv_holder_t *holder, const fv_task_request_t *request,
              const fv_reply_to_t *to)
{
    fv_managed_worker_t *managed = FvHolder_Find(holder, request->worker);
    fv_upstream_t *upstream = holder->daemon->upstream;

    if (managed == NULL) {
        reply_refusal(holder, to, request->id, Fv_REFUSAL_UNCONFIRMED);
        return;
    }
    upstream->type->stop(
        upstream, managed->worker->base_url, request->id, receive_stop,
        new_worker_call(holder, managed->worker, request->id, to));
}

static void
receive_query(void *context, fv_upstream_error_t error, fv_task_reply_t *reply)
{
    fv_worker_call_t *call = context;

    if (error != Fv_UPSTREAM_OK) {
        reply_unconfirmed_and_free(call);
        return;
    }
    if (reply->state == Fv_TASK_DONE || reply->state == Fv_TASK_FAILED) {
        fetch_answer(call, reply);
        return;
    }
    reply_and_free(call, reply);
}

static void
query_worker(fv_managed_worker_t *managed, const char *task_id,
             const fv_reply_to_t *to)
{
    fv_holder_t *holder = managed->holder;
    fv_upstream_t *upstream = holder->daemon->upstream;

    upstream->type->query(
        upstream, managed->worker->base_url, task_id, receive_query,
        new_worker_call(holder, managed->worker, task_id, to));
}

static void
remove_waiter(fv_task_waiter_t *waiter)
{
    fv_task_waiter_t **link = &waiter->managed->waiters;

    while (*link != waiter) {
        link = &(*link)->next;
    }
    *link = waiter->next;
    FvLoop_CancelTimer(waiter->managed->holder->daemon->loop, &waiter->timer);
    free(waiter);
}

/* Ends the wait with the state running; the caller queries again. */
static void
expire_waiter(void *owner)
{
    fv_task_waiter_t *waiter = owner;
    fv_task_reply_t reply = {.state = Fv_TASK_RUNNING};

    FvText_Copy(reply.id, sizeof(reply.id), waiter->task_id);
    FvText_Copy(reply.worker, sizeof(reply.worker),
                waiter->managed->worker->name);
    reply_task(waiter->managed->holder, &waiter->to, &reply);
    remove_waiter(waiter);
}

static void
add_waiter(fv_managed_worker_t *managed, const fv_task_request_t *request,
           const fv_reply_to_t *to)
{
    fv_task_waiter_t *waiter = calloc(1, sizeof(*waiter));

    if (waiter == NULL) {
        abort();
    }
    waiter->managed = managed;
    waiter->to = *to;
    waiter->timer.fire = expire_waiter;
    waiter->timer.owner = waiter;
    FvText_Copy(waiter->task_id, sizeof(waiter->task_id), request->id);
    waiter->next = managed->waiters;
    managed->waiters = waiter;
    FvLoop_SetTimer(managed->holder->daemon->loop, &waiter->timer,
                    FvClock_NowMs() + request->wait_ms);
}

/**
 * FvHolder_OnTaskEnded - reply to the queries that wait for a task
 * @managed: the worker that reported the task's end
 * @task_id: the task
 */
void
FvHolder_OnTaskEnded(fv_managed_worker_t *managed, const char *task_id)
{
    fv_task_waiter_t *waiter = managed->waiters;

    while (waiter != NULL) {
        fv_task_waiter_t *next = waiter->next;

        if (strcmp(waiter->task_id, task_id) == 0) {
            query_worker(managed, task_id, &waiter->to);
            remove_waiter(waiter);
        }
        waiter = next;
    }
}

/**
 * FvHolder_RefuseWaiters - refuse all waiting queries with not_holder
 * @managed: a worker whose lease this host has lost
 */
void
FvHolder_RefuseWaiters(fv_managed_worker_t *managed)
{
    fv_task_waiter_t *waiter = managed->waiters;

    while (waiter != NULL) {
        fv_task_waiter_t *next = waiter->next;

        reply_refusal(managed->holder, &waiter->to, waiter->task_id,
                      Fv_REFUSAL_NOT_HOLDER);
        remove_waiter(waiter);
        waiter = next;
    }
}

/**
 * FvHolder_Query - report the state of a task, with its answer if it ended
 * @holder: the holder
 * @request: the task, its worker and how long to wait for its end
 * @to: where the reply goes
 *
 * Only the lease holder can wait; another host queries the worker at once.
 */
void
FvHolder_Query(fv_holder_t *holder, const fv_task_request_t *request,
               const fv_reply_to_t *to)
{
    fv_managed_worker_t *managed = FvHolder_Find(holder, request->worker);
    const fv_task_t *task;

    if (managed == NULL) {
        reply_refusal(holder, to, request->id, Fv_REFUSAL_NOT_HOLDER);
        return;
    }
    task = managed->worker->lease.held
               ? FvWorker_FindTask(managed->worker, request->id)
               : NULL;
    if (task != NULL && request->wait_ms > 0) {
        add_waiter(managed, request, to);
        return;
    }
    query_worker(managed, request->id, to);
}

/**
 * FvHolder_LeaseQuery - report whether this host may hold a worker's lease
 * @holder: the holder
 * @request: the worker
 * @to: where the reply goes
 *
 * A lease whose grant may have been lost counts as held until it must have
 * expired.
 */
void
FvHolder_LeaseQuery(fv_holder_t *holder, const fv_task_request_t *request,
                    const fv_reply_to_t *to)
{
    fv_managed_worker_t *managed = FvHolder_Find(holder, request->worker);
    fv_message_t message = {.type = Fv_MESSAGE_LEASE_STATE};
    int64_t now_ns = FvClock_NowNs();
    /* A former incarnation of this host may have renewed the lease until it
     * exited. */
    int64_t free_since_ns =
        (holder->daemon->started_ms + holder->daemon->settings.lease_ttl_ms) *
        Fv_NS_PER_MS;

    if (managed != NULL) {
        const fv_lease_t *lease = &managed->worker->lease;

        if (lease->last_expiry_ns > free_since_ns) {
            free_since_ns = lease->last_expiry_ns;
        }
        if (managed->unconfirmed_grant_expires_ns > free_since_ns) {
            free_since_ns = managed->unconfirmed_grant_expires_ns;
        }
        message.body.lease_state.held =
            lease->held || managed->call_pending || free_since_ns > now_ns;
    }
    if (!message.body.lease_state.held) {
        message.body.lease_state.expired_for_ms =
            (now_ns - free_since_ns) / Fv_NS_PER_MS;
    }
    FvPeers_Reply(holder->daemon->peers, to, &message);
}
