/*
 * Checks of fake-worker's records.
 */

#include "record-check.h"

#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

/* Starts of the tasks that run at one point of the records. */
typedef struct running {
    const record_t **starts;
    size_t count;
} running_t;

static bool
report_violation(char reason[RECORD_CHECK_REASON_SIZE], const char *format,
                 ...)
{
    va_list arguments;

    va_start(arguments, format);
    vsnprintf(reason, RECORD_CHECK_REASON_SIZE, format, arguments);
    va_end(arguments);
    return false;
}

static bool
matches_workload(const record_t *record, const char *member,
                 const char *workload)
{
    return (member == NULL || strcmp(record->member, member) == 0) &&
           (workload == NULL || strcmp(record->workload, workload) == 0);
}

static bool
matches_job(const record_t *record, const char *member, const char *key)
{
    return strcmp(record->member, member) == 0 &&
           strcmp(record->key, key) == 0;
}

static void
init_running(running_t *running, const records_t *records)
{
    running->starts = calloc(records->count + 1, sizeof(const record_t *));
    running->count = 0;
    if (running->starts == NULL) {
        abort();
    }
}

static bool
ends_task(const record_t *record, const record_t *start)
{
    return (record->event == RECORD_END || record->event == RECORD_STOPPED) &&
           strcmp(record->worker, start->worker) == 0 &&
           strcmp(record->task, start->task) == 0;
}

static void
update_running(running_t *running, const record_t *record)
{
    if (record->event == RECORD_START) {
        running->starts[running->count++] = record;
        return;
    }
    for (size_t i = 0; i < running->count; i++) {
        if (ends_task(record, running->starts[i])) {
            running->starts[i] = running->starts[--running->count];
            return;
        }
    }
}

static fv_resources_t
sum_of_worker(const running_t *running, const char *worker)
{
    fv_resources_t sum = {0};

    for (size_t i = 0; i < running->count; i++) {
        const record_t *start = running->starts[i];

        if (strcmp(start->worker, worker) == 0) {
            sum.cpu_millis += start->size.cpu_millis;
            sum.memory_bytes += start->size.memory_bytes;
            sum.accelerators += start->size.accelerators;
            sum.slots += start->size.slots;
        }
    }
    return sum;
}

static bool
exceeds(const fv_resources_t *sum, const fv_resources_t *capacity)
{
    return sum->cpu_millis > capacity->cpu_millis ||
           sum->memory_bytes > capacity->memory_bytes ||
           sum->accelerators > capacity->accelerators ||
           sum->slots > capacity->slots;
}

/**
 * FvRecordCheck_Capacity - check that no worker exceeds its capacity
 * @records: the records
 * @capacity: of each worker
 * @connections: limit of each worker
 * @reason: receives the first violation
 *
 * The resources in use are computed from the starts and ends, not taken from
 * the worker's own sums.
 *
 * Return: true when there is no violation.
 */
bool
FvRecordCheck_Capacity(const records_t *records,
                       const fv_resources_t *capacity, int connections,
                       char reason[RECORD_CHECK_REASON_SIZE])
{
    running_t running;
    bool valid = true;

    init_running(&running, records);
    for (size_t i = 0; valid && i < records->count; i++) {
        const record_t *record = &records->entries[i];
        fv_resources_t sum;

        update_running(&running, record);
        sum = sum_of_worker(&running, record->worker);
        if (exceeds(&sum, capacity) || record->connections > connections) {
            valid = report_violation(
                reason,
                "%s over capacity at %lld us after %s of %s: cpu_millis=%lld "
                "memory_bytes=%lld accelerators=%d slots=%d connections=%d",
                record->worker, (long long)record->at_us,
                FvRecord_EventName(record->event), record->task,
                (long long)sum.cpu_millis, (long long)sum.memory_bytes,
                sum.accelerators, sum.slots, record->connections);
        }
    }
    free(running.starts);
    return valid;
}

/**
 * FvRecordCheck_NoCapacityRefusals - check for refusals for lack of capacity
 * @records: the records
 * @reason: receives the first violation
 *
 * fake-worker refuses a task that does not fit, so an overcommit by the
 * cell is a refusal in the records, not a sum above the capacity.
 *
 * Return: true when there is no violation.
 */
