/*
 * Figures of a benchmark with real processes.
 */

#include "bench.h"

#include "fake-server.h"

#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

static FILE *csv;

/**
 * FvBench_Open - start the report
 * @file: CSV file to write, or NULL
 *
 * Return: false when it cannot be created.
 */
bool
FvBench_Open(const char *file)
{
    setvbuf(stdout, NULL, _IOLBF, 0);
    if (file == NULL) {
        return true;
    }
    csv = fopen(file, "w");
    if (csv == NULL) {
        return false;
    }
    fprintf(csv, "bench,parameter,value,unit\n");
    return true;
}

/**
 * FvBench_Close - end the report
 *
 * Return: false when the CSV file is incomplete.
 */
bool
FvBench_Close(void)
{
    bool written = csv == NULL || fclose(csv) == 0;

    csv = NULL;
    return written;
}

/**
 * FvBench_Report - print one figure
 * @bench: the group it belongs to
 * @value: the figure
 * @unit: its unit
 * @format: the parameter it stands for
 */
void
FvBench_Report(const char *bench, double value, const char *unit,
               const char *format, ...)
{
    char parameter[160];
    va_list arguments;

    va_start(arguments, format);
    vsnprintf(parameter, sizeof(parameter), format, arguments);
    va_end(arguments);
    printf("%-10s %-52s %14.3f %s\n", bench, parameter, value, unit);
    if (csv != NULL) {
        fprintf(csv, "%s,%s,%.3f,%s\n", bench, parameter, value, unit);
    }
}

/* Runs the group of that name, or all. */
static void
run_groups(const bench_group_t *groups, size_t count, const char *name)
{
    bool quick = getenv("QUICK") != NULL && getenv("QUICK")[0] != 0;

    for (size_t i = 0; i < count; i++) {
        if (name != NULL ? strcmp(groups[i].name, name) == 0
                         : groups[i].quick || !quick) {
            groups[i].run(quick);
        }
    }
}

/**
 * FvBench_Main - the main function of a benchmark
 * @argc: number of arguments
 * @argv: the arguments
 * @summary: for the help
 * @groups: what can be measured
 * @count: number of groups
 *
 * Return: the exit status.
 */
int
FvBench_Main(int argc, char **argv, const char *summary,
             const bench_group_t *groups, size_t count)
{
    struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
    struct arg_file *file =
        arg_file0(NULL, "csv", "FILE", "also write the figures as CSV");
    struct arg_str *group =
        arg_str0(NULL, "group", "NAME", "measure only this group");
    struct arg_end *end = arg_end(4);
    void *table[] = {help, file, group, end};
    int status = FvFake_ParseArguments(argc, argv, table, help, summary);

    if (status >= 0) {
        return status;
    }
    if (!FvBench_Open(file->count > 0 ? file->filename[0] : NULL)) {
        perror(file->filename[0]);
        return 1;
    }
    run_groups(groups, count, group->count > 0 ? group->sval[0] : NULL);
    return FvBench_Close() ? 0 : 1;
}

/**
 * FvSamples_Open - prepare an empty set of samples
 * @samples: the set
 */
void
FvSamples_Open(samples_t *samples)
{
    *samples = (samples_t){0};
    pthread_mutex_init(&samples->lock, NULL);
}

/**
 * FvSamples_Add - add one sample; safe from any thread
 * @samples: the set
 * @value: the sample
 */
void
FvSamples_Add(samples_t *samples, int64_t value)
{
    pthread_mutex_lock(&samples->lock);
    if (samples->count == samples->capacity) {
        samples->capacity =
            samples->capacity > 0 ? 2 * samples->capacity : 1024;
        samples->values =
            realloc(samples->values, samples->capacity * sizeof(int64_t));
        if (samples->values == NULL) {
            abort();
        }
    }
    samples->values[samples->count++] = value;
    pthread_mutex_unlock(&samples->lock);
}

