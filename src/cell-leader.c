/*
 * The duties of the cell's leader: it loads what earlier leaders recorded,
 * keeps in touch with the workers, answers requests and carries out the
 * scheduler's decisions.
 */

#include "entry.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Leases of workers: longer than a renewal (1 s) and the replacement of a
 * leader (1.3 s of lease, an election and loading, 1 s when the store is slow)
 * take, short enough that the tasks of a silent worker start elsewhere within
 * their objective. */
#define Fv_WORKER_LEASE_MS 4500

/* How long a worker may hold a renewal back while nothing ends there. */
#define Fv_RENEW_WAIT_MS 1000
#define Fv_RENEWALS_PER_LEASE 4
#define Fv_RENEW_IDLE_WAIT_MS 2000

/* Round trip between regions (40 ms) and a busy processor at both ends. */
#define Fv_ANSWER_SLACK_MS 700

/* While orders are left unanswered, a lost report is noticed sooner. */
#define Fv_DOUBT_WAIT_MS 250
#define Fv_DOUBT_WAIT_WORKERS 64 /* longer in proportion for more workers */
#define Fv_DOUBT_SLACK_MS 300

/* Time to stop the members of an incomplete gang before they give up. */
#define Fv_GANG_STOP_MS 1200

/* An order that is not answered within it is looked after: about five round
 * trips between regions. Nothing is lost when its answer comes later. */
#define Fv_ORDER_TIMEOUT_MS 250

/* A worker with tasks is looked at this often while the store keeps ends
 * from being recorded, or after it did not answer. */
#define Fv_RENEW_AGAIN_MS 700
#define Fv_SILENT_AGAIN_MS 300

/* Workers write to the registry at every heartbeat; a drain has to take effect
 * within drainMs, 2.5 s and more. */
#define Fv_REGISTRY_GAP_MS 400

#define Fv_LEADER_TICK_MS 50

/* Pause before a pass, as a multiple of what the latest one took, so that
 * passes leave the processor to requests and reports. */
#define Fv_PASS_REST 1
#define Fv_PASS_WAIT_MIN_US 2000
#define Fv_PASS_WAIT_MAX_US 40000
#define Fv_NS_PER_US 1000

#define Fv_LOAD_LOG_MS 1000
#define Fv_RUNS_PER_GENERATION 1000
#define Fv_LOAD_RETRY_MS 100
#define Fv_ASK_GIVE_UP_MS 2500
#define Fv_ASK_ID_BITS 24 /* questions of one leader */
#define Fv_KEEP_MARGIN_MS 60000

/* While the store is away, callers come back after this; its outages last
 * seconds, and a caller repeats a request a few times only. */
#define Fv_STORE_RETRY_AFTER_S "2"

typedef struct fv_waiter {
    int64_t id;
    fv_verb_t verb;
    fv_leader_reply_t reply;
    void *context;
    struct fv_waiter *next;
} fv_waiter_t;

typedef struct fv_ended_job {
    char id[Fv_JOB_ID_SIZE];
    char state[16];
    int64_t ended_ms;
    UT_hash_handle hh;
} fv_ended_job_t;

/* A question to the advice service that a host is asking. */
typedef struct fv_open_ask {
    int64_t id;
    char stage[Fv_STEP_ID_SIZE];
    char task[Fv_RUN_TASK_ID_SIZE]; /* names the stage's first task */
    int64_t sent_ms;
    int64_t give_up_ms;
    uint32_t count;
    char (*workers)[Fv_NAME_SIZE];
    UT_hash_handle hh;
} fv_open_ask_t;

/* The leader's side of one worker. */
typedef struct fv_driver {
    fv_leader_t *leader;
    fv_sched_worker_t *worker; /* NULL: forgotten while calls are open */
    uint32_t calls;
    bool polling;
    bool looking;
    bool retried;             /* at once, after the first missing answer */
    bool recording;           /* its latest ends are not recorded yet */
    int64_t recording_number; /* the latest end that is being recorded */
    int64_t recording_life;   /* ... of this life of the worker */
    int64_t sent_ms;
} fv_driver_t;

typedef struct fv_load {
    fv_leader_t *leader;
    const char *prefix;
    void (*item)(fv_leader_t *leader, const fv_kv_item_t *item);
    void (*loaded)(fv_leader_t *leader);
    char *after;
    struct event *retry;
} fv_load_t;

struct fv_leader {
    struct event_base *base;
    fv_call_pool_t *pool;
    fv_kv_client_t *kv;
    const fv_entry_settings_t *settings;
    fv_leader_events_t events;
    int64_t epoch;
    int64_t began_ms;
    fv_sched_t sched;
    fv_records_t *records;
    fv_kv_watch_t *registry;
    struct event *tick;
    struct event *pass;
    fv_ended_job_t *ended;
    fv_open_ask_t *asks;
    int64_t last_ask;
    int64_t lane_revisions[Fv_RECORD_LANES];
    fv_load_t loads[5];
    uint32_t loads_open;
    bool serving;
    bool closed;
    uint32_t calls; /* open calls that refer to this leader */
    bool roster_dirty;
    bool roster_writing;
    char previous[Fv_NAME_SIZE]; /* host that led before, "": none */
    int64_t previous_stopped_ms; /* since when it surely gives no orders */
    uint32_t roster_inherited;   /* workers that earlier leaders ordered */
    bool reading_registry;
    int64_t next_load_log_ms;
    int64_t pass_took_us;
    int64_t last_tick_ms;
    int64_t worst_lag_ms; /* of a tick, since the latest load line */
    int64_t passes;       /* ... */
};

static void kick(fv_leader_t *leader);
static void poll_worker(fv_driver_t *driver, bool wait);

/* --- Calls to workers --------------------------------------------------- */

typedef struct fv_order_call {
    fv_leader_t *leader;
    char task[Fv_RUN_TASK_ID_SIZE];
    int32_t run;
    bool stop;
} fv_order_call_t;

static void free_leader(fv_leader_t *leader);

static bool
leader_call_ended(fv_leader_t *leader)
{
    leader->calls--;
    if (leader->closed && leader->calls == 0) {
        free_leader(leader);
        return false;
    }
    return !leader->closed;
}

