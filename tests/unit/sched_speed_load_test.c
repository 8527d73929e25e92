/*
 * A simulated cell of which a third of the workers take 2.4 times as long as
 * the others: how many jobs complete within their objective.
 */

#include "sched-fixture.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WORKERS 90
#define CORES 64
#define STEP_MS 10
#define JOBS_MAX 8000
#define RUNS_MAX 8000
#define CALLS_MAX 256
#define ALLOWED_PERCENT 50 /* of the workers, by the advice service */
#define FAST_FACTOR 0.7
#define SLOW_FACTOR 1.7
#define NOISE 0.22
#define OUTLIER_PERCENT 0.5
#define OUTLIER_FACTOR 7.0
#define DECLARED_ERROR 0.5 /* of the logarithm */
#define DEMAND_PERIOD_MS 17000.0
#define DEMAND_SWING 0.55 /* of the demand, around its mean */

/* A queue and its jobs, as the broadcast customer has them. */
typedef struct sim_queue {
    fv_cell_queue_t queue;
    int32_t tasks;
    int64_t cpu_millis;
    double run_ms;
    bool gang;
    double jobs_per_s;
    uint32_t jobs;
    uint32_t in_time;
} sim_queue_t;

typedef struct sim_job {
    sim_queue_t *queue;
    char id[Fv_JOB_ID_SIZE];
    int64_t received_ms;
    double run_ms; /* on a worker of factor 1 */
    uint64_t seed; /* of its run times, whatever the order of events */
} sim_job_t;

typedef struct sim_run {
    char task[Fv_RUN_TASK_ID_SIZE];
    char worker[Fv_NAME_SIZE];
    int32_t run;
    const sim_job_t *job;
    int64_t end_ms;
    bool stopped;
} sim_run_t;

typedef struct sim_call {
    char job[Fv_JOB_ID_SIZE];
    int64_t answer_ms;
    uint32_t count;
    fv_sched_worker_t *workers[Fv_FIXTURE_ADVISED_MAX];
} sim_call_t;

static sched_fixture_t fixture;
static fv_sched_ops_t ops;
static sim_job_t jobs[JOBS_MAX];
static uint32_t job_count;
static sim_run_t runs[RUNS_MAX];
static uint32_t run_count;
static sim_call_t calls[CALLS_MAX];
static uint32_t call_count;
static double factors[WORKERS];
static int64_t end_numbers[WORKERS];
static uint64_t seed;
static uint64_t orders_hash;
static uint32_t idle_steps; /* in which a worker idles beside waiting tasks */

static double
random_share(uint64_t *state)
{
    *state = *state * UINT64_C(6364136223846793005) + 1442695040888963407;
    return (double)(*state >> 40) / (double)(1 << 24);
}

static uint32_t
worker_index(const char *id)
{
    return (uint32_t)strtoul(id + 1, NULL, 10);
}

static bool
request_advice(fv_sched_t *sched, fv_sched_stage_t *stage,
               fv_sched_worker_t *const *workers, uint32_t count)
{
    sim_call_t *call = &calls[call_count];
    const fv_cell_queue_t *queue = &stage->job->queue;

    (void)sched;
    if (call_count == CALLS_MAX) {
        return false;
    }
    call_count++;
    FvText_Copy(call->job, sizeof(call->job), stage->job->id);
    call->answer_ms =
        fixture.now_ms +
        (queue->advice_base_us + count * queue->advice_per_worker_us) / 1000;
    call->count = count;
    for (uint32_t i = 0; i < count; i++) {
        call->workers[i] = workers[i];
    }
    return true;
}

static bool
is_allowed(const char *job, const char *worker)
{
    uint32_t hash = 2166136261U;

    for (const char *c = job; *c != '\0'; c++) {
        hash = (hash ^ (uint32_t)*c) * 16777619U;
    }
    for (const char *c = worker; *c != '\0'; c++) {
        hash = (hash ^ (uint32_t)*c) * 16777619U;
    }
    return (hash ^ hash >> 15) % 100 < ALLOWED_PERCENT;
}

