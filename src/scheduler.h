/*
 * The scheduler of a cell, which places the tasks of jobs on workers. It uses
 * no sockets, threads or clocks: time is a parameter, and decisions are
 * carried out by the callbacks in fv_sched_ops_t.
 */

#ifndef SCHEDULER_H
#define SCHEDULER_H

#include "cell-types.h"

#include <uthash.h>

typedef struct fv_sched fv_sched_t;
typedef struct fv_sched_job fv_sched_job_t;
typedef struct fv_sched_stage fv_sched_stage_t;
typedef struct fv_sched_task fv_sched_task_t;
typedef struct fv_sched_worker fv_sched_worker_t;
typedef struct fv_occurrence fv_occurrence_t;
typedef struct fv_sched_customer fv_sched_customer_t;

typedef struct fv_sched_resources {
    int64_t cpu_millis;
    int64_t memory_mib;
    int64_t accelerators;
} fv_sched_resources_t;

/* Longest delay after which a worker of the platform may still carry out an
 * unanswered order, under the lease that it has then. */
#define Fv_ORDER_DELAY_MAX_MS 12000

/* A stop that was not answered or had no effect is sent again after this. The
 * stop timeout, which is the longest that a stop takes, is 200 to 900 ms in
 * the platform's deployments. */
#define Fv_STOP_RETRY_MS 500

/* Failed runs that are remembered for each task. A task may have more
 * attempts, but a new leader may then count an older failure twice. */
#define Fv_FAILED_RUNS_MAX 8

typedef enum fv_sched_task_state {
    Fv_SCHED_WAITING,
    Fv_SCHED_STARTING, /* a start was sent and is not answered */
    Fv_SCHED_RUNNING,
    Fv_SCHED_STOPPING, /* a stop was sent and the run has not ended */
    Fv_SCHED_DONE
} fv_sched_task_state_t;

struct fv_sched_task {
    fv_sched_stage_t *stage;
    int32_t index;
    fv_sched_task_state_t state;
    int32_t failures;
    int32_t failed_runs[Fv_FAILED_RUNS_MAX]; /* ring of the latest ones */
    int32_t run;                             /* number of the latest run */
    fv_sched_worker_t *worker;
    fv_sched_task_t *worker_next;
    fv_sched_task_t *worker_previous;
    int64_t start_sent_ms;
    int64_t start_repeated_ms;  /* when its last copy was sent */
    int64_t start_confirmed_ms; /* when the start was answered */
    int64_t stop_sent_ms;
    int64_t stop_confirmed_ms; /* 0: the stop was not answered */
    int32_t percent;
    int32_t preemptions;
    int32_t stalls;            /* times that a run was taken for stalled */
    int64_t progress_ms;       /* when the percent last changed */
    int64_t progress_clock_ms; /* the worker's clock then; 0: not known */
    uint64_t listed_in_report; /* number of the latest report with its run */
    char *checkpoint;
    const fv_sched_worker_t *failed_on; /* set by FvSched_NoteFailedOn() */
    bool inherited;         /* an earlier leader may have started it */
    bool ran_from_start;    /* started by this leader without a checkpoint */
    bool start_unconfirmed; /* the worker did not answer the start */
    bool start_retried;
    bool stop_retried;
};

/* The advice service's verdict on one worker for a stage. */
typedef struct fv_verdict {
    fv_sched_worker_t *worker;
    bool allowed;
    int64_t expires_ms;
    char *ticket; /* NULL: none */
} fv_verdict_t;

/* A run that may be on a worker and belongs to no open task. */
typedef struct fv_orphan_run {
    char task[Fv_RUN_TASK_ID_SIZE];
    int32_t run;
    int64_t since_ms;          /* found or left then, at the latest */
    bool start_arrived;        /* at the present incarnation of the worker */
    int64_t start_until_ms;    /* its start may arrive until then; 0: it has */
    int64_t stop_sent_ms;      /* 0: a stop may be sent at once */
    int64_t stop_confirmed_ms; /* 0: the stop was not answered */
    int64_t ended_by_ms; /* has ended by then; INT64_MAX: not known yet */
    fv_sched_customer_t *customer; /* NULL: none, or not known */
    fv_sched_resources_t resources;
    int64_t estimated_until_ms; /* 0: its resources are known */
    struct fv_orphan_run *next;
} fv_orphan_run_t;

/* What keeps waiting tasks from a start, in the order of how close the best
 * worker is to getting one. */
typedef enum fv_wait_cause {
    Fv_WAIT_UNFIT,       /* no worker could ever run a task */
    Fv_WAIT_UNAVAILABLE, /* workers leave, are silent or not yet known */
    Fv_WAIT_CAPACITY,
    Fv_WAIT_SPREAD,  /* the limit of the step's tasks on each worker */
    Fv_WAIT_REFUSED, /* by the advice service */
    Fv_WAIT_QUARANTINE,
    Fv_WAIT_RESERVED, /* for a gang */
    Fv_WAIT_TICKET,   /* not asked for, not answered or expired */
    Fv_WAIT_GANG,     /* not all members fit at one time */
    Fv_WAIT_NEXT_PASS,
    Fv_WAIT_INHERITED, /* an earlier leader's runs are not all known */
    Fv_WAIT_RECORD,    /* the job is not in the store yet */
    Fv_WAIT_CAP        /* of the customer */
} fv_wait_cause_t;