static void
order_answered(void *context, const fv_call_answer_t *answer)
{
    fv_order_call_t *order = context;
    fv_leader_t *leader = order->leader;
    fv_sched_task_t *task;
    fv_order_result_t result;
    int64_t clock_ms;

    if (!leader_call_ended(leader)) {
        free(order);
        return;
    }
    result = FvPlatform_OrderResult(answer, &clock_ms);
    task = FvSched_FindTask(&leader->sched, order->task);
    if (task != NULL && order->stop) {
        FvSched_StopAnswered(&leader->sched, task, order->run, result,
                             FvClock_NowMs());
    }
    else if (task != NULL) {
        FvSched_StartAnswered(&leader->sched, task, order->run, result,
                              FvClock_NowMs());
    }
    if (result == Fv_ORDER_FENCED) {
        leader->events.deposed(leader->events.context, "fenced_by_worker");
    }
    free(order);
    kick(leader);
}

static void
send_order(fv_leader_t *leader, fv_sched_worker_t *worker, fv_call_t *call,
           const char *task, int32_t run, bool stop)
{
    fv_order_call_t *order = calloc(1, sizeof(*order));

    if (order == NULL) {
        abort(); /* an order without an answer would occupy its worker */
    }
    order->leader = leader;
    order->run = run;
    order->stop = stop;
    FvText_Copy(order->task, sizeof(order->task), task);
    leader->calls++;
    FvCallPool_Send(leader->pool, worker->entry.address, call,
                    Fv_ORDER_TIMEOUT_MS, order_answered, order);
}

static fv_leader_t *
leader_of(fv_sched_t *sched)
{
    return (fv_leader_t *)((char *)sched - offsetof(fv_leader_t, sched));
}

static void
start_task(fv_sched_t *sched, fv_sched_task_t *task,
           const fv_verdict_t *verdict)
{
    fv_leader_t *leader = leader_of(sched);
    fv_sched_worker_t *worker = task->worker;
    int64_t now_ms = FvClock_NowMs();
    char name[Fv_RUN_TASK_ID_SIZE];
    fv_call_t call;
    fv_task_order_t order = {
        .task_id = name,
        .run = task->run,
        .fence = leader->epoch,
        .lease_end_worker_ms = FvSched_ExtendLease(sched, worker, now_ms),
        .payload = task->stage->job->spec.payload,
        .checkpoint = task->checkpoint,
        .ticket = verdict != NULL ? verdict->ticket : NULL,
    };

    FvSched_TaskName(task, name, sizeof(name));
    FvLog_Event(
        Fv_LOG_INFO, "start",
        "task=%s run=%d worker=%s queue=%s waited_ms=%" PRId64
        " free_cpu=%" PRId64,
        name, task->run, worker->entry.id, task->stage->job->queue.name,
        now_ms - task->stage->job->received_ms, worker->free_cpu_millis);
    FvPlatform_Start(&call, worker->entry.id, &order);
    send_order(leader, worker, &call, name, task->run, false);
}

static void
send_stop(fv_leader_t *leader, fv_sched_worker_t *worker, const char *name,
          int32_t run)
{
    fv_call_t call;
    fv_task_order_t order = {
        .task_id = name, .run = run, .fence = leader->epoch};

    if (!leader->events.may_order(leader->events.context, FvClock_NowMs())) {
        return;
    }
    FvPlatform_Stop(&call, worker->entry.id, &order);
    send_order(leader, worker, &call, name, run, true);
}

static void
stop_task(fv_sched_t *sched, fv_sched_task_t *task)
{
    char name[Fv_RUN_TASK_ID_SIZE];

    FvSched_TaskName(task, name, sizeof(name));
    FvLog_Event(Fv_LOG_INFO, "stop", "task=%s run=%d worker=%s", name,
                task->run, task->worker->entry.id);
    send_stop(leader_of(sched), task->worker, name, task->run);
}

static void
stop_stray(fv_sched_t *sched, fv_sched_worker_t *worker, const char *name,
           int32_t run)
{
    send_stop(leader_of(sched), worker, name, run);
}

/* --- Reports of workers ------------------------------------------------- */

typedef struct fv_renewal {
    fv_driver_t *driver;
    int64_t sent_ms;
    bool wait;
} fv_renewal_t;

static void
release_driver(fv_driver_t *driver)
{
    if (driver->worker == NULL && driver->calls == 0) {
        free(driver);
    }
}

static void record_ends(fv_driver_t *driver);

static void
ends_recorded(void *context)
{
    fv_driver_t *driver = context;

    driver->calls--;
    driver->recording = false;
    if (driver->worker == NULL) {
        release_driver(driver);
        return;
    }
    if (driver->recording_life == driver->worker->started_wall_ms &&
        FvSched_EndsRecorded(driver->worker, driver->recording_number)) {
        record_ends(driver);
        return;
    }
    if (!driver->polling) {
        poll_worker(driver, true);
    }
}

static void
record_ends(fv_driver_t *driver)
{
    driver->recording = true;
    driver->recording_number = driver->worker->end_seen;
    driver->recording_life = driver->worker->started_wall_ms;
    driver->calls++;
    FvRecords_After(driver->leader->records, ends_recorded, driver);
}

static void
apply_report(fv_driver_t *driver, const fv_call_answer_t *answer,
             int64_t sent_ms)
{
    fv_leader_t *leader = driver->leader;
    fv_worker_report_t report;
    int64_t clock_ms;
    fv_order_result_t result = FvPlatform_OrderResult(answer, &clock_ms);
    int64_t seen = driver->worker->end_seen;

    if (result == Fv_ORDER_FENCED) {
        leader->events.deposed(leader->events.context, "fenced_by_worker");
        return;
    }
    if (result == Fv_ORDER_DONE && FvPlatform_Report(answer, &report)) {
        FvSched_Report(&leader->sched, driver->worker, &report, sent_ms,
                       FvClock_NowMs());
        driver->retried = false;
    }
    else {
        if (result == Fv_ORDER_DONE) {
            FvLog_Event(Fv_LOG_WARN, "report_malformed", "worker=%s",
                        driver->worker->entry.id);
        }
        FvSched_NoReport(&leader->sched, driver->worker, FvClock_NowMs());
    }
    if (result == Fv_ORDER_DONE) {
        FvWorkerReport_Clear(&report);
    }
    if (driver->worker->end_seen > seen && !driver->recording) {
        record_ends(driver);
    }
}

static void
renewal_answered(void *context, const fv_call_answer_t *answer)
{
    fv_renewal_t *renewal = context;
    fv_driver_t *driver = renewal->driver;
    fv_leader_t *leader = driver->leader;
    bool waited = renewal->wait;
    int64_t sent_ms = renewal->sent_ms;

    free(renewal);
    driver->calls--;
    if (!leader_call_ended(leader)) {
        release_driver(driver);
        return;
    }
    if (waited) {
        driver->polling = false;
    }
    else {
        driver->looking = false;
    }
    if (driver->worker == NULL) {
        release_driver(driver);
        return;
    }
    apply_report(driver, answer, sent_ms);
    if (leader->closed || driver->worker == NULL) {
        return; /* deposed meanwhile */
    }
    if (!driver->polling && !driver->recording && answer->status == 200) {
        poll_worker(driver, true);
    }
    kick(leader);
}

