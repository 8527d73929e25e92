/*
 * The leader's calls to workers: orders, lease renewals and reports.
 */

#include "cell-leader.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* A renewal is a long poll: the worker answers when a run ends, or after this
 * wait. A worker without tasks gets the idle wait. */
#define Fv_RENEW_WAIT_MAX_MS 1000
#define Fv_RENEWALS_PER_LEASE 4
#define Fv_RENEW_IDLE_WAIT_MS 2000

/* Covers the round trip between regions (40 ms) and busy processors at both
 * ends. */
#define Fv_ANSWER_SLACK_MS 700

/* Shorter times while orders are unanswered, to notice a lost report sooner.
 * The wait grows in proportion to the workers when there are more than 64. */
#define Fv_FAST_POLL_WAIT_MS 250
#define Fv_FAST_POLL_WORKERS 64
#define Fv_FAST_POLL_SLACK_MS 300

/* At rest a worker has one connection for its long poll and one for orders. Of
 * the 64 that a worker of the platform takes, those of a leader that lost its
 * power stay open. */
static const fv_call_bounds_t worker_bounds = {.open_max = 4,
                                               .rest_max = 2,
                                               .waits_for_shared = true,
                                               .server_limits = true};

typedef struct fv_order_call {
    fv_leader_t *leader;
    char worker[Fv_NAME_SIZE];
    char task[Fv_RUN_TASK_ID_SIZE];
    int32_t run;
    bool stop;
    int64_t sent_ms;
    int64_t started_wall_ms; /* of the incarnation that was known then */
} fv_order_call_t;

static void
note_stop_ended(fv_leader_t *leader, int64_t sent_ms, fv_order_result_t result)
{
    leader->pending_stops--;
    if (result == Fv_ORDER_UNCONFIRMED) {
        leader->unanswered_stop_ms = sent_ms;
    }
    else if (result != Fv_ORDER_NOT_SENT) {
        leader->answered_stop_ms = FvClock_NowMs();
    }
}

/* A process that ends closes its connections, and refuses new ones until the
 * next incarnation listens. */
static void
handle_closed_connection(fv_leader_t *leader, fv_sched_worker_t *worker)
{
    FvLog_Event(Fv_LOG_INFO, "worker_closed", "worker=%s tasks=%d",
                worker->entry.id, worker->task_count);
    FvCallPool_FailUnsent(leader->pool, worker->entry.address, Fv_CALL_START);
    FvSched_ConnectionClosed(&leader->sched, worker, FvClock_NowMs());
}

static void
check_order_connection(const fv_order_call_t *order,
                       const fv_call_answer_t *answer)
{
    fv_sched_worker_t *worker =
        FvSched_FindWorker(&order->leader->sched, order->worker);

    if (worker != NULL && (answer->closed || answer->refused)) {
        worker->report_due_ms = FvClock_NowMs();
        handle_closed_connection(order->leader, worker);
    }
}

/**
 * FvLeaderWorker_ConnectionClosed - handle the end of a connection at rest
 * @context: the leader
 * @address: the server that closed it
 */
void
FvLeaderWorker_ConnectionClosed(void *context, const char *address)
{
    fv_leader_t *leader = context;

    for (fv_sched_worker_t *worker = leader->sched.workers; worker != NULL;
         worker = worker->hh.next) {
        if (worker->leader_session != NULL &&
            strcmp(worker->entry.address, address) == 0) {
            worker->report_due_ms = FvClock_NowMs();
            handle_closed_connection(leader, worker);
        }
    }
}