/* One step of one occurrence of a job. */
struct fv_sched_stage {
    fv_sched_job_t *job;
    fv_occurrence_t *occurrence;
    uint32_t step_index;
    const fv_step_spec_t *step;
    fv_sched_task_t *tasks;
    int32_t waiting;
    int32_t done;
    int32_t gang_run;
    int32_t done_run;           /* run in which the gang completed */
    int64_t gang_start_ms;      /* when the gang's run was ordered */
    bool gang_broken;           /* the gang's run is being stopped */
    int64_t next_preemption_ms; /* none is planned for it before */
    bool pending;               /* in the list of stages to place */
    fv_sched_stage_t *pending_next;
    fv_sched_stage_t *pending_previous; /* NULL: first in the list */
    int64_t waiting_since_ms;           /* 0: no task waits */
    bool wait_logged;
    fv_wait_cause_t logged_wait_cause; /* valid if wait_logged */
    bool has_failed_on; /* a task may have its worker in failed_on */
    fv_verdict_t *verdicts;
    uint32_t verdict_count;
    uint32_t verdict_capacity;
    int32_t pending_advice_requests;
    int64_t next_advice_request_ms;
    int64_t next_place_ms;
    int64_t objective_from_ms;  /* when it was released; 0: not yet */
    int64_t target_start_ms;    /* meets the objective by expected run times */
    int64_t late_after_ms;      /* the same by the longest likely run times */
    int64_t worthless_after_ms; /* the same for three times the objective */
    struct fv_stage_runs *runs; /* counted ones; see sched-speed.c */
    int64_t ranked_ms;          /* time of the latest pass */
    int64_t expected_run_ms;    /* of each task; 0: not computed yet */
    int64_t longest_run_ms;     /* exceeded by one in 40 (two deviations) */
    uint32_t run_time_version;  /* of the model behind these two */
    int64_t reserved_since_ms;  /* has reserved workers since; 0: none */
    /* Its reservation is of no use since then (0: it is of use), and is
     * withheld until then; see FvSched_ReserveForGang(). */
    int64_t reserve_idle_since_ms;
    int64_t reserve_paused_until_ms;
};

/* One run of all steps of a job; see sched-occurrence.c. */
struct fv_occurrence {
    int32_t number;
    uint32_t stages_done;
    fv_sched_stage_t *stages; /* NULL: freed, as all are done */
};

typedef enum fv_sched_outcome {
    Fv_SCHED_JOB_OPEN,
    Fv_SCHED_JOB_COMPLETED,
    Fv_SCHED_JOB_FAILED,
    Fv_SCHED_JOB_CANCELLED
} fv_sched_outcome_t;

struct fv_sched_job {
    char id[Fv_JOB_ID_SIZE];
    char customer[Fv_NAME_SIZE];  /* "": none */
    fv_sched_customer_t *account; /* NULL: no customer */
    bool excess; /* beyond its customer's rate; see sched-excess.c */
    fv_cell_queue_t queue;
    fv_job_spec_t spec;
    char *document; /* as submitted */
    size_t document_length;
    int64_t received_ms;
    int64_t received_wall_ms;
    bool durable;                /* its record is in the store */
    bool started;                /* at least one task has started */
    bool cancelled;              /* by the caller */
    fv_sched_outcome_t outcome;  /* as decided */
    fv_sched_outcome_t recorded; /* as in the store; what callers see */
    int64_t ended_ms;
    bool progress_recorded;
    int64_t *critical_paths_ms; /* from each step to the end of the job */
    int64_t critical_path_ms;   /* of the whole job */
    double run_time_spread; /* likely ratio of actual to expected run times */
    uint32_t run_time_version; /* of the model behind these figures */
    int64_t reserved_bytes;    /* of memory; see sched-memory.c */
    int32_t reserved_occurrences;
    int64_t occurrence_bytes; /* that each of them needs */
    int64_t extra_bytes;      /* of other open ones */
    int32_t occurrence_count; /* in all */
    int32_t next_occurrence;  /* the first one neither due nor done */
    uint32_t open_count;      /* in memory */
    uint32_t open_capacity;
    fv_occurrence_t **occurrences; /* those in memory, by number */
    bool inherited;        /* an earlier leader may have started its tasks */
    int32_t running_tasks; /* starting, running or stopping */
    void *waiters;         /* owned by the implementation of the callbacks */
    UT_hash_handle hh;
};

/* What is learned of the run times on a worker; see sched-speed.c. */
typedef struct fv_worker_speed {
    double log_factor;  /* of run times, against the cell's mean */
    double variance;    /* of log_factor, at updated_ms */
    int64_t updated_ms; /* when the latest run was counted */
    uint32_t runs;      /* counted, of this incarnation */
    double slower;      /* cumulative sums of the deviations to either side */
    double faster;
    double factor; /* for decisions; 1 while it is not known */
    int32_t grade; /* the factor's logarithm in steps; 0: factor 1 */
    double logged_log_factor;
} fv_worker_speed_t;