static int
compare_values(const void *a, const void *b)
{
    int64_t left = *(const int64_t *)a;
    int64_t right = *(const int64_t *)b;

    return (left > right) - (left < right);
}

/**
 * FvSamples_Quantile - read a quantile
 * @samples: the set; it is sorted
 * @quantile: 0 to 1
 *
 * Return: the nearest-rank quantile; 0 when there are no samples.
 */
int64_t
FvSamples_Quantile(samples_t *samples, double quantile)
{
    size_t index;

    if (samples->count == 0) {
        return 0;
    }
    qsort(samples->values, samples->count, sizeof(int64_t), compare_values);
    index = (size_t)(quantile * (double)samples->count);
    return samples
        ->values[index < samples->count ? index : samples->count - 1];
}

/**
 * FvSamples_Close - release the samples
 * @samples: the set
 */
void
FvSamples_Close(samples_t *samples)
{
    pthread_mutex_destroy(&samples->lock);
    free(samples->values);
}

/**
 * FvSamples_Report - print count, p50, p99 and worst
 * @samples: the set, in microseconds
 * @bench: the group of the figures
 * @name: what was measured
 */
void
FvSamples_Report(samples_t *samples, const char *bench, const char *name)
{
    FvBench_Report(bench, (double)samples->count, "count", "%s count", name);
    FvBench_Report(bench, (double)FvSamples_Quantile(samples, 0.5) / 1e3, "ms",
                   "%s p50", name);
    FvBench_Report(bench, (double)FvSamples_Quantile(samples, 0.99) / 1e3,
                   "ms", "%s p99", name);
    FvBench_Report(bench, (double)FvSamples_Quantile(samples, 1) / 1e3, "ms",
                   "%s worst", name);
}

/**
 * FvUsage_CpuMs - processor time of a process
 * @pid: the process
 *
 * Return: user and system time in ms.
 */
double
FvUsage_CpuMs(pid_t pid)
{
    struct timespec used;
    clockid_t clock;

    if (clock_getcpuclockid(pid, &clock) != 0 ||
        clock_gettime(clock, &used) != 0) {
        return 0;
    }
    return (double)used.tv_sec * 1e3 + (double)used.tv_nsec / 1e6;
}

/**
 * FvUsage_PeakRssKib - highest resident size of a process
 * @pid: the process
 *
 * Return: VmHWM in KiB; -1 when it is not running.
 */
int64_t
FvUsage_PeakRssKib(pid_t pid)
{
    long long peak_kib = -1;
    char line[256];
    char path[64];
    FILE *file;

    snprintf(path, sizeof(path), "/proc/%d/status", (int)pid);
    file = fopen(path, "r");
    if (file == NULL) {
        return -1;
    }
    while (fgets(line, sizeof(line), file) != NULL) {
        if (strncmp(line, "VmHWM:", 6) == 0) {
            peak_kib = strtoll(line + 6, NULL, 10);
        }
    }
    fclose(file);
    return peak_kib;
}

static char *
read_metrics(cluster_t *cluster, int host)
{
    char url[Fv_URL_SIZE];
    http_call_t call = {.url = url};
    http_reply_t reply;
    char *text = NULL;

    FvApi_Url(cluster, host, "/metrics", url, sizeof(url));
    FvHttp_Run(&call, &reply);
    if (reply.status == 200 && reply.body != NULL) {
        text = strdup(reply.body);
    }
    FvHttp_FreeReply(&reply);
    return text;
}

/* Sum over all labels. */
static double
sum_metric(const char *text, const char *name)
{
    char metric_name[Fv_NAME_SIZE * 2];
    double sum = 0;
    size_t length;

    snprintf(metric_name, sizeof(metric_name), "fireflyvalve_%s_total", name);
    length = strlen(metric_name);
    while (text != NULL && *text != 0) {
        const char *end = strchr(text, '\n');

        if (strncmp(text, metric_name, length) == 0 &&
            (text[length] == ' ' || text[length] == '{')) {
            const char *value = strchr(text, ' ');

            sum += value != NULL ? strtod(value, NULL) : 0;
        }
        text = end != NULL ? end + 1 : NULL;
    }
    return sum;
}

