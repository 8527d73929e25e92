/*
 * A cell under load in simulated time around the scheduler.
 */

#include "load-sim.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define TICK_MS 5
#define PASS_MAX_MS 50 /* time-outs of tickets change no state */
#define STOP_MS 150
#define RESTORE_MS 300 /* of a checkpoint */
#define ADVICE_MAX 4096

typedef struct sim_run {
    fv_sched_task_t *task; /* NULL: ended */
    fv_sched_worker_t *worker;
    int32_t run;
    int64_t started_ms;
    int64_t ends_ms;
    int64_t stops_ms; /* INT64_MAX: not ordered to stop */
    double from;      /* share of the task that was done before */
} sim_run_t;

typedef struct sim_job {
    uint32_t queue;
    int64_t objective_ms;
    double allowed_share;
    uint64_t seed;
    int64_t first_start_ms;
    int64_t run_ms;
    double done[Fv_STEPS_MAX][128]; /* shares saved by checkpoints */
} sim_job_t;

typedef struct sim_advice {
    int64_t at_ms;
    char job[Fv_JOB_ID_SIZE];
    uint32_t step;
    uint32_t count;
    fv_sched_worker_t *workers[Fv_FIXTURE_ADVISED_MAX];
} sim_advice_t;

typedef struct load_sim {
    fv_sched_t sched; /* first member; the ops cast it */
    const load_plan_t *plan;
    load_result_t *result;
    int64_t now_ms;
    uint64_t arrivals; /* state of the generator of jobs, which no decision of
                        * the scheduler changes */
    uint64_t runs_random;
    uint64_t next_job;
    uint32_t run_count;
    sim_run_t runs[65536];
    uint32_t advice_count;
    sim_advice_t advice[ADVICE_MAX];
    uint32_t wait_counts[Fv_LOAD_QUEUES_MAX];
    int64_t waits_ms[Fv_LOAD_QUEUES_MAX][65536];
} load_sim_t;

/* Also used outside of CUnit's suites. */
static void
require(bool condition)
{
    if (!condition) {
        abort();
    }
}

static double
uniform(uint64_t *state)
{
    *state ^= *state << 13;
    *state ^= *state >> 7;
    *state ^= *state << 17;
    return (double)(*state >> 11) / 9007199254740992.0;
}

static double
lognormal(uint64_t *state, double deviation)
{
    double u = uniform(state) + 1e-12;

    return exp(deviation * sqrt(-2.0 * log(u)) *
               cos(2.0 * 3.14159265358979 * uniform(state)));
}

static double
worker_factor(const load_sim_t *sim, const fv_sched_worker_t *worker)
{
    long number = strtol(worker->entry.id + 1, NULL, 10);
    long period =
        sim->plan->slow_share > 0.0 ? lround(1.0 / sim->plan->slow_share) : 0;

    return period > 0 && number % period == 0 ? sim->plan->slow_factor : 1.0;
}

static bool
start(fv_sched_t *sched, fv_sched_task_t *task, const fv_verdict_t *verdict)
{
    load_sim_t *sim = (load_sim_t *)sched;
    sim_job_t *job = task->stage->job->waiters;
    double from = job->done[task->stage->step_index][task->index];
    double run_ms = (double)job->run_ms * worker_factor(sim, task->worker) *
                    lognormal(&sim->runs_random, sim->plan->spread) *
                    (1.0 - from);

    (void)verdict;
    require(sim->run_count < 65536);
    sim->runs[sim->run_count++] = (sim_run_t){
        .task = task,
        .worker = task->worker,
        .run = task->run,
        .started_ms = sim->now_ms,
        .ends_ms = sim->now_ms + (int64_t)run_ms + (from > 0 ? RESTORE_MS : 1),
        .stops_ms = INT64_MAX,
        .from = from};
    if (job->first_start_ms == 0) {
        job->first_start_ms = sim->now_ms;
        sim->waits_ms[job->queue][sim->wait_counts[job->queue]++] =
            sim->now_ms - task->stage->job->received_ms;
    }
    return true;
}

