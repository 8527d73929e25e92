/*
 * Jobs accepted by this host, from admission to outcome. The host that
 * accepted a job is its home host, which holds the job's claim in the store.
 */

#ifndef RUNNER_H
#define RUNNER_H

#include "daemon.h"

/* State of a job's claim in the store, as last written or read. */
typedef struct fv_claim {
    char holder[Fv_NAME_SIZE];
    char incarnation[Fv_NONCE_SIZE];
    char nonce[Fv_NONCE_SIZE]; /* of the last write, to recognize it */
    int64_t revision;          /* 0: not in the store */
    int64_t started_ms;        /* wall; when the last attempt was written */
} fv_claim_t;

/* One task of the current attempt. */
typedef struct fv_run_task {
    char worker[Fv_NAME_SIZE];
    char host[Fv_NAME_SIZE]; /* which requests for the task are sent to */
    bool reserved;
    fv_task_state_t state;
    int64_t start_sent_ms; /* boot; 0: not sent by this host */
    bool unconfirmed;      /* may or may not have started */
    int64_t unconfirmed_since_ms;
    int32_t resolve_attempts;
    bool expiry_check_pending; /* hosts are being queried for the lease */
    fv_timer_t timer;          /* next query or stop */
    int64_t ran_ms;
    fv_resources_t used;
    uint8_t *answer;
    size_t answer_length;
} fv_run_task_t;

typedef enum fv_run_phase {
    Fv_RUN_ADMITTING, /* the claim is being written */
    Fv_RUN_QUEUED,
    Fv_RUN_BACKOFF, /* waiting before it is queued again */
    Fv_RUN_RESERVING,
    Fv_RUN_CLAIMING, /* the attempt is being written to the claim */
    Fv_RUN_STARTING,
    Fv_RUN_RUNNING,
    Fv_RUN_STOPPING, /* all tasks are being stopped */
    Fv_RUN_ENDING,   /* the outcome is being written */
    Fv_RUN_ENDED
} fv_run_phase_t;

typedef struct fv_run fv_run_t;

/* A caller that waits for the end of a job. */
typedef struct fv_job_waiter {
    fv_run_t *run;
    fv_ticket_t *ticket; /* of a caller of this host, or NULL */
    fv_reply_to_t peer;  /* requesting host when ticket is NULL */
    bool is_submission;  /* reply with 202 if the job has not ended */
    bool cancel;         /* also cancel the job */
    int64_t until_ms;    /* boot */
    fv_timer_t timer;
    struct fv_job_waiter *next;
} fv_job_waiter_t;

struct fv_run {
    fv_runner_t *runner;
    fv_job_t *job;
    char name[Fv_NAME_SIZE + Fv_KEY_SIZE]; /* MEMBER/KEY */
    uint64_t serial; /* distinguishes runs of the same name */
    fv_run_phase_t phase;
    fv_claim_t claim;
    char previous_holder[Fv_NAME_SIZE]; /* of an adopted claim */
    bool claimed;       /* the store has, or may have, a record */
    bool write_pending; /* a claim write is outstanding or being retried */
    int32_t task_count;
    int32_t tasks_pending; /* replies outstanding in this phase */
    fv_run_task_t *tasks;
    int32_t hosts_tried; /* since the job was last queued */
    int32_t backoffs;
    char refused_by[4][Fv_NAME_SIZE];
    bool may_have_started; /* a task of any attempt */
    fv_timer_t timer;
    fv_timer_t deadline_timer;
    fv_job_waiter_t *waiters;
    int64_t ended_ms;
    int64_t ended_ns;          /* boot; when the outcome was decided */
    struct fv_run *ended_next; /* oldest first */
    UT_hash_handle hh;
};

struct fv_runner {
    fv_daemon_t *daemon;
    fv_run_t *runs; /* by MEMBER/KEY */
    fv_queue_t *queues[Fv_CLASS_COUNT];
    fv_timer_t dispatch_timer;
    fv_timer_t housekeeping_timer;
    fv_retry_budget_t retry_budget;
    fv_run_t *ended_first;
    fv_run_t *ended_last;
    uint64_t last_serial;
    int64_t next_reorder_ms;
    uint32_t unfinished_count; /* runs that have not ended */
    size_t payload_bytes;
    size_t answer_bytes;
    int64_t retention_lease;
    int64_t retention_renew_at_ms;
    bool retention_pending;
    struct fv_recovery *recovery;
    struct fv_remote_wait *remote_waits;
};

