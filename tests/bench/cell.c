/*
 * Measures whole cells of real processes: the latency that routing adds to a
 * lookup, queueing times and deadlines under mixed load, urgent jobs and
 * lease takeover after host failures, cross-region traffic and configuration
 * changes.
 */

#include "caller.h"
#include "fake-server.h"
#include "paced-load.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define CONFIG_TIMEOUT_MS 15000
#define LEASE_TIMEOUT_MS 40000
#define SETTLE_MS 1500
#define CELL_SEED 9001
/* Time from a host's failure until the host list shows it as gone. */
#define HOST_LIST_DELAY_MS 500
/* Target for the start of urgent jobs when one of nine hosts is dead. */
#define URGENT_DEADLINE_MS 5500
/* Long batch jobs that run beside the urgent ones; batch jobs may use 336
 * slots. */
#define URGENT_BATCH_JOBS 280
#define MANY_MEMBERS 83
/* By this time after the load, all jobs have started unless deadlines are
 * missed. */
#define MIXED_SETTLE_MS 4000

static const char *const members[] = {"m-1", "m-2", "m-3"};

typedef struct cell {
    cluster_t cluster;
    topology_site_t sites[3];
    int workers;
} cell_t;

static cell_t *
new_cell(void)
{
    cell_t *cell = calloc(1, sizeof(*cell));

    if (cell == NULL) {
        abort();
    }
    return cell;
}

/* Starts a cell configured from the sample questionnaire answers and waits
 * until all worker leases are held. */
static bool
start_cell(cell_t *cell, topology_t *topology)
{
    char *answers;
    bool started;

    topology->sites = cell->sites;
    if (topology->member_count == 0) {
        topology->members = members;
        topology->member_count = 3;
    }
    answers = FvSample_NewAnswers(topology->members, topology->member_count);
    started =
        FvCluster_Start(&cell->cluster, topology) &&
        FvCluster_Configure(&cell->cluster, 0, answers, CONFIG_TIMEOUT_MS);
    free(answers);
    cell->workers = FvUsage_CountWorkers(&cell->cluster);
    started = started && FvUsage_WaitForLeases(&cell->cluster, cell->workers,
                                               LEASE_TIMEOUT_MS) >= 0;
    if (started) {
        FvFake_SleepMs(SETTLE_MS);
    }
    return started;
}

static void
close_cell(cell_t *cell, bool started, const char *bench)
{
    if (!started) {
        FvBench_Report(bench, 1, "failed", "start");
    }
    FvCluster_Close(&cell->cluster);
    free(cell);
}

static int
count_running_tasks(cluster_t *cluster)
{
    int running = 0;

    for (int rack = 0; rack < cluster->rack_count; rack++) {
        running += (int)FvCluster_RackCounter(cluster, rack, "running");
    }
    return running;
}

/* Submits long batch jobs, then waits until the number of running tasks is
 * stable; returns that number. */
static int
fill_cell(cell_t *cell, int job_count, int64_t run_ms)
{
    paced_load_t load = {.cluster = &cell->cluster,
                         .name = "fill",
                         .workload = "rebuild",
                         .threads = 8,
                         .rate_per_s = 400,
                         .duration_ms = job_count * 1000 / 400,
                         .run_min_ms = run_ms,
                         .run_max_ms = run_ms,
                         .answer_bytes = 10,
                         .seed = CELL_SEED};
    int running = -1;
    int previous;

    FvPacedLoad_Run(&load);
    FvSamples_Report(&load.latencies_us, "fill", "claimed submission");
    FvBench_Report("fill", load.refused, "count", "refused");
    FvPacedLoad_Close(&load);
    do {
        previous = running;
        FvFake_SleepMs(500);
        running = count_running_tasks(&cell->cluster);
    } while (running != previous);
    return running;
}

/* Lookup latency through a host compared with direct calls to workers. */

typedef struct lookup_series {
    const char *name;
    bool direct;
    int64_t quantiles_us[3];
} lookup_series_t;