struct fv_sched_worker {
    fv_worker_entry_t entry;
    bool listed;               /* in the registry */
    int64_t unlisted_ms;       /* when it left the registry */
    uint64_t registry_reading; /* latest complete reading that had it */
    bool synced;               /* has reported all its ends to this leader */
    bool clock_known;          /* of the present incarnation */
    bool restarted;            /* seen by this leader */
    bool in_worker_list;       /* in the stored list; may get orders */
    bool in_list_write;        /* in the list that is being written */
    bool suspect;              /* did not answer the last report request */
    bool lost;                 /* its lease has expired without contact */
    int64_t suspect_since_ms;
    int64_t closed_ms; /* when it last closed or refused a connection */
    bool refused;      /* no process accepted the last report request */
    /* The stored list of unreached workers may have it: no lease is granted.
     * The entry's identity, and by when it was in the list of an earlier
     * leader (0: not known). */
    bool unreached;
    bool in_unreached_write;
    int64_t unreached_epoch;
    int64_t unreached_number;
    int64_t unreached_since_ms;
    bool inherited_expired; /* all leases that earlier leaders granted */
    bool draining;
    int64_t drain_until_ms;           /* leaves no earlier; 0: not known */
    int64_t started_wall_ms;          /* of the incarnation that reported */
    int64_t previous_started_wall_ms; /* of the one before; 0: none */
    int64_t doubted_ms;       /* when its entry named another incarnation */
    int64_t clock_ms;         /* the worker's clock at its last report */
    int64_t clock_sampled_ms; /* this host's clock at the same time */
    int64_t lease_expires_ms; /* nothing runs afterwards without contact */
    int64_t deadline_sent_ms; /* latest extension of its lease */
    /* Until then, an order with a deadline by the clock of an earlier
     * incarnation may have granted the longest lease. The next leader learns
     * it from the stored worker list. */
    int64_t long_lease_until_ms;
    bool long_lease_stored;
    bool long_lease_in_write; /* in the list that is being written */
    int64_t last_contact_ms;
    int64_t report_due_ms;         /* when to request a report; 0: not due */
    int64_t last_end_applied;      /* highest number of an applied end */
    int64_t last_end_recorded;     /* highest number of a recorded end */
    int64_t last_end_acknowledged; /* highest number that it has dropped */
    /* Not allocated to a task on it; may be below 0 when its entry changes. */
    fv_sched_resources_t free;
    fv_sched_resources_t lasting_use; /* of the tasks that never end */
    int32_t task_count;
    bool overcommitted; /* by the runs that its last report listed */
    bool inherited;     /* an earlier leader gave it orders */
    /* Until then, runs that an earlier leader stopped may still be ending;
     * reports do not list such runs. */
    int64_t inherited_stops_until_ms;
    /* The resources that orphaned runs hold may be unknown, so the worker gets
     * no tasks while it has any. */
    fv_orphan_run_t *orphan_runs;
    fv_sched_task_t *tasks;
    const fv_sched_stage_t *reserved_for; /* gang, in this pass */
    /* What a single task may do while that gang waits: end by then, or fit
     * into what the gang leaves. See sched-backfill.c. */
    bool backfill_planned;
    fv_sched_resources_t backfill_member; /* size of the gang's members */
    int64_t backfill_until_ms;
    fv_sched_resources_t spare;
    const fv_sched_stage_t *preempted_for; /* latest gang; only compared */
    uint64_t verdict_search; /* latest advice search that found a verdict */
    int32_t consecutive_failures; /* of different jobs */
    const fv_sched_job_t *last_failed_job;
    int64_t quarantined_until_ms;  /* then on probation; 0: neither */
    const fv_sched_stage_t *probe; /* runs there on probation; only compared */
    int64_t probe_since_ms;
    fv_worker_speed_t speed;
    void *leader_session; /* owned by the implementation of the callbacks */
    UT_hash_handle hh;
};

/* A customer of the cell; see sched-customer.c. */
struct fv_sched_customer {
    char name[Fv_NAME_SIZE];
    bool configured; /* in the newest configuration */
    double weight;
    double job_rate;               /* jobs a second; 0: not limited */
    fv_sched_resources_t cap;      /* 0: not limited */
    fv_sched_resources_t usage;    /* of the tasks on workers */
    fv_sched_resources_t in_doubt; /* runs that may exist, in this pass */
    fv_sched_resources_t kept;     /* for its first stage, in this pass */
    fv_sched_resources_t audited;  /* the usage as counted anew */
    uint32_t references;           /* jobs and orphaned runs */
    bool held;                     /* since the latest audit, by the cap */
    bool held_in_pass; /* a stage in time, for which room is kept */
    bool held_logged;
    bool pending; /* has stages that its cap does not hold, in this pass */
    double dominant_share;
    bool above_share;
    double tokens;     /* jobs that it may submit at tokens_ms */
    int64_t tokens_ms; /* 0: none was submitted yet */
    UT_hash_handle hh;
};

typedef enum fv_record_kind {
    Fv_RECORD_ACCEPT,
    Fv_RECORD_PROGRESS,
    Fv_RECORD_END
} fv_record_kind_t;

