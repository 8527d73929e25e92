/*
 * A choice is never an unfit worker and is found whenever there is one;
 * lookups keep their headroom; services spread over racks.
 */

#include "fixture.h"
#include "suite.h"

#define WORKERS 200
#define STEPS 20000
#define NOW Fv_FIXTURE_NOW_MS

static const fv_resources_t capacity = {
    .cpu_millis = 32000, .memory_bytes = 128 * Fv_GIB, .slots = 8};
static const fv_resources_t small = {
    .cpu_millis = 500, .memory_bytes = Fv_GIB, .slots = 1};

static void
make_cell(fv_placement_t *placement, fv_worker_t **workers, uint32_t count)
{
    for (uint32_t i = 0; i < count; i++) {
        workers[i] = FvFixture_Worker(i, 8, &capacity);
        CU_ASSERT_TRUE(FvPlacement_Add(placement, workers[i]));
    }
}

static void
free_cell(fv_placement_t *placement, fv_worker_t **workers, uint32_t count)
{
    for (uint32_t i = 0; i < count; i++) {
        FvPlacement_Remove(placement, workers[i]);
        FvWorker_Free(workers[i]);
    }
    FvPlacement_Free(placement);
}

/* The index is not told of the changes. */
static void
test_unfit_worker_is_refused(void)
{
    fv_placement_t *placement = FvPlacement_New();
    fv_worker_t *workers[1];
    fv_worker_t saved;

    make_cell(placement, workers, 1);
    saved = *workers[0];
    for (int i = 0; i < 6; i++) {
        CU_ASSERT_PTR_NOT_NULL(FvPlacement_Choose(
            placement, &fv_policy_deadline, &small, NULL, NOW));
        workers[0]->listed = i != 0;
        workers[0]->leaving = i == 1;
        workers[0]->lease.held = i != 2;
        workers[0]->quarantine.backoff_ms = i == 3;
        workers[0]->quarantine.until_ms = NOW + 1;
        workers[0]->free.memory_bytes = i == 4 ? 0 : capacity.memory_bytes;
        workers[0]->lease.expires_ns =
            i == 5 ? NOW * Fv_NS_PER_MS : saved.lease.expires_ns;
        CU_ASSERT_PTR_NULL(FvPlacement_Choose(placement, &fv_policy_deadline,
                                              &small, NULL, NOW));
        *workers[0] = saved;
    }
    free_cell(placement, workers, 1);
}

static void
change_worker(fv_placement_t *placement, fv_worker_t *worker, uint64_t random)
{
    fv_resources_t size = {.cpu_millis = (int64_t)(random % 12000),
                           .memory_bytes = (int64_t)(random % 40) * Fv_GIB,
                           .slots = 1};

    if (random % 31 == 0) {
        worker->leaving = !worker->leaving;
    }
    else if (random % 5 < 2 && worker->tasks != NULL) {
        FvWorker_RemoveTask(worker, worker->tasks);
    }
    else if (random % 97 == 0) {
        FvPlacement_Remove(placement, worker);
        FvPlacement_Add(placement, worker);
    }
    else {
        char id[32];

        snprintf(id, sizeof(id), "m:k:1:%u", (unsigned)(random >> 40));
        FvFixture_Start(worker, id, Fv_CLASS_DEADLINE, &size);
    }
    FvPlacement_Update(placement, worker);
}

static bool
fits_somewhere(fv_worker_t **workers, const fv_policy_t *policy,
               const fv_resources_t *size)
{
    for (int i = 0; i < WORKERS; i++) {
        fv_resources_t usable;

        policy->usable(workers[i], &usable);
        if (FvWorker_Accepts(workers[i], NOW) &&
            FvResources_Fits(size, &usable)) {
            return true;
        }
    }
    return false;
}

static void
test_choice_agrees_with_full_scan(void)
{
    fv_placement_t *placement = FvPlacement_New();
    fv_worker_t *workers[WORKERS];
    uint64_t state = 7;
    uint32_t none = 0;
    uint32_t wrong = 0;

    make_cell(placement, workers, WORKERS);
    for (int i = 0; i < STEPS; i++) {
        uint64_t random = FvFixture_Random(&state);
        const fv_policy_t *policy = FvPolicy_ForClass(random % Fv_CLASS_COUNT);
        fv_resources_t size = {.cpu_millis = (int64_t)(random % 24000),
                               .memory_bytes = (int64_t)(random % 90) * Fv_GIB,
                               .slots = 1};
        fv_worker_t *chosen =
            FvPlacement_Choose(placement, policy, &size, "m:k:1", NOW);

        wrong += (chosen != NULL) != fits_somewhere(workers, policy, &size);
        none += chosen == NULL;
        change_worker(placement, workers[(random >> 32) % WORKERS], random);
    }
    CU_ASSERT_EQUAL(wrong, 0);
    CU_ASSERT_TRUE(none > STEPS / 100 && none < STEPS / 2);
    free_cell(placement, workers, WORKERS);
}

