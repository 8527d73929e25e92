/*
 * Measures the control-plane overhead of the entry hosts: CPU time, memory,
 * traffic between hosts and to workers, reads of the host list and calls to
 * the store. Each combination of cell size and number of hosts is measured
 * idle and under load.
 */

#include "caller.h"
#include "fake-server.h"
#include "paced-load.h"

#include <stdlib.h>

#define LEASE_TIMEOUT_MS 40000
#define CONFIG_TIMEOUT_MS 15000
/* Time for the work after a cell's start to end before measuring. */
#define SETTLE_MS 2000
#define CONTROL_SEED 7001
#define WINDOW_MS 4000
#define QUICK_WINDOW_MS 2000
/* Long enough for every host to poll the configuration once. */
#define CONFIG_POLL_WINDOW_MS 10000
#define CONFIG_POLL_HOSTS 3

static const char *const members[] = {"m-1", "m-2", "m-3"};

typedef struct control_params {
    int racks;
    int workers_per_rack;
    int hosts;
    bool proxied;
    bool quick;
} control_params_t;

static const control_params_t control_cases[] = {
    {6, 8, 1, false, true},     {6, 8, 3, true, true},
    {6, 8, 3, false, false},    {6, 8, 9, false, false},
    {12, 40, 1, false, false},  {12, 40, 3, false, false},
    {12, 40, 9, false, false},  {12, 200, 1, false, false},
    {12, 200, 3, false, false}, {12, 200, 9, false, false},
};

typedef struct control {
    cluster_t cluster;
    topology_site_t site;
    int workers;
    char name[48];
} control_bench_t;

static void
report_rates(const control_bench_t *control, const char *phase,
             const cell_usage_t *used)
{
    double seconds = (double)used->at_us / 1e6;
    int hosts = control->cluster.host_count;
    double per_host = seconds * hosts;
    const char *name = control->name;

    FvBench_Report("control", used->cpu_ms / 10 / per_host, "% of a core",
                   "%s %s cpu per host", name, phase);
    FvBench_Report("control", used->link_bytes / per_host, "B/s",
                   "%s %s link bytes per host", name, phase);
    FvBench_Report("control", used->upstream_bytes / per_host, "B/s",
                   "%s %s worker bytes per host", name, phase);
    FvBench_Report("control",
                   used->upstream_bytes / seconds / control->workers, "B/s",
                   "%s %s bytes per worker", name, phase);
    FvBench_Report("control", used->host_list_reads / per_host, "1/s",
                   "%s %s list reads per host", name, phase);
    FvBench_Report("control", used->store_reads / seconds, "1/s",
                   "%s %s store reads of the cell", name, phase);
    FvBench_Report("control", used->store_writes / seconds, "1/s",
                   "%s %s store writes of the cell", name, phase);
    FvBench_Report("control", used->lease_calls / seconds, "1/s",
                   "%s %s store lease calls of the cell", name, phase);
    FvBench_Report("control", used->watches_started / seconds, "1/s",
                   "%s %s store watches started", name, phase);
}

static void
report_memory(control_bench_t *control)
{
    int64_t peak_kib = 0;

    for (int host = 0; host < control->cluster.host_count; host++) {
        int64_t host_peak_kib =
            FvUsage_PeakRssKib(control->cluster.hosts[host].process.pid);

        peak_kib = host_peak_kib > peak_kib ? host_peak_kib : peak_kib;
    }
    FvBench_Report("control", (double)peak_kib / 1024, "MiB",
                   "%s peak resident size of a host", control->name);
}

/* Reports the idle traffic as counted by the proxy, for comparison with the
 * hosts' counters. The proxy's final counts are read after the hosts' and so
 * cover the whole window. */
static void
report_routes(control_bench_t *control, const double before[ROUTE_KIND_COUNT],
              const cell_usage_t *used)
{
    static const char *const names[ROUTE_KIND_COUNT] = {
        "links", "workers", "store", "list", "callers"};
    double per_host = (double)used->at_us / 1e6 * control->cluster.host_count;

    for (int kind = 0; kind < ROUTE_CALLER; kind++) {
        double bytes =
            FvUsage_ProxiedBytes(&control->cluster, (route_kind_t)kind) -
            before[kind];

        FvBench_Report("control", bytes / per_host, "B/s",
                       "%s idle proxy bytes per host %s", control->name,
                       names[kind]);
    }
}

static void
measure_idle(control_bench_t *control, int64_t window_ms)
{
    cluster_t *cluster = &control->cluster;
    double route_bytes[ROUTE_KIND_COUNT] = {0};
    cell_usage_t before;
    cell_usage_t used;

    for (int kind = 0; cluster->topology.proxied && kind < ROUTE_CALLER;
         kind++) {
        route_bytes[kind] = FvUsage_ProxiedBytes(cluster, (route_kind_t)kind);
    }
    FvUsage_Read(cluster, &before);
    FvFake_SleepMs(window_ms);
    FvUsage_Read(cluster, &used);
    FvUsage_Subtract(&used, &before);
    if (cluster->topology.proxied) {
        report_routes(control, route_bytes, &used);
    }
    report_rates(control, "idle", &used);
}

