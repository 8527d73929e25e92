/*
 * A cell in simulated time around the scheduler: its faults and leaders.
 */

#include "sched-sim-internal.h"

static void
add_workers(sim_t *sim)
{
    for (uint32_t w = 0; w < sim->plan->workers; w++) {
        fv_sched_worker_t *sched_worker = FvSched_UpdateWorker(
            &sim->sched, &sim->workers[w].entry, sim->now_ms);

        sched_worker->in_worker_list = true;
        if (sim->workers[w].stored_lease_left_ms > 0) {
            FvSched_InheritLongLease(sched_worker,
                                     sim->workers[w].stored_lease_left_ms,
                                     sim->now_ms);
        }
        sched_worker->inherited = sim->generation > 1 && !sim->handed_over;
    }
}

static void
begin_leader(sim_t *sim)
{
    sim->generation++;
    sim->result->leaders++;
    sim->leader_since_ms = sim->now_ms;
    sim->unanswered_stop_ms = 0;
    sim->open_advice_requests = 0;
    FvSched_Init(&sim->sched, &Fv_SIM_OPS,
                 &(fv_sched_timeouts_t){.lease_ms = LEASE_MS,
                                        .lease_max_ms = LEASE_MAX_MS,
                                        .stop_max_ms = STOP_MS,
                                        .gang_refill_ms = GANG_REFILL_MS});
    sim->sched.run_base = (sim->generation - 1) * 1000;
    sim->sched.hold_inherited_tasks = true;
    add_workers(sim);
    for (uint32_t j = 0; j < sim->job_count; j++) {
        sim_job_t *job = &sim->jobs[j];
        fv_sched_job_t *sched_job;

        if (job->job_record.data == NULL || job->ended != NULL) {
            continue;
        }
        sched_job = FvSchedRecord_LoadJob(
            &sim->sched, job->id, &job->job_record, sim->now_ms, sim->now_ms);
        CU_ASSERT_PTR_NOT_NULL_FATAL(sched_job);
        if (sched_job == NULL) {
            abort();
        }
        sched_job->durable = true;
        job->accepted = true;
        if (job->progress_record.data != NULL) {
            CU_ASSERT_TRUE(
                FvSchedRecord_LoadProgress(sched_job, &job->progress_record));
        }
        for (uint32_t s = 0; s < sched_job->spec.step_count; s++) {
            fv_sched_stage_t *stage = &sched_job->occurrences[0].stages[s];

            for (int32_t t = 0; t < stage->step->task_count; t++) {
                stage->tasks[t].inherited = true;
            }
        }
        FvSched_ReleaseStages(&sim->sched, sched_job, sim->now_ms,
                              sim->now_ms);
    }
    for (uint32_t w = 0; w < sim->plan->workers; w++) {
        sim->workers[w].report_pending = false;
    }
}

static void
release_inherited_tasks(sim_t *sim)
{
    bool leases_expired = sim->now_ms - sim->leader_since_ms >
                          FvSched_WorstCaseLeaseMs(&sim->sched);

    if (sim->sched.hold_inherited_tasks &&
        FvSched_KnowsInheritedRuns(&sim->sched, leases_expired, sim->now_ms)) {
        sim->sched.hold_inherited_tasks = false;
        sim->sched.dirty = true;
    }
}

static void
crash_worker(sim_t *sim, uint32_t index)
{
    sim_worker_t *worker = &sim->workers[index];

    FvSim_KillRuns(sim, worker, false);
    /* Ends that the leader has not acknowledged are lost with the worker. */
    for (uint32_t e = 0; e < worker->end_count; e++) {
        worker->ends[e].acknowledged = true;
    }
    worker->end_count = 0;
    worker->last_end_number = 0;
    worker->fencing_token = 0;
    worker->lease_end_ms = 0;
    worker->clock_base_ms = sim->now_ms;
    worker->up = false;
    FvSim_Schedule(sim, (sim_event_t){.kind = EVENT_WORKER_RETURNS,
                                      .at_ms = sim->now_ms + 500 +
                                               FvSim_RandomBelow(sim, 2500),
                                      .worker = index});
}

static void
replace_leader(sim_t *sim)
{
    sim->handover_ms = 0;
    FvSched_Clear(&sim->sched);
    begin_leader(sim);
    sim->absent_until_ms =
        sim->now_ms +
        FvSim_RandomBelow(sim, sim->plan->faults.leader_absence_ms + 1);
    sim->leader_since_ms = sim->absent_until_ms;
}