static void
order_answered(void *context, const fv_call_answer_t *answer)
{
    fv_order_call_t *order = context;
    fv_leader_t *leader = order->leader;
    fv_sched_worker_t *worker;
    fv_sched_task_t *task;
    fv_order_result_t result;
    int64_t clock_ms = 0;

    if (!FvLeader_FinishCall(leader)) {
        free(order);
        return;
    }
    if (answer->status != 0) {
        FvAnswerTime_Answered(&leader->answer_time, FvClock_NowMs() -
                                                        order->sent_ms -
                                                        answer->waited_ms);
    }
    else if (!answer->not_sent) {
        FvAnswerTime_Missing(&leader->answer_time);
    }
    result = answer->not_sent
                 ? Fv_ORDER_NOT_SENT
                 : FvPlatform_DecodeOrderResult(answer, &clock_ms);
    if (order->stop) {
        note_stop_ended(leader, order->sent_ms + answer->waited_ms, result);
    }
    check_order_connection(order, answer);
    worker = FvSched_FindWorker(&leader->sched, order->worker);
    if (worker != NULL) {
        result = FvSched_OrderResult(worker, order->started_wall_ms, result);
    }
    if (worker != NULL && order->stop) {
        FvSched_OrphanStopAnswered(&leader->sched, worker, order->task,
                                   order->run, result, FvClock_NowMs());
    }
    task = FvSched_FindOrderedTask(&leader->sched, order->worker, order->task,
                                   order->run);
    if (task != NULL && !order->stop) {
        task->start_sent_ms += answer->waited_ms;
        task->start_repeated_ms += answer->waited_ms;
    }
    if (task != NULL && order->stop) {
        FvSched_StopAnswered(&leader->sched, task, order->run, result,
                             FvClock_NowMs());
    }
    else if (task != NULL) {
        FvSched_StartAnswered(&leader->sched, task, order->run, result,
                              FvClock_NowMs());
        if (result == Fv_ORDER_DONE && task->progress_clock_ms == 0) {
            task->progress_clock_ms = clock_ms;
        }
    }
    if (result == Fv_ORDER_FENCED) {
        leader->events.deposed(leader->events.context, "fenced_by_worker");
    }
    free(order);
    FvLeader_SchedulePass(leader);
}

static void
send_order(fv_leader_t *leader, fv_sched_worker_t *worker, fv_call_t *call,
           const char *task, int32_t run, bool stop, int64_t incarnation)
{
    fv_order_call_t *order = calloc(1, sizeof(*order));

    if (order == NULL) {
        abort(); /* unanswered, the order would keep its worker's capacity */
    }
    order->leader = leader;
    order->run = run;
    order->stop = stop;
    order->sent_ms = FvClock_NowMs();
    order->started_wall_ms = worker->started_wall_ms;
    FvText_Copy(order->worker, sizeof(order->worker), worker->entry.id);
    FvText_Copy(order->task, sizeof(order->task), task);
    leader->pending_calls++;
    leader->pending_stops += stop ? 1 : 0;
    FvCallPool_Send(
        leader->pool, worker->entry.address, call,
        &(fv_call_terms_t){.bounds = &worker_bounds,
                           .urgency = stop ? Fv_CALL_STOP : Fv_CALL_START,
                           .timeout_ms =
                               FvAnswerTime_LimitMs(&leader->answer_time),
                           .incarnation = incarnation},
        order_answered, order);
}

/**
 * FvLeader_CloseConnections - close the connections to all workers
 * @pool: the pool that holds them
 */
void
FvLeader_CloseConnections(fv_call_pool_t *pool)
{
    FvCallPool_Close(pool, &worker_bounds);
}

/* A report tells which incarnation a connection leads to. */
static void
request_connection(fv_leader_t *leader, fv_sched_worker_t *worker)
{
    if (FvCallPool_LacksConnection(leader->pool, worker->entry.address,
                                   worker->started_wall_ms)) {
        FvLeaderWorker_RequestReport(&leader->sched, worker);
    }
}

/**
 * FvLeaderOrder_Start - order a worker to start a task
 * @sched: the scheduler
 * @task: the task, with its worker and run assigned
 * @verdict: holds the ticket, or NULL where none is needed
 *
 * Return: false when this host may send no orders now; nothing was sent.
 */