/**
 * FvUsage_ReadCounter - one counter of a host
 * @cluster: the cell
 * @host: its index
 * @name: for example link_bytes_sent
 *
 * Return: the counter, summed over its labels.
 */
double
FvUsage_ReadCounter(cluster_t *cluster, int host, const char *name)
{
    char *text = read_metrics(cluster, host);
    double value = sum_metric(text, name);

    free(text);
    return value;
}

static void
add_host(cluster_t *cluster, int host, cell_usage_t *usage)
{
    char *text = read_metrics(cluster, host);

    usage->cpu_ms += FvUsage_CpuMs(cluster->hosts[host].process.pid);
    usage->link_bytes += sum_metric(text, "link_bytes_sent") +
                         sum_metric(text, "link_bytes_received");
    usage->upstream_bytes += sum_metric(text, "upstream_bytes_sent") +
                             sum_metric(text, "upstream_bytes_received");
    usage->cross_region_bytes += sum_metric(text, "cross_region_bytes");
    usage->decisions += sum_metric(text, "decisions");
    free(text);
}

static double
read_count(const json_t *counts, const char *name)
{
    return (double)json_integer_value(json_object_get(counts, name));
}

/**
 * FvUsage_Read - read what the cell has used so far
 * @cluster: the cell
 * @usage: filled in with sums over its running hosts
 */
void
FvUsage_Read(cluster_t *cluster, cell_usage_t *usage)
{
    char url[Fv_URL_SIZE];
    json_t *counts;

    *usage = (cell_usage_t){.at_us = FvFake_WallUs()};
    snprintf(url, sizeof(url), "http://%s/counts", cluster->platform_control);
    counts = FvHttp_GetJson(url);
    usage->store_reads = read_count(counts, "range");
    usage->store_writes = read_count(counts, "put") +
                          read_count(counts, "txn") +
                          read_count(counts, "delete_range");
    usage->lease_calls = read_count(counts, "lease");
    usage->watches_started = read_count(counts, "watch_started");
    usage->host_list_reads = read_count(counts, "list_reads");
    json_decref(counts);
    for (int host = 0; host < cluster->host_count; host++) {
        if (cluster->hosts[host].process.pid != 0) {
            add_host(cluster, host, usage);
        }
    }
}

/**
 * FvUsage_Subtract - what was used between two readings
 * @usage: the later one; becomes the difference
 * @before: the earlier one
 */
void
FvUsage_Subtract(cell_usage_t *usage, const cell_usage_t *before)
{
    usage->at_us -= before->at_us;
    usage->cpu_ms -= before->cpu_ms;
    usage->link_bytes -= before->link_bytes;
    usage->upstream_bytes -= before->upstream_bytes;
    usage->cross_region_bytes -= before->cross_region_bytes;
    usage->decisions -= before->decisions;
    usage->store_reads -= before->store_reads;
    usage->store_writes -= before->store_writes;
    usage->lease_calls -= before->lease_calls;
    usage->watches_started -= before->watches_started;
    usage->host_list_reads -= before->host_list_reads;
}

/**
 * FvUsage_HostListBytes - size of the host list
 * @cluster: the cell
 *
 * Return: length of the document as a host receives it.
 */
size_t
FvUsage_HostListBytes(cluster_t *cluster)
{
    char url[Fv_URL_SIZE];
    http_call_t call = {.url = url};
    http_reply_t reply;
    size_t length;

    snprintf(url, sizeof(url), "http://%s/hosts", cluster->platform_address);
    FvHttp_Run(&call, &reply);
    length = reply.body_length;
    FvHttp_FreeReply(&reply);
    return length;
}

/**
 * FvUsage_CountHeldLeases - worker leases held in the cell
 * @cluster: the cell
 *
 * Return: their number over all running hosts.
 */
