/*
 * The simulated cell: events at the workers, the store and the leader.
 */

#include "sched-sim-internal.h"

static void
order_arrives(sim_t *sim, const sim_event_t *order)
{
    sim_worker_t *worker = &sim->workers[order->worker];
    const sim_leader_t *leader = FvSim_FindLeader(sim, order->generation);
    sim_event_t answer = {.kind = EVENT_ORDER_ANSWERED,
                          .at_ms = sim->now_ms + FvSim_OneWayDelayMs(sim),
                          .generation = order->generation,
                          .worker = order->worker,
                          .incarnation_ms = order->incarnation_ms,
                          .run = order->run,
                          .stop = order->stop,
                          .result = Fv_ORDER_UNCONFIRMED};

    FvText_Copy(answer.task, sizeof(answer.task), order->task);
    if (FvSim_IsUnresponsive(sim, worker)) {
        answer.at_ms = order->sent_ms + ORDER_TIMEOUT_MS;
    }
    else {
        answer.result = FvSim_ExecuteOrder(sim, worker, order);
    }
    if (leader != NULL && !FvSim_Reaches(leader, order->worker)) {
        answer.result = Fv_ORDER_UNCONFIRMED;
        answer.at_ms = order->sent_ms + ORDER_TIMEOUT_MS;
    }
    if (order->answered) {
        FvSim_Schedule(sim, answer);
    }
}

static void
order_answered(sim_leader_t *leader, const sim_event_t *answer)
{
    sim_t *sim = leader->sim;
    const char *id = sim->workers[answer->worker].entry.id;
    fv_sched_worker_t *worker = FvSched_FindWorker(&leader->sched, id);
    fv_sched_task_t *task =
        FvSched_FindOrderedTask(&leader->sched, id, answer->task, answer->run);
    fv_order_result_t result = answer->result;

    if (result == Fv_ORDER_FENCED) {
        leader->deposed = leader != sim->leader;
        return;
    }
    if (answer->stop && result == Fv_ORDER_UNCONFIRMED) {
        leader->unanswered_stop_ms = sim->now_ms;
    }
    if (worker != NULL) {
        result = FvSched_OrderResult(worker, answer->incarnation_ms, result);
    }
    if (answer->stop && worker != NULL) {
        FvSched_OrphanStopAnswered(&leader->sched, worker, answer->task,
                                   answer->run, result, sim->now_ms);
    }
    if (task == NULL) {
        return;
    }
    if (answer->stop) {
        FvSched_StopAnswered(&leader->sched, task, answer->run, result,
                             sim->now_ms);
    }
    else {
        FvSched_StartAnswered(&leader->sched, task, answer->run, result,
                              sim->now_ms);
    }
}

/* The leader has recorded the ends up to this number. */
static void
acknowledge_ends(sim_t *sim, sim_worker_t *worker, int64_t up_to)
{
    for (uint32_t e = 0; e < worker->end_count; e++) {
        sim_end_t *end = &worker->ends[e];
        sim_task_t *task;

        if (end->acknowledged || end->row.number > up_to) {
            continue;
        }
        end->acknowledged = true;
        task = FvSim_GetTask(sim, end->row.task_id);
        task->failures_acknowledged += end->row.end == Fv_END_FAILED;
        /* An end that is acknowledged after its lease has expired counts as
         * lost; the task may have been started again. */
        if (end->row.end != Fv_END_DONE || !task->done ||
            worker->lease_expired_ms >= end->at_ms) {
            continue;
        }
        task->done_acknowledged = true;
        if (task->last_start_ms > end->at_ms) {
            FvSim_AddViolation(sim, &sim->result->started_after_done,
                               "started after done", task->name);
        }
    }
}