static void
stop(fv_sched_t *sched, fv_sched_task_t *task)
{
    load_sim_t *sim = (load_sim_t *)sched;

    for (uint32_t i = 0; i < sim->run_count; i++) {
        if (sim->runs[i].task == task && sim->runs[i].run == task->run) {
            sim->runs[i].stops_ms = sim->now_ms + STOP_MS;
        }
    }
}

static void
stop_orphan_run(fv_sched_t *sched, fv_sched_worker_t *worker, const char *task,
                int32_t run)
{
    (void)sched;
    (void)worker;
    (void)task;
    (void)run;
}

static bool
request_advice(fv_sched_t *sched, fv_sched_stage_t *stage,
               fv_sched_worker_t *const *workers, uint32_t count)
{
    load_sim_t *sim = (load_sim_t *)sched;
    const fv_cell_queue_t *queue = &stage->job->queue;
    sim_advice_t *advice = &sim->advice[sim->advice_count];

    if (sim->advice_count == ADVICE_MAX) {
        return false;
    }
    sim->advice_count++;
    advice->at_ms =
        sim->now_ms +
        (queue->advice_base_us + count * queue->advice_per_worker_us) / 1000;
    FvText_Copy(advice->job, sizeof(advice->job), stage->job->id);
    advice->step = stage->step_index;
    advice->count = count;
    for (uint32_t i = 0; i < count; i++) {
        advice->workers[i] = workers[i];
    }
    sim->result->advice_calls++;
    return true;
}

static void
record(fv_sched_t *sched, fv_sched_job_t *job, fv_record_kind_t kind)
{
    (void)sched;
    if (kind == Fv_RECORD_END) {
        job->recorded = job->outcome;
    }
}

static void
request_report(fv_sched_t *sched, fv_sched_worker_t *worker)
{
    (void)sched;
    (void)worker;
}

static const fv_sched_ops_t load_ops = {
    .decode = FvPlatform_DecodeJobSpec,
    .start = start,
    .stop = stop,
    .stop_orphan_run = stop_orphan_run,
    .request_advice = request_advice,
    .record = record,
    .request_report = request_report,
};

static void
add_workers(load_sim_t *sim)
{
    for (uint32_t i = 0; i < sim->plan->workers; i++) {
        fv_worker_entry_t entry = {.service = "s",
                                   .cpu_millis = sim->plan->worker_cpu_millis,
                                   .memory_mib = sim->plan->worker_memory_mib,
                                   .started_wall_ms = 1};
        fv_worker_report_t report = {.clock_ms = 1000, .started_wall_ms = 1};
        fv_sched_worker_t *worker;

        snprintf(entry.id, sizeof(entry.id), "w%u", i);
        snprintf(entry.rack, sizeof(entry.rack), "r%u", i / 20);
        worker = FvSched_UpdateWorker(&sim->sched, &entry, sim->now_ms);
        worker->in_worker_list = true;
        worker->long_lease_stored = true;
        FvSched_ApplyReport(&sim->sched, worker, &report, sim->now_ms,
                            sim->now_ms);
    }
}

static void
submit(load_sim_t *sim, uint32_t index)
{
    const load_queue_t *queue = &sim->plan->queues[index];
    bool two_steps = uniform(&sim->arrivals) < queue->two_steps;
    sim_job_t *state = calloc(1, sizeof(*state));
    char id[Fv_JOB_ID_SIZE];
    char step[256];
    char text[1024];
    fv_job_spec_t spec;
    fv_sched_job_t *job;

    require(state != NULL);
    state->queue = index;
    state->run_ms =
        (int64_t)((double)queue->run_ms / (1.0 + queue->two_steps) *
                  lognormal(&sim->arrivals, sim->plan->spread));
    state->allowed_share = 0.35 + 0.35 * uniform(&sim->arrivals);
    state->seed = (uint64_t)(uniform(&sim->arrivals) * 1e15);
    state->objective_ms =
        queue->queue.objective_ms +
        (int64_t)(queue->queue.stretch * (double)state->run_ms *
                  (two_steps ? 2.0 : 1.0));
    snprintf(
        step, sizeof(step),
        "\"count\":%d,\"cpu\":%lld,\"memMb\":%lld,\"estimatedMs\":%lld,"
        "\"gang\":%s,\"checkpointing\":%s",
        queue->tasks, (long long)queue->cpu_millis,
        (long long)queue->memory_mib,
        (long long)((double)state->run_ms *
                    lognormal(&sim->arrivals, sim->plan->declared_spread)) +
            1,
        queue->gang ? "true" : "false",
        uniform(&sim->arrivals) < queue->checkpointing ? "true" : "false");
    snprintf(text, sizeof(text), "{\"taskSpec\":\"x\",\"steps\":[{%s}%s%s%s]}",
             step, two_steps ? ",{" : "", two_steps ? step : "",
             two_steps ? ",\"after\":[0]}" : "");
    require(FvPlatform_DecodeJobSpec(text, strlen(text), &spec));
    snprintf(id, sizeof(id), "%016llx", (unsigned long long)++sim->next_job);
    job = FvSched_AddJob(&sim->sched, id, &queue->queue, &spec, text,
                         strlen(text), sim->now_ms, sim->now_ms);
    job->waiters = state;
    FvSched_MarkJobDurable(&sim->sched, job);
    FvSched_ReleaseStages(&sim->sched, job, sim->now_ms, sim->now_ms);
    sim->result->queues[index].jobs++;
}

