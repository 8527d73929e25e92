/*
 * Customers of the scheduler: accounts, caps, shares and rates. Part of
 * scheduler.h.
 */

#ifndef SCHED_CUSTOMER_H
#define SCHED_CUSTOMER_H

#include "scheduler.h"

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

#endif