/* Callbacks that carry out decisions. */
typedef struct fv_sched_ops {
    /* Decodes a submission that was read from the store. */
    bool (*decode)(const char *document, size_t length, fv_job_spec_t *spec);
    /* Returns false if this host may not give orders now; nothing was sent. */
    bool (*start)(fv_sched_t *sched, fv_sched_task_t *task,
                  const fv_verdict_t *verdict);
    void (*stop)(fv_sched_t *sched, fv_sched_task_t *task);
    /* Stops a run that belongs to no open task. */
    void (*stop_orphan_run)(fv_sched_t *sched, fv_sched_worker_t *worker,
                            const char *task_id, int32_t run);
    /* Has a host call the advice service; returns false if none is free. */
    bool (*request_advice)(fv_sched_t *sched, fv_sched_stage_t *stage,
                           fv_sched_worker_t *const *workers, uint32_t count);
    void (*record)(fv_sched_t *sched, fv_sched_job_t *job,
                   fv_record_kind_t kind);
    void (*request_report)(fv_sched_t *sched, fv_sched_worker_t *worker);
    /* Name of the customer of a job that has ended, by the name of one of its
     * tasks; NULL when it is not known. */
    const char *(*ended_customer)(fv_sched_t *sched, const char *task);
} fv_sched_ops_t;

/* Linear regression of the actual run times of a queue on the declared ones:
 * exponentially weighted means and squared deviations of their logarithms. */
typedef struct fv_run_time_model {
    double weight;
    double declared_mean;
    double actual_mean;
    double declared_squares;
    double actual_squares;
    double products;
    uint32_t runs;
} fv_run_time_model_t;

typedef struct fv_queue_estimates {
    char queue[Fv_NAME_SIZE];
    double allowed_share; /* of the workers asked about */
    fv_run_time_model_t run_time;
} fv_queue_estimates_t;

#define Fv_QUEUE_ESTIMATES_MAX 64

/* Work of the stages in time that wait, in core-ms; see sched-refuse.c. */
typedef struct fv_backlog {
    char service[Fv_NAME_SIZE];
    int32_t priority;
    double core_ms;
} fv_backlog_t;

#define Fv_BACKLOGS_MAX 16

/* The workers' speeds as a whole. */
typedef struct fv_cell_speeds {
    bool learning;         /* setting learn_worker_speeds */
    bool uneven;           /* the spread is large */
    bool in_use;           /* the factor of some worker is not 1 */
    uint32_t known;        /* workers */
    double spread;         /* standard deviation of the log factors */
    double noise_variance; /* of log run times on equal workers; 0: default */
    int32_t slow_grade; /* nine tenths of the known workers are not slower */
    int64_t next_update_ms;
    int64_t next_log_ms;
    fv_log_quota_t log;
} fv_cell_speeds_t;

struct fv_sched {
    const fv_sched_ops_t *ops;
    fv_sched_job_t *jobs;
    fv_sched_worker_t *workers;
    fv_sched_stage_t *pending;
    int64_t lead_confirmed_ms; /* this host led then; 0: not confirmed yet */
    int32_t run_base;          /* runs of this leader have higher numbers */
    bool hold_inherited_tasks; /* they may run on workers without a report */
    bool stops_suspended;      /* during a handover to another host */
    uint32_t most_ends_listed; /* in one report, of any worker */
    bool dirty;                /* changed since the last pass */
    /* In this pass: workers reserved for gangs, room for members there once
     * all tasks have ended, and these gangs in order of their ranks. */
    uint32_t reserved_workers;
    uint32_t reserved_slots;
    uint32_t backlog_count;
    fv_backlog_t backlogs[Fv_BACKLOGS_MAX]; /* at the latest pass */
    /* All workers of the registry are known, and when one of them left or
     * changed. */
    bool registry_known;
    int64_t workers_changed_ms;
    uint32_t reserving_count;
    uint32_t reserving_capacity;
    fv_sched_stage_t **reserving;
    int64_t next_backfill_plan_ms;
    char crowded_service[Fv_NAME_SIZE]; /* "": none asked for in this pass */
    bool crowded;                       /* more than half of it is in use */
    uint64_t advice_searches;           /* count, over all stages */
    int64_t rescan_ms;     /* in this pass; see FvSched_RunPass() */
    uint64_t report_count; /* over all workers */
    /* In this pass, no host is free for a call that costs this or more. */
    int64_t refused_advice_cost_us;
    uint64_t random; /* state of the generator */
    int64_t lease_ms;
    int64_t lease_max_ms;
    int64_t stop_max_ms;
    int64_t gang_refill_ms;
    int64_t job_memory_max_bytes; /* of all jobs; 0: not limited */
    int64_t reserved_job_bytes;
    int64_t extra_job_bytes;      /* beyond the reserved ones */
    int64_t poll_faster_until_ms; /* after unanswered calls */
    fv_sched_customer_t *customers;
    int64_t accounts_audited_ms;
    fv_sched_resources_t capacity; /* of the listed workers, when audited */
    uint32_t queue_estimate_count;
    fv_queue_estimates_t queue_estimates[Fv_QUEUE_ESTIMATES_MAX];
    fv_cell_speeds_t speeds;
};

/* sched-job.c */
fv_sched_job_t *FvSched_FindJob(const fv_sched_t *sched, const char *id);
fv_sched_job_t *FvSched_AddJob(fv_sched_t *sched, const char *id,
                               const fv_cell_queue_t *queue,
                               fv_job_spec_t *spec, const char *document,
                               size_t length, int64_t now_ms, int64_t wall_ms);
