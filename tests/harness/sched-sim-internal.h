/*
 * Internal declarations of the simulated cell; see sched-sim.h.
 */

#ifndef SCHED_SIM_INTERNAL_H
#define SCHED_SIM_INTERNAL_H

#include "sched-sim.h"

#include "platform.h"
#include "scheduler.h"
#include "suite.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WORKERS_MAX 32
#define RUNS_MAX 128
#define ENDS_MAX 4096
#define EVENTS_MAX 65536
#define JOBS_MAX 256
#define TASKS_MAX 4096

#define LEASE_MS 4500
#define LEASE_MAX_MS 10000 /* longer ones are shortened by the worker */
#define CLOCK_SLOW_MAX_PERCENT 2
#define ORDER_DELAY_MIN_MS 50 /* of late orders */
#define ORDER_DELAY_MAX_MS 12000
/* Time of day at which the workers first start. */
#define FIRST_START_MS 1000
#define STOP_MS 600
#define STOPS_SUSPENDED_MS (STOP_MS + 250) /* before a handover */
#define GANG_TIMEOUT_MS 3000
#define GANG_REFILL_MS 1800
#define ORDER_TIMEOUT_MS 250
#define REPORT_TIMEOUT_MS 700
#define REPORT_INTERVAL_MS 300
#define RECORD_WRITE_MS 10
#define PASS_INTERVAL_MS 20
#define FAULT_INTERVAL_MS 100
#define WORKER_CPU_MILLIS 8000
#define ATTEMPTS_MAX 3
#define ADVICE_REQUESTS_MAX 6
#define STEPS_MAX 3
#define STEP_TASKS_MAX 8
#define TASK_MAX_MS 3000 /* unless the plan says otherwise */
#define ENTRY_DELAY_MAX_MS 600
#define ENTRY_EXPIRY_MS 900 /* of a worker that is cut off from the store */
#define RENEWAL_INTERVAL_MS 200 /* of the leadership */
#define RENEWAL_ANSWER_MS 20
#define ORDER_GRACE_MS 6000 /* a leader gives orders after its renewal */
#define SPLIT_MAX_MS 12000
#define STORE_OUTAGE_MAX_MS 5400
#define ELECTION_MIN_MS 200 /* after a split */
#define ELECTION_MAX_MS 2200
#define FEW_HOSTS_MS 2500        /* a leader that reaches few hosts resigns */
#define SPLIT_NOTICED_MAX_MS 300 /* by the earlier leader, after its end */
#define CUSTOMERS_MAX 4
#define CAP_CHANGES_MAX 256

typedef enum event_kind {
    EVENT_ORDER_ARRIVES,
    EVENT_ORDER_ANSWERED,
    EVENT_REPORT_REQUESTED,
    EVENT_REPORT_ARRIVES,
    EVENT_RECORDED,
    EVENT_ENDS_RECORDED,
    EVENT_UNREACHED_WRITTEN,
    EVENT_ADVICE_ARRIVES,
    EVENT_WORKER_RETURNS,
    EVENT_ENTRY_ARRIVES,
    EVENT_JOB_ARRIVES,
    EVENT_JOB_CANCELLED
} event_kind_t;

/* State of a task at the workers, independent of the scheduler's view. */
typedef struct sim_task {
    char name[Fv_RUN_TASK_ID_SIZE];
    int32_t active; /* runs that occupy a worker now */
    bool done;      /* the end is acknowledged, or will be reported */
    int64_t done_ms;
    bool done_acknowledged;
    int64_t last_start_ms;
    int64_t last_end_ms;
    int64_t startable_since_ms; /* 0: runs, or has no capacity */
    int32_t failures_acknowledged;
} sim_task_t;

typedef struct sim_run {
    sim_task_t *task;
    int32_t run;
    int64_t started_ms;
    int64_t work_started_ms; /* 0: waits for the rest of its gang */
    int64_t duration_ms;
    bool fails;
    int64_t stopping_until_ms; /* 0: no stop was ordered */
    const fv_step_spec_t *step;
    uint32_t customer;
} sim_run_t;

typedef struct sim_end {
    fv_ended_row_t row;
    int64_t at_ms;
    bool acknowledged;
    bool saved; /* a checkpoint */
} sim_end_t;

