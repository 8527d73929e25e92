/*
 * The simulated cell: what the scheduler sends.
 */

#include "sched-sim-internal.h"

/**
 * FvSim_IndexOf - number of a worker
 * @sim: the cell
 * @worker: the worker
 */
uint32_t
FvSim_IndexOf(const sim_t *sim, const char *worker)
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
                         .at_ms = sim->now_ms + FvSim_HalfTrip(sim),
                         .generation = sim->generation,
                         .worker = FvSim_IndexOf(sim, worker->entry.id),
                         .life = worker->started_wall_ms,
                         .run = run,
                         .stop = stop,
                         .sent_ms = sim->now_ms,
                         .lease_end_ms = lease_end_ms,
                         .answered = true};

    if (stop && sim->sched.stops_suspended) {
        return; /* left to the next leader */
    }
    FvText_Copy(event.task, sizeof(event.task), task);
    if (FvSim_Chance(sim, sim->plan->faults.lost_orders)) {
        sim_event_t doubt = event;

        doubt.kind = EVENT_ORDER_ANSWERED;
        doubt.at_ms = sim->now_ms + ORDER_TIMEOUT_MS;
        doubt.result = Fv_ORDER_UNCONFIRMED;
        FvSim_Schedule(sim, doubt);
        event.answered = false;
        event.at_ms += 2000 + FvSim_Draw(sim, 10000);
        if (FvSim_Draw(sim, 2) == 0) {
            return; /* lost for good */
        }
    }
    FvSim_Schedule(sim, event);
}

/* Leases are kept in simulated time; the scheduler computes them by the
 * worker's clock, which is the same here. */
static bool
port_start(fv_sched_t *sched, fv_sched_task_t *task,
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
port_stop(fv_sched_t *sched, fv_sched_task_t *task)
{
    char name[Fv_RUN_TASK_ID_SIZE];

    FvSched_TaskName(task, name, sizeof(name));
    send_order((sim_t *)sched, task->worker, name, task->run, true, 0);
}

static void
port_stop_stray(fv_sched_t *sched, fv_sched_worker_t *worker, const char *task,
                int32_t run)
{
    send_order((sim_t *)sched, worker, task, run, true, 0);
}

static bool
port_ask(fv_sched_t *sched, fv_sched_stage_t *stage,
         fv_sched_worker_t *const *workers, uint32_t count)
{
    sim_t *sim = (sim_t *)sched;
    sim_event_t event = {
        .kind = EVENT_ADVISED,
        .generation = sim->generation,
        .at_ms = sim->now_ms + stage->job->queue.advice_base_us / 1000 +
                 count * stage->job->queue.advice_per_worker_us / 1000,
        .worker_count = count};

    if (sim->asks == ASKS_MAX) {
        return false;
    }
    sim->asks++;
    FvSched_TaskName(&stage->tasks[0], event.task, sizeof(event.task));
    event.workers = calloc(count, sizeof(*event.workers));
    for (uint32_t i = 0; i < count; i++) {
        event.workers[i] = strdup(workers[i]->entry.id);
    }
    FvSim_Schedule(sim, event);
    return true;
}

/**
 * FvSim_Record - the leader has a job recorded
 * @sched: the scheduler
 * @job: the job
 * @kind: what of it
 */
void
FvSim_Record(fv_sched_t *sched, fv_sched_job_t *job, fv_record_kind_t kind)
{
    sim_t *sim = (sim_t *)sched;
    sim_event_t event = {.kind = EVENT_RECORDED,
                         .generation = sim->generation,
                         .at_ms = sim->now_ms + RECORD_MS,
                         .record = kind};

    FvText_Copy(event.task, sizeof(event.task), job->id);
    if (kind == Fv_RECORD_ACCEPT) {
        FvSchedRecord_EncodeJob(job, &event.value);
    }
    else if (kind == Fv_RECORD_PROGRESS) {
        FvSchedRecord_EncodeProgress(job, &event.value);
    }
    FvSim_Schedule(sim, event);
}

/**
 * FvSim_AskForReport - the leader asks a worker for a report
 * @sim: the cell
 * @index: its number
 */
void
FvSim_AskForReport(sim_t *sim, uint32_t index)
{
    sim_worker_t *worker = &sim->workers[index];
    fv_sched_worker_t *known =
        FvSched_FindWorker(&sim->sched, worker->entry.id);

    if (known == NULL || worker->asking) {
        return;
    }
    worker->asking = true;
    worker->asked_ms = sim->now_ms;
    FvSim_Schedule(sim,
                   (sim_event_t){.kind = EVENT_REPORT_ASKED,
                                 .at_ms = sim->now_ms + FvSim_HalfTrip(sim),
                                 .generation = sim->generation,
                                 .worker = index,
                                 .sent_ms = sim->now_ms,
                                 .number = known->last_end_recorded,
                                 .life = known->started_wall_ms,
                                 .lease_end_ms = FvSched_ExtendLease(
                                     &sim->sched, known, sim->now_ms)});
}

static void
port_look(fv_sched_t *sched, fv_sched_worker_t *worker)
{
    FvSim_AskForReport((sim_t *)sched,
                       FvSim_IndexOf((sim_t *)sched, worker->entry.id));
}

const fv_sched_ops_t Fv_SIM_PORT = {.decode = FvPlatform_DecodeJobSpec,
                                    .start = port_start,
                                    .stop = port_stop,
                                    .stop_orphan_run = port_stop_stray,
                                    .ask = port_ask,
                                    .record = FvSim_Record,
                                    .request_report = port_look};