/* runner.c */
/* Refers to a run from a callback; the run may have been removed by then. */
typedef struct fv_run_ref {
    fv_runner_t *runner;
    char name[Fv_NAME_SIZE + Fv_KEY_SIZE];
    uint64_t serial;
    int32_t attempt;
    int32_t index; /* of a task, or 0 */
} fv_run_ref_t;

fv_run_ref_t *FvRunRef_New(const fv_run_t *run, int32_t index);
fv_run_t *FvRunRef_Find(const fv_run_ref_t *ref);
fv_run_t *FvRunner_Find(const fv_runner_t *runner, const char *member,
                        const char *key);
fv_run_t *FvRunner_Add(fv_runner_t *runner, fv_job_t *job);
void FvRunner_Remove(fv_run_t *run);
bool FvRun_Enqueue(fv_run_t *run);
void FvRun_BackOff(fv_run_t *run);
void FvRun_End(fv_run_t *run, fv_outcome_t outcome, const char *format, ...)
    __attribute__((format(printf, 3, 4)));
bool FvRun_EndIfCancelledOrExpired(fv_run_t *run);
void FvRun_Cancel(fv_run_t *run);
void FvRun_ResetTasks(fv_run_t *run);
json_t *FvRun_ToJson(const fv_run_t *run);

/* runner-wait.c */
fv_job_waiter_t *FvJobWaiter_New(fv_ticket_t *ticket,
                                 const fv_reply_to_t *peer, int64_t wait_ms,
                                 bool is_submission);
void FvRun_AddWaiter(fv_run_t *run, fv_job_waiter_t *waiter);
void FvRun_ReplyWaiters(fv_run_t *run);
void FvRun_RefuseWaiters(fv_run_t *run, int32_t status, const char *outcome,
                         const char *detail);

/* claim.c */
json_t *FvClaim_ToJson(const fv_run_t *run);
bool FvClaim_FromJson(const json_t *record, fv_run_t *run);
json_t *FvClaim_ToJobDocument(const json_t *record);
void FvClaim_Key(const char *member, const char *key, char *text, size_t size);

/* runner-claim.c: writes of the claim. */
typedef enum fv_claim_result {
    Fv_CLAIM_WRITTEN,
    Fv_CLAIM_LOST,       /* another host holds the claim */
    Fv_CLAIM_UNAVAILABLE /* certainly not written */
} fv_claim_result_t;

typedef void (*fv_claim_done_t)(fv_run_t *run, fv_claim_result_t result,
                                const json_t *record, int64_t revision);

void FvRun_Admit(fv_run_t *run);
void FvRun_WriteClaim(fv_run_t *run, fv_claim_done_t done);
void FvRun_OnClaimLost(fv_run_t *run, const json_t *record);

/* runner-start.c: dispatch of queued jobs. */
void FvRunner_Dispatch(void *owner);
void FvRun_ReleaseReservations(fv_run_t *run);

/* runner-watch.c: tasks that run or may run. */
void FvRun_WatchTask(fv_run_t *run, int32_t index);
void FvRun_ResolveTask(fv_run_t *run, int32_t index);
void FvRun_ScheduleResolve(fv_run_t *run, int32_t index);
bool FvRunTask_IsTerminal(const fv_run_task_t *task);
void FvRun_ApplyTaskReply(fv_run_t *run, int32_t index,
                          fv_task_reply_t *reply);
void FvRun_StopTasks(fv_run_t *run);
void FvRun_Reconcile(fv_run_t *run);
void FvRun_TaskId(const fv_run_t *run, int32_t index, char *id, size_t size);

/* lease-expiry.c: lease expiry check for workers that can't be reached. */
void FvLeaseExpiry_Check(fv_run_t *run, int32_t index);

/* remote-job.c: jobs whose home is another host; answers kept by workers. */
void FvRemoteJob_Wait(fv_runner_t *runner, const char *member, const char *key,
                      fv_job_waiter_t *waiter);
void FvRemoteJob_FreeAll(fv_runner_t *runner);
void FvRemoteJob_FetchAnswer(fv_runner_t *runner, const char *member,
                             const char *key, const json_t *document,
                             fv_ticket_t *ticket);

/* recovery.c: recovery of claims whose holder is gone. */
typedef struct fv_recovery fv_recovery_t;

fv_recovery_t *FvRecovery_New(fv_runner_t *runner);
void FvRecovery_Free(fv_recovery_t *recovery);
void FvRecovery_OnHosts(fv_recovery_t *recovery);
void FvRecovery_Adopt(fv_runner_t *runner, const char *member, const char *key,
                      const json_t *record, int64_t revision);
bool FvRecovery_IsHolderGone(const fv_runner_t *runner, const char *holder,
                             const char *incarnation);

#endif
