/*
 * Fault injection for a test cell, in rounds of two faults.
 */

#include "chaos.h"

#include "fake-server.h"

#include <signal.h>
#include <string.h>

#define FIRST_ROUND_MS 1500
/* Short, so that the second round hits a cell that is still recovering. */
#define ROUND_GAP_MS 2500
/* Longer than the lease of 3 s and a takeover. */
#define ROUND_MIN_MS 5000
#define ROUND_MAX_MS 8000
/* From the end of the load until every job must have an outcome. */
#define SETTLE_MS 30000
#define DROPPED_REPLIES 25
#define DELAYED_WRITES 40

static const char *const fault_names[FAULT_KIND_COUNT] = {
    "kill_host",    "suspend_host",       "cut_store",
    "cut_workers",  "cut_peers",          "cut_region",
    "store_down",   "drop_store_replies", "delay_store_writes",
    "drain_worker", "racing_operators",   "cancel_burst"};

/**
 * FvChaos_FaultName - name of a kind of fault
 * @kind: kind of fault
 *
 * Return: the name.
 */
const char *
FvChaos_FaultName(fault_kind_t kind)
{
    return fault_names[kind];
}

static bool
stops_process(fault_kind_t kind)
{
    return kind == FAULT_KILL_HOST || kind == FAULT_SUSPEND_HOST;
}

static void
plan_fault(chaos_t *chaos, fault_t *fault)
{
    const cluster_t *cluster = &chaos->scenario->cluster;
    rng_t *rng = &chaos->scenario->rng;
    const cluster_rack_t *rack =
        &cluster->racks[FvRng_Between(rng, 0, cluster->rack_count - 1)];

    fault->kind = (fault_kind_t)FvRng_Between(rng, 0, FAULT_KIND_COUNT - 1);
    fault->host = (int)FvRng_Between(rng, 0, cluster->host_count - 1);
    fault->site =
        (int)FvRng_Between(rng, 0, (int64_t)cluster->topology.site_count - 1);
    snprintf(fault->worker, sizeof(fault->worker), "%.40s%lld", rack->prefix,
             (long long)FvRng_Between(rng, 1, rack->site->workers_per_rack));
    fault->mode = FvRng_Between(rng, 0, 1) == 0 ? "cut" : "blackhole";
    fault->delay_ms = FvRng_Between(rng, 500, 4000);
}

static void
plan_round(chaos_t *chaos, chaos_round_t *round)
{
    fault_t *first = &round->faults[0];
    fault_t *second = &round->faults[1];

    round->duration_ms =
        FvRng_Between(&chaos->scenario->rng, ROUND_MIN_MS, ROUND_MAX_MS);
    plan_fault(chaos, first);
    do {
        plan_fault(chaos, second);
    } while (second->kind == first->kind ||
             (stops_process(first->kind) && stops_process(second->kind) &&
              first->host == second->host));
}

/**
 * FvChaos_PlanFaults - choose the faults, and by them the length of the run
 * @chaos: the run
 */
void
FvChaos_PlanFaults(chaos_t *chaos)
{
    int64_t at_ms = FIRST_ROUND_MS;

    for (int i = 0; i < CHAOS_ROUNDS; i++) {
        plan_round(chaos, &chaos->rounds[i]);
        chaos->rounds[i].at_ms = at_ms;
        at_ms += chaos->rounds[i].duration_ms + ROUND_GAP_MS;
    }
    chaos->load_ms = at_ms - ROUND_GAP_MS;
    chaos->jobs_deadline_ms = chaos->load_ms + SETTLE_MS;
}

static void
print_fault(const chaos_t *chaos, const fault_t *fault)
{
    const cluster_t *cluster = &chaos->scenario->cluster;

    printf(" %s", fault_names[fault->kind]);
    switch (fault->kind) {
    case FAULT_KILL_HOST:
    case FAULT_SUSPEND_HOST:
        printf("(%s)", cluster->hosts[fault->host].name);
        break;
    case FAULT_CUT_STORE:
    case FAULT_CUT_WORKERS:
    case FAULT_CUT_PEERS:
        printf("(%s, %s)", cluster->hosts[fault->host].name, fault->mode);
        break;
    case FAULT_CUT_REGION:
        printf("(%s, %s)", cluster->topology.sites[fault->site].region,
               fault->mode);
        break;
    case FAULT_DELAY_STORE_WRITES:
        printf("(%lld ms)", (long long)fault->delay_ms);
        break;
    case FAULT_DRAIN_WORKER:
        printf("(%s)", fault->worker);
        break;
    default:
        break;
    }
}