bool
FvLeaderOrder_Start(fv_sched_t *sched, fv_sched_task_t *task,
                    const fv_verdict_t *verdict)
{
    fv_leader_t *leader = FvLeader_FromSched(sched);
    fv_sched_worker_t *worker = task->worker;
    int64_t now_ms = FvClock_NowMs();
    char name[Fv_RUN_TASK_ID_SIZE];
    fv_call_t call;
    fv_task_order_t order = {
        .task_id = name,
        .run = task->run,
        .fencing_token = leader->epoch,
        .payload = task->stage->job->spec.payload,
        .checkpoint = task->checkpoint,
        .ticket = verdict != NULL ? verdict->ticket : NULL,
    };

    if (!leader->events.may_send_orders(leader->events.context, now_ms)) {
        return false;
    }
    order.lease_end_worker_ms = FvSched_ExtendLease(sched, worker, now_ms);
    FvSched_TaskName(task, name, sizeof(name));
    FvLog_Event(
        Fv_LOG_INFO, "start",
        "task=%s run=%d worker=%s queue=%s waited_ms=%" PRId64
        " free_cpu=%" PRId64,
        name, task->run, worker->entry.id, task->stage->job->queue.name,
        now_ms - task->stage->job->received_ms, worker->free.cpu_millis);
    FvPlatform_StartRun(&call, worker->entry.id, &order);
    /* No other incarnation takes the ticket. */
    send_order(leader, worker, &call, name, task->run, false,
               order.ticket != NULL ? 0 : worker->started_wall_ms);
    request_connection(leader, worker);
    return true;
}

static void
send_stop(fv_leader_t *leader, fv_sched_worker_t *worker, const char *name,
          int32_t run)
{
    fv_call_t call;
    fv_task_order_t order = {
        .task_id = name, .run = run, .fencing_token = leader->epoch};

    if (leader->handing_over || !leader->events.may_send_orders(
                                    leader->events.context, FvClock_NowMs())) {
        FvLog_Event(Fv_LOG_INFO, "stop_not_sent", "task=%s run=%d quiet=%d",
                    name, run, leader->handing_over ? 1 : 0);
        return; /* the next leader finds the run in a report */
    }
    FvPlatform_StopRun(&call, worker->entry.id, &order);
    send_order(leader, worker, &call, name, run, true, 0);
}

/**
 * FvLeaderOrder_Stop - order a worker to stop a task
 * @sched: the scheduler
 * @task: the task
 */
void
FvLeaderOrder_Stop(fv_sched_t *sched, fv_sched_task_t *task)
{
    char name[Fv_RUN_TASK_ID_SIZE];

    FvSched_TaskName(task, name, sizeof(name));
    FvLog_Event(Fv_LOG_INFO, "stop", "task=%s run=%d worker=%s", name,
                task->run, task->worker->entry.id);
    send_stop(FvLeader_FromSched(sched), task->worker, name, task->run);
}

/**
 * FvLeaderOrder_StopOrphanRun - order a worker to stop an orphaned run
 * @sched: the scheduler
 * @worker: the worker
 * @name: the task's name
 * @run: the run
 */
void
FvLeaderOrder_StopOrphanRun(fv_sched_t *sched, fv_sched_worker_t *worker,
                            const char *name, int32_t run)
{
    FvLog_Event(Fv_LOG_INFO, "stop", "task=%s run=%d worker=%s orphan=1", name,
                run, worker->entry.id);
    send_stop(FvLeader_FromSched(sched), worker, name, run);
}

typedef struct fv_renewal {
    fv_worker_session_t *session;
    int64_t sent_ms;
    int64_t acknowledged_end;
    int64_t started_wall_ms; /* incarnation that the call is meant for */
    bool wait;
    int32_t wait_ms; /* that the worker may delay its answer */
} fv_renewal_t;

/**
 * FvLeaderWorker_ReleaseSession - free the session of a removed worker
 * @session: the session; kept while calls are pending
 */