typedef struct sim_worker {
    fv_worker_entry_t entry;
    bool up;
    int64_t unresponsive_until_ms;
    int64_t entry_removed_ms;     /* 0: its entry stays */
    int64_t unreached_since_ms;   /* in the stored list; 0: not in it */
    int64_t stored_lease_left_ms; /* by the stored worker list */
    int64_t drain_deadline_ms;    /* 0: not draining */
    int64_t fencing_token;
    int64_t clock_slow_percent;
    int64_t clock_base_ms;    /* when the clock of this incarnation began */
    int64_t lease_end_ms;     /* on the worker's clock */
    int64_t lease_expired_ms; /* last time at which the lease was expired */
    uint32_t run_count;
    sim_run_t runs[RUNS_MAX];
    int64_t last_end_number;
    uint32_t end_count;
    sim_end_t ends[ENDS_MAX];
    /* Until then, it is cut off from the store and its entry is not written.
     */
    int64_t store_cut_until_ms;
} sim_worker_t;

typedef struct sim_event {
    int64_t at_ms;
    uint64_t sequence; /* order of events that are due at one time */
    event_kind_t kind;
    int32_t generation; /* of the leader; 0: belongs to none */
    uint32_t worker;
    int64_t incarnation_ms; /* of the worker */
    char task[Fv_RUN_TASK_ID_SIZE];
    int32_t run;
    bool stop;
    fv_order_result_t result;
    int64_t sent_ms;
    int64_t lease_end_ms;
    int64_t number; /* of the last recorded end */
    fv_record_kind_t record;
    fv_buffer_t value;
    char **workers;
    uint32_t worker_count;
    fv_worker_report_t report;
    fv_worker_entry_t entry;
    uint32_t unreached; /* workers, a bit for each */
    bool answered;      /* false: the answer is lost */
} sim_event_t;

typedef struct sim_job {
    char id[Fv_JOB_ID_SIZE];
    char *document;
    fv_job_spec_t spec;
    fv_cell_queue_t queue;
    uint32_t customer;
    bool accepted;
    bool cancelled;
    const char *ended; /* recorded outcome; NULL: not ended */
    int64_t accepted_ms;
    int64_t startable_since_ms; /* 0: runs, or has no capacity */
    sim_task_t *tasks[STEPS_MAX][STEP_TASKS_MAX]; /* filled when needed */
    fv_buffer_t job_record;
    fv_buffer_t progress_record;
} sim_job_t;

typedef struct sim sim_t;

/* A leader that acts. Earlier ones act on after a split. */
typedef struct sim_leader {
    fv_sched_t sched; /* first member; the ops cast it */
    sim_t *sim;
    struct sim_leader *earlier; /* the one before it that acts, or NULL */
    int32_t generation;
    int64_t since_ms;
    int64_t earlier_stopped_ms; /* INT64_MAX: not known */
    int64_t unanswered_stop_ms;
    uint32_t open_advice_requests;
    int64_t store_cut_until_ms; /* no call to the store is answered until */
    bool registry_outdated;
    bool unreached_writing;
    int64_t unreached_due_ms;
    int64_t renewal_sent_ms; /* of the leadership */
    int64_t confirmed_ms;    /* when the latest one that succeeded was sent */
    int64_t resigns_ms;
    bool deposed;
    int64_t reached_from_ms[WORKERS_MAX]; /* 0: was never cut off */
    bool report_pending[WORKERS_MAX];
    int64_t report_requested_ms[WORKERS_MAX];
    uint32_t cap_changes; /* that it knows of */
} sim_leader_t;

/* A version of the configuration, from the time when it is in the store. */
typedef struct sim_caps {
    int64_t at_ms;
    int64_t known_ms; /* to leaders that reach the store */
    int64_t cpu_millis[CUSTOMERS_MAX];
} sim_caps_t;

struct sim {
    const sim_plan_t *plan;
    sim_result_t *result;
    uint64_t random;
    int64_t now_ms;
    int32_t generation;
    sim_leader_t *leader;       /* the latest */
    int64_t absent_until_ms;    /* nobody leads */
    int64_t store_out_until_ms; /* for all hosts */
    int64_t split_until_ms;
    int64_t election_ms; /* when another host takes over; 0: none does */
    /* As seen by the hosts that reach the store. */
    int64_t reached_from_ms[WORKERS_MAX];
    int64_t handover_ms; /* when the next leader takes over; 0: none planned */
    bool handed_over;    /* the former leader had suspended its stops */
    uint64_t next_event_sequence;
    uint32_t event_count;
    sim_event_t *events; /* binary heap by time */
    sim_worker_t workers[WORKERS_MAX];
    uint32_t job_count;
    sim_job_t jobs[JOBS_MAX];
    uint32_t task_count;
    sim_task_t tasks[TASKS_MAX];
    uint32_t cap_change_count;
    sim_caps_t caps[CAP_CHANGES_MAX];
};

