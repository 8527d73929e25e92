/*
 * A scheduler whose ops store the orders, for tests without a network.
 */

#ifndef SCHED_FIXTURE_H
#define SCHED_FIXTURE_H

#include "platform.h"
#include "scheduler.h"
#include "suite.h"

#define Fv_FIXTURE_ORDERS_MAX 4096
#define Fv_FIXTURE_LEASE_MS 5000
#define Fv_FIXTURE_STOP_MS 900
#define Fv_FIXTURE_ADVISED_MAX 100

typedef struct fixture_order {
    char task[Fv_RUN_TASK_ID_SIZE];
    char worker[Fv_NAME_SIZE];
    int32_t run;
    bool stop;
} fixture_order_t;

typedef struct sched_fixture {
    fv_sched_t sched; /* first member; the ops cast it */
    int64_t now_ms;
    uint32_t order_count;
    fixture_order_t orders[Fv_FIXTURE_ORDERS_MAX];
    uint32_t advice_request_count;
    uint32_t advice_worker_count;
    fv_sched_stage_t *advised_stage; /* of the latest unanswered call */
    uint32_t advised_count;
    fv_sched_worker_t *advised_workers[Fv_FIXTURE_ADVISED_MAX];
    bool refuse_advice;
    bool refuse_starts; /* the host may not send orders */
    uint32_t report_request_count;
    const char *customer;       /* of the jobs that are added; NULL: none */
    const char *ended_customer; /* of all ended jobs; NULL: not known */
    uint32_t progress_records;
    uint32_t end_records;
} sched_fixture_t;

double FvSchedFixture_RandomNormal(uint64_t *state);
void FvSchedFixture_Open(sched_fixture_t *fixture, int32_t generation);
void FvSchedFixture_ReportUnanswered(sched_fixture_t *fixture,
                                     fv_sched_worker_t *worker);
void FvSchedFixture_Close(sched_fixture_t *fixture);
fv_sched_worker_t *FvSchedFixture_AddWorker(sched_fixture_t *fixture,
                                            const char *id, const char *rack,
                                            int64_t cpu_millis);
fv_cell_queue_t FvSchedFixture_MakeQueue(const char *name, int32_t priority);
fv_sched_job_t *FvSchedFixture_AddJob(sched_fixture_t *fixture, const char *id,
                                      const fv_cell_queue_t *queue,
                                      const char *document);
void FvSchedFixture_RunPass(sched_fixture_t *fixture);
fv_cell_queue_t FvSchedFixture_MakeAdvisedQueue(const char *name,
                                                int32_t priority);
bool FvSchedFixture_AllowAll(const char *worker);
bool FvSchedFixture_AnswerAdvice(sched_fixture_t *fixture,
                                 bool (*allows)(const char *worker));
uint32_t FvSchedFixture_CountStarts(const sched_fixture_t *fixture,
                                    const char *job);
uint32_t FvSchedFixture_CountRuns(const sched_fixture_t *fixture,
                                  const char *task);
uint32_t FvSchedFixture_CountStops(const sched_fixture_t *fixture,
                                   const char *job);
void FvSchedFixture_ConfirmStarts(sched_fixture_t *fixture);
void FvSchedFixture_ReportEnd(sched_fixture_t *fixture, const char *worker,
                              int64_t number, const char *task, int32_t run,
                              fv_run_end_t end);

#endif
