/*
 * Guards against a worker that is given more than its processors, memory,
 * slots or connections hold: through two hosts that start under leases of the
 * same worker, or a ledger that misses what runs. The worker double refuses
 * what does not fit, so a refused start counts as a failure.
 */

#include "fake-server.h"
#include "promise.h"

#include <signal.h>

#define OVERCOMMIT_SEED 401
/* About twice what the cell can hold at once, renewed by each caller. */
#define LOAD_CALLERS 100
#define LOAD_MS 8000
/* Longer than the lease of 3 s and the grace of 300 ms. */
#define FREEZE_MS 4500
#define OUTCOME_LIMIT_MS 30000

/* Batch work of all kinds, and lookups, which need no reservation. */
static void
add_load(promise_t *promise)
{
    static const char *const workloads[] = {"rebuild", "fit-check", "gang",
                                            "lookup", "fit-check"};
    char key[Fv_KEY_SIZE];

    for (int i = 0; i < LOAD_CALLERS; i++) {
        caller_t *caller;

        snprintf(key, sizeof(key), "load-%d", i);
        caller = FvPromise_Caller(
            promise, (int)FvDraw_Between(&promise->draw, 0, 2),
            workloads[i % 5], key, FvDraw_Between(&promise->draw, 100, 1800));
        caller->after_ms =
            i == 0 ? 0 : FvDraw_Between(&promise->draw, 0, LOAD_MS);
        caller->limit_ms = OUTCOME_LIMIT_MS;
    }
    FvPromise_StartCallers(promise, 0);
}

/* A host that holds leases; not every host does. */
static int
find_holder(promise_t *promise)
{
    promise_place_t place;

    if (!FvPromise_WaitStart(promise, "load-0", 0, LOAD_MS, &place) ||
        place.holder < 0) {
        return 0;
    }
    return place.holder;
}

static void
wait_a_moment(promise_t *promise)
{
    FvFake_SleepMs(FvDraw_Between(&promise->draw, 1500, 2500));
}

static void
run_load(promise_t *promise)
{
    add_load(promise);
    FvPromise_JoinCallers(promise);
}

/* The list still names the host: only its silence lets the next candidate
 * take its leases, and it wakes up believing it holds them. */
static void
run_holder_frozen(promise_t *promise)
{
    int first;

    add_load(promise);
    first = find_holder(promise);
    for (int i = 0; i < 2; i++) {
        const process_t *process =
            &promise->cluster.hosts[(first + i) % 3].process;

        wait_a_moment(promise);
        FvProcess_Signal(process, SIGSTOP);
        FvFake_SleepMs(FREEZE_MS);
        FvProcess_Signal(process, SIGCONT);
    }
    FvPromise_JoinCallers(promise);
}

/* The host reaches its workers but neither the store nor its peers. */
static void
run_holder_without_store(promise_t *promise)
{
    cluster_t *cluster = &promise->cluster;
    int host;

    add_load(promise);
    host = find_holder(promise);
    wait_a_moment(promise);
    FvCluster_SetRoute(cluster, ROUTE_STORE, host, 0, "blackhole");
    wait_a_moment(promise);
    FvCluster_SetRoute(cluster, ROUTE_PEER, host, CLUSTER_ALL, "blackhole");
    FvCluster_SetRoute(cluster, ROUTE_PEER, CLUSTER_ALL, host, "blackhole");
    FvFake_SleepMs(FREEZE_MS);
    FvCluster_SetRoute(cluster, ROUTE_PEER, host, CLUSTER_ALL, "restore");
    FvCluster_SetRoute(cluster, ROUTE_PEER, CLUSTER_ALL, host, "restore");
    FvCluster_SetRoute(cluster, ROUTE_STORE, host, 0, "restore");
    FvPromise_JoinCallers(promise);
}

/* Two hosts each believe to be the only one that lives. */
static void
run_hosts_contend(promise_t *promise)
{
    cluster_t *cluster = &promise->cluster;

    add_load(promise);
    for (int i = 0; i < 2; i++) {
        wait_a_moment(promise);
        FvCluster_SetRoute(cluster, ROUTE_PEER, CLUSTER_ALL, CLUSTER_ALL,
                           "cut");
        FvFake_SleepMs(FREEZE_MS);
        FvCluster_SetRoute(cluster, ROUTE_PEER, CLUSTER_ALL, CLUSTER_ALL,
                           "restore");
    }
    FvPromise_JoinCallers(promise);
}

/* A holder is killed while the list keeps naming it; another host reads no
 * list for longer still. */
static void
run_list_stale(promise_t *promise)
{
    cluster_t *cluster = &promise->cluster;
    int victim;
    int other;

    add_load(promise);
    victim = find_holder(promise);
    other = (victim + 1) % cluster->host_count;
    wait_a_moment(promise);
    FvCluster_SetRoute(cluster, ROUTE_LIST, other, 0, "blackhole");
    FvProcess_Kill(&cluster->hosts[victim].process);
    FvFake_SleepMs(FREEZE_MS);
    FvCluster_SetHostListState(cluster, cluster->hosts[victim].name, "gone");
    FvFake_SleepMs(FREEZE_MS);
    FvCluster_SetRoute(cluster, ROUTE_LIST, other, 0, "restore");
    FvPromise_JoinCallers(promise);
}

int
main(void)
{
    topology_t unfenced = promise_topology;

    unfenced.no_fencing = true;

    const promise_case_t cases[] = {
        {"a worker overcommitted by a load that fills the cell",
         promise_topology, run_load, false},
        {"a worker overcommitted by a former holder that was frozen",
         promise_topology, run_holder_frozen, false},
        {"an unfenced worker overcommitted by a frozen former holder",
         unfenced, run_holder_frozen, false},
        {"an unfenced worker overcommitted by a holder without the store",
         unfenced, run_holder_without_store, false},
        {"an unfenced worker overcommitted by hosts that contend for it",
         unfenced, run_hosts_contend, false},
        {"an unfenced worker overcommitted while the host list is stale",
         unfenced, run_list_stale, false},
    };

    return FvPromise_Main("no_overcommit", cases,
                          sizeof(cases) / sizeof(cases[0]), OVERCOMMIT_SEED);
}