bool FvSched_MayRemoveJob(const fv_sched_t *sched, const fv_sched_job_t *job);
void FvSched_RemoveJob(fv_sched_t *sched, fv_sched_job_t *job);
void FvSched_MarkJobDurable(fv_sched_t *sched, fv_sched_job_t *job);
void FvSched_CancelJob(fv_sched_t *sched, fv_sched_job_t *job, int64_t now_ms);
const char *FvSched_JobStateName(const fv_sched_job_t *job);
fv_sched_task_t *FvSched_FindTask(const fv_sched_t *sched, const char *name);
fv_sched_task_t *FvSched_OpenTask(fv_sched_t *sched, const char *name);
fv_sched_job_t *FvSched_FindTaskJob(const fv_sched_t *sched, const char *name);
const fv_step_spec_t *FvSched_FindTaskStep(const fv_sched_t *sched,
                                           const char *name);
void FvSched_TaskName(const fv_sched_task_t *task, char *name, size_t size);
void FvSched_StageName(const fv_sched_stage_t *stage, char *name, size_t size);
int64_t FvSched_CountQueuedJobs(const fv_sched_t *sched, const char *queue);
void FvSched_ReleaseStages(fv_sched_t *sched, fv_sched_job_t *job,
                           int64_t now_ms, int64_t wall_ms);
void FvSched_TaskDone(fv_sched_t *sched, fv_sched_task_t *task, int32_t run,
                      bool current, int64_t now_ms);
void FvSched_CheckJobEnd(fv_sched_t *sched, fv_sched_job_t *job,
                         int64_t now_ms);
void FvSched_EndJob(fv_sched_t *sched, fv_sched_job_t *job,
                    fv_sched_outcome_t outcome, int64_t now_ms);
void FvSched_MarkPending(fv_sched_t *sched, fv_sched_stage_t *stage);
void FvSched_UnmarkPending(fv_sched_t *sched, fv_sched_stage_t *stage);
void FvSched_UpdateStartTargets(fv_sched_t *sched, fv_sched_stage_t *stage);

/* sched-occurrence.c */
fv_occurrence_t *FvSched_FindOccurrence(const fv_sched_job_t *job,
                                        int32_t number);
fv_occurrence_t *FvSched_OpenOccurrence(fv_sched_job_t *job, int32_t number);
bool FvSched_IsOccurrenceDone(const fv_sched_job_t *job,
                              const fv_occurrence_t *occurrence);
bool FvSched_AreOccurrencesDone(const fv_sched_job_t *job);
void FvSched_OpenDueOccurrences(fv_sched_t *sched, fv_sched_job_t *job,
                                int64_t wall_ms);
void FvSched_CloseLastOccurrence(fv_sched_job_t *job);
void FvSched_MarkJobInherited(fv_sched_job_t *job);
void FvSched_FreeStages(const fv_sched_job_t *job,
                        fv_occurrence_t *occurrence);
void FvSched_FreeOccurrences(fv_sched_job_t *job);

/* sched-memory.c */
bool FvSched_FitsIntoMemory(const fv_sched_t *sched, const fv_job_spec_t *spec,
                            const fv_cell_queue_t *queue,
                            size_t document_length);
bool FvSched_HasMemoryForJob(const fv_sched_t *sched,
                             const fv_job_spec_t *spec,
                             const fv_cell_queue_t *queue,
                             size_t document_length);
int64_t FvSched_JobMemoryBytes(const fv_sched_t *sched);
void FvSched_ReserveJobMemory(fv_sched_t *sched, fv_sched_job_t *job);
void FvSched_ReleaseJobMemory(fv_sched_t *sched, const fv_sched_job_t *job);
void FvSched_CountOpenOccurrences(fv_sched_t *sched, fv_sched_job_t *job);
bool FvSched_MayOpenOccurrence(const fv_sched_t *sched,
                               const fv_sched_job_t *job, int64_t waiting);

/* sched-estimates.c */
fv_queue_estimates_t *FvSched_QueueEstimates(fv_sched_t *sched,
                                             const char *queue);
void FvRunTimeModel_Observe(fv_run_time_model_t *model, int64_t declared_ms,
                            int64_t actual_ms, double weight);
int64_t FvRunTimeModel_Estimate(const fv_run_time_model_t *model,
                                int64_t declared_ms);
double FvRunTimeModel_Spread(const fv_run_time_model_t *model);
uint32_t FvRunTimeModel_Version(const fv_run_time_model_t *model);

/* sched-speed.c */
#define Fv_SPEED_GRADE_MAX 8 /* grades reach from -8 to 8 */

void FvSched_ResetSpeed(fv_worker_speed_t *speed);
bool FvSched_ObserveSpeed(fv_sched_t *sched, fv_sched_task_t *task,
                          int64_t now_ms, double *residual);
void FvSched_ForgetRuns(fv_sched_stage_t *stage);
void FvSched_UpdateSpeeds(fv_sched_t *sched, int64_t now_ms);
double FvSched_RunTimeNoise(const fv_sched_t *sched);
double FvSched_GangFactor(const fv_sched_stage_t *stage);
int64_t FvSched_ExpectedRunMs(fv_sched_t *sched, const fv_sched_stage_t *stage,
                              const fv_sched_worker_t *worker);

