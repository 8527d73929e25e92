/*
 * Guards against a job that is reported as not_run although it runs or starts
 * later. Causes are a claim that the store applies late, a lost store reply, a
 * deadline or cancellation that races the start, and a successor that starts a
 * job which the home host has given up.
 */

#include "fake-server.h"
#include "scenario.h"

#define NOT_RUN_SEED 301
#define JOBS 16
#define JOB_RUN_MS 300
/* Jobs are submitted and cancelled at this interval. */
#define CANCEL_INTERVAL_MS 150
#define LIST_LAG_MS 500
/* Shorter than the delay of late writes, so that the store applies them after
 * the host's request has timed out. */
#define STORE_TIMEOUT_MS 300
#define WRITE_DELAY_MS 900
/* Four of them need all processors of a worker. */
#define FILLER_JOBS 24
#define FILLER_RUN_MS 4000
/* Deadline, clock skew and the takeover, which needs the host list update,
 * the failure timeout, a claim scan and the expiry of reservations. */
#define OUTCOME_LIMIT_MS 25000
/* A job that was reported as not_run must not start within this time, which
 * covers a takeover by another host. */
#define SETTLE_MS 9000

static const char *const workloads[] = {"rebuild", "fit-check", "gang"};

/* Adds jobs with random deadlines, submitted within SPREAD_MS. */
static void
add_jobs(scenario_t *scenario, int64_t spread_ms, int64_t min_deadline_ms,
         int64_t max_deadline_ms)
{
    char key[Fv_KEY_SIZE];

    for (int i = 0; i < JOBS; i++) {
        caller_t *caller;

        snprintf(key, sizeof(key), "job-%d", i);
        caller =
            FvScenario_AddCaller(scenario, i % scenario->cluster.host_count,
                                 workloads[i % 3], key, JOB_RUN_MS);
        caller->submit.deadline_ms =
            FvRng_Between(&scenario->rng, min_deadline_ms, max_deadline_ms);
        caller->start_delay_ms = FvRng_Between(&scenario->rng, 0, spread_ms);
        caller->timeout_ms = OUTCOME_LIMIT_MS;
    }
}

static void
fill_cell(scenario_t *scenario)
{
    char key[Fv_KEY_SIZE];

    for (int i = 0; i < FILLER_JOBS; i++) {
        snprintf(key, sizeof(key), "filler-%d", i);
        FvScenario_AddCaller(scenario, i % scenario->cluster.host_count,
                             "rebuild", key, FILLER_RUN_MS);
    }
    FvScenario_StartCallers(scenario, 0);
    FvFake_SleepMs(700);
}

static void
join_and_settle(scenario_t *scenario)
{
    FvScenario_JoinCallers(scenario);
    FvFake_SleepMs(SETTLE_MS);
}

static void
drop_store_replies(scenario_t *scenario, int rounds)
{
    for (int i = 0; i < rounds; i++) {
        FvFake_SleepMs(FvRng_Between(&scenario->rng, 20, 120));
        FvCluster_ControlPlatform(&scenario->cluster, "/store/lose_answers",
                                  json_pack("{s:i}", "count", 3));
    }
}

static void
run_store_replies_lost(scenario_t *scenario)
{
    add_jobs(scenario, 1200, 10, 300);
    FvScenario_StartCallers(scenario, 0);
    drop_store_replies(scenario, 14);
    join_and_settle(scenario);
}

static void
run_store_writes_late(scenario_t *scenario)
{
    add_jobs(scenario, 1500, 200, 1500);
    FvScenario_StartCallers(scenario, 0);
    for (int i = 0; i < 10; i++) {
        FvCluster_ControlPlatform(
            &scenario->cluster, "/store/delay_writes",
            json_pack("{s:i, s:i}", "count", 4, "delay_ms", WRITE_DELAY_MS));
        FvFake_SleepMs(FvRng_Between(&scenario->rng, 50, 250));
    }
    join_and_settle(scenario);
}

/* The deadline passes while the claim or the attempt is written. */
static void
run_deadline_in_flight(scenario_t *scenario)
{
    FvCluster_DelayRoute(&scenario->cluster, ROUTE_STORE, CLUSTER_ALL, 0, 60);
    FvCluster_DelayRoute(&scenario->cluster, ROUTE_RACK, CLUSTER_ALL,
                         CLUSTER_ALL, 30);
    add_jobs(scenario, 1500, 200, 900);
    FvScenario_StartCallers(scenario, 0);
    join_and_settle(scenario);
}

