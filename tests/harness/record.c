/*
 * Writes and reads the event records of fake-worker.
 */

#include "record.h"

#include <stdlib.h>
#include <string.h>

static const char *const event_names[RECORD_EVENT_COUNT] = {
    "granted", "released", "lapsed", "start", "end", "stopped", "refused"};

/**
 * FvRecord_EventName - name of an event
 * @event: the event
 *
 * Return: the name used in the file.
 */
const char *
FvRecord_EventName(record_event_t event)
{
    return event_names[event];
}

/**
 * FvRecord_ResourcesToJson - encode RESOURCES of the worker protocol
 * @resources: the amounts
 *
 * Return: a new object.
 */
json_t *
FvRecord_ResourcesToJson(const fv_resources_t *resources)
{
    return json_pack("{s:I, s:I, s:i, s:i}", "cpu_millis",
                     (json_int_t)resources->cpu_millis, "memory_bytes",
                     (json_int_t)resources->memory_bytes, "accelerators",
                     resources->accelerators, "slots", resources->slots);
}

static int64_t
read_int(const json_t *object, const char *name)
{
    return json_integer_value(json_object_get(object, name));
}

/**
 * FvRecord_ResourcesFromJson - decode RESOURCES; absent fields are 0
 * @object: the object, or NULL
 * @resources: filled in
 */
void
FvRecord_ResourcesFromJson(const json_t *object, fv_resources_t *resources)
{
    resources->cpu_millis = read_int(object, "cpu_millis");
    resources->memory_bytes = read_int(object, "memory_bytes");
    resources->accelerators = (int32_t)read_int(object, "accelerators");
    resources->slots = (int32_t)read_int(object, "slots");
}

/**
 * FvRecord_Write - append one line and flush it
 * @file: the file, or NULL to write nothing
 * @record: the event
 */
void
FvRecord_Write(FILE *file, const record_t *record)
{
    json_t *line;

    if (file == NULL) {
        return;
    }
    line = json_pack(
        "{s:I, s:s, s:s, s:s, s:s, s:s, s:s, s:I, s:s, s:s, s:o, s:o, s:i, "
        "s:i}",
        "at_us", (json_int_t)record->at_us, "event",
        event_names[record->event], "worker", record->worker, "task",
        record->task, "member", record->member, "workload", record->workload,
        "key", record->key, "term", (json_int_t)record->term, "holder",
        record->holder, "reason", record->reason, "size",
        FvRecord_ResourcesToJson(&record->size), "sum",
        FvRecord_ResourcesToJson(&record->allocated), "slots_used",
        record->slots_used, "connections", record->connections);
    json_dumpf(line, file, JSON_COMPACT);
    fputc('\n', file);
    fflush(file);
    json_decref(line);
}

static void
read_text(const json_t *object, const char *name, char *target, size_t size)
{
    const char *text = json_string_value(json_object_get(object, name));

    snprintf(target, size, "%s", text != NULL ? text : "");
}

static bool
parse_event(const json_t *object, record_event_t *event)
{
    const char *name = json_string_value(json_object_get(object, "event"));

    for (int i = 0; name != NULL && i < RECORD_EVENT_COUNT; i++) {
        if (strcmp(name, event_names[i]) == 0) {
            *event = (record_event_t)i;
            return true;
        }
    }
    return false;
}

static bool
parse_record(const json_t *object, record_t *record)
{
    *record = (record_t){0};
    if (!parse_event(object, &record->event)) {
        return false;
    }
    record->at_us = read_int(object, "at_us");
    read_text(object, "worker", record->worker, sizeof(record->worker));
    read_text(object, "task", record->task, sizeof(record->task));
    read_text(object, "member", record->member, sizeof(record->member));
    read_text(object, "workload", record->workload, sizeof(record->workload));
    read_text(object, "key", record->key, sizeof(record->key));
    record->term = (uint64_t)read_int(object, "term");
    read_text(object, "holder", record->holder, sizeof(record->holder));
    read_text(object, "reason", record->reason, sizeof(record->reason));
    FvRecord_ResourcesFromJson(json_object_get(object, "size"), &record->size);
    FvRecord_ResourcesFromJson(json_object_get(object, "sum"),
                               &record->allocated);
    record->slots_used = (int32_t)read_int(object, "slots_used");
    record->connections = (int32_t)read_int(object, "connections");
    return true;
}

static bool
append_line(records_t *records, const char *line, size_t length)
{
    json_t *object = json_loadb(line, length, 0, NULL);
    record_t *grown;
    bool valid;

    if (records->count % 256 == 0) {
        grown =
            realloc(records->entries, (records->count + 256) * sizeof(*grown));
        if (grown == NULL) {
            abort();
        }
        records->entries = grown;
    }
    valid = object != NULL &&
            parse_record(object, &records->entries[records->count]);
    records->count += valid;
    json_decref(object);
    return valid;
}

static int
compare_records(const void *a, const void *b)
{
    int64_t first = ((const record_t *)a)->at_us;
    int64_t second = ((const record_t *)b)->at_us;

    return (first > second) - (first < second);
}

/**
 * FvRecords_Read - append the records of a file and order all by time
 * @records: zeroed before the first call; freed with FvRecords_Free()
 * @path: the file; a line that is still being written is left out
 *
 * Return: false when the file cannot be read or a complete line is malformed.
 */
bool
FvRecords_Read(records_t *records, const char *path)
{
    FILE *file = fopen(path, "r");
    char *line = NULL;
    size_t size = 0;
    ssize_t length;
    bool valid = true;

    if (file == NULL) {
        return false;
    }
    while ((length = getline(&line, &size, file)) > 0 &&
           line[length - 1] == '\n') {
        valid = append_line(records, line, (size_t)length) && valid;
    }
    free(line);
    fclose(file);
    /* Times within a file are distinct, so its order is kept. */
    if (records->count > 1) {
        qsort(records->entries, records->count, sizeof(*records->entries),
              compare_records);
    }
    return valid;
}

/**
 * FvRecords_Free - release the records
 * @records: the records; empty afterwards
 */
void
FvRecords_Free(records_t *records)
{
    free(records->entries);
    records->entries = NULL;
    records->count = 0;
}
