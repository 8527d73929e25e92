/*
 * Quarantine of a worker on which several tasks in a row have failed. A
 * quarantined worker gets one task at a time as a probe, with exponential
 * backoff between probes.
 */

#include "fireflyvalve.h"

#define FAILURES_TO_QUARANTINE 5
#define PROBE_DELAY_MIN_MS 10000
#define PROBE_DELAY_MAX_MS 300000

/* A probe whose result is lost must not exclude the worker forever; another
   probe is allowed after this time. */
#define PROBE_TIMEOUT_MS 300000

/**
 * FvQuarantine_AllowsTask - whether the worker may get a task now
 * @quarantine: the worker's state
 * @now_ms: boot time
 *
 * Return: true if it is not quarantined or its next probe is due.
 */
bool
FvQuarantine_AllowsTask(const fv_quarantine_t *quarantine, int64_t now_ms)
{
    return quarantine->backoff_ms == 0 || now_ms >= quarantine->next_probe_ms;
}

/**
 * FvQuarantine_RecordStart - record that a task was assigned to the worker
 * @quarantine: the worker's state
 * @now_ms: boot time
 *
 * To be called when the task is reserved, so that a quarantined worker gets no
 * second probe before the first one has ended.
 */
void
FvQuarantine_RecordStart(fv_quarantine_t *quarantine, int64_t now_ms)
{
    if (quarantine->backoff_ms > 0) {
        quarantine->probing = true;
        quarantine->next_probe_ms = now_ms + PROBE_TIMEOUT_MS;
    }
}

/**
 * FvQuarantine_RecordFailure - record that a task failed on the worker
 * @quarantine: the worker's state
 * @now_ms: boot time
 *
 * Return: true if the worker enters quarantine or its probe failed.
 */
bool
FvQuarantine_RecordFailure(fv_quarantine_t *quarantine, int64_t now_ms)
{
    quarantine->consecutive_failures++;
    if (quarantine->backoff_ms == 0) {
        if (quarantine->consecutive_failures < FAILURES_TO_QUARANTINE) {
            return false;
        }
        quarantine->backoff_ms = PROBE_DELAY_MIN_MS;
    }
    else if (quarantine->probing) {
        quarantine->backoff_ms =
            quarantine->backoff_ms * 2 < PROBE_DELAY_MAX_MS
                ? quarantine->backoff_ms * 2
                : PROBE_DELAY_MAX_MS;
    }
    else {
        return false; /* the task started before the quarantine */
    }
    quarantine->probing = false;
    quarantine->next_probe_ms = now_ms + quarantine->backoff_ms;
    return true;
}

/**
 * FvQuarantine_RecordSuccess - record that a task succeeded on the worker
 * @quarantine: the worker's state
 */
void
FvQuarantine_RecordSuccess(fv_quarantine_t *quarantine)
{
    *quarantine = (fv_quarantine_t){0};
}

/**
 * FvQuarantine_AbortProbe - record that a probe ended without a result
 * @quarantine: the worker's state
 *
 * For a reservation that expired or a task that was cancelled. Another probe
 * is allowed immediately.
 */
void
FvQuarantine_AbortProbe(fv_quarantine_t *quarantine)
{
    if (quarantine->probing) {
        quarantine->probing = false;
        quarantine->next_probe_ms = 0;
    }
}
