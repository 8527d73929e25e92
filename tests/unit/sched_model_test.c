/*
 * The scheduler's guarantees in simulated cells, each with another random
 * seed: orders that are lost or executed late, workers that crash, stop
 * answering and leave, leader changes, failing tasks and cancelled jobs.
 */

#include "sched-sim.h"
#include "suite.h"

#define SEEDS 40
#define FAULTS_END_MS 20000

/* The longest job takes 12 s without faults. A task that fails or waits for a
 * lease to expire is restarted up to twice. */
#define DEADLINE_MS 100000

static uint64_t first_seed = 1;
static uint32_t seeds = SEEDS;

static void
run_plan(const sim_plan_t *plan)
{
    FvSchedSim_Check(plan);
}

static void
run_seeds_with_pages(const sim_faults_t *faults, bool advice,
                     uint32_t ends_page)
{
    for (uint64_t seed = first_seed; seed < first_seed + seeds; seed++) {
        run_plan(&(sim_plan_t){.seed = seed,
                               .workers = 6 + (uint32_t)(seed % 5),
                               .jobs = 40,
                               .faults_end_ms = FAULTS_END_MS,
                               .deadline_ms = DEADLINE_MS,
                               .advice = advice,
                               .allowed_workers = 4, /* enough for a gang */
                               .advice_per_worker_us = 1500,
                               .ends_page = ends_page,
                               .faults = *faults});
    }
}

static void
run_seeds(const sim_faults_t *faults, bool advice)
{
    run_seeds_with_pages(faults, advice, 0);
}

/* A cell without faults whose load differs from seed to seed, from mostly idle
 * to full. A call for advice includes few of the workers. */
static void
run_calm_seeds(bool advice)
{
    for (uint64_t seed = first_seed; seed < first_seed + seeds; seed++) {
        run_plan(&(sim_plan_t){.seed = seed,
                               .workers = 24,
                               .jobs = 20 + (uint32_t)(seed % 7) * 20,
                               .faults_end_ms = FAULTS_END_MS,
                               .deadline_ms = DEADLINE_MS,
                               .advice = advice,
                               .allowed_workers = 8 + (uint32_t)(seed % 5),
                               .advice_per_worker_us = 15000,
                               .lasting_jobs = 300,
                               .check_waiting = true});
    }
}

static void
test_no_faults(void)
{
    run_seeds(&(sim_faults_t){0}, false);
    run_seeds(&(sim_faults_t){0}, true);
}

static void
test_waiting_in_calm_cell(void)
{
    run_calm_seeds(false);
    run_calm_seeds(true);
}

static void
test_lost_orders(void)
{
    run_seeds(&(sim_faults_t){.lost_orders = 150, .failing_tasks = 50}, false);
    run_seeds(&(sim_faults_t){.lost_orders = 150, .failing_tasks = 50}, true);
}

/* Tasks of silent workers are started again elsewhere, with many late orders,
 * and then reported as done. */
static void
test_late_orders_beside_silent_workers(void)
{
    static const sim_faults_t faults = {.lost_orders = 400,
                                        .worker_outages = 600};

    run_seeds(&faults, false);
    run_seeds(&faults, true);
}

/* Tasks of workers that are cut off from the registry are started again
 * elsewhere; the workers come back and receive late orders. */
static void
test_late_orders_at_unlisted_workers(void)
{
    static const sim_faults_t faults = {.lost_orders = 600,
                                        .lost_renewals = 100,
                                        .worker_outages = 2500,
                                        .unlisted_outages = 900};

    run_seeds(&faults, false);
    run_seeds(&faults, true);
}

static void
test_worker_failures(void)
{
    run_seeds(&(sim_faults_t){.worker_crashes = 250,
                              .worker_outages = 250,
                              .worker_drains = 250,
                              .lost_orders = 30},
              false);
    run_seeds(&(sim_faults_t){.worker_crashes = 250,
                              .worker_outages = 250,
                              .worker_drains = 250,
                              .lost_orders = 30},
              true);
}

/* Workers come back under their id, at times as another kind. */
static void
test_kind_changes(void)
{
    static const sim_faults_t faults = {
        .worker_crashes = 800, .kind_changes = 500, .lost_orders = 30};

    run_seeds(&faults, false);
}

/* Start times that go down do not order the incarnations of a worker. */
static void
test_times_set_back(void)
{
    sim_faults_t faults = {.worker_crashes = 800,
                           .times_set_back = 500,
                           .lost_orders = 30,
                           .lost_renewals = 30,
                           .leader_failovers = 150};

    run_seeds(&faults, false);
    faults.kind_changes = 500; /* entries arrive after reports */
    run_seeds(&faults, false);
}

static void
test_leader_changes(void)
{
    run_seeds(&(sim_faults_t){.leader_failovers = 250,
                              .leader_absence_ms = 1000,
                              .job_cancellations = 300,
                              .failing_tasks = 50},
              false);
}