static void
report_requested(sim_t *sim, const sim_event_t *request)
{
    sim_worker_t *worker = &sim->workers[request->worker];
    sim_event_t answer = {.kind = EVENT_REPORT_ARRIVES,
                          .generation = request->generation,
                          .worker = request->worker,
                          .sent_ms = request->sent_ms,
                          .at_ms = sim->now_ms + FvSim_OneWayDelayMs(sim)};
    fv_worker_report_t *report = &answer.report;
    const sim_leader_t *leader = FvSim_FindLeader(sim, request->generation);
    bool fenced = request->generation < worker->fencing_token;

    if (leader != NULL && fenced && !FvSim_IsUnresponsive(sim, worker) &&
        FvSim_Reaches(leader, request->worker) && request->answered) {
        answer.result = Fv_ORDER_FENCED;
        FvSim_Schedule(sim, answer);
        return;
    }
    if (FvSim_IsUnresponsive(sim, worker) || fenced) {
        answer.at_ms = request->sent_ms + REPORT_TIMEOUT_MS;
        if (request->answered) {
            FvSim_Schedule(sim, answer);
        }
        return;
    }
    worker->fencing_token = request->generation;
    FvSim_ExtendLease(sim, worker, request->lease_end_ms);
    acknowledge_ends(sim, worker, request->number);
    if (!request->answered) {
        return;
    }
    if (leader != NULL && !FvSim_Reaches(leader, request->worker)) {
        answer.at_ms = request->sent_ms + REPORT_TIMEOUT_MS;
        FvSim_Schedule(sim, answer);
        return;
    }
    answer.answered = true;
    answer.number = request->number;
    answer.incarnation_ms = request->incarnation_ms;
    *report = (fv_worker_report_t){
        .clock_ms = FvSim_WorkerClockMs(sim, worker),
        .started_wall_ms = worker->entry.started_wall_ms,
        .running = calloc(worker->run_count + 1, sizeof(*report->running)),
        .ended = calloc(worker->end_count + 1, sizeof(*report->ended))};
    for (uint32_t r = 0; r < worker->run_count; r++) {
        const sim_run_t *run = &worker->runs[r];
        fv_running_row_t *row = &report->running[report->running_count];

        if (run->stopping_until_ms == 0) {
            *row = (fv_running_row_t){.run = run->run};
            FvText_Copy(row->task_id, sizeof(row->task_id), run->task->name);
            if (run->work_started_ms != 0) {
                row->percent =
                    (int32_t)(100 * (sim->now_ms - run->work_started_ms) /
                              (run->duration_ms + 1));
            }
            if (run->step->long_running &&
                sim->now_ms - run->started_ms >= run->step->estimated_ms) {
                row->percent = 100; /* at work until it ends */
            }
            report->running_count++;
        }
    }
    for (uint32_t e = 0;
         e < worker->end_count && (sim->plan->ends_page == 0 ||
                                   report->ended_count < sim->plan->ends_page);
         e++) {
        if (!worker->ends[e].acknowledged) {
            fv_ended_row_t *row = &report->ended[report->ended_count++];

            *row = worker->ends[e].row;
            row->checkpoint = worker->ends[e].saved ? strdup("saved") : NULL;
        }
    }
    FvSim_Schedule(sim, answer);
}

static void
report_arrives(sim_leader_t *leader, const sim_event_t *answer)
{
    sim_t *sim = leader->sim;
    fv_sched_worker_t *sched_worker = FvSched_FindWorker(
        &leader->sched, sim->workers[answer->worker].entry.id);

    leader->report_pending[answer->worker] = false;
    if (answer->result == Fv_ORDER_FENCED) {
        leader->deposed = leader != sim->leader;
        return;
    }
    if (sched_worker == NULL) {
        return;
    }
    sched_worker->refused = !answer->answered &&
                            !sim->workers[answer->worker].up &&
                            FvSim_Reaches(leader, answer->worker);
    if (!answer->answered) {
        FvSched_ReportUnanswered(&leader->sched, sched_worker, sim->now_ms);
        return;
    }
    FvSched_ApplyReport(&leader->sched, sched_worker, &answer->report,
                        answer->sent_ms, sim->now_ms);
    if (answer->report.started_wall_ms == answer->incarnation_ms &&
        answer->incarnation_ms == sched_worker->started_wall_ms) {
        FvSched_EndsAcknowledged(sched_worker, answer->number);
    }
    if (sched_worker->last_end_applied > sched_worker->last_end_recorded) {
        FvSim_Schedule(
            sim, (sim_event_t){.kind = EVENT_ENDS_RECORDED,
                               .at_ms = sim->now_ms + RECORD_WRITE_MS + 1,
                               .generation = leader->generation,
                               .worker = answer->worker,
                               .incarnation_ms = sched_worker->started_wall_ms,
                               .number = sched_worker->last_end_applied});
    }
}

static void
ends_recorded(sim_leader_t *leader, const sim_event_t *event)
{
    fv_sched_worker_t *sched_worker = FvSched_FindWorker(
        &leader->sched, leader->sim->workers[event->worker].entry.id);

    if (sched_worker != NULL &&
        sched_worker->started_wall_ms == event->incarnation_ms) {
        FvSched_EndsRecorded(sched_worker, event->number);
    }
}

