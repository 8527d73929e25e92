/*
 * What callers get under the loads that src/sched-rank.c names, in simulated
 * cells of a third of the broadcast customer's size, each with three seeds.
 */

#include "load-sim.h"
#include "suite.h"

#include <stdio.h>

#define SCALE 3
#define SEEDS 3
#define URGENT 0
#define GANGS 1
#define BATCH 2

static load_plan_t plan;
static load_result_t result;
static load_result_t total; /* over the seeds */

/* Equal workers, with run times that make the mean demand 15,100 of 22,400
 * cores, or a third of that. */
static void
make_plan(void)
{
    FvLoadSim_Broadcast(&plan);
    plan.workers /= SCALE;
    plan.slow_share = 0.0;
    for (uint32_t q = 0; q < plan.queue_count; q++) {
        plan.queues[q].jobs_per_s /= SCALE;
        plan.queues[q].run_ms = plan.queues[q].run_ms * 109 / 100;
        plan.burst_factors[q] = 1.0;
    }
}

static double
in_time(uint32_t queue)
{
    return (double)total.queues[queue].met / total.queues[queue].jobs;
}

static void
run_seeds(void)
{
    total = (load_result_t){0};
    for (plan.seed = 1; plan.seed <= SEEDS; plan.seed++) {
        FvLoadSim_Run(&plan, &result);
        printf("\n");
        FvLoadSim_Print(&plan, &result);
        total.idle_share += result.idle_share / SEEDS;
        for (uint32_t q = 0; q < plan.queue_count; q++) {
            load_queue_result_t *sum = &total.queues[q];

            sum->jobs += result.queues[q].jobs;
            sum->met += result.queues[q].met;
            sum->unfinished += result.queues[q].unfinished;
            if (result.queues[q].first_start_max_ms >
                sum->first_start_max_ms) {
                sum->first_start_max_ms = result.queues[q].first_start_max_ms;
            }
        }
    }
    printf("    idle %.3f, in time: urgent %.3f gangs %.3f batch %.3f ",
           total.idle_share, in_time(URGENT), in_time(GANGS), in_time(BATCH));
    CU_ASSERT_EQUAL(total.queues[URGENT].unfinished, 0);
    CU_ASSERT_EQUAL(total.queues[BATCH].unfinished, 0);
}

/* Demand swings above capacity, and large jobs come at once. What the gangs
 * leave of their workers is used, and they are not starved for it. */
static void
test_crest_of_large_jobs(void)
{
    make_plan();
    plan.burst_factors[GANGS] = 2.2;
    run_seeds();
    CU_ASSERT(total.idle_share < 0.13);
    CU_ASSERT(in_time(URGENT) > 0.99);
    CU_ASSERT(in_time(GANGS) > 0.7);
    CU_ASSERT(in_time(BATCH) > 0.97);
}

/* Urgent jobs come at once, at the top of the crest. */
static void
test_burst_of_urgent_jobs(void)
{
    make_plan();
    plan.burst_factors[URGENT] = 2.2;
    run_seeds();
    CU_ASSERT(in_time(URGENT) > 0.99);
    CU_ASSERT(in_time(GANGS) > 0.85);
    CU_ASSERT(in_time(BATCH) > 0.97);
}

/* Every gang is larger than the cell, and its queue more urgent than the
 * batch. It never runs, and delays nothing. */
static void
test_gangs_that_can_never_be_done(void)
{
    make_plan();
    plan.queues[GANGS].cpu_millis = 60000;
    plan.queues[GANGS].tasks = 80;
    run_seeds();
    CU_ASSERT_EQUAL(total.queues[GANGS].met, 0);
    CU_ASSERT(in_time(URGENT) > 0.99);
    CU_ASSERT(in_time(BATCH) > 0.99);
    CU_ASSERT(total.queues[BATCH].first_start_max_ms < 1500);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a crest of large jobs leaves workers idle while tasks wait",
         test_crest_of_large_jobs},
        {"a burst of urgent jobs waits, or starves other work",
         test_burst_of_urgent_jobs},
        {"gangs that can never be done delay other work",
         test_gangs_that_can_never_be_done},
    };

    return Fv_RUN_SUITE("sched_crest", cases);
}
