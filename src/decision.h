/*
 * Scheduling decisions and the objects they work on. This code uses no
 * sockets, threads or clocks: the current time is a parameter. Included by
 * fireflyvalve.h.
 */

#ifndef DECISION_H
#define DECISION_H

#include "fireflyvalve.h"

/* host.c: the cell's entry hosts. */

/* Summary of a host's state that it sends to its peers periodically. */
typedef struct fv_host_digest {
    uint64_t config_version;
    int64_t received_ms; /* boot time of the receiver */
    bool draining;
    int32_t workers; /* number that accept tasks */
    int32_t held_leases;
    fv_resources_t largest_capacity; /* maximum of each over its workers */
    int32_t queued[Fv_CLASS_COUNT];
    fv_resources_t free_total;       /* less the interactive headroom */
    fv_resources_t free_largest;     /* maximum of each resource */
    fv_resources_t free_interactive; /* total, including the headroom */
    uint32_t usage_count;
    struct {
        char member[Fv_NAME_SIZE];
        fv_resources_t used;
    } usage[Fv_MEMBERS_MAX];
} fv_host_digest_t;

typedef struct fv_host {
    char name[Fv_NAME_SIZE];
    char region[Fv_NAME_SIZE];
    char data_center[Fv_NAME_SIZE];
    char link_address[Fv_ADDRESS_SIZE];
    char incarnation[Fv_NONCE_SIZE]; /* from its welcome message */
    bool listed_live;                /* the platform lists it as live */
    bool listed;                     /* in the platform's list, in any state */
    bool linked;                     /* the connection dialed to it is ready */
    int64_t last_heard_ms;           /* boot; last message received */
    int64_t unlisted_since_ms; /* boot; removal from the platform's list */
    fv_host_digest_t digest;
} fv_host_t;

typedef struct fv_hosts {
    uint32_t count;
    fv_host_t *entries[Fv_HOSTS_MAX];
} fv_hosts_t;

fv_host_t *FvHosts_Find(const fv_hosts_t *hosts, const char *name);
fv_host_t *FvHosts_Add(fv_hosts_t *hosts, const char *name);
void FvHosts_Clear(fv_hosts_t *hosts);
bool FvHost_IsAlive(const fv_host_t *host, const fv_host_t *self,
                    int64_t now_ms);
const fv_host_t *
FvHosts_PreferredLeaseHolder(const fv_hosts_t *hosts, const fv_host_t *self,
                             const char *data_center, const char *region,
                             const char *rack, int64_t now_ms);
const fv_host_t *FvHosts_Successor(const fv_hosts_t *hosts,
                                   const fv_host_t *self,
                                   const char *dead_host, int64_t now_ms);

/* lease.c: one worker's lease as its holder sees it. */
/* Delay before the first start under a new lease; covers clock drift and
   packets in flight. */
#define Fv_START_GRACE_MS 300

typedef struct fv_lease {
    bool held;
    uint64_t term;
    int64_t expires_ns; /* boot; counted from sending the renewal */
    int64_t starts_allowed_from_ns; /* boot; earliest time to start a task */
    int64_t last_expiry_ns;         /* boot; end of this host's last lease */
} fv_lease_t;

bool FvLease_AllowsStart(const fv_lease_t *lease, int64_t now_ns);
void FvLease_Granted(fv_lease_t *lease, uint64_t term, int64_t sent_ns,
                     int64_t now_ns, int32_t ttl_ms);
void FvLease_Lost(fv_lease_t *lease, int64_t now_ns);
bool FvLease_Expired(const fv_lease_t *lease, int64_t now_ns);

/* quarantine.c: restricts workers on which tasks keep failing. */
typedef struct fv_quarantine {
    int32_t consecutive_failures;
    int64_t next_probe_ms;
    int64_t backoff_ms;
    bool probing;
} fv_quarantine_t;

bool FvQuarantine_AllowsTask(const fv_quarantine_t *quarantine,
                             int64_t now_ms);
void FvQuarantine_RecordStart(fv_quarantine_t *quarantine, int64_t now_ms);
bool FvQuarantine_RecordFailure(fv_quarantine_t *quarantine, int64_t now_ms);
void FvQuarantine_RecordSuccess(fv_quarantine_t *quarantine);
void FvQuarantine_AbortProbe(fv_quarantine_t *quarantine);

