/*
 * Why a stage waits: the cause that a log line and a counter tell, so that a
 * late job can be explained afterwards.
 */

#include "scheduler.h"

#include <inttypes.h>

/* Half of the platform's bound for a task that could run. */
#define Fv_WAIT_LOG_MS 1500

#define Fv_WAIT_LOG_LINES_MAX 8

static const char *const cause_names[] = {
    [Fv_WAIT_UNFIT] = "no_fitting_worker",
    [Fv_WAIT_UNAVAILABLE] = "workers_unavailable",
    [Fv_WAIT_CAPACITY] = "no_capacity",
    [Fv_WAIT_SPREAD] = "spread_limit",
    [Fv_WAIT_REFUSED] = "advice_refused",
    [Fv_WAIT_QUARANTINE] = "quarantine",
    [Fv_WAIT_RESERVED] = "reserved_for_gang",
    [Fv_WAIT_TICKET] = "no_ticket",
    [Fv_WAIT_GANG] = "gang_does_not_fit",
    [Fv_WAIT_NEXT_PASS] = "next_pass",
    [Fv_WAIT_INHERITED] = "inherited",
    [Fv_WAIT_RECORD] = "not_recorded",
    [Fv_WAIT_CAP] = "customer_cap",
};

/* The first obstacle on one worker. */
static fv_wait_cause_t
worker_obstacle(const fv_sched_worker_t *worker, const fv_sched_stage_t *stage,
                const fv_verdict_t *verdict, int64_t now_ms)
{
    fv_sched_resources_t resources = worker->free;

    if (FvSched_EventualStageCapacity(worker, stage) == 0 ||
        !FvSched_IsWorkerSuitable(worker, stage)) {
        return Fv_WAIT_UNFIT;
    }
    if (!FvSched_IsWorkerAvailable(worker, now_ms)) {
        return Fv_WAIT_UNAVAILABLE;
    }
    if (FvSched_TaskCapacity(stage->step, &resources) == 0) {
        return Fv_WAIT_CAPACITY;
    }
    if (FvSched_StageCapacity(worker, stage, &resources) == 0) {
        return Fv_WAIT_SPREAD;
    }
    if (verdict != NULL && !verdict->allowed) {
        return Fv_WAIT_REFUSED;
    }
    if (FvSched_IsWorkerQuarantined(worker, stage, now_ms)) {
        return Fv_WAIT_QUARANTINE;
    }
    if (FvSched_IsWorkerReserved(worker, stage) ||
        FvSched_FreeStageCapacity(worker, stage) == 0) {
        return Fv_WAIT_RESERVED;
    }
    if (stage->job->queue.needs_advice &&
        (verdict == NULL || !FvSched_TicketValid(verdict, now_ms))) {
        return Fv_WAIT_TICKET;
    }
    return stage->step->gang ? Fv_WAIT_GANG : Fv_WAIT_NEXT_PASS;
}

/**
 * FvSched_WaitCause - find out why the tasks of a stage wait
 * @sched: the scheduler
 * @stage: a stage with waiting tasks
 * @now_ms: the time
 *
 * Return: the obstacle on the worker that is closest to a start.
 */
fv_wait_cause_t
FvSched_WaitCause(fv_sched_t *sched, const fv_sched_stage_t *stage,
                  int64_t now_ms)
{
    fv_wait_cause_t cause = Fv_WAIT_UNFIT;
    fv_wait_cause_t obstacle;
    bool inherited = false;

    if (!stage->job->durable) {
        return Fv_WAIT_RECORD;
    }
    for (int32_t i = 0; i < stage->step->task_count; i++) {
        inherited = inherited || (stage->tasks[i].inherited &&
                                  stage->tasks[i].state == Fv_SCHED_WAITING);
    }
    if (inherited && sched->hold_inherited_tasks) {
        return Fv_WAIT_INHERITED;
    }
    if (FvSched_IsHeldByCap(stage)) {
        return Fv_WAIT_CAP;
    }
    sched->advice_searches++;
    for (uint32_t i = 0; i < stage->verdict_count; i++) {
        fv_sched_worker_t *worker = stage->verdicts[i].worker;

        worker->verdict_search = sched->advice_searches;
        obstacle = worker_obstacle(worker, stage, &stage->verdicts[i], now_ms);
        cause = obstacle > cause ? obstacle : cause;
    }
    for (const fv_sched_worker_t *worker = sched->workers; worker != NULL;
         worker = worker->hh.next) {
        if (worker->verdict_search == sched->advice_searches) {
            continue;
        }
        obstacle = worker_obstacle(worker, stage, NULL, now_ms);
        cause = obstacle > cause ? obstacle : cause;
    }
    return cause;
}

/* Whether a worker has room for a task of the stage that it does not get. */
static bool
could_run(fv_wait_cause_t cause)
{
    return cause == Fv_WAIT_QUARANTINE || cause == Fv_WAIT_RESERVED ||
           cause == Fv_WAIT_TICKET || cause == Fv_WAIT_NEXT_PASS;
}

/**
 * FvSched_LogWaitingStages - log why stages wait, and count those that wait
 * beside free capacity
 * @sched: the scheduler
 * @now_ms: the time
 *
 * A stage is logged again when the cause has changed.
 */
void
FvSched_LogWaitingStages(fv_sched_t *sched, int64_t now_ms)
{
    uint32_t lines = 0;

    for (fv_sched_stage_t *stage = sched->pending;
         stage != NULL && lines < Fv_WAIT_LOG_LINES_MAX;
         stage = stage->pending_next) {
        char name[Fv_RUN_TASK_ID_SIZE];
        fv_wait_cause_t cause;

        if (stage->waiting == 0 || stage->waiting_since_ms == 0 ||
            now_ms - stage->waiting_since_ms < Fv_WAIT_LOG_MS ||
            stage->job->outcome != Fv_SCHED_JOB_OPEN) {
            continue;
        }
        cause = FvSched_WaitCause(sched, stage, now_ms);
        if (stage->wait_logged && stage->logged_wait_cause == cause) {
            continue;
        }
        lines++;
        if (could_run(cause)) {
            FvMetrics_Add(Fv_COUNTER_AVOIDABLE_WAITS, 1);
        }
        if (cause == Fv_WAIT_CAP) {
            FvMetrics_AddForMember(Fv_MEMBER_CAP_WAITS, stage->job->customer,
                                   1);
        }
        stage->wait_logged = true;
        stage->logged_wait_cause = cause;
        FvSched_StageName(stage, name, sizeof(name));
        FvLog_Event(Fv_LOG_INFO, "stage_waiting",
                    "stage=%s queue=%s cause=%s tasks=%d of=%d asking=%d"
                    " verdicts=%u customer=%s excess=%d waited_ms=%" PRId64,
                    name, stage->job->queue.name, cause_names[cause],
                    stage->waiting, stage->step->task_count,
                    stage->pending_advice_requests, stage->verdict_count,
                    stage->job->customer, stage->job->excess ? 1 : 0,
                    now_ms - stage->waiting_since_ms);
    }
}
