/*
 * The leader of the cell: how it starts and stops, runs scheduler passes and
 * monitors workers.
 */

#include "cell-leader.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Lease of the runs on a worker. It outlasts a renewal (1 s) plus a leader
 * failover (1 s of leader lease, then election and loading, 1 s when the store
 * is slow), and is short enough for the tasks of an unreachable worker to
 * start elsewhere within their objective. */
#define Fv_WORKER_LEASE_MS 4500

/* Subtracted from the gang timeout: time to stop the members of an incomplete
 * gang before they time out waiting for the others. */
#define Fv_GANG_STOP_MS 1200

/* Within this time, a stop sent before a handover began has reached its
 * worker: five round trips between regions. */
#define Fv_STOP_DELIVERY_MS 250

/* Renewal interval of a worker without a pending long poll, while the store
 * delays the recording of ends. */
#define Fv_RENEW_INTERVAL_MS 700

/* Renewal interval of a worker without a connection to spare for a long
 * poll. */
#define Fv_NO_POLL_INTERVAL_MS 300

#define Fv_LEADER_TICK_MS 50

/* Processor time per tick for workers that are gone. A rack or a zone of them
 * may go at one time, and the leader renews its lease between the ticks. */
#define Fv_FORGETTING_MAX_US 10000

/* Share of a host's memory that accepted jobs may take. The rest is for the
 * workers, requests and what is being written. */
#define Fv_JOB_MEMORY_SHARE 0.25

/* Pause before a pass, as a multiple of the duration of the latest one; it
 * leaves three quarters of the processor to requests and reports, so that a
 * pass does not decide on outdated reports. */
#define Fv_PASS_PAUSE_FACTOR 3
#define Fv_PASS_PAUSE_MIN_US 2000
#define Fv_PASS_PAUSE_MAX_US 60000
#define Fv_NS_PER_US 1000
#define Fv_BYTES_PER_MB 1000000

#define Fv_LOAD_LOG_INTERVAL_MS 1000
#define Fv_RUNS_PER_GENERATION 1000
#define Fv_ADVICE_REQUEST_ID_BITS 24 /* requests of one leader */

/**
 * FvLeader_ApplyCustomers - apply the caps and weights of the newest
 * configuration that this host has
 * @leader: the leader
 *
 * Return: false when a job has a customer and this host has no configuration
 * yet, so that the caps are not known. It gets one from the store, which it
 * has read the jobs from, or from another host.
 */
bool
FvLeader_ApplyCustomers(fv_leader_t *leader)
{
    const fv_cell_config_t *config =
        leader->events.config(leader->events.context);

    if (config == NULL) {
        return leader->sched.customers == NULL;
    }
    if (config->version != leader->customers_version) {
        leader->customers_version = config->version;
        if (config->has_customers || leader->sched.customers != NULL) {
            FvSched_SetCustomers(&leader->sched, config);
        }
    }
    return true;
}

static void
run_pass(evutil_socket_t fd, short what, void *context)
{
    fv_leader_t *leader = context;
    int64_t now_ms = FvClock_NowMs();

    (void)fd;
    (void)what;
    if (leader->serving &&
        leader->events.may_send_orders(leader->events.context, now_ms) &&
        FvLeader_ApplyCustomers(leader)) {
        FvSched_RunPass(&leader->sched, now_ms, FvClock_WallMs());
        leader->last_pass_us =
            (FvClock_NowNs() - now_ms * Fv_NS_PER_MS) / Fv_NS_PER_US;
        leader->passes++;
    }
}

/**
 * FvLeader_SchedulePass - schedule a pass if anything has changed
 * @leader: the leader
 */
void
FvLeader_SchedulePass(fv_leader_t *leader)
{
    int64_t wait_us = leader->last_pass_us * Fv_PASS_PAUSE_FACTOR;
    struct timeval wait = {
        .tv_usec = wait_us < Fv_PASS_PAUSE_MIN_US   ? Fv_PASS_PAUSE_MIN_US
                   : wait_us > Fv_PASS_PAUSE_MAX_US ? Fv_PASS_PAUSE_MAX_US
                                                    : wait_us};

    if (leader->sched.dirty && !leader->closed &&
        !event_pending(leader->pass_timer, EV_TIMEOUT, NULL)) {
        event_add(leader->pass_timer, &wait);
    }
}

/* The time by which all earlier leaders had certainly stopped. The leaders
 * before the predecessor had lost their leases when it was elected. */
