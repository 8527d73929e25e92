/*
 * The end of an entry host's process after SIGTERM: it gives up leadership and
 * serves until nothing is unfinished. What is open when three quarters of its
 * time are over is answered with what is known then.
 */

#include "entry-drain.h"

#include <inttypes.h>

#define Fv_DRAIN_CHECK_MS 50

/* The load balancer needs two failed checks, one a second, to stop sending
 * connections. */
#define Fv_DRAIN_UNREADY_MS 2300

/* A leader that has not finished its handover by then resigns anyway. Allows
 * for the longest stop of a run in the deployments (0.9 s), its round trip and
 * two writes to a slow store. */
#define Fv_DRAIN_HANDOVER_MAX_MS 2000

/* Shares of the time from SIGTERM until the process is killed. */
#define Fv_DRAIN_UNREADY_MAX_SHARE 0.4
#define Fv_DRAIN_HANDOVER_MAX_SHARE 0.34
#define Fv_DRAIN_ANSWER_SHARE 0.75
#define Fv_DRAIN_END_SHARE 0.875

typedef struct fv_unfinished {
    bool accepting;
    uint32_t open_requests;
    uint32_t links;
    fv_caller_traffic_t traffic;
} fv_unfinished_t;

static int64_t
share_of(int32_t drain_ms, double share, int64_t max_ms)
{
    int64_t part_ms = (int64_t)(drain_ms * share);

    return part_ms < max_ms ? part_ms : max_ms;
}

/**
 * FvEntryDrain_NextStep - decide what to do at this time of a drain
 * @drain_ms: from SIGTERM until the process is killed
 * @draining_ms: since SIGTERM
 * @finished: whether nothing is left to be done for callers and other hosts
 *
 * Return: the step.
 */
fv_drain_step_t
FvEntryDrain_NextStep(int32_t drain_ms, int64_t draining_ms, bool finished)
{
    if (draining_ms >= share_of(drain_ms, Fv_DRAIN_END_SHARE, INT64_MAX)) {
        return Fv_DRAIN_END;
    }
    if (draining_ms <
        share_of(drain_ms, Fv_DRAIN_UNREADY_MAX_SHARE, Fv_DRAIN_UNREADY_MS)) {
        return Fv_DRAIN_SERVE;
    }
    if (finished) {
        return Fv_DRAIN_END;
    }
    return draining_ms >= share_of(drain_ms, Fv_DRAIN_ANSWER_SHARE, INT64_MAX)
               ? Fv_DRAIN_ANSWER
               : Fv_DRAIN_FINISH;
}

static void
measure(const fv_entry_t *entry, fv_unfinished_t *unfinished)
{
    unfinished->accepting = FvFrontend_IsAccepting(entry->frontend);
    unfinished->open_requests = FvFrontend_OpenRequests(entry->frontend);
    unfinished->links = FvLinks_Unfinished(entry->links);
    FvFrontend_CountTraffic(entry->frontend, &unfinished->traffic);
}

static bool
is_finished(const fv_unfinished_t *unfinished)
{
    const fv_caller_traffic_t *traffic = &unfinished->traffic;

    return !unfinished->accepting && unfinished->open_requests == 0 &&
           unfinished->links == 0 && traffic->receiving == 0 &&
           traffic->unwritten == 0 && traffic->unacknowledged == 0;
}

static void
end_process(fv_entry_t *entry, int64_t draining_ms,
            const fv_unfinished_t *unfinished)
{
    const fv_caller_traffic_t *traffic = &unfinished->traffic;

    FvLog_Event(is_finished(unfinished) ? Fv_LOG_INFO : Fv_LOG_WARN, "stopped",
                "after_ms=%" PRId64 " open_requests=%u connections=%u "
                "receiving=%u unwritten=%u unacknowledged=%u links=%u",
                draining_ms, unfinished->open_requests, traffic->connections,
                traffic->receiving, traffic->unwritten,
                traffic->unacknowledged, unfinished->links);
    event_base_loopbreak(entry->base);
}

/**
 * FvEntryDrain_Check - take the next step of the drain
 * @entry: this process, after FvEntryDrain_Start()
 */
void
FvEntryDrain_Check(fv_entry_t *entry)
{
    int32_t drain_ms = entry->settings.drain_ms;
    int64_t draining_ms = FvClock_NowMs() - entry->drain_started_ms;
    fv_unfinished_t unfinished;
    fv_drain_step_t step;

    if (entry->leader != NULL &&
        draining_ms >= share_of(drain_ms, Fv_DRAIN_HANDOVER_MAX_SHARE,
                                Fv_DRAIN_HANDOVER_MAX_MS)) {
        FvElection_Resign(entry->election, INT32_MAX, "shutdown_unprepared");
    }
    measure(entry, &unfinished);
    step =
        FvEntryDrain_NextStep(drain_ms, draining_ms, is_finished(&unfinished));
    if (step == Fv_DRAIN_END && unfinished.open_requests > 0 &&
        !entry->drain_answered) {
        /* This process was suspended; it ends once the replies had a chance
         * to be written. */
        step = Fv_DRAIN_ANSWER;
    }
    switch (step) {
    case Fv_DRAIN_FINISH:
        FvFrontend_StopAccepting(entry->frontend, false);
        break;
    case Fv_DRAIN_ANSWER:
        entry->drain_answered = true;
        FvFrontend_StopAccepting(entry->frontend, true);
        FvFrontend_AnswerAll(entry->frontend);
        break;
    case Fv_DRAIN_END:
        end_process(entry, draining_ms, &unfinished);
        break;
    case Fv_DRAIN_SERVE:
    default:
        break;
    }
}

/**
 * FvEntryDrain_Start - begin to end the process; later calls do nothing
 * @entry: this process
 * @signal: the signal that it received
 */
void
FvEntryDrain_Start(fv_entry_t *entry, int signal)
{
    struct timeval interval = {.tv_usec = Fv_DRAIN_CHECK_MS * Fv_US_PER_MS};

    if (entry->drain_started_ms != 0) {
        return;
    }
    entry->drain_started_ms = FvClock_NowMs();
    FvLog_Event(Fv_LOG_INFO, "stopping", "signal=%d open_requests=%u", signal,
                FvFrontend_OpenRequests(entry->frontend));
    FvFrontend_Drain(entry->frontend);
    if (entry->leader != NULL) {
        FvLeader_HandOver(entry->leader);
    }
    else {
        FvElection_Resign(entry->election, INT32_MAX, "shutdown");
    }
    event_add(entry->drain, &interval);
}
