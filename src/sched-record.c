/*
 * The records of jobs in the store: one for the job as accepted, one for its
 * progress, both msgpack.
 */

#include "scheduler.h"

#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#define Fv_JOB_RECORD_FORMAT 1
#define Fv_JOB_RECORD_FIELDS 13
#define Fv_PROGRESS_ROW_FIELDS 7
#define Fv_STRETCH_SCALE 1000.0

static void
pack_text(msgpack_packer *packer, const char *text)
{
    size_t length = text ? strlen(text) : 0;

    msgpack_pack_str(packer, length);
    msgpack_pack_str_body(packer, text ? text : "", length);
}

static bool
take(msgpack_sbuffer *packed, fv_buffer_t *out)
{
    bool good = FvBuffer_Append(out, packed->data, packed->size);

    msgpack_sbuffer_destroy(packed);
    return good;
}

/**
 * FvSchedRecord_Job - encode a job as accepted
 * @job: the job
 * @out: receives the record
 *
 * Return: false when memory is exhausted.
 */
bool
FvSchedRecord_Job(const fv_sched_job_t *job, fv_buffer_t *out)
{
    const fv_cell_queue_t *queue = &job->queue;
    msgpack_sbuffer packed;
    msgpack_packer packer;

    msgpack_sbuffer_init(&packed);
    msgpack_packer_init(&packer, &packed, msgpack_sbuffer_write);
    msgpack_pack_array(&packer, Fv_JOB_RECORD_FIELDS);
    msgpack_pack_int(&packer, Fv_JOB_RECORD_FORMAT);
    pack_text(&packer, queue->name);
    pack_text(&packer, queue->service);
    msgpack_pack_int32(&packer, queue->priority);
    msgpack_pack_int32(&packer, queue->attempts_max);
    msgpack_pack_int64(&packer, (int64_t)(queue->stretch * Fv_STRETCH_SCALE));
    msgpack_pack_int64(&packer, queue->objective_ms);
    msgpack_pack_int64(&packer, queue->needs_advice ? 1 : 0);
    msgpack_pack_int64(&packer, queue->advice_base_us);
    msgpack_pack_int64(&packer, queue->advice_per_worker_us);
    msgpack_pack_int64(&packer, queue->ticket_valid_ms);
    msgpack_pack_int64(&packer, job->received_wall_ms);
    msgpack_pack_bin(&packer, job->document_length);
    msgpack_pack_bin_body(&packer, job->document, job->document_length);
    return take(&packed, out);
}

static bool
has_progress(const fv_sched_task_t *task)
{
    return task->state == Fv_SCHED_DONE || task->failures > 0 ||
           task->checkpoint != NULL;
}

static void
pack_task(msgpack_packer *packer, const fv_sched_task_t *task)
{
    msgpack_pack_array(packer, Fv_PROGRESS_ROW_FIELDS);
    msgpack_pack_int32(packer, task->stage->occurrence);
    msgpack_pack_uint32(packer, task->stage->step_index);
    msgpack_pack_int32(packer, task->index);
    msgpack_pack_int(packer, task->state == Fv_SCHED_DONE);
    msgpack_pack_int32(packer, task->failures);
    msgpack_pack_array(packer, Fv_FAILED_RUNS_MAX);
    for (int32_t i = 0; i < Fv_FAILED_RUNS_MAX; i++) {
        msgpack_pack_int32(packer, task->failed_runs[i]);
    }
    pack_text(packer, task->state == Fv_SCHED_DONE ? NULL : task->checkpoint);
}

typedef void (*fv_task_visit_t)(msgpack_packer *packer,
                                const fv_sched_task_t *task);