static void
run_cancel(scenario_t *scenario)
{
    int64_t began_ms = FvClock_NowMs();

    FvCluster_DelayRoute(&scenario->cluster, ROUTE_STORE, CLUSTER_ALL, 0, 30);
    FvCluster_DelayRoute(&scenario->cluster, ROUTE_RACK, CLUSTER_ALL,
                         CLUSTER_ALL, 30);
    add_jobs(scenario, 0, 8000, 8000);
    for (int i = 0; i < JOBS; i++) {
        scenario->callers[i].start_delay_ms = i * CANCEL_INTERVAL_MS;
    }
    FvScenario_StartCallers(scenario, 0);
    for (int i = 0; i < JOBS; i++) {
        job_reply_t reply;
        int64_t at_ms = began_ms + i * CANCEL_INTERVAL_MS +
                        FvRng_Between(&scenario->rng, 50, 400);
        int64_t now_ms = FvClock_NowMs();

        FvFake_SleepMs(at_ms > now_ms ? at_ms - now_ms : 0);
        FvApi_Cancel(&scenario->cluster,
                     (int)FvRng_Between(&scenario->rng, 0, 2), SCENARIO_MEMBER,
                     scenario->callers[i].key, &reply);
        FvApi_FreeJobReply(&reply);
    }
    join_and_settle(scenario);
}

/* Jobs that cannot start before their deadline; then a home host dies. */
static void
run_host_killed(scenario_t *scenario)
{
    fill_cell(scenario);
    add_jobs(scenario, 300, 1000, 7000);
    FvScenario_StartCallers(scenario, FILLER_JOBS);
    FvFake_SleepMs(FvRng_Between(&scenario->rng, 200, 900));
    FvScenario_KillHost(scenario, (int)FvRng_Between(&scenario->rng, 0, 2),
                        LIST_LAG_MS);
    join_and_settle(scenario);
}

/* The home host gives up at the deadline during a store outage. */
static void
run_store_down(scenario_t *scenario)
{
    fill_cell(scenario);
    add_jobs(scenario, 300, 800, 2500);
    FvScenario_StartCallers(scenario, FILLER_JOBS);
    FvFake_SleepMs(FvRng_Between(&scenario->rng, 100, 400));
    FvCluster_ControlPlatform(&scenario->cluster, "/store",
                              json_pack("{s:s}", "mode", "down"));
    FvFake_SleepMs(4000);
    FvCluster_ControlPlatform(&scenario->cluster, "/store",
                              json_pack("{s:s}", "mode", "up"));
    join_and_settle(scenario);
}

static void
run_replies_lost_and_host_killed(scenario_t *scenario)
{
    add_jobs(scenario, 1000, 200, 3000);
    FvScenario_StartCallers(scenario, 0);
    drop_store_replies(scenario, 7);
    FvScenario_KillHost(scenario, (int)FvRng_Between(&scenario->rng, 0, 2),
                        LIST_LAG_MS);
    join_and_settle(scenario);
}

int
main(void)
{
    topology_t short_store_timeout = scenario_topology;

    short_store_timeout.store_timeout_ms = STORE_TIMEOUT_MS;

    const scenario_case_t cases[] = {
        {"not_run is reported although a lost reply hid the claim",
         scenario_topology, run_store_replies_lost, false},
        {"not_run is reported although the claim is written late",
         short_store_timeout, run_store_writes_late, false},
        {"not_run is reported at the deadline during a start",
         scenario_topology, run_deadline_in_flight, false},
        {"not_run is reported to a cancellation during a start",
         scenario_topology, run_cancel, false},
        {"not_run is reported although a successor starts the job",
         scenario_topology, run_host_killed, false},
        {"not_run is reported in a store outage, but the job starts later",
         scenario_topology, run_store_down, false},
        {"not_run is reported after lost replies and a killed host",
         scenario_topology, run_replies_lost_and_host_killed, false},
    };

    return FvScenario_Main("not_run", cases, sizeof(cases) / sizeof(cases[0]),
                           NOT_RUN_SEED);
}
