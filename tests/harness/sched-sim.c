/*
 * A cell in simulated time around the scheduler: its faults and leaders.
 */

#include "sched-sim-internal.h"

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

/* As the leader decides before it resigns. */
static bool
are_stops_settled(const sim_t *sim)
{
    const sim_leader_t *leader = sim->leader;

    for (const fv_sched_worker_t *worker = leader->sched.workers;
         worker != NULL; worker = worker->hh.next) {
        if (worker->inherited ||
            worker->inherited_stops_until_ms > sim->now_ms) {
            return false;
        }
    }
    return leader->unanswered_stop_ms == 0 ||
           sim->now_ms - leader->unanswered_stop_ms >
               Fv_ORDER_DELAY_MAX_MS + STOP_MS;
}

/* A caller reaches any leader that acts. */
static sim_leader_t *
draw_leader(sim_t *sim)
{
    sim_leader_t *leader = sim->leader;

    while (leader->earlier != NULL && FvSim_RandomBelow(sim, 2) == 0) {
        leader = leader->earlier;
    }
    return leader;
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
        FvSim_PublishEntry(sim, worker);
    }
    if (FvSim_FaultOccurs(sim, faults->job_cancellations * FAULT_INTERVAL_MS /
                                   1000) &&
        sim->job_count > 0) {
        sim_job_t *job = &sim->jobs[FvSim_RandomBelow(sim, sim->job_count)];
        fv_sched_t *sched = &draw_leader(sim)->sched;
        fv_sched_job_t *sched_job = FvSched_FindJob(sched, job->id);

        if (sched_job != NULL && sched_job->durable &&
            sched_job->outcome == Fv_SCHED_JOB_OPEN) {
            job->cancelled = true;
            FvSched_CancelJob(sched, sched_job, sim->now_ms);
        }
    }
    if (FvSim_FaultOccurs(sim, faults->leader_failovers * FAULT_INTERVAL_MS /
                                   1000)) {
        sim->handed_over = false;
        FvSim_ReplaceLeader(sim);
    }
    if (FvSim_FaultOccurs(sim, faults->leader_handovers * FAULT_INTERVAL_MS /
                                   1000) &&
        sim->handover_ms == 0 && !FvSim_IsCutFromStore(sim->leader)) {
        sim->handover_ms =
            sim->now_ms + STOPS_SUSPENDED_MS + FvSim_RandomBelow(sim, 1000);
    }
    if (faults->splits > 0 &&
        FvSim_FaultOccurs(sim, faults->splits * FAULT_INTERVAL_MS / 1000)) {
        FvSim_SplitCell(sim);
    }
    if (faults->store_outages > 0 &&
        FvSim_FaultOccurs(sim,
                          faults->store_outages * FAULT_INTERVAL_MS / 1000)) {
        FvSim_CutStore(sim);
    }
    if (faults->cap_changes > 0 &&
        FvSim_FaultOccurs(sim,
                          faults->cap_changes * FAULT_INTERVAL_MS / 1000)) {
        FvSim_ChangeCap(sim);
    }
}

/* A worker that reaches the store again writes its entry. */
static void
update_entry(sim_leader_t *leader, sim_worker_t *worker,
             fv_sched_worker_t *sched_worker)
{
    int64_t now_ms = leader->sim->now_ms;

    if (worker->entry_removed_ms == 0 || now_ms < worker->entry_removed_ms ||
        sched_worker == NULL || FvSim_IsCutFromStore(leader)) {
        return;
    }
    if (FvSim_IsEntryLost(leader->sim, worker)) {
        FvSched_WorkerUnlisted(sched_worker, now_ms);
    }
    else {
        worker->entry_removed_ms = 0;
        FvSim_PublishEntry(leader->sim, worker);
    }
}

static void
store_long_lease(const sim_leader_t *leader, sim_worker_t *worker,
                 fv_sched_worker_t *sched_worker)
{
    int64_t left_ms;

    if (sched_worker == NULL || FvSim_IsCutFromStore(leader)) {
        return;
    }
    left_ms = FvSched_LongLeaseLeftMs(sched_worker, leader->sim->now_ms);
    if (!sched_worker->long_lease_stored || left_ms == 0) {
        worker->stored_lease_left_ms = left_ms;
        sched_worker->long_lease_stored = true;
    }
}