static void
measure_lookups(cell_t *cell, lookup_series_t *series, bool quick)
{
    static const double quantiles[] = {0.5, 0.99, 1};
    static uint64_t series_count;
    paced_load_t load = {.cluster = &cell->cluster,
                         .workload = series->direct ? NULL : "lookup",
                         .threads = 4,
                         .rate_per_s = 200,
                         .duration_ms = quick ? 2000 : 6000,
                         .run_min_ms = 5,
                         .run_max_ms = 5,
                         .answer_bytes = 100,
                         .seed = CELL_SEED + 100 * ++series_count};

    FvPacedLoad_Run(&load);
    FvSamples_Report(&load.latencies_us, "lookup", series->name);
    FvBench_Report("lookup", load.refused, "count", "%s refused",
                   series->name);
    for (int i = 0; i < 3; i++) {
        series->quantiles_us[i] =
            FvSamples_Quantile(&load.latencies_us, quantiles[i]);
    }
    FvPacedLoad_Close(&load);
}

static void
compare_lookups(cell_t *cell, const char *state, bool quick)
{
    static const char *const names[] = {"p50", "p99", "worst"};
    char direct_name[64];
    char routed_name[64];
    lookup_series_t direct = {.name = direct_name, .direct = true};
    lookup_series_t routed = {.name = routed_name};

    snprintf(direct_name, sizeof(direct_name), "%s direct", state);
    snprintf(routed_name, sizeof(routed_name), "%s routed", state);
    /* Routed lookups go first: until their next lease renewals, the hosts
     * count the slots that direct calls used as occupied. */
    measure_lookups(cell, &routed, quick);
    measure_lookups(cell, &direct, quick);
    FvFake_SleepMs(2 * SETTLE_MS);
    for (int i = 0; i < 3; i++) {
        FvBench_Report(
            "lookup",
            (double)(routed.quantiles_us[i] - direct.quantiles_us[i]) / 1e3,
            "ms", "%s added %s", state, names[i]);
    }
}

static void
bench_lookup(bool quick)
{
    cell_t *cell = new_cell();
    topology_t topology = {.site_count = 1, .no_fencing = true};
    bool started;

    cell->sites[0] = (topology_site_t){"r1", "dc1", 3, 6, 8};
    started = start_cell(cell, &topology);
    if (started) {
        compare_lookups(cell, "idle", quick);
        FvBench_Report("lookup", fill_cell(cell, 480, 120000), "tasks",
                       "full: batch tasks running on 48 workers");
        compare_lookups(cell, "full", quick);
    }
    close_cell(cell, started, "lookup");
}

/* Mixed load of lookups, batch jobs with deadlines, and gangs. */

typedef struct mixed_results {
    samples_t waits_us[3]; /* by member */
    int done;
    int deadlines_met;
    int refused;
    int not_run;
    int unknown;
    int not_ended; /* includes status calls without a reply */
} mixed_results_t;

/* Times come from the workers' records. The hosts' times are not usable: a
 * host registers the start of a batch task only when the worker has replied,
 * up to 500 ms later, and the ran_ms of an ended job was seen to grow between
 * two status calls. */
static void
collect_job(cell_t *cell, const paced_job_t *job, const records_t *records,
            mixed_results_t *mixed_results)
{
    int64_t started_us = FvBench_FirstStartUs(records, job->key);
    int64_t ended_us = FvBench_LastEndUs(records, job->key);
    job_reply_t reply;

    if (!job->accepted) {
        mixed_results->refused++;
        return;
    }
    if (started_us >= 0) {
        FvSamples_Add(&mixed_results->waits_us[job->member[2] - '1'],
                      started_us - job->sent_us);
    }
    FvApi_GetJob(&cell->cluster, job->host, job->member, job->key, 30000,
                 &reply);
    mixed_results->not_run += strcmp(reply.outcome, "not_run") == 0;
    mixed_results->unknown += strcmp(reply.outcome, "unknown") == 0;
    mixed_results->not_ended += reply.outcome[0] == 0;
    if (strcmp(reply.outcome, "done") == 0) {
        mixed_results->done++;
        mixed_results->deadlines_met +=
            ended_us >= 0 &&
            ended_us - job->sent_us <= job->deadline_ms * 1000;
    }
    FvApi_FreeJobReply(&reply);
}

