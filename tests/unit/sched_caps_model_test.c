/*
 * Caps of customers in simulated cells, checked at each start by what the
 * workers run: with late orders, lowered caps and changes of leader. See
 * sched_model_test.c for the other guarantees.
 */

#include "sched-sim.h"
#include "suite.h"

#define SEEDS 40
#define FAULTS_END_MS 20000

/* Jobs wait for the caps of their customers as well as for capacity. */
#define DEADLINE_MS 200000

/* Longest wait of a task that could run: the usual 3 s, and after a change of
 * leader the time until each worker has reported and runs that the earlier
 * leader stopped have ended. */
#define START_AFTER_FAILOVER_MS 4000

/* The same beside workers that do not answer the new leader: inherited tasks
 * are held for 10.9 s at most. */
#define START_BESIDE_SILENT_WORKERS_MS 12000

static uint64_t first_seed = 1;
static uint32_t seeds = SEEDS;

static void
run_capped_seeds(const sim_faults_t *faults, bool advice)
{
    for (uint64_t seed = first_seed; seed < first_seed + seeds; seed++) {
        FvSchedSim_Check(&(sim_plan_t){.seed = seed,
                                       .workers = 10 + (uint32_t)(seed % 5),
                                       .jobs = 60,
                                       .faults_end_ms = FAULTS_END_MS,
                                       .deadline_ms = DEADLINE_MS,
                                       .advice = advice,
                                       .allowed_workers = 8,
                                       .advice_per_worker_us = 1500,
                                       .customers = 2 + (uint32_t)(seed % 3),
                                       .faults = *faults});
    }
}

/* What a customer runs, with tasks that are being stopped or start late, stays
 * below its cap. */
static void
test_caps(void)
{
    static const sim_faults_t late_orders = {.lost_orders = 400,
                                             .worker_outages = 600,
                                             .failing_tasks = 50,
                                             .job_cancellations = 500};

    run_capped_seeds(&(sim_faults_t){0}, false);
    run_capped_seeds(&late_orders, false);
    run_capped_seeds(&late_orders, true);
}

/* A lowered cap stops no tasks and lets none start. */
static void
test_lowered_caps(void)
{
    static const sim_faults_t faults = {.lost_orders = 150,
                                        .failing_tasks = 50,
                                        .worker_crashes = 150,
                                        .worker_outages = 150,
                                        .job_cancellations = 300,
                                        .cap_changes = 500};

    run_capped_seeds(&(sim_faults_t){.cap_changes = 1000}, false);
    run_capped_seeds(&faults, false);
    run_capped_seeds(&faults, true);
}

/* A new leader does not know at first what its predecessor has started. */
static void
test_caps_across_leaders(void)
{
    static const sim_faults_t failovers = {.lost_orders = 150,
                                           .lost_renewals = 50,
                                           .worker_outages = 300,
                                           .leader_failovers = 300,
                                           .leader_absence_ms = 1000,
                                           .job_cancellations = 500,
                                           .cap_changes = 300};
    static const sim_faults_t splits = {.lost_orders = 80,
                                        .worker_outages = 150,
                                        .leader_failovers = 50,
                                        .leader_handovers = 100,
                                        .job_cancellations = 300,
                                        .splits = 200,
                                        .cap_changes = 300};

    run_capped_seeds(&failovers, false);
    run_capped_seeds(&failovers, true);
    run_capped_seeds(&splits, false);
}

/* A customer that uses less than half of its cap waits for nothing but
 * capacity, and after a change of leader for the runs that are not known. */
static void
run_waiting_seeds(const sim_faults_t *faults, bool advice,
                  uint32_t start_bound_ms)
{
    for (uint64_t seed = first_seed; seed < first_seed + seeds; seed++) {
        FvSchedSim_Check(
            &(sim_plan_t){.seed = seed,
                          .workers = 24,
                          .jobs = 20 + (uint32_t)(seed % 7) * 20,
                          .faults_end_ms = FAULTS_END_MS,
                          .deadline_ms = DEADLINE_MS,
                          .advice = advice,
                          .allowed_workers = 8 + (uint32_t)(seed % 5),
                          .advice_per_worker_us = 15000,
                          .lasting_jobs = 150,
                          .check_waiting = true,
                          .customers = 2 + (uint32_t)(seed % 3),
                          .start_bound_ms = start_bound_ms,
                          .faults = *faults});
    }
}

static void
test_waiting_below_caps(void)
{
    run_waiting_seeds(&(sim_faults_t){0}, false, 0);
    run_waiting_seeds(&(sim_faults_t){0}, true, 0);
}

static void
test_waiting_below_caps_across_leaders(void)
{
    run_waiting_seeds(&(sim_faults_t){.leader_failovers = 100}, false,
                      START_AFTER_FAILOVER_MS);
    run_waiting_seeds(&(sim_faults_t){.leader_failovers = 100,
                                      .worker_outages = 300,
                                      .job_cancellations = 300,
                                      .lost_orders = 50},
                      false, START_BESIDE_SILENT_WORKERS_MS);
}

/* SCHED_MODEL_SEEDS="FIRST COUNT" runs other seeds. */
int
main(void)
{
    static const test_case_t cases[] = {
        {"a customer exceeds its cap by late orders", test_caps},
        {"a customer exceeds its cap after it was lowered", test_lowered_caps},
        {"a customer exceeds its cap after a change of leader",
         test_caps_across_leaders},
        {"a task waits although its customer is well below its cap",
         test_waiting_below_caps},
        {"a new leader keeps a customer from its cap",
         test_waiting_below_caps_across_leaders},
    };

    FvSchedSim_ChooseSeeds(&first_seed, &seeds);
    return Fv_RUN_SUITE("sched_caps_model", cases);
}
