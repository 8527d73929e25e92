/*
 * Values of Retry-After for refused calls.
 */

#ifndef RETRY_AFTER_H
#define RETRY_AFTER_H

#include "fireflyvalve.h"

typedef struct fv_retry_after {
    char text[12]; /* whole seconds */
} fv_retry_after_t;

int64_t FvRetryAfter_OutageMs(int64_t age_ms);
const char *FvRetryAfter_Format(int64_t wait_ms, uint32_t random,
                                fv_retry_after_t *text);

#endif