/* worker.c: the tasks and reservations that a worker's resources are
   allocated to. */
typedef enum fv_task_state {
    Fv_TASK_RESERVED,
    Fv_TASK_STARTING,
    Fv_TASK_RUNNING,
    Fv_TASK_DONE,
    Fv_TASK_FAILED,
    Fv_TASK_STOPPED,
    Fv_TASK_NEVER_STARTED,
    Fv_TASK_UNKNOWN
} fv_task_state_t;

const char *FvTaskState_Name(fv_task_state_t state);
bool FvTaskState_Parse(const char *name, fv_task_state_t *state);
bool FvTaskState_IsTerminal(fv_task_state_t state);

typedef struct fv_task {
    char id[Fv_TASK_ID_SIZE];
    char member[Fv_NAME_SIZE];
    char workload[Fv_NAME_SIZE];
    fv_class_t class_id;
    fv_task_state_t state;
    bool restartable;         /* known to be safe to stop and restart */
    fv_resources_t size;      /* allocated amount */
    fv_resources_t used;      /* last reported usage */
    int64_t expires_ms;       /* boot; reservations only */
    int64_t charged_until_ms; /* boot; usage is charged until then */
    int64_t added_ms;         /* boot; start of the allocation */
    int64_t ran_ms;           /* run time last reported by the worker */
    struct fv_task *next;
} fv_task_t;

typedef struct fv_worker {
    char name[Fv_NAME_SIZE];
    char region[Fv_NAME_SIZE];
    char data_center[Fv_NAME_SIZE];
    char rack[Fv_NAME_SIZE];
    char base_url[Fv_URL_SIZE];
    bool listed;
    bool leaving;
    fv_lease_t lease;
    fv_quarantine_t quarantine;
    fv_resources_t capacity;
    fv_resources_t free;
    int32_t connection_limit;
    int32_t connections_used;
    fv_task_t *tasks;
    int64_t last_event_sequence; /* last event applied from a renewal */
    int32_t placement_index;     /* owned by placement.c */
    void *managed;               /* the fv_managed_worker_t of this worker */
} fv_worker_t;

fv_worker_t *FvWorker_New(const char *name);
void FvWorker_Free(fv_worker_t *worker);
bool FvWorker_AcceptsTasks(const fv_worker_t *worker, int64_t now_ms);
void FvWorker_SetCapacity(fv_worker_t *worker, const fv_resources_t *capacity);
fv_task_t *FvWorker_FindTask(const fv_worker_t *worker, const char *id);
fv_task_t *FvWorker_AddTask(fv_worker_t *worker, const fv_task_t *task);
void FvWorker_RemoveTask(fv_worker_t *worker, fv_task_t *task);
void FvWorker_ResizeTask(fv_worker_t *worker, fv_task_t *task,
                         const fv_resources_t *size);
uint32_t FvWorker_ExpireReservations(fv_worker_t *worker, int64_t now_ms);
void FvWorker_ClearTasks(fv_worker_t *worker);

/* job.c */
typedef enum fv_job_state {
    Fv_JOB_ADMITTING, /* its claim is being written */
    Fv_JOB_QUEUED,
    Fv_JOB_RUNNING,
    Fv_JOB_ENDED
} fv_job_state_t;

typedef enum fv_outcome {
    Fv_OUTCOME_NONE,
    Fv_OUTCOME_DONE,
    Fv_OUTCOME_FAILED,
    Fv_OUTCOME_CANCELLED,
    Fv_OUTCOME_NOT_RUN,
    Fv_OUTCOME_UNKNOWN
} fv_outcome_t;

const char *FvJobState_Name(fv_job_state_t state);
const char *FvOutcome_Name(fv_outcome_t outcome);
bool FvOutcome_Parse(const char *name, fv_outcome_t *outcome);

