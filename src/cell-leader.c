/*
 * The duties of the cell's leader: passes of the scheduler, watch over
 * workers, and its beginning and end.
 */

#include "cell-leader.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Leases of workers: longer than a renewal (1 s) and the replacement of a
 * leader (1 s of lease, an election and loading, 1 s when the store is slow)
 * take, short enough that the tasks of a silent worker start elsewhere within
 * their objective. */
#define Fv_WORKER_LEASE_MS 4500

/* Time to stop the members of an incomplete gang before they give up. */
#define Fv_GANG_STOP_MS 1200

/* An order that a host sent before its link broke has reached its worker by
 * then: one way between regions is 20 ms. */
#define Fv_ORDER_CROSSING_MS 50

/* A stop that was sent before the leader became quiet has reached its worker
 * by then: five round trips between regions. */
#define Fv_STOP_UNDERWAY_MS 250

/* A worker with tasks is looked at this often while the store keeps ends
 * from being recorded, or after it did not answer. */
#define Fv_RENEW_AGAIN_MS 700
#define Fv_SILENT_AGAIN_MS 300

#define Fv_LEADER_TICK_MS 50

/* Pause before a pass, as a multiple of what the latest one took, so that
 * passes leave the processor to requests and reports. */
#define Fv_PASS_REST 1
#define Fv_PASS_WAIT_MIN_US 2000
#define Fv_PASS_WAIT_MAX_US 40000
#define Fv_NS_PER_US 1000

#define Fv_LOAD_LOG_MS 1000
#define Fv_RUNS_PER_GENERATION 1000
#define Fv_ASK_ID_BITS 24 /* questions of one leader */

static void
pass_due(evutil_socket_t fd, short what, void *context)
{
    fv_leader_t *leader = context;
    int64_t now_ms = FvClock_NowMs();

    (void)fd;
    (void)what;
    if (leader->serving &&
        leader->events.may_send_orders(leader->events.context, now_ms)) {
        FvSched_RunPass(&leader->sched, now_ms, FvClock_WallMs());
        leader->pass_took_us =
            (FvClock_NowNs() - now_ms * Fv_NS_PER_MS) / Fv_NS_PER_US;
        leader->passes++;
    }
}

/**
 * FvLeader_Kick - plan a pass when something changed
 * @leader: the leader
 */
void
FvLeader_Kick(fv_leader_t *leader)
{
    int64_t wait_us = leader->pass_took_us * Fv_PASS_REST;
    struct timeval wait = {
        .tv_usec = wait_us < Fv_PASS_WAIT_MIN_US   ? Fv_PASS_WAIT_MIN_US
                   : wait_us > Fv_PASS_WAIT_MAX_US ? Fv_PASS_WAIT_MAX_US
                                                   : wait_us};

    if (leader->sched.dirty && !leader->closed &&
        !event_pending(leader->pass, EV_TIMEOUT, NULL)) {
        event_add(leader->pass, &wait);
    }
}

/* Tasks that an earlier leader may have started wait until every worker that
 * it gave orders to was heard, or can run nothing any more. */
static void
check_inherited(fv_leader_t *leader, int64_t now_ms)
{
    int64_t longest_ms = FvSched_WorstCaseLeaseMs(&leader->sched);

    if (!leader->sched.hold_inherited_tasks) {
        return;
    }
    if (leader->previous_stopped_ms == 0 &&
        leader->events.is_linked(leader->events.context, leader->previous)) {
        leader->previous_stopped_ms = now_ms;
    }
    if (now_ms - leader->began_ms < FvElection_OrderGraceMs() + longest_ms &&
        (leader->previous_stopped_ms == 0 ||
         now_ms - leader->previous_stopped_ms < longest_ms)) {
        for (const fv_sched_worker_t *worker = leader->sched.workers;
             worker != NULL; worker = worker->hh.next) {
            if (worker->in_roster &&
                (!worker->synced ||
                 worker->inherited_stops_until_ms > now_ms)) {
                return;
            }
        }
    }
    leader->sched.hold_inherited_tasks = false;
    leader->sched.dirty = true;
    FvLog_Event(Fv_LOG_INFO, "inherited_tasks_free", "after_ms=%" PRId64,
                now_ms - leader->began_ms);
}