/* A lease is renewed several times in its life. */
static int32_t
renew_wait_ms(const fv_leader_t *leader)
{
    int64_t wait_ms = leader->sched.lease_ms / Fv_RENEWALS_PER_LEASE;

    return wait_ms < Fv_RENEW_WAIT_MS ? (int32_t)wait_ms : Fv_RENEW_WAIT_MS;
}

/* How often workers are looked at while orders are in doubt: the load on this
 * host stays the same in a large cell. */
static int32_t
doubt_wait_ms(const fv_leader_t *leader)
{
    uint32_t workers = HASH_COUNT(leader->sched.workers);
    int64_t wait_ms =
        (int64_t)Fv_DOUBT_WAIT_MS * workers / Fv_DOUBT_WAIT_WORKERS;

    if (wait_ms < Fv_DOUBT_WAIT_MS) {
        return Fv_DOUBT_WAIT_MS;
    }
    return wait_ms < renew_wait_ms(leader) ? (int32_t)wait_ms
                                           : renew_wait_ms(leader);
}

/* Renews the lease and asks for a report; with @wait the worker holds the
 * answer back until something ends. */
static void
poll_worker(fv_driver_t *driver, bool wait)
{
    fv_leader_t *leader = driver->leader;
    fv_sched_worker_t *worker = driver->worker;
    int64_t now_ms = FvClock_NowMs();
    fv_renewal_t *renewal;
    int64_t lease_end;
    int32_t wait_ms = 0;
    bool doubt = now_ms < leader->sched.doubt_until_ms;
    fv_call_t call;

    if (!leader->events.may_order(leader->events.context, now_ms)) {
        return;
    }
    renewal = calloc(1, sizeof(*renewal));
    if (renewal == NULL) {
        return; /* the tick tries again */
    }
    lease_end = FvSched_ExtendLease(&leader->sched, worker, now_ms);
    if (wait && worker->synced && !worker->suspect) {
        wait_ms = worker->task_count > 0 ? renew_wait_ms(leader)
                                         : Fv_RENEW_IDLE_WAIT_MS;
        if (doubt && worker->task_count > 0) {
            wait_ms = doubt_wait_ms(leader);
        }
    }
    *renewal =
        (fv_renewal_t){.driver = driver, .sent_ms = now_ms, .wait = wait};
    driver->sent_ms = now_ms;
    if (wait) {
        driver->polling = true;
    }
    else {
        driver->looking = true;
    }
    driver->calls++;
    leader->calls++;
    FvPlatform_Renew(&call, worker->entry.id, leader->epoch,
                     worker->end_recorded, lease_end, wait_ms);
    FvCallPool_Send(leader->pool, worker->entry.address, &call,
                    wait_ms + (doubt ? Fv_DOUBT_SLACK_MS : Fv_ANSWER_SLACK_MS),
                    renewal_answered, renewal);
}

static void
look_at_worker(fv_sched_t *sched, fv_sched_worker_t *worker)
{
    fv_driver_t *driver = worker->driver;

    (void)sched;
    if (driver != NULL && !driver->looking) {
        poll_worker(driver, false);
    }
}

static void
drive(fv_leader_t *leader, fv_sched_worker_t *worker)
{
    fv_driver_t *driver = worker->driver;

    if (driver == NULL) {
        driver = calloc(1, sizeof(*driver));
        if (driver == NULL) {
            return;
        }
        driver->leader = leader;
        driver->worker = worker;
        worker->driver = driver;
    }
    if (!worker->synced && !driver->looking) {
        poll_worker(driver, false);
    }
}

/* --- Records ------------------------------------------------------------ */

static void
answer_waiter(fv_waiter_t *waiter, fv_reply_t outcome, const char *state)
{
    fv_message_t message = {.kind = Fv_MESSAGE_REPLY,
                            .id = waiter->id,
                            .number = outcome,
                            .name = state};

    waiter->reply(waiter->context, &message);
}

/* Answers the callers that waited for a record of the job. */
static void
answer_waiters(fv_sched_job_t *job, fv_verb_t verb, fv_reply_t outcome,
               const char *state)
{
    fv_waiter_t **link = (fv_waiter_t **)&job->waiters;

    while (*link != NULL) {
        fv_waiter_t *waiter = *link;

        if (waiter->verb != verb) {
            link = &waiter->next;
            continue;
        }
        *link = waiter->next;
        answer_waiter(waiter, outcome, state);
        free(waiter);
    }
}

static void
add_waiter(fv_sched_job_t *job, const fv_message_t *message,
           fv_leader_reply_t reply, void *context)
{
    fv_waiter_t *waiter = calloc(1, sizeof(*waiter));

    if (waiter == NULL) {
        return; /* the caller's time runs out and it asks again */
    }
    *waiter = (fv_waiter_t){.id = message->id,
                            .verb = (fv_verb_t)message->number,
                            .reply = reply,
                            .context = context,
                            .next = job->waiters};
    job->waiters = waiter;
}

static void
remember_ended(fv_leader_t *leader, const char *id, const char *state)
{
    fv_ended_job_t *ended = NULL;

    HASH_FIND_STR(leader->ended, id, ended);
    if (ended == NULL) {
        ended = calloc(1, sizeof(*ended));
        if (ended == NULL) {
            return;
        }
        FvText_Copy(ended->id, sizeof(ended->id), id);
        HASH_ADD_STR(leader->ended, id, ended);
    }
    FvText_Copy(ended->state, sizeof(ended->state), state);
    ended->ended_ms = FvClock_NowMs();
}

typedef struct fv_record_call {
    fv_leader_t *leader;
    char job[Fv_JOB_ID_SIZE];
    fv_record_kind_t kind;
} fv_record_call_t;

static void
remove_job_if_idle(fv_leader_t *leader, fv_sched_job_t *job)
{
    if (job->recorded != Fv_SCHED_JOB_OPEN && job->running_tasks == 0) {
        while (job->waiters != NULL) {
            fv_waiter_t *waiter = job->waiters;

            job->waiters = waiter->next;
            answer_waiter(waiter, Fv_REPLY_NOT_READY, "");
            free(waiter);
        }
        FvSched_RemoveJob(&leader->sched, job);
    }
}

