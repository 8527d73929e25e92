/*
 * Keeps work away from a worker that fails every task, and probes it with one
 * task at a time.
 */

#include "fireflyvalve.h"

#define FAILURES_TO_QUARANTINE 5
#define PROBE_DELAY_MIN_MS 10000
#define PROBE_DELAY_MAX_MS 300000

/* A probe whose result never arrives must not exclude the worker for ever;
   after this time another one is allowed. */
#define PROBE_TIMEOUT_MS 300000

/**
 * FvQuarantine_AllowsTask - whether the worker may get a task now
 * @quarantine: the worker's state
 * @now_ms: boot time
 *
 * Return: true when it is not quarantined or its next probe is due.
 */
bool
FvQuarantine_AllowsTask(const fv_quarantine_t *quarantine, int64_t now_ms)
{
    return quarantine->backoff_ms == 0 || now_ms >= quarantine->next_probe_ms;
}

/**
 * FvQuarantine_RecordStart - record that the worker got a task
 * @quarantine: the worker's state
 * @now_ms: boot time
 *
 * Call it when the task is reserved: a quarantined worker then accepts no
 * second probe before the first one ended.
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
 * Return: true when the worker enters quarantine or a probe failed.
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
        return false; /* a task from before the quarantine */
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
 * FvQuarantine_AbortProbe - record that a probe ended without a verdict
 * @quarantine: the worker's state
 *
 * For a reservation that expired, or a task that was cancelled: the next task
 * probes the worker at once.
 */
void
FvQuarantine_AbortProbe(fv_quarantine_t *quarantine)
{
    if (quarantine->probing) {
        quarantine->probing = false;
        quarantine->next_probe_ms = 0;
    }
}