bool
FvRecordCheck_NoCapacityRefusals(const records_t *records,
                                 char reason[RECORD_CHECK_REASON_SIZE])
{
    for (size_t i = 0; i < records->count; i++) {
        const record_t *record = &records->entries[i];

        if (record->event == RECORD_REFUSED &&
            (strcmp(record->reason, "no_capacity") == 0 ||
             strcmp(record->reason, "no_connections") == 0)) {
            return report_violation(reason, "%s refused %s at %lld us: %s",
                                    record->worker, record->task,
                                    (long long)record->at_us, record->reason);
        }
    }
    return true;
}

/* The id without its last part names the attempt: MEMBER:KEY:ATTEMPT. */
static size_t
attempt_length(const char *task)
{
    const char *last = strrchr(task, ':');

    return last != NULL ? (size_t)(last - task) : strlen(task);
}

/* Tasks of one attempt may run together, as in a gang. */
static bool
conflicts(const record_t *a, const record_t *b)
{
    size_t length = attempt_length(a->task);

    if (!matches_job(a, b->member, b->key)) {
        return false;
    }
    return strcmp(a->task, b->task) == 0 ||
           length != attempt_length(b->task) ||
           strncmp(a->task, b->task, length) != 0;
}

static const record_t *
find_conflict(const running_t *running, const record_t *start)
{
    for (size_t i = 0; i < running->count; i++) {
        if (conflicts(running->starts[i], start)) {
            return running->starts[i];
        }
    }
    return NULL;
}

/**
 * FvRecordCheck_Exclusive - check that no job runs twice at the same time
 * @records: the records
 * @member: whose jobs
 * @workload: an exclusive workload
 * @reason: receives the first violation
 *
 * A violation is two concurrent runs of one task, or concurrent tasks of two
 * attempts of one job.
 *
 * Return: true when there is no violation.
 */
bool
FvRecordCheck_Exclusive(const records_t *records, const char *member,
                        const char *workload,
                        char reason[RECORD_CHECK_REASON_SIZE])
{
    running_t running;
    bool valid = true;

    init_running(&running, records);
    for (size_t i = 0; valid && i < records->count; i++) {
        const record_t *record = &records->entries[i];
        const record_t *other = NULL;

        if (!matches_workload(record, member, workload)) {
            continue;
        }
        if (record->event == RECORD_START) {
            other = find_conflict(&running, record);
        }
        if (other != NULL) {
            valid = report_violation(
                reason,
                "%s started on %s at %lld us while %s ran on %s "
                "since %lld us",
                record->task, record->worker, (long long)record->at_us,
                other->task, other->worker, (long long)other->at_us);
        }
        update_running(&running, record);
    }
    free(running.starts);
    return valid;
}

/* The same task of a job, in any attempt. */
static bool
is_same_task(const record_t *a, const record_t *b)
{
    const char *first = strrchr(a->task, ':');
    const char *second = strrchr(b->task, ':');

    return matches_job(a, b->member, b->key) && first != NULL &&
           second != NULL && strcmp(first, second) == 0;
}

/**
 * FvRecordCheck_StartsAtMostOnce - check that no task started twice
 * @records: the records
 * @member: whose jobs
 * @workload: a workload that is not idempotent
 * @reason: receives the first violation
 *
 * Return: true when there is no violation.
 */
bool
FvRecordCheck_StartsAtMostOnce(const records_t *records, const char *member,
                               const char *workload,
                               char reason[RECORD_CHECK_REASON_SIZE])
{
    for (size_t i = 0; i < records->count; i++) {
        const record_t *record = &records->entries[i];

        if (record->event != RECORD_START ||
            !matches_workload(record, member, workload)) {
            continue;
        }
        for (size_t j = 0; j < i; j++) {
            const record_t *earlier = &records->entries[j];

            if (earlier->event == RECORD_START &&
                is_same_task(earlier, record)) {
                return report_violation(
                    reason,
                    "%s started on %s at %lld us after %s on %s "
                    "at %lld us",
                    record->task, record->worker, (long long)record->at_us,
                    earlier->task, earlier->worker, (long long)earlier->at_us);
            }
        }
    }
    return true;
}