static void
submit_arrivals(load_sim_t *sim, int64_t since_begin_ms)
{
    const load_plan_t *plan = sim->plan;
    double swing = 1.0 + plan->swing * sin(2.0 * 3.14159265358979 *
                                           (double)since_begin_ms /
                                           (double)plan->swing_period_ms);
    bool burst = since_begin_ms >= plan->burst_from_ms &&
                 since_begin_ms < plan->burst_until_ms;

    for (uint32_t q = 0; q < plan->queue_count; q++) {
        double expected = plan->queues[q].jobs_per_s * TICK_MS / 1000.0 *
                          swing * (burst ? plan->burst_factors[q] : 1.0);

        while (uniform(&sim->arrivals) < expected / (1.0 + expected)) {
            submit(sim, q); /* a geometric number of this mean */
        }
    }
}

static bool
is_allowed(const sim_job_t *job, uint32_t step,
           const fv_sched_worker_t *worker)
{
    uint64_t hash = job->seed ^ (step * UINT64_C(0x9e3779b97f4a7c15));

    for (const char *c = worker->entry.id; *c != '\0'; c++) {
        hash = (hash ^ (uint64_t)*c) * UINT64_C(0x100000001b3);
    }
    hash ^= hash >> 29;
    hash *= UINT64_C(0xbf58476d1ce4e5b9);
    return (double)(hash >> 11) / 9007199254740992.0 < job->allowed_share;
}

static void
answer_advice(load_sim_t *sim, const sim_advice_t *answer)
{
    fv_sched_job_t *job = FvSched_FindJob(&sim->sched, answer->job);
    fv_advice_row_t rows[Fv_FIXTURE_ADVISED_MAX];
    fv_advice_t advice = {.rows = rows};

    if (job == NULL || job->occurrences[0]->stages == NULL) {
        return;
    }
    for (uint32_t i = 0; i < answer->count; i++) {
        if (is_allowed(job->waiters, answer->step, answer->workers[i])) {
            fv_advice_row_t *row = &rows[advice.row_count++];

            FvText_Copy(row->worker_id, sizeof(row->worker_id),
                        answer->workers[i]->entry.id);
            row->ticket = "t";
        }
    }
    FvSched_ApplyAdvice(&sim->sched,
                        &job->occurrences[0]->stages[answer->step],
                        answer->workers, answer->count, &advice, sim->now_ms);
}

static void
answer_due_advice(load_sim_t *sim)
{
    for (uint32_t i = 0; i < sim->advice_count;) {
        if (sim->advice[i].at_ms <= sim->now_ms) {
            sim_advice_t answer = sim->advice[i];

            sim->advice[i] = sim->advice[--sim->advice_count];
            answer_advice(sim, &answer);
        }
        else {
            i++;
        }
    }
}

static double
share_done(const load_sim_t *sim, const sim_run_t *run)
{
    double share = (double)(sim->now_ms - run->started_ms) /
                   (double)(run->ends_ms - run->started_ms);

    return run->from + (1.0 - run->from) * (share < 1.0 ? share : 1.0);
}