static uint32_t
visit_progress(const fv_sched_job_t *job, msgpack_packer *packer,
               fv_task_visit_t visit)
{
    uint32_t count = 0;

    for (uint32_t o = 0; o < job->occurrence_count; o++) {
        for (uint32_t s = 0; s < job->spec.step_count; s++) {
            const fv_sched_stage_t *stage = &job->occurrences[o].stages[s];

            for (int32_t t = 0; t < stage->step->task_count; t++) {
                if (has_progress(&stage->tasks[t])) {
                    count++;
                    if (visit != NULL) {
                        visit(packer, &stage->tasks[t]);
                    }
                }
            }
        }
    }
    return count;
}

/**
 * FvSchedRecord_Progress - encode what a job's tasks have reached
 * @job: the job
 * @out: receives the record
 *
 * Return: false when memory is exhausted.
 */
bool
FvSchedRecord_Progress(const fv_sched_job_t *job, fv_buffer_t *out)
{
    msgpack_sbuffer packed;
    msgpack_packer packer;

    msgpack_sbuffer_init(&packed);
    msgpack_packer_init(&packer, &packed, msgpack_sbuffer_write);
    msgpack_pack_array(&packer, visit_progress(job, NULL, NULL));
    visit_progress(job, &packer, pack_task);
    return take(&packed, out);
}

static bool
read_text(const msgpack_object *object, char *target, size_t size)
{
    if (object->type != MSGPACK_OBJECT_STR || object->via.str.size >= size) {
        return false;
    }
    if (object->via.str.size > 0) { /* an empty text has no address */
        memcpy(target, object->via.str.ptr, object->via.str.size);
    }
    target[object->via.str.size] = '\0';
    return true;
}

static int64_t
read_int(const msgpack_object *object)
{
    return object->type == MSGPACK_OBJECT_POSITIVE_INTEGER ||
                   object->type == MSGPACK_OBJECT_NEGATIVE_INTEGER
               ? object->via.i64
               : 0;
}

static bool
read_queue(const msgpack_object *fields, fv_cell_queue_t *queue)
{
    *queue = (fv_cell_queue_t){
        .priority = (int32_t)read_int(&fields[3]),
        .attempts_max = (int32_t)read_int(&fields[4]),
        .stretch = (double)read_int(&fields[5]) / Fv_STRETCH_SCALE,
        .objective_ms = read_int(&fields[6]),
        .needs_advice = read_int(&fields[7]) != 0,
        .advice_base_us = read_int(&fields[8]),
        .advice_per_worker_us = read_int(&fields[9]),
        .ticket_valid_ms = read_int(&fields[10]),
    };
    return read_text(&fields[1], queue->name, sizeof(queue->name)) &&
           read_text(&fields[2], queue->service, sizeof(queue->service));
}

static fv_sched_job_t *
load_fields(fv_sched_t *sched, const char *id, const msgpack_object *fields,
            int64_t now_ms, int64_t wall_ms)
{
    const msgpack_object *document = &fields[Fv_JOB_RECORD_FIELDS - 1];
    int64_t received_wall_ms = read_int(&fields[11]);
    int64_t age_ms = wall_ms - received_wall_ms;
    fv_cell_queue_t queue;
    fv_job_spec_t spec;
    fv_sched_job_t *job = NULL;

    if (document->type != MSGPACK_OBJECT_BIN || !read_queue(fields, &queue)) {
        return NULL;
    }
    if (sched->port->decode(document->via.bin.ptr, document->via.bin.size,
                            &spec)) {
        job = FvSched_AddJob(sched, id, &queue, &spec, document->via.bin.ptr,
                             document->via.bin.size,
                             now_ms - (age_ms > 0 ? age_ms : 0),
                             received_wall_ms);
    }
    FvJobSpec_Clear(&spec);
    return job;
}

/**
 * FvSchedRecord_LoadJob - take a job in from its record
 * @sched: the scheduler
 * @id: the job's id
 * @value: the record
 * @now_ms: the time
 * @wall_ms: the wall clock
 *
 * Return: the job, or NULL when the record cannot be read.
 */
