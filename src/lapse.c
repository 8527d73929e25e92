/*
 * Proof that a worker's lease has expired, needed before exclusive work is
 * started again while its worker can't be reached: when no host has held the
 * lease for long enough, the worker has stopped the task by itself.
 */

#include "runner.h"

#include <stdlib.h>
#include <string.h>

#define Fv_LAPSE_QUERY_TIMEOUT_MS 1000
/* A grant may be this much younger than its holder knows: the time limit of
 * a lease call. */
#define Fv_LAPSE_GRANT_MARGIN_MS 1500

/* One round of questions to all hosts that are listed live. */
typedef struct fv_lapse_round {
    fv_run_ref_t *ref;
    int64_t begun_ms;
    int32_t pending;
    bool all_free;
    int64_t shortest_ms; /* since which the lease was free everywhere */
} fv_lapse_round_t;

/* From the end of a lease, as its holder knows it, until the worker has
 * surely stopped the tasks under it. */
static int64_t
stop_delay_ms(void)
{
    return Fv_LAPSE_GRANT_MARGIN_MS + Fv_EXPIRY_STOP_MS + Fv_START_GRACE_MS;
}

/* A host that left the list can't be asked; it may have renewed until then,
 * as may one that left before this host started. */
static bool
silent_holders_expired(const fv_daemon_t *daemon, int64_t now_ms)
{
    int64_t needed_ms = daemon->settings.lease_ttl_ms + stop_delay_ms();

    if (now_ms - daemon->started_ms < needed_ms) {
        return false;
    }
    for (uint32_t i = 0; i < daemon->hosts.count; i++) {
        const fv_host_t *host = daemon->hosts.entries[i];

        if (host != daemon->self && !host->listed &&
            now_ms - host->unlisted_since_ms < needed_ms) {
            return false;
        }
    }
    return true;
}

static void
finish_round(fv_lapse_round_t *round)
{
    fv_run_t *run = FvRunRef_Find(round->ref);
    int64_t now_ms = FvClock_NowMs();
    int64_t needed_ms = stop_delay_ms() + now_ms - round->begun_ms;
    fv_run_task_t *task;

    if (run == NULL || run->job->attempts != round->ref->attempt ||
        round->ref->index >= run->task_count) {
        return;
    }
    task = &run->tasks[round->ref->index];
    task->expiry_check_pending = false;
    if (round->all_free && round->shortest_ms >= needed_ms &&
        silent_holders_expired(run->runner->daemon, now_ms) &&
        !FvRunTask_IsFinal(task)) {
        FvLog_Event(Fv_LOG_INFO, "lease_lapsed",
                    "job=%s worker=%s free_ms=%lld", run->name, task->worker,
                    (long long)round->shortest_ms);
        task->state = Fv_TASK_STOPPED;
        FvRun_Reconcile(run);
    }
}

static void
receive_lease_state(void *context, fv_link_error_t error,
                    fv_message_t *message)
{
    fv_lapse_round_t *round = context;

    if (error != Fv_LINK_OK || message->type != Fv_MESSAGE_LEASE_STATE ||
        message->body.lease_state.held) {
        round->all_free = false;
    }
    else if (message->body.lease_state.lapsed_ms < round->shortest_ms) {
        round->shortest_ms = message->body.lease_state.lapsed_ms;
    }
    if (--round->pending > 0) {
        return;
    }
    finish_round(round);
    free(round->ref);
    free(round);
}

/**
 * FvLeaseExpiry_Check - ask all hosts whether they may hold a worker's lease
 * @run: the job
 * @index: the task whose worker is meant
 *
 * Settles the task when no host has held the lease for long enough that the
 * worker has stopped the task. A host that is listed but does not answer
 * keeps the task in doubt.
 */
void
FvLeaseExpiry_Check(fv_run_t *run, int32_t index)
{
    fv_daemon_t *daemon = run->runner->daemon;
    fv_run_task_t *task = &run->tasks[index];
    fv_lapse_round_t *round;

    if (task->expiry_check_pending) {
        return;
    }
    round = calloc(1, sizeof(*round));
    if (round == NULL) {
        return;
    }
    task->expiry_check_pending = true;
    round->ref = FvRunRef_New(run, index);
    round->begun_ms = FvClock_NowMs();
    round->all_free = true;
    round->shortest_ms = INT64_MAX;
    round->pending = 1;
    for (uint32_t i = 0; i < daemon->hosts.count; i++) {
        const fv_host_t *host = daemon->hosts.entries[i];
        fv_message_t message = {.type = Fv_MESSAGE_LEASE_QUERY};

        if (host != daemon->self && !host->listed) {
            continue;
        }
        FvText_Copy(message.body.task_request.worker, Fv_NAME_SIZE,
                    task->worker);
        round->pending++;
        FvPeers_Call(daemon->peers, host->name, &message,
                     Fv_LAPSE_QUERY_TIMEOUT_MS, receive_lease_state, round);
    }
    /* The first count stands for this loop itself. */
    if (--round->pending == 0) {
        finish_round(round);
        free(round->ref);
        free(round);
    }
}
