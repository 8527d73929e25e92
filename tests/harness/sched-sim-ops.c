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

/* What is sent to a worker that is cut off may arrive after the split. */
static bool
arrives_after_split(const sim_leader_t *leader, sim_event_t *event)
{
    sim_t *sim = leader->sim;
    int64_t reached_ms = leader->reached_from_ms[event->worker];

    if (FvSim_RandomBelow(sim, 4) != 0 ||
        reached_ms > sim->now_ms + ORDER_DELAY_MAX_MS) {
        return false;
    }
    event->answered = false;
    event->at_ms = reached_ms + FvSim_OneWayDelayMs(sim);
    return true;
}

static void
send_order(sim_leader_t *leader, const fv_sched_worker_t *worker,
           const char *task, int32_t run, bool stop, int64_t lease_end_ms)
{
    sim_t *sim = leader->sim;
    sim_event_t event = {.kind = EVENT_ORDER_ARRIVES,
                         .at_ms = sim->now_ms + FvSim_OneWayDelayMs(sim),
                         .generation = leader->generation,
                         .worker = FvSim_WorkerIndex(sim, worker->entry.id),
                         .incarnation_ms = worker->started_wall_ms,
                         .run = run,
                         .stop = stop,
                         .sent_ms = sim->now_ms,
                         .lease_end_ms = lease_end_ms,
                         .answered = true};
    sim_event_t timeout;

    if (stop && leader->sched.stops_suspended) {
        return; /* the next leader sends it */
    }
    FvText_Copy(event.task, sizeof(event.task), task);
    timeout = event;
    timeout.kind = EVENT_ORDER_ANSWERED;
    timeout.at_ms = sim->now_ms + ORDER_TIMEOUT_MS;
    timeout.result = Fv_ORDER_UNCONFIRMED;
    if (!FvSim_Reaches(leader, event.worker)) {
        FvSim_Schedule(sim, timeout);
        if (!arrives_after_split(leader, &event)) {
            return;
        }
    }
    else if (FvSim_FaultOccurs(sim, sim->plan->faults.lost_orders)) {
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
    sim_leader_t *leader = (sim_leader_t *)sched;
    char name[Fv_RUN_TASK_ID_SIZE];

    (void)verdict;
    FvSched_TaskName(task, name, sizeof(name));
    send_order(leader, task->worker, name, task->run, false,
               FvSched_ExtendLease(sched, task->worker, leader->sim->now_ms));
    return true;
}

static void
send_stop(fv_sched_t *sched, fv_sched_task_t *task)
{
    char name[Fv_RUN_TASK_ID_SIZE];

    FvSched_TaskName(task, name, sizeof(name));
    send_order((sim_leader_t *)sched, task->worker, name, task->run, true, 0);
}

static void
send_orphan_stop(fv_sched_t *sched, fv_sched_worker_t *worker,
                 const char *task, int32_t run)
{
    send_order((sim_leader_t *)sched, worker, task, run, true, 0);
}

static bool
send_advice_request(fv_sched_t *sched, fv_sched_stage_t *stage,
                    fv_sched_worker_t *const *workers, uint32_t count)
{
    sim_leader_t *leader = (sim_leader_t *)sched;
    sim_t *sim = leader->sim;
    sim_event_t event = {
        .kind = EVENT_ADVICE_ARRIVES,
        .generation = leader->generation,
        .at_ms = sim->now_ms + stage->job->queue.advice_base_us / 1000 +
                 count * stage->job->queue.advice_per_worker_us / 1000,
        .worker_count = count};

    if (leader->open_advice_requests == ADVICE_REQUESTS_MAX) {
        return false;
    }
    leader->open_advice_requests++;
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
    sim_leader_t *leader = (sim_leader_t *)sched;
    sim_t *sim = leader->sim;
    sim_event_t event = {.kind = EVENT_RECORDED,
                         .generation = leader->generation,
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
 * @leader: the leader
 * @index: the worker's index
 */
void
FvSim_RequestReport(sim_leader_t *leader, uint32_t index)
{
    sim_t *sim = leader->sim;
    fv_sched_worker_t *sched_worker =
        FvSched_FindWorker(&leader->sched, sim->workers[index].entry.id);
    sim_event_t request;
    sim_event_t timeout;

    if (sched_worker == NULL || leader->report_pending[index]) {
        return;
    }
    leader->report_pending[index] = true;
    leader->report_requested_ms[index] = sim->now_ms;
    request = (sim_event_t){.kind = EVENT_REPORT_REQUESTED,
                            .at_ms = sim->now_ms + FvSim_OneWayDelayMs(sim),
                            .generation = leader->generation,
                            .worker = index,
                            .sent_ms = sim->now_ms,
                            .number = FvSched_EndToAcknowledge(sched_worker),
                            .incarnation_ms = sched_worker->started_wall_ms,
                            .answered = true,
                            .lease_end_ms = FvSched_ExtendLease(
                                &leader->sched, sched_worker, sim->now_ms)};
    timeout = request;
    timeout.kind = EVENT_REPORT_ARRIVES;
    timeout.at_ms = sim->now_ms + REPORT_TIMEOUT_MS;
    timeout.answered = false;
    if (!FvSim_Reaches(leader, index)) {
        FvSim_Schedule(sim, timeout);
        if (!arrives_after_split(leader, &request)) {
            return;
        }
    }
    else if (FvSim_FaultOccurs(sim, sim->plan->faults.lost_renewals)) {
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
    sim_leader_t *leader = (sim_leader_t *)sched;

    FvSim_RequestReport(leader,
                        FvSim_WorkerIndex(leader->sim, worker->entry.id));
}

static const char *
ended_customer(fv_sched_t *sched, const char *task)
{
    sim_t *sim = ((sim_leader_t *)sched)->sim;
    const sim_job_t *job = FvSim_FindJob(sim, task);

    return job->ended != NULL ? FvSim_CustomerName(job->customer) : NULL;
}

const fv_sched_ops_t Fv_SIM_OPS = {.decode = FvPlatform_DecodeJobSpec,
                                   .start = send_start,
                                   .stop = send_stop,
                                   .stop_orphan_run = send_orphan_stop,
                                   .request_advice = send_advice_request,
                                   .record = FvSim_Record,
                                   .request_report = request_worker_report,
                                   .ended_customer = ended_customer};
