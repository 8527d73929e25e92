/*
 * Internal types and functions of the leader, shared by cell-leader.c and
 * leader-*.c.
 */

#ifndef CELL_LEADER_H
#define CELL_LEADER_H

#include "entry.h"

#include <inttypes.h>

/* Records of ended jobs are kept this much longer than keep_ended_s, the time
 * for which callers may ask about them. */
#define Fv_RETENTION_MARGIN_MS 60000

/* A worker sets the pace of its renewals by its wait for the end of a run. One
 * that answers earlier is renewed after this pause. */
#define Fv_RENEWAL_PAUSE_MS 100

/* Renewal interval of a worker that does not answer. */
#define Fv_SILENT_RETRY_MS 300

/* A caller whose reply waits for a record of the job. */
typedef struct fv_record_waiter {
    int64_t id;
    fv_verb_t verb;
    fv_leader_reply_t reply;
    void *context;
    uint32_t position; /* in the list, from its end */
    struct fv_record_waiter *next;
} fv_record_waiter_t;

/* State of a job that was cancelled while no host knew of it: a submission
 * that comes later is refused. Callers are told that there is no such job. */
#define Fv_STATE_BARRED "barred"

/* Whose job it is; empty names for a job of nobody. */
typedef struct fv_job_owner {
    char customer[Fv_NAME_SIZE];
    char queue[Fv_NAME_SIZE];
} fv_job_owner_t;

typedef struct fv_ended_job {
    char id[Fv_JOB_ID_SIZE];
    char state[16];
    fv_job_owner_t owner;
    bool recorded;
    fv_record_waiter_t *waiters; /* for the record of a barred job */
    int64_t ended_ms;
    UT_hash_handle hh;
} fv_ended_job_t;

/* A service that a queue names or named; only its workers are polled. */
typedef struct fv_used_service {
    char name[Fv_NAME_SIZE];
    UT_hash_handle hh;
} fv_used_service_t;

/* A question about an unknown job. It is answered when a renewal that was sent
 * after it has succeeded: an earlier one does not show that the job was not
 * accepted by another leader before the caller asked. */
typedef struct fv_held_question {
    int64_t id;
    char job[Fv_JOB_ID_SIZE];
    fv_job_owner_t asker;
    fv_leader_reply_t reply;
    void *context;
    uint64_t renewal;
    int64_t until_ms;
    struct fv_held_question *next;
} fv_held_question_t;

typedef struct fv_asked_worker {
    char id[Fv_NAME_SIZE];
    int64_t started_wall_ms; /* a ticket is valid for one incarnation */
} fv_asked_worker_t;

/* A request to the advice service that a host sends for the leader. */
typedef struct fv_advice_request {
    int64_t id;
    char stage[Fv_STEP_ID_SIZE];
    char task[Fv_RUN_TASK_ID_SIZE]; /* first one; identifies the stage */
    int64_t sent_ms;
    int64_t deadline_ms;
    uint32_t count;
    fv_asked_worker_t *workers;
    UT_hash_handle hh;
} fv_advice_request_t;

/* The leader's calls to one worker. */
typedef struct fv_worker_session {
    fv_leader_t *leader;
    fv_sched_worker_t *worker; /* NULL: removed while calls are pending */
    uint32_t pending_calls;
    bool long_poll_pending;
    bool report_pending;
    bool acknowledging;    /* a call in progress acknowledges ends */
    bool paused;           /* the next renewal must not follow at once */
    bool retried;          /* at once, after the first missed report */
    bool recording;        /* latest ends are being recorded */
    int64_t recording_end; /* highest end number being recorded */
    int64_t recording_started_wall_ms; /* incarnation of the worker */
    int64_t sent_ms;
} fv_worker_session_t;

/* Reads all items with a prefix, page by page. */
typedef struct fv_range_load {
    fv_leader_t *leader;
    const char *prefix;
    void (*item)(fv_leader_t *leader, const fv_kv_item_t *item);
    void (*loaded)(fv_leader_t *leader);
    char *after; /* last key read */
    struct event *retry;
} fv_range_load_t;

