/*
 * Benchmark support for cells of real processes: results as a table on
 * standard output and as CSV rows, samples with quantiles, and the resource
 * usage of a running cell.
 */

#ifndef BENCH_H
#define BENCH_H

#include "cluster.h"

#include <pthread.h>

bool FvBench_Open(const char *file);
bool FvBench_Close(void);

typedef struct bench_group {
    const char *name;
    void (*run)(bool quick);
    bool quick; /* also measured when QUICK is set */
} bench_group_t;

int FvBench_Main(int argc, char **argv, const char *summary,
                 const bench_group_t *groups, size_t count);
void FvBench_Report(const char *bench, double value, const char *unit,
                    const char *format, ...)
    __attribute__((format(printf, 4, 5)));

/* Samples of one quantity. Only FvSamples_Add is thread-safe. */
typedef struct samples {
    pthread_mutex_t lock;
    int64_t *values;
    size_t count;
    size_t capacity;
} samples_t;

void FvSamples_Open(samples_t *samples);
void FvSamples_Add(samples_t *samples, int64_t value);
int64_t FvSamples_Quantile(samples_t *samples, double quantile);
void FvSamples_Close(samples_t *samples);
void FvSamples_Report(samples_t *samples, const char *bench, const char *name);

/* Totals over the running hosts, and the calls that the platform served. */
typedef struct cell_usage {
    int64_t at_us; /* wall clock; in a difference: the elapsed time */
    double cpu_ms;
    double link_bytes; /* sent and received */
    double upstream_bytes;
    double cross_region_bytes;
    double decisions;
    double store_reads;  /* range calls */
    double store_writes; /* put, txn and delete-range calls */
    double lease_calls;
    double watches_started;
    double host_list_reads;
} cell_usage_t;

void FvUsage_Read(cluster_t *cluster, cell_usage_t *usage);
void FvUsage_Subtract(cell_usage_t *usage, const cell_usage_t *before);
double FvUsage_CpuMs(pid_t pid);
int64_t FvUsage_PeakRssKib(pid_t pid);
double FvUsage_ReadCounter(cluster_t *cluster, int host, const char *name);
size_t FvUsage_HostListBytes(cluster_t *cluster);

int FvUsage_CountHeldLeases(cluster_t *cluster);
int64_t FvUsage_WaitForLeases(cluster_t *cluster, int count,
                              int64_t timeout_ms);
int FvUsage_CountWorkers(const cluster_t *cluster);
double FvUsage_ProxiedBytes(cluster_t *cluster, route_kind_t kind);

int64_t FvBench_FirstStartUs(const records_t *records, const char *key);
int64_t FvBench_LastEndUs(const records_t *records, const char *key);

#endif