/* As the leader decides before it resigns. */
static bool
are_stops_settled(const sim_t *sim)
{
    for (const fv_sched_worker_t *worker = sim->sched.workers; worker != NULL;
         worker = worker->hh.next) {
        if (worker->inherited ||
            worker->inherited_stops_until_ms > sim->now_ms) {
            return false;
        }
    }
    return sim->unanswered_stop_ms == 0 ||
           sim->now_ms - sim->unanswered_stop_ms >
               Fv_ORDER_DELAY_MAX_MS + STOP_MS;
}

static void
inject_faults(sim_t *sim)
{
    const sim_faults_t *faults = &sim->plan->faults;
    uint32_t index = FvSim_RandomBelow(sim, sim->plan->workers);
    sim_worker_t *worker = &sim->workers[index];

    if (FvSim_FaultOccurs(sim,
                          faults->worker_crashes * FAULT_INTERVAL_MS / 1000) &&
        worker->up) {
        crash_worker(sim, index);
    }
    if (FvSim_FaultOccurs(sim,
                          faults->worker_outages * FAULT_INTERVAL_MS / 1000)) {
        worker->unresponsive_until_ms =
            sim->now_ms + 1000 + FvSim_RandomBelow(sim, 7000);
        if (FvSim_FaultOccurs(sim, faults->unlisted_outages)) {
            worker->entry_removed_ms = sim->now_ms + ENTRY_EXPIRY_MS;
        }
    }
    if (FvSim_FaultOccurs(sim,
                          faults->worker_drains * FAULT_INTERVAL_MS / 1000) &&
        worker->up && worker->drain_deadline_ms == 0) {
        worker->drain_deadline_ms = sim->now_ms + 2500;
        worker->entry.draining = true;
        worker->entry.drain_left_ms = 2500;
        FvSched_UpdateWorker(&sim->sched, &worker->entry, sim->now_ms);
    }
    if (FvSim_FaultOccurs(sim, faults->job_cancellations * FAULT_INTERVAL_MS /
                                   1000) &&
        sim->job_count > 0) {
        sim_job_t *job = &sim->jobs[FvSim_RandomBelow(sim, sim->job_count)];
        fv_sched_job_t *sched_job = FvSched_FindJob(&sim->sched, job->id);

        if (sched_job != NULL && sched_job->durable &&
            sched_job->outcome == Fv_SCHED_JOB_OPEN) {
            job->cancelled = true;
            FvSched_CancelJob(&sim->sched, sched_job, sim->now_ms);
        }
    }
    if (FvSim_FaultOccurs(sim, faults->leader_failovers * FAULT_INTERVAL_MS /
                                   1000)) {
        sim->handed_over = false;
        replace_leader(sim);
    }
    if (FvSim_FaultOccurs(sim, faults->leader_handovers * FAULT_INTERVAL_MS /
                                   1000) &&
        sim->handover_ms == 0) {
        sim->handover_ms =
            sim->now_ms + STOPS_SUSPENDED_MS + FvSim_RandomBelow(sim, 1000);
    }
}

/* A worker that reaches the store again writes its entry. */
static void
update_entry(sim_t *sim, sim_worker_t *worker, fv_sched_worker_t *sched_worker)
{
    if (worker->entry_removed_ms == 0 ||
        sim->now_ms < worker->entry_removed_ms || sched_worker == NULL) {
        return;
    }
    if (FvSim_IsUnresponsive(sim, worker)) {
        FvSched_WorkerUnlisted(sched_worker, sim->now_ms);
    }
    else {
        worker->entry_removed_ms = 0;
        FvSched_UpdateWorker(&sim->sched, &worker->entry, sim->now_ms);
    }
}

static void
store_long_lease(const sim_t *sim, sim_worker_t *worker,
                 fv_sched_worker_t *sched_worker)
{
    int64_t left_ms;

    if (sched_worker == NULL) {
        return;
    }
    left_ms = FvSched_LongLeaseLeftMs(sched_worker, sim->now_ms);
    if (!sched_worker->long_lease_stored || left_ms == 0) {
        worker->stored_lease_left_ms = left_ms;
        sched_worker->long_lease_stored = true;
    }
}

static void
poll_workers(sim_t *sim)
{
    for (uint32_t w = 0; w < sim->plan->workers; w++) {
        sim_worker_t *worker = &sim->workers[w];
        fv_sched_worker_t *sched_worker =
            FvSched_FindWorker(&sim->sched, worker->entry.id);

        if (worker->up && worker->drain_deadline_ms != 0 &&
            sim->now_ms >= worker->drain_deadline_ms) {
            crash_worker(sim, w);
        }
        update_entry(sim, worker, sched_worker);
        store_long_lease(sim, worker, sched_worker);
        if (sched_worker != NULL && sched_worker->suspect &&
            sched_worker->lease_expires_ms < sim->now_ms) {
            FvSched_ReportUnanswered(&sim->sched, sched_worker, sim->now_ms);
        }
        if (sim->now_ms - worker->report_requested_ms >= REPORT_INTERVAL_MS ||
            (sched_worker != NULL && sched_worker->report_due_ms != 0 &&
             sim->now_ms >= sched_worker->report_due_ms)) {
            FvSim_RequestReport(sim, w);
        }
    }
    for (fv_sched_job_t *job = sim->sched.jobs; job != NULL;) {
        fv_sched_job_t *next = job->hh.next;

        if (job->recorded != Fv_SCHED_JOB_OPEN && job->running_tasks == 0) {
            FvSched_RemoveJob(&sim->sched, job);
        }
        job = next;
    }
}