static void
check_worker(fv_leader_t *leader, fv_sched_worker_t *worker, int64_t now_ms)
{
    fv_driver_t *driver = worker->driver;
    int64_t silent_ms = now_ms - driver->sent_ms;

    if (worker->suspect && worker->lease_expires_ms < now_ms) {
        FvSched_ReportUnanswered(&leader->sched, worker, now_ms);
    }
    if (!worker->listed && worker->tasks == NULL &&
        (worker->lost || (worker->synced && worker->suspect)) &&
        worker->lease_expires_ms < now_ms &&
        !leader->sched.hold_inherited_tasks) {
        driver->worker = NULL;
        FvLeaderWorker_Release(driver);
        FvSched_FreeWorker(&leader->sched, worker);
        FvLeaderRoster_Changed(
            leader); /* or the next leader would wait for it */
        return;
    }
    if (!worker->listed && worker->in_roster && !leader->reading_registry &&
        !leader->sched.hold_inherited_tasks &&
        FvSched_IsWorkerIdle(worker, now_ms)) {
        /* The next leader need not wait for its word or its lease. */
        worker->in_roster = false;
        FvLeaderRoster_Changed(leader);
    }
    if (worker->report_due_ms != 0 && now_ms >= worker->report_due_ms &&
        !driver->looking) {
        worker->report_due_ms = 0;
        FvLeaderWorker_Poll(driver, false);
    }
    if (driver->polling || driver->looking) {
        return;
    }
    if (worker->suspect && !driver->retried) {
        driver->retried = true;
        FvLeaderWorker_Poll(driver, false);
    }
    else if (silent_ms >= (worker->suspect || !worker->synced
                               ? Fv_SILENT_AGAIN_MS
                               : Fv_RENEW_AGAIN_MS)) {
        FvLeaderWorker_Poll(driver, !driver->recording);
    }
}

