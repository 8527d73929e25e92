/*
 * Stand-ins of the review: the platform's store and workers, written by the
 * platform's protocol page. One thread serves all of them; a scenario runs in
 * the main thread and takes the lock to look at or change their state.
 */

#ifndef REVIEW_PLATFORM_H
#define REVIEW_PLATFORM_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#define HOSTS_MAX 8
#define WORKERS_MAX 32
#define NAME_MAX_BYTES 64

/* Bounds of the small deployment that the settings are made for. */
#define STOP_TIMEOUT_MS 900
#define GANG_TIMEOUT_MS 3000
#define MAX_HOLD_MS 10000
#define GRACE_S 6
#define STATUS_S 120
#define CANCEL_MS 3000
#define HEARTBEAT_MS 1500
#define STORE_ANSWER_MS 4

typedef struct run {
    char task[NAME_MAX_BYTES];
    int64_t run;
    int64_t cpu;
    int64_t started_ms;
    int64_t ends_ms;
    int64_t stopped_ms; /* when its stop takes effect; 0: not stopped */
    struct run *next;
} run_t;

typedef struct end {
    int64_t number;
    char task[NAME_MAX_BYTES];
    int64_t run;
    char how[12];
    struct end *next;
} end_t;

/* The highest run of a task that was stopped or has ended here. */
typedef struct tombstone {
    char task[NAME_MAX_BYTES];
    int64_t run;
    struct tombstone *next;
} tombstone_t;

typedef struct worker {
    int index;
    char id[NAME_MAX_BYTES];
    char kind[16];
    char address[32];
    bool up;
    int64_t cpu;
    int64_t memory_mb;
    int64_t one_way_ms; /* network latency from and to the hosts */
    int64_t born_ms;    /* wall clock */
    int64_t clock_base_ms;
    int64_t fence;
    int64_t lease_ms; /* its end, on the stand-in's clock */
    bool leased;      /* the lease has not lapsed */
    int64_t last_end;
    int64_t sequence;
    int64_t next_beat_ms;
    int64_t entry_lapses_ms;
    run_t *runs;
    end_t *ends, *ends_last;
    tombstone_t *tombstones[4096];
} worker_t;

/* What the rules are judged by. */
typedef enum event_kind {
    EVENT_START, /* a worker began a run */
    EVENT_END,   /* a run ended */
    EVENT_NOTED, /* lastSeen reached an end */
    EVENT_LAPSE, /* the worker's lease lapsed */
    EVENT_CRASH
} event_kind_t;

typedef struct event {
    event_kind_t kind;
    int64_t at_ms;
    int worker;
    int64_t incarnation; /* of the worker */
    char task[NAME_MAX_BYTES];
    int64_t run;
    char how[12];   /* of an end */
    char label[16]; /* kind of the worker */
    int64_t number; /* of an end */
} event_t;

int64_t Now(void);     /* ms, monotonic */
int64_t WallNow(void); /* ms since 1970 */
void Lock(void);
void Unlock(void);
void Record(const char *format, ...) __attribute__((format(printf, 1, 2)));

/* platform.c */
void Platform_Start(int hosts, int workers);
int Platform_StorePort(int host); /* each host has a port of its own */
void Platform_SetStoreDown(bool down);
worker_t *Platform_Worker(int index);
void Platform_PutConfig(const char *text);
void Platform_StartWorker(worker_t *worker, const char *kind);
void Platform_CrashWorker(worker_t *worker);
int Platform_LastConditionalWriter(void);
int64_t Platform_LastConditionalWriteMs(void);
const event_t *Platform_Events(uint32_t *count);
uint32_t Platform_Starts(const char *task_prefix);
uint32_t Platform_Running(void);
uint32_t Platform_EndsUnseen(void);

/* hosts.c: the entry hosts, started with the command of the deploy file. */
typedef struct host {
    int index;
    int pid;
    char front[32];
    char ready[32];
    char settings[512];
} host_t;

host_t *Hosts_Start(int count);
void Hosts_Signal(host_t *host, int signal);
bool Hosts_HasEnded(host_t *host);
void Hosts_Restart(host_t *host);
bool Hosts_WaitReady(int count, int64_t timeout_ms);
void Hosts_EndAll(void);

/* client.c: a caller. */
typedef struct client {
    int fd;
    char address[32];
} client_t;

void Client_Open(client_t *client, const char *address);
void Client_Close(client_t *client);
/* Returns the status, 0 when there is no complete answer. */
int Client_Call(client_t *client, const char *method, const char *path,
                const char *body, int64_t timeout_ms, char *answer,
                size_t size);
/* Sends the request without waiting for its answer, and reads that later. */
bool Client_Send(client_t *client, const char *method, const char *path,
                 const char *body);
int Client_Receive(client_t *client, int64_t timeout_ms, char *answer,
                   size_t size);

#endif