static void
write_lasting_document(sim_t *sim, sim_job_t *job)
{
    char text[256];

    snprintf(text, sizeof(text),
             "{\"taskSpec\":\"x\",\"steps\":[{\"count\":%u,\"cpu\":%u,"
             "\"memMb\":10,\"estimatedMs\":300,\"longRunning\":true,"
             "\"antiAffinity\":%u}]}",
             1 + FvSim_RandomBelow(sim, STEP_TASKS_MAX),
             500 + 500 * FvSim_RandomBelow(sim, 6), FvSim_RandomBelow(sim, 3));
    job->document = strdup(text);
}

static void
write_document(sim_t *sim, sim_job_t *job)
{
    uint32_t steps = 1 + FvSim_RandomBelow(sim, STEPS_MAX);
    bool labelled = sim->plan->faults.kind_changes > 0;
    fv_buffer_t text = {0};
    char part[256];

    snprintf(part, sizeof(part), "{\"taskSpec\":\"x\",\"steps\":[");
    FvBuffer_Append(&text, part, strlen(part));
    for (uint32_t s = 0; s < steps; s++) {
        bool gang = !labelled && FvSim_RandomBelow(sim, 3) == 0;

        snprintf(part, sizeof(part),
                 "%s{\"count\":%u,\"cpu\":%u,\"memMb\":10,"
                 "\"estimatedMs\":%u,\"gang\":%s,\"checkpointing\":%s,"
                 "\"antiAffinity\":%u,\"after\":[",
                 s > 0 ? "," : "", 1 + FvSim_RandomBelow(sim, 6),
                 500 + 500 * FvSim_RandomBelow(sim, 6),
                 200 + FvSim_RandomBelow(sim, 3000), gang ? "true" : "false",
                 FvSim_RandomBelow(sim, 2) == 0 ? "true" : "false",
                 FvSim_RandomBelow(sim, 4) == 0 ? 2 + FvSim_RandomBelow(sim, 3)
                                                : 0);
        FvBuffer_Append(&text, part, strlen(part));
        snprintf(part, sizeof(part), "%u", s - 1);
        if (s > 0 && FvSim_RandomBelow(sim, 3) > 0) {
            FvBuffer_Append(&text, part, strlen(part));
        }
        snprintf(part, sizeof(part), "]%s}",
                 !labelled ? ""
                 : FvSim_RandomBelow(sim, 2) == 0
                     ? ",\"requiredLabel\":\"a\""
                     : ",\"requiredLabel\":\"b\"");
        FvBuffer_Append(&text, part, strlen(part));
    }
    FvBuffer_Append(&text, "]}", 3);
    job->document = (char *)text.data;
}

static void
add_job(sim_t *sim, uint32_t index)
{
    sim_job_t *job = &sim->jobs[index];
    int64_t at_ms = FvSim_RandomBelow(sim, (uint32_t)sim->plan->faults_end_ms);
    sim_event_t event = {.kind = EVENT_JOB_ARRIVES, .at_ms = at_ms + 1000};

    snprintf(job->id, sizeof(job->id), "%016x", index + 1);
    if (sim->plan->lasting_jobs > 0 &&
        FvSim_RandomBelow(sim, 1000) < sim->plan->lasting_jobs) {
        sim_event_t cancel = {.kind = EVENT_JOB_CANCELLED,
                              .at_ms = event.at_ms + 5000 +
                                       FvSim_RandomBelow(sim, 40000)};

        write_lasting_document(sim, job);
        FvText_Copy(cancel.task, sizeof(cancel.task), job->id);
        FvSim_Schedule(sim, cancel);
    }
    else {
        write_document(sim, job);
    }
    CU_ASSERT_TRUE_FATAL(FvPlatform_DecodeJobSpec(
        job->document, strlen(job->document), &job->spec));
    job->queue = (fv_cell_queue_t){
        .priority = (int32_t)FvSim_RandomBelow(sim, 3),
        .service = "s",
        .attempts_max = ATTEMPTS_MAX,
        .stretch = 2.0,
        .objective_ms = 1000,
        .needs_advice = sim->plan->advice,
        .advice_base_us = 100000,
        .advice_per_worker_us = sim->plan->advice_per_worker_us,
        .ticket_valid_ms = 2500};
    snprintf(job->queue.name, sizeof(job->queue.name), "q%d",
             job->queue.priority);
    FvText_Copy(event.task, sizeof(event.task), job->id);
    FvSim_Schedule(sim, event);
}