static void
answer_calls(void)
{
    for (uint32_t i = 0; i < call_count;) {
        sim_call_t call = calls[i];
        fv_advice_row_t rows[Fv_FIXTURE_ADVISED_MAX];
        fv_advice_t advice = {.rows = rows};
        fv_sched_job_t *job;

        if (call.answer_ms > fixture.now_ms) {
            i++;
            continue;
        }
        calls[i] = calls[--call_count];
        job = FvSched_FindJob(&fixture.sched, call.job);
        if (job == NULL) {
            continue;
        }
        for (uint32_t w = 0; w < call.count; w++) {
            const char *id = call.workers[w]->entry.id;

            if (is_allowed(call.job, id)) {
                FvText_Copy(rows[advice.row_count].worker_id, Fv_NAME_SIZE,
                            id);
                rows[advice.row_count++].ticket = "t";
            }
        }
        FvSched_ApplyAdvice(&fixture.sched, &job->occurrences[0]->stages[0],
                            call.workers, call.count, &advice, fixture.now_ms);
    }
}

static void
add_job(sim_queue_t *queue)
{
    sim_job_t *job = &jobs[job_count];
    char document[256];
    double declared;

    CU_ASSERT_FATAL(job_count < JOBS_MAX);
    job_count++;
    job->queue = queue;
    job->received_ms = fixture.now_ms;
    job->seed = job_count;
    job->run_ms =
        queue->run_ms * exp(0.3 * FvSchedFixture_RandomNormal(&job->seed));
    declared = job->run_ms *
               exp(DECLARED_ERROR * FvSchedFixture_RandomNormal(&job->seed));
    snprintf(job->id, sizeof(job->id), "%016x", job_count);
    snprintf(document, sizeof(document),
             "{\"taskSpec\":\"x\",\"steps\":[{\"count\":%d,\"cpu\":%lld,"
             "\"memMb\":1,\"estimatedMs\":%lld%s}]}",
             queue->tasks, (long long)queue->cpu_millis, (long long)declared,
             queue->gang ? ",\"gang\":true" : "");
    FvSchedFixture_AddJob(&fixture, job->id, &queue->queue, document);
    queue->jobs++;
}

static void
arrive(sim_queue_t *queue, double load)
{
    double demand =
        1.0 + DEMAND_SWING *
                  sin(2.0 * M_PI * (double)fixture.now_ms / DEMAND_PERIOD_MS);

    if (random_share(&seed) <
        queue->jobs_per_s * load * demand * STEP_MS / 1000.0) {
        add_job(queue);
    }
}

/* A gang's members end together, with the slowest of them. */
static void
update_gang(const sim_job_t *job)
{
    double factor = 0.0;
    int64_t start_ms = fixture.now_ms;
    int32_t members = 0;

    for (uint32_t i = 0; i < run_count; i++) {
        if (runs[i].job == job && !runs[i].stopped) {
            factor = fmax(factor, factors[worker_index(runs[i].worker)]);
            members++;
        }
    }
    for (uint32_t i = 0; i < run_count; i++) {
        if (runs[i].job == job && !runs[i].stopped) {
            runs[i].end_ms = members == job->queue->tasks
                                 ? start_ms + (int64_t)(job->run_ms * factor)
                                 : INT64_MAX;
        }
    }
}

static void
begin_run(const fixture_order_t *order)
{
    sim_run_t *run = &runs[run_count];
    uint32_t number = (uint32_t)strtoul(order->task, NULL, 16);
    double run_ms;
    uint64_t task_seed =
        jobs[number - 1].seed +
        997 * strtoul(strrchr(order->task, '.') + 1, NULL, 10);

    CU_ASSERT_FATAL(run_count < RUNS_MAX);
    run_count++;
    *run = (sim_run_t){.run = order->run, .job = &jobs[number - 1]};
    FvText_Copy(run->task, sizeof(run->task), order->task);
    FvText_Copy(run->worker, sizeof(run->worker), order->worker);
    run_ms = run->job->run_ms * factors[worker_index(order->worker)] *
             exp(NOISE * FvSchedFixture_RandomNormal(&task_seed));
    if (run->job->queue->gang) {
        update_gang(run->job);
        return;
    }
    run_ms *= random_share(&task_seed) * 100 < OUTLIER_PERCENT ? OUTLIER_FACTOR
                                                               : 1.0;
    run->end_ms = fixture.now_ms + 1 + (int64_t)run_ms;
}

