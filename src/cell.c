/*
 * Cell-wide capacity checks from the digests of all hosts.
 */

#include "daemon.h"

static bool
fits_idle_worker(const fv_policy_t *policy, const fv_resources_t *capacity,
                 const fv_resources_t *size)
{
    fv_worker_t idle = {.capacity = *capacity, .free = *capacity};
    fv_resources_t usable;

    policy->usable(&idle, &usable);
    return FvResources_Fits(size, &usable);
}

/**
 * FvCell_CanEverFit - whether a task fits on some worker of the cell when idle
 * @daemon: the daemon
 * @workload: the task's workload
 *
 * A worker of unknown capacity counts as large enough, so the answer is
 * negative only when live hosts hold the leases of all listed workers.
 *
 * Return: false when no worker is large enough.
 */
bool
FvCell_CanEverFit(const fv_daemon_t *daemon, const fv_workload_t *workload)
{
    const fv_policy_t *policy = FvPolicy_ForClass(workload->class_id);
    int64_t now_ms = FvClock_NowMs();
    uint32_t held = 0;

    for (uint32_t i = 0; i < daemon->hosts.count; i++) {
        const fv_host_t *host = daemon->hosts.entries[i];

        if (!FvHost_IsAlive(host, daemon->self, now_ms)) {
            continue;
        }
        held += (uint32_t)host->digest.held_leases;
        if (fits_idle_worker(policy, &host->digest.largest_capacity,
                             &workload->size)) {
            return true;
        }
    }
    return held == 0 || held < FvHolder_CountListed(daemon->holder);
}
