/*
 * When a watch asks the store for changes again. The load is a registry whose
 * entries all change every few seconds: the store charges for each call and
 * returns a limited number of changes, so that a watch has to gather changes
 * while it is current, and must not pause while it is behind.
 */

#include "entry.h"

/* A watch that has been behind for this long reads all keys anew, which
 * returns each key's latest value only. */
#define Fv_WATCH_BEHIND_MAX_MS 3000

/**
 * FvWatchPace_Reset - note that a complete reading has begun
 * @pace: the pace
 * @now_ms: the time
 */
void
FvWatchPace_Reset(fv_watch_pace_t *pace, int64_t now_ms)
{
    pace->current_at_ms = now_ms;
    pace->behind_since_ms = 0;
}

/**
 * FvWatchPace_Sent - note that a call for changes is sent
 * @pace: the pace
 * @known_revision: latest revision that any answer of the store had
 * @now_ms: the time
 */
void
FvWatchPace_Sent(fv_watch_pace_t *pace, int64_t known_revision, int64_t now_ms)
{
    pace->known_revision = known_revision;
    pace->sent_ms = now_ms;
}

/**
 * FvWatchPace_Answered - decide what follows an answer with changes
 * @pace: the pace
 * @revision: revision up to which the answer has the changes
 * @count: how many changes it has
 * @now_ms: the time
 *
 * An answer with changes that ends before a revision that was known when it
 * was requested is incomplete.
 *
 * Return: what to do.
 */
fv_watch_step_t
FvWatchPace_Answered(fv_watch_pace_t *pace, int64_t revision, uint32_t count,
                     int64_t now_ms)
{
    if (count == 0 || revision >= pace->known_revision) {
        pace->current_at_ms = pace->sent_ms;
        pace->behind_since_ms = 0;
        return Fv_WATCH_GATHER;
    }
    if (pace->behind_since_ms == 0) {
        pace->behind_since_ms = now_ms;
    }
    return now_ms - pace->behind_since_ms > Fv_WATCH_BEHIND_MAX_MS
               ? Fv_WATCH_READ_ALL
               : Fv_WATCH_CONTINUE;
}

/**
 * FvWatchPace_AgeMs - how old the oldest change may be that was not received
 * @pace: the pace
 * @now_ms: the time
 *
 * Return: the age; 0 before the first complete reading.
 */
int64_t
FvWatchPace_AgeMs(const fv_watch_pace_t *pace, int64_t now_ms)
{
    return pace->current_at_ms == 0 ? 0 : now_ms - pace->current_at_ms;
}