/* Reports an end together with the tasks that still run there. */
static void
report_end(load_sim_t *sim, const sim_run_t *run, fv_run_end_t end)
{
    fv_sched_worker_t *worker = run->worker;
    fv_running_row_t running[256];
    fv_ended_row_t ended = {
        .number = worker->last_end_applied + 1, .run = run->run, .end = end};
    fv_worker_report_t report = {.clock_ms = sim->now_ms,
                                 .started_wall_ms = 1,
                                 .running = running,
                                 .ended = &ended,
                                 .ended_count = 1};

    FvSched_TaskName(run->task, ended.task_id, sizeof(ended.task_id));
    ended.checkpoint =
        end == Fv_END_STOPPED && run->task->stage->step->checkpoints ? "c"
                                                                     : NULL;
    for (uint32_t i = 0; i < sim->run_count; i++) {
        const sim_run_t *other = &sim->runs[i];
        fv_running_row_t *row = &running[report.running_count];

        if (other->task == NULL || other->worker != worker || other == run) {
            continue;
        }
        *row = (fv_running_row_t){.run = other->run,
                                  .percent =
                                      (int32_t)(100 * share_done(sim, other))};
        FvSched_TaskName(other->task, row->task_id, sizeof(row->task_id));
        report.running_count++;
    }
    FvSched_ApplyReport(&sim->sched, worker, &report, sim->now_ms,
                        sim->now_ms);
}

static void
end_run(load_sim_t *sim, sim_run_t *run)
{
    const fv_sched_stage_t *stage = run->task->stage;
    sim_job_t *job = stage->job->waiters;
    double core_s = (double)(sim->now_ms - run->started_ms) *
                    (double)stage->step->cpu_millis / 1e6;
    bool stopped = run->stops_ms <= sim->now_ms && run->ends_ms > sim->now_ms;

    sim->result->used_cpu += core_s;
    if (stopped) {
        sim->result->preemptions++;
        if (stage->step->checkpoints) {
            job->done[stage->step_index][run->task->index] =
                share_done(sim, run);
        }
        else {
            sim->result->discarded_cpu += core_s;
        }
    }
    report_end(sim, run, stopped ? Fv_END_STOPPED : Fv_END_DONE);
    run->task = NULL;
}

/* A gang ends when its slowest member does. */
static bool
has_gang_ended(const load_sim_t *sim, const sim_run_t *run)
{
    const fv_sched_stage_t *stage = run->task->stage;

    for (uint32_t i = 0; stage->step->gang && i < sim->run_count; i++) {
        if (sim->runs[i].task != NULL && sim->runs[i].task->stage == stage &&
            sim->runs[i].ends_ms > sim->now_ms) {
            return false;
        }
    }
    return true;
}

static void
end_due_runs(load_sim_t *sim)
{
    uint32_t kept = 0;

    for (uint32_t i = 0; i < sim->run_count; i++) {
        sim_run_t *run = &sim->runs[i];

        if (run->task->state == Fv_SCHED_STARTING &&
            run->task->run == run->run) {
            FvSched_StartAnswered(&sim->sched, run->task, run->run,
                                  Fv_ORDER_DONE, sim->now_ms);
        }
    }
    for (uint32_t i = 0; i < sim->run_count; i++) {
        sim_run_t *run = &sim->runs[i];

        if (run->task == NULL) {
            continue;
        }
        if (run->stops_ms <= sim->now_ms ||
            (run->ends_ms <= sim->now_ms && has_gang_ended(sim, run))) {
            end_run(sim, run);
        }
    }
    for (uint32_t i = 0; i < sim->run_count; i++) {
        if (sim->runs[i].task != NULL) {
            sim->runs[kept++] = sim->runs[i];
        }
    }
    sim->run_count = kept;
}

static void
remove_ended_jobs(load_sim_t *sim)
{
    fv_sched_job_t *next;

    for (fv_sched_job_t *job = sim->sched.jobs; job != NULL; job = next) {
        sim_job_t *state = job->waiters;
        load_queue_result_t *result = &sim->result->queues[state->queue];

        next = job->hh.next;
        if (job->recorded == Fv_SCHED_JOB_OPEN || job->running_tasks > 0) {
            continue;
        }
        result->met += job->ended_ms - job->received_ms <= state->objective_ms;
        result->within +=
            job->ended_ms - job->received_ms <= 3 * state->objective_ms;
        FvSched_RemoveJob(&sim->sched, job);
        free(state);
    }
}

