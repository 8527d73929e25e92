/*
 * Checks of fake-worker's records. Each function looks for one kind of
 * violation and describes the first that it finds.
 */

#ifndef RECORD_CHECK_H
#define RECORD_CHECK_H

#include "record.h"

#define RECORD_CHECK_REASON_SIZE 512

/* Every check returns true when there is no violation; otherwise REASON
 * receives a description of the first. NULL for MEMBER or WORKLOAD matches
 * all. */

bool FvRecordCheck_Capacity(const records_t *records,
                            const fv_resources_t *capacity, int connections,
                            char reason[RECORD_CHECK_REASON_SIZE]);
bool FvRecordCheck_NoCapacityRefusals(const records_t *records,
                                      char reason[RECORD_CHECK_REASON_SIZE]);
bool FvRecordCheck_Exclusive(const records_t *records, const char *member,
                             const char *workload,
                             char reason[RECORD_CHECK_REASON_SIZE]);
bool FvRecordCheck_StartsAtMostOnce(const records_t *records,
                                    const char *member, const char *workload,
                                    char reason[RECORD_CHECK_REASON_SIZE]);
bool FvRecordCheck_NeverStarted(const records_t *records, const char *member,
                                const char *key,
                                char reason[RECORD_CHECK_REASON_SIZE]);
bool FvRecordCheck_NoStartAfter(const records_t *records, const char *worker,
                                int64_t at_us,
                                char reason[RECORD_CHECK_REASON_SIZE]);

/* Records of one job. */
int FvRecords_CountStarts(const records_t *records, const char *member,
                          const char *key);
const record_t *FvRecords_Find(const records_t *records, record_event_t event,
                               const char *member, const char *key, int nth);

/* A killed worker process records no ends; this inserts them. */
void FvRecords_MarkWorkersKilled(records_t *records, const char *prefix,
                                 int64_t at_us);

#endif