static void
record_written(void *context)
{
    fv_record_call_t *call = context;
    fv_leader_t *leader = call->leader;
    fv_sched_job_t *job = FvSched_FindJob(&leader->sched, call->job);

    if (job != NULL && call->kind == Fv_RECORD_ACCEPT) {
        FvSched_JobDurable(&leader->sched, job);
        FvMetrics_Add(Fv_COUNTER_JOBS_ACCEPTED, 1);
        FvLog_Event(Fv_LOG_INFO, "job_accepted",
                    "job=%s queue=%s after_ms=%" PRId64, job->id,
                    job->queue.name, FvClock_NowMs() - job->received_ms);
        answer_waiters(job, Fv_VERB_SUBMIT, Fv_REPLY_ACCEPTED, "");
    }
    else if (job != NULL && call->kind == Fv_RECORD_END) {
        job->recorded = job->outcome;
        remember_ended(leader, job->id, FvSched_JobState(job));
        FvMetrics_Record(Fv_TIMING_TOTAL, Fv_CLASS_DEADLINE, job->queue.name,
                         (FvClock_NowMs() - job->received_ms) * 1000);
        answer_waiters(job, Fv_VERB_CANCEL, Fv_REPLY_STATE,
                       FvSched_JobState(job));
        remove_job_if_idle(leader, job);
    }
    free(call);
    kick(leader);
}

/* The store was never sent the job's record: the job is not accepted. */
static void
accept_withdrawn(void *context)
{
    fv_record_call_t *call = context;
    fv_leader_t *leader = call->leader;
    fv_sched_job_t *job = FvSched_FindJob(&leader->sched, call->job);

    if (job != NULL && !job->durable) {
        FvMetrics_Add(Fv_COUNTER_JOBS_REFUSED, 1);
        FvLog_Event(Fv_LOG_INFO, "job_refused",
                    "job=%s queue=%s cause=store_away", job->id,
                    job->queue.name);
        answer_waiters(job, Fv_VERB_SUBMIT, Fv_REPLY_REFUSED,
                       Fv_STORE_RETRY_AFTER_S);
        answer_waiters(job, Fv_VERB_CANCEL, Fv_REPLY_GONE, "");
        FvSched_RemoveJob(&leader->sched, job);
    }
    free(call);
}

static void
job_key(const char *prefix, const char *id, char *key, size_t size)
{
    snprintf(key, size, "%s%s", prefix, id);
}

static const char *
outcome_name(fv_sched_outcome_t outcome)
{
    return outcome == Fv_SCHED_JOB_COMPLETED ? "completed"
           : outcome == Fv_SCHED_JOB_FAILED  ? "failed"
                                             : "cancelled";
}

static uint32_t
build_record(fv_sched_job_t *job, fv_record_kind_t kind, fv_record_t *entries)
{
    uint32_t count = 0;

    if (kind == Fv_RECORD_ACCEPT) {
        job_key(Fv_KEY_JOBS, job->id, entries[0].key, Fv_KEY_SIZE);
        FvSchedRecord_Job(job, &entries[0].value);
        return 1;
    }
    if (kind == Fv_RECORD_PROGRESS) {
        job_key(Fv_KEY_PROGRESS, job->id, entries[0].key, Fv_KEY_SIZE);
        FvSchedRecord_Progress(job, &entries[0].value);
        job->progress_recorded = true;
        return 1;
    }
    job_key(Fv_KEY_ENDED, job->id, entries[0].key, Fv_KEY_SIZE);
    FvBuffer_Append(&entries[0].value, outcome_name(job->outcome),
                    strlen(outcome_name(job->outcome)));
    entries[0].expires = true;
    job_key(Fv_KEY_JOBS, job->id, entries[1].key, Fv_KEY_SIZE);
    count = 2;
    if (job->progress_recorded) {
        job_key(Fv_KEY_PROGRESS, job->id, entries[2].key, Fv_KEY_SIZE);
        count = 3;
    }
    return count;
}

static void
record_job(fv_sched_t *sched, fv_sched_job_t *job, fv_record_kind_t kind)
{
    fv_leader_t *leader = leader_of(sched);
    fv_record_call_t *call = calloc(1, sizeof(*call));
    fv_record_t entries[3] = {0};
    uint32_t count = build_record(job, kind, entries);

    if (call == NULL) {
        abort(); /* an acknowledgement without a record breaks a promise */
    }
    call->leader = leader;
    call->kind = kind;
    FvText_Copy(call->job, sizeof(call->job), job->id);
    if (!FvRecords_Write(
            leader->records,
            &(fv_records_group_t){
                .order_key = job->id,
                .replaces = kind == Fv_RECORD_PROGRESS,
                .entries = entries,
                .count = count,
                .urgent = kind == Fv_RECORD_ACCEPT || job->cancelled,
                .done = record_written,
                .dropped = kind == Fv_RECORD_ACCEPT ? accept_withdrawn : NULL,
                .context = call})) {
        free(call);
    }
}

/* The list of workers that may run something, kept so that the next leader
 * knows whom to ask before it starts a task again. */
static void roster_written(void *context);

static void
write_roster(fv_leader_t *leader)
{
    fv_record_t entry = {.key = Fv_KEY_ROSTER};
    char line[Fv_URL_SIZE];

    leader->roster_dirty = false;
    leader->roster_writing = true;
    snprintf(line, sizeof(line), "%s\n", leader->settings->host);
    FvBuffer_Append(&entry.value, line, strlen(line));
    for (fv_sched_worker_t *worker = leader->sched.workers; worker != NULL;
         worker = worker->hh.next) {
        if (!worker->listed && !worker->rostered) {
            continue;
        }
        snprintf(line, sizeof(line), "%s %s %s\n", worker->entry.id,
                 worker->entry.address, worker->entry.service);
        FvBuffer_Append(&entry.value, line, strlen(line));
    }
    FvRecords_Write(leader->records,
                    &(fv_records_group_t){.order_key = Fv_KEY_ROSTER,
                                          .entries = &entry,
                                          .count = 1,
                                          .urgent = true,
                                          .done = roster_written,
                                          .context = leader});
}

static void
roster_written(void *context)
{
    fv_leader_t *leader = context;

    leader->roster_writing = false;
    if (leader->roster_dirty) {
        write_roster(leader);
        return;
    }
    for (fv_sched_worker_t *worker = leader->sched.workers; worker != NULL;
         worker = worker->hh.next) {
        worker->rostered = worker->rostered || worker->listed;
    }
    leader->sched.dirty = true;
    kick(leader);
}

