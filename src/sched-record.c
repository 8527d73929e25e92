/*
 * The records of a job in the store: one of the accepted job and one of its
 * progress, both in msgpack.
 */

#include "msgpack-fields.h"
#include "scheduler.h"

#include <stdlib.h>
#include <string.h>

#define Fv_JOB_RECORD_FORMAT 1
#define Fv_JOB_RECORD_FIELDS 13
/* A customer's job has its name as a further field. Earlier builds read only
 * records without it, so that a job of nobody has none. A job beyond its
 * customer's rate has one more, the number 1. */
#define Fv_CUSTOMER_RECORD_FIELDS (Fv_JOB_RECORD_FIELDS + 1)
#define Fv_EXCESS_RECORD_FIELDS (Fv_CUSTOMER_RECORD_FIELDS + 1)
#define Fv_PROGRESS_ROW_FIELDS 7
/* Consecutive tasks of a step that are done: occurrence, step, first task and
 * number of tasks, each of them at most 5, 2, 3 and 3 bytes long. */
#define Fv_DONE_ROW_FIELDS 4
#define Fv_DONE_ROW_MAX_BYTES 14
/* Consecutive occurrences that are done: the first one and their number, at
 * most 11 bytes. */
#define Fv_DONE_OCCURRENCES_ROW_FIELDS 2
#define Fv_ROWS_HEADER_BYTES 5
#define Fv_TEXT_HEADER_BYTES 5
#define Fv_STRETCH_SCALE 1000.0

static bool
append_packed(msgpack_sbuffer *packed, fv_buffer_t *out)
{
    bool ok = FvBuffer_Append(out, packed->data, packed->size);

    msgpack_sbuffer_destroy(packed);
    return ok;
}

/**
 * FvSchedRecord_EncodeJob - encode the record of an accepted job
 * @job: the job
 * @out: receives the record
 *
 * Return: false when memory is exhausted.
 */
bool
FvSchedRecord_EncodeJob(const fv_sched_job_t *job, fv_buffer_t *out)
{
    const fv_cell_queue_t *queue = &job->queue;
    msgpack_sbuffer packed;
    msgpack_packer packer;

    msgpack_sbuffer_init(&packed);
    msgpack_packer_init(&packer, &packed, msgpack_sbuffer_write);
    msgpack_pack_array(&packer, job->excess ? Fv_EXCESS_RECORD_FIELDS
                                : job->customer[0] != '\0'
                                    ? Fv_CUSTOMER_RECORD_FIELDS
                                    : Fv_JOB_RECORD_FIELDS);
    msgpack_pack_int(&packer, Fv_JOB_RECORD_FORMAT);
    FvPack_Text(&packer, queue->name);
    FvPack_Text(&packer, queue->service);
    msgpack_pack_int32(&packer, queue->priority);
    msgpack_pack_int32(&packer, queue->attempts_max);
    msgpack_pack_int64(&packer, (int64_t)(queue->stretch * Fv_STRETCH_SCALE));
    msgpack_pack_int64(&packer, queue->objective_ms);
    msgpack_pack_int64(&packer, queue->needs_advice ? 1 : 0);
    msgpack_pack_int64(&packer, queue->advice_base_us);
    msgpack_pack_int64(&packer, queue->advice_per_worker_us);
    msgpack_pack_int64(&packer, queue->ticket_valid_ms);
    msgpack_pack_int64(&packer, job->received_wall_ms);
    FvPack_Bytes(&packer, job->document, job->document_length);
    if (job->customer[0] != '\0') {
        FvPack_Text(&packer, job->customer);
    }
    if (job->excess) {
        msgpack_pack_int(&packer, 1);
    }
    return append_packed(&packed, out);
}

/* What a record of progress tells of tasks that are not done, from all to
 * nothing. A lower detail is used when the store would refuse the record. */
typedef enum fv_record_detail {
    Fv_DETAIL_CHECKPOINTS,
    Fv_DETAIL_FAILED_RUNS, /* a failure may not be counted twice */
    Fv_DETAIL_FAILURES,
    Fv_DETAIL_DONE
} fv_record_detail_t;

