/*
 * Parts of fake-cell: its store, and workers that check the orders they
 * receive.
 */

#ifndef FAKE_CELL_H
#define FAKE_CELL_H

#include "fake-server.h"
#include "fireflyvalve.h"
#include "kv-store.h"

#include <pthread.h>
#include <uthash.h>

#define CELL_WORKERS_MAX 80
#define CELL_HOSTS_MAX 70
/* The server needs a thread for each connection, idle ones included. Each of
 * up to 70 hosts keeps some to the store open. */
#define CELL_STORE_THREADS 512
/* Every host that has been leader keeps some to each worker open. Four hosts
 * alternate as leader. */
#define CELL_WORKER_THREADS 96
#define CELL_CPU_MILLIS 8000
#define CELL_MEMORY_MIB 16384
#define CELL_HEARTBEAT_MS 500
#define CELL_TICK_MS 10

/* How often a held call looks whether its caller has gone. */
#define CELL_CLOSED_CHECK_MS 100
#define CELL_RESTART_NS (20 * Fv_NS_PER_MS) /* from kill to listen */
#define CELL_TICKET_VALID_MS 2000
#define CELL_LEASE_MAX_MS 10000
#define CELL_PAGE_MAX 500 /* keys of a range reply, or ends of a report */
/* Time to renew the leases that paused while the store was away. */
#define CELL_LEASE_RESUME_MS 2000

typedef enum cell_store_mode {
    CELL_STORE_UP,
    CELL_STORE_BUSY,         /* 503 */
    CELL_STORE_UNRESPONSIVE, /* calls are dropped and not applied */
    CELL_STORE_REPLY_LOST    /* calls are applied and not answered */
} cell_store_mode_t;

typedef struct cell_run {
    char task[64];
    int32_t run;
    int64_t cpu_millis;
    int64_t started_ms;
    int64_t ends_ms;
    bool fails;
    bool stopping;    /* not listed in reports */
    int64_t customer; /* 0: none */
    struct cell_run *next;
} cell_run_t;

typedef struct cell_end {
    int64_t number;
    char task[64];
    int32_t run;
    const char *outcome;
    int64_t at_ms;
    bool lapsed; /* the worker's lease has expired since */
    struct cell_end *next;
} cell_end_t;

/* An order that was not answered and is carried out late. */
typedef struct cell_late_order {
    json_t *body;
    bool stop;
    int64_t received_ms;
    int64_t at_ms;
    struct cell_late_order *next;
} cell_late_order_t;

/* A task over all workers. */
typedef struct cell_task {
    char name[64];
    int32_t highest_run;
    uint32_t starts;
    uint32_t running;
    int64_t last_start_ms;
    int64_t last_order_ms; /* when the latest order that began a run came */
    bool done_acknowledged;
    int64_t done_acknowledged_ms;
    UT_hash_handle hh;
} cell_task_t;

typedef struct cell_worker {
    char id[32];
    char address[64];
    fake_server_t *server;
    char kind[16]; /* its first label */
    bool down;
    bool silent; /* writes no heartbeats */
    bool hasty;  /* answers renewals without the wait that they allow */
    bool mute;   /* is not reached by hosts, and goes on */
    /* Its kind after the restart that the next start meets; empty: none. */
    char kind_at_start[16];
    uint32_t starts;
    uint32_t renewals; /* answered */
    int64_t started_wall_ms;
    int64_t listens_ns; /* earlier connections are closed */
    int64_t fencing_token;
    int64_t lease_end_ms;
    int64_t last_end_number;
    int64_t sequence;
    cell_run_t *runs;
    cell_end_t *ends;
    cell_late_order_t *late_orders;
    int64_t next_heartbeat_ms;
} cell_worker_t;

/* Highest run of a task that was stopped or has ended on a worker; starts up
 * to this run are rejected. */
typedef struct cell_tombstone {
    char key[128]; /* WORKER TASK */
    int32_t run;
    UT_hash_handle hh;
} cell_tombstone_t;

/* A leadership of a host. */
typedef struct cell_leader {
    int64_t token; /* of its orders */
    int host;
    struct cell_leader *next;
} cell_leader_t;

/* True: on the second side. */
typedef struct cell_split {
    bool hosts[CELL_HOSTS_MAX];
    bool workers[CELL_WORKERS_MAX];
    bool store;
    bool lost[2]; /* packets from the first side, from the second side */
} cell_split_t;

typedef struct cell {
    pthread_mutex_t lock;
    kv_store_t *store;
    cell_store_mode_t store_mode;
    bool pause_leases; /* while the store is not up */
    int64_t leases_paused_until_ms;
    uint32_t ends_page;      /* ends of a report */
    int64_t stop_ms;         /* that a stop takes */
    int64_t stop_delay_ms;   /* stops are not answered and carried out later */
    uint32_t late_per_mille; /* of the orders are carried out late */
    int64_t late_max_ms;     /* the longest time until then */
    unsigned random;         /* state of rand_r() */
    uint32_t late_starts;    /* that began a run */
    uint32_t stops;
    uint32_t worker_count;
    cell_worker_t workers[CELL_WORKERS_MAX];
    cell_task_t *tasks;
    cell_tombstone_t *tombstones;
    bool proxied_links; /* hosts reach each other through proxies */
    cell_leader_t *leaders;
    cell_split_t split;
    json_t *customers; /* of the configuration; NULL: none */
    uint32_t violations;
    uint32_t starts;
    uint32_t wrong_instance_calls; /* meant for another worker */
    char first_violation[256];
} cell_t;

typedef struct cell_context {
    cell_t *cell;
    cell_worker_t *worker;
} cell_context_t;

/* cell-advice.c */
/* Serves any number of connections in a thread of its own; false when the port
 * cannot be used. */
bool FvCellAdvice_Start(cell_t *cell, int port);

/* cell-split.c */
void FvCellSplit_AdaptEntry(const cell_t *cell, const kv_bytes_t *key,
                            kv_bytes_t *value);
void FvCellSplit_NoteEntry(cell_t *cell, const kv_bytes_t *key);
void FvCellSplit_Apply(cell_t *cell, const json_t *split);
bool FvCellSplit_IsWorkerCut(const cell_t *cell, const cell_worker_t *worker);
bool FvCellSplit_Wait(cell_t *cell, const cell_worker_t *worker,
                      fake_request_t *request, int64_t token, bool answer);

/* cell-store.c */
kv_bytes_t FvCellStore_Bytes(const char *text);
/* Writes one key without a lease; the caller holds the lock. */
void FvCellStore_Put(cell_t *cell, const char *key, const char *value);
void FvCellStore_ExpireLeases(cell_t *cell);
/* A fake_handler_t. */
void FvCellStore_Handle(fake_request_t *request, void *context);

/* cell-worker.c */
/* A fake_handler_t for the worker in the context. */
void FvCellWorker_Handle(fake_request_t *request, void *context);
/* Ends the runs that are due on all workers and writes the heartbeats; the
 * caller holds the lock. */
void FvCellWorker_Tick(cell_t *cell, int64_t now_ms);
/* Drops all runs and the whole state of the worker; the caller holds the
 * lock. */
void FvCellWorker_Crash(cell_t *cell, cell_worker_t *worker);
/* Starts a new incarnation under the worker's id; a kind that is not NULL
 * replaces its own. The caller holds the lock. */
void FvCellWorker_Restart(cell_t *cell, cell_worker_t *worker,
                          const char *kind);

#endif
