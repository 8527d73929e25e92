/*
 * The leader's calls to workers: orders, renewals of leases, reports.
 */

#include "cell-leader.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

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

/* An order that is not answered within it is looked after: about five round
 * trips between regions. Nothing is lost when its answer comes later. */
#define Fv_ORDER_TIMEOUT_MS 250

typedef struct fv_order_call {
    fv_leader_t *leader;
    char task[Fv_RUN_TASK_ID_SIZE];
    int32_t run;
    bool stop;
} fv_order_call_t;

static void
order_answered(void *context, const fv_call_answer_t *answer)
{
    fv_order_call_t *order = context;
    fv_leader_t *leader = order->leader;
    fv_sched_task_t *task;
    fv_order_result_t result;
    int64_t clock_ms;

    if (!FvLeader_CallEnded(leader)) {
        free(order);
        return;
    }
    result = FvPlatform_DecodeOrderResult(answer, &clock_ms);
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
    FvLeader_Kick(leader);
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

/**
 * FvLeaderOrder_Start - order a worker to start a task
 * @sched: the scheduler
 * @task: the task, which names its worker and run
 * @verdict: the ticket, or NULL where none is needed
 *
 * Return: false when this host may give no orders now; nothing was sent.
 */
bool
FvLeaderOrder_Start(fv_sched_t *sched, fv_sched_task_t *task,
                    const fv_verdict_t *verdict)
{
    fv_leader_t *leader = FvLeader_Of(sched);
    fv_sched_worker_t *worker = task->worker;
    int64_t now_ms = FvClock_NowMs();
    char name[Fv_RUN_TASK_ID_SIZE];
    fv_call_t call;
    fv_task_order_t order = {
        .task_id = name,
        .run = task->run,
        .fence = leader->epoch,
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
        now_ms - task->stage->job->received_ms, worker->free_cpu_millis);
    FvPlatform_StartRun(&call, worker->entry.id, &order);
    send_order(leader, worker, &call, name, task->run, false);
    return true;
}

static void
send_stop(fv_leader_t *leader, fv_sched_worker_t *worker, const char *name,
          int32_t run)
{
    fv_call_t call;
    fv_task_order_t order = {
        .task_id = name, .run = run, .fence = leader->epoch};

    if (leader->stops_suspended ||
        !leader->events.may_send_orders(leader->events.context,
                                        FvClock_NowMs())) {
        FvLog_Event(Fv_LOG_INFO, "stop_not_sent", "task=%s run=%d quiet=%d",
                    name, run, leader->stops_suspended ? 1 : 0);
        return; /* the next leader finds the run */
    }
    FvPlatform_StopRun(&call, worker->entry.id, &order);
    send_order(leader, worker, &call, name, run, true);
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
    send_stop(FvLeader_Of(sched), task->worker, name, task->run);
}

/**
 * FvLeaderOrder_StopStray - order a worker to stop a run of no open task
 * @sched: the scheduler
 * @worker: the worker
 * @name: the task's name
 * @run: the run
 */
void
FvLeaderOrder_StopStray(fv_sched_t *sched, fv_sched_worker_t *worker,
                        const char *name, int32_t run)
{
    send_stop(FvLeader_Of(sched), worker, name, run);
}

typedef struct fv_renewal {
    fv_driver_t *driver;
    int64_t sent_ms;
    bool wait;
} fv_renewal_t;

/**
 * FvLeaderWorker_Release - free the leader's side of a forgotten worker
 * @driver: the worker; kept while calls refer to it
 */
void
FvLeaderWorker_Release(fv_driver_t *driver)
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
        FvLeaderWorker_Release(driver);
        return;
    }
    if (driver->recording_life == driver->worker->started_wall_ms &&
        FvSched_EndsRecorded(driver->worker, driver->recording_number)) {
        record_ends(driver);
        return;
    }
    if (!driver->polling) {
        FvLeaderWorker_Poll(driver, true);
    }
}