static void
forget_ended(fv_leader_t *leader, int64_t now_ms)
{
    fv_ended_job_t *ended;
    fv_ended_job_t *next;
    int64_t keep_ms =
        leader->settings->keep_ended_s * Fv_MS_PER_S + Fv_KEEP_MARGIN_MS;

    for (ended = leader->ended; ended != NULL; ended = next) {
        next = ended->hh.next;
        if (now_ms - ended->ended_ms <= keep_ms) {
            return; /* they are in the order of their ends */
        }
        /* uthash unlinks the entry, which the analyzer does not see. */
        /* NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
        HASH_DEL(leader->ended, ended);
        free(ended);
    }
}

/* What the cell holds and what waits, for whoever asks later why a job
 * waited. */
static void
log_load(fv_leader_t *leader, int64_t now_ms)
{
    fv_sched_load_t load;
    uint32_t asks;

    if (now_ms < leader->next_load_log_ms) {
        return;
    }
    /* uthash unlinks the entry, which the analyzer does not see. */
    /* NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
    asks = HASH_COUNT(leader->asks);
    leader->next_load_log_ms = now_ms + Fv_LOAD_LOG_MS;
    FvSched_GetLoad(&leader->sched, now_ms, &load);
    FvSched_LogIncompleteGangs(&leader->sched, now_ms);
    FvLog_Event(Fv_LOG_INFO, "cell_load",
                "workers=%u usable=%u cpu_used=%" PRId64 " cpu=%" PRId64
                " memory_used=%" PRId64 " memory=%" PRId64
                " stages_waiting=%u late=%u tasks_waiting=%u asks=%u "
                "records=%u lag_ms=%" PRId64 " passes=%" PRId64,
                load.workers, load.usable, load.used_cpu_millis,
                load.cpu_millis, load.used_memory_mib, load.memory_mib,
                load.stages_waiting, load.stages_late, load.tasks_waiting,
                asks, FvRecordWriter_Backlog(leader->records),
                leader->worst_lag_ms, leader->passes);
    leader->worst_lag_ms = 0;
    leader->passes = 0;
}

/* A late tick tells that the processor is busy. */
static void
note_lag(fv_leader_t *leader, int64_t now_ms)
{
    int64_t lag_ms = now_ms - leader->last_tick_ms - Fv_LEADER_TICK_MS;

    if (leader->last_tick_ms != 0 && lag_ms > leader->worst_lag_ms) {
        leader->worst_lag_ms = lag_ms;
    }
    leader->last_tick_ms = now_ms;
}

static void
tick(evutil_socket_t fd, short what, void *context)
{
    fv_leader_t *leader = context;
    int64_t now_ms = FvClock_NowMs();
    fv_sched_worker_t *worker;
    fv_sched_worker_t *next_worker;
    fv_sched_job_t *job;
    fv_sched_job_t *next_job;
    fv_open_ask_t *ask;
    fv_open_ask_t *next_ask;

    (void)fd;
    (void)what;
    note_lag(leader, now_ms);
    if (!leader->serving) {
        return;
    }
    check_inherited(leader, now_ms);
    for (worker = leader->sched.workers; worker != NULL;
         worker = next_worker) {
        next_worker = worker->hh.next;
        check_worker(leader, worker, now_ms);
    }
    for (job = leader->sched.jobs; job != NULL; job = next_job) {
        next_job = job->hh.next;
        FvLeaderRecord_RemoveIfIdle(leader, job);
    }
    for (ask = leader->asks; ask != NULL; ask = next_ask) {
        next_ask = ask->hh.next;
        if (now_ms > ask->give_up_ms) {
            FvLog_Event(Fv_LOG_WARN, "advice_unanswered", "stage=%s",
                        ask->stage);
            FvLeaderAdvice_Close(leader, ask, NULL);
        }
    }
    if (FvRecordWriter_Stalled(leader->records, now_ms)) {
        FvRecordWriter_WithdrawUnsent(leader->records);
    }
    forget_ended(leader, now_ms);
    log_load(leader, now_ms);
    leader->sched.dirty = leader->sched.dirty || leader->sched.pending != NULL;
    FvLeader_Kick(leader);
}

static void free_leader(fv_leader_t *leader);

/**
 * FvLeader_CallEnded - a call that refers to the leader was answered
 * @leader: the leader
 *
 * Return: false when the leader is gone, and perhaps released.
 */
bool
FvLeader_CallEnded(fv_leader_t *leader)
{
    leader->calls--;
    if (leader->closed && leader->calls == 0) {
        free_leader(leader);
        return false;
    }
    return !leader->closed;
}

/**
 * FvLeader_Of - the leader whose scheduler this is
 * @sched: the scheduler
 *
 * Return: the leader.
 */
fv_leader_t *
FvLeader_Of(fv_sched_t *sched)
{
    return (fv_leader_t *)((char *)sched - offsetof(fv_leader_t, sched));
}

static const fv_sched_ops_t sched_port = {
    .decode = FvPlatform_DecodeJobSpec,
    .start = FvLeaderOrder_Start,
    .stop = FvLeaderOrder_Stop,
    .stop_orphan_run = FvLeaderOrder_StopStray,
    .ask = FvLeaderAdvice_Ask,
    .record = FvLeaderRecord_Write,
    .request_report = FvLeaderWorker_Look,
};

static void
quieted(evutil_socket_t fd, short what, void *context)
{
    fv_leader_t *leader = context;

    (void)fd;
    (void)what;
    leader->quiet_noted = true;
    FvLeaderRoster_Changed(leader);
}

/**
 * FvLeader_PredecessorDied - the process that led before is dead
 * @leader: the leader
 * @died_ms: it lived no longer
 */
void
FvLeader_PredecessorDied(fv_leader_t *leader, int64_t died_ms)
{
    leader->sched.predecessor_last_order_ms = died_ms + Fv_ORDER_CROSSING_MS;
    FvLog_Event(Fv_LOG_INFO, "predecessor_dead", "since_ms=%" PRId64,
                FvClock_NowMs() - died_ms);
}

/**
 * FvLeader_HandOver - prepare for another host to lead
 * @leader: the leader
 *
 * It goes on with everything but stops. When the last one has surely ended,
 * the list of workers is written with a note of that, and the event
 * handed_over tells that this host may resign: the next leader need not wait
 * for runs that are being stopped, which no report lists.
 */
void
FvLeader_HandOver(fv_leader_t *leader)
{
    int64_t wait_ms = leader->sched.stop_max_ms + Fv_STOP_UNDERWAY_MS;
    struct timeval wait = {.tv_sec = wait_ms / Fv_MS_PER_S,
                           .tv_usec = (suseconds_t)(wait_ms % Fv_MS_PER_S) *
                                      Fv_US_PER_MS};

    if (!leader->serving) {
        leader->events.handed_over(leader->events.context);
        return;
    }
    leader->stops_suspended = true;
    leader->sched.stops_suspended = true;
    event_add(leader->quieted, &wait);
}

/**
 * FvLeader_IsServing - whether the leader has loaded what it needs
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
 * FvLeader_New - begin to lead
 * @base: the event loop
 * @pool: sends calls to workers
 * @kv: the store
 * @settings: this host
 * @events: what is told
 * @epoch: revision of the leader's key
 * @generation: number of this leadership
 *
 * Return: the leader, or NULL when memory is exhausted.
 */
fv_leader_t *
FvLeader_New(struct event_base *base, fv_call_pool_t *pool, fv_kv_client_t *kv,
             const fv_entry_settings_t *settings,
             const fv_leader_events_t *events, int64_t epoch,
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
    leader->epoch = epoch;
    leader->generation = generation;
    leader->began_ms = FvClock_NowMs();
    leader->last_ask = epoch << Fv_ASK_ID_BITS;
    FvSched_Init(
        &leader->sched, &sched_port,
        &(fv_sched_timeouts_t){
            .lease_ms = settings->lease_max_ms < Fv_WORKER_LEASE_MS
                            ? settings->lease_max_ms
                            : Fv_WORKER_LEASE_MS,
            .stop_max_ms = settings->stop_timeout_ms,
            .gang_refill_ms = settings->gang_timeout_ms - Fv_GANG_STOP_MS});
    leader->sched.run_base = (generation - 1) * Fv_RUNS_PER_GENERATION;
    leader->sched.hold_inherited_tasks = true;
    leader->tick = event_new(base, -1, EV_PERSIST, tick, leader);
    leader->pass = event_new(base, -1, 0, pass_due, leader);
    leader->quieted = event_new(base, -1, 0, quieted, leader);
    event_add(leader->tick, &interval);
    FvLeaderLoad_Start(leader);
    return leader;
}

static void
free_leader(fv_leader_t *leader)
{
    fv_ended_job_t *ended;
    fv_ended_job_t *next_ended;
    fv_open_ask_t *ask;
    fv_open_ask_t *next_ask;

    for (ended = leader->ended; ended != NULL; ended = next_ended) {
        next_ended = ended->hh.next;
        /* uthash unlinks the entry, which the analyzer does not see. */
        /* NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
        HASH_DEL(leader->ended, ended);
        free(ended);
    }
    for (ask = leader->asks; ask != NULL; ask = next_ask) {
        next_ask = ask->hh.next;
        /* uthash unlinks the entry, which the analyzer does not see. */
        /* NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
        HASH_DEL(leader->asks, ask);
        free(ask->workers);
        free(ask);
    }
    FvLeaderLoad_Free(leader);
    event_free(leader->tick);
    event_free(leader->pass);
    event_free(leader->quieted);
    free(leader);
}

static void
free_waiters(fv_sched_job_t *job)
{
    while (job->waiters != NULL) {
        fv_job_waiter_t *waiter = job->waiters;

        job->waiters = waiter->next;
        free(waiter);
    }
}

/**
 * FvLeader_Free - stop leading at once; open requests are not answered
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
    event_del(leader->tick);
    event_del(leader->pass);
    event_del(leader->quieted);
    FvKvClient_CancelWatch(leader->registry);
    for (fv_sched_job_t *job = leader->sched.jobs; job != NULL;
         job = job->hh.next) {
        free_waiters(job);
    }
    for (fv_sched_worker_t *worker = leader->sched.workers; worker != NULL;
         worker = worker->hh.next) {
        fv_driver_t *driver = worker->driver;

        if (driver != NULL) {
            driver->worker = NULL;
            /* A pending record no longer answers. */
            driver->calls -= driver->recording ? 1 : 0;
            FvLeaderWorker_Release(driver);
        }
    }
    FvRecordWriter_Free(leader->records);
    leader->records = NULL;
    FvSched_Clear(&leader->sched);
    if (leader->calls == 0) {
        free_leader(leader);
    }
}