static void
poll_workers(sim_leader_t *leader)
{
    sim_t *sim = leader->sim;

    for (uint32_t w = 0; w < sim->plan->workers; w++) {
        sim_worker_t *worker = &sim->workers[w];
        fv_sched_worker_t *sched_worker =
            FvSched_FindWorker(&leader->sched, worker->entry.id);

        if (worker->up && worker->drain_deadline_ms != 0 &&
            sim->now_ms >= worker->drain_deadline_ms) {
            crash_worker(sim, w);
        }
        update_entry(leader, worker, sched_worker);
        store_long_lease(leader, worker, sched_worker);
        if (sched_worker != NULL && sched_worker->suspect &&
            FvSched_HasLeaseExpired(&leader->sched, sched_worker)) {
            FvSched_ReportUnanswered(&leader->sched, sched_worker,
                                     sim->now_ms);
        }
        if (sim->now_ms - leader->report_requested_ms[w] >=
                REPORT_INTERVAL_MS ||
            (sched_worker != NULL && sched_worker->report_due_ms != 0 &&
             sim->now_ms >= sched_worker->report_due_ms)) {
            FvSim_RequestReport(leader, w);
        }
    }
    for (fv_sched_job_t *job = leader->sched.jobs; job != NULL;) {
        fv_sched_job_t *next = job->hh.next;

        if (FvSched_MayRemoveJob(&leader->sched, job)) {
            FvSched_RemoveJob(&leader->sched, job);
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
    uint32_t task_max_ms =
        sim->plan->task_max_ms > 0 ? sim->plan->task_max_ms : TASK_MAX_MS;
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
                 200 + FvSim_RandomBelow(sim, task_max_ms),
                 gang ? "true" : "false",
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
    FvSim_InitCustomers(sim);
    sim->leader = FvSim_BeginLeader(sim, NULL);
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
    while (sim->leader != NULL) {
        sim_leader_t *leader = sim->leader;

        sim->leader = leader->earlier;
        FvSim_FreeLeader(leader);
    }
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

static void
run_leader(sim_leader_t *leader)
{
    sim_t *sim = leader->sim;

    if (sim->now_ms % PASS_INTERVAL_MS == 0 &&
        sim->now_ms >= leader->since_ms) {
        poll_workers(leader);
        FvSim_LearnCaps(leader);
        FvSim_ReleaseInheritedTasks(leader);
        FvSim_CheckUnreached(leader);
        FvSched_RunPass(&leader->sched, sim->now_ms, sim->now_ms);
        if (leader == sim->leader) {
            FvSim_CheckWaiting(sim);
        }
    }
    FvSim_CheckAccounts(leader);
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
    sim_leader_t *leader;

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
        while (sim->event_count > 0 && sim->events[0].at_ms <= sim->now_ms) {
            sim_event_t event = FvSim_TakeEvent(sim);

            FvSim_HandleEvent(sim, &event);
            FvSim_ClearEvent(&event);
        }
        FvSim_EndDueRuns(sim);
        FvSim_UpdateLeaders(sim);
        leader = sim->leader;
        do {
            run_leader(leader);
            leader = leader->earlier;
        } while (leader != NULL);
        sim->leader->sched.stops_suspended =
            sim->handover_ms != 0 &&
            sim->now_ms >= sim->handover_ms - STOPS_SUSPENDED_MS;
        if (sim->handover_ms != 0 && sim->now_ms >= sim->handover_ms) {
            sim->handed_over = are_stops_settled(sim);
            FvSim_ReplaceLeader(sim);
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

/**
 * FvSchedSim_Check - simulate a cell and check that no guarantee is broken
 * @plan: size, load, faults and deadline
 */
void
FvSchedSim_Check(const sim_plan_t *plan)
{
    sim_result_t result;

    FvSchedSim_Run(plan, &result);
    CU_ASSERT_EQUAL(result.over_capacity, 0);
    CU_ASSERT_EQUAL(result.concurrent_runs, 0);
    CU_ASSERT_EQUAL(result.started_after_done, 0);
    CU_ASSERT_EQUAL(result.started_before_predecessors, 0);
    CU_ASSERT_EQUAL(result.started_beyond_attempts, 0);
    CU_ASSERT_EQUAL(result.started_beyond_spread, 0);
    CU_ASSERT_EQUAL(result.started_without_label, 0);
    CU_ASSERT_EQUAL(result.started_above_cap, 0);
    CU_ASSERT_EQUAL(result.waited_too_long, 0);
    CU_ASSERT_EQUAL(result.unfinished_jobs, 0);
    CU_ASSERT_EQUAL(result.wrong_outcomes, 0);
    CU_ASSERT_EQUAL(result.wrong_accounts, 0);
    CU_ASSERT(result.starts > 40);
    if (result.first_violation[0] != '\0') {
        printf("\n    seed %llu: %s ", (unsigned long long)plan->seed,
               result.first_violation);
    }
}

/**
 * FvSchedSim_ChooseSeeds - read which seeds to run
 * @first: set by SCHED_MODEL_SEEDS="FIRST COUNT", else kept
 * @count: the same
 */
void
FvSchedSim_ChooseSeeds(uint64_t *first, uint32_t *count)
{
    const char *chosen = getenv("SCHED_MODEL_SEEDS");
    uint64_t chosen_first;
    uint32_t chosen_count;

    if (chosen != NULL && sscanf(chosen, "%" SCNu64 " %" SCNu32, &chosen_first,
                                 &chosen_count) == 2) {
        *first = chosen_first;
        *count = chosen_count;
    }
}
