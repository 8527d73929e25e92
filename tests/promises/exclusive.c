/*
 * Guards against a job of an exclusive workload that runs twice at the same
 * time: because two hosts both consider themselves its home, or because of a
 * second attempt while the first one still runs on an unreachable worker.
 */

#include "fake-server.h"
#include "scenario.h"

#include <signal.h>

#define EXCLUSIVE_SEED 101
#define JOBS_PER_HOST 2
#define JOB_RUN_MS 3500
/* Still runs when an unreachable worker stops its tasks. */
#define LONG_JOB_RUN_MS 6000
#define START_LIMIT_MS 8000
/* Delay before the host list shows the loss of a host. */
#define LIST_LAG_MS 500
/* Longer than lease, host failure timeout and takeover together, so that
 * other hosts have taken over when the host returns. */
#define OUTAGE_MS 10000
/* A worker stops its tasks 2 s after the expiry of its lease of 3 s. */
#define STOP_LIMIT_MS 6500
/* The last holder's lease expires after 3 s. The home host may restart the
 * task 3,800 ms later, and checks about every second. */
#define RERUN_LIMIT_MS (3000 + 3800 + 2500)
/* The host list drops the home host, which is considered dead after 6 s
 * without a message. Its successor scans the claims every 2 s and waits
 * 2,300 ms for the expiry of its reservations. */
#define TAKEOVER_LIMIT_MS (LIST_LAG_MS + 6000 + 2000 + 2300 + RERUN_LIMIT_MS)
/* A lease call without a reply may still be granted until its timeout of
 * 1.5 s after the expiry, for another 3 s. */
#define RERUN_SILENT_LIMIT_MS (RERUN_LIMIT_MS + 1500 + 3000)

/* Submits two rebuilds and a gang to each host and waits until all run. */
static bool
start_jobs(scenario_t *scenario, task_placement_t *placements)
{
    char key[Fv_KEY_SIZE];
    int first = scenario->caller_count;
    bool started = true;

    for (int host = 0; host < scenario->cluster.host_count; host++) {
        for (int i = 0; i < JOBS_PER_HOST; i++) {
            snprintf(key, sizeof(key), "rebuild-%d-%d", host, i);
            FvScenario_AddCaller(scenario, host, "rebuild", key, JOB_RUN_MS);
        }
        snprintf(key, sizeof(key), "gang-%d", host);
        FvScenario_AddCaller(scenario, host, "gang", key, JOB_RUN_MS);
    }
    FvScenario_StartCallers(scenario, first);
    for (int i = first; started && i < scenario->caller_count; i++) {
        started = FvScenario_WaitForStart(scenario, scenario->callers[i].key,
                                          0, START_LIMIT_MS, &placements[i]);
    }
    return started;
}

/* Chooses a host that holds the lease of a worker with a job of another home
 * host. It is home host of other jobs, too. */
static int
choose_victim(scenario_t *scenario, const task_placement_t *placements)
{
    for (int i = 0; i < scenario->caller_count; i++) {
        if (placements[i].holder >= 0 &&
            placements[i].holder != scenario->callers[i].host) {
            return placements[i].holder;
        }
    }
    FvScenario_Fail(
        scenario,
        "every job runs on a worker whose lease its home host holds");
    return 0;
}

static void
kill_host(scenario_t *scenario, int host)
{
    FvScenario_KillHost(scenario, host, LIST_LAG_MS);
}

static void
suspend_host(scenario_t *scenario, int host)
{
    cluster_host_t *entry = &scenario->cluster.hosts[host];

    FvProcess_Signal(&entry->process, SIGSTOP);
    FvFake_SleepMs(LIST_LAG_MS);
    FvCluster_SetHostListState(&scenario->cluster, entry->name, "gone");
    FvFake_SleepMs(OUTAGE_MS - LIST_LAG_MS);
    FvProcess_Signal(&entry->process, SIGCONT);
    FvCluster_SetHostListState(&scenario->cluster, entry->name, "live");
}

static void
isolate_host(scenario_t *scenario, int host)
{
    cluster_host_t *entry = &scenario->cluster.hosts[host];

    FvScenario_Expect(
        scenario, FvCluster_IsolateHost(&scenario->cluster, host, "blackhole"),
        "a host can be isolated");
    FvFake_SleepMs(LIST_LAG_MS);
    FvCluster_SetHostListState(&scenario->cluster, entry->name, "gone");
    FvFake_SleepMs(OUTAGE_MS - LIST_LAG_MS);
    FvCluster_IsolateHost(&scenario->cluster, host, "restore");
    FvCluster_SetHostListState(&scenario->cluster, entry->name, "live");
}

static void
run_host_failure(scenario_t *scenario,
                 void (*fail_host)(scenario_t *scenario, int host))
{
    task_placement_t placements[16] = {0};

    if (start_jobs(scenario, placements)) {
        FvFake_SleepMs(FvRng_Between(&scenario->rng, 0, 500));
        fail_host(scenario, choose_victim(scenario, placements));
    }
    FvScenario_JoinCallers(scenario);
}

