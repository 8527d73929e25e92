/*
 * Measures whole cells of real processes: a lookup's added time, waiting
 * times and deadlines under a mixed load, urgent work and takeover after the
 * loss of hosts, bytes between regions and changes of the configuration.
 */

#include "caller.h"
#include "fake-server.h"
#include "paced-load.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define START_LIMIT_MS 15000
#define LEASE_LIMIT_MS 40000
#define SETTLE_MS 1500
#define CELL_SEED 9001
#define LIST_NOTICES_MS 500
/* The target for the start of urgent work with one host in nine dead. */
#define URGENT_DEADLINE_MS 5500
/* Of the 336 slots that batch work may use. */
#define URGENT_BATCH 280
#define MANY_MEMBERS 83
#define MIXED_TAIL_MS 4000

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

/* Starts the cell with the sample answers and waits for all leases. */
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
    started = FvCluster_Start(&cell->cluster, topology) &&
              FvCluster_Configure(&cell->cluster, 0, answers, START_LIMIT_MS);
    free(answers);
    cell->workers = FvUsage_Workers(&cell->cluster);
    started = started && FvUsage_WaitLeases(&cell->cluster, cell->workers,
                                            LEASE_LIMIT_MS) >= 0;
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
count_running(cluster_t *cluster)
{
    int running = 0;

    for (int rack = 0; rack < cluster->rack_count; rack++) {
        running += (int)FvCluster_RackCount(cluster, rack, "running");
    }
    return running;
}

/* Submits long batch work until no more of it starts. */
static int
fill_cell(cell_t *cell, int jobs, int64_t run_ms)
{
    paced_load_t load = {.cluster = &cell->cluster,
                         .name = "fill",
                         .workload = "rebuild",
                         .threads = 8,
                         .rate_per_s = 400,
                         .duration_ms = jobs * 1000 / 400,
                         .run_min_ms = run_ms,
                         .run_max_ms = run_ms,
                         .answer_bytes = 10,
                         .seed = CELL_SEED};
    int running = -1;
    int before;

    FvPacedLoad_Run(&load);
    FvSamples_Report(&load.latencies_us, "fill", "claimed submission");
    FvBench_Report("fill", load.refused, "count", "refused");
    FvPacedLoad_Close(&load);
    do {
        before = running;
        FvFake_SleepMs(500);
        running = count_running(&cell->cluster);
    } while (running != before);
    return running;
}

/* (a) */

typedef struct lookup_run {
    const char *name;
    bool direct;
    int64_t quantiles_us[3];
} lookup_run_t;