void
FvLeaderWorker_ReleaseSession(fv_worker_session_t *session)
{
    if (session->worker == NULL && session->pending_calls == 0) {
        free(session);
    }
}

static void record_ends(fv_worker_session_t *session);

static void
ends_recorded(void *context)
{
    fv_worker_session_t *session = context;

    session->pending_calls--;
    session->recording = false;
    if (session->worker == NULL) {
        FvLeaderWorker_ReleaseSession(session);
        return;
    }
    if (session->recording_started_wall_ms ==
        session->worker->started_wall_ms) {
        FvSched_EndsRecorded(session->worker, session->recording_end);
    }
    if (FvSched_HasUnrecordedEnds(session->worker)) {
        record_ends(session);
    }
    else if (!session->long_poll_pending) {
        FvLeaderWorker_RenewLease(session, true);
    }
}

static void
record_ends(fv_worker_session_t *session)
{
    session->recording = true;
    session->recording_end = session->worker->last_end_applied;
    session->recording_started_wall_ms = session->worker->started_wall_ms;
    session->pending_calls++;
    FvRecordWriter_NotifyWritten(session->leader->records, ends_recorded,
                                 session);
}

/* Returns false when there is no report, or one that came too late. */
static bool
apply_report(const fv_renewal_t *renewal, const fv_call_answer_t *answer)
{
    fv_worker_session_t *session = renewal->session;
    fv_leader_t *leader = session->leader;
    fv_worker_report_t report;
    int64_t clock_ms;
    bool applied = false;
    int64_t started_wall_ms = session->worker->started_wall_ms;
    fv_order_result_t result = FvPlatform_DecodeOrderResult(answer, &clock_ms);

    session->worker->refused = answer->refused;
    if (answer->closed || answer->refused) {
        session->worker->report_due_ms = FvClock_NowMs() + Fv_SILENT_RETRY_MS;
        handle_closed_connection(leader, session->worker);
    }
    if (result == Fv_ORDER_FENCED) {
        leader->events.deposed(leader->events.context, "fenced_by_worker");
        return false;
    }
    if (result == Fv_ORDER_DONE && FvPlatform_DecodeReport(answer, &report)) {
        FvCallPool_NoteIncarnation(leader->pool, report.started_wall_ms);
        applied = FvSched_ApplyReport(&leader->sched, session->worker, &report,
                                      renewal->sent_ms, FvClock_NowMs());
        if (session->worker->started_wall_ms != started_wall_ms) {
            FvCallPool_FailUnsent(leader->pool, session->worker->entry.address,
                                  Fv_CALL_START);
        }
        if (report.started_wall_ms == renewal->started_wall_ms &&
            report.started_wall_ms == session->worker->started_wall_ms) {
            FvSched_EndsAcknowledged(session->worker,
                                     renewal->acknowledged_end);
        }
        FvLeaderWorkerList_Add(leader, session->worker);
        session->retried = false;
    }
    else {
        if (result == Fv_ORDER_DONE) {
            FvLog_Event(Fv_LOG_WARN, "report_malformed", "worker=%s",
                        session->worker->entry.id);
        }
        FvSched_ReportUnanswered(&leader->sched, session->worker,
                                 FvClock_NowMs());
    }
    if (result == Fv_ORDER_DONE) {
        FvWorkerReport_Clear(&report);
    }
    if (FvSched_HasUnrecordedEnds(session->worker) && !session->recording) {
        record_ends(session);
    }
    return applied;
}

/* Whether the next renewal may follow an answer at once. Otherwise a worker
 * that does not wait would be called again and again. */
static bool
may_renew_at_once(const fv_renewal_t *renewal, bool applied)
{
    bool next_may_wait =
        renewal->session->worker->synced && renewal->wait_ms == 0;

    return applied && (next_may_wait || FvClock_NowMs() - renewal->sent_ms >=
                                            Fv_RENEWAL_PAUSE_MS);
}