static void
report_jobs(cell_t *cell, const paced_load_t *load)
{
    const char *name = load->name;
    mixed_results_t mixed_results = {0};
    records_t records;
    char text[64];

    FvFake_SleepMs(MIXED_SETTLE_MS);
    FvCluster_ReadRecords(&cell->cluster, &records);

    for (int i = 0; i < 3; i++) {
        FvSamples_Open(&mixed_results.waits_us[i]);
    }
    for (size_t i = 0; i < load->job_count; i++) {
        collect_job(cell, &load->jobs[i], &records, &mixed_results);
    }
    for (int i = 0; i < 3; i++) {
        snprintf(text, sizeof(text), "%s wait %s", name, members[i]);
        FvSamples_Report(&mixed_results.waits_us[i], "mixed", text);
        FvSamples_Close(&mixed_results.waits_us[i]);
    }
    FvRecords_Free(&records);
    FvBench_Report("mixed", (double)load->job_count, "count", "%s submitted",
                   name);
    FvBench_Report("mixed", mixed_results.refused, "count", "%s refused",
                   name);
    FvBench_Report("mixed", mixed_results.done, "count", "%s done", name);
    FvBench_Report("mixed", mixed_results.not_run, "count", "%s not_run",
                   name);
    FvBench_Report("mixed", mixed_results.unknown, "count", "%s unknown",
                   name);
    FvBench_Report("mixed", mixed_results.not_ended, "count", "%s not ended",
                   name);
    FvBench_Report(
        "mixed", 100.0 * mixed_results.deadlines_met / (double)load->job_count,
        "%", "%s deadlines met", name);
}

/* The batch jobs need about 90 % of the slots that lookups leave free. */
static void
run_mixed(cell_t *cell, int64_t duration_ms)
{
    paced_load_t lookups = {.cluster = &cell->cluster,
                            .workload = "lookup",
                            .threads = 3,
                            .rate_per_s = 150,
                            .run_min_ms = 5,
                            .run_max_ms = 50,
                            .answer_bytes = 100,
                            .seed = CELL_SEED + 1};
    paced_load_t batch = {.cluster = &cell->cluster,
                          .name = "deadline",
                          .workload = "rebuild",
                          .threads = 4,
                          .rate_per_s = 80,
                          .run_min_ms = 2000,
                          .run_max_ms = 4000,
                          .deadline_ms = 15000,
                          .answer_bytes = 100,
                          .seed = CELL_SEED + 100};
    paced_load_t gangs = {.cluster = &cell->cluster,
                          .name = "gang",
                          .workload = "gang",
                          .threads = 1,
                          .rate_per_s = 8,
                          .run_min_ms = 500,
                          .run_max_ms = 1500,
                          .deadline_ms = 15000,
                          .answer_bytes = 100,
                          .seed = CELL_SEED + 200};

    lookups.duration_ms = duration_ms;
    batch.duration_ms = duration_ms;
    gangs.duration_ms = duration_ms;
    FvPacedLoad_Start(&lookups);
    FvPacedLoad_Start(&batch);
    FvPacedLoad_Run(&gangs);
    FvPacedLoad_Join(&batch);
    FvPacedLoad_Join(&lookups);
    FvSamples_Report(&lookups.latencies_us, "mixed",
                     "interactive reply all members");
    FvBench_Report("mixed", lookups.refused, "count", "interactive refused");
    report_jobs(cell, &batch);
    report_jobs(cell, &gangs);
    FvPacedLoad_Close(&lookups);
    FvPacedLoad_Close(&batch);
    FvPacedLoad_Close(&gangs);
}

static void
bench_mixed(bool quick)
{
    cell_t *cell = new_cell();
    topology_t topology = {.site_count = 1};
    bool started;

    cell->sites[0] = (topology_site_t){"r1", "dc1", 3, 6, 8};
    started = start_cell(cell, &topology);
    if (started) {
        run_mixed(cell, quick ? 4000 : 12000);
    }
    close_cell(cell, started, "mixed");
}

/* Urgent jobs and lease takeover after host failures. */