static int64_t
earlier_leaders_stopped_ms(const fv_leader_t *leader)
{
    int64_t grace_ms = FvElection_OrderGraceMs();
    int64_t latest_ms = leader->all_stopped_ms != 0
                            ? leader->all_stopped_ms
                            : leader->began_ms + grace_ms;
    int64_t stopped_ms = leader->predecessor.began_by_ms + grace_ms;

    if (stopped_ms < leader->predecessor_stopped_ms) {
        stopped_ms = leader->predecessor_stopped_ms;
    }
    return leader->predecessor_stopped_ms != 0 && stopped_ms < latest_ms
               ? stopped_ms
               : latest_ms;
}

/**
 * FvLeader_HaveEarlierStopped - whether earlier leaders grant no more leases
 * @leader: the leader
 * @now_ms: the time
 *
 * Return: true when all have certainly stopped.
 */
bool
FvLeader_HaveEarlierStopped(const fv_leader_t *leader, int64_t now_ms)
{
    return now_ms >= earlier_leaders_stopped_ms(leader);
}

static void
note_stopped_leaders(fv_leader_t *leader, int64_t now_ms)
{
    if (FvLeader_HaveEarlierStopped(leader, now_ms)) {
        return;
    }
    if (leader->predecessor_stopped_ms == 0 &&
        leader->events.is_linked(leader->events.context,
                                 leader->predecessor.host)) {
        leader->predecessor_stopped_ms = now_ms;
    }
    if (leader->events.are_all_linked(leader->events.context)) {
        leader->all_stopped_ms = now_ms;
    }
}

/* Tasks that an earlier leader may have started are held until every worker
 * that it gave orders to has reported, or all leases that it granted have
 * expired. */
static void
release_inherited_tasks(fv_leader_t *leader, int64_t now_ms)
{
    bool leases_expired;

    if (!leader->sched.hold_inherited_tasks) {
        return;
    }
    leases_expired = FvSched_LedAt(
        &leader->sched, earlier_leaders_stopped_ms(leader) +
                            FvSched_WorstCaseLeaseMs(&leader->sched));
    FvLeaderUnreached_NoteExpired(leader);
    if (!FvSched_KnowsInheritedRuns(&leader->sched, leases_expired, now_ms)) {
        return;
    }
    leader->sched.hold_inherited_tasks = false;
    leader->sched.dirty = true;
    FvLog_Event(
        Fv_LOG_INFO, "inherited_tasks_free",
        "cause=%s predecessor=%s stopped=%d after_ms=%" PRId64
        " lead_age_ms=%" PRId64,
        leases_expired ? "leases_expired" : "runs_known",
        leader->predecessor.host, leader->predecessor_stopped_ms != 0 ? 1 : 0,
        now_ms - leader->began_ms, FvSched_LeadAgeMs(&leader->sched, now_ms));
}

/* A worker of a service that no queue names; a later configuration may. */
static void
check_unpolled_worker(fv_leader_t *leader, fv_sched_worker_t *worker)
{
    if (!worker->listed) {
        FvSched_FreeWorker(&leader->sched, worker);
    }
    else if (FvLeaderWorker_IsServiceUsed(leader, worker->entry.service)) {
        FvLeaderWorker_OpenSession(leader, worker);
    }
}

static int64_t
renewal_interval_ms(const fv_leader_t *leader, const fv_sched_worker_t *worker)
{
    const fv_worker_session_t *session = worker->leader_session;

    if (worker->suspect) {
        return Fv_SILENT_RETRY_MS;
    }
    if (!FvCallPool_MayLongPoll(leader->pool, worker->entry.address)) {
        return Fv_NO_POLL_INTERVAL_MS;
    }
    if (session->paused && !session->recording) {
        return Fv_RENEWAL_PAUSE_MS;
    }
    return worker->synced ? Fv_RENEW_INTERVAL_MS : Fv_SILENT_RETRY_MS;
}

/**
 * FvLeader_IsWorkerGone - whether a worker can be forgotten
 * @leader: the leader
 * @worker: the worker
 *
 * Return: true when it has left the registry, does not answer, certainly runs
 * nothing and all its ends are recorded.
 */
bool
FvLeader_IsWorkerGone(const fv_leader_t *leader,
                      const fv_sched_worker_t *worker)
{
    return !worker->listed && worker->tasks == NULL &&
           !FvSched_HasUnrecordedEnds(worker) &&
           (worker->lost || (worker->synced && worker->suspect)) &&
           FvSched_HasLeaseExpired(&leader->sched, worker) &&
           !leader->sched.hold_inherited_tasks;
}