static void
count_idle(load_sim_t *sim)
{
    load_result_t *result = sim->result;
    fv_sched_load_t load;
    bool single = false;
    double idle;

    FvSched_GetLoad(&sim->sched, sim->now_ms, &load);
    idle = 1.0 - (double)load.used_cpu_millis / (double)load.cpu_millis;
    for (const fv_sched_stage_t *stage = sim->sched.pending;
         stage != NULL && !single; stage = stage->pending_next) {
        /* A stage that has just come waits for tickets. */
        single = stage->waiting > 0 && !stage->step->gang &&
                 sim->now_ms - stage->waiting_since_ms > 300;
    }
    if (single) {
        result->waiting_ms += TICK_MS;
        result->idle_share += TICK_MS * idle;
    }
    else if (load.tasks_waiting > 0) {
        result->gang_waiting_ms += TICK_MS;
        result->gang_idle_share += TICK_MS * idle;
    }
}

static double
cpu_time_us(void)
{
    struct timespec time;

    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return (double)time.tv_sec * 1e6 + (double)time.tv_nsec / 1e3;
}

static int
by_time(const void *left, const void *right)
{
    int64_t a = *(const int64_t *)left;
    int64_t b = *(const int64_t *)right;

    return a < b ? -1 : a > b;
}

static void
finish(load_sim_t *sim)
{
    load_result_t *result = sim->result;

    result->idle_share /= result->waiting_ms > 0 ? result->waiting_ms : 1.0;
    result->gang_idle_share /=
        result->gang_waiting_ms > 0 ? result->gang_waiting_ms : 1.0;
    result->pass_us /= result->passes > 0 ? result->passes : 1;
    for (uint32_t q = 0; q < sim->plan->queue_count; q++) {
        uint32_t count = sim->wait_counts[q];

        if (count > 0) {
            qsort(sim->waits_ms[q], count, sizeof(int64_t), by_time);
            result->queues[q].first_start_p50_ms = sim->waits_ms[q][count / 2];
            result->queues[q].first_start_p99_ms =
                sim->waits_ms[q][count * 99 / 100];
            result->queues[q].first_start_max_ms = sim->waits_ms[q][count - 1];
        }
    }
    while (sim->sched.jobs != NULL) {
        sim_job_t *state = sim->sched.jobs->waiters;

        result->queues[state->queue].unfinished++;
        FvSched_RemoveJob(&sim->sched, sim->sched.jobs);
        free(state);
    }
    FvSched_Clear(&sim->sched);
}

/**
 * FvLoadSim_Run - run a plan
 * @plan: the plan
 * @result: receives what callers and the cell got
 */
void
FvLoadSim_Run(const load_plan_t *plan, load_result_t *result)
{
    load_sim_t *sim = calloc(1, sizeof(*sim));
    int64_t begin_ms = 1000000;
    int64_t passed_ms = 0;

    require(sim != NULL);
    *result = (load_result_t){0};
    sim->plan = plan;
    sim->result = result;
    sim->now_ms = begin_ms;
    sim->arrivals = plan->seed * UINT64_C(0x9e3779b97f4a7c15) + 1;
    sim->runs_random = sim->arrivals + 1;
    FvSched_Init(&sim->sched, &load_ops,
                 &(fv_sched_timeouts_t){.lease_ms = 4500,
                                        .lease_max_ms = 9000,
                                        .stop_max_ms = 400,
                                        .gang_refill_ms = 2000});
    add_workers(sim);
    for (; sim->now_ms < begin_ms + plan->last_ms; sim->now_ms += TICK_MS) {
        if (sim->now_ms < begin_ms + plan->traffic_ms) {
            submit_arrivals(sim, sim->now_ms - begin_ms);
        }
        end_due_runs(sim);
        remove_ended_jobs(sim);
        answer_due_advice(sim);
        if (sim->sched.dirty || sim->now_ms - passed_ms >= PASS_MAX_MS) {
            double before_us = cpu_time_us();

            FvSched_RunPass(&sim->sched, sim->now_ms, sim->now_ms);
            result->pass_us += cpu_time_us() - before_us;
            result->passes++;
            passed_ms = sim->now_ms;
        }
        count_idle(sim);
    }
    finish(sim);
    free(sim);
}