static void
carry_out_orders(void)
{
    for (uint32_t i = 0; i < fixture.order_count; i++) {
        const fixture_order_t *order = &fixture.orders[i];

        orders_hash = orders_hash * UINT64_C(1099511628211) +
                      worker_index(order->worker) * 2 + order->stop;
        if (!order->stop) {
            begin_run(order);
            continue;
        }
        for (uint32_t r = 0; r < run_count; r++) {
            if (strcmp(runs[r].task, order->task) == 0) {
                runs[r].stopped = true;
                runs[r].end_ms = fixture.now_ms + 300;
            }
        }
    }
    FvSchedFixture_ConfirmStarts(&fixture);
    fixture.order_count = 0;
}

static void
end_runs(void)
{
    for (uint32_t i = 0; i < run_count;) {
        sim_run_t run = runs[i];

        if (run.end_ms > fixture.now_ms) {
            i++;
            continue;
        }
        runs[i] = runs[--run_count];
        FvSchedFixture_ReportEnd(
            &fixture, run.worker, ++end_numbers[worker_index(run.worker)],
            run.task, run.run, run.stopped ? Fv_END_STOPPED : Fv_END_DONE);
    }
}

static void
collect_jobs(void)
{
    fv_sched_job_t *next;

    for (fv_sched_job_t *job = fixture.sched.jobs; job != NULL; job = next) {
        sim_job_t *known = &jobs[strtoul(job->id, NULL, 16) - 1];
        double objective_ms = known->queue->queue.stretch * known->run_ms +
                              (double)known->queue->queue.objective_ms;

        next = job->hh.next;
        if (job->outcome == Fv_SCHED_JOB_OPEN || job->running_tasks > 0) {
            continue;
        }
        known->queue->in_time +=
            job->ended_ms - known->received_ms <= (int64_t)objective_ms;
        FvSched_RemoveJob(&fixture.sched, job);
    }
}

/* Whether a worker has room for a task of a stage that waits. */
static bool
idles(void)
{
    for (const fv_sched_stage_t *stage = fixture.sched.pending; stage != NULL;
         stage = stage->pending_next) {
        for (const fv_sched_worker_t *worker = fixture.sched.workers;
             stage->waiting > 0 && worker != NULL; worker = worker->hh.next) {
            if (FvSched_FreeStageCapacity(worker, stage) > 0) {
                return true;
            }
        }
    }
    return false;
}

static void
open_cell(bool learning, double slow_factor)
{
    char id[Fv_NAME_SIZE];

    FvSchedFixture_Open(&fixture, 1);
    fixture.sched.speeds.learning = learning;
    ops = *fixture.sched.ops;
    ops.request_advice = request_advice;
    fixture.sched.ops = &ops;
    seed = 5;
    job_count = 0;
    run_count = 0;
    call_count = 0;
    orders_hash = 0;
    idle_steps = 0;
    memset(end_numbers, 0, sizeof(end_numbers));
    for (int i = 0; i < WORKERS; i++) {
        snprintf(id, sizeof(id), "w%d", i);
        FvSchedFixture_AddWorker(&fixture, id, "r1", CORES * 1000);
        factors[i] = i % 3 == 0 ? slow_factor : FAST_FACTOR;
    }
}

/* @load: demand relative to the capacity of the cell, in the mean */
static void
simulate(sim_queue_t *queues, uint32_t count, double load, int64_t duration_ms)
{
    for (int64_t end_ms = fixture.now_ms + duration_ms;
         fixture.now_ms < end_ms; fixture.now_ms += STEP_MS) {
        for (uint32_t q = 0; q < count; q++) {
            arrive(&queues[q], load);
        }
        end_runs();
        answer_calls();
        FvSchedFixture_RunPass(&fixture);
        carry_out_orders();
        collect_jobs();
        idle_steps += idles();
    }
    for (uint32_t q = 0; q < count; q++) {
        printf("\n    learning=%d uneven=%d load=%.1f %s: %u of %u in time",
               fixture.sched.speeds.learning, fixture.sched.speeds.uneven,
               load, queues[q].queue.name, queues[q].in_time, queues[q].jobs);
    }
    FvSchedFixture_Close(&fixture);
}

static const sim_queue_t urgent = {.queue = {.name = "urgent",
                                             .service = "s",
                                             .attempts_max = 3,
                                             .stretch = 1.5,
                                             .objective_ms = 500,
                                             .needs_advice = true,
                                             .advice_base_us = 12000,
                                             .advice_per_worker_us = 170,
                                             .ticket_valid_ms = 2000},
                                   .tasks = 3,
                                   .cpu_millis = 4000,
                                   .run_ms = 680.0,
                                   .jobs_per_s = 42.0};