/**
 * FvChaos_PrintFaults - print the seed and the planned faults
 * @chaos: the run
 */
void
FvChaos_PrintFaults(const chaos_t *chaos)
{
    const scenario_t *scenario = chaos->scenario;

    flockfile(stdout);
    printf("seed %llu: workers %s fencing, list lag %d ms, files %s\n",
           (unsigned long long)scenario->rng.seed,
           scenario->cluster.topology.no_fencing ? "without" : "with",
           scenario->cluster.topology.list_lag_ms,
           scenario->cluster.directory);
    for (int i = 0; i < CHAOS_ROUNDS; i++) {
        const chaos_round_t *round = &chaos->rounds[i];
        int64_t until_ms = round->at_ms + round->duration_ms;

        printf("seed %llu: %5lld ms to %5lld ms:",
               (unsigned long long)scenario->rng.seed, (long long)round->at_ms,
               (long long)until_ms);
        for (int j = 0; j < CHAOS_FAULTS_PER_ROUND; j++) {
            print_fault(chaos, &round->faults[j]);
        }
        printf("\n");
    }
    fflush(stdout);
    funlockfile(stdout);
}

static void
set_peer_routes(chaos_t *chaos, int host, const char *mode)
{
    cluster_t *cluster = &chaos->scenario->cluster;

    FvCluster_SetRoute(cluster, ROUTE_PEER, host, CLUSTER_ALL, mode);
    FvCluster_SetRoute(cluster, ROUTE_PEER, CLUSTER_ALL, host, mode);
}

static void
set_region_routes(chaos_t *chaos, int site, const char *mode)
{
    cluster_t *cluster = &chaos->scenario->cluster;
    const topology_site_t *sites = cluster->topology.sites;

    for (size_t i = 0; i < cluster->topology.site_count; i++) {
        if ((int)i != site) {
            FvCluster_SplitRegions(cluster, sites[site].region,
                                   sites[i].region, mode);
        }
    }
}

static void
set_store_mode(chaos_t *chaos, const char *mode)
{
    FvCluster_ControlPlatform(&chaos->scenario->cluster, "/store",
                              json_pack("{s:s}", "mode", mode));
}

static void
drop_store_replies(chaos_t *chaos, int count)
{
    FvCluster_ControlPlatform(&chaos->scenario->cluster, "/store/lose_answers",
                              json_pack("{s:i}", "count", count));
}

static void
delay_store_writes(chaos_t *chaos, int count, int64_t delay_ms)
{
    FvCluster_ControlPlatform(&chaos->scenario->cluster, "/store/delay_writes",
                              json_pack("{s:i, s:I}", "count", count,
                                        "delay_ms", (json_int_t)delay_ms));
}

static void
stop_process(chaos_t *chaos, fault_t *fault)
{
    cluster_t *cluster = &chaos->scenario->cluster;
    cluster_host_t *host = &cluster->hosts[fault->host];

    if (fault->kind == FAULT_KILL_HOST) {
        FvProcess_Kill(&host->process);
    }
    else {
        FvProcess_Signal(&host->process, SIGSTOP);
    }
    /* The other hosts see the change after the delay of the host list. */
    FvCluster_SetHostListState(cluster, host->name, "gone");
}