static void
renewal_answered(void *context, const fv_call_answer_t *answer)
{
    fv_renewal_t renewal = *(fv_renewal_t *)context;
    fv_worker_session_t *session = renewal.session;
    fv_leader_t *leader = session->leader;
    bool applied;

    free(context);
    session->pending_calls--;
    if (!FvLeader_FinishCall(leader)) {
        FvLeaderWorker_ReleaseSession(session);
        return;
    }
    if (renewal.acknowledged_end != 0) {
        session->acknowledging = false;
    }
    if (renewal.wait) {
        session->long_poll_pending = false;
    }
    else {
        session->report_pending = false;
    }
    if (session->worker == NULL) {
        FvLeaderWorker_ReleaseSession(session);
        return;
    }
    applied = apply_report(&renewal, answer);
    if (leader->closed || session->worker == NULL) {
        return; /* the answer deposed this leader */
    }
    session->paused = !may_renew_at_once(&renewal, applied);
    /* The tick renews the lease of a worker without a connection to spare. */
    if (!session->long_poll_pending && !session->recording &&
        !session->paused &&
        FvCallPool_MayLongPoll(leader->pool, session->worker->entry.address)) {
        FvLeaderWorker_RenewLease(session, true);
    }
    request_connection(leader, session->worker);
    FvLeader_SchedulePass(leader);
}

/* Short enough for several renewals during a lease. */
static int32_t
renew_wait_ms(const fv_leader_t *leader)
{
    int64_t wait_ms = leader->sched.lease_ms / Fv_RENEWALS_PER_LEASE;

    return wait_ms < Fv_RENEW_WAIT_MAX_MS ? (int32_t)wait_ms
                                          : Fv_RENEW_WAIT_MAX_MS;
}

/* Wait of a renewal while orders are unanswered. It grows with the number of
 * workers, which limits the load on this host in a large cell. */
static int32_t
fast_poll_wait_ms(const fv_leader_t *leader)
{
    uint32_t workers = HASH_COUNT(leader->sched.workers);
    int64_t wait_ms =
        (int64_t)Fv_FAST_POLL_WAIT_MS * workers / Fv_FAST_POLL_WORKERS;

    if (wait_ms < Fv_FAST_POLL_WAIT_MS) {
        return Fv_FAST_POLL_WAIT_MS;
    }
    return wait_ms < renew_wait_ms(leader) ? (int32_t)wait_ms
                                           : renew_wait_ms(leader);
}

/**
 * FvLeaderWorker_RenewLease - renew a worker's lease and get a report
 * @session: the worker's session
 * @wait: whether the worker may delay the answer until a run ends
 */