static const sim_queue_t gangs = {.queue = {.name = "gangs",
                                            .service = "s",
                                            .priority = 1,
                                            .attempts_max = 3,
                                            .stretch = 2.2,
                                            .objective_ms = 1200,
                                            .needs_advice = true,
                                            .advice_base_us = 440000,
                                            .advice_per_worker_us = 6400,
                                            .ticket_valid_ms = 2000},
                                  .tasks = 20,
                                  .cpu_millis = 18000,
                                  .run_ms = 3400.0,
                                  .gang = true,
                                  .jobs_per_s = 1.5};
static const sim_queue_t batch = {.queue = {.name = "batch",
                                            .service = "s",
                                            .priority = 2,
                                            .attempts_max = 3,
                                            .stretch = 4.0,
                                            .objective_ms = 3000,
                                            .needs_advice = true,
                                            .advice_base_us = 100000,
                                            .advice_per_worker_us = 1400,
                                            .ticket_valid_ms = 2000},
                                  .tasks = 25,
                                  .cpu_millis = 7000,
                                  .run_ms = 1900.0,
                                  .jobs_per_s = 8.0};

/* A third of the workers are slow, and demand is below capacity but for its
 * crests: urgent work is in time on fast workers, and what has slack stays in
 * time on slow ones. */
static void
test_urgent_work_is_in_time(void)
{
    sim_queue_t off[] = {urgent, gangs, batch};
    sim_queue_t on[] = {urgent, gangs, batch};

    open_cell(false, SLOW_FACTOR);
    simulate(off, 3, 0.7, 60000);
    open_cell(true, SLOW_FACTOR);
    simulate(on, 3, 0.7, 60000);
    CU_ASSERT(on[0].in_time > off[0].in_time * 1.1);
    CU_ASSERT(on[0].in_time > on[0].jobs * 0.93);
    CU_ASSERT(on[1].in_time >= off[1].in_time);
    CU_ASSERT(on[2].in_time > off[2].in_time * 0.95);
}

/* The same at a demand above capacity, where a gang with a slow member holds
 * its other workers 2.4 times as long. */
static void
test_gangs_take_similar_workers(void)
{
    sim_queue_t off[] = {urgent, gangs, batch};
    sim_queue_t on[] = {urgent, gangs, batch};

    open_cell(false, SLOW_FACTOR);
    simulate(off, 3, 1.0, 40000);
    open_cell(true, SLOW_FACTOR);
    simulate(on, 3, 1.0, 40000);
    CU_ASSERT(on[0].in_time > off[0].in_time * 1.1);
    CU_ASSERT(on[1].in_time > off[1].in_time * 1.2);
    CU_ASSERT(on[2].in_time > off[2].in_time * 1.2);
}

/* A crest above capacity, of work that needs no advice: no worker idles while
 * a task waits that it could run, fast or slow. */
static void
test_no_worker_idles_at_a_crest(void)
{
    sim_queue_t queues[] = {urgent, batch};

    queues[0].queue.needs_advice = false;
    queues[1].queue.needs_advice = false;
    open_cell(true, SLOW_FACTOR);
    simulate(queues, 2, 1.8, 30000);
    CU_ASSERT(queues[1].in_time < queues[1].jobs);
    CU_ASSERT_EQUAL(idle_steps, 0);
}

/* All workers are equal, and run times vary: each order is the same as without
 * learning. */
static void
test_equal_workers_change_nothing(void)
{
    sim_queue_t off[] = {urgent, gangs, batch};
    sim_queue_t on[] = {urgent, gangs, batch};
    uint64_t hash;

    open_cell(false, FAST_FACTOR);
    simulate(off, 3, 0.8, 60000);
    hash = orders_hash;
    open_cell(true, FAST_FACTOR);
    simulate(on, 3, 0.8, 60000);
    CU_ASSERT_EQUAL(orders_hash, hash);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"urgent work runs on slow workers while fast ones are free",
         test_urgent_work_is_in_time},
        {"gangs mix fast and slow workers", test_gangs_take_similar_workers},
        {"workers idle while tasks wait, for the sake of speed",
         test_no_worker_idles_at_a_crest},
        {"learning changes the choices among equal workers",
         test_equal_workers_change_nothing},
    };

    return Fv_RUN_SUITE("sched_speed_load", cases);
}