typedef struct fv_job {
    char member[Fv_NAME_SIZE];
    char key[Fv_KEY_SIZE];
    char body_digest[Fv_HASH256_HEX_SIZE];
    fv_workload_t workload;
    fv_job_state_t state;
    fv_outcome_t outcome;
    char reason[Fv_REASON_SIZE];
    uint8_t *payload;
    size_t payload_length;
    uint8_t *answer;
    size_t answer_length;
    int64_t submitted_ms;    /* wall */
    int64_t start_before_ms; /* wall; 0: none */
    int64_t deadline_ms;     /* wall; 0: none */
    int64_t latest_start_ms; /* wall; FvPolicyDeadline_SetLatestStart */
    int64_t submitted_ns;    /* boot */
    int64_t started_ns;      /* boot */
    bool cancel_requested;
    int32_t attempts;
    void *run; /* owned by the job runner */
    /* Owned by queue.c. */
    bool queued;
    uint32_t queue_index;
    uint64_t queue_order;
    void *queue_member;
} fv_job_t;

fv_job_t *FvJob_New(const char *member, const char *key,
                    const fv_workload_t *workload);
void FvJob_Free(fv_job_t *job);

/* share.c: weighted dominant-resource fairness among members. */
typedef struct fv_shares fv_shares_t;

fv_shares_t *FvShares_New(void);
void FvShares_Free(fv_shares_t *shares);
void FvShares_Configure(fv_shares_t *shares, const fv_config_t *config);
void FvShares_SetCapacity(fv_shares_t *shares, const fv_resources_t *total);
void FvShares_Add(fv_shares_t *shares, const char *member,
                  const fv_resources_t *size);
void FvShares_Subtract(fv_shares_t *shares, const char *member,
                       const fv_resources_t *size);
void FvShares_SetRemote(fv_shares_t *shares, const char *host,
                        const char *member, const fv_resources_t *used);
void FvShares_RemoveHost(fv_shares_t *shares, const char *host);
double FvShares_DominantShare(const fv_shares_t *shares, const char *member);
bool FvShares_WithinQuota(const fv_shares_t *shares, const char *member,
                          const fv_resources_t *size);
void FvShares_LocalUsage(const fv_shares_t *shares, const char *member,
                         fv_resources_t *used);
double FvShares_LargerFraction(double current, int64_t used, int64_t total);
json_t *FvShares_ToJson(const fv_shares_t *shares);

/* policy.c, policy-*.c: one vtable for each class. */
typedef struct fv_policy {
    const char *name;
    bool most_free_first; /* placement scans the emptiest workers first */
    bool spreads_racks;   /* score uses tasks_of_job_in_rack */
    /* A job that has waited block_queue_after_ms and does not fit blocks the
       jobs behind it for block_queue_for_ms; the two periods alternate until
       it is placed. 0: never blocks. */
    int64_t block_queue_after_ms;
    int64_t block_queue_for_ms;
    /* Negative if a starts before b; both belong to the same member. */
    int (*compare)(const fv_job_t *a, const fv_job_t *b);
    /* Free resources of the worker that a task of this class may use. */
    void (*usable)(const fv_worker_t *worker, fv_resources_t *usable);
    /* Higher is better; called only for workers that the task fits on. */
    int64_t (*score)(const fv_worker_t *worker, const fv_resources_t *size,
                     uint32_t tasks_of_job_in_rack);
    /* Whether the task may be checkpointed or throttled for this class. */
    bool (*may_preempt)(const fv_task_t *task);
} fv_policy_t;

extern const fv_policy_t fv_policy_interactive;
extern const fv_policy_t fv_policy_deadline;
extern const fv_policy_t fv_policy_gang;
extern const fv_policy_t fv_policy_service;

const fv_policy_t *FvPolicy_ForClass(fv_class_t class_id);
void FvPolicyDeadline_SetLatestStart(fv_job_t *job, int64_t run_ms);
int FvPolicy_CompareSubmitted(const fv_job_t *a, const fv_job_t *b);
void FvPolicy_SubtractHeadroom(const fv_worker_t *worker,
                               fv_resources_t *usable);
int64_t FvPolicy_BestFitScore(const fv_worker_t *worker,
                              const fv_resources_t *size,
                              uint32_t tasks_of_job_in_rack);

/* queue.c: bounded queue of one class, with a heap for each member. */
typedef struct fv_queue fv_queue_t;

typedef enum fv_queue_error {
    Fv_QUEUE_OK,
    Fv_QUEUE_FULL,
    Fv_QUEUE_MEMBER_FULL,
    Fv_QUEUE_NO_MEMORY
} fv_queue_error_t;