/* Reports the delays from submission to the first start that a worker
 * recorded. */
static void
report_starts(cell_t *cell, const paced_load_t *load)
{
    samples_t delays;
    records_t records;
    int missing = 0;

    FvSamples_Open(&delays);
    FvCluster_ReadRecords(&cell->cluster, &records);
    for (size_t i = 0; i < load->job_count; i++) {
        int64_t at_us = FvBench_FirstStartUs(&records, load->jobs[i].key);

        if (at_us < 0) {
            missing++;
        }
        else {
            FvSamples_Add(&delays, at_us - load->jobs[i].sent_us);
        }
    }
    FvSamples_Report(&delays, "urgent", "submission to start");
    FvBench_Report("urgent", missing, "count", "never started");
    FvBench_Report("urgent", load->refused, "count", "refused or failed");
    FvRecords_Free(&records);
    FvSamples_Close(&delays);
}

/* Kills the last host and measures until the others hold all leases. */
static void
kill_host(cell_t *cell, const char *name)
{
    cluster_t *cluster = &cell->cluster;
    cluster_host_t *victim = &cluster->hosts[cluster->host_count - 1];
    int64_t start_ms = FvClock_NowMs();
    int64_t took_ms;

    FvProcess_Kill(&victim->process);
    FvBench_Report("takeover",
                   cell->workers - FvUsage_CountHeldLeases(cluster), "workers",
                   "%s held by the killed host", name);
    FvFake_SleepMs(HOST_LIST_DELAY_MS);
    FvCluster_SetHostListState(cluster, victim->name, "gone");
    took_ms = FvUsage_WaitForLeases(cluster, cell->workers, LEASE_TIMEOUT_MS);
    FvBench_Report("takeover",
                   took_ms < 0 ? -1 : (double)(FvClock_NowMs() - start_ms),
                   "ms", "%s host killed to all leases held", name);
}

static void
kill_host_under_load(cell_t *cell)
{
    paced_load_t urgent = {.cluster = &cell->cluster,
                           .name = "urgent",
                           .workload = "fit-check",
                           .threads = 2,
                           .rate_per_s = 20,
                           .duration_ms = 8000,
                           .run_min_ms = 20,
                           .run_max_ms = 20,
                           .answer_bytes = 10,
                           .deadline_ms = URGENT_DEADLINE_MS,
                           .host_count = cell->cluster.host_count - 1,
                           .seed = CELL_SEED + 300};
    paced_load_t lookups = {.cluster = &cell->cluster,
                            .workload = "lookup",
                            .threads = 2,
                            .rate_per_s = 50,
                            .duration_ms = 8000,
                            .run_min_ms = 5,
                            .run_max_ms = 5,
                            .answer_bytes = 10,
                            .host_count = cell->cluster.host_count - 1,
                            .seed = CELL_SEED + 400};

    FvBench_Report("urgent", fill_cell(cell, URGENT_BATCH_JOBS, 120000),
                   "tasks", "batch tasks running on 48 workers");
    FvPacedLoad_Start(&urgent);
    FvPacedLoad_Start(&lookups);
    FvFake_SleepMs(300);
    kill_host(cell, "48 workers 9 hosts full");
    FvPacedLoad_Join(&urgent);
    FvPacedLoad_Join(&lookups);
    FvFake_SleepMs(SETTLE_MS);
    report_starts(cell, &urgent);
    FvSamples_Report(&lookups.latencies_us, "urgent", "lookup reply");
    FvBench_Report("urgent", lookups.refused, "count", "lookups refused");
    FvPacedLoad_Close(&urgent);
    FvPacedLoad_Close(&lookups);
}

typedef struct lookup_probe {
    cluster_t *cluster;
} lookup_probe_t;

static bool
is_lookup_answered(void *context)
{
    const lookup_probe_t *probe = context;
    submit_t submit = {.member = members[0],
                       .workload = "lookup",
                       .payload = "{\"run_ms\": 1}",
                       .wait_ms = 1000,
                       .raw = true,
                       .timeout_ms = 1500};
    job_reply_t reply;

    FvApi_Submit(probe->cluster, 0, &submit, &reply);
    FvApi_FreeJobReply(&reply);
    return reply.status == 200;
}