static void
record_ends(fv_driver_t *driver)
{
    driver->recording = true;
    driver->recording_number = driver->worker->last_end_applied;
    driver->recording_life = driver->worker->started_wall_ms;
    driver->calls++;
    FvRecordWriter_NotifyWritten(driver->leader->records, ends_recorded,
                                 driver);
}

static void
apply_report(fv_driver_t *driver, const fv_call_answer_t *answer,
             int64_t sent_ms)
{
    fv_leader_t *leader = driver->leader;
    fv_worker_report_t report;
    int64_t clock_ms;
    fv_order_result_t result = FvPlatform_DecodeOrderResult(answer, &clock_ms);
    int64_t seen = driver->worker->last_end_applied;

    if (result == Fv_ORDER_FENCED) {
        leader->events.deposed(leader->events.context, "fenced_by_worker");
        return;
    }
    if (result == Fv_ORDER_DONE && FvPlatform_DecodeReport(answer, &report)) {
        FvSched_ApplyReport(&leader->sched, driver->worker, &report, sent_ms,
                            FvClock_NowMs());
        driver->retried = false;
    }
    else {
        if (result == Fv_ORDER_DONE) {
            FvLog_Event(Fv_LOG_WARN, "report_malformed", "worker=%s",
                        driver->worker->entry.id);
        }
        FvSched_ReportUnanswered(&leader->sched, driver->worker,
                                 FvClock_NowMs());
    }
    if (result == Fv_ORDER_DONE) {
        FvWorkerReport_Clear(&report);
    }
    if (driver->worker->last_end_applied > seen && !driver->recording) {
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
    if (!FvLeader_CallEnded(leader)) {
        FvLeaderWorker_Release(driver);
        return;
    }
    if (waited) {
        driver->polling = false;
    }
    else {
        driver->looking = false;
    }
    if (driver->worker == NULL) {
        FvLeaderWorker_Release(driver);
        return;
    }
    apply_report(driver, answer, sent_ms);
    if (leader->closed || driver->worker == NULL) {
        return; /* deposed meanwhile */
    }
    if (!driver->polling && !driver->recording && answer->status == 200) {
        FvLeaderWorker_Poll(driver, true);
    }
    FvLeader_Kick(leader);
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

/**
 * FvLeaderWorker_Poll - renew a worker's lease and ask for a report
 * @driver: the worker
 * @wait: whether the worker may hold the answer back until something ends
 */
void
FvLeaderWorker_Poll(fv_driver_t *driver, bool wait)
{
    fv_leader_t *leader = driver->leader;
    fv_sched_worker_t *worker = driver->worker;
    int64_t now_ms = FvClock_NowMs();
    fv_renewal_t *renewal;
    int64_t lease_end;
    int32_t wait_ms = 0;
    bool doubt = now_ms < leader->sched.poll_faster_until_ms;
    fv_call_t call;

    if (!leader->events.may_send_orders(leader->events.context, now_ms)) {
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
    FvPlatform_RenewRuns(&call, worker->entry.id, leader->epoch,
                         worker->last_end_recorded, lease_end, wait_ms);
    FvCallPool_Send(leader->pool, worker->entry.address, &call,
                    wait_ms + (doubt ? Fv_DOUBT_SLACK_MS : Fv_ANSWER_SLACK_MS),
                    renewal_answered, renewal);
}

/**
 * FvLeaderWorker_Look - ask a worker for a report at once
 * @sched: the scheduler
 * @worker: the worker
 */
void
FvLeaderWorker_Look(fv_sched_t *sched, fv_sched_worker_t *worker)
{
    fv_driver_t *driver = worker->driver;

    (void)sched;
    if (driver != NULL && !driver->looking) {
        FvLeaderWorker_Poll(driver, false);
    }
}

/**
 * FvLeaderWorker_Drive - begin to keep in touch with a worker
 * @leader: the leader
 * @worker: the worker
 */
void
FvLeaderWorker_Drive(fv_leader_t *leader, fv_sched_worker_t *worker)
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
        FvLeaderWorker_Poll(driver, false);
    }
}
