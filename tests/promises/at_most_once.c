/*
 * Guards against a job of a workload that is not idempotent, such as a billed
 * check, that starts twice: through retries at other hosts, a takeover, or a
 * claim or start whose answer was lost.
 */

#include "fake-server.h"
#include "promise.h"

#include <signal.h>

#define ONCE_SEED 201
#define JOBS 18
#define JOB_RUN_MS 400
/* More than the cell can run at once. */
#define FILLERS 70
#define FILLER_RUN_MS 2500
/* Longer than the silence limit of 6 s and the takeover. */
#define FREEZE_MS 10000
#define WAKE_MS 5000
#define LIST_LAG_MS 500
/* A job in doubt ends as unknown at its deadline at the latest. */
#define JOB_DEADLINE_MS 15000
/* The caller learns the outcome from a host that lives: deadline, and the
 * takeover by list, silence limit and reservation expiry. */
#define OUTCOME_LIMIT_MS (JOB_DEADLINE_MS + 10000)

/* Every job is sent to two hosts, a little apart. */
static void
add_jobs(promise_t *promise, int64_t spread_ms)
{
    int hosts = promise->cluster.host_count;
    char key[Fv_KEY_SIZE];

    for (int i = 0; i < JOBS; i++) {
        int64_t after_ms = FvDraw_Between(&promise->draw, 0, spread_ms);

        snprintf(key, sizeof(key), "check-%d", i);
        for (int copy = 0; copy < 2; copy++) {
            caller_t *caller = FvPromise_Caller(promise, (i + copy) % hosts,
                                                "fit-check", key, JOB_RUN_MS);

            caller->submit.deadline_ms = JOB_DEADLINE_MS;
            caller->limit_ms = OUTCOME_LIMIT_MS;
            caller->after_ms =
                after_ms + copy * FvDraw_Between(&promise->draw, 0, 300);
        }
    }
}

/* Slow routes, so that a drawn moment falls into every step of a start. */
static void
delay_routes(promise_t *promise)
{
    FvCluster_DelayRoute(&promise->cluster, ROUTE_STORE, CLUSTER_ALL, 0, 40);
    FvCluster_DelayRoute(&promise->cluster, ROUTE_RACK, CLUSTER_ALL,
                         CLUSTER_ALL, 40);
    FvCluster_DelayRoute(&promise->cluster, ROUTE_PEER, CLUSTER_ALL,
                         CLUSTER_ALL, 20);
}

static void
run_host_killed(promise_t *promise)
{
    int victim = (int)FvDraw_Between(&promise->draw, 0, 2);

    delay_routes(promise);
    add_jobs(promise, 800);
    FvPromise_StartCallers(promise, 0);
    FvFake_SleepMs(FvDraw_Between(&promise->draw, 50, 1100));
    FvPromise_KillHost(promise, victim, LIST_LAG_MS);
    FvPromise_JoinCallers(promise);
}

/* The host comes back as another incarnation while its claims are open. */
static void
run_host_restarted(promise_t *promise)
{
    int victim = (int)FvDraw_Between(&promise->draw, 0, 2);

    delay_routes(promise);
    add_jobs(promise, 800);
    FvPromise_StartCallers(promise, 0);
    FvFake_SleepMs(FvDraw_Between(&promise->draw, 200, 900));
    FvProcess_Kill(&promise->cluster.hosts[victim].process);
    FvFake_SleepMs(FvDraw_Between(&promise->draw, 0, 500));
    FvPromise_RestartHost(promise, victim);
    FvPromise_JoinCallers(promise);
}

static void
run_store_outage(promise_t *promise)
{
    delay_routes(promise);
    add_jobs(promise, 1500);
    FvPromise_StartCallers(promise, 0);
    FvFake_SleepMs(FvDraw_Between(&promise->draw, 100, 700));
    FvCluster_ControlPlatform(&promise->cluster, "/store",
                              json_pack("{s:s}", "mode", "down"));
    FvFake_SleepMs(FvDraw_Between(&promise->draw, 2000, 4000));
    FvCluster_ControlPlatform(&promise->cluster, "/store",
                              json_pack("{s:s}", "mode", "up"));
    FvPromise_JoinCallers(promise);
}

static void
run_answers_lost(promise_t *promise)
{
    add_jobs(promise, 1500);
    FvPromise_StartCallers(promise, 0);
    for (int i = 0; i < 12; i++) {
        FvFake_SleepMs(FvDraw_Between(&promise->draw, 20, 200));
        FvCluster_ControlPlatform(&promise->cluster, "/store/lose_answers",
                                  json_pack("{s:i}", "count", 2));
    }
    FvPromise_JoinCallers(promise);
}