static void
roster_changed(fv_leader_t *leader)
{
    leader->roster_dirty = true;
    if (!leader->roster_writing && !leader->reading_registry) {
        write_roster(leader);
    }
}

/* --- Advice ------------------------------------------------------------- */

static fv_sched_stage_t *
find_stage(fv_leader_t *leader, const fv_open_ask_t *ask)
{
    fv_sched_task_t *task = FvSched_FindTask(&leader->sched, ask->task);

    return task != NULL ? task->stage : NULL;
}

static void
close_ask(fv_leader_t *leader, fv_open_ask_t *ask, const fv_advice_t *advice)
{
    fv_sched_stage_t *stage = find_stage(leader, ask);

    if (stage != NULL) {
        fv_sched_worker_t **workers =
            calloc((size_t)ask->count + 1, sizeof(fv_sched_worker_t *));

        for (uint32_t i = 0; workers != NULL && i < ask->count; i++) {
            workers[i] = FvSched_FindWorker(&leader->sched, ask->workers[i]);
        }
        FvSched_Advised(&leader->sched, stage, workers,
                        workers != NULL ? ask->count : 0, advice,
                        FvClock_NowMs());
        free(workers);
    }
    /* uthash unlinks the entry, which the analyzer does not see. */
    /* NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
    HASH_DEL(leader->asks, ask);
    free(ask->workers);
    free(ask);
}

/**
 * FvLeader_Advice - a host brings the answer of the advice service
 * @leader: the leader
 * @message: the answer
 */
void
FvLeader_Advice(fv_leader_t *leader, const fv_message_t *message)
{
    fv_open_ask_t *ask = NULL;
    fv_advice_t advice = {0};
    char *text;
    char *rest = NULL;

    HASH_FIND(hh, leader->asks, &message->id, sizeof(message->id), ask);
    if (ask == NULL) {
        return;
    }
    text = strndup(message->body ? message->body : "", message->body_length);
    advice.rows = calloc((size_t)ask->count + 1, sizeof(*advice.rows));
    if (text == NULL || advice.rows == NULL || message->number == 0) {
        close_ask(leader, ask, NULL);
        goto done;
    }
    for (char *line = strtok_r(text, "\n", &rest);
         line != NULL && advice.row_count < ask->count;
         line = strtok_r(NULL, "\n", &rest)) {
        fv_advice_row_t *row = &advice.rows[advice.row_count];

        if (sscanf(line, "%63s %63s", row->worker_id, row->ticket) == 2) {
            advice.row_count++;
        }
    }
    FvLog_Event(Fv_LOG_INFO, "advice",
                "stage=%s asked=%u allowed=%u took_ms=%" PRId64, ask->stage,
                ask->count, advice.row_count, FvClock_NowMs() - ask->sent_ms);
    close_ask(leader, ask, &advice);
done:
    free(advice.rows);
    free(text);
    kick(leader);
}

static bool
ask_advice(fv_sched_t *sched, fv_sched_stage_t *stage,
           fv_sched_worker_t *const *workers, uint32_t count)
{
    fv_leader_t *leader = leader_of(sched);
    const fv_cell_queue_t *queue = &stage->job->queue;
    int64_t cost_us =
        queue->advice_base_us + queue->advice_per_worker_us * count;
    fv_open_ask_t *ask = calloc(1, sizeof(*ask));
    fv_buffer_t body = {0};
    fv_message_t message;
    bool sent = false;

    if (ask == NULL) {
        return false;
    }
    ask->workers = calloc(count, sizeof(*ask->workers));
    if (ask->workers == NULL) {
        goto done;
    }
    ask->id = ++leader->last_ask;
    ask->count = count;
    ask->sent_ms = FvClock_NowMs();
    ask->give_up_ms = ask->sent_ms + cost_us / 1000 + Fv_ASK_GIVE_UP_MS;
    FvSched_StageName(stage, ask->stage, sizeof(ask->stage));
    FvSched_TaskName(&stage->tasks[0], ask->task, sizeof(ask->task));
    for (uint32_t i = 0; i < count; i++) {
        FvText_Copy(ask->workers[i], Fv_NAME_SIZE, workers[i]->entry.id);
        FvBuffer_Append(&body, workers[i]->entry.id,
                        strlen(workers[i]->entry.id));
        FvBuffer_Append(&body, "\n", 1);
    }
    message = (fv_message_t){.kind = Fv_MESSAGE_ASK,
                             .id = ask->id,
                             .number = cost_us,
                             .key = ask->stage,
                             .body = (const char *)body.data,
                             .body_length = body.length};
    sent = leader->events.ask(leader->events.context, &message, cost_us);
done:
    FvBuffer_Clear(&body);
    if (sent) {
        HASH_ADD(hh, leader->asks, id, sizeof(ask->id), ask);
    }
    else {
        free(ask->workers);
        free(ask);
    }
    return sent;
}

static const fv_sched_port_t sched_port = {
    .decode = FvPlatform_JobSpec,
    .start = start_task,
    .stop = stop_task,
    .stop_stray = stop_stray,
    .ask = ask_advice,
    .record = record_job,
    .look = look_at_worker,
};

/* --- Registry ----------------------------------------------------------- */

static void
registry_begin(void *context)
{
    fv_leader_t *leader = context;

    leader->reading_registry = true;
    for (fv_sched_worker_t *worker = leader->sched.workers; worker != NULL;
         worker = worker->hh.next) {
        worker->listed = false;
    }
}

static void
registry_item(void *context, const fv_kv_item_t *item)
{
    fv_leader_t *leader = context;
    fv_worker_entry_t entry;
    fv_sched_worker_t *worker;

    if (item->deleted) {
        worker = FvSched_FindWorker(
            &leader->sched, item->key + strlen(FvPlatform_RegistryPrefix));
        if (worker != NULL) {
            FvSched_WorkerGone(&leader->sched, worker);
        }
        return;
    }
    if (item->value.data == NULL ||
        !FvPlatform_WorkerEntry(item->key, (const char *)item->value.data,
                                item->value.length, &entry)) {
        FvLog_Event(Fv_LOG_WARN, "registry_entry_unreadable",
                    "key=%s revision=%" PRId64, item->key, item->revision);
        return;
    }
    worker = FvSched_SeeWorker(&leader->sched, &entry, FvClock_NowMs());
    if (worker == NULL) {
        return;
    }
    drive(leader, worker);
    if (!worker->rostered) {
        roster_changed(leader);
    }
    kick(leader);
}

static void
registry_loaded(void *context)
{
    fv_leader_t *leader = context;

    leader->reading_registry = false;
    FvLog_Event(Fv_LOG_INFO, "registry_read", "workers=%u",
                HASH_COUNT(leader->sched.workers));
    if (leader->roster_dirty && !leader->roster_writing) {
        write_roster(leader);
    }
}

/* --- Loading ------------------------------------------------------------ */

static void
load_lane(fv_leader_t *leader, const fv_kv_item_t *item)
{
    unsigned long lane = strtoul(item->key + strlen(Fv_KEY_LANES), NULL, 10);

    if (lane < Fv_RECORD_LANES) {
        leader->lane_revisions[lane] = item->revision;
    }
}

static void
load_roster_line(fv_leader_t *leader, const char *line)
{
    fv_worker_entry_t entry = {0};
    fv_sched_worker_t *worker;

    if (sscanf(line, "%63s %63s %63s", entry.id, entry.address,
               entry.service) != 3) {
        /* The first line names the leader that wrote it. */
        FvText_Copy(leader->previous, sizeof(leader->previous), entry.id);
        return;
    }
    worker = FvSched_SeeWorker(&leader->sched, &entry, FvClock_NowMs());
    if (worker != NULL) {
        worker->listed = false;
        worker->rostered = true;
        leader->roster_inherited++;
    }
}

static void
load_roster(fv_leader_t *leader, const fv_kv_item_t *item)
{
    char *rest = NULL;

    if (item->value.data == NULL) {
        return;
    }
    for (char *line = strtok_r((char *)item->value.data, "\n", &rest);
         line != NULL; line = strtok_r(NULL, "\n", &rest)) {
        load_roster_line(leader, line);
    }
}

static void
load_job(fv_leader_t *leader, const fv_kv_item_t *item)
{
    fv_sched_job_t *job = FvSchedRecord_LoadJob(
        &leader->sched, item->key + strlen(Fv_KEY_JOBS), &item->value,
        leader->began_ms, FvClock_WallMs());

    if (job == NULL) {
        FvLog_Event(Fv_LOG_ERROR, "job_record_unreadable", "key=%s",
                    item->key);
        return;
    }
    job->durable = true;
    for (uint32_t o = 0; o < job->occurrence_count; o++) {
        for (uint32_t s = 0; s < job->spec.step_count; s++) {
            fv_sched_stage_t *stage = &job->occurrences[o].stages[s];

            for (int32_t t = 0; t < stage->step->task_count; t++) {
                stage->tasks[t].inherited = true;
            }
        }
    }
}

static void
load_progress(fv_leader_t *leader, const fv_kv_item_t *item)
{
    fv_sched_job_t *job =
        FvSched_FindJob(&leader->sched, item->key + strlen(Fv_KEY_PROGRESS));

    if (job == NULL ||
        !FvSchedRecord_LoadProgress(&leader->sched, job, &item->value)) {
        FvLog_Event(Fv_LOG_ERROR, "progress_record_unreadable", "key=%s",
                    item->key);
    }
}

static void
load_ended(fv_leader_t *leader, const fv_kv_item_t *item)
{
    remember_ended(leader, item->key + strlen(Fv_KEY_ENDED),
                   item->value.data != NULL ? (const char *)item->value.data
                                            : "failed");
}

static void
deposed(void *context)
{
    fv_leader_t *leader = context;

    leader->events.deposed(leader->events.context, "store_refused_write");
}

static void
begin_serving(fv_leader_t *leader)
{
    fv_records_owner_t owner = {
        .epoch = leader->epoch,
        .keep_ms =
            leader->settings->keep_ended_s * Fv_MS_PER_S + Fv_KEEP_MARGIN_MS,
        .lost = deposed,
        .context = leader,
    };
    int64_t now_ms = FvClock_NowMs();

    leader->records = FvRecords_New(leader->base, leader->kv, &owner,
                                    leader->lane_revisions);
    if (leader->records == NULL) {
        abort();
    }
    leader->serving = true;
    FvLog_Event(Fv_LOG_INFO, "leader_serving",
                "epoch=%" PRId64
                " jobs=%u ended=%u roster=%u took_ms=%" PRId64,
                leader->epoch, HASH_COUNT(leader->sched.jobs),
                HASH_COUNT(leader->ended), leader->roster_inherited,
                now_ms - leader->began_ms);
    for (fv_sched_job_t *job = leader->sched.jobs; job != NULL;
         job = job->hh.next) {
        FvSched_ReleaseStages(&leader->sched, job, now_ms, FvClock_WallMs());
    }
    for (fv_sched_worker_t *worker = leader->sched.workers; worker != NULL;
         worker = worker->hh.next) {
        drive(leader, worker);
    }
    leader->registry = FvKvClient_Follow(
        leader->kv, &(fv_kv_follower_t){.prefix = FvPlatform_RegistryPrefix,
                                        .begin = registry_begin,
                                        .item = registry_item,
                                        .loaded = registry_loaded,
                                        .gap_ms = Fv_REGISTRY_GAP_MS,
                                        .context = leader});
    kick(leader);
}

static void load_page(fv_load_t *load);

static void
load_finished(fv_load_t *load)
{
    fv_leader_t *leader = load->leader;

    if (load->loaded != NULL) {
        load->loaded(leader);
    }
    leader->loads_open--;
    if (leader->loads_open == 0) {
        begin_serving(leader);
    }
}

static void
page_loaded(void *context, const fv_kv_result_t *result)
{
    fv_load_t *load = context;
    fv_leader_t *leader = load->leader;
    const fv_kv_items_t *items = &result->items;
    struct timeval pause = {.tv_usec = Fv_LOAD_RETRY_MS * 1000};

    if (!leader_call_ended(leader)) {
        return;
    }
    if (result->error != Fv_KV_OK) {
        event_add(load->retry, &pause);
        return;
    }
    for (uint32_t i = 0; i < items->count; i++) {
        load->item(leader, &items->items[i]);
    }
    free(load->after);
    load->after = NULL;
    if (items->has_more && items->count > 0) {
        load->after = strdup(items->items[items->count - 1].key);
        load_page(load);
        return;
    }
    load_finished(load);
}

static void
load_page(fv_load_t *load)
{
    load->leader->calls++;
    FvKvClient_Range(load->leader->kv, load->prefix, load->after, page_loaded,
                     load);
}

static void
load_again(evutil_socket_t fd, short what, void *context)
{
    (void)fd;
    (void)what;
    load_page(context);
}

static void
start_load(fv_leader_t *leader, uint32_t slot, const char *prefix,
           void (*item)(fv_leader_t *, const fv_kv_item_t *),
           void (*loaded)(fv_leader_t *))
{
    fv_load_t *load = &leader->loads[slot];

    *load = (fv_load_t){
        .leader = leader, .prefix = prefix, .item = item, .loaded = loaded};
    load->retry = event_new(leader->base, -1, 0, load_again, load);
    leader->loads_open++;
    load_page(load);
}

static void
jobs_loaded(fv_leader_t *leader)
{
    start_load(leader, 4, Fv_KEY_PROGRESS, load_progress, NULL);
}

/* --- Passes ------------------------------------------------------------- */

static void
pass_due(evutil_socket_t fd, short what, void *context)
{
    fv_leader_t *leader = context;
    int64_t now_ms = FvClock_NowMs();

    (void)fd;
    (void)what;
    if (leader->serving &&
        leader->events.may_order(leader->events.context, now_ms)) {
        FvSched_Pass(&leader->sched, now_ms, FvClock_WallMs());
        leader->pass_took_us =
            (FvClock_NowNs() - now_ms * Fv_NS_PER_MS) / Fv_NS_PER_US;
        leader->passes++;
    }
}

/* Plans a pass when something changed. */
static void
kick(fv_leader_t *leader)
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
    int64_t longest_ms = FvSched_LapseMs(&leader->sched);

    if (!leader->sched.inherited_held) {
        return;
    }
    if (leader->previous_stopped_ms == 0 &&
        leader->events.follows(leader->events.context, leader->previous)) {
        leader->previous_stopped_ms = now_ms;
    }
    if (now_ms - leader->began_ms < FvElection_OrphanMs() + longest_ms &&
        (leader->previous_stopped_ms == 0 ||
         now_ms - leader->previous_stopped_ms < longest_ms)) {
        for (const fv_sched_worker_t *worker = leader->sched.workers;
             worker != NULL; worker = worker->hh.next) {
            if (worker->rostered && !worker->synced) {
                return;
            }
        }
    }
    leader->sched.inherited_held = false;
    leader->sched.dirty = true;
    FvLog_Event(Fv_LOG_INFO, "inherited_tasks_free", "after_ms=%" PRId64,
                now_ms - leader->began_ms);
}