static void
restart_hosts(cell_t *cell, const char *name)
{
    cluster_t *cluster = &cell->cluster;
    lookup_probe_t probe = {cluster};
    int64_t start_ms;
    bool answered;

    for (int host = 0; host < cluster->host_count; host++) {
        FvProcess_Kill(&cluster->hosts[host].process);
    }
    start_ms = FvClock_NowMs();
    for (int host = 0; host < cluster->host_count; host++) {
        FvCluster_StartHost(cluster, host);
    }
    answered = FvWait_Until(is_lookup_answered, &probe, LEASE_TIMEOUT_MS);
    FvBench_Report("takeover",
                   answered ? (double)(FvClock_NowMs() - start_ms) : -1, "ms",
                   "%s all restarted to first lookup", name);
    answered =
        FvUsage_WaitForLeases(cluster, cell->workers, LEASE_TIMEOUT_MS) >= 0;
    FvBench_Report("takeover",
                   answered ? (double)(FvClock_NowMs() - start_ms) : -1, "ms",
                   "%s all restarted to all leases held", name);
}

static void
bench_takeover(int racks, int workers_per_rack, bool urgent)
{
    cell_t *cell = new_cell();
    topology_t topology = {.site_count = 1};
    char name[64];
    bool started;

    cell->sites[0] =
        (topology_site_t){"r1", "dc1", 9, racks, workers_per_rack};
    snprintf(name, sizeof(name), "%d workers 9 hosts",
             racks * workers_per_rack);
    started = start_cell(cell, &topology);
    if (started) {
        restart_hosts(cell, name);
        FvFake_SleepMs(2 * SETTLE_MS);
        if (urgent) {
            kill_host_under_load(cell);
        }
        else {
            kill_host(cell, name);
        }
    }
    close_cell(cell, started, "takeover");
}

/* Cross-region traffic. */

/* Callers are in a region without workers, so every request crosses regions.
 * Idle link traffic is subtracted. */
static void
measure_cross_region_lookups(cell_t *cell, int64_t answer_bytes,
                             double idle_bytes_per_s)
{
    paced_load_t load = {.cluster = &cell->cluster,
                         .workload = "lookup",
                         .threads = 2,
                         .rate_per_s = 3,
                         .duration_ms = 4000,
                         .run_min_ms = 5,
                         .run_max_ms = 5,
                         .host_count = 1,
                         .seed = CELL_SEED + 500};
    double link_bytes = FvUsage_ProxiedBytes(&cell->cluster, ROUTE_PEER);
    double requests;
    cell_usage_t before;
    cell_usage_t used;

    load.answer_bytes = answer_bytes;
    FvUsage_Read(&cell->cluster, &before);
    FvPacedLoad_Run(&load);
    FvUsage_Read(&cell->cluster, &used);
    link_bytes = FvUsage_ProxiedBytes(&cell->cluster, ROUTE_PEER) - link_bytes;
    FvUsage_Subtract(&used, &before);
    requests = (double)load.latencies_us.count;
    link_bytes -= idle_bytes_per_s * (double)used.at_us / 1e6;
    FvSamples_Report(&load.latencies_us, "regions", "reply");
    FvBench_Report("regions", requests, "count",
                   "lookups with answers of %lld B", (long long)answer_bytes);
    FvBench_Report("regions", load.refused, "count",
                   "refused lookups with answers of %lld B",
                   (long long)answer_bytes);
    FvBench_Report("regions", link_bytes / requests, "B",
                   "on links per lookup with answers of %lld B",
                   (long long)answer_bytes);
    FvBench_Report("regions", used.cross_region_bytes / requests, "B",
                   "accounted per lookup with answers of %lld B",
                   (long long)answer_bytes);
    FvPacedLoad_Close(&load);
}

