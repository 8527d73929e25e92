/*
 * Lease expiry check for workers that can't be reached. An exclusive task is
 * started again only when every listed host has reported that it does not hold
 * the worker's lease, and the last lease expired so long ago that the worker
 * must have stopped the task by itself.
 */

#include "runner.h"

#include <stdlib.h>
#include <string.h>

#define Fv_EXPIRY_QUERY_TIMEOUT_MS 1000
/* The holder counts a lease from sending the call, but the worker may grant it
 * later, up to the timeout of a lease call. */
#define Fv_EXPIRY_GRANT_MARGIN_MS 1500

/* One query of a worker's lease state to this host and all listed hosts. */
typedef struct fv_expiry_check {
    fv_run_ref_t *ref;
    int64_t begun_ms;
    int32_t pending;
    bool free_everywhere;
    int64_t shortest_free_ms; /* since any host may have held the lease */
} fv_expiry_check_t;

/* Time from the end of a lease at its holder until the worker has certainly
 * stopped the tasks that depend on the lease. */
static int64_t
stop_delay_ms(void)
{
    return Fv_EXPIRY_GRANT_MARGIN_MS + Fv_EXPIRY_STOP_MS + Fv_START_GRACE_MS;
}

/* Whether no unlisted host can still hold a lease. Unlisted hosts can't be
 * queried and may have renewed leases until they left the list. Those that
 * left before this host started are unknown, so this host must have run for
 * the same time. */
static bool
unlisted_hosts_leases_expired(const fv_daemon_t *daemon, int64_t now_ms)
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
finish_check(fv_expiry_check_t *check)
{
    fv_run_t *run = FvRunRef_Find(check->ref);
    int64_t now_ms = FvClock_NowMs();
    int64_t needed_ms = stop_delay_ms() + now_ms - check->begun_ms;
    fv_run_task_t *task;

    if (run == NULL || run->job->attempts != check->ref->attempt ||
        check->ref->index >= run->task_count) {
        return;
    }
    task = &run->tasks[check->ref->index];
    task->expiry_check_pending = false;
    if (check->free_everywhere && check->shortest_free_ms >= needed_ms &&
        unlisted_hosts_leases_expired(run->runner->daemon, now_ms) &&
        !FvRunTask_IsTerminal(task)) {
        FvLog_Event(Fv_LOG_INFO, "lease_lapsed",
                    "job=%s worker=%s free_ms=%lld", run->name, task->worker,
                    (long long)check->shortest_free_ms);
        task->state = Fv_TASK_STOPPED;
        FvRun_Reconcile(run);
    }
}

static void
receive_lease_state(void *context, fv_link_error_t error,
                    fv_message_t *message)
{
    fv_expiry_check_t *check = context;

    if (error != Fv_LINK_OK || message->type != Fv_MESSAGE_LEASE_STATE ||
        message->body.lease_state.held) {
        check->free_everywhere = false;
    }
    else if (message->body.lease_state.expired_for_ms <
             check->shortest_free_ms) {
        check->shortest_free_ms = message->body.lease_state.expired_for_ms;
    }
    if (--check->pending > 0) {
        return;
    }
    finish_check(check);
    free(check->ref);
    free(check);
}

/**
 * FvLeaseExpiry_Check - query all hosts for the state of a worker's lease
 * @run: the job
 * @index: the task that may run on the worker
 *
 * Marks the task as stopped once the lease has been expired for long enough
 * that the worker must have stopped it. The task stays unconfirmed while a
 * listed host does not reply.
 */
void
FvLeaseExpiry_Check(fv_run_t *run, int32_t index)
{
    fv_daemon_t *daemon = run->runner->daemon;
    fv_run_task_t *task = &run->tasks[index];
    fv_expiry_check_t *check;

    if (task->expiry_check_pending) {
        return;
    }
    check = calloc(1, sizeof(*check));
    if (check == NULL) {
        return;
    }
    task->expiry_check_pending = true;
    check->ref = FvRunRef_New(run, index);
    check->begun_ms = FvClock_NowMs();
    check->free_everywhere = true;
    check->shortest_free_ms = INT64_MAX;
    check->pending = 1;
    for (uint32_t i = 0; i < daemon->hosts.count; i++) {
        const fv_host_t *host = daemon->hosts.entries[i];
        fv_message_t message = {.type = Fv_MESSAGE_LEASE_QUERY};

        if (host != daemon->self && !host->listed) {
            continue;
        }
        FvText_Copy(message.body.task_request.worker, Fv_NAME_SIZE,
                    task->worker);
        check->pending++;
        FvPeers_Call(daemon->peers, host->name, &message,
                     Fv_EXPIRY_QUERY_TIMEOUT_MS, receive_lease_state, check);
    }
    /* The count started at 1, so that replies during the loop could not finish
     * the check. */
    if (--check->pending == 0) {
        finish_check(check);
        free(check->ref);
        free(check);
    }
}