static void
check_worker(fv_leader_t *leader, fv_sched_worker_t *worker, int64_t now_ms)
{
    fv_driver_t *driver = worker->driver;
    int64_t silent_ms = now_ms - driver->sent_ms;

    if (worker->suspect && worker->lease_lapses_ms < now_ms) {
        FvSched_NoReport(&leader->sched, worker, now_ms);
    }
    if (!worker->listed && worker->tasks == NULL &&
        (worker->lost || (worker->synced && worker->suspect)) &&
        worker->lease_lapses_ms < now_ms && !leader->sched.inherited_held) {
        driver->worker = NULL;
        release_driver(driver);
        FvSched_FreeWorker(&leader->sched, worker);
        roster_changed(leader); /* or the next leader would wait for it */
        return;
    }
    if (worker->look_at_ms != 0 && now_ms >= worker->look_at_ms &&
        !driver->looking) {
        worker->look_at_ms = 0;
        poll_worker(driver, false);
    }
    if (driver->polling || driver->looking) {
        return;
    }
    if (worker->suspect && !driver->retried) {
        driver->retried = true;
        poll_worker(driver, false);
    }
    else if (silent_ms >= (worker->suspect || !worker->synced
                               ? Fv_SILENT_AGAIN_MS
                               : Fv_RENEW_AGAIN_MS)) {
        poll_worker(driver, !driver->recording);
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
    FvSched_Load(&leader->sched, now_ms, &load);
    FvSched_LogIncompleteGangs(&leader->sched, now_ms);
    FvLog_Event(Fv_LOG_INFO, "cell_load",
                "workers=%u usable=%u cpu_used=%" PRId64 " cpu=%" PRId64
                " memory_used=%" PRId64 " memory=%" PRId64
                " stages_waiting=%u late=%u tasks_waiting=%u asks=%u "
                "records=%u lag_ms=%" PRId64 " passes=%" PRId64,
                load.workers, load.usable, load.used_cpu_millis,
                load.cpu_millis, load.used_memory_mib, load.memory_mib,
                load.stages_waiting, load.stages_late, load.tasks_waiting,
                asks, FvRecords_Backlog(leader->records), leader->worst_lag_ms,
                leader->passes);
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
        remove_job_if_idle(leader, job);
    }
    for (ask = leader->asks; ask != NULL; ask = next_ask) {
        next_ask = ask->hh.next;
        if (now_ms > ask->give_up_ms) {
            FvLog_Event(Fv_LOG_WARN, "advice_unanswered", "stage=%s",
                        ask->stage);
            close_ask(leader, ask, NULL);
        }
    }
    if (FvRecords_Stalled(leader->records, now_ms)) {
        FvRecords_WithdrawUnsent(leader->records);
    }
    forget_ended(leader, now_ms);
    log_load(leader, now_ms);
    leader->sched.dirty = leader->sched.dirty || leader->sched.pending != NULL;
    kick(leader);
}

