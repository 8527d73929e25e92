/*
 * Guards against a job of a workload that is not idempotent, such as a billed
 * check, that starts twice: through retries at other hosts, a takeover, or a
 * claim or start whose answer was lost.
 */

#include "fake-server.h"
#include "promise.h"

#include <signal.h>

#define AT_MOST_ONCE_SEED 201
#define JOBS 18
#define JOB_RUN_MS 400
/* More than the cell can run at once. */
#define FILLER_JOBS 70
#define FILLER_RUN_MS 2500
/* Longer than the silence limit of 6 s and the takeover. */
#define FREEZE_MS 10000
#define RESUME_SETTLE_MS 5000
#define LIST_LAG_MS 500
/* A job in doubt ends as unknown at its deadline at the latest. */
#define JOB_DEADLINE_MS 15000
/* The caller learns the outcome from a host that lives: deadline, and the
 * takeover by list, silence limit and reservation expiry. */
#define OUTCOME_LIMIT_MS (JOB_DEADLINE_MS + 10000)

/* Every job is sent to two hosts, a little apart. */
static void
add_jobs(scenario_t *scenario, int64_t spread_ms)
{
    int hosts = scenario->cluster.host_count;
    char key[Fv_KEY_SIZE];

    for (int i = 0; i < JOBS; i++) {
        int64_t start_delay_ms = FvRng_Between(&scenario->rng, 0, spread_ms);

        snprintf(key, sizeof(key), "check-%d", i);
        for (int copy = 0; copy < 2; copy++) {
            caller_t *caller = FvScenario_AddCaller(
                scenario, (i + copy) % hosts, "fit-check", key, JOB_RUN_MS);

            caller->submit.deadline_ms = JOB_DEADLINE_MS;
            caller->limit_ms = OUTCOME_LIMIT_MS;
            caller->start_delay_ms =
                start_delay_ms + copy * FvRng_Between(&scenario->rng, 0, 300);
        }
    }
}

/* Slow routes, so that a drawn moment falls into every step of a start. */
static void
delay_routes(scenario_t *scenario)
{
    FvCluster_DelayRoute(&scenario->cluster, ROUTE_STORE, CLUSTER_ALL, 0, 40);
    FvCluster_DelayRoute(&scenario->cluster, ROUTE_RACK, CLUSTER_ALL,
                         CLUSTER_ALL, 40);
    FvCluster_DelayRoute(&scenario->cluster, ROUTE_PEER, CLUSTER_ALL,
                         CLUSTER_ALL, 20);
}

static void
run_host_killed(scenario_t *scenario)
{
    int victim = (int)FvRng_Between(&scenario->rng, 0, 2);

    delay_routes(scenario);
    add_jobs(scenario, 800);
    FvScenario_StartCallers(scenario, 0);
    FvFake_SleepMs(FvRng_Between(&scenario->rng, 50, 1100));
    FvScenario_KillHost(scenario, victim, LIST_LAG_MS);
    FvScenario_JoinCallers(scenario);
}

/* The host comes back as another incarnation while its claims are open. */
static void
run_host_restarted(scenario_t *scenario)
{
    int victim = (int)FvRng_Between(&scenario->rng, 0, 2);

    delay_routes(scenario);
    add_jobs(scenario, 800);
    FvScenario_StartCallers(scenario, 0);
    FvFake_SleepMs(FvRng_Between(&scenario->rng, 200, 900));
    FvProcess_Kill(&scenario->cluster.hosts[victim].process);
    FvFake_SleepMs(FvRng_Between(&scenario->rng, 0, 500));
    FvScenario_RestartHost(scenario, victim);
    FvScenario_JoinCallers(scenario);
}

static void
run_store_outage(scenario_t *scenario)
{
    delay_routes(scenario);
    add_jobs(scenario, 1500);
    FvScenario_StartCallers(scenario, 0);
    FvFake_SleepMs(FvRng_Between(&scenario->rng, 100, 700));
    FvCluster_Platform(&scenario->cluster, "/store",
                       json_pack("{s:s}", "mode", "down"));
    FvFake_SleepMs(FvRng_Between(&scenario->rng, 2000, 4000));
    FvCluster_Platform(&scenario->cluster, "/store",
                       json_pack("{s:s}", "mode", "up"));
    FvScenario_JoinCallers(scenario);
}

static void
run_store_replies_lost(scenario_t *scenario)
{
    add_jobs(scenario, 1500);
    FvScenario_StartCallers(scenario, 0);
    for (int i = 0; i < 12; i++) {
        FvFake_SleepMs(FvRng_Between(&scenario->rng, 20, 200));
        FvCluster_Platform(&scenario->cluster, "/store/lose_answers",
                           json_pack("{s:i}", "count", 2));
    }
    FvScenario_JoinCallers(scenario);
}