double FvSched_GradeFactor(int32_t grade);

/* sched-match.c */
/* Which workers a stage prefers by their speed. */
typedef struct fv_speed_match {
    bool in_use; /* else all workers are alike */
    bool fast_first;
    double factor_max; /* the stage is in time on workers up to this factor */
} fv_speed_match_t;

/* Capacity for tasks of a gang by the workers' grades. */
typedef struct fv_grade_capacities {
    int32_t tasks[2 * Fv_SPEED_GRADE_MAX + 1];
} fv_grade_capacities_t;

fv_speed_match_t FvSched_MatchSpeed(fv_sched_t *sched,
                                    const fv_sched_stage_t *stage,
                                    int64_t now_ms);
int32_t FvSched_SpeedPreference(const fv_speed_match_t *match,
                                const fv_sched_worker_t *worker);
void FvSched_AddGradeCapacity(fv_grade_capacities_t *capacities,
                              const fv_sched_worker_t *worker,
                              int32_t capacity);
int32_t FvSched_GangGrade(const fv_grade_capacities_t *capacities,
                          int32_t tasks);

/* sched-record.c: the records in the store. */
bool FvSchedRecord_EncodeJob(const fv_sched_job_t *job, fv_buffer_t *out);
bool FvSchedRecord_EncodeProgress(const fv_sched_job_t *job, size_t max_bytes,
                                  fv_buffer_t *out);
size_t FvSchedRecord_ProgressMaxBytes(const fv_job_spec_t *spec);
fv_sched_job_t *FvSchedRecord_LoadJob(fv_sched_t *sched, const char *id,
                                      const fv_buffer_t *value, int64_t now_ms,
                                      int64_t wall_ms);
bool FvSchedRecord_LoadProgress(fv_sched_job_t *job, const fv_buffer_t *value);

/* sched-worker.c */
fv_sched_worker_t *FvSched_FindWorker(const fv_sched_t *sched, const char *id);
fv_sched_worker_t *FvSched_UpdateWorker(fv_sched_t *sched,
                                        const fv_worker_entry_t *entry,
                                        int64_t now_ms);
void FvSched_WorkerUnlisted(fv_sched_worker_t *worker, int64_t now_ms);
void FvSched_UnlistMissingWorkers(fv_sched_t *sched, uint64_t reading,
                                  int64_t now_ms);
void FvSched_FreeWorker(fv_sched_t *sched, fv_sched_worker_t *worker);
void FvSched_AttachTask(fv_sched_worker_t *worker, fv_sched_task_t *task);
void FvSched_DetachTask(fv_sched_task_t *task);
void FvSched_AddTaskResources(fv_sched_resources_t *resources,
                              const fv_step_spec_t *step, int64_t count);
int32_t FvSched_TaskCapacity(const fv_step_spec_t *step,
                             const fv_sched_resources_t *resources);
int32_t FvSched_StageCapacity(const fv_sched_worker_t *worker,
                              const fv_sched_stage_t *stage,
                              const fv_sched_resources_t *resources);
int32_t FvSched_FreeStageCapacity(const fv_sched_worker_t *worker,
                                  const fv_sched_stage_t *stage);
void FvSched_EventualResources(const fv_sched_worker_t *worker,
                               fv_sched_resources_t *resources);
int32_t FvSched_EventualStageCapacity(const fv_sched_worker_t *worker,
                                      const fv_sched_stage_t *stage);
bool FvSched_IsIncarnationListed(const fv_sched_worker_t *worker);
bool FvSched_IsWorkerAvailable(const fv_sched_worker_t *worker,
                               int64_t now_ms);
bool FvSched_HasStepLabel(const fv_sched_worker_t *worker,
                          const fv_step_spec_t *step);
bool FvSched_IsWorkerSuitable(const fv_sched_worker_t *worker,
                              const fv_sched_stage_t *stage);
bool FvSched_IsWorkerEligible(const fv_sched_worker_t *worker,
                              const fv_sched_stage_t *stage, int64_t now_ms);
bool FvSched_IsWorkerIdle(const fv_sched_worker_t *worker, int64_t now_ms);
void FvSched_RequeueLostTasks(fv_sched_t *sched, fv_sched_worker_t *worker,
                              const char *cause, int64_t now_ms);

/* sched-customer.c */
fv_sched_customer_t *FvSched_FindCustomer(const fv_sched_t *sched,
                                          const char *name);
void FvSched_SetCustomers(fv_sched_t *sched, const fv_cell_config_t *config);
void FvSched_ClearCustomers(fv_sched_t *sched);
void FvSched_OpenAccount(fv_sched_t *sched, fv_sched_job_t *job);
void FvSched_CloseAccount(fv_sched_job_t *job);
void FvSched_ChargeTasks(const fv_sched_stage_t *stage, int64_t count);
void FvSched_ChargeOrphanRun(fv_orphan_run_t *orphan,
                             const fv_sched_job_t *job,
                             const fv_step_spec_t *step);
void FvSched_EstimateOrphanRun(fv_sched_t *sched, fv_orphan_run_t *orphan,
                               int64_t now_ms);