static void
test_lookups_keep_headroom(void)
{
    static const fv_class_t classes[] = {Fv_CLASS_DEADLINE, Fv_CLASS_GANG,
                                         Fv_CLASS_SERVICE};
    fv_placement_t *placement = FvPlacement_New();
    fv_worker_t *workers[48];
    fv_worker_t *worker;
    int started = 0;
    char id[32];

    make_cell(placement, workers, 48);
    for (int i = 0; i < 3; i++) {
        while ((worker = FvPlacement_Choose(placement,
                                            FvPolicy_ForClass(classes[i]),
                                            &small, "m:k:1", NOW)) != NULL) {
            snprintf(id, sizeof(id), "m:k:1:%d", started++);
            FvFixture_Start(worker, id, classes[i], &small);
            FvPlacement_Update(placement, worker);
        }
    }
    CU_ASSERT_EQUAL(started, 48 * 7);
    for (int i = 0; i < 48; i++) {
        worker = FvPlacement_Choose(placement, &fv_policy_interactive, &small,
                                    NULL, NOW);
        CU_ASSERT_PTR_NOT_NULL_FATAL(worker);
        FvFixture_Start(worker, "lookup", Fv_CLASS_INTERACTIVE, &small);
        FvPlacement_Update(placement, worker);
    }
    free_cell(placement, workers, 48);
}

static void
test_service_spreads_over_racks(void)
{
    fv_placement_t *placement = FvPlacement_New();
    fv_worker_t *workers[48];
    int in_rack[6] = {0};
    char id[32];

    make_cell(placement, workers, 48);
    FvFixture_Start(workers[0], "m:k:1", Fv_CLASS_DEADLINE, &small);
    FvPlacement_Update(placement, workers[0]);
    for (int i = 0; i < 18; i++) {
        fv_worker_t *worker = FvPlacement_Choose(placement, &fv_policy_service,
                                                 &small, "m:k:1", NOW);

        CU_ASSERT_PTR_NOT_NULL_FATAL(worker);
        in_rack[worker->rack[1] - '0']++;
        snprintf(id, sizeof(id), "m:k:1:%d", i);
        FvFixture_Start(worker, id, Fv_CLASS_SERVICE, &small);
        FvPlacement_Update(placement, worker);
    }
    for (int i = 0; i < 6; i++) {
        CU_ASSERT_EQUAL(in_rack[i], 3);
    }
    free_cell(placement, workers, 48);
}

static void
test_accelerators_are_kept(void)
{
    fv_placement_t *placement = FvPlacement_New();
    fv_worker_t *workers[2];
    fv_resources_t with = capacity;

    make_cell(placement, workers, 2);
    with.accelerators = 1;
    FvWorker_SetCapacity(workers[0], &with);
    FvPlacement_Update(placement, workers[0]);
    for (int i = 0; i < 4; i++) {
        CU_ASSERT_PTR_EQUAL(FvPlacement_Choose(placement, &fv_policy_deadline,
                                               &small, NULL, NOW),
                            workers[1]);
    }
    free_cell(placement, workers, 2);
}

static void
test_can_ever_fit(void)
{
    fv_placement_t *placement = FvPlacement_New();
    fv_worker_t *workers[2];
    fv_resources_t larger = capacity;

    make_cell(placement, workers, 2);
    FvLease_Lost(&workers[0]->lease, 0);
    FvFixture_Start(workers[1], "a", Fv_CLASS_DEADLINE, &capacity);
    CU_ASSERT_TRUE(
        FvPlacement_CanEverFit(placement, &fv_policy_interactive, &capacity));
    CU_ASSERT_FALSE(
        FvPlacement_CanEverFit(placement, &fv_policy_deadline, &capacity));
    larger.accelerators = 1;
    CU_ASSERT_FALSE(
        FvPlacement_CanEverFit(placement, &fv_policy_interactive, &larger));
    FvWorker_SetCapacity(workers[0], &larger);
    FvPlacement_Update(placement, workers[0]);
    CU_ASSERT_TRUE(
        FvPlacement_CanEverFit(placement, &fv_policy_interactive, &larger));
    FvPlacement_Remove(placement, workers[0]);
    CU_ASSERT_FALSE(
        FvPlacement_CanEverFit(placement, &fv_policy_interactive, &larger));
    free_cell(placement, workers, 2);
}

static void
test_digest_counts_accepting_workers(void)
{
    fv_placement_t *placement = FvPlacement_New();
    fv_worker_t *workers[3];
    fv_digest_t digest = {0};

    make_cell(placement, workers, 3);
    workers[0]->leaving = true;
    FvFixture_Start(workers[1], "a", Fv_CLASS_DEADLINE, &small);
    FvPlacement_Summarize(placement, &digest, NOW);
    CU_ASSERT_EQUAL(digest.workers, 2);
    CU_ASSERT_EQUAL(digest.free_interactive.cpu_millis, 63500);
    CU_ASSERT_EQUAL(digest.free_total.cpu_millis, 61500);
    CU_ASSERT_EQUAL(digest.free_largest.cpu_millis, 31000);
    CU_ASSERT_EQUAL(digest.free_largest.slots, 7);
    free_cell(placement, workers, 3);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"an unleased, leaving, quarantined or full worker is chosen",
         test_unfit_worker_is_refused},
        {"the index misses a worker that fits",
         test_choice_agrees_with_full_scan},
        {"other work leaves lookups no slot", test_lookups_keep_headroom},
        {"a rack failure takes most tasks of a service",
         test_service_spreads_over_racks},
        {"work without need for them takes the accelerators",
         test_accelerators_are_kept},
        {"a job that fits is refused, or one that never fits is queued",
         test_can_ever_fit},
        {"a digest offers capacity that cannot be used",
         test_digest_counts_accepting_workers},
    };

    return Fv_RUN_SUITE("placement", cases);
}