typedef struct fv_progress_writer {
    msgpack_packer packer;
    msgpack_sbuffer packed;
    fv_record_detail_t detail;
    size_t checkpoint_bytes; /* that still fit */
    uint32_t rows;
    bool counting;
} fv_progress_writer_t;

static void
write_done_tasks(fv_progress_writer_t *writer, int32_t occurrence,
                 uint32_t step, int32_t first, int32_t count)
{
    writer->rows++;
    if (writer->counting) {
        return;
    }
    msgpack_pack_array(&writer->packer, Fv_DONE_ROW_FIELDS);
    msgpack_pack_int32(&writer->packer, occurrence);
    msgpack_pack_uint32(&writer->packer, step);
    msgpack_pack_int32(&writer->packer, first);
    msgpack_pack_int32(&writer->packer, count);
}

/* Returns the checkpoint if it still fits. */
static const char *
take_checkpoint(fv_progress_writer_t *writer, const fv_sched_task_t *task)
{
    size_t needed = task->checkpoint != NULL
                        ? strlen(task->checkpoint) + Fv_TEXT_HEADER_BYTES
                        : 0;

    if (needed == 0 || needed > writer->checkpoint_bytes) {
        return NULL;
    }
    writer->checkpoint_bytes -= needed;
    return task->checkpoint;
}

static void
write_open_task(fv_progress_writer_t *writer, const fv_sched_task_t *task)
{
    msgpack_packer *packer = &writer->packer;

    if (writer->detail == Fv_DETAIL_DONE ||
        (task->failures == 0 && (task->checkpoint == NULL ||
                                 writer->detail != Fv_DETAIL_CHECKPOINTS))) {
        return;
    }
    writer->rows++;
    if (writer->counting) {
        return;
    }
    msgpack_pack_array(packer, Fv_PROGRESS_ROW_FIELDS);
    msgpack_pack_int32(packer, task->stage->occurrence->number);
    msgpack_pack_uint32(packer, task->stage->step_index);
    msgpack_pack_int32(packer, task->index);
    msgpack_pack_int(packer, 0);
    msgpack_pack_int32(packer, task->failures);
    msgpack_pack_array(packer, Fv_FAILED_RUNS_MAX);
    for (int32_t i = 0; i < Fv_FAILED_RUNS_MAX; i++) {
        msgpack_pack_int32(packer, writer->detail <= Fv_DETAIL_FAILED_RUNS
                                       ? task->failed_runs[i]
                                       : 0);
    }
    FvPack_Text(packer, take_checkpoint(writer, task));
}

static void
write_stage(fv_progress_writer_t *writer, const fv_sched_stage_t *stage)
{
    int32_t number = stage->occurrence->number;
    int32_t done = 0; /* tasks before the current one, without a gap */

    for (int32_t t = 0; t < stage->step->task_count; t++) {
        const fv_sched_task_t *task = &stage->tasks[t];

        if (task->state == Fv_SCHED_DONE) {
            done++;
            continue;
        }
        if (done > 0) {
            write_done_tasks(writer, number, stage->step_index, t - done,
                             done);
            done = 0;
        }
        write_open_task(writer, task);
    }
    if (done > 0) {
        write_done_tasks(writer, number, stage->step_index,
                         stage->step->task_count - done, done);
    }
}

static void
write_occurrence(fv_progress_writer_t *writer, const fv_sched_job_t *job,
                 const fv_occurrence_t *occurrence)
{
    for (uint32_t s = 0; s < job->spec.step_count; s++) {
        if (occurrence->stages != NULL) {
            write_stage(writer, &occurrence->stages[s]);
        }
        else {
            write_done_tasks(writer, occurrence->number, s, 0,
                             job->spec.steps[s].task_count);
        }
    }
}

static void
write_done_occurrences(fv_progress_writer_t *writer, int32_t first,
                       int32_t count)
{
    if (count <= 0) {
        return;
    }
    writer->rows++;
    if (writer->counting) {
        return;
    }
    msgpack_pack_array(&writer->packer, Fv_DONE_OCCURRENCES_ROW_FIELDS);
    msgpack_pack_int32(&writer->packer, first);
    msgpack_pack_int32(&writer->packer, count);
}

