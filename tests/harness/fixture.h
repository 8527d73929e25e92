/*
 * Workers, jobs and tasks for tests of scheduling decisions. The process
 * aborts when memory is exhausted.
 */

#ifndef FIXTURE_H
#define FIXTURE_H

#include "fireflyvalve.h"

#define Fv_GIB (INT64_C(1) << 30)

/* A boot-clock time within the lease of a worker of FvFixture_NewWorker(). */
#define Fv_FIXTURE_NOW_MS INT64_C(1000)

/* A worker that is listed and leased, with 64 connections, in the rack
 * number / per_rack. */
fv_worker_t *FvFixture_NewWorker(uint32_t number, uint32_t per_rack,
                                 const fv_resources_t *capacity);
/* A job of one task; its workload is named after the class. */
fv_job_t *FvFixture_NewJob(const char *member, const char *key,
                           fv_class_t class_id, int64_t submitted_ms);
/* Adds a running task to the worker; NULL when it cannot be added. */
fv_task_t *FvFixture_AddRunningTask(fv_worker_t *worker, const char *id,
                                    fv_class_t class_id,
                                    const fv_resources_t *size);

/* Pseudo-random numbers that depend only on the seed in *state. */
uint64_t FvFixture_NextRandom(uint64_t *state);

#endif
