/*
 * A load generator: threads that submit jobs to a test cell and record the
 * replies.
 */

#ifndef LOAD_H
#define LOAD_H

#include "cluster.h"

#include <pthread.h>
#include <stdatomic.h>

#define LOAD_THREADS_MAX 64

/* Members and workloads of LOAD_ANSWERS. */
#define LOAD_MEMBERS                                                          \
    {                                                                         \
        "kotuku", "measur"                                                    \
    }
#define LOAD_LOOKUP "lookup" /* interactive, no claim */
#define LOAD_EXPORT "export" /* deadline, exclusive, restartable */
#define LOAD_CHECK "check"   /* interactive, exclusive, not restartable */
extern const char LOAD_ANSWERS[];

/* One request and its reply. */
typedef struct load_call {
    char key[64];
    const char *member;
    const char *workload;
    int host;
    int64_t answer_bytes;
    uint64_t seed;
    int64_t run_ms;
    int64_t sent_us; /* wall clock */
    int64_t ended_us;
    int status;
    char state[16];
    char outcome[16];
    char reason[256];
    size_t received_bytes; /* of a raw answer */
    bool answer_correct;   /* a raw answer, byte for byte */
} load_call_t;

typedef struct load load_t;

struct load {
    cluster_t *cluster;
    const char *name; /* prefix of every key */
    uint64_t seed;
    int threads;
    int64_t pause_ms;     /* between two calls of a thread */
    int calls_per_thread; /* 0: no limit */
    int64_t wait_ms;
    /* Derives host, workload, size and run time from the random number. */
    void (*choose_request)(load_t *load, uint64_t random, load_call_t *call);
    void *context;

    /* Set by the functions below. */
    atomic_bool stop;
    pthread_mutex_t lock;
    load_call_t *calls;
    size_t count;
    size_t capacity;
    pthread_t handles[LOAD_THREADS_MAX];
    atomic_int next_thread;
};

uint64_t FvLoad_Random(uint64_t *state);
int64_t FvLoad_WallUs(void);
void FvLoad_Submit(cluster_t *cluster, load_call_t *call, int64_t wait_ms);
bool FvLoad_Start(load_t *load);
void FvLoad_Stop(load_t *load);
void FvLoad_Wait(load_t *load);
void FvLoad_Free(load_t *load);

#endif