static void
measure_lookups(cell_t *cell, lookup_run_t *run, bool quick)
{
    static const double quantiles[] = {0.5, 0.99, 1};
    static uint64_t round;
    paced_load_t load = {.cluster = &cell->cluster,
                         .workload = run->direct ? NULL : "lookup",
                         .threads = 4,
                         .rate_per_s = 200,
                         .duration_ms = quick ? 2000 : 6000,
                         .run_min_ms = 5,
                         .run_max_ms = 5,
                         .answer_bytes = 100,
                         .seed = CELL_SEED + 100 * ++round};

    FvPacedLoad_Run(&load);
    FvSamples_Report(&load.latencies_us, "lookup", run->name);
    FvBench_Report("lookup", load.refused, "count", "%s refused", run->name);
    for (int i = 0; i < 3; i++) {
        run->quantiles_us[i] =
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
    lookup_run_t direct = {.name = direct_name, .direct = true};
    lookup_run_t routed = {.name = routed_name};

    snprintf(direct_name, sizeof(direct_name), "%s direct", state);
    snprintf(routed_name, sizeof(routed_name), "%s routed", state);
    /* Routed first: the hosts count the slots of direct calls as taken until
     * their next renewals. */
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

/* (b) */

typedef struct waiting {
    samples_t by_member[3];
    int done;
    int met;
    int refused;
    int not_run;
    int unknown;
    int not_ended; /* or without a reply */
} waiting_t;

/* Times are taken from the workers' records: a host notes the start of a
 * batch task only when the worker has answered, up to 500 ms later, and the
 * ran_ms of an ended job was seen to grow from one status call to the next. */
static void
collect_job(cell_t *cell, const paced_job_t *job, const records_t *records,
            waiting_t *waiting)
{
    int64_t started_us = FvBench_FindStart(records, job->key);
    int64_t ended_us = FvBench_FindEnd(records, job->key);
    job_reply_t reply;

    if (!job->accepted) {
        waiting->refused++;
        return;
    }
    if (started_us >= 0) {
        FvSamples_Add(&waiting->by_member[job->member[2] - '1'],
                      started_us - job->sent_us);
    }
    FvApi_Status(&cell->cluster, job->host, job->member, job->key, 30000,
                 &reply);
    waiting->not_run += strcmp(reply.outcome, "not_run") == 0;
    waiting->unknown += strcmp(reply.outcome, "unknown") == 0;
    waiting->not_ended += reply.outcome[0] == 0;
    if (strcmp(reply.outcome, "done") == 0) {
        waiting->done++;
        waiting->met += ended_us >= 0 &&
                        ended_us - job->sent_us <= job->deadline_ms * 1000;
    }
    FvApi_FreeJob(&reply);
}

static void
report_jobs(cell_t *cell, const paced_load_t *load)
{
    const char *name = load->name;
    waiting_t waiting = {0};
    records_t records;
    char text[64];

    /* All work has started by then unless deadlines are missed. */
    FvFake_SleepMs(MIXED_TAIL_MS);
    FvCluster_ReadRecords(&cell->cluster, &records);

    for (int i = 0; i < 3; i++) {
        FvSamples_Open(&waiting.by_member[i]);
    }
    for (size_t i = 0; i < load->job_count; i++) {
        collect_job(cell, &load->jobs[i], &records, &waiting);
    }
    for (int i = 0; i < 3; i++) {
        snprintf(text, sizeof(text), "%s wait %s", name, members[i]);
        FvSamples_Report(&waiting.by_member[i], "mixed", text);
        FvSamples_Close(&waiting.by_member[i]);
    }
    FvRecords_Free(&records);
    FvBench_Report("mixed", (double)load->job_count, "count", "%s submitted",
                   name);
    FvBench_Report("mixed", waiting.refused, "count", "%s refused", name);
    FvBench_Report("mixed", waiting.done, "count", "%s done", name);
    FvBench_Report("mixed", waiting.not_run, "count", "%s not_run", name);
    FvBench_Report("mixed", waiting.unknown, "count", "%s unknown", name);
    FvBench_Report("mixed", waiting.not_ended, "count", "%s not ended", name);
    FvBench_Report("mixed", 100.0 * waiting.met / (double)load->job_count, "%",
                   "%s deadlines met", name);
}

/* Batch work offers about 90 % of the slots that lookups leave free. */
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

/* (c) and (e) */

/* From submission to the worker's record of the first start. */
static void
report_starts(cell_t *cell, const paced_load_t *load)
{
    samples_t delays;
    records_t records;
    int missing = 0;

    FvSamples_Open(&delays);
    FvCluster_ReadRecords(&cell->cluster, &records);
    for (size_t i = 0; i < load->job_count; i++) {
        int64_t at_us = FvBench_FindStart(&records, load->jobs[i].key);

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

/* Kills the last host; its leases go to the others. */
static void
lose_host(cell_t *cell, const char *name)
{
    cluster_t *cluster = &cell->cluster;
    cluster_host_t *victim = &cluster->hosts[cluster->host_count - 1];
    int64_t from_ms = FvClock_NowMs();
    int64_t took_ms;

    FvProcess_Kill(&victim->process);
    FvBench_Report("takeover", cell->workers - FvUsage_LeasesHeld(cluster),
                   "workers", "%s held by the killed host", name);
    FvFake_SleepMs(LIST_NOTICES_MS);
    FvCluster_SetState(cluster, victim->name, "gone");
    took_ms = FvUsage_WaitLeases(cluster, cell->workers, LEASE_LIMIT_MS);
    FvBench_Report("takeover",
                   took_ms < 0 ? -1 : (double)(FvClock_NowMs() - from_ms),
                   "ms", "%s host killed to all leases held", name);
}

static void
lose_host_under_load(cell_t *cell)
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
                           .hosts = cell->cluster.host_count - 1,
                           .seed = CELL_SEED + 300};
    paced_load_t lookups = {.cluster = &cell->cluster,
                            .workload = "lookup",
                            .threads = 2,
                            .rate_per_s = 50,
                            .duration_ms = 8000,
                            .run_min_ms = 5,
                            .run_max_ms = 5,
                            .answer_bytes = 10,
                            .hosts = cell->cluster.host_count - 1,
                            .seed = CELL_SEED + 400};

    FvBench_Report("urgent", fill_cell(cell, URGENT_BATCH, 120000), "tasks",
                   "batch tasks running on 48 workers");
    FvPacedLoad_Start(&urgent);
    FvPacedLoad_Start(&lookups);
    FvFake_SleepMs(300);
    lose_host(cell, "48 workers 9 hosts full");
    FvPacedLoad_Join(&urgent);
    FvPacedLoad_Join(&lookups);
    FvFake_SleepMs(SETTLE_MS);
    report_starts(cell, &urgent);
    FvSamples_Report(&lookups.latencies_us, "urgent", "lookup reply");
    FvBench_Report("urgent", lookups.refused, "count", "lookups refused");
    FvPacedLoad_Close(&urgent);
    FvPacedLoad_Close(&lookups);
}

typedef struct first_lookup {
    cluster_t *cluster;
} first_lookup_t;

static bool
answers_lookup(void *context)
{
    const first_lookup_t *first = context;
    submit_t submit = {.member = members[0],
                       .workload = "lookup",
                       .payload = "{\"run_ms\": 1}",
                       .wait_ms = 1000,
                       .raw = true,
                       .limit_ms = 1500};
    job_reply_t reply;

    FvApi_Submit(first->cluster, 0, &submit, &reply);
    FvApi_FreeJob(&reply);
    return reply.status == 200;
}

static void
restart_hosts(cell_t *cell, const char *name)
{
    cluster_t *cluster = &cell->cluster;
    first_lookup_t first = {cluster};
    int64_t from_ms;
    bool answered;

    for (int host = 0; host < cluster->host_count; host++) {
        FvProcess_Kill(&cluster->hosts[host].process);
    }
    from_ms = FvClock_NowMs();
    for (int host = 0; host < cluster->host_count; host++) {
        FvCluster_StartHost(cluster, host);
    }
    answered = FvWait_Until(answers_lookup, &first, LEASE_LIMIT_MS);
    FvBench_Report("takeover",
                   answered ? (double)(FvClock_NowMs() - from_ms) : -1, "ms",
                   "%s all restarted to first lookup", name);
    answered = FvUsage_WaitLeases(cluster, cell->workers, LEASE_LIMIT_MS) >= 0;
    FvBench_Report("takeover",
                   answered ? (double)(FvClock_NowMs() - from_ms) : -1, "ms",
                   "%s all restarted to all leases held", name);
}

static void
bench_takeover(int racks, int per_rack, bool urgent)
{
    cell_t *cell = new_cell();
    topology_t topology = {.site_count = 1};
    char name[64];
    bool started;

    cell->sites[0] = (topology_site_t){"r1", "dc1", 9, racks, per_rack};
    snprintf(name, sizeof(name), "%d workers 9 hosts", racks * per_rack);
    started = start_cell(cell, &topology);
    if (started) {
        restart_hosts(cell, name);
        FvFake_SleepMs(2 * SETTLE_MS);
        if (urgent) {
            lose_host_under_load(cell);
        }
        else {
            lose_host(cell, name);
        }
    }
    close_cell(cell, started, "takeover");
}

/* (f) */

/* Callers of a region without workers: every request crosses. */
static void
send_across(cell_t *cell, int64_t answer_bytes, double idle_rate)
{
    paced_load_t load = {.cluster = &cell->cluster,
                         .workload = "lookup",
                         .threads = 2,
                         .rate_per_s = 3,
                         .duration_ms = 4000,
                         .run_min_ms = 5,
                         .run_max_ms = 5,
                         .hosts = 1,
                         .seed = CELL_SEED + 500};
    double routed = FvUsage_RouteBytes(&cell->cluster, ROUTE_PEER);
    double requests;
    usage_t before;
    usage_t used;

    load.answer_bytes = answer_bytes;
    FvUsage_Read(&cell->cluster, &before);
    FvPacedLoad_Run(&load);
    FvUsage_Read(&cell->cluster, &used);
    routed = FvUsage_RouteBytes(&cell->cluster, ROUTE_PEER) - routed;
    FvUsage_Subtract(&used, &before);
    requests = (double)load.latencies_us.count;
    routed -= idle_rate * (double)used.at_us / 1e6;
    FvSamples_Report(&load.latencies_us, "regions", "reply");
    FvBench_Report("regions", requests, "count",
                   "lookups with answers of %lld B", (long long)answer_bytes);
    FvBench_Report("regions", load.refused, "count",
                   "refused lookups with answers of %lld B",
                   (long long)answer_bytes);
    FvBench_Report("regions", routed / requests, "B",
                   "on links per lookup with answers of %lld B",
                   (long long)answer_bytes);
    FvBench_Report("regions", used.region_bytes / requests, "B",
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
    double idle_rate;

    cell->sites[0] = (topology_site_t){"r1", "dc1", 1, 0, 8};
    cell->sites[1] = (topology_site_t){"r2", "dc2", 1, 2, 8};
    cell->sites[2] = (topology_site_t){"r3", "dc3", 1, 2, 8};
    started = start_cell(cell, &topology);
    if (started) {
        idle_rate = FvUsage_RouteBytes(&cell->cluster, ROUTE_PEER);
        FvFake_SleepMs(window_ms);
        idle_rate =
            (FvUsage_RouteBytes(&cell->cluster, ROUTE_PEER) - idle_rate) *
            1e3 / (double)window_ms;
        FvBench_Report("regions", idle_rate / 6, "B/s",
                       "idle between two hosts of different regions, one way");
        send_across(cell, 100, idle_rate);
        send_across(cell, 10000, idle_rate);
    }
    close_cell(cell, started, "regions");
}

/* (g) */

typedef struct change {
    cluster_t *cluster;
    int64_t version;
} change_t;

static bool
in_force_everywhere(void *context)
{
    const change_t *change = context;

    for (int host = 0; host < change->cluster->host_count; host++) {
        if (FvApi_ConfigVersion(change->cluster, host) < change->version) {
            return false;
        }
    }
    return true;
}

static json_t *
changed_answers(cluster_t *cluster, int round)
{
    const char *member = cluster->topology.members[0];
    char *text = FvSample_NewAnswers(&member, 1);
    json_t *all = json_loads(text, 0, NULL);
    json_t *own = json_deep_copy(json_object_get(all, member));

    json_object_set_new(own, "weight", json_integer(2 + round));
    json_decref(all);
    free(text);
    return own;
}

/* Sends all votes but the last, which puts the change into force. */
static bool
vote_all(cluster_t *cluster, const proposal_reply_t *proposal, size_t count,
         size_t from)
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
make_change(cell_t *cell, int round, samples_t *taken)
{
    cluster_t *cluster = &cell->cluster;
    size_t count = cluster->topology.member_count;
    change_t change = {cluster, FvApi_ConfigVersion(cluster, 0) + 1};
    proposal_reply_t proposal;
    int64_t from_us;

    if (FvApi_PutAnswers(cluster, 0, cluster->topology.members[0],
                         changed_answers(cluster, round)) != 200 ||
        !FvApi_Generate(cluster, 0, cluster->topology.members[0], &proposal) ||
        !vote_all(cluster, &proposal, count - 1, 0)) {
        return false;
    }
    from_us = FvFake_WallUs();
    if (!vote_all(cluster, &proposal, count, count - 1) ||
        !FvWait_Until(in_force_everywhere, &change, START_LIMIT_MS)) {
        return false;
    }
    FvSamples_Add(taken, FvFake_WallUs() - from_us);
    return true;
}

typedef struct change_cost {
    double links;
    double store;
    usage_t usage;
} change_cost_t;

static void
read_cost(cell_t *cell, change_cost_t *cost)
{
    cost->links = FvUsage_RouteBytes(&cell->cluster, ROUTE_PEER);
    cost->store = FvUsage_RouteBytes(&cell->cluster, ROUTE_STORE);
    FvUsage_Read(&cell->cluster, &cost->usage);
}

/* IDLE and USED hold differences between two readings. */
static void
report_cost(const change_cost_t *idle, const change_cost_t *used, int changes,
            int members_voting)
{
    double ratio = (double)used->usage.at_us / (double)idle->usage.at_us;

    FvBench_Report("config", (used->links - ratio * idle->links) / changes,
                   "B", "%d members link bytes per change, 9 hosts",
                   members_voting);
    FvBench_Report("config", (used->store - ratio * idle->store) / changes,
                   "B", "%d members store bytes per change, 9 hosts",
                   members_voting);
    FvBench_Report(
        "config", (used->usage.reads - ratio * idle->usage.reads) / changes,
        "calls", "%d members store reads per change", members_voting);
    FvBench_Report("config", used->usage.writes / changes, "calls",
                   "%d members store writes per change", members_voting);
}

static void
subtract_cost(change_cost_t *cost, const change_cost_t *before)
{
    cost->links -= before->links;
    cost->store -= before->store;
    FvUsage_Subtract(&cost->usage, &before->usage);
}

static void
measure_changes(cell_t *cell, int changes, int64_t idle_ms)
{
    int count = (int)cell->cluster.topology.member_count;
    change_cost_t start;
    change_cost_t idle;
    change_cost_t used;
    samples_t taken;
    int made = 0;
    char name[64];

    FvSamples_Open(&taken);
    read_cost(cell, &start);
    FvFake_SleepMs(idle_ms);
    read_cost(cell, &idle);
    while (made < changes && make_change(cell, made, &taken)) {
        made++;
    }
    read_cost(cell, &used);
    subtract_cost(&used, &idle);
    subtract_cost(&idle, &start);
    snprintf(name, sizeof(name), "%d members last vote to in force", count);
    FvSamples_Report(&taken, "config", name);
    FvBench_Report("config", changes - made, "count",
                   "%d members changes that failed", count);
    if (made > 0) {
        FvBench_Report("config", (double)used.usage.at_us / 1e3 / made, "ms",
                       "%d members whole change with all votes", count);
        report_cost(&idle, &used, made, count);
    }
    FvSamples_Close(&taken);
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