fv_queue_t *FvQueue_New(const fv_policy_t *policy, uint32_t limit);
void FvQueue_Free(fv_queue_t *queue);
fv_queue_error_t FvQueue_Push(fv_queue_t *queue, fv_job_t *job);
bool FvQueue_CanAccept(fv_queue_t *queue, const fv_job_t *job);
void FvQueue_Remove(fv_queue_t *queue, fv_job_t *job);
void FvQueue_BeginPass(fv_queue_t *queue, int64_t now_wall_ms);
fv_job_t *FvQueue_Peek(fv_queue_t *queue, const fv_shares_t *shares);
void FvQueue_Skip(fv_queue_t *queue, fv_job_t *job);
const fv_job_t *FvQueue_BlockingJob(const fv_queue_t *queue);
uint32_t FvQueue_Count(const fv_queue_t *queue);
void FvQueue_Reorder(fv_queue_t *queue,
                     void (*update)(fv_job_t *job, void *context),
                     void *context);

/* placement.c: chooses workers among those whose leases this host holds. */
typedef struct fv_placement fv_placement_t;

fv_placement_t *FvPlacement_New(void);
void FvPlacement_Free(fv_placement_t *placement);
bool FvPlacement_Add(fv_placement_t *placement, fv_worker_t *worker);
void FvPlacement_Remove(fv_placement_t *placement, fv_worker_t *worker);
void FvPlacement_Update(fv_placement_t *placement, fv_worker_t *worker);
fv_worker_t *FvPlacement_Choose(fv_placement_t *placement,
                                const fv_policy_t *policy,
                                const fv_resources_t *size, const char *job_id,
                                int64_t now_ms);
bool FvPlacement_CanEverFit(const fv_placement_t *placement,
                            const fv_policy_t *policy,
                            const fv_resources_t *size);
void FvPlacement_Summarize(const fv_placement_t *placement,
                           fv_host_digest_t *digest, int64_t now_ms);

/* host-ranking.c: order in which hosts are tried for a job's placement. */
uint32_t FvHostRanking_Build(const fv_hosts_t *hosts, const fv_host_t *self,
                             const fv_workload_t *workload, int64_t waited_ms,
                             int64_t now_ms, uint64_t random,
                             const fv_host_t **ranked, uint32_t limit);

/* estimate.c: run times and sizes estimated by member and workload. */
typedef struct fv_estimates fv_estimates_t;

fv_estimates_t *FvEstimates_New(void);
void FvEstimates_Free(fv_estimates_t *estimates);
void FvEstimates_Observe(fv_estimates_t *estimates, const char *member,
                         const char *workload, int64_t run_ms,
                         const fv_resources_t *used);
int64_t FvEstimates_RunMs(const fv_estimates_t *estimates, const char *member,
                          const fv_workload_t *workload);
void FvEstimates_TaskSize(const fv_estimates_t *estimates, const char *member,
                          const fv_workload_t *workload, fv_resources_t *size);
json_t *FvEstimates_ToJson(const fv_estimates_t *estimates);
void FvEstimates_Merge(fv_estimates_t *estimates, const json_t *saved);

/* retry.c: token budget and backoff for retries. */
typedef struct fv_retry_budget {
    int64_t tokens_milli;
    int64_t last_refill_ms;
} fv_retry_budget_t;

void FvRetryBudget_Deposit(fv_retry_budget_t *budget);
bool FvRetryBudget_TryWithdraw(fv_retry_budget_t *budget, int64_t now_ms);
void FvRetryBudget_Refund(fv_retry_budget_t *budget);
int64_t FvRetry_BackoffMs(int32_t attempt, uint64_t random);

/* account.c: resource-seconds by member, summed over lease holders. */
typedef struct fv_accounts fv_accounts_t;

fv_accounts_t *FvAccounts_New(void);
void FvAccounts_Free(fv_accounts_t *accounts);
void FvAccounts_Accrue(fv_accounts_t *accounts, const char *member,
                       const fv_resources_t *size, int64_t ms);
json_t *FvAccounts_ToJson(const fv_accounts_t *accounts);
void FvAccounts_AddJson(fv_accounts_t *accounts, const json_t *saved);
json_t *FvAccounts_MemberToJson(const fv_accounts_t *accounts,
                                const char *member);

/* select.c */
void FvSelect_Best(void *items, size_t count, size_t size, size_t wanted,
                   int (*compare)(const void *, const void *));

#endif