static void
recorded(sim_leader_t *leader, sim_event_t *event)
{
    sim_t *sim = leader->sim;
    sim_job_t *job = FvSim_FindJob(sim, event->task);
    fv_sched_job_t *sched_job = FvSched_FindJob(&leader->sched, event->task);
    fv_buffer_t *stored = event->record == Fv_RECORD_ACCEPT
                              ? &job->job_record
                              : &job->progress_record;

    if (event->record != Fv_RECORD_END) {
        FvBuffer_Clear(stored);
        *stored = event->value;
        event->value = (fv_buffer_t){0};
        if (event->record == Fv_RECORD_ACCEPT && sched_job != NULL) {
            job->accepted = true;
            job->accepted_ms = sim->now_ms;
            FvSched_MarkJobDurable(&leader->sched, sched_job);
        }
        return;
    }
    if (sched_job == NULL) {
        return;
    }
    sched_job->recorded = sched_job->outcome;
    job->ended = FvSched_JobStateName(sched_job);
    if (sched_job->outcome == Fv_SCHED_JOB_COMPLETED) {
        for (uint32_t s = 0; s < job->spec.step_count; s++) {
            char name[Fv_RUN_TASK_ID_SIZE];
            bool done = false;

            for (int32_t i = 0; i < job->spec.steps[s].task_count; i++) {
                snprintf(name, sizeof(name), "%s.0.%u.%d", job->id, s, i);
                done = FvSim_GetTask(sim, name)->done;
                if (done == job->spec.steps[s].gang) {
                    break; /* a gang is done when one of its tasks is */
                }
            }
            if (!done) {
                FvSim_AddViolation(
                    sim, &sim->result->wrong_outcomes,
                    "completed with unfinished tasks:", job->id);
            }
        }
    }
    if (sched_job->outcome == Fv_SCHED_JOB_CANCELLED && !job->cancelled) {
        FvSim_AddViolation(sim, &sim->result->wrong_outcomes,
                           "cancelled without a request:", job->id);
    }
}

/**
 * FvSim_IsAllowed - whether the advice service allows a worker
 * @sim: the cell
 * @first_task: name of the first task of the stage
 * @worker: index of the worker
 *
 * Return: the same for every call for a stage.
 */
bool
FvSim_IsAllowed(const sim_t *sim, const char *first_task, uint32_t worker)
{
    uint32_t offset = 0;

    for (const char *c = first_task; *c != '\0'; c++) {
        offset = offset * 31 + (uint32_t)*c;
    }
    return (worker + offset) % sim->plan->workers < sim->plan->allowed_workers;
}

static void
advice_arrives(sim_leader_t *leader, const sim_event_t *event)
{
    sim_t *sim = leader->sim;
    fv_sched_task_t *task = FvSched_FindTask(&leader->sched, event->task);
    fv_sched_worker_t *queried[WORKERS_MAX];
    fv_advice_row_t rows[WORKERS_MAX];
    fv_advice_t advice = {.rows = rows};

    leader->open_advice_requests--;
    if (task == NULL) {
        return;
    }
    for (uint32_t i = 0; i < event->worker_count; i++) {
        queried[i] = FvSched_FindWorker(&leader->sched, event->workers[i]);
        if (FvSim_IsAllowed(sim, event->task,
                            FvSim_WorkerIndex(sim, event->workers[i]))) {
            fv_advice_row_t *row = &rows[advice.row_count++];

            FvText_Copy(row->worker_id, Fv_NAME_SIZE, event->workers[i]);
            row->ticket = "ticket";
        }
    }
    FvSched_ApplyAdvice(&leader->sched, task->stage, queried,
                        event->worker_count, &advice, sim->now_ms);
}

static void
job_arrives(sim_t *sim, const sim_event_t *event)
{
    sim_job_t *job = FvSim_FindJob(sim, event->task);
    fv_sched_t *sched = &sim->leader->sched;
    fv_sched_job_t *sched_job = FvSched_FindJob(sched, job->id);
    sim_event_t retry = {.kind = EVENT_JOB_ARRIVES,
                         .at_ms = sim->now_ms + 1000};
    fv_job_spec_t spec;

    if (job->accepted || job->ended != NULL) {
        return;
    }
    FvText_Copy(retry.task, sizeof(retry.task), job->id);
    if (sched_job != NULL) {
        FvSim_Schedule(sim, retry);
        return;
    }
    FvPlatform_DecodeJobSpec(job->document, strlen(job->document), &spec);
    sched_job =
        FvSched_AddJob(sched, job->id, &job->queue, &spec, job->document,
                       strlen(job->document), sim->now_ms, sim->now_ms);
    FvJobSpec_Clear(&spec);
    FvSim_SetJobCustomer(sim, job, sched_job);
    FvSim_Record(sched, sched_job, Fv_RECORD_ACCEPT);
    FvSched_ReleaseStages(sched, sched_job, sim->now_ms, sim->now_ms);
    /* The caller retries, because a leader that fails before the job is
     * recorded loses it. */
    FvSim_Schedule(sim, retry);
}