/* answer-time.c */
typedef struct fv_answer_time {
    double mean_ms;
    double deviation_ms; /* mean absolute deviation */
} fv_answer_time_t;

void FvAnswerTime_Answered(fv_answer_time_t *time, int64_t ms);
void FvAnswerTime_Missing(fv_answer_time_t *time);
int64_t FvAnswerTime_LimitMs(const fv_answer_time_t *time);
int64_t FvAnswerTime_ExcessMs(const fv_answer_time_t *time);

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
    fv_kv_watch_t *registry_watch;
    fv_answer_time_t answer_time; /* of orders, over all workers */
    struct event *tick_timer;
    struct event *pass_timer;
    fv_ended_job_t *ended;
    fv_used_service_t *services;
    int64_t services_version;  /* of the configuration they were taken from */
    int64_t customers_version; /* the same for caps and weights */
    fv_held_question_t *questions_first; /* in order of renewals */
    fv_held_question_t *questions_last;
    uint32_t question_count;
    uint32_t barred_count; /* of the ended jobs */
    fv_advice_request_t *advice_requests;
    int64_t last_advice_request_id;
    int64_t stream_revisions[Fv_RECORD_STREAMS];
    fv_range_load_t loads[7];
    uint32_t loads_pending;
    bool serving;
    bool closed;
    uint32_t pending_calls; /* whose callbacks refer to this leader */
    char *unreached_loaded; /* list of the earlier leaders; NULL: written */
    bool unreached_writing;
    int64_t unreached_due_ms; /* no worker is added before */
    int64_t last_unreached_number;
    bool worker_list_dirty;
    bool worker_list_writing;
    fv_predecessor_t predecessor;
    int64_t all_stopped_ms; /* no earlier leader sends orders; 0: not known */
    int64_t predecessor_stopped_ms;  /* sent no orders since; 0: not known */
    uint32_t inherited_worker_count; /* given orders by earlier leaders */
    int32_t generation;
    bool predecessor_handed_over; /* after its stops had taken effect */
    bool handing_over;            /* sends no stops and is about to resign */
    bool resigning;               /* resigns once the worker list is written */
    bool stops_settled;           /* all stops sent before have taken effect */
    uint32_t pending_stops;       /* neither answered nor given up */
    int64_t answered_stop_ms;     /* when the latest one was answered */
    int64_t unanswered_stop_ms;   /* when the latest one was sent; 0: none */
    struct event *handover_timer;
    fv_log_quota_t cancel_log;
    fv_log_quota_t refusal_log;
    fv_log_quota_t excess_log;
    bool reading_registry;
    uint64_t registry_readings; /* begun so far */
    int64_t next_load_log_ms;
    int64_t last_pass_us;
    int64_t last_tick_ms;
    int64_t forgetting_us;   /* in this tick */
    int64_t max_tick_lag_ms; /* since the latest cell_load event */
    int64_t passes;          /* since the latest cell_load event */
    int64_t renewals;        /* the same */
};

/* cell-leader.c */
void FvLeader_SchedulePass(fv_leader_t *leader);
bool FvLeader_FinishCall(fv_leader_t *leader);
fv_leader_t *FvLeader_FromSched(fv_sched_t *sched);
bool FvLeader_ApplyCustomers(fv_leader_t *leader);

bool FvLeader_HaveEarlierStopped(const fv_leader_t *leader, int64_t now_ms);
bool FvLeader_IsWorkerGone(const fv_leader_t *leader,
                           const fv_sched_worker_t *worker);

/* leader-unreached.c */
void FvLeaderUnreached_Check(fv_leader_t *leader, int64_t now_ms);
void FvLeaderUnreached_Load(fv_leader_t *leader, const fv_kv_item_t *item);
void FvLeaderUnreached_Apply(fv_leader_t *leader, fv_sched_worker_t *worker);
void FvLeaderUnreached_NoteExpired(fv_leader_t *leader);