void
FvLeaderWorker_RenewLease(fv_worker_session_t *session, bool wait)
{
    fv_leader_t *leader = session->leader;
    fv_sched_worker_t *worker = session->worker;
    int64_t now_ms = FvClock_NowMs();
    fv_renewal_t *renewal;
    int64_t lease_end_worker_ms;
    int32_t wait_ms = 0;
    int64_t excess_ms = FvAnswerTime_ExcessMs(&leader->answer_time);
    /* More calls do not help where answers queue. */
    bool poll_faster =
        now_ms < leader->sched.poll_faster_until_ms && excess_ms == 0;
    fv_call_t call;

    if (!leader->events.may_send_orders(leader->events.context, now_ms)) {
        return;
    }
    renewal = calloc(1, sizeof(*renewal));
    if (renewal == NULL) {
        return; /* the next tick retries */
    }
    lease_end_worker_ms = FvSched_ExtendLease(&leader->sched, worker, now_ms);
    if (wait && worker->synced && !worker->suspect &&
        FvCallPool_MayLongPoll(leader->pool, worker->entry.address)) {
        wait_ms = worker->task_count > 0 ? renew_wait_ms(leader)
                                         : Fv_RENEW_IDLE_WAIT_MS;
        if (poll_faster && worker->task_count > 0) {
            wait_ms = fast_poll_wait_ms(leader);
        }
    }
    *renewal = (fv_renewal_t){
        .session = session,
        .sent_ms = now_ms,
        .acknowledged_end = session->acknowledging
                                ? 0 /* a copy may reach a later incarnation */
                                : FvSched_EndToAcknowledge(worker),
        .started_wall_ms = worker->started_wall_ms,
        .wait = wait,
        .wait_ms = wait_ms};
    session->sent_ms = now_ms;
    if (renewal->acknowledged_end != 0) {
        session->acknowledging = true;
    }
    if (wait) {
        session->long_poll_pending = true;
    }
    else {
        session->report_pending = true;
    }
    session->pending_calls++;
    leader->pending_calls++;
    leader->renewals++;
    FvPlatform_RenewRuns(&call, worker->entry.id, leader->epoch,
                         renewal->acknowledged_end, lease_end_worker_ms,
                         wait_ms);
    FvCallPool_Send(
        leader->pool, worker->entry.address, &call,
        &(fv_call_terms_t){
            .bounds = &worker_bounds,
            .urgency = wait_ms > 0 ? Fv_CALL_LONG_POLL : Fv_CALL_RENEWAL,
            .timeout_ms =
                wait_ms + excess_ms +
                (poll_faster ? Fv_FAST_POLL_SLACK_MS : Fv_ANSWER_SLACK_MS)},
        renewal_answered, renewal);
}

/**
 * FvLeaderWorker_RequestReport - request a report from a worker at once
 * @sched: the scheduler
 * @worker: the worker
 */
void
FvLeaderWorker_RequestReport(fv_sched_t *sched, fv_sched_worker_t *worker)
{
    fv_worker_session_t *session = worker->leader_session;

    (void)sched;
    if (session != NULL && !session->report_pending) {
        FvLeaderWorker_RenewLease(session, false);
    }
}

/**
 * FvLeaderWorker_AddService - have the workers of a service polled
 * @leader: the leader
 * @name: the service
 */
void
FvLeaderWorker_AddService(fv_leader_t *leader, const char *name)
{
    fv_used_service_t *service = NULL;

    HASH_FIND_STR(leader->services, name, service);
    if (service != NULL) {
        return;
    }
    service = calloc(1, sizeof(*service));
    if (service == NULL) {
        abort(); /* accepted jobs would wait for ever */
    }
    FvText_Copy(service->name, sizeof(service->name), name);
    HASH_ADD_STR(leader->services, name, service);
}

/**
 * FvLeaderWorker_IsServiceUsed - check whether a queue names a service
 * @leader: the leader
 * @name: the service
 *
 * Return: true when a queue of the configuration or of an accepted job names
 * it, or has named it while this leader led.
 */
bool
FvLeaderWorker_IsServiceUsed(fv_leader_t *leader, const char *name)
{
    const fv_cell_config_t *config =
        leader->events.config(leader->events.context);
    fv_used_service_t *service = NULL;

    if (config != NULL && config->version != leader->services_version) {
        for (uint32_t i = 0; i < config->queue_count; i++) {
            FvLeaderWorker_AddService(leader, config->queues[i].service);
        }
        leader->services_version = config->version;
    }
    HASH_FIND_STR(leader->services, name, service);
    return service != NULL;
}

/**
 * FvLeaderWorker_OpenSession - start renewing a worker's lease
 * @leader: the leader
 * @worker: the worker
 */
void
FvLeaderWorker_OpenSession(fv_leader_t *leader, fv_sched_worker_t *worker)
{
    fv_worker_session_t *session = worker->leader_session;

    if (session == NULL) {
        session = calloc(1, sizeof(*session));
        if (session == NULL) {
            return;
        }
        session->leader = leader;
        session->worker = worker;
        worker->leader_session = session;
        FvLeaderUnreached_Apply(leader, worker);
    }
    if (!worker->synced && !session->report_pending) {
        FvLeaderWorker_RenewLease(session, false);
    }
}