/* Occurrences that were due and are not in memory are done. */
static void
write_occurrences(fv_progress_writer_t *writer, const fv_sched_job_t *job)
{
    int32_t done_from = 0;

    for (uint32_t o = 0; o < job->open_count; o++) {
        const fv_occurrence_t *occurrence = job->occurrences[o];
        int32_t done_to = occurrence->number < job->next_occurrence
                              ? occurrence->number
                              : job->next_occurrence;

        write_done_occurrences(writer, done_from, done_to - done_from);
        done_from = occurrence->number + 1;
        write_occurrence(writer, job, occurrence);
    }
    write_done_occurrences(writer, done_from,
                           job->next_occurrence - done_from);
}

/* Returns the encoded record's size. */
static size_t
write_progress(fv_progress_writer_t *writer, const fv_sched_job_t *job,
               fv_record_detail_t detail, size_t checkpoint_bytes)
{
    uint32_t rows;

    *writer = (fv_progress_writer_t){.detail = detail,
                                     .checkpoint_bytes = checkpoint_bytes,
                                     .counting = true};
    write_occurrences(writer, job);
    rows = writer->rows;
    writer->counting = false;
    msgpack_sbuffer_init(&writer->packed);
    msgpack_packer_init(&writer->packer, &writer->packed,
                        msgpack_sbuffer_write);
    msgpack_pack_array(&writer->packer, rows);
    write_occurrences(writer, job);
    return writer->packed.size;
}

/**
 * FvSchedRecord_EncodeProgress - encode the record of a job's progress
 * @job: the job
 * @max_bytes: the largest record that the store takes
 * @out: receives the record
 *
 * Tasks that are done are always in it, see FvSchedRecord_ProgressMaxBytes();
 * checkpoints and then failures are left out when they don't fit.
 *
 * Return: false when memory is exhausted.
 */
bool
FvSchedRecord_EncodeProgress(const fv_sched_job_t *job, size_t max_bytes,
                             fv_buffer_t *out)
{
    fv_progress_writer_t writer;
    int detail = Fv_DETAIL_CHECKPOINTS;
    size_t size =
        write_progress(&writer, job, Fv_DETAIL_CHECKPOINTS, SIZE_MAX);

    if (size > max_bytes) {
        msgpack_sbuffer_destroy(&writer.packed);
        size = write_progress(&writer, job, Fv_DETAIL_CHECKPOINTS, 0);
        if (size < max_bytes) {
            msgpack_sbuffer_destroy(&writer.packed);
            write_progress(&writer, job, Fv_DETAIL_CHECKPOINTS,
                           max_bytes - size);
        }
        while (size > max_bytes && detail < Fv_DETAIL_DONE) {
            detail++;
            msgpack_sbuffer_destroy(&writer.packed);
            size = write_progress(&writer, job, (fv_record_detail_t)detail, 0);
        }
        FvLog_Event(Fv_LOG_WARN, "progress_record_cut",
                    "job=%s detail=%d bytes=%zu", job->id, detail,
                    writer.packed.size);
    }
    return append_packed(&writer.packed, out);
}

/**
 * FvSchedRecord_ProgressMaxBytes - size of the largest record of which tasks
 * of a job are done
 * @spec: the job
 *
 * Return: the size, when every second task of each step is done.
 */
size_t
FvSchedRecord_ProgressMaxBytes(const fv_job_spec_t *spec)
{
    size_t rows = 0;

    for (uint32_t s = 0; s < spec->step_count; s++) {
        rows += ((size_t)spec->steps[s].task_count + 1) / 2;
    }
    rows *= spec->repeat_count > 0 ? (size_t)spec->repeat_count : 1;
    return Fv_ROWS_HEADER_BYTES + rows * Fv_DONE_ROW_MAX_BYTES;
}

static void
unpack_queue(fv_field_reader_t *reader, fv_cell_queue_t *queue)
{
    *queue = (fv_cell_queue_t){0};
    FvFields_Text(reader, queue->name, sizeof(queue->name));
    FvFields_Text(reader, queue->service, sizeof(queue->service));
    queue->priority = (int32_t)FvFields_Int(reader, INT32_MIN, INT32_MAX);
    queue->attempts_max = (int32_t)FvFields_Int(reader, INT32_MIN, INT32_MAX);
    queue->stretch =
        (double)FvFields_Int(reader, 0, INT64_MAX) / Fv_STRETCH_SCALE;
    queue->objective_ms = FvFields_Int(reader, 0, INT64_MAX);
    queue->needs_advice = FvFields_Int(reader, 0, 1) != 0;
    queue->advice_base_us = FvFields_Int(reader, 0, INT64_MAX);
    queue->advice_per_worker_us = FvFields_Int(reader, 0, INT64_MAX);
    queue->ticket_valid_ms = FvFields_Int(reader, 0, INT64_MAX);
}

