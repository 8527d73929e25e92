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
 * the lease call whose answer was lost. */
#define Fv_LAPSE_GRANT_MARGIN_MS 1500

/* One round of questions to all hosts that are listed live. */
typedef struct fv_lapse_round {
    fv_run_ref_t *ref;
    int64_t begun_ms;
    int32_t pending;
    bool all_free;
    int64_t shortest_ms; /* since which the lease was free everywhere */
} fv_lapse_round_t;

static void
finish_round(fv_lapse_round_t *round)
{
    fv_run_t *run = FvRunRef_Find(round->ref);
    fv_run_task_t *task;
    int64_t free_ms;
    int64_t needed_ms;

    if (run == NULL || run->job->attempts != round->ref->attempt ||
        round->ref->index >= run->task_count) {
        return;
    }
    task = &run->tasks[round->ref->index];
    task->lapse_pending = false;
    free_ms = round->begun_ms - task->lapse_since_ms;
    if (!round->all_free || task->lapse_since_ms == 0 ||
        round->shortest_ms < free_ms) {
        task->lapse_since_ms = round->all_free ? round->begun_ms : 0;
        return;
    }
    needed_ms = run->runner->daemon->settings.lease_ttl_ms +
                Fv_LAPSE_GRANT_MARGIN_MS + Fv_LAPSE_STOP_MS +
                Fv_START_GRACE_MS;
    if (free_ms >= needed_ms && !FvRun_TaskSettled(task)) {
        FvLog_Event(Fv_LOG_INFO, "lease_lapsed",
                    "job=%s worker=%s free_ms=%lld", run->name, task->worker,
                    (long long)free_ms);
        task->state = Fv_TASK_STOPPED;
        FvRun_Settle(run);
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
 * FvLapse_Check - ask all hosts whether they may hold a worker's lease
 * @run: the job
 * @index: the task whose worker is meant
 *
 * Settles the task once two rounds, far enough apart, have shown that no
 * host held the lease in between. A host that is listed live but does not
 * answer keeps the task in doubt.
 */
void
FvLapse_Check(fv_run_t *run, int32_t index)
{
    fv_daemon_t *daemon = run->runner->daemon;
    fv_run_task_t *task = &run->tasks[index];
    fv_lapse_round_t *round;

    if (task->lapse_pending) {
        return;
    }
    round = calloc(1, sizeof(*round));
    if (round == NULL) {
        return;
    }
    task->lapse_pending = true;
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