/* --- Requests ----------------------------------------------------------- */

static void
reply_now(const fv_message_t *message, fv_leader_reply_t reply, void *context,
          fv_reply_t outcome, const char *state)
{
    fv_message_t answer = {.kind = Fv_MESSAGE_REPLY,
                           .id = message->id,
                           .number = outcome,
                           .name = state};

    reply(context, &answer);
}

static const fv_cell_queue_t *
queue_named(fv_leader_t *leader, const char *name)
{
    const fv_cell_config_t *config =
        leader->events.config(leader->events.context);

    for (uint32_t i = 0; config != NULL && i < config->queue_count; i++) {
        if (strcmp(config->queues[i].name, name) == 0) {
            return &config->queues[i];
        }
    }
    return NULL;
}

static void
submit(fv_leader_t *leader, const fv_message_t *message,
       fv_leader_reply_t reply, void *context)
{
    const fv_cell_queue_t *queue = queue_named(leader, message->name);
    int64_t now_ms = FvClock_NowMs();
    int64_t wall_ms = FvClock_WallMs();
    fv_sched_job_t *job;
    fv_job_spec_t spec;

    if (queue == NULL) {
        reply_now(message, reply, context, Fv_REPLY_NOT_READY, "");
        return;
    }
    if (FvRecords_Stalled(leader->records, now_ms)) {
        FvMetrics_Add(Fv_COUNTER_JOBS_REFUSED, 1);
        FvLog_Event(Fv_LOG_INFO, "job_refused",
                    "job=%s queue=%s cause=store_away", message->key,
                    message->name);
        reply_now(message, reply, context, Fv_REPLY_REFUSED,
                  Fv_STORE_RETRY_AFTER_S);
        return;
    }
    if (!FvPlatform_JobSpec(message->body, message->body_length, &spec)) {
        FvJobSpec_Clear(&spec);
        FvLog_Event(Fv_LOG_INFO, "job_malformed", "job=%s queue=%s",
                    message->key, message->name);
        reply_now(message, reply, context, Fv_REPLY_MALFORMED, "");
        return;
    }
    job = FvSched_AddJob(&leader->sched, message->key, queue, &spec,
                         message->body, message->body_length, now_ms, wall_ms);
    FvJobSpec_Clear(&spec);
    if (job == NULL) {
        reply_now(message, reply, context, Fv_REPLY_NOT_READY, "");
        return;
    }
    add_waiter(job, message, reply, context);
    record_job(&leader->sched, job, Fv_RECORD_ACCEPT);
    FvSched_ReleaseStages(&leader->sched, job, now_ms, wall_ms);
    kick(leader);
}

