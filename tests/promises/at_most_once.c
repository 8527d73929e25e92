/*
 * Guards against a second start of a job that must not be restarted, such as
 * a billed check. It could happen through a retry at another host, a takeover
 * by another host, or a lost reply to the claim or the start.
 */

#include "fake-server.h"
#include "scenario.h"

#include <signal.h>

#define AT_MOST_ONCE_SEED 201
#define JOBS 18
#define JOB_RUN_MS 400
/* More than the cell can run at the same time. */
#define FILLER_JOBS 70
#define FILLER_RUN_MS 2500
/* Longer than the host failure timeout of 6 s and the takeover. */
#define SUSPEND_MS 10000
#define RESUME_SETTLE_MS 5000
#define LIST_LAG_MS 500
/* An unconfirmed job ends as unknown at its deadline at the latest. */
#define JOB_DEADLINE_MS 15000
/* Until a running host can report the outcome: the job's deadline plus the
 * takeover, which needs the host list update, the failure timeout and the
 * expiry of reservations. */
#define OUTCOME_LIMIT_MS (JOB_DEADLINE_MS + 10000)

/* Submits every job to two hosts with a small delay between them. */
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
            caller->timeout_ms = OUTCOME_LIMIT_MS;
            caller->start_delay_ms =
                start_delay_ms + copy * FvRng_Between(&scenario->rng, 0, 300);
        }
    }
}

/* Slows each step of a start down, so that random faults hit all of them. */
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

/* The host returns as a new incarnation while its claims are still open. */
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
    FvCluster_ControlPlatform(&scenario->cluster, "/store",
                              json_pack("{s:s}", "mode", "down"));
    FvFake_SleepMs(FvRng_Between(&scenario->rng, 2000, 4000));
    FvCluster_ControlPlatform(&scenario->cluster, "/store",
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
        FvCluster_ControlPlatform(&scenario->cluster, "/store/lose_answers",
                                  json_pack("{s:i}", "count", 2));
    }
    FvScenario_JoinCallers(scenario);
}

/* The workers receive requests, but their replies are lost. */
static void
drop_worker_replies(scenario_t *scenario, int64_t duration_ms)
{
    FvCluster_CutResponse(&scenario->cluster, ROUTE_RACK, CLUSTER_ALL,
                          CLUSTER_ALL, 10);
    FvFake_SleepMs(duration_ms);
    FvCluster_SetRoute(&scenario->cluster, ROUTE_RACK, CLUSTER_ALL,
                       CLUSTER_ALL, "restore");
}

/* The worker accepts the start, but its reply is lost. */
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

/* Replies of the store and the workers are lost, then a home host dies. */
static void
run_replies_lost_and_host_killed(scenario_t *scenario)
{
    int victim = (int)FvRng_Between(&scenario->rng, 0, 2);

    delay_routes(scenario);
    add_jobs(scenario, 800);
    FvScenario_StartCallers(scenario, 0);
    FvFake_SleepMs(FvRng_Between(&scenario->rng, 200, 600));
    FvCluster_ControlPlatform(&scenario->cluster, "/store/lose_answers",
                              json_pack("{s:i}", "count", 6));
    drop_worker_replies(scenario, FvRng_Between(&scenario->rng, 100, 300));
    FvScenario_KillHost(scenario, victim, LIST_LAG_MS);
    FvScenario_JoinCallers(scenario);
}

/* The host is suspended with jobs in its queue and resumes after its
 * successor has started them. */
static void
run_host_suspended(scenario_t *scenario)
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
            ->timeout_ms = OUTCOME_LIMIT_MS;
    }
    FvScenario_StartCallers(scenario, FILLER_JOBS);
    FvFake_SleepMs(FvRng_Between(&scenario->rng, 300, 600));
    FvProcess_Signal(&victim->process, SIGSTOP);
    FvFake_SleepMs(LIST_LAG_MS);
    FvCluster_SetHostListState(&scenario->cluster, victim->name, "gone");
    FvFake_SleepMs(SUSPEND_MS);
    FvProcess_Signal(&victim->process, SIGCONT);
    FvCluster_SetHostListState(&scenario->cluster, victim->name, "live");
    FvScenario_JoinCallers(scenario);
    /* Time for a wrong start of the jobs that the host still has queued: it
     * must be listed, reach its peers and acquire leases first. */
    FvFake_SleepMs(RESUME_SETTLE_MS);
}

/* A restarted worker has no record of its earlier tasks. */
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
                          "a killed worker restarts");
    }
    FvScenario_JoinCallers(scenario);
}

int
main(void)
{
    const scenario_case_t cases[] = {
        {"a check starts twice after its host was killed, 1st time",
         scenario_topology, run_host_killed, false},
        {"a check starts twice after its host was killed, 2nd time",
         scenario_topology, run_host_killed, false},
        {"a check starts twice after its host was killed, 3rd time",
         scenario_topology, run_host_killed, false},
        {"a check starts twice after its host restarted", scenario_topology,
         run_host_restarted, false},
        {"a check starts twice after a store outage", scenario_topology,
         run_store_outage, false},
        {"a check starts twice after store replies were lost",
         scenario_topology, run_store_replies_lost, false},
        {"a check starts twice after the reply to its start was lost",
         scenario_topology, run_start_replies_lost, false},
        {"a check starts twice after lost replies and a killed host",
         scenario_topology, run_replies_lost_and_host_killed, false},
        {"a check starts twice when its former host resumes",
         scenario_topology, run_host_suspended, false},
        {"a check starts twice after its worker restarted", scenario_topology,
         run_worker_restarted, false},
    };

    return FvScenario_Main("at_most_once", cases,
                           sizeof(cases) / sizeof(cases[0]),
                           AT_MOST_ONCE_SEED);
}