static void
measure_load(control_bench_t *control, int64_t window_ms)
{
    paced_load_t lookups = {.cluster = &control->cluster,
                            .workload = "lookup",
                            .threads = 4,
                            .rate_per_s = 200,
                            .duration_ms = window_ms,
                            .run_min_ms = 5,
                            .run_max_ms = 5,
                            .answer_bytes = 100,
                            .seed = CONTROL_SEED};
    paced_load_t batch = {.cluster = &control->cluster,
                          .name = "batch",
                          .workload = "rebuild",
                          .threads = 2,
                          .rate_per_s = 20,
                          .duration_ms = window_ms,
                          .run_min_ms = 500,
                          .run_max_ms = 500,
                          .answer_bytes = 100,
                          .seed = CONTROL_SEED + 100};
    cell_usage_t before;
    cell_usage_t used;

    FvUsage_Read(&control->cluster, &before);
    FvPacedLoad_Start(&lookups);
    FvPacedLoad_Run(&batch);
    FvPacedLoad_Join(&lookups);
    FvUsage_Read(&control->cluster, &used);
    FvUsage_Subtract(&used, &before);
    report_rates(control, "loaded", &used);
    FvBench_Report("control",
                   (double)lookups.latencies_us.count * 1e6 /
                       (double)used.at_us,
                   "1/s", "%s loaded lookups", control->name);
    FvBench_Report("control",
                   (double)batch.latencies_us.count * 1e6 / (double)used.at_us,
                   "1/s", "%s loaded claimed jobs", control->name);
    FvBench_Report("control", lookups.refused + batch.refused, "count",
                   "%s loaded refused", control->name);
    FvPacedLoad_Close(&lookups);
    FvPacedLoad_Close(&batch);
}

static bool
start_cell(control_bench_t *control, const control_params_t *params)
{
    topology_t topology = {.sites = &control->site,
                           .site_count = 1,
                           .members = members,
                           .member_count = 3,
                           .proxied = params->proxied};
    char *answers = FvSample_NewAnswers(members, 3);
    bool started;
    int64_t took_ms;

    control->site = (topology_site_t){"r1", "dc1", params->hosts,
                                      params->racks, params->workers_per_rack};
    started =
        FvCluster_Start(&control->cluster, &topology) &&
        FvCluster_Configure(&control->cluster, 0, answers, CONFIG_TIMEOUT_MS);
    free(answers);
    if (!started) {
        return false;
    }
    took_ms = FvUsage_WaitForLeases(&control->cluster, control->workers,
                                    LEASE_TIMEOUT_MS);
    FvBench_Report("control",
                   FvUsage_CountHeldLeases(&control->cluster) * 100.0 /
                       control->workers,
                   "%", "%s leases held at the start", control->name);
    return took_ms >= 0;
}

static void
run_case(const control_params_t *params, bool quick)
{
    control_bench_t *control = calloc(1, sizeof(*control));
    int64_t window_ms = quick ? QUICK_WINDOW_MS : WINDOW_MS;
    bool includes_config_poll = !quick && params->hosts == CONFIG_POLL_HOSTS;

    if (control == NULL) {
        abort();
    }
    control->workers = params->racks * params->workers_per_rack;
    snprintf(control->name, sizeof(control->name), "%d workers %d hosts%s",
             control->workers, params->hosts,
             params->proxied ? " proxied" : "");
    if (start_cell(control, params)) {
        FvBench_Report("control",
                       (double)FvUsage_HostListBytes(&control->cluster), "B",
                       "%s host list document", control->name);
        FvFake_SleepMs(SETTLE_MS);
        measure_idle(control,
                     includes_config_poll ? CONFIG_POLL_WINDOW_MS : window_ms);
        measure_load(control, window_ms);
        report_memory(control);
    }
    else {
        FvBench_Report("control", 1, "failed", "%s start", control->name);
    }
    FvCluster_Close(&control->cluster);
    free(control);
}

static void
run_all(bool quick)
{
    size_t count = sizeof(control_cases) / sizeof(control_cases[0]);

    for (size_t i = 0; i < count; i++) {
        if (!quick || control_cases[i].quick) {
            run_case(&control_cases[i], quick);
        }
    }
}

int
main(int argc, char **argv)
{
    static const bench_group_t groups[] = {{"control", run_all, true}};

    return FvBench_Main(argc, argv, "Measures the control cost of a cell.",
                        groups, 1);
}