static void
run_host_killed(scenario_t *scenario)
{
    run_host_failure(scenario, kill_host);
}

static void
run_host_suspended(scenario_t *scenario)
{
    run_host_failure(scenario, suspend_host);
}

static void
run_host_isolated(scenario_t *scenario)
{
    run_host_failure(scenario, isolate_host);
}

static void
expect_self_stop(scenario_t *scenario, const char *key, int64_t cut_us,
                 int64_t max_delay_ms)
{
    records_t records;
    const record_t *stop;

    FvCluster_ReadRecords(&scenario->cluster, &records);
    stop = FvRecords_Find(&records, RECORD_STOPPED, SCENARIO_MEMBER, key, 0);
    if (stop == NULL) {
        FvScenario_Fail(scenario, "the worker did not stop %s by itself", key);
    }
    else if (stop->at_us - cut_us > max_delay_ms * 1000) {
        FvScenario_Fail(scenario,
                        "the worker stopped %s only %lld us after "
                        "it was cut off",
                        key, (long long)(stop->at_us - cut_us));
    }
    FvRecords_Free(&records);
}

/* The worker stays unreachable until the end of the case. */
static void
run_worker_disconnected(scenario_t *scenario, const char *mode,
                        int64_t timeout_ms)
{
    task_placement_t placement;
    task_placement_t rerun;
    int64_t cut_us;

    FvScenario_AddCaller(scenario, 0, "rebuild", "r1", LONG_JOB_RUN_MS)
        ->timeout_ms = 30000;
    FvScenario_StartCallers(scenario, 0);
    if (FvScenario_WaitForStart(scenario, "r1", 0, START_LIMIT_MS,
                                &placement)) {
        FvCluster_SetRoute(&scenario->cluster, ROUTE_RACK, CLUSTER_ALL,
                           placement.rack, mode);
        cut_us = FvFake_WallUs();
        FvScenario_WaitForStart(scenario, "r1", 1, timeout_ms, &rerun);
        expect_self_stop(scenario, "r1", cut_us, STOP_LIMIT_MS);
    }
    FvScenario_JoinCallers(scenario);
}

static void
run_worker_refusing_connections(scenario_t *scenario)
{
    run_worker_disconnected(scenario, "cut", RERUN_LIMIT_MS);
}

static void
run_worker_unresponsive(scenario_t *scenario)
{
    run_worker_disconnected(scenario, "blackhole", RERUN_SILENT_LIMIT_MS);
}

/* The home host and the connection to the worker fail together. The worker
 * stops the task, and the successor must run the job again. */
static void
run_home_and_worker_lost(scenario_t *scenario)
{
    task_placement_t placement;
    task_placement_t rerun;

    FvScenario_AddCaller(scenario, 0, "rebuild", "r1", LONG_JOB_RUN_MS)
        ->timeout_ms = 30000;
    FvScenario_StartCallers(scenario, 0);
    if (FvScenario_WaitForStart(scenario, "r1", 0, START_LIMIT_MS,
                                &placement)) {
        FvCluster_SetRoute(&scenario->cluster, ROUTE_RACK, CLUSTER_ALL,
                           placement.rack, "cut");
        kill_host(scenario, 0);
        FvScenario_WaitForStart(scenario, "r1", 1, TAKEOVER_LIMIT_MS, &rerun);
    }
    FvScenario_JoinCallers(scenario);
}

static void
run_same_key(scenario_t *scenario)
{
    char key[Fv_KEY_SIZE];

    for (int i = 0; i < 40; i++) {
        snprintf(key, sizeof(key), "same-%d", i);
        for (int host = 0; host < scenario->cluster.host_count; host++) {
            caller_t *caller = FvScenario_AddCaller(
                scenario, host, i % 4 == 0 ? "gang" : "rebuild", key, 150);

            caller->start_delay_ms =
                FvRng_Between(&scenario->rng, 0, 20) + i * 50;
        }
    }
    FvScenario_StartCallers(scenario, 0);
    FvScenario_JoinCallers(scenario);
}

int
main(void)
{
    const scenario_case_t cases[] = {
        {"a job restarted while it runs, after a host was killed",
         scenario_topology, run_host_killed, false},
        {"a job restarted while it runs, after a host was suspended",
         scenario_topology, run_host_suspended, false},
        {"a job restarted while it runs, after a host was isolated",
         scenario_topology, run_host_isolated, false},
        {"a job restarted while a worker that refuses connections runs it",
         scenario_topology, run_worker_refusing_connections, false},
        {"a job restarted while its unresponsive worker still runs it",
         scenario_topology, run_worker_unresponsive, false},
        {"a job is not restarted after its home host and worker were lost",
         scenario_topology, run_home_and_worker_lost, false},
        {"a key submitted to several hosts runs several times",
         scenario_topology, run_same_key, false},
    };

    return FvScenario_Main("exclusive", cases,
                           sizeof(cases) / sizeof(cases[0]), EXCLUSIVE_SEED);
}
