/*
 * The leader's own objects, shared by cell-leader.c and leader-*.c.
 */

#ifndef CELL_LEADER_H
#define CELL_LEADER_H

#include "entry.h"

#include <inttypes.h>

/* Records of ended jobs outlive the time for which callers may ask. */
#define Fv_KEEP_MARGIN_MS 60000

/* While the store is away, callers come back after this; its outages last
 * seconds, and a caller repeats a request a few times only. */
#define Fv_STORE_RETRY_AFTER_S "2"

typedef struct fv_job_waiter {
    int64_t id;
    fv_verb_t verb;
    fv_leader_reply_t reply;
    void *context;
    struct fv_job_waiter *next;
} fv_job_waiter_t;

typedef struct fv_ended_job {
    char id[Fv_JOB_ID_SIZE];
    char state[16];
    int64_t ended_ms;
    UT_hash_handle hh;
} fv_ended_job_t;

/* A question to the advice service that a host is asking. */
typedef struct fv_open_ask {
    int64_t id;
    char stage[Fv_STEP_ID_SIZE];
    char task[Fv_RUN_TASK_ID_SIZE]; /* names the stage's first task */
    int64_t sent_ms;
    int64_t give_up_ms;
    uint32_t count;
    char (*workers)[Fv_NAME_SIZE];
    UT_hash_handle hh;
} fv_open_ask_t;

/* The leader's side of one worker. */
typedef struct fv_driver {
    fv_leader_t *leader;
    fv_sched_worker_t *worker; /* NULL: forgotten while calls are open */
    uint32_t calls;
    bool polling;
    bool looking;
    bool retried;             /* at once, after the first missing answer */
    bool recording;           /* its latest ends are not recorded yet */
    int64_t recording_number; /* the latest end that is being recorded */
    int64_t recording_life;   /* ... of this life of the worker */
    int64_t sent_ms;
} fv_driver_t;

typedef struct fv_load {
    fv_leader_t *leader;
    const char *prefix;
    void (*item)(fv_leader_t *leader, const fv_kv_item_t *item);
    void (*loaded)(fv_leader_t *leader);
    char *after;
    struct event *retry;
} fv_load_t;

struct fv_leader {
    struct event_base *base;
    fv_call_pool_t *pool;
    fv_kv_client_t *kv;
    const fv_entry_settings_t *settings;
    fv_leader_events_t events;
    int64_t epoch;
    int64_t began_ms;
    fv_sched_t sched;
    fv_record_writer_t *records;
    fv_kv_watch_t *registry;
    struct event *tick;
    struct event *pass;
    fv_ended_job_t *ended;
    fv_open_ask_t *asks;
    int64_t last_ask;
    int64_t lane_revisions[Fv_RECORD_LANES];
    fv_load_t loads[5];
    uint32_t loads_open;
    bool serving;
    bool closed;
    uint32_t calls; /* open calls that refer to this leader */
    bool roster_dirty;
    bool roster_writing;
    char previous[Fv_NAME_SIZE]; /* host that led before, "": none */
    int64_t previous_stopped_ms; /* since when it surely gives no orders */
    uint32_t roster_inherited;   /* workers that earlier leaders ordered */
    int32_t generation;
    bool predecessor_quiet; /* it left no run that is being stopped */
    bool stops_suspended;   /* gives no stops: another host is to lead */
    bool quiet_noted;       /* ... for as long as a stop may take */
    struct event *quieted;
    bool reading_registry;
    int64_t next_load_log_ms;
    int64_t pass_took_us;
    int64_t last_tick_ms;
    int64_t worst_lag_ms; /* of a tick, since the latest load line */
    int64_t passes;       /* ... */
};

/* cell-leader.c */
void FvLeader_Kick(fv_leader_t *leader);
bool FvLeader_CallEnded(fv_leader_t *leader);
fv_leader_t *FvLeader_Of(fv_sched_t *sched);

/* leader-workers.c */
void FvLeaderWorker_Poll(fv_driver_t *driver, bool wait);
void FvLeaderWorker_Look(fv_sched_t *sched, fv_sched_worker_t *worker);
void FvLeaderWorker_Drive(fv_leader_t *leader, fv_sched_worker_t *worker);
void FvLeaderWorker_Release(fv_driver_t *driver);
bool FvLeaderOrder_Start(fv_sched_t *sched, fv_sched_task_t *task,
                         const fv_verdict_t *verdict);
void FvLeaderOrder_Stop(fv_sched_t *sched, fv_sched_task_t *task);
void FvLeaderOrder_StopStray(fv_sched_t *sched, fv_sched_worker_t *worker,
                             const char *name, int32_t run);

/* leader-records.c */
void FvLeaderRecord_AddWaiter(fv_sched_job_t *job,
                              const fv_cell_message_t *message,
                              fv_leader_reply_t reply, void *context);
void FvLeaderRecord_RememberEnded(fv_leader_t *leader, const char *id,
                                  const char *state);
void FvLeaderRecord_RemoveIfIdle(fv_leader_t *leader, fv_sched_job_t *job);
void FvLeaderRecord_Write(fv_sched_t *sched, fv_sched_job_t *job,
                          fv_record_kind_t kind);
void FvLeaderRoster_Changed(fv_leader_t *leader);
void FvLeaderRoster_Write(fv_leader_t *leader);

/* leader-advice.c */
void FvLeaderAdvice_Close(fv_leader_t *leader, fv_open_ask_t *ask,
                          const fv_advice_t *advice);
bool FvLeaderAdvice_Ask(fv_sched_t *sched, fv_sched_stage_t *stage,
                        fv_sched_worker_t *const *workers, uint32_t count);

/* leader-load.c */
void FvLeaderLoad_Start(fv_leader_t *leader);
void FvLeaderLoad_Free(fv_leader_t *leader);

#endif