void FvSched_ReleaseOrphanRun(fv_orphan_run_t *orphan);
void FvSched_BeginCustomerPass(fv_sched_t *sched, int64_t now_ms);
bool FvSched_FitsUnderCap(const fv_sched_stage_t *stage, int32_t count);
bool FvSched_IsHeldByCap(const fv_sched_stage_t *stage);
void FvSched_NoteHeldByCap(const fv_sched_stage_t *stage, bool urgent);
bool FvSched_IsAboveCap(const fv_sched_stage_t *stage);
bool FvSched_IsAboveShare(const fv_sched_stage_t *stage);
bool FvSched_CanFitUnderCap(const fv_sched_customer_t *customer,
                            const fv_job_spec_t *spec);

/* sched-excess.c */
bool FvSched_IsOverRate(const fv_sched_customer_t *customer, int64_t now_ms);
void FvSched_CountAcceptedJob(fv_sched_job_t *job, int64_t now_ms);
void FvSched_CountRefusedJob(fv_sched_customer_t *customer, int64_t now_ms);
void FvSched_CountWithdrawnJob(const fv_sched_job_t *job);
bool FvSched_IsExcess(const fv_sched_stage_t *stage);
bool FvSched_HasRoomForExcess(const fv_sched_t *sched,
                              const fv_sched_customer_t *customer,
                              const fv_cell_queue_t *queue,
                              const fv_job_spec_t *spec, int64_t now_ms);

/* sched-health.c */
bool FvSched_IsWorkerQuarantined(const fv_sched_worker_t *worker,
                                 const fv_sched_stage_t *stage,
                                 int64_t now_ms);
void FvSched_BeginProbe(fv_sched_worker_t *worker,
                        const fv_sched_stage_t *stage, int64_t now_ms);
void FvSched_EndProbe(fv_sched_worker_t *worker,
                      const fv_sched_stage_t *stage);
void FvSched_CheckProbe(const fv_sched_t *sched, fv_sched_worker_t *worker,
                        const fv_sched_stage_t *stage, int64_t now_ms);
void FvSched_WorkerSucceeded(fv_sched_worker_t *worker, int64_t now_ms);
void FvSched_WorkerFailed(fv_sched_worker_t *worker,
                          const fv_sched_task_t *task, int64_t now_ms);

/* sched-orphan.c */
fv_orphan_run_t *FvSched_AddOrphanRun(fv_sched_worker_t *worker,
                                      const char *task, int32_t run,
                                      int64_t now_ms);
fv_orphan_run_t *FvSched_OrphanLatestRun(const fv_sched_task_t *task,
                                         int64_t now_ms);
void FvSched_StopOrphanRun(fv_sched_t *sched, fv_sched_worker_t *worker,
                           fv_orphan_run_t *orphan, int64_t now_ms);
void FvSched_OrphanStopAnswered(fv_sched_t *sched, fv_sched_worker_t *worker,
                                const char *task, int32_t run,
                                fv_order_result_t result, int64_t now_ms);
void FvSched_CheckOrphanRuns(fv_sched_t *sched, fv_sched_worker_t *worker,
                             int64_t sent_ms, int64_t now_ms);
void FvSched_OrphanRunEnded(fv_sched_worker_t *worker, const char *task,
                            int32_t run);
void FvSched_ForgetEndedOrphanRuns(fv_sched_worker_t *worker, int64_t now_ms);
void FvSched_DoubtOrphanRuns(fv_sched_worker_t *worker, int64_t now_ms);
void FvSched_FreeOrphanRuns(fv_sched_worker_t *worker);
bool FvSched_HasOrphanRuns(const fv_sched_worker_t *worker, int64_t now_ms);
bool FvSched_MayOrphanRun(const fv_sched_t *sched,
                          const fv_sched_worker_t *worker,
                          const fv_orphan_run_t *orphan, int64_t now_ms);

/* sched-lead.c */
void FvSched_ConfirmLead(fv_sched_t *sched, int64_t sent_ms);
bool FvSched_LedAt(const fv_sched_t *sched, int64_t time_ms);
bool FvSched_HasLeaseExpired(const fv_sched_t *sched,
                             const fv_sched_worker_t *worker);
int64_t FvSched_LeadAgeMs(const fv_sched_t *sched, int64_t now_ms);

/* sched-lease.c */
void FvSched_OutlastEarlierLeases(const fv_sched_t *sched,
                                  fv_sched_worker_t *worker, int64_t clock_ms,
                                  int64_t now_ms);
int64_t FvSched_WorstCaseMs(int64_t duration_ms);
int64_t FvSched_WorstCaseLeaseMs(const fv_sched_t *sched);
int64_t FvSched_LongestLeaseMs(const fv_sched_t *sched);
int64_t FvSched_LongLeaseLeftMs(const fv_sched_worker_t *worker,
                                int64_t now_ms);
void FvSched_InheritLongLease(fv_sched_worker_t *worker, int64_t left_ms,
                              int64_t now_ms);
int64_t FvSched_ExtendLease(const fv_sched_t *sched, fv_sched_worker_t *worker,
                            int64_t now_ms);
bool FvSched_MayCarryOutOrders(const fv_sched_worker_t *worker,
                               int64_t now_ms);
bool FvSched_MayHaveUnknownRuns(const fv_sched_t *sched,
                                const fv_sched_worker_t *worker,
                                int64_t now_ms);