static void
bench_regions(bool quick)
{
    cell_t *cell = new_cell();
    topology_t topology = {
        .site_count = 3, .proxied = true, .region_delay_ms = 20};
    bool started;
    int64_t window_ms = quick ? 4000 : 8000;
    double idle_bytes_per_s;

    cell->sites[0] = (topology_site_t){"r1", "dc1", 1, 0, 8};
    cell->sites[1] = (topology_site_t){"r2", "dc2", 1, 2, 8};
    cell->sites[2] = (topology_site_t){"r3", "dc3", 1, 2, 8};
    started = start_cell(cell, &topology);
    if (started) {
        idle_bytes_per_s = FvUsage_ProxiedBytes(&cell->cluster, ROUTE_PEER);
        FvFake_SleepMs(window_ms);
        idle_bytes_per_s = (FvUsage_ProxiedBytes(&cell->cluster, ROUTE_PEER) -
                            idle_bytes_per_s) *
                           1e3 / (double)window_ms;
        FvBench_Report("regions", idle_bytes_per_s / 6, "B/s",
                       "idle between two hosts of different regions, one way");
        measure_cross_region_lookups(cell, 100, idle_bytes_per_s);
        measure_cross_region_lookups(cell, 10000, idle_bytes_per_s);
    }
    close_cell(cell, started, "regions");
}

/* Configuration changes. */

typedef struct config_change {
    cluster_t *cluster;
    int64_t version;
} config_change_t;

static bool
is_active_on_all_hosts(void *context)
{
    const config_change_t *change = context;

    for (int host = 0; host < change->cluster->host_count; host++) {
        if (FvApi_ConfigVersion(change->cluster, host) < change->version) {
            return false;
        }
    }
    return true;
}

static json_t *
changed_answers(cluster_t *cluster, int change_index)
{
    const char *member = cluster->topology.members[0];
    char *text = FvSample_NewAnswers(&member, 1);
    json_t *all = json_loads(text, 0, NULL);
    json_t *member_answers = json_deep_copy(json_object_get(all, member));

    json_object_set_new(member_answers, "weight",
                        json_integer(2 + change_index));
    json_decref(all);
    free(text);
    return member_answers;
}

/* Sends the approvals of members FROM to COUNT - 1. The last member's approval
 * activates the proposal. */
static bool
send_approvals(cluster_t *cluster, const proposal_reply_t *proposal,
               size_t count, size_t from)
{
    bool accepted = true;

    for (size_t i = from; accepted && i < count; i++) {
        accepted =
            FvApi_Vote(cluster, (int)i % cluster->host_count,
                       cluster->topology.members[i], proposal, true) == 200;
    }
    return accepted;
}

static bool
change_config(cell_t *cell, int change_index, samples_t *durations_us)
{
    cluster_t *cluster = &cell->cluster;
    size_t count = cluster->topology.member_count;
    config_change_t change = {cluster, FvApi_ConfigVersion(cluster, 0) + 1};
    proposal_reply_t proposal;
    int64_t start_us;

    if (FvApi_PutAnswers(cluster, 0, cluster->topology.members[0],
                         changed_answers(cluster, change_index)) != 200 ||
        !FvApi_GenerateProposal(cluster, 0, cluster->topology.members[0],
                                &proposal) ||
        !send_approvals(cluster, &proposal, count - 1, 0)) {
        return false;
    }
    start_us = FvFake_WallUs();
    if (!send_approvals(cluster, &proposal, count, count - 1) ||
        !FvWait_Until(is_active_on_all_hosts, &change, CONFIG_TIMEOUT_MS)) {
        return false;
    }
    FvSamples_Add(durations_us, FvFake_WallUs() - start_us);
    return true;
}

typedef struct change_cost {
    double link_bytes;
    double store_bytes;
    cell_usage_t usage;
} change_cost_t;

static void
read_cost(cell_t *cell, change_cost_t *cost)
{
    cost->link_bytes = FvUsage_ProxiedBytes(&cell->cluster, ROUTE_PEER);
    cost->store_bytes = FvUsage_ProxiedBytes(&cell->cluster, ROUTE_STORE);
    FvUsage_Read(&cell->cluster, &cost->usage);
}

/* IDLE and USED are differences between two readings. IDLE is scaled to the
 * duration of USED. */