static void
request_ended_job(const fv_ended_job_t *ended, const fv_message_t *message,
                  fv_leader_reply_t reply, void *context)
{
    if (message->number == Fv_VERB_SUBMIT) {
        reply_now(message, reply, context, Fv_REPLY_ACCEPTED, "");
    }
    else {
        reply_now(message, reply, context, Fv_REPLY_STATE, ended->state);
    }
}

static void
request_open_job(fv_leader_t *leader, fv_sched_job_t *job,
                 const fv_message_t *message, fv_leader_reply_t reply,
                 void *context)
{
    if (message->number == Fv_VERB_SUBMIT) {
        if (job->durable) {
            reply_now(message, reply, context, Fv_REPLY_ACCEPTED, "");
        }
        else {
            add_waiter(job, message, reply, context);
        }
    }
    else if (message->number == Fv_VERB_STATE) {
        reply_now(message, reply, context,
                  job->durable ? Fv_REPLY_STATE : Fv_REPLY_NOT_READY,
                  FvSched_JobState(job));
    }
    else if (job->recorded != Fv_SCHED_JOB_OPEN) {
        reply_now(message, reply, context, Fv_REPLY_STATE,
                  FvSched_JobState(job));
    }
    else {
        add_waiter(job, message, reply, context);
        FvSched_CancelJob(&leader->sched, job, FvClock_NowMs());
        kick(leader);
    }
}

/**
 * FvLeader_Request - serve a request about a job or a queue
 * @leader: the leader
 * @message: the request
 * @reply: called with the answer, now or later
 * @context: passed to @reply
 */
void
FvLeader_Request(fv_leader_t *leader, const fv_message_t *message,
                 fv_leader_reply_t reply, void *context)
{
    fv_sched_job_t *job = FvSched_FindJob(&leader->sched, message->key);
    fv_ended_job_t *ended = NULL;
    char count[24];

    if (!leader->serving) {
        reply_now(message, reply, context, Fv_REPLY_NOT_READY, "");
        return;
    }
    if (message->number == Fv_VERB_WAITING) {
        snprintf(count, sizeof(count), "%" PRId64,
                 FvSched_CountWaiting(&leader->sched, message->name));
        reply_now(message, reply, context, Fv_REPLY_COUNT, count);
        return;
    }
    HASH_FIND_STR(leader->ended, message->key, ended);
    if (ended != NULL) {
        request_ended_job(ended, message, reply, context);
    }
    else if (job != NULL) {
        request_open_job(leader, job, message, reply, context);
    }
    else if (message->number == Fv_VERB_SUBMIT) {
        submit(leader, message, reply, context);
    }
    else {
        reply_now(message, reply, context, Fv_REPLY_GONE, "");
    }
}

/**
 * FvLeader_DropReplies - a host is gone: forget whom to answer there
 * @leader: the leader
 * @context: the context of its requests
 */
void
FvLeader_DropReplies(fv_leader_t *leader, const void *context)
{
    for (fv_sched_job_t *job = leader->sched.jobs; job != NULL;
         job = job->hh.next) {
        fv_waiter_t **link = (fv_waiter_t **)&job->waiters;

        while (*link != NULL) {
            fv_waiter_t *waiter = *link;

            if (waiter->context != context) {
                link = &waiter->next;
                continue;
            }
            *link = waiter->next;
            free(waiter);
        }
    }
}

/* --- Life --------------------------------------------------------------- */

/**
 * FvLeader_Serving - whether the leader has loaded what it needs
 * @leader: the leader
 *
 * Return: true when it answers requests.
 */
bool
FvLeader_Serving(const fv_leader_t *leader)
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
    leader->began_ms = FvClock_NowMs();
    leader->last_ask = epoch << Fv_ASK_ID_BITS;
    FvSched_Init(
        &leader->sched, &sched_port,
        &(fv_sched_times_t){
            .lease_ms = settings->lease_max_ms < Fv_WORKER_LEASE_MS
                            ? settings->lease_max_ms
                            : Fv_WORKER_LEASE_MS,
            .stop_ms = settings->stop_timeout_ms,
            .gang_fill_ms = settings->gang_timeout_ms - Fv_GANG_STOP_MS});
    leader->sched.run_base = (generation - 1) * Fv_RUNS_PER_GENERATION;
    leader->sched.inherited_held = true;
    leader->tick = event_new(base, -1, EV_PERSIST, tick, leader);
    leader->pass = event_new(base, -1, 0, pass_due, leader);
    event_add(leader->tick, &interval);
    start_load(leader, 0, Fv_KEY_LANES, load_lane, NULL);
    start_load(leader, 1, Fv_KEY_ROSTER, load_roster, NULL);
    start_load(leader, 2, Fv_KEY_ENDED, load_ended, NULL);
    start_load(leader, 3, Fv_KEY_JOBS, load_job, jobs_loaded);
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
    for (size_t i = 0; i < sizeof(leader->loads) / sizeof(leader->loads[0]);
         i++) {
        free(leader->loads[i].after);
        if (leader->loads[i].retry != NULL) {
            event_free(leader->loads[i].retry);
        }
    }
    event_free(leader->tick);
    event_free(leader->pass);
    free(leader);
}

static void
free_waiters(fv_sched_job_t *job)
{
    while (job->waiters != NULL) {
        fv_waiter_t *waiter = job->waiters;

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
    FvKvClient_Unfollow(leader->registry);
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
            release_driver(driver);
        }
    }
    FvRecords_Free(leader->records);
    leader->records = NULL;
    FvSched_Clear(&leader->sched);
    if (leader->calls == 0) {
        free_leader(leader);
    }
}