extern const fv_sched_ops_t Fv_SIM_OPS;

uint32_t FvSim_RandomBelow(sim_t *sim, uint32_t below);
bool FvSim_FaultOccurs(sim_t *sim, uint32_t per_mille);
void FvSim_AddViolation(sim_t *sim, uint32_t *count, const char *what,
                        const char *name);
void FvSim_Schedule(sim_t *sim, sim_event_t event);
void FvSim_Postpone(sim_t *sim, sim_event_t *event, int64_t until_ms);
sim_event_t FvSim_TakeEvent(sim_t *sim);
void FvSim_ClearEvent(sim_event_t *event);
int64_t FvSim_OneWayDelayMs(sim_t *sim);
int64_t FvSim_LateDelayMs(sim_t *sim);
int64_t FvSim_WorkerClockMs(const sim_t *sim, const sim_worker_t *worker);
void FvSim_ExtendLease(const sim_t *sim, sim_worker_t *worker,
                       int64_t lease_end_ms);
sim_task_t *FvSim_GetTask(sim_t *sim, const char *name);
sim_job_t *FvSim_FindJob(sim_t *sim, const char *name);
bool FvSim_IsUnresponsive(const sim_t *sim, const sim_worker_t *worker);
bool FvSim_IsAllowed(const sim_t *sim, const char *first_task,
                     uint32_t worker);
bool FvSim_PredecessorsDone(sim_t *sim, const char *name);
void FvSim_CheckWaiting(sim_t *sim);
const char *FvSim_CustomerName(uint32_t customer);
void FvSim_InitCustomers(sim_t *sim);
void FvSim_ChangeCap(sim_t *sim);
void FvSim_LearnCaps(sim_leader_t *leader);
void FvSim_SetJobCustomer(const sim_t *sim, const sim_job_t *job,
                          fv_sched_job_t *sched_job);
bool FvSim_IsWellUnderCap(const sim_t *sim, const sim_job_t *job,
                          int64_t cpu_millis);
void FvSim_CheckCap(sim_t *sim, const sim_run_t *run);
void FvSim_CheckCustomerAccounts(sim_leader_t *leader);
void FvSim_CheckAccounts(sim_leader_t *leader);
void FvSim_KillRuns(sim_t *sim, sim_worker_t *worker, bool report_ends);
void FvSim_EndDueRuns(sim_t *sim);
fv_order_result_t FvSim_ExecuteOrder(sim_t *sim, sim_worker_t *worker,
                                     const sim_event_t *order);
uint32_t FvSim_WorkerIndex(const sim_t *sim, const char *worker);
sim_leader_t *FvSim_FindLeader(const sim_t *sim, int32_t generation);
bool FvSim_IsCutFromStore(const sim_leader_t *leader);
bool FvSim_Reaches(const sim_leader_t *leader, uint32_t worker);
bool FvSim_IsEntryLost(const sim_t *sim, const sim_worker_t *worker);
void FvSim_PublishEntry(sim_t *sim, sim_worker_t *worker);
sim_leader_t *FvSim_BeginLeader(sim_t *sim, sim_leader_t *earlier);
void FvSim_FreeLeader(sim_leader_t *leader);
void FvSim_ReplaceLeader(sim_t *sim);
int64_t FvSim_EarlierStoppedMs(sim_leader_t *leader);
void FvSim_CheckUnreached(sim_leader_t *leader);
void FvSim_UnreachedWritten(sim_leader_t *leader, const sim_event_t *event);
void FvSim_NoteExpiredLeases(sim_leader_t *leader);
void FvSim_ReleaseInheritedTasks(sim_leader_t *leader);
void FvSim_SplitCell(sim_t *sim);
void FvSim_CutStore(sim_t *sim);
void FvSim_UpdateLeaders(sim_t *sim);
void FvSim_Record(fv_sched_t *sched, fv_sched_job_t *job,
                  fv_record_kind_t kind);
void FvSim_RequestReport(sim_leader_t *leader, uint32_t index);
void FvSim_SetKind(sim_worker_t *worker, bool first);
void FvSim_HandleEvent(sim_t *sim, sim_event_t *event);

#endif
