/*
 * The claim: the record of a job in the store. It holds everything that
 * another host needs to continue the job.
 */

#include "runner.h"

#include <stdlib.h>
#include <string.h>

/* Larger answers are kept only by the workers. */
#define Fv_CLAIM_ANSWER_MAX_BYTES (16 * 1024)

/**
 * FvClaim_Key - build the store key of a claim
 * @member: the member
 * @key: the job's key
 * @text: receives the store key
 * @size: its size
 */
void
FvClaim_Key(const char *member, const char *key, char *text, size_t size)
{
    snprintf(text, size, "claims/%s/%s", member, key);
}

static json_t *
workers_to_json(const fv_run_t *run)
{
    json_t *workers = json_array();

    for (int32_t i = 0; i < run->task_count; i++) {
        json_array_append_new(workers, json_string(run->tasks[i].worker));
    }
    return workers;
}

static json_t *
workload_to_json(const fv_workload_t *workload)
{
    return json_pack(
        "{s:s, s:s, s:b, s:b, s:o, s:i, s:i, s:I}", "name", workload->name,
        "class", FvClass_Name(workload->class_id), "exclusive",
        (int)workload->exclusive, "idempotent", (int)workload->idempotent,
        "size", FvResources_ToJson(&workload->size), "tasks",
        (int)workload->tasks, "retry_limit", (int)workload->retry_limit,
        "expected_run_ms", (json_int_t)workload->expected_run_ms);
}

static bool
read_workload(const json_t *object, fv_workload_t *workload)
{
    const char *class_name = FvJson_String(object, "class");

    *workload = (fv_workload_t){
        .exclusive = FvJson_Bool(object, "exclusive", true),
        .idempotent = FvJson_Bool(object, "idempotent", false),
        .tasks = (int32_t)FvJson_Int(object, "tasks", 1),
        .retry_limit = (int32_t)FvJson_Int(object, "retry_limit", 0),
        .expected_run_ms = FvJson_Int(object, "expected_run_ms", 0),
    };
    return FvJson_CopyString(object, "name", workload->name,
                             sizeof(workload->name)) &&
           class_name != NULL &&
           FvClass_Parse(class_name, &workload->class_id) &&
           workload->tasks >= 1 && workload->tasks <= Fv_TASKS_MAX &&
           FvResources_FromJson(json_object_get(object, "size"),
                                &workload->size);
}

static void
add_base64(json_t *record, const char *name, const uint8_t *data,
           size_t length)
{
    char *text = FvText_EncodeBase64(data, length);

    if (text != NULL) {
        json_object_set_new(record, name, json_string(text));
    }
    free(text);
}

/**
 * FvClaim_ToJson - build the claim record of a job in its present state
 * @run: the job
 *
 * The payload is left out once the job has ended.
 *
 * Return: a new object.
 */
json_t *
FvClaim_ToJson(const fv_run_t *run)
{
    const fv_job_t *job = run->job;
    const char *state = FvJobState_Name(job->state);
    json_t *record = json_pack(
        "{s:s, s:s, s:s, s:s, s:s, s:s, s:s, s:s, s:s, s:o, s:I, s:I, s:I, "
        "s:I, s:i, s:o, s:b, s:b}",
        "member", job->member, "key", job->key, "holder", run->claim.holder,
        "incarnation", run->claim.incarnation, "nonce", run->claim.nonce,
        "digest", job->body_digest, "state", state, "outcome",
        FvOutcome_Name(job->outcome), "reason", job->reason, "workload",
        workload_to_json(&job->workload), "submitted_ms",
        (json_int_t)job->submitted_ms, "start_before_ms",
        (json_int_t)job->start_before_ms, "deadline_ms",
        (json_int_t)job->deadline_ms, "started_ms",
        (json_int_t)run->claim.started_ms, "attempts", (int)job->attempts,
        "workers", workers_to_json(run), "cancel", (int)job->cancel_requested,
        "ran", (int)run->may_have_started);

    if (record == NULL) {
        abort();
    }
    if (job->state != Fv_JOB_ENDED) {
        add_base64(record, "payload_base64", job->payload,
                   job->payload_length);
    }
    else {
        json_object_set_new(record, "answer_length",
                            json_integer((json_int_t)job->answer_length));
        if (job->answer_length <= Fv_CLAIM_ANSWER_MAX_BYTES) {
            add_base64(record, "answer_base64", job->answer,
                       job->answer_length);
        }
    }
    return record;
}