bool FvSched_KnowsInheritedRuns(const fv_sched_t *sched, bool leases_expired,
                                int64_t now_ms);

/* sched-incarnation.c */
void FvSched_NoteFailedOn(fv_sched_task_t *task,
                          const fv_sched_worker_t *worker);
void FvSched_ForgetWorker(fv_sched_t *sched, const fv_sched_worker_t *worker);
void FvSched_CheckEntryIncarnation(fv_sched_worker_t *worker,
                                   const fv_worker_entry_t *entry,
                                   int64_t now_ms);
bool FvSched_IsReportOvertaken(const fv_sched_worker_t *worker,
                               int64_t started_wall_ms, int64_t sent_ms);
void FvSched_BeginIncarnation(fv_sched_t *sched, fv_sched_worker_t *worker,
                              int64_t started_wall_ms, int64_t now_ms);

/* sched-report.c */
bool FvSched_ApplyReport(fv_sched_t *sched, fv_sched_worker_t *worker,
                         const fv_worker_report_t *report, int64_t sent_ms,
                         int64_t now_ms);
void FvSched_ReportUnanswered(fv_sched_t *sched, fv_sched_worker_t *worker,
                              int64_t now_ms);
void FvSched_ConnectionClosed(fv_sched_t *sched, fv_sched_worker_t *worker,
                              int64_t now_ms);
int64_t FvSched_EndToAcknowledge(const fv_sched_worker_t *worker);
void FvSched_EndsAcknowledged(fv_sched_worker_t *worker, int64_t number);
bool FvSched_EndsRecorded(fv_sched_worker_t *worker, int64_t number);
bool FvSched_HasUnrecordedEnds(const fv_sched_worker_t *worker);

/* sched-order.c */
fv_sched_task_t *FvSched_FindOrderedTask(const fv_sched_t *sched,
                                         const char *worker, const char *name,
                                         int32_t run);
fv_order_result_t FvSched_OrderResult(const fv_sched_worker_t *worker,
                                      int64_t started_wall_ms,
                                      fv_order_result_t result);
void FvSched_StartAnswered(fv_sched_t *sched, fv_sched_task_t *task,
                           int32_t run, fv_order_result_t result,
                           int64_t now_ms);
void FvSched_StopTask(fv_sched_t *sched, fv_sched_task_t *task,
                      int64_t now_ms);
void FvSched_StopAnswered(fv_sched_t *sched, fv_sched_task_t *task,
                          int32_t run, fv_order_result_t result,
                          int64_t now_ms);
void FvSched_RequeueTask(fv_sched_t *sched, fv_sched_task_t *task);
int64_t FvSched_LateStartUntilMs(const fv_sched_task_t *task);
void FvSched_StopGang(fv_sched_t *sched, fv_sched_stage_t *stage,
                      int64_t now_ms);
bool FvSched_MayRefillGang(const fv_sched_t *sched,
                           const fv_sched_stage_t *stage, int64_t now_ms);
void FvSched_GangMemberMissing(fv_sched_t *sched, fv_sched_stage_t *stage,
                               int64_t now_ms);
void FvSched_NoteUnanswered(fv_sched_t *sched, int64_t now_ms);
bool FvSched_RetryStart(fv_sched_t *sched, fv_sched_task_t *task,
                        int64_t now_ms);

/* sched-advice.c */
fv_verdict_t *FvSched_FindVerdict(const fv_sched_stage_t *stage,
                                  const fv_sched_worker_t *worker);
bool FvSched_TicketValid(const fv_verdict_t *verdict, int64_t now_ms);
void FvSched_RequestAdvice(fv_sched_t *sched, fv_sched_stage_t *stage,
                           int64_t now_ms);
void FvSched_ApplyAdvice(fv_sched_t *sched, fv_sched_stage_t *stage,
                         fv_sched_worker_t *const *asked, uint32_t count,
                         const fv_advice_t *advice, int64_t now_ms);

/* sched-pass.c */
typedef struct fv_sched_load {
    uint32_t workers;
    uint32_t usable;
    int64_t cpu_millis; /* of the usable workers */
    int64_t used_cpu_millis;
    int64_t memory_mib;
    int64_t used_memory_mib;
    uint32_t stages_waiting;
    uint32_t stages_late;
    uint32_t tasks_waiting;
} fv_sched_load_t;

void FvSched_LogIncompleteGangs(const fv_sched_t *sched, int64_t now_ms);
void FvSched_GetLoad(const fv_sched_t *sched, int64_t now_ms,
                     fv_sched_load_t *load);

/* Timeouts that the deployment sets. */
typedef struct fv_sched_timeouts {
    int64_t lease_ms;       /* how long runs continue without contact */
    int64_t lease_max_ms;   /* workers shorten longer leases to this */
    int64_t stop_max_ms;    /* longest duration of a stop */
    int64_t gang_refill_ms; /* how long missing members may be replaced */
} fv_sched_timeouts_t;

void FvSched_Init(fv_sched_t *sched, const fv_sched_ops_t *ops,
                  const fv_sched_timeouts_t *timeouts);
void FvSched_Clear(fv_sched_t *sched);
void FvSched_RunPass(fv_sched_t *sched, int64_t now_ms, int64_t wall_ms);
uint32_t FvSched_Random(fv_sched_t *sched);

#include "sched-contention.h"

#endif