/* For a while the workers receive requests but their answers are lost. */
static void
drop_worker_replies(scenario_t *scenario, int64_t duration_ms)
{
    FvCluster_CutAnswer(&scenario->cluster, ROUTE_RACK, CLUSTER_ALL,
                        CLUSTER_ALL, 10);
    FvFake_SleepMs(duration_ms);
    FvCluster_SetRoute(&scenario->cluster, ROUTE_RACK, CLUSTER_ALL,
                       CLUSTER_ALL, "restore");
}

/* The worker accepts the start; its answer never arrives. */
static void
run_start_replies_lost(scenario_t *scenario)
{
    add_jobs(scenario, 1500);
    FvScenario_StartCallers(scenario, 0);
    for (int i = 0; i < 8; i++) {
        FvFake_SleepMs(FvRng_Between(&scenario->rng, 50, 250));
        drop_worker_replies(scenario, 60);
    }
    FvScenario_JoinCallers(scenario);
}

/* Start and outcome lost together with the home of the job. */
static void
run_replies_lost_and_host_killed(scenario_t *scenario)
{
    int victim = (int)FvRng_Between(&scenario->rng, 0, 2);

    delay_routes(scenario);
    add_jobs(scenario, 800);
    FvScenario_StartCallers(scenario, 0);
    FvFake_SleepMs(FvRng_Between(&scenario->rng, 200, 600));
    FvCluster_Platform(&scenario->cluster, "/store/lose_answers",
                       json_pack("{s:i}", "count", 6));
    drop_worker_replies(scenario, FvRng_Between(&scenario->rng, 100, 300));
    FvScenario_KillHost(scenario, victim, LIST_LAG_MS);
    FvScenario_JoinCallers(scenario);
}

/* The host is frozen with jobs in its queue and wakes up when its successor
 * has started them. */
static void
run_host_frozen(scenario_t *scenario)
{
    cluster_host_t *victim = &scenario->cluster.hosts[0];
    char key[Fv_KEY_SIZE];

    for (int i = 0; i < FILLER_JOBS; i++) {
        snprintf(key, sizeof(key), "filler-%d", i);
        FvScenario_AddCaller(scenario, 1 + i % 2,
                             i < 24 ? "rebuild" : "fit-check", key,
                             FILLER_RUN_MS);
    }
    FvScenario_StartCallers(scenario, 0);
    FvFake_SleepMs(700);
    for (int i = 0; i < JOBS; i++) {
        snprintf(key, sizeof(key), "check-%d", i);
        FvScenario_AddCaller(scenario, 0, "fit-check", key, JOB_RUN_MS)
            ->limit_ms = OUTCOME_LIMIT_MS;
    }
    FvScenario_StartCallers(scenario, FILLER_JOBS);
    FvFake_SleepMs(FvRng_Between(&scenario->rng, 300, 600));
    FvProcess_Signal(&victim->process, SIGSTOP);
    FvFake_SleepMs(LIST_LAG_MS);
    FvCluster_SetState(&scenario->cluster, victim->name, "gone");
    FvFake_SleepMs(FREEZE_MS);
    FvProcess_Signal(&victim->process, SIGCONT);
    FvCluster_SetState(&scenario->cluster, victim->name, "live");
    FvScenario_JoinCallers(scenario);
    /* Until what the host still had queued would have started: it must be
     * listed, heard from, and take leases again. */
    FvFake_SleepMs(RESUME_SETTLE_MS);
}

/* A worker that restarted has forgotten what it ran. */
static void
run_worker_restarted(scenario_t *scenario)
{
    add_jobs(scenario, 300);
    FvScenario_StartCallers(scenario, 0);
    FvFake_SleepMs(FvRng_Between(&scenario->rng, 200, 400));
    for (int rack = 0; rack < scenario->cluster.rack_count; rack++) {
        FvProcess_Kill(&scenario->cluster.racks[rack].process);
        FvScenario_Expect(scenario,
                          FvCluster_StartRack(&scenario->cluster, rack),
                          "a killed worker starts again");
    }
    FvScenario_JoinCallers(scenario);
}

int
main(void)
{
    const scenario_case_t cases[] = {
        {"a check started again after its host was killed, 1st moment",
         scenario_topology, run_host_killed, false},
        {"a check started again after its host was killed, 2nd moment",
         scenario_topology, run_host_killed, false},
        {"a check started again after its host was killed, 3rd moment",
         scenario_topology, run_host_killed, false},
        {"a check started again after its host restarted", scenario_topology,
         run_host_restarted, false},
        {"a check started again after a store outage", scenario_topology,
         run_store_outage, false},
        {"a check started again after store answers were lost",
         scenario_topology, run_store_replies_lost, false},
        {"a check started again after the answer to its start was lost",
         scenario_topology, run_start_replies_lost, false},
        {"a check started again after lost answers and a killed host",
         scenario_topology, run_replies_lost_and_host_killed, false},
        {"a check started again by its former host after a freeze",
         scenario_topology, run_host_frozen, false},
        {"a check started again by a worker that has forgotten it",
         scenario_topology, run_worker_restarted, false},
    };

    return FvScenario_Main("at_most_once", cases,
                           sizeof(cases) / sizeof(cases[0]),
                           AT_MOST_ONCE_SEED);
}