static void
apply_fault(chaos_t *chaos, fault_t *fault)
{
    cluster_t *cluster = &chaos->scenario->cluster;

    fault->began_us = FvFake_WallUs();
    switch (fault->kind) {
    case FAULT_KILL_HOST:
    case FAULT_SUSPEND_HOST:
        stop_process(chaos, fault);
        break;
    case FAULT_CUT_STORE:
        FvCluster_SetRoute(cluster, ROUTE_STORE, fault->host, 0, fault->mode);
        break;
    case FAULT_CUT_WORKERS:
        FvCluster_SetRoute(cluster, ROUTE_RACK, fault->host, CLUSTER_ALL,
                           fault->mode);
        break;
    case FAULT_CUT_PEERS:
        set_peer_routes(chaos, fault->host, fault->mode);
        break;
    case FAULT_CUT_REGION:
        set_region_routes(chaos, fault->site, fault->mode);
        break;
    case FAULT_STORE_DOWN:
        set_store_mode(chaos, "down");
        break;
    case FAULT_DROP_STORE_REPLIES:
        drop_store_replies(chaos, DROPPED_REPLIES);
        break;
    case FAULT_DELAY_STORE_WRITES:
        delay_store_writes(chaos, DELAYED_WRITES, fault->delay_ms);
        break;
    case FAULT_DRAIN_WORKER:
        FvCluster_SetHostListState(cluster, fault->worker, "leaving");
        break;
    case FAULT_RACING_OPERATORS:
        FvChaos_StartOperators(chaos, fault->host);
        break;
    case FAULT_CANCEL_BURST:
        FvChaos_StartCancelBurst(chaos, fault->host);
        break;
    default:
        break;
    }
}

static void
resume_process(chaos_t *chaos, fault_t *fault)
{
    cluster_t *cluster = &chaos->scenario->cluster;
    cluster_host_t *host = &cluster->hosts[fault->host];

    FvCluster_SetHostListState(cluster, host->name, "live");
    if (fault->kind == FAULT_SUSPEND_HOST) {
        FvProcess_Signal(&host->process, SIGCONT);
    }
    else if (!FvCluster_StartHost(cluster, fault->host)) {
        FvChaos_Fail(chaos, "%s cannot be restarted", host->name);
    }
}

static void
restore_fault(chaos_t *chaos, fault_t *fault)
{
    cluster_t *cluster = &chaos->scenario->cluster;

    fault->ended_us = FvFake_WallUs();
    switch (fault->kind) {
    case FAULT_KILL_HOST:
    case FAULT_SUSPEND_HOST:
        resume_process(chaos, fault);
        break;
    case FAULT_CUT_STORE:
        FvCluster_SetRoute(cluster, ROUTE_STORE, fault->host, 0, "restore");
        break;
    case FAULT_CUT_WORKERS:
        FvCluster_SetRoute(cluster, ROUTE_RACK, fault->host, CLUSTER_ALL,
                           "restore");
        break;
    case FAULT_CUT_PEERS:
        set_peer_routes(chaos, fault->host, "restore");
        break;
    case FAULT_CUT_REGION:
        set_region_routes(chaos, fault->site, "restore");
        break;
    case FAULT_STORE_DOWN:
        set_store_mode(chaos, "up");
        break;
    case FAULT_DROP_STORE_REPLIES:
        drop_store_replies(chaos, 0);
        break;
    case FAULT_DELAY_STORE_WRITES:
        delay_store_writes(chaos, 0, 0);
        break;
    case FAULT_DRAIN_WORKER:
        FvCluster_SetHostListState(cluster, fault->worker, "live");
        break;
    case FAULT_RACING_OPERATORS:
        FvChaos_JoinOperators(chaos);
        break;
    default:
        break;
    }
}

/**
 * FvChaos_ApplyRound - start both faults of a round
 * @chaos: the run
 * @round: the round
 */
void
FvChaos_ApplyRound(chaos_t *chaos, chaos_round_t *round)
{
    for (int i = 0; i < CHAOS_FAULTS_PER_ROUND; i++) {
        apply_fault(chaos, &round->faults[i]);
    }
}

/**
 * FvChaos_RestoreRound - end both faults of a round
 * @chaos: the run
 * @round: the round
 */
void
FvChaos_RestoreRound(chaos_t *chaos, chaos_round_t *round)
{
    for (int i = 0; i < CHAOS_FAULTS_PER_ROUND; i++) {
        restore_fault(chaos, &round->faults[i]);
    }
}