static void
test_leader_handovers(void)
{
    static const sim_faults_t faults = {.leader_handovers = 800,
                                        .leader_absence_ms = 600,
                                        .lost_orders = 150,
                                        .job_cancellations = 2000,
                                        .failing_tasks = 150,
                                        .worker_drains = 500};

    run_seeds(&faults, false);
    run_seeds(&faults, true);
}

static void
test_all_faults(void)
{
    static const sim_faults_t all = {.lost_orders = 80,
                                     .lost_renewals = 30,
                                     .leader_absence_ms = 1500,
                                     .failing_tasks = 30,
                                     .worker_crashes = 150,
                                     .worker_outages = 150,
                                     .worker_drains = 100,
                                     .leader_failovers = 150,
                                     .leader_handovers = 100,
                                     .job_cancellations = 150};

    run_seeds(&all, false);
    run_seeds(&all, true);
}

/* The earlier leader of a split cell takes leases for lapsed that the next one
 * renews, and starts the tasks a second time on its own side. */
static void
test_splits(void)
{
    static const sim_faults_t alone = {.splits = 150};
    static const sim_faults_t among_others = {.lost_orders = 80,
                                              .lost_renewals = 30,
                                              .leader_absence_ms = 1500,
                                              .failing_tasks = 30,
                                              .worker_crashes = 50,
                                              .worker_outages = 150,
                                              .worker_drains = 50,
                                              .leader_failovers = 50,
                                              .leader_handovers = 50,
                                              .job_cancellations = 150,
                                              .splits = 200,
                                              .store_outages = 50};

    for (uint64_t seed = first_seed; seed < first_seed + seeds; seed++) {
        run_plan(
            &(sim_plan_t){.seed = seed,
                          .workers = 6 + (uint32_t)(seed % 5),
                          .jobs = 40,
                          .faults_end_ms = FAULTS_END_MS,
                          .deadline_ms = 2 * DEADLINE_MS,
                          .advice = seed / 2 % 2 == 0,
                          .allowed_workers = 4,
                          .advice_per_worker_us = 1500,
                          .task_max_ms = 9000, /* outlast a lease */
                          .lasting_jobs = 100,
                          .faults = seed % 2 == 0 ? alone : among_others});
    }
}

/* A worker that was drained restarts under its id and is cut off. An order
 * with a deadline by its earlier clock is carried out late and grants the
 * longest lease; the next leader has not seen the restart. */
static void
test_restart_before_a_leader_change(void)
{
    run_plan(&(sim_plan_t){.seed = 441,
                           .workers = 7,
                           .jobs = 40,
                           .faults_end_ms = FAULTS_END_MS,
                           .deadline_ms = 2 * DEADLINE_MS,
                           .advice = true,
                           .allowed_workers = 4,
                           .advice_per_worker_us = 1500,
                           .ends_page = 3,
                           .faults = {.lost_orders = 421,
                                      .lost_renewals = 9,
                                      .failing_tasks = 22,
                                      .times_set_back = 2,
                                      .worker_outages = 1952,
                                      .unlisted_outages = 949,
                                      .worker_drains = 234,
                                      .leader_absence_ms = 1927,
                                      .leader_handovers = 180,
                                      .job_cancellations = 190}});
}

/* Runs whose ends do not fit into a report count as lost and start again. */
static void
test_reports_cut_off(void)
{
    static const sim_faults_t faults = {.lost_orders = 80,
                                        .lost_renewals = 30,
                                        .failing_tasks = 30,
                                        .worker_outages = 300,
                                        .leader_failovers = 150,
                                        .job_cancellations = 150};

    run_seeds_with_pages(&(sim_faults_t){0}, false, 1);
    run_seeds_with_pages(&faults, false, 1);
    run_seeds_with_pages(&faults, true, 2);
}

/* SCHED_MODEL_SEEDS="FIRST COUNT" runs other seeds. */
int
main(void)
{
    static const test_case_t cases[] = {
        {"a guarantee is broken without faults", test_no_faults},
        {"a ready task waits although two such tasks fit",
         test_waiting_in_calm_cell},
        {"a guarantee is broken by lost or late orders", test_lost_orders},
        {"a guarantee is broken by late orders beside silent workers",
         test_late_orders_beside_silent_workers},
        {"a task runs twice when its worker leaves the registry and comes "
         "back",
         test_late_orders_at_unlisted_workers},
        {"a guarantee is broken by failing or leaving workers",
         test_worker_failures},
        {"a guarantee is broken by workers that return as another kind",
         test_kind_changes},
        {"a guarantee is broken by workers whose time of day is set back",
         test_times_set_back},
        {"a guarantee is broken by leader failures", test_leader_changes},
        {"a guarantee is broken by leader handovers", test_leader_handovers},
        {"a task starts again under the lease of a restarted worker",
         test_restart_before_a_leader_change},
        {"a task runs on both sides of a split cell", test_splits},
        {"a guarantee is broken by all faults together", test_all_faults},
        {"a guarantee is broken by reports that do not list all ends",
         test_reports_cut_off},
    };

    FvSchedSim_ChooseSeeds(&first_seed, &seeds);
    return Fv_RUN_SUITE("sched_model", cases);
}