/* For a while the workers receive requests but their answers are lost. */
static void
lose_worker_answers(promise_t *promise, int64_t for_ms)
{
    FvCluster_CutResponse(&promise->cluster, ROUTE_RACK, CLUSTER_ALL,
                          CLUSTER_ALL, 10);
    FvFake_SleepMs(for_ms);
    FvCluster_SetRoute(&promise->cluster, ROUTE_RACK, CLUSTER_ALL, CLUSTER_ALL,
                       "restore");
}

/* The worker accepts the start; its answer never arrives. */
static void
run_start_answers_lost(promise_t *promise)
{
    add_jobs(promise, 1500);
    FvPromise_StartCallers(promise, 0);
    for (int i = 0; i < 8; i++) {
        FvFake_SleepMs(FvDraw_Between(&promise->draw, 50, 250));
        lose_worker_answers(promise, 60);
    }
    FvPromise_JoinCallers(promise);
}

/* Start and outcome lost together with the home of the job. */
static void
run_answers_lost_and_host_killed(promise_t *promise)
{
    int victim = (int)FvDraw_Between(&promise->draw, 0, 2);

    delay_routes(promise);
    add_jobs(promise, 800);
    FvPromise_StartCallers(promise, 0);
    FvFake_SleepMs(FvDraw_Between(&promise->draw, 200, 600));
    FvCluster_ControlPlatform(&promise->cluster, "/store/lose_answers",
                              json_pack("{s:i}", "count", 6));
    lose_worker_answers(promise, FvDraw_Between(&promise->draw, 100, 300));
    FvPromise_KillHost(promise, victim, LIST_LAG_MS);
    FvPromise_JoinCallers(promise);
}

/* The host is frozen with jobs in its queue and wakes up when its successor
 * has started them. */
static void
run_host_frozen(promise_t *promise)
{
    cluster_host_t *victim = &promise->cluster.hosts[0];
    char key[Fv_KEY_SIZE];

    for (int i = 0; i < FILLERS; i++) {
        snprintf(key, sizeof(key), "filler-%d", i);
        FvPromise_Caller(promise, 1 + i % 2, i < 24 ? "rebuild" : "fit-check",
                         key, FILLER_RUN_MS);
    }
    FvPromise_StartCallers(promise, 0);
    FvFake_SleepMs(700);
    for (int i = 0; i < JOBS; i++) {
        snprintf(key, sizeof(key), "check-%d", i);
        FvPromise_Caller(promise, 0, "fit-check", key, JOB_RUN_MS)->limit_ms =
            OUTCOME_LIMIT_MS;
    }
    FvPromise_StartCallers(promise, FILLERS);
    FvFake_SleepMs(FvDraw_Between(&promise->draw, 300, 600));
    FvProcess_Signal(&victim->process, SIGSTOP);
    FvFake_SleepMs(LIST_LAG_MS);
    FvCluster_SetHostListState(&promise->cluster, victim->name, "gone");
    FvFake_SleepMs(FREEZE_MS);
    FvProcess_Signal(&victim->process, SIGCONT);
    FvCluster_SetHostListState(&promise->cluster, victim->name, "live");
    FvPromise_JoinCallers(promise);
    /* Until what the host still had queued would have started: it must be
     * listed, heard from, and take leases again. */
    FvFake_SleepMs(WAKE_MS);
}

/* A worker that restarted has forgotten what it ran. */
static void
run_worker_restarted(promise_t *promise)
{
    add_jobs(promise, 300);
    FvPromise_StartCallers(promise, 0);
    FvFake_SleepMs(FvDraw_Between(&promise->draw, 200, 400));
    for (int rack = 0; rack < promise->cluster.rack_count; rack++) {
        FvProcess_Kill(&promise->cluster.racks[rack].process);
        FvPromise_Expect(promise, FvCluster_StartRack(&promise->cluster, rack),
                         "a killed worker starts again");
    }
    FvPromise_JoinCallers(promise);
}

int
main(void)
{
    const promise_case_t cases[] = {
        {"a check started again after its host was killed, 1st moment",
         promise_topology, run_host_killed, false},
        {"a check started again after its host was killed, 2nd moment",
         promise_topology, run_host_killed, false},
        {"a check started again after its host was killed, 3rd moment",
         promise_topology, run_host_killed, false},
        {"a check started again after its host restarted", promise_topology,
         run_host_restarted, false},
        {"a check started again after a store outage", promise_topology,
         run_store_outage, false},
        {"a check started again after store answers were lost",
         promise_topology, run_answers_lost, false},
        {"a check started again after the answer to its start was lost",
         promise_topology, run_start_answers_lost, false},
        {"a check started again after lost answers and a killed host",
         promise_topology, run_answers_lost_and_host_killed, false},
        {"a check started again by its former host after a freeze",
         promise_topology, run_host_frozen, false},
        {"a check started again by a worker that has forgotten it",
         promise_topology, run_worker_restarted, false},
    };

    return FvPromise_Main("at_most_once", cases,
                          sizeof(cases) / sizeof(cases[0]), ONCE_SEED);
}
