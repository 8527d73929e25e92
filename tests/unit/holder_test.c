/*
 * A quarantined worker is probed again when the reservation for a probe is
 * removed before the probe started, by expiry or by release.
 */

#include "daemon.h"
#include "suite.h"

static void
test_removed_reservation_ends_probe(void)
{
    fv_daemon_t daemon = {.shares = FvShares_New(),
                          .accounts = FvAccounts_New()};
    fv_holder_t holder = {.daemon = &daemon, .placement = FvPlacement_New()};
    fv_managed_worker_t managed = {.holder = &holder,
                                   .worker = FvWorker_New("w1")};
    fv_resources_t capacity = {
        .cpu_millis = 4000, .memory_bytes = 1 << 30, .slots = 8};
    fv_task_t task = {.id = "m:k:1:0",
                      .member = "m",
                      .state = Fv_TASK_RESERVED,
                      .size = {.cpu_millis = 1000, .slots = 1}};
    fv_quarantine_t *quarantine = &managed.worker->quarantine;
    fv_task_t *entry;

    FvWorker_SetCapacity(managed.worker, &capacity);
    quarantine->probing = true;
    entry = FvHolder_AddTask(&managed, &task);
    CU_ASSERT_PTR_NOT_NULL_FATAL(entry);
    FvHolder_RemoveTask(&managed, entry);
    CU_ASSERT_FALSE(quarantine->probing);

    /* A task that has started ends the probe by its outcome. */
    quarantine->probing = true;
    task.state = Fv_TASK_RUNNING;
    entry = FvHolder_AddTask(&managed, &task);
    CU_ASSERT_PTR_NOT_NULL_FATAL(entry);
    FvHolder_RemoveTask(&managed, entry);
    CU_ASSERT_TRUE(quarantine->probing);

    FvWorker_Free(managed.worker);
    FvPlacement_Free(holder.placement);
    FvAccounts_Free(daemon.accounts);
    FvShares_Free(daemon.shares);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a probe that never started keeps its worker quarantined",
         test_removed_reservation_ends_probe},
    };

    return Fv_RUN_SUITE("holder", cases);
}