static bool
read_payload(const json_t *record, fv_job_t *job)
{
    const char *text = FvJson_String(record, "payload_base64");
    fv_buffer_t payload = {0};

    if (text == NULL) {
        return true;
    }
    if (!FvText_DecodeBase64(text, &payload)) {
        return false;
    }
    job->payload = payload.data;
    job->payload_length = payload.length;
    return true;
}

static bool
read_tasks(const json_t *record, fv_run_t *run)
{
    const json_t *workers = json_object_get(record, "workers");
    size_t count = json_array_size(workers);

    if (count > Fv_TASKS_MAX) {
        return false;
    }
    run->task_count = (int32_t)count;
    run->tasks = calloc(count + 1, sizeof(*run->tasks));
    if (run->tasks == NULL) {
        return false;
    }
    for (size_t i = 0; i < count; i++) {
        FvText_Copy(run->tasks[i].worker, Fv_NAME_SIZE,
                    json_string_value(json_array_get(workers, i)));
        run->tasks[i].state = Fv_TASK_UNKNOWN;
    }
    return true;
}

/**
 * FvClaim_FromJson - fill in a run from the claim record of another host
 * @record: the record
 * @run: a run with a new job; filled in
 *
 * Return: false when the record is malformed.
 */
bool
FvClaim_FromJson(const json_t *record, fv_run_t *run)
{
    fv_job_t *job = run->job;
    const char *state = FvJson_String(record, "state");

    if (state == NULL ||
        !read_workload(json_object_get(record, "workload"), &job->workload) ||
        !FvJson_CopyString(record, "digest", job->body_digest,
                           sizeof(job->body_digest)) ||
        !FvJson_CopyString(record, "holder", run->claim.holder,
                           Fv_NAME_SIZE) ||
        !read_payload(record, job) || !read_tasks(record, run)) {
        return false;
    }
    job->submitted_ms = FvJson_Int(record, "submitted_ms", 0);
    job->start_before_ms = FvJson_Int(record, "start_before_ms", 0);
    job->deadline_ms = FvJson_Int(record, "deadline_ms", 0);
    job->attempts = (int32_t)FvJson_Int(record, "attempts", 0);
    job->cancel_requested = FvJson_Bool(record, "cancel", false);
    run->may_have_started = FvJson_Bool(record, "ran", false);
    run->claim.started_ms = FvJson_Int(record, "started_ms", 0);
    job->state =
        strcmp(state, "running") == 0 ? Fv_JOB_RUNNING : Fv_JOB_QUEUED;
    return true;
}

/**
 * FvClaim_ToJobDocument - build the job document from a claim record
 * @record: the record
 *
 * Return: a new object as in docs/protocol.md, with the answer when the
 * record holds it.
 */
json_t *
FvClaim_ToJobDocument(const json_t *record)
{
    static const char *const copied[] = {
        "key",      "state",   "outcome",       "reason",
        "attempts", "workers", "answer_length", "answer_base64"};
    json_t *document = json_object();
    json_t *workload =
        json_object_get(json_object_get(record, "workload"), "name");

    if (workload != NULL) {
        json_object_set(document, "workload", workload);
    }
    for (size_t i = 0; i < sizeof(copied) / sizeof(copied[0]); i++) {
        json_t *value = json_object_get(record, copied[i]);

        if (value != NULL) {
            json_object_set(document, copied[i], value);
        }
    }
    return document;
}