/* The next leader would otherwise wait for the worker's report or the expiry
 * of its lease. */
static void
leave_worker_list(fv_leader_t *leader, fv_sched_worker_t *worker)
{
    worker->in_worker_list = false;
    worker->in_list_write = false;
    FvLeaderWorkerList_RequestWrite(leader);
}

static void
forget_worker(fv_leader_t *leader, fv_sched_worker_t *worker, int64_t now_ms)
{
    fv_worker_session_t *session = worker->leader_session;
    int64_t began_us = FvClock_NowNs() / Fv_NS_PER_US;

    if (worker->in_worker_list || worker->in_list_write) {
        leave_worker_list(leader, worker);
    }
    if (FvSched_MayCarryOutOrders(worker, now_ms)) {
        return; /* it may return before they arrive */
    }
    if (leader->forgetting_us >= Fv_FORGETTING_MAX_US) {
        return; /* the next tick goes on */
    }
    session->worker = NULL;
    FvLeaderWorker_ReleaseSession(session);
    FvSched_FreeWorker(&leader->sched, worker);
    leader->forgetting_us += FvClock_NowNs() / Fv_NS_PER_US - began_us;
}

static void
check_worker(fv_leader_t *leader, fv_sched_worker_t *worker, int64_t now_ms)
{
    fv_worker_session_t *session = worker->leader_session;
    int64_t silent_ms;

    if (session == NULL) {
        check_unpolled_worker(leader, worker);
        return;
    }
    silent_ms = now_ms - session->sent_ms;
    if (worker->long_lease_until_ms != 0 &&
        worker->long_lease_until_ms <= now_ms && !leader->resigning) {
        worker->long_lease_until_ms = 0;
        FvLeaderWorkerList_RequestWrite(leader);
    }
    if (worker->suspect && FvSched_HasLeaseExpired(&leader->sched, worker)) {
        FvSched_ReportUnanswered(&leader->sched, worker, now_ms);
    }
    if (!worker->unreached && FvLeader_IsWorkerGone(leader, worker)) {
        forget_worker(leader, worker, now_ms);
        return;
    }
    if (!worker->listed && worker->in_worker_list &&
        !leader->reading_registry && !leader->sched.hold_inherited_tasks &&
        FvSched_IsWorkerIdle(worker, now_ms)) {
        leave_worker_list(leader, worker);
    }
    if (worker->report_due_ms != 0 && now_ms >= worker->report_due_ms &&
        !session->report_pending) {
        worker->report_due_ms = 0;
        FvLeaderWorker_RenewLease(session, false);
    }
    if (session->long_poll_pending || session->report_pending) {
        return;
    }
    if (worker->suspect && !session->retried) {
        session->retried = true;
        FvLeaderWorker_RenewLease(session, false);
    }
    else if (silent_ms >= renewal_interval_ms(leader, worker)) {
        FvLeaderWorker_RenewLease(session, !session->recording);
    }
}

static void
remove_expired_jobs(fv_leader_t *leader, int64_t now_ms)
{
    fv_ended_job_t *ended;
    fv_ended_job_t *next;
    int64_t retention_ms =
        leader->settings->keep_ended_s * Fv_MS_PER_S + Fv_RETENTION_MARGIN_MS;

    for (ended = leader->ended; ended != NULL; ended = next) {
        next = ended->hh.next;
        if (now_ms - ended->ended_ms <= retention_ms || !ended->recorded) {
            return; /* sorted by end time */
        }
        FvLeaderRecord_ForgetEnded(leader, ended);
    }
}

/* Logs utilization and queue lengths, which explain later why a job had to
 * wait. */