static fv_sched_job_t *
load_job_fields(fv_sched_t *sched, const char *id, fv_field_reader_t *reader,
                int64_t now_ms, int64_t wall_ms)
{
    int64_t format = FvFields_Int(reader, 0, INT32_MAX);
    int64_t received_wall_ms;
    int64_t age_ms;
    const char *document;
    size_t length;
    char customer[Fv_NAME_SIZE] = "";
    bool excess = false;
    fv_cell_queue_t queue;
    fv_job_spec_t spec;
    fv_sched_job_t *job = NULL;

    unpack_queue(reader, &queue);
    received_wall_ms = FvFields_Int(reader, 0, INT64_MAX);
    document = FvFields_ViewBytes(reader, &length);
    if (reader->count > Fv_JOB_RECORD_FIELDS) {
        FvFields_Text(reader, customer, sizeof(customer));
    }
    if (reader->count > Fv_CUSTOMER_RECORD_FIELDS) {
        excess = FvFields_Int(reader, 0, 1) != 0;
    }
    if (reader->failed || format != Fv_JOB_RECORD_FORMAT || document == NULL) {
        return NULL;
    }
    age_ms = wall_ms - received_wall_ms;
    if (sched->ops->decode(document, length, &spec)) {
        job = FvSched_AddJob(sched, id, &queue, &spec, document, length,
                             now_ms - (age_ms > 0 ? age_ms : 0),
                             received_wall_ms);
    }
    if (job != NULL) {
        FvText_Copy(job->customer, sizeof(job->customer), customer);
        job->excess = excess;
    }
    FvJobSpec_Clear(&spec);
    return job;
}

/**
 * FvSchedRecord_LoadJob - add a job from its record
 * @sched: the scheduler
 * @id: the job's id
 * @value: the record
 * @now_ms: the time
 * @wall_ms: the wall clock
 *
 * Return: the job, or NULL when the record cannot be decoded.
 */
fv_sched_job_t *
FvSchedRecord_LoadJob(fv_sched_t *sched, const char *id,
                      const fv_buffer_t *value, int64_t now_ms,
                      int64_t wall_ms)
{
    msgpack_unpacked unpacked;
    fv_field_reader_t reader;
    fv_sched_job_t *job = NULL;

    if (FvFields_Open(&reader, &unpacked, value->data, value->length) &&
        reader.count >= Fv_JOB_RECORD_FIELDS &&
        strlen(id) == Fv_JOB_ID_SIZE - 1) {
        job = load_job_fields(sched, id, &reader, now_ms, wall_ms);
    }
    msgpack_unpacked_destroy(&unpacked);
    return job;
}

/* Progress of one task, or of several that are done. */
typedef struct fv_progress_row {
    int64_t occurrence;
    int64_t step;
    int64_t index;
    int64_t count;
    bool done;
    int32_t failures;
    int32_t failed_runs[Fv_FAILED_RUNS_MAX];
    char *checkpoint; /* owned by the row; NULL or "": none */
} fv_progress_row_t;

static bool
unpack_task_row(fv_field_reader_t *reader, fv_progress_row_t *row)
{
    fv_field_reader_t runs;

    *row = (fv_progress_row_t){
        .occurrence = FvFields_Int(reader, 0, INT32_MAX),
        .step = FvFields_Int(reader, 0, INT32_MAX),
        .index = FvFields_Int(reader, 0, INT32_MAX),
        .count = 1,
    };
    if (reader->count == Fv_DONE_ROW_FIELDS) {
        row->done = true;
        row->count = FvFields_Int(reader, 1, Fv_STEP_TASKS_MAX);
        return !reader->failed;
    }
    row->done = FvFields_Int(reader, 0, 1) != 0;
    row->failures = (int32_t)FvFields_Int(reader, 0, INT32_MAX);
    runs = FvFields_Array(reader);
    for (int32_t i = 0; i < Fv_FAILED_RUNS_MAX; i++) {
        row->failed_runs[i] = (int32_t)FvFields_Int(&runs, 0, INT32_MAX);
    }
    row->checkpoint = FvFields_DupText(reader);
    return !reader->failed && !runs.failed &&
           reader->count == Fv_PROGRESS_ROW_FIELDS;
}

