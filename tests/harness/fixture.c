/*
 * Workers, jobs and tasks for tests of scheduling decisions.
 */

#include "fixture.h"

#include <stdlib.h>
#include <xxhash.h>

fv_worker_t *
FvFixture_NewWorker(uint32_t number, uint32_t per_rack,
                    const fv_resources_t *capacity)
{
    char name[Fv_NAME_SIZE];
    fv_worker_t *worker;

    snprintf(name, sizeof(name), "w%u", number);
    worker = FvWorker_New(name);
    if (worker == NULL) {
        abort();
    }
    snprintf(worker->rack, sizeof(worker->rack), "r%u", number / per_rack);
    worker->listed = true;
    worker->connection_limit = 64;
    FvWorker_SetCapacity(worker, capacity);
    FvLease_Granted(&worker->lease, 1, 0, 0, 3000);
    return worker;
}

fv_job_t *
FvFixture_NewJob(const char *member, const char *key, fv_class_t class_id,
                 int64_t submitted_ms)
{
    fv_workload_t workload = {
        .class_id = class_id,
        .tasks = 1,
        .size = {.cpu_millis = 1000, .memory_bytes = Fv_GIB, .slots = 1}};
    fv_job_t *job;

    snprintf(workload.name, sizeof(workload.name), "%s",
             FvClass_Name(class_id));
    job = FvJob_New(member, key, &workload);
    if (job == NULL) {
        abort();
    }
    job->submitted_ms = submitted_ms;
    return job;
}

fv_task_t *
FvFixture_AddRunningTask(fv_worker_t *worker, const char *id,
                         fv_class_t class_id, const fv_resources_t *size)
{
    fv_task_t task = {
        .class_id = class_id, .state = Fv_TASK_RUNNING, .size = *size};

    snprintf(task.id, sizeof(task.id), "%s", id);
    return FvWorker_AddTask(worker, &task);
}

uint64_t
FvFixture_NextRandom(uint64_t *state)
{
    (*state)++;
    return XXH64(state, sizeof(*state), 0);
}
