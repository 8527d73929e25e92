/*
 * Benchmark support for cells of real processes.
 */

#include "bench.h"

#include "fake-server.h"

#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

static FILE *csv;

/**
 * FvBench_Open - open the report
 * @file: CSV file to write in addition to standard output, or NULL
 *
 * Return: false when the CSV file cannot be created.
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
 * FvBench_Close - close the report
 *
 * Return: false when closing the CSV file failed.
 */
bool
FvBench_Close(void)
{
    bool written = csv == NULL || fclose(csv) == 0;

    csv = NULL;
    return written;
}

/**
 * FvBench_Report - report one result
 * @bench: name of the benchmark
 * @value: the measured value
 * @unit: unit of the value
 * @format: printf format of the parameter's name
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

/* Runs the named group; without a name all groups, or the quick ones if QUICK
 * is set. */
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
 * FvBench_Main - main function of a benchmark program
 * @argc: number of arguments
 * @argv: arguments; --csv FILE and --group NAME are accepted
 * @summary: description of the program for --help
 * @groups: benchmarks of the program
 * @count: number of benchmarks
 *
 * A non-empty QUICK in the environment selects a short run.
 *
 * Return: exit status of the program.
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
 * FvSamples_Open - initialize an empty sample set
 * @samples: the set
 */
void
FvSamples_Open(samples_t *samples)
{
    *samples = (samples_t){0};
    pthread_mutex_init(&samples->lock, NULL);
}

/**
 * FvSamples_Add - add one sample; thread-safe
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
 * FvSamples_Quantile - compute a quantile
 * @samples: the set; sorted in place
 * @quantile: 0 to 1
 *
 * Return: the nearest-rank quantile, or 0 for an empty set.
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
 * FvSamples_Close - free a sample set
 * @samples: the set
 */
void
FvSamples_Close(samples_t *samples)
{
    pthread_mutex_destroy(&samples->lock);
    free(samples->values);
}

/**
 * FvSamples_Report - report the count, and p50, p99 and maximum in ms
 * @samples: the set, in microseconds
 * @bench: name of the benchmark
 * @name: the measured quantity
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
 * FvUsage_CpuMs - read the CPU time of a process
 * @pid: the process
 *
 * Return: user and system time in ms, or 0 if the process does not exist.
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
 * FvUsage_PeakRssKib - read the peak resident set size of a process
 * @pid: the process
 *
 * Return: VmHWM in KiB, or -1 if it cannot be read.
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

    FvApi_HostUrl(cluster, host, "/metrics", url, sizeof(url));
    FvHttp_Run(&call, &reply);
    if (reply.status == 200 && reply.body != NULL) {
        text = strdup(reply.body);
    }
    FvHttp_FreeReply(&reply);
    return text;
}

/* Sums a counter over all its label sets. */
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
 * FvUsage_ReadCounter - read one counter of a host
 * @cluster: the cell
 * @host: index of the host
 * @name: metric name without prefix and suffix, such as link_bytes_sent
 *
 * Return: value of the counter, summed over its labels.
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
 * FvUsage_Read - read the current usage totals of a cell
 * @cluster: the cell
 * @usage: receives the totals over the running hosts and the platform
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
 * FvUsage_Subtract - compute the usage between two readings
 * @usage: the later reading; replaced by the difference
 * @before: the earlier reading
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
 * FvUsage_HostListBytes - fetch the size of the host list
 * @cluster: the cell
 *
 * Return: length of the JSON document that a host receives.
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
 * FvUsage_CountHeldLeases - count the worker leases held in a cell
 * @cluster: the cell
 *
 * Return: number of leases held by all running hosts.
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
        FvApi_Call(cluster, host, cluster->topology.members[0], "GET",
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
 * FvUsage_WaitForLeases - wait until a number of worker leases is held
 * @cluster: the cell
 * @count: number of leases
 * @timeout_ms: time to wait
 *
 * Return: elapsed time in ms, or -1 on timeout.
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
 * FvUsage_CountWorkers - count the workers of a cell
 * @cluster: the cell
 *
 * Return: number of workers in all racks.
 */
int
FvUsage_CountWorkers(const cluster_t *cluster)
{
    int count = 0;

    for (int rack = 0; rack < cluster->rack_count; rack++) {
        count += cluster->racks[rack].site->workers_per_rack;
    }
    return count;
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
 * FvUsage_ProxiedBytes - read the traffic that the proxy forwarded
 * @cluster: a cell with proxied connections
 * @kind: kind of route
 *
 * Return: bytes in both directions on all routes of that kind.
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
 * FvBench_FirstStartUs - find the first start of a job
 * @records: records of the workers
 * @key: key of the job
 *
 * Return: wall-clock time in us, or -1 if the job never started.
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
 * FvBench_LastEndUs - find the last end of a job
 * @records: records of the workers
 * @key: key of the job
 *
 * Return: wall-clock time in us, or -1 if the job never ended.
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