/**
 * FvRecords_Find - find an event of a job
 * @records: the records
 * @event: the event
 * @member: whose job
 * @key: its key
 * @nth: 0 for the first
 *
 * Return: the record, or NULL.
 */
const record_t *
FvRecords_Find(const records_t *records, record_event_t event,
               const char *member, const char *key, int nth)
{
    for (size_t i = 0; i < records->count; i++) {
        const record_t *record = &records->entries[i];

        if (record->event == event && matches_job(record, member, key) &&
            nth-- == 0) {
            return record;
        }
    }
    return NULL;
}

/**
 * FvRecords_CountStarts - count the starts of a job's tasks
 * @records: the records
 * @member: whose job
 * @key: its key
 *
 * Return: the count, over all tasks and attempts.
 */
int
FvRecords_CountStarts(const records_t *records, const char *member,
                      const char *key)
{
    int count = 0;

    while (FvRecords_Find(records, RECORD_START, member, key, count) != NULL) {
        count++;
    }
    return count;
}

/**
 * FvRecordCheck_NeverStarted - check a job that was reported as `not_run`
 * @records: the records
 * @member: whose job
 * @key: its key
 * @reason: receives the violation
 *
 * Return: true when no task of it started.
 */
bool
FvRecordCheck_NeverStarted(const records_t *records, const char *member,
                           const char *key,
                           char reason[RECORD_CHECK_REASON_SIZE])
{
    const record_t *start =
        FvRecords_Find(records, RECORD_START, member, key, 0);

    if (start == NULL) {
        return true;
    }
    return report_violation(
        reason, "%s was reported as not_run but started on %s at %lld us",
        start->task, start->worker, (long long)start->at_us);
}

/**
 * FvRecordCheck_NoStartAfter - check that a worker receives no new tasks
 * @records: the records
 * @worker: its name
 * @at_us: wall clock; no start may be later
 * @reason: receives the first violation
 *
 * Return: true when there is no violation.
 */
bool
FvRecordCheck_NoStartAfter(const records_t *records, const char *worker,
                           int64_t at_us,
                           char reason[RECORD_CHECK_REASON_SIZE])
{
    for (size_t i = 0; i < records->count; i++) {
        const record_t *record = &records->entries[i];

        if (record->event == RECORD_START && record->at_us > at_us &&
            strcmp(record->worker, worker) == 0) {
            return report_violation(
                reason, "%s started on %s %lld us after %lld us", record->task,
                worker, (long long)(record->at_us - at_us), (long long)at_us);
        }
    }
    return true;
}

static void
insert_end(records_t *records, size_t index, const record_t *start,
           int64_t at_us)
{
    record_t *entries =
        realloc(records->entries, (records->count + 1) * sizeof(*entries));

    if (entries == NULL) {
        abort();
    }
    memmove(&entries[index + 1], &entries[index],
            (records->count - index) * sizeof(*entries));
    entries[index] = *start;
    entries[index].event = RECORD_STOPPED;
    entries[index].at_us = at_us;
    snprintf(entries[index].reason, sizeof(entries[index].reason), "died");
    records->entries = entries;
    records->count++;
}

/**
 * FvRecords_MarkWorkersKilled - insert the ends for a killed worker process
 * @records: complete; no further file may be read into them
 * @prefix: of the names of the process's workers
 * @at_us: wall clock of the kill
 */
void
FvRecords_MarkWorkersKilled(records_t *records, const char *prefix,
                            int64_t at_us)
{
    running_t running;
    record_t *starts;
    size_t index = 0;

    init_running(&running, records);
    while (index < records->count && records->entries[index].at_us <= at_us) {
        update_running(&running, &records->entries[index]);
        index++;
    }
    /* Copied, because an insertion moves the records. */
    starts = calloc(running.count + 1, sizeof(*starts));
    if (starts == NULL) {
        abort();
    }
    for (size_t i = 0; i < running.count; i++) {
        starts[i] = *running.starts[i];
    }
    for (size_t i = 0; i < running.count; i++) {
        if (strncmp(starts[i].worker, prefix, strlen(prefix)) == 0) {
            insert_end(records, index, &starts[i], at_us);
        }
    }
    free(starts);
    free(running.starts);
}
