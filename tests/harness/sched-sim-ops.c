/*
 * The simulated cell: the scheduler's ops.
 */

#include "sched-sim-internal.h"

/**
 * FvSim_WorkerIndex - index of a worker
 * @sim: the cell
 * @worker: its id
 *
 * Return: the index; the last one when the id is unknown.
 */
uint32_t
FvSim_WorkerIndex(const sim_t *sim, const char *worker)
{
    uint32_t i = 0;

    while (i + 1 < sim->plan->workers &&
           strcmp(sim->workers[i].entry.id, worker) != 0) {
        i++;
    }
    return i;
}

static void
send_order(sim_t *sim, const fv_sched_worker_t *worker, const char *task,
           int32_t run, bool stop, int64_t lease_end_ms)
{
    sim_event_t event = {.kind = EVENT_ORDER_ARRIVES,
                         .at_ms = sim->now_ms + FvSim_OneWayDelayMs(sim),
                         .generation = sim->generation,
                         .worker = FvSim_WorkerIndex(sim, worker->entry.id),
                         .incarnation_ms = worker->started_wall_ms,
                         .run = run,
                         .stop = stop,
                         .sent_ms = sim->now_ms,
                         .lease_end_ms = lease_end_ms,
                         .answered = true};

    if (stop && sim->sched.stops_suspended) {
        return; /* the next leader sends it */
    }
    FvText_Copy(event.task, sizeof(event.task), task);
    if (FvSim_FaultOccurs(sim, sim->plan->faults.lost_orders)) {
        sim_event_t timeout = event;

        timeout.kind = EVENT_ORDER_ANSWERED;
        timeout.at_ms = sim->now_ms + ORDER_TIMEOUT_MS;
        timeout.result = Fv_ORDER_UNCONFIRMED;
        FvSim_Schedule(sim, timeout);
        event.answered = false;
        event.at_ms += FvSim_LateDelayMs(sim);
        if (FvSim_RandomBelow(sim, 2) == 0) {
            return; /* never arrives */
        }
    }
    FvSim_Schedule(sim, event);
}

static bool
send_start(fv_sched_t *sched, fv_sched_task_t *task,
           const fv_verdict_t *verdict)
{
    sim_t *sim = (sim_t *)sched;
    char name[Fv_RUN_TASK_ID_SIZE];

    (void)verdict;
    FvSched_TaskName(task, name, sizeof(name));
    send_order(sim, task->worker, name, task->run, false,
               FvSched_ExtendLease(sched, task->worker, sim->now_ms));
    return true;
}

static void
send_stop(fv_sched_t *sched, fv_sched_task_t *task)
{
    char name[Fv_RUN_TASK_ID_SIZE];

    FvSched_TaskName(task, name, sizeof(name));
    send_order((sim_t *)sched, task->worker, name, task->run, true, 0);
}

static void
send_orphan_stop(fv_sched_t *sched, fv_sched_worker_t *worker,
                 const char *task, int32_t run)
{
    send_order((sim_t *)sched, worker, task, run, true, 0);
}

static bool
send_advice_request(fv_sched_t *sched, fv_sched_stage_t *stage,
                    fv_sched_worker_t *const *workers, uint32_t count)
{
    sim_t *sim = (sim_t *)sched;
    sim_event_t event = {
        .kind = EVENT_ADVICE_ARRIVES,
        .generation = sim->generation,
        .at_ms = sim->now_ms + stage->job->queue.advice_base_us / 1000 +
                 count * stage->job->queue.advice_per_worker_us / 1000,
        .worker_count = count};

    if (sim->open_advice_requests == ADVICE_REQUESTS_MAX) {
        return false;
    }
    sim->open_advice_requests++;
    FvSched_TaskName(&stage->tasks[0], event.task, sizeof(event.task));
    event.workers = calloc(count, sizeof(*event.workers));
    for (uint32_t i = 0; i < count; i++) {
        event.workers[i] = strdup(workers[i]->entry.id);
    }
    FvSim_Schedule(sim, event);
    return true;
}

/**
 * FvSim_Record - write a record of a job to the store
 * @sched: the scheduler
 * @job: the job
 * @kind: which record
 */
void
FvSim_Record(fv_sched_t *sched, fv_sched_job_t *job, fv_record_kind_t kind)
{
    sim_t *sim = (sim_t *)sched;
    sim_event_t event = {.kind = EVENT_RECORDED,
                         .generation = sim->generation,
                         .at_ms = sim->now_ms + RECORD_WRITE_MS,
                         .record = kind};

    FvText_Copy(event.task, sizeof(event.task), job->id);
    if (kind == Fv_RECORD_ACCEPT) {
        FvSchedRecord_EncodeJob(job, &event.value);
    }
    else if (kind == Fv_RECORD_PROGRESS) {
        FvSchedRecord_EncodeProgress(job, SIZE_MAX, &event.value);
    }
    FvSim_Schedule(sim, event);
}

/**
 * FvSim_RequestReport - request a report from a worker
 * @sim: the cell
 * @index: its index
 */
void
FvSim_RequestReport(sim_t *sim, uint32_t index)
{
    sim_worker_t *worker = &sim->workers[index];
    fv_sched_worker_t *sched_worker =
        FvSched_FindWorker(&sim->sched, worker->entry.id);
    sim_event_t request;

    if (sched_worker == NULL || worker->report_pending) {
        return;
    }
    worker->report_pending = true;
    worker->report_requested_ms = sim->now_ms;
    request = (sim_event_t){.kind = EVENT_REPORT_REQUESTED,
                            .at_ms = sim->now_ms + FvSim_OneWayDelayMs(sim),
                            .generation = sim->generation,
                            .worker = index,
                            .sent_ms = sim->now_ms,
                            .number = FvSched_EndToAcknowledge(sched_worker),
                            .incarnation_ms = sched_worker->started_wall_ms,
                            .answered = true,
                            .lease_end_ms = FvSched_ExtendLease(
                                &sim->sched, sched_worker, sim->now_ms)};
    if (FvSim_FaultOccurs(sim, sim->plan->faults.lost_renewals)) {
        sim_event_t timeout = request;

        timeout.kind = EVENT_REPORT_ARRIVES;
        timeout.at_ms = sim->now_ms + REPORT_TIMEOUT_MS;
        timeout.answered = false;
        FvSim_Schedule(sim, timeout);
        request.answered = false;
        request.at_ms += FvSim_LateDelayMs(sim);
        if (FvSim_RandomBelow(sim, 2) == 0) {
            return; /* never arrives */
        }
    }
    FvSim_Schedule(sim, request);
}

static void
request_worker_report(fv_sched_t *sched, fv_sched_worker_t *worker)
{
    FvSim_RequestReport((sim_t *)sched,
                        FvSim_WorkerIndex((sim_t *)sched, worker->entry.id));
}

const fv_sched_ops_t Fv_SIM_OPS = {.decode = FvPlatform_DecodeJobSpec,
                                   .start = send_start,
                                   .stop = send_stop,
                                   .stop_orphan_run = send_orphan_stop,
                                   .request_advice = send_advice_request,
                                   .record = FvSim_Record,
                                   .request_report = request_worker_report};