static void
load_task(fv_sched_task_t *task, fv_progress_row_t *row)
{
    fv_sched_stage_t *stage = task->stage;

    task->failures = row->failures;
    memcpy(task->failed_runs, row->failed_runs, sizeof(task->failed_runs));
    if (row->checkpoint != NULL && row->checkpoint[0] != '\0') {
        free(task->checkpoint);
        task->checkpoint = row->checkpoint;
        row->checkpoint = NULL;
    }
    if (row->done && task->state != Fv_SCHED_DONE) {
        task->state = Fv_SCHED_DONE;
        stage->waiting--;
        stage->done++;
        if (stage->done == stage->step->task_count) {
            stage->occurrence->stages_done++;
        }
    }
}

static bool
load_task_row(fv_sched_job_t *job, fv_field_reader_t *reader)
{
    fv_progress_row_t row;
    fv_occurrence_t *occurrence;
    bool ok = unpack_task_row(reader, &row) &&
              row.occurrence < job->occurrence_count &&
              row.step < job->spec.step_count &&
              row.index + row.count <= job->spec.steps[row.step].task_count;

    if (!ok) {
        goto done;
    }
    occurrence = FvSched_OpenOccurrence(job, (int32_t)row.occurrence);
    ok = occurrence != NULL && occurrence->stages != NULL;
    for (int64_t t = row.index; ok && t < row.index + row.count; t++) {
        load_task(&occurrence->stages[row.step].tasks[t], &row);
    }
    /* Earlier builds recorded each occurrence that is done like this, and
     * there may be tens of thousands. */
    if (ok && job->spec.repeat_count > 0 &&
        FvSched_IsOccurrenceDone(job, occurrence) &&
        occurrence == job->occurrences[job->open_count - 1]) {
        FvSched_CloseLastOccurrence(job);
    }
done:
    free(row.checkpoint);
    return ok;
}

/* Those before the first one that no row has told of were due and are open. */
static bool
load_done_occurrences(fv_sched_job_t *job, fv_field_reader_t *reader)
{
    int64_t first = FvFields_Int(reader, job->next_occurrence, INT32_MAX);
    int64_t count = FvFields_Int(reader, 1, INT32_MAX);

    if (reader->failed || first + count > job->occurrence_count) {
        return false;
    }
    while (job->next_occurrence < first) {
        if (FvSched_OpenOccurrence(job, job->next_occurrence) == NULL) {
            return false;
        }
        job->next_occurrence++;
    }
    job->next_occurrence = (int32_t)(first + count);
    return true;
}

static bool
load_row(fv_sched_job_t *job, const msgpack_object *field)
{
    fv_field_reader_t outer = {.fields = field, .count = 1};
    fv_field_reader_t reader = FvFields_Array(&outer);
    bool ok = reader.count == Fv_DONE_OCCURRENCES_ROW_FIELDS
                  ? load_done_occurrences(job, &reader)
                  : load_task_row(job, &reader);

    job->started = job->started || ok;
    return ok;
}

/**
 * FvSchedRecord_LoadProgress - apply the record of a job's progress
 * @job: the job, as loaded from its own record
 * @value: the record
 *
 * Return: false when a part of the record cannot be decoded.
 */
bool
FvSchedRecord_LoadProgress(fv_sched_job_t *job, const fv_buffer_t *value)
{
    msgpack_unpacked unpacked;
    fv_field_reader_t rows;
    bool ok = FvFields_Open(&rows, &unpacked, value->data, value->length);

    for (uint32_t i = 0; i < rows.count; i++) {
        /* A malformed row does not keep the others from being applied. */
        ok &= load_row(job, &rows.fields[i]);
    }
    msgpack_unpacked_destroy(&unpacked);
    job->progress_recorded = true;
    return ok;
}