/**
 * FvLoadSim_Broadcast - the measured load of a cell of 350 workers, of which a
 * third is slow, with a crest above capacity
 * @plan: filled in
 */
void
FvLoadSim_Broadcast(load_plan_t *plan)
{
    *plan = (load_plan_t){.seed = 1,
                          .workers = 350,
                          .worker_cpu_millis = 64000,
                          .worker_memory_mib = 131072,
                          .slow_share = 1.0 / 3.0,
                          .slow_factor = 2.4,
                          .spread = 0.2,
                          .declared_spread = 0.5,
                          .traffic_ms = 34000,
                          .swing = 0.55,
                          .swing_period_ms = 17000,
                          .burst_from_ms = 20000,
                          .burst_until_ms = 24000,
                          .burst_factors = {1.0, 2.0, 1.0},
                          .last_ms = 70000,
                          .queue_count = 3,
                          .queues = {
                              {.queue = {.name = "urgent",
                                         .service = "s",
                                         .attempts_max = 3,
                                         .stretch = 1.5,
                                         .objective_ms = 500,
                                         .needs_advice = true,
                                         .advice_base_us = 9000,
                                         .advice_per_worker_us = 130,
                                         .ticket_valid_ms = 2500},
                               .jobs_per_s = 97,
                               .tasks = 3,
                               .cpu_millis = 10000,
                               .memory_mib = 4000,
                               .run_ms = 680},
                              {.queue = {.name = "gangs",
                                         .service = "s",
                                         .priority = 1,
                                         .attempts_max = 3,
                                         .stretch = 2.2,
                                         .objective_ms = 1200,
                                         .needs_advice = true,
                                         .advice_base_us = 200000,
                                         .advice_per_worker_us = 3000,
                                         .ticket_valid_ms = 2500},
                               .jobs_per_s = 5.3,
                               .tasks = 20,
                               .cpu_millis = 18000,
                               .memory_mib = 26000,
                               .run_ms = 3400,
                               .gang = true,
                               .checkpointing = 0.5},
                              {.queue = {.name = "batch",
                                         .service = "s",
                                         .priority = 2,
                                         .attempts_max = 3,
                                         .stretch = 4.0,
                                         .objective_ms = 3000,
                                         .needs_advice = true,
                                         .advice_base_us = 80000,
                                         .advice_per_worker_us = 1200,
                                         .ticket_valid_ms = 2500},
                               .jobs_per_s = 10.8,
                               .tasks = 25,
                               .cpu_millis = 7000,
                               .memory_mib = 6000,
                               .run_ms = 2850,
                               .checkpointing = 0.8,
                               .two_steps = 0.5},
                          }};
}

/**
 * FvLoadSim_Print - print a result
 * @plan: the plan
 * @result: the result
 */
void
FvLoadSim_Print(const load_plan_t *plan, const load_result_t *result)
{
    for (uint32_t q = 0; q < plan->queue_count; q++) {
        const load_queue_result_t *queue = &result->queues[q];

        printf("%-8s jobs=%u met=%.1f%% within=%.1f%% unfinished=%u "
               "first_start_ms p50=%lld p99=%lld max=%lld\n",
               plan->queues[q].queue.name, queue->jobs,
               100.0 * queue->met / queue->jobs,
               100.0 * queue->within / queue->jobs, queue->unfinished,
               (long long)queue->first_start_p50_ms,
               (long long)queue->first_start_p99_ms,
               (long long)queue->first_start_max_ms);
    }
    printf("gang_idle=%.1f%% of %.1f s ", 100.0 * result->gang_idle_share,
           result->gang_waiting_ms / 1000.0);
    printf("idle=%.1f%% of %.1f s discarded=%.0f of %.0f core-s stops=%u "
           "advice=%u passes=%u of %.0f us\n",
           100.0 * result->idle_share, result->waiting_ms / 1000.0,
           result->discarded_cpu, result->used_cpu, result->preemptions,
           result->advice_calls, result->passes, result->pass_us);
}