int
FvUsage_CountHeldLeases(cluster_t *cluster)
{
    int held = 0;

    for (int host = 0; host < cluster->host_count; host++) {
        json_t *document = NULL;

        if (cluster->hosts[host].process.pid == 0) {
            continue;
        }
        FvApi_Send(cluster, host, cluster->topology.members[0], "GET",
                   "/v1/workers", NULL, &document);
        held += (int)json_array_size(json_object_get(document, "workers"));
        json_decref(document);
    }
    return held;
}

typedef struct lease_condition {
    cluster_t *cluster;
    int count;
} lease_condition_t;

static bool
are_leases_held(void *context)
{
    const lease_condition_t *condition = context;

    return FvUsage_CountHeldLeases(condition->cluster) >= condition->count;
}

/**
 * FvUsage_WaitForLeases - wait until workers are held
 * @cluster: the cell
 * @count: how many
 * @timeout_ms: how long
 *
 * Return: the time it took in ms; -1 when the limit passed.
 */
int64_t
FvUsage_WaitForLeases(cluster_t *cluster, int count, int64_t timeout_ms)
{
    lease_condition_t condition = {cluster, count};
    int64_t start_ms = FvClock_NowMs();

    return FvWait_Until(are_leases_held, &condition, timeout_ms)
               ? FvClock_NowMs() - start_ms
               : -1;
}

/**
 * FvUsage_CountWorkers - number of workers of the cell
 * @cluster: the cell
 *
 * Return: over all racks.
 */
int
FvUsage_CountWorkers(const cluster_t *cluster)
{
    int workers = 0;

    for (int rack = 0; rack < cluster->rack_count; rack++) {
        workers += cluster->racks[rack].site->workers;
    }
    return workers;
}

static double
read_route_bytes(const json_t *counts, const char *listen)
{
    const json_t *route;
    size_t i;

    json_array_foreach(json_object_get(counts, "routes"), i, route)
    {
        const char *text = json_string_value(json_object_get(route, "listen"));

        if (text != NULL && strcmp(text, listen) == 0) {
            return read_count(route, "bytes_up") +
                   read_count(route, "bytes_down");
        }
    }
    return 0;
}

/**
 * FvUsage_ProxiedBytes - what the proxy carried
 * @cluster: a proxied cell
 * @kind: the kind of route
 *
 * Return: bytes in both directions on all routes of the kind.
 */
double
FvUsage_ProxiedBytes(cluster_t *cluster, route_kind_t kind)
{
    char url[Fv_URL_SIZE];
    double bytes = 0;
    json_t *counts;

    snprintf(url, sizeof(url), "http://%s/counts", cluster->proxy_control);
    counts = FvHttp_GetJson(url);
    for (int i = 0; i < cluster->route_count; i++) {
        if (cluster->routes[i].kind == kind) {
            bytes += read_route_bytes(counts, cluster->routes[i].listen);
        }
    }
    json_decref(counts);
    return bytes;
}

/**
 * FvBench_FirstStartUs - when a worker recorded a job's first start
 * @records: the records
 * @key: the job
 *
 * Return: wall clock in us; -1: never.
 */
int64_t
FvBench_FirstStartUs(const records_t *records, const char *key)
{
    for (size_t i = 0; i < records->count; i++) {
        if (records->entries[i].event == RECORD_START &&
            strcmp(records->entries[i].key, key) == 0) {
            return records->entries[i].at_us;
        }
    }
    return -1;
}

/**
 * FvBench_LastEndUs - when a worker recorded a job's last end
 * @records: the records
 * @key: the job
 *
 * Return: wall clock in us; -1: never.
 */
int64_t
FvBench_LastEndUs(const records_t *records, const char *key)
{
    for (size_t i = records->count; i > 0; i--) {
        if (records->entries[i - 1].event == RECORD_END &&
            strcmp(records->entries[i - 1].key, key) == 0) {
            return records->entries[i - 1].at_us;
        }
    }
    return -1;
}
