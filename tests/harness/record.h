/*
 * Event records of fake-worker: one JSON line for each event, in the order
 * of the state changes.
 */

#ifndef RECORD_H
#define RECORD_H

#include "fireflyvalve.h"

typedef enum record_event {
    RECORD_LEASE_GRANTED,
    RECORD_LEASE_RELEASED,
    RECORD_LEASE_EXPIRED,
    RECORD_START,
    RECORD_END,
    RECORD_STOPPED,
    RECORD_REFUSED,
    RECORD_EVENT_COUNT
} record_event_t;

typedef struct record {
    int64_t at_us; /* wall clock */
    record_event_t event;
    char worker[Fv_NAME_SIZE];
    char task[Fv_TASK_ID_SIZE];
    char member[Fv_NAME_SIZE];
    char workload[Fv_NAME_SIZE];
    char key[Fv_KEY_SIZE];
    uint64_t term; /* of the lease, or of the start request */
    char holder[Fv_NAME_SIZE];
    char reason[Fv_REASON_SIZE]; /* end: done or failed; refused: why */
    fv_resources_t size;
    fv_resources_t allocated; /* to running tasks, after the event */
    int32_t slots_used;
    int32_t connections;
} record_t;

/* The records of one or more files, ordered by time. */
typedef struct records {
    record_t *entries;
    size_t count;
} records_t;

const char *FvRecord_EventName(record_event_t event);
json_t *FvRecord_ResourcesToJson(const fv_resources_t *resources);
void FvRecord_ResourcesFromJson(const json_t *object,
                                fv_resources_t *resources);
void FvRecord_Write(FILE *file, const record_t *record);
bool FvRecords_Read(records_t *records, const char *path);
void FvRecords_Free(records_t *records);

#endif