static void
init_cell(sim_t *sim)
{
    for (uint32_t w = 0; w < sim->plan->workers; w++) {
        sim_worker_t *worker = &sim->workers[w];

        worker->up = true;
        worker->clock_slow_percent =
            (int64_t)(w % (CLOCK_SLOW_MAX_PERCENT + 1));
        worker->entry = (fv_worker_entry_t){.service = "s",
                                            .address = "127.0.0.1:1",
                                            .started_wall_ms = FIRST_START_MS,
                                            .cpu_millis = WORKER_CPU_MILLIS,
                                            .memory_mib = 1 << 20};
        snprintf(worker->entry.id, Fv_NAME_SIZE, "w%u", w);
        snprintf(worker->entry.rack, Fv_NAME_SIZE, "r%u", w / 4);
        FvSim_SetKind(worker, w % 2 == 0);
    }
    sim->job_count = sim->plan->jobs;
    for (uint32_t j = 0; j < sim->job_count; j++) {
        add_job(sim, j);
    }
    begin_leader(sim);
}

static bool
all_ended(const sim_t *sim)
{
    for (uint32_t j = 0; j < sim->job_count; j++) {
        if (sim->jobs[j].ended == NULL) {
            return false;
        }
    }
    return true;
}

static void
free_cell(sim_t *sim)
{
    FvSched_Clear(&sim->sched);
    while (sim->event_count > 0) {
        sim_event_t event = FvSim_TakeEvent(sim);

        FvSim_ClearEvent(&event);
    }
    for (uint32_t j = 0; j < sim->job_count; j++) {
        free(sim->jobs[j].document);
        FvJobSpec_Clear(&sim->jobs[j].spec);
        FvBuffer_Clear(&sim->jobs[j].job_record);
        FvBuffer_Clear(&sim->jobs[j].progress_record);
    }
    free(sim->events);
    free(sim);
}

/**
 * FvSchedSim_Run - simulate a cell until all jobs have ended or time is up
 * @plan: size, load, faults and deadline
 * @result: receives the violations
 */
void
FvSchedSim_Run(const sim_plan_t *plan, sim_result_t *result)
{
    sim_t *sim = calloc(1, sizeof(*sim));

    CU_ASSERT_PTR_NOT_NULL_FATAL(sim);
    CU_ASSERT_FATAL(plan->workers <= WORKERS_MAX && plan->jobs <= JOBS_MAX);
    *result = (sim_result_t){0};
    sim->plan = plan;
    sim->result = result;
    sim->random = plan->seed * UINT64_C(0x9e3779b97f4a7c15) + 1;
    sim->events = calloc(EVENTS_MAX, sizeof(*sim->events));
    CU_ASSERT_PTR_NOT_NULL_FATAL(sim->events);
    init_cell(sim);
    while (sim->now_ms < plan->deadline_ms && !all_ended(sim)) {
        sim->now_ms++;
        FvSched_ConfirmLead(&sim->sched, sim->now_ms);
        while (sim->event_count > 0 && sim->events[0].at_ms <= sim->now_ms) {
            sim_event_t event = FvSim_TakeEvent(sim);

            FvSim_HandleEvent(sim, &event);
            FvSim_ClearEvent(&event);
        }
        FvSim_EndDueRuns(sim);
        if (sim->now_ms % PASS_INTERVAL_MS == 0 &&
            sim->now_ms >= sim->absent_until_ms) {
            poll_workers(sim);
            release_inherited_tasks(sim);
            FvSched_RunPass(&sim->sched, sim->now_ms, sim->now_ms);
            FvSim_CheckWaiting(sim);
        }
        FvSim_CheckAccounts(sim);
        sim->sched.stops_suspended =
            sim->handover_ms != 0 &&
            sim->now_ms >= sim->handover_ms - STOPS_SUSPENDED_MS;
        if (sim->handover_ms != 0 && sim->now_ms >= sim->handover_ms) {
            sim->handed_over = are_stops_settled(sim);
            replace_leader(sim);
        }
        if (sim->now_ms % FAULT_INTERVAL_MS == 0) {
            inject_faults(sim);
        }
    }
    for (uint32_t j = 0; j < sim->job_count; j++) {
        if (sim->jobs[j].ended == NULL) {
            FvSim_AddViolation(sim, &result->unfinished_jobs, "never ended",
                               sim->jobs[j].id);
        }
    }
    free_cell(sim);
}