/* Repeated until the cancellation is recorded; a leader may fail before. */
static void
job_cancelled(sim_t *sim, const sim_event_t *event)
{
    sim_job_t *job = FvSim_FindJob(sim, event->task);
    fv_sched_t *sched = &sim->leader->sched;
    fv_sched_job_t *sched_job = FvSched_FindJob(sched, job->id);
    sim_event_t retry = {.kind = EVENT_JOB_CANCELLED,
                         .at_ms = sim->now_ms + 1000};

    if (job->ended != NULL) {
        return;
    }
    if (sched_job != NULL && sched_job->durable &&
        sched_job->outcome == Fv_SCHED_JOB_OPEN) {
        job->cancelled = true;
        FvSched_CancelJob(sched, sched_job, sim->now_ms);
    }
    FvText_Copy(retry.task, sizeof(retry.task), job->id);
    FvSim_Schedule(sim, retry);
}

/* The entry is written at once, and read when the watch next delivers. */
static void
worker_returns(sim_t *sim, uint32_t index)
{
    sim_worker_t *worker = &sim->workers[index];
    sim_event_t event = {.kind = EVENT_ENTRY_ARRIVES, .worker = index};

    worker->up = true;
    worker->drain_deadline_ms = 0;
    worker->entry.draining = false;
    worker->entry.drain_left_ms = 0;
    if (sim->plan->faults.times_set_back > 0 &&
        FvSim_FaultOccurs(sim, sim->plan->faults.times_set_back)) {
        worker->entry.started_wall_ms--;
    }
    else {
        worker->entry.started_wall_ms = FIRST_START_MS + sim->now_ms;
    }
    worker->clock_base_ms = sim->now_ms;
    if (sim->plan->faults.kind_changes == 0) {
        FvSim_PublishEntry(sim, worker);
        return;
    }
    /* Two workers of each kind stay, so that every job can end. */
    if (index >= 4 && FvSim_FaultOccurs(sim, sim->plan->faults.kind_changes)) {
        FvSim_SetKind(worker, strcmp(worker->entry.labels[0], "a") != 0);
    }
    event.at_ms = sim->now_ms + FvSim_RandomBelow(sim, ENTRY_DELAY_MAX_MS);
    event.entry = worker->entry;
    FvSim_Schedule(sim, event);
}

static void
entry_arrives(sim_t *sim, const sim_event_t *event)
{
    sim_worker_t *worker = &sim->workers[event->worker];

    if (event->entry.started_wall_ms == worker->entry.started_wall_ms) {
        FvSim_PublishEntry(sim, worker);
    }
}

/**
 * FvSim_HandleEvent - process an event
 * @sim: the cell
 * @event: the event
 */
void
FvSim_HandleEvent(sim_t *sim, sim_event_t *event)
{
    sim_leader_t *leader = FvSim_FindLeader(sim, event->generation);

    if (event->generation != 0 && leader == NULL &&
        event->kind != EVENT_ORDER_ARRIVES &&
        event->kind != EVENT_REPORT_REQUESTED) {
        return; /* addressed to a former leader */
    }
    if ((event->kind == EVENT_RECORDED || event->kind == EVENT_ENDS_RECORDED ||
         event->kind == EVENT_UNREACHED_WRITTEN) &&
        FvSim_IsCutFromStore(leader)) {
        if (leader == sim->leader) { /* writes of earlier ones are refused */
            FvSim_Postpone(sim, event,
                           leader->store_cut_until_ms > sim->store_out_until_ms
                               ? leader->store_cut_until_ms
                               : sim->store_out_until_ms);
        }
        return;
    }
    switch (event->kind) {
    case EVENT_ORDER_ARRIVES:
        order_arrives(sim, event);
        break;
    case EVENT_ORDER_ANSWERED:
        order_answered(leader, event);
        break;
    case EVENT_REPORT_REQUESTED:
        report_requested(sim, event);
        break;
    case EVENT_REPORT_ARRIVES:
        report_arrives(leader, event);
        break;
    case EVENT_RECORDED:
        recorded(leader, event);
        break;
    case EVENT_ENDS_RECORDED:
        ends_recorded(leader, event);
        break;
    case EVENT_UNREACHED_WRITTEN:
        FvSim_UnreachedWritten(leader, event);
        break;
    case EVENT_ADVICE_ARRIVES:
        advice_arrives(leader, event);
        break;
    case EVENT_WORKER_RETURNS:
        worker_returns(sim, event->worker);
        break;
    case EVENT_ENTRY_ARRIVES:
        entry_arrives(sim, event);
        break;
    case EVENT_JOB_ARRIVES:
        job_arrives(sim, event);
        break;
    case EVENT_JOB_CANCELLED:
        job_cancelled(sim, event);
        break;
    default:
        break;
    }
}