fv_sched_job_t *
FvSchedRecord_LoadJob(fv_sched_t *sched, const char *id,
                      const fv_buffer_t *value, int64_t now_ms,
                      int64_t wall_ms)
{
    msgpack_unpacked unpacked;
    fv_sched_job_t *job = NULL;

    msgpack_unpacked_init(&unpacked);
    if (strlen(id) == Fv_JOB_ID_SIZE - 1 &&
        msgpack_unpack_next(&unpacked, (const char *)value->data,
                            value->length, NULL) == MSGPACK_UNPACK_SUCCESS &&
        unpacked.data.type == MSGPACK_OBJECT_ARRAY &&
        unpacked.data.via.array.size == Fv_JOB_RECORD_FIELDS) {
        job = load_fields(sched, id, unpacked.data.via.array.ptr, now_ms,
                          wall_ms);
    }
    msgpack_unpacked_destroy(&unpacked);
    return job;
}

static void
load_failed_runs(fv_sched_task_t *task, const msgpack_object *list)
{
    if (list->type != MSGPACK_OBJECT_ARRAY) {
        return;
    }
    for (uint32_t i = 0; i < list->via.array.size && i < Fv_FAILED_RUNS_MAX;
         i++) {
        task->failed_runs[i] = (int32_t)read_int(&list->via.array.ptr[i]);
    }
}

static void
load_task(fv_sched_job_t *job, const msgpack_object *row)
{
    const msgpack_object *fields = row->via.array.ptr;
    int64_t occurrence = read_int(&fields[0]);
    int64_t step = read_int(&fields[1]);
    int64_t index = read_int(&fields[2]);
    char checkpoint[Fv_CHECKPOINT_SIZE];
    fv_sched_stage_t *stage;
    fv_sched_task_t *task;

    if (occurrence < 0 || occurrence >= job->occurrence_count || step < 0 ||
        step >= job->spec.step_count || index < 0 ||
        index >= job->spec.steps[step].task_count) {
        return;
    }
    stage = &job->occurrences[occurrence].stages[step];
    task = &stage->tasks[index];
    task->failures = (int32_t)read_int(&fields[4]);
    load_failed_runs(task, &fields[5]);
    if (read_text(&fields[6], checkpoint, sizeof(checkpoint)) &&
        checkpoint[0] != '\0') {
        task->checkpoint = strdup(checkpoint);
    }
    if (read_int(&fields[3]) != 0 && task->state != Fv_SCHED_DONE) {
        task->state = Fv_SCHED_DONE;
        stage->waiting--;
        stage->done++;
        if (stage->done == stage->step->task_count) {
            job->occurrences[occurrence].stages_done++;
        }
    }
    job->started = true;
}

/**
 * FvSchedRecord_LoadProgress - apply the record of a job's progress
 * @sched: the scheduler
 * @job: the job, as loaded
 * @value: the record
 *
 * Return: false when the record cannot be read.
 */
bool
FvSchedRecord_LoadProgress(fv_sched_t *sched, fv_sched_job_t *job,
                           const fv_buffer_t *value)
{
    msgpack_unpacked unpacked;
    bool good = false;

    (void)sched;
    msgpack_unpacked_init(&unpacked);
    if (msgpack_unpack_next(&unpacked, (const char *)value->data,
                            value->length, NULL) == MSGPACK_UNPACK_SUCCESS &&
        unpacked.data.type == MSGPACK_OBJECT_ARRAY) {
        const msgpack_object_array *rows = &unpacked.data.via.array;

        good = true;
        for (uint32_t i = 0; i < rows->size; i++) {
            if (rows->ptr[i].type == MSGPACK_OBJECT_ARRAY &&
                rows->ptr[i].via.array.size == Fv_PROGRESS_ROW_FIELDS) {
                load_task(job, &rows->ptr[i]);
            }
            else {
                good = false;
            }
        }
    }
    msgpack_unpacked_destroy(&unpacked);
    job->progress_recorded = true;
    return good;
}