/* leader-workers.c */
void FvLeaderWorker_RenewLease(fv_worker_session_t *session, bool wait);
void FvLeaderWorker_ConnectionClosed(void *context, const char *address);
void FvLeaderWorker_RequestReport(fv_sched_t *sched,
                                  fv_sched_worker_t *worker);
void FvLeaderWorker_AddService(fv_leader_t *leader, const char *name);
bool FvLeaderWorker_IsServiceUsed(fv_leader_t *leader, const char *name);
void FvLeaderWorker_OpenSession(fv_leader_t *leader,
                                fv_sched_worker_t *worker);
void FvLeaderWorker_ReleaseSession(fv_worker_session_t *session);
bool FvLeaderOrder_Start(fv_sched_t *sched, fv_sched_task_t *task,
                         const fv_verdict_t *verdict);
void FvLeaderOrder_Stop(fv_sched_t *sched, fv_sched_task_t *task);
void FvLeaderOrder_StopOrphanRun(fv_sched_t *sched, fv_sched_worker_t *worker,
                                 const char *name, int32_t run);

/* leader-requests.c */
int64_t FvLeaderRequest_OutageWaitMs(const fv_leader_t *leader,
                                     int64_t now_ms);
void FvLeaderRequest_ExpireQuestions(fv_leader_t *leader, int64_t now_ms);
void FvLeaderRequest_Answer(fv_leader_t *leader, fv_verb_t verb,
                            const char *job, int64_t id,
                            fv_leader_reply_t reply, void *context,
                            fv_reply_t outcome, const char *state);

/* leader-records.c */
void FvLeaderRecord_AddWaiter(fv_sched_job_t *job,
                              const fv_cell_message_t *message,
                              fv_leader_reply_t reply, void *context);
void FvLeaderRecord_DropWaiters(fv_record_waiter_t **waiters,
                                const void *context);
void FvLeaderRecord_ForgetEnded(fv_leader_t *leader, fv_ended_job_t *ended);
bool FvLeaderRecord_MayBar(const fv_leader_t *leader);
void FvLeaderRecord_AddBarWaiter(fv_ended_job_t *ended,
                                 const fv_cell_message_t *message,
                                 fv_leader_reply_t reply, void *context);
void FvLeaderRecord_Bar(fv_leader_t *leader, const fv_cell_message_t *message,
                        fv_leader_reply_t reply, void *context);
void FvLeaderRecord_RememberEnded(fv_leader_t *leader, const char *id,
                                  const char *state,
                                  const fv_job_owner_t *owner);
void FvLeaderRecord_EncodeEnded(const char *state, const fv_job_owner_t *owner,
                                fv_buffer_t *out);
bool FvLeaderRecord_DecodeEnded(const fv_buffer_t *value, const char **state,
                                fv_job_owner_t *owner);
const char *FvLeaderRecord_EndedCustomer(fv_sched_t *sched, const char *task);
void FvLeaderRecord_RemoveIfIdle(fv_leader_t *leader, fv_sched_job_t *job);
void FvLeaderRecord_Write(fv_sched_t *sched, fv_sched_job_t *job,
                          fv_record_kind_t kind);
void FvLeaderWorkerList_RequestWrite(fv_leader_t *leader);
void FvLeaderWorkerList_Load(fv_leader_t *leader, const fv_kv_item_t *item);
void FvLeaderWorkerList_Write(fv_leader_t *leader);
void FvLeaderWorkerList_Add(fv_leader_t *leader,
                            const fv_sched_worker_t *worker);

/* leader-advice.c */
void FvLeaderAdvice_Complete(fv_leader_t *leader, fv_advice_request_t *request,
                             const fv_advice_t *advice);
bool FvLeaderAdvice_SendRequest(fv_sched_t *sched, fv_sched_stage_t *stage,
                                fv_sched_worker_t *const *workers,
                                uint32_t count);

/* leader-load.c */
void FvLeaderLoad_Start(fv_leader_t *leader);
void FvLeaderLoad_Free(fv_leader_t *leader);

#endif
