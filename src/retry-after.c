/*
 * Values of Retry-After for refused calls. They grow with the cause of the
 * refusal and are spread, so that the callers that one outage or one backlog
 * has refused do not all come back at the same moment.
 */

#include "retry-after.h"

#include <stdio.h>

/* Callers repeat a call four times at most. With these values the last
 * repetition of a call that was refused at the beginning of an outage comes
 * 7 s later or more (1 + 1 + 2 + 3 s), and an outage lasts up to 6 s. */
#define Fv_RETRY_AFTER_MIN_MS 1000
#define Fv_OUTAGE_WAIT_SHARE 0.4
#define Fv_OUTAGE_WAIT_MAX_MS 4000

/* Half of the wait is added at random, but at least one second, since the
 * header holds whole seconds. */
#define Fv_RETRY_AFTER_SPREAD 0.5

/* Limit of a base, before the spread. */
#define Fv_RETRY_AFTER_MAX_MS 60000

/**
 * FvRetryAfter_OutageMs - after which time to repeat a call that an outage has
 * refused
 * @age_ms: for how long the outage has lasted
 *
 * Return: the base for FvRetryAfter_Format() in ms.
 */
int64_t
FvRetryAfter_OutageMs(int64_t age_ms)
{
    int64_t wait_ms = Fv_RETRY_AFTER_MIN_MS +
                      (int64_t)((double)age_ms * Fv_OUTAGE_WAIT_SHARE);

    return wait_ms < Fv_OUTAGE_WAIT_MAX_MS ? wait_ms : Fv_OUTAGE_WAIT_MAX_MS;
}

/**
 * FvRetryAfter_Format - format a value of Retry-After
 * @wait_ms: earliest time at which the call may succeed, from now
 * @random: a random number, which spreads the value
 * @text: receives the value, in whole seconds
 *
 * Return: @text->text.
 */
const char *
FvRetryAfter_Format(int64_t wait_ms, uint32_t random, fv_retry_after_t *text)
{
    int64_t base_ms = wait_ms < Fv_RETRY_AFTER_MIN_MS   ? Fv_RETRY_AFTER_MIN_MS
                      : wait_ms > Fv_RETRY_AFTER_MAX_MS ? Fv_RETRY_AFTER_MAX_MS
                                                        : wait_ms;
    uint32_t base_s = (uint32_t)((base_ms + Fv_MS_PER_S / 2) / Fv_MS_PER_S);
    uint32_t spread_s = (uint32_t)((double)base_s * Fv_RETRY_AFTER_SPREAD);

    spread_s = spread_s > 0 ? spread_s : 1;
    snprintf(text->text, sizeof(text->text), "%u",
             base_s + random % (spread_s + 1));
    return text->text;
}
