/*
 * What the scheduler decides when work competes for capacity: placement,
 * ranks, refusals, reservations, backfill, preemption, and why stages wait.
 * Part of scheduler.h.
 */

#ifndef SCHED_CONTENTION_H
#define SCHED_CONTENTION_H

/* sched-place.c */
/* A worker that may run tasks of a stage. */
typedef struct fv_eligible_worker {
    fv_sched_worker_t *worker;
    const fv_verdict_t *verdict; /* NULL where no advice is needed */
} fv_eligible_worker_t;

#define Fv_ANY_TICKET INT64_MIN /* expired ones too */

fv_eligible_worker_t *FvSched_ListEligibleWorkers(
    const fv_sched_t *sched, const fv_sched_stage_t *stage,
    int64_t ticket_at_ms, int64_t now_ms, uint32_t *count);
void FvSched_PlaceStage(fv_sched_t *sched, fv_sched_stage_t *stage,
                        int64_t now_ms);

/* sched-preempt.c */
#define Fv_VICTIMS_MAX 64 /* preempted on one worker at one time */

int32_t FvSched_TaskCapacityAfterPreemption(const fv_sched_worker_t *worker,
                                            const fv_sched_stage_t *gang,
                                            int64_t now_ms);
void FvSched_PreemptForGang(fv_sched_t *sched, fv_sched_stage_t *gang,
                            int64_t now_ms);

/* sched-rank.c */
typedef enum fv_rank_group {
    Fv_RANK_ON_TIME,
    Fv_RANK_LATE,     /* within three times the objective */
    Fv_RANK_EXCESS,   /* of a customer, which has no value */
    Fv_RANK_WORTHLESS /* too late for any value */
} fv_rank_group_t;

typedef struct fv_rank {
    fv_rank_group_t group;
    int32_t priority;
    bool above_share; /* its customer uses more than its weighted share */
    int64_t target_start_ms;
    double work; /* left of a late occurrence, in core-ms */
} fv_rank_t;

fv_rank_t FvSched_RankStage(fv_sched_t *sched, const fv_sched_stage_t *stage,
                            int64_t now_ms);
int FvRank_Compare(const fv_rank_t *a, const fv_rank_t *b);

/* sched-refuse.c */
typedef enum fv_refusal {
    Fv_REFUSAL_NONE,
    Fv_REFUSAL_UNFIT,  /* no worker could ever run a task, or a gang */
    Fv_REFUSAL_BACKLOG /* too much work comes before it */
} fv_refusal_t;

void FvSched_ClearBacklogs(fv_sched_t *sched);
void FvSched_AddBacklog(fv_sched_t *sched, const fv_sched_stage_t *stage);
fv_refusal_t FvSched_CheckSubmission(fv_sched_t *sched,
                                     const fv_job_spec_t *spec,
                                     const fv_cell_queue_t *queue,
                                     int64_t now_ms, int64_t *retry_ms);

/* sched-reserve.c */
void FvSched_ClearReservations(fv_sched_t *sched);
void FvSched_ReserveForGang(fv_sched_t *sched, fv_sched_stage_t *stage,
                            int64_t now_ms);

/* sched-backfill.c */
void FvSched_PlanBackfill(fv_sched_t *sched, int64_t now_ms);
void FvSched_CheckBackfill(fv_sched_worker_t *worker,
                           const fv_sched_stage_t *gang);
bool FvSched_IsReservedForOther(const fv_sched_worker_t *worker,
                                const fv_sched_stage_t *stage);
bool FvSched_IsWorkerReserved(const fv_sched_worker_t *worker,
                              const fv_sched_stage_t *stage);
void FvSched_LimitToBackfill(const fv_sched_worker_t *worker,
                             const fv_sched_stage_t *stage,
                             fv_sched_resources_t *resources);
void FvSched_NoteBackfill(fv_sched_worker_t *worker,
                          const fv_sched_task_t *task);

/* sched-waiting.c */
fv_wait_cause_t FvSched_WaitCause(fv_sched_t *sched,
                                  const fv_sched_stage_t *stage,
                                  int64_t now_ms);
void FvSched_LogWaitingStages(fv_sched_t *sched, int64_t now_ms);

#endif