static void
report_cost(const change_cost_t *idle, const change_cost_t *used, int changes,
            int members_voting)
{
    double ratio = (double)used->usage.at_us / (double)idle->usage.at_us;

    FvBench_Report(
        "config", (used->link_bytes - ratio * idle->link_bytes) / changes, "B",
        "%d members link bytes per change, 9 hosts", members_voting);
    FvBench_Report(
        "config", (used->store_bytes - ratio * idle->store_bytes) / changes,
        "B", "%d members store bytes per change, 9 hosts", members_voting);
    FvBench_Report(
        "config",
        (used->usage.store_reads - ratio * idle->usage.store_reads) / changes,
        "calls", "%d members store reads per change", members_voting);
    FvBench_Report("config", used->usage.store_writes / changes, "calls",
                   "%d members store writes per change", members_voting);
}

static void
subtract_cost(change_cost_t *cost, const change_cost_t *before)
{
    cost->link_bytes -= before->link_bytes;
    cost->store_bytes -= before->store_bytes;
    FvUsage_Subtract(&cost->usage, &before->usage);
}

static void
measure_changes(cell_t *cell, int changes, int64_t idle_ms)
{
    int count = (int)cell->cluster.topology.member_count;
    change_cost_t start;
    change_cost_t idle;
    change_cost_t used;
    samples_t durations_us;
    int completed_changes = 0;
    char name[64];

    FvSamples_Open(&durations_us);
    read_cost(cell, &start);
    FvFake_SleepMs(idle_ms);
    read_cost(cell, &idle);
    while (completed_changes < changes &&
           change_config(cell, completed_changes, &durations_us)) {
        completed_changes++;
    }
    read_cost(cell, &used);
    subtract_cost(&used, &idle);
    subtract_cost(&idle, &start);
    snprintf(name, sizeof(name), "%d members last vote to in force", count);
    FvSamples_Report(&durations_us, "config", name);
    FvBench_Report("config", changes - completed_changes, "count",
                   "%d members changes that failed", count);
    if (completed_changes > 0) {
        FvBench_Report("config",
                       (double)used.usage.at_us / 1e3 / completed_changes,
                       "ms", "%d members whole change with all votes", count);
        report_cost(&idle, &used, completed_changes, count);
    }
    FvSamples_Close(&durations_us);
}

static void
bench_config(int member_count, int changes, int64_t idle_ms)
{
    char names[MANY_MEMBERS][8];
    const char *all[MANY_MEMBERS];
    cell_t *cell = new_cell();
    topology_t topology = {.site_count = 1,
                           .proxied = true,
                           .members = all,
                           .member_count = (size_t)member_count};
    bool started;

    for (int i = 0; i < member_count; i++) {
        snprintf(names[i], sizeof(names[i]), "m-%d", i + 1);
        all[i] = names[i];
    }
    cell->sites[0] = (topology_site_t){"r1", "dc1", 9, 2, 8};
    started = start_cell(cell, &topology);
    if (started) {
        measure_changes(cell, changes, idle_ms);
    }
    close_cell(cell, started, "config");
}

static void
bench_takeover_full(bool quick)
{
    (void)quick;
    bench_takeover(6, 8, true);
}

static void
bench_takeover_480(bool quick)
{
    (void)quick;
    bench_takeover(12, 40, false);
}

static void
bench_config_few(bool quick)
{
    bench_config(3, quick ? 3 : 10, quick ? 2000 : 6000);
}

static void
bench_config_many(bool quick)
{
    bench_config(MANY_MEMBERS, quick ? 1 : 3, 6000);
}

int
main(int argc, char **argv)
{
    static const bench_group_t groups[] = {
        {"lookup", bench_lookup, true},
        {"mixed", bench_mixed, true},
        {"takeover", bench_takeover_full, false},
        {"takeover-480", bench_takeover_480, false},
        {"regions", bench_regions, false},
        {"config", bench_config_few, true},
        {"config-83", bench_config_many, false},
    };

    return FvBench_Main(argc, argv,
                        "Measures cells of real processes on loopback.",
                        groups, sizeof(groups) / sizeof(groups[0]));
}
