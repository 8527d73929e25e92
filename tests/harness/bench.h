/*
 * Figures of a benchmark with real processes: a table on standard output and
 * rows of a CSV file, samples, and what a running cell has used.
 */

#ifndef BENCH_H
#define BENCH_H

#include "cluster.h"

#include <pthread.h>

/* Rows go to FILE too, unless it is NULL. */
bool FvBench_Open(const char *file);
bool FvBench_Close(void);
typedef struct bench_group {
    const char *name;
    void (*run)(bool quick);
    bool quick; /* part of the short run */
} bench_group_t;

/* Parses --csv FILE and --group NAME, runs the groups and reports; returns
 * the program's exit status. QUICK in the environment asks for a short run. */
int FvBench_Main(int argc, char **argv, const char *summary,
                 const bench_group_t *groups, size_t count);
void FvBench_Report(const char *bench, double value, const char *unit,
                    const char *format, ...)
    __attribute__((format(printf, 4, 5)));

/* Samples of one kind; may be added to from several threads. */
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
/* Reports p50, p99 and worst of samples in microseconds, in milliseconds. */
void FvSamples_Report(samples_t *samples, const char *bench, const char *name);

/* Running totals over all running hosts and the platform. */
typedef struct usage {
    int64_t at_us;
    double cpu_ms;
    double link_bytes; /* sent and received */
    double upstream_bytes;
    double cross_region_bytes;
    double decisions;
    double store_reads;     /* range */
    double store_writes;    /* put, txn, delete range */
    double lease_calls;     /* lease calls */
    double watches_started; /* watches started */
    double host_list_reads; /* reads of the host list */
} cell_usage_t;

void FvUsage_Read(cluster_t *cluster, cell_usage_t *usage);
/* Subtracts BEFORE; at_us becomes the time between the two. */
void FvUsage_Subtract(cell_usage_t *usage, const cell_usage_t *before);
double FvUsage_CpuMs(pid_t pid);
int64_t FvUsage_PeakRssKib(pid_t pid);
double FvUsage_ReadCounter(cluster_t *cluster, int host, const char *name);
/* Length of the host list's JSON document. */
size_t FvUsage_HostListBytes(cluster_t *cluster);

/* Worker leases held by all running hosts together. */
int FvUsage_CountHeldLeases(cluster_t *cluster);
/* Waits until COUNT are held; returns the time it took, -1 after the limit. */
int64_t FvUsage_WaitForLeases(cluster_t *cluster, int count,
                              int64_t timeout_ms);
int FvUsage_CountWorkers(const cluster_t *cluster);
/* Bytes in both directions on all routes of a kind in a proxied cell. */
double FvUsage_ProxiedBytes(cluster_t *cluster, route_kind_t kind);

/* When the workers recorded a job's first start and last end; -1: never. */
int64_t FvBench_FirstStartUs(const records_t *records, const char *key);
int64_t FvBench_LastEndUs(const records_t *records, const char *key);

#endif