static void
log_cell_load(fv_leader_t *leader, int64_t now_ms)
{
    fv_sched_load_t load;
    uint32_t advice_requests;

    if (now_ms < leader->next_load_log_ms) {
        return;
    }
    /* uthash unlinks the entry, which the analyzer does not see. */
    /* NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
    advice_requests = HASH_COUNT(leader->advice_requests);
    leader->next_load_log_ms = now_ms + Fv_LOAD_LOG_INTERVAL_MS;
    FvSched_GetLoad(&leader->sched, now_ms, &load);
    FvSched_LogIncompleteGangs(&leader->sched, now_ms);
    FvSched_LogWaitingStages(&leader->sched, now_ms);
    FvLog_Event(Fv_LOG_INFO, "cell_load",
                "workers=%u usable=%u cpu_used=%" PRId64 " cpu=%" PRId64
                " memory_used=%" PRId64 " memory=%" PRId64
                " stages_waiting=%u late=%u tasks_waiting=%u asks=%u "
                "records=%u job_memory=%" PRId64 " job_memory_max=%" PRId64
                " lag_ms=%" PRId64 " passes=%" PRId64 " renewals=%" PRId64
                " registry_age_ms=%" PRId64 " answer_ms=%.0f limit_ms=%" PRId64
                " connections=%u call_waits=%" PRIu64 " not_sent=%" PRIu64
                " resets=%" PRIu64,
                load.workers, load.usable, load.used_cpu_millis,
                load.cpu_millis, load.used_memory_mib, load.memory_mib,
                load.stages_waiting, load.stages_late, load.tasks_waiting,
                advice_requests, FvRecordWriter_Backlog(leader->records),
                FvSched_JobMemoryBytes(&leader->sched),
                leader->sched.job_memory_max_bytes, leader->max_tick_lag_ms,
                leader->passes, leader->renewals,
                leader->registry_watch != NULL
                    ? FvKvClient_WatchAgeMs(leader->registry_watch, now_ms)
                    : 0,
                leader->answer_time.mean_ms,
                FvAnswerTime_LimitMs(&leader->answer_time),
                FvCallPool_Open(leader->pool),
                FvMetrics_Get(Fv_COUNTER_CALL_WAITS),
                FvMetrics_Get(Fv_COUNTER_CALLS_NOT_SENT),
                FvMetrics_Get(Fv_COUNTER_CONNECTIONS_RESET));
    leader->max_tick_lag_ms = 0;
    leader->passes = 0;
    leader->renewals = 0;
}

/* Any host may lead next, and has to hold all accepted jobs then. */
static void
update_job_memory(fv_leader_t *leader)
{
    double memory_mb =
        leader->events.smallest_memory_mb(leader->events.context);

    leader->sched.job_memory_max_bytes =
        (int64_t)(memory_mb * Fv_JOB_MEMORY_SHARE * Fv_BYTES_PER_MB);
}

/* A late tick indicates a busy processor. */
static void
update_tick_lag(fv_leader_t *leader, int64_t now_ms)
{
    int64_t lag_ms = now_ms - leader->last_tick_ms - Fv_LEADER_TICK_MS;

    if (leader->last_tick_ms != 0 && lag_ms > leader->max_tick_lag_ms) {
        leader->max_tick_lag_ms = lag_ms;
    }
    leader->last_tick_ms = now_ms;
}

static void
on_tick(evutil_socket_t fd, short what, void *context)
{
    fv_leader_t *leader = context;
    int64_t now_ms = FvClock_NowMs();
    fv_sched_worker_t *worker;
    fv_sched_worker_t *next_worker;
    fv_sched_job_t *job;
    fv_sched_job_t *next_job;
    fv_advice_request_t *request;
    fv_advice_request_t *next_request;

    (void)fd;
    (void)what;
    update_tick_lag(leader, now_ms);
    update_job_memory(leader);
    if (!leader->serving) {
        return;
    }
    note_stopped_leaders(leader, now_ms);
    release_inherited_tasks(leader, now_ms);
    leader->forgetting_us = 0;
    for (worker = leader->sched.workers; worker != NULL;
         worker = next_worker) {
        next_worker = worker->hh.next;
        check_worker(leader, worker, now_ms);
    }
    FvLeaderUnreached_Check(leader, now_ms);
    for (job = leader->sched.jobs; job != NULL; job = next_job) {
        next_job = job->hh.next;
        FvLeaderRecord_RemoveIfIdle(leader, job);
    }
    for (request = leader->advice_requests; request != NULL;
         request = next_request) {
        next_request = request->hh.next;
        if (now_ms > request->deadline_ms) {
            FvLog_Event(Fv_LOG_WARN, "advice_unanswered", "stage=%s",
                        request->stage);
            FvLeaderAdvice_Complete(leader, request, NULL);
        }
    }
    if (FvRecordWriter_Stalled(leader->records, now_ms)) {
        FvRecordWriter_WithdrawUnsent(leader->records);
    }
    remove_expired_jobs(leader, now_ms);
    FvLeaderRequest_ExpireQuestions(leader, now_ms);
    log_cell_load(leader, now_ms);
    leader->sched.dirty = leader->sched.dirty || leader->sched.pending != NULL;
    FvLeader_SchedulePass(leader);
}

static void free_leader(fv_leader_t *leader);

/**
 * FvLeader_FinishCall - count a call of the leader as answered
 * @leader: the leader
 *
 * Return: false when the leader is closed; it may have been freed.
 */
bool
FvLeader_FinishCall(fv_leader_t *leader)
{
    leader->pending_calls--;
    if (leader->closed && leader->pending_calls == 0) {
        free_leader(leader);
        return false;
    }
    return !leader->closed;
}

/**
 * FvLeader_FromSched - the leader that owns a scheduler
 * @sched: the scheduler
 *
 * Return: the leader.
 */
fv_leader_t *
FvLeader_FromSched(fv_sched_t *sched)
{
    return (fv_leader_t *)((char *)sched - offsetof(fv_leader_t, sched));
}

static const fv_sched_ops_t sched_ops = {
    .decode = FvPlatform_DecodeJobSpec,
    .start = FvLeaderOrder_Start,
    .stop = FvLeaderOrder_Stop,
    .stop_orphan_run = FvLeaderOrder_StopOrphanRun,
    .request_advice = FvLeaderAdvice_SendRequest,
    .record = FvLeaderRecord_Write,
    .request_report = FvLeaderWorker_RequestReport,
    .ended_customer = FvLeaderRecord_EndedCustomer,
};

/* Whether no run is being stopped, and none will be before a worker has seen
 * the next leader. */
static bool
are_stops_settled(const fv_leader_t *leader, int64_t now_ms)
{
    for (const fv_sched_worker_t *worker = leader->sched.workers;
         worker != NULL; worker = worker->hh.next) {
        if (worker->inherited || worker->inherited_stops_until_ms > now_ms) {
            return false; /* an earlier leader may have stopped runs there */
        }
    }
    /* A stop that waited for a connection was sent later than it was due. */
    return leader->pending_stops == 0 &&
           now_ms - leader->answered_stop_ms >= leader->sched.stop_max_ms &&
           (leader->unanswered_stop_ms == 0 ||
            now_ms - leader->unanswered_stop_ms >
                Fv_ORDER_DELAY_MAX_MS + leader->sched.stop_max_ms);
}

static void
finish_handover(evutil_socket_t fd, short what, void *context)
{
    fv_leader_t *leader = context;

    (void)fd;
    (void)what;
    leader->resigning = true;
    leader->stops_settled = are_stops_settled(leader, FvClock_NowMs());
    FvLog_Event(Fv_LOG_INFO, "handing_over", "stops_settled=%d",
                leader->stops_settled ? 1 : 0);
    FvLeaderWorkerList_RequestWrite(leader);
}

/**
 * FvLeader_HandOver - prepare to resign
 * @leader: the leader
 *
 * The leader sends no more stops but continues otherwise. After the time that
 * the last stop takes, it notes in the worker list whether all have certainly
 * taken effect, and calls handed_over, after which this host may resign. The
 * next leader need not wait then for runs that are being stopped, which no
 * report lists.
 */
void
FvLeader_HandOver(fv_leader_t *leader)
{
    int64_t wait_ms = leader->sched.stop_max_ms + Fv_STOP_DELIVERY_MS;
    struct timeval wait = {.tv_sec = wait_ms / Fv_MS_PER_S,
                           .tv_usec = (suseconds_t)(wait_ms % Fv_MS_PER_S) *
                                      Fv_US_PER_MS};

    if (!leader->serving) {
        leader->events.handed_over(leader->events.context);
        return;
    }
    leader->handing_over = true;
    leader->sched.stops_suspended = true;
    event_add(leader->handover_timer, &wait);
}

/**
 * FvLeader_IsServing - whether the leader has loaded all records
 * @leader: the leader
 *
 * Return: true when it answers requests.
 */
bool
FvLeader_IsServing(const fv_leader_t *leader)
{
    return leader->serving;
}

/**
 * FvLeader_New - start leading
 * @base: the event loop
 * @pool: sends calls to workers
 * @kv: the store
 * @settings: settings of this host
 * @events: callbacks
 * @predecessor: the previous leader
 * @epoch: revision of the leader's key
 * @generation: number of this leader, higher than all before
 *
 * Return: the leader, or NULL when memory is exhausted.
 */
fv_leader_t *
FvLeader_New(struct event_base *base, fv_call_pool_t *pool, fv_kv_client_t *kv,
             const fv_entry_settings_t *settings,
             const fv_leader_events_t *events,
             const fv_predecessor_t *predecessor, int64_t epoch,
             int32_t generation)
{
    fv_leader_t *leader = calloc(1, sizeof(*leader));
    struct timeval interval = {.tv_usec = Fv_LEADER_TICK_MS * 1000};

    if (leader == NULL) {
        return NULL;
    }
    leader->base = base;
    leader->pool = pool;
    leader->kv = kv;
    leader->settings = settings;
    leader->events = *events;
    leader->predecessor = *predecessor;
    leader->epoch = epoch;
    leader->generation = generation;
    leader->customers_version = -1; /* none is applied yet */
    leader->began_ms = FvClock_NowMs();
    leader->last_advice_request_id = epoch << Fv_ADVICE_REQUEST_ID_BITS;
    FvSched_Init(
        &leader->sched, &sched_ops,
        &(fv_sched_timeouts_t){
            .lease_ms = settings->lease_max_ms < Fv_WORKER_LEASE_MS
                            ? settings->lease_max_ms
                            : Fv_WORKER_LEASE_MS,
            .lease_max_ms = settings->lease_max_ms,
            .stop_max_ms = settings->stop_timeout_ms,
            .gang_refill_ms = settings->gang_timeout_ms - Fv_GANG_STOP_MS});
    leader->sched.speeds.learning = settings->learn_worker_speeds;
    update_job_memory(leader);
    leader->sched.run_base = (generation - 1) * Fv_RUNS_PER_GENERATION;
    leader->sched.hold_inherited_tasks = true;
    leader->tick_timer = event_new(base, -1, EV_PERSIST, on_tick, leader);
    leader->pass_timer = event_new(base, -1, 0, run_pass, leader);
    leader->handover_timer = event_new(base, -1, 0, finish_handover, leader);
    event_add(leader->tick_timer, &interval);
    FvCallPool_OnClosed(pool, FvLeaderWorker_ConnectionClosed, leader);
    FvLeaderLoad_Start(leader);
    return leader;
}

static void
free_leader(fv_leader_t *leader)
{
    fv_used_service_t *service;
    fv_used_service_t *next_service;
    fv_ended_job_t *ended;
    fv_ended_job_t *next_ended;
    fv_advice_request_t *request;
    fv_advice_request_t *next_request;

    for (service = leader->services; service != NULL; service = next_service) {
        next_service = service->hh.next;
        /* uthash unlinks the entry, which the analyzer does not see. */
        /* NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
        HASH_DEL(leader->services, service);
        free(service);
    }
    for (ended = leader->ended; ended != NULL; ended = next_ended) {
        next_ended = ended->hh.next;
        /* uthash unlinks the entry, which the analyzer does not see. */
        /* NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
        HASH_DEL(leader->ended, ended);
        free(ended);
    }
    for (request = leader->advice_requests; request != NULL;
         request = next_request) {
        next_request = request->hh.next;
        /* uthash unlinks the entry, which the analyzer does not see. */
        /* NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
        HASH_DEL(leader->advice_requests, request);
        free(request->workers);
        free(request);
    }
    FvLeaderLoad_Free(leader);
    free(leader->unreached_loaded);
    event_free(leader->tick_timer);
    event_free(leader->pass_timer);
    event_free(leader->handover_timer);
    free(leader);
}

/**
 * FvLeader_Free - stop leading at once; pending requests get no reply
 * @leader: the leader, or NULL
 */
void
FvLeader_Free(fv_leader_t *leader)
{
    if (leader == NULL || leader->closed) {
        return;
    }
    leader->closed = true;
    leader->serving = false;
    FvCallPool_OnClosed(leader->pool, NULL, NULL);
    event_del(leader->tick_timer);
    event_del(leader->pass_timer);
    event_del(leader->handover_timer);
    FvKvClient_CancelWatch(leader->registry_watch);
    FvLeader_DropReplies(leader, NULL);
    for (fv_sched_worker_t *worker = leader->sched.workers; worker != NULL;
         worker = worker->hh.next) {
        fv_worker_session_t *session = worker->leader_session;

        if (session != NULL) {
            session->worker = NULL;
            /* A freed record writer calls no callbacks. */
            session->pending_calls -= session->recording ? 1 : 0;
            FvLeaderWorker_ReleaseSession(session);
        }
    }
    FvRecordWriter_Free(leader->records);
    leader->records = NULL;
    FvSched_Clear(&leader->sched);
    if (leader->pending_calls == 0) {
        free_leader(leader);
    }
}
