/*
 * Guards against starts beyond the processors, memory, slots or connections of
 * a worker. They happen when two hosts both act as the worker's lease holder,
 * or when a holder's accounting misses a running task. fake-worker refuses a
 * task that does not fit, so a refused start counts as a failure.
 */

#include "fake-server.h"
#include "scenario.h"

#include <signal.h>

#define OVERCOMMIT_SEED 401
/* About twice as many jobs as the cell can run at the same time. */
#define LOAD_CALLERS 100
#define LOAD_MS 8000
/* Longer than the lease of 3 s and its grace period of 300 ms. */
#define OUTAGE_MS 4500
#define OUTCOME_LIMIT_MS 30000

/* Batch jobs of all kinds, and lookups, which need no reservation. */
static void
start_load(scenario_t *scenario)
{
    static const char *const workloads[] = {"rebuild", "fit-check", "gang",
                                            "lookup", "fit-check"};
    char key[Fv_KEY_SIZE];

    for (int i = 0; i < LOAD_CALLERS; i++) {
        caller_t *caller;

        snprintf(key, sizeof(key), "load-%d", i);
        caller = FvScenario_AddCaller(
            scenario, (int)FvRng_Between(&scenario->rng, 0, 2),
            workloads[i % 5], key, FvRng_Between(&scenario->rng, 100, 1800));
        caller->start_delay_ms =
            i == 0 ? 0 : FvRng_Between(&scenario->rng, 0, LOAD_MS);
        caller->timeout_ms = OUTCOME_LIMIT_MS;
    }
    FvScenario_StartCallers(scenario, 0);
}

/* Finds a host that holds leases, because not every host does. */
static int
find_holder(scenario_t *scenario)
{
    task_placement_t placement;

    if (!FvScenario_WaitForStart(scenario, "load-0", 0, LOAD_MS, &placement) ||
        placement.holder < 0) {
        return 0;
    }
    return placement.holder;
}

static void
sleep_random(scenario_t *scenario)
{
    FvFake_SleepMs(FvRng_Between(&scenario->rng, 1500, 2500));
}

static void
run_load(scenario_t *scenario)
{
    start_load(scenario);
    FvScenario_JoinCallers(scenario);
}

/* The suspended host stays on the host list, so only its missing messages
 * allow another host to acquire its leases. When it resumes, it still assumes
 * that it holds them. */
static void
run_holder_suspended(scenario_t *scenario)
{
    int first;

    start_load(scenario);
    first = find_holder(scenario);
    for (int i = 0; i < 2; i++) {
        const process_t *process =
            &scenario->cluster.hosts[(first + i) % 3].process;

        sleep_random(scenario);
        FvProcess_Signal(process, SIGSTOP);
        FvFake_SleepMs(OUTAGE_MS);
        FvProcess_Signal(process, SIGCONT);
    }
    FvScenario_JoinCallers(scenario);
}

/* The host can reach its workers, but neither the store nor its peers. */
static void
run_holder_without_store(scenario_t *scenario)
{
    cluster_t *cluster = &scenario->cluster;
    int host;

    start_load(scenario);
    host = find_holder(scenario);
    sleep_random(scenario);
    FvCluster_SetRoute(cluster, ROUTE_STORE, host, 0, "blackhole");
    sleep_random(scenario);
    FvCluster_SetRoute(cluster, ROUTE_PEER, host, CLUSTER_ALL, "blackhole");
    FvCluster_SetRoute(cluster, ROUTE_PEER, CLUSTER_ALL, host, "blackhole");
    FvFake_SleepMs(OUTAGE_MS);
    FvCluster_SetRoute(cluster, ROUTE_PEER, host, CLUSTER_ALL, "restore");
    FvCluster_SetRoute(cluster, ROUTE_PEER, CLUSTER_ALL, host, "restore");
    FvCluster_SetRoute(cluster, ROUTE_STORE, host, 0, "restore");
    FvScenario_JoinCallers(scenario);
}

/* Without links, each host considers itself the only one that is alive. */
static void
run_hosts_contend(scenario_t *scenario)
{
    cluster_t *cluster = &scenario->cluster;

    start_load(scenario);
    for (int i = 0; i < 2; i++) {
        sleep_random(scenario);
        FvCluster_SetRoute(cluster, ROUTE_PEER, CLUSTER_ALL, CLUSTER_ALL,
                           "cut");
        FvFake_SleepMs(OUTAGE_MS);
        FvCluster_SetRoute(cluster, ROUTE_PEER, CLUSTER_ALL, CLUSTER_ALL,
                           "restore");
    }
    FvScenario_JoinCallers(scenario);
}

/* A killed lease holder stays on the host list, and another host cannot read
 * the list for even longer. */
static void
run_host_list_stale(scenario_t *scenario)
{
    cluster_t *cluster = &scenario->cluster;
    int victim;
    int other;

    start_load(scenario);
    victim = find_holder(scenario);
    other = (victim + 1) % cluster->host_count;
    sleep_random(scenario);
    FvCluster_SetRoute(cluster, ROUTE_LIST, other, 0, "blackhole");
    FvProcess_Kill(&cluster->hosts[victim].process);
    FvFake_SleepMs(OUTAGE_MS);
    FvCluster_SetHostListState(cluster, cluster->hosts[victim].name, "gone");
    FvFake_SleepMs(OUTAGE_MS);
    FvCluster_SetRoute(cluster, ROUTE_LIST, other, 0, "restore");
    FvScenario_JoinCallers(scenario);
}

int
main(void)
{
    topology_t unfenced = scenario_topology;

    unfenced.no_fencing = true;

    const scenario_case_t cases[] = {
        {"a worker overcommitted by a load above the cell's capacity",
         scenario_topology, run_load, false},
        {"a worker overcommitted by a resumed former holder",
         scenario_topology, run_holder_suspended, false},
        {"an unfenced worker overcommitted by a resumed former holder",
         unfenced, run_holder_suspended, false},
        {"an unfenced worker overcommitted by a holder without the store",
         unfenced, run_holder_without_store, false},
        {"an unfenced worker overcommitted by hosts without links", unfenced,
         run_hosts_contend, false},
        {"an unfenced worker overcommitted while the host list is stale",
         unfenced, run_host_list_stale, false},
    };

    return FvScenario_Main("no_overcommit", cases,
                           sizeof(cases) / sizeof(cases[0]), OVERCOMMIT_SEED);
}
