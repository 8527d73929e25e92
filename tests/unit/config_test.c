/*
 * The configuration snapshot: its version never decreases, it is not freed
 * while a reader uses it, and it is accepted only if its digest matches its
 * content.
 */

#include "fireflyvalve.h"
#include "sample_answers.h"
#include "suite.h"

#include <pthread.h>
#include <sched.h>
#include <string.h>
#include <urcu.h>

#define VERSIONS 200

static const char *const member_names[] = {"auckland", "otago"};
static atomic_bool reader_stopped;

static fv_config_t *
make_config(uint64_t version)
{
    fv_config_t *sample = sample_config(member_names, 2);
    fv_config_t *config =
        FvConfig_New(version, sample->contracts, sample->contract_count, NULL);

    FvConfig_Free(sample);
    return config;
}

static bool
publish_version(uint64_t version)
{
    fv_config_t *config = make_config(version);
    bool published = FvConfig_Publish(config);

    if (!published) {
        FvConfig_Free(config);
    }
    return published;
}

/* Returns non-NULL if the version decreased or a contract was missing. */
static void *
read_snapshots(void *unused)
{
    uint64_t last = 0;
    bool consistent = true;

    rcu_register_thread();
    while (!atomic_load(&reader_stopped)) {
        const fv_config_t *config;

        rcu_read_lock();
        config = FvConfig_GetActive();
        if (config != NULL) {
            consistent = consistent && config->version >= last &&
                         FvConfig_FindContract(config, "otago") != NULL;
            last = config->version;
        }
        rcu_read_unlock();
    }
    rcu_unregister_thread();
    return consistent ? unused : &reader_stopped;
}

static void
test_version_never_decreases(void)
{
    pthread_t reader;
    void *inconsistent = NULL;

    CU_ASSERT_PTR_NULL(FvConfig_GetActive());
    CU_ASSERT_EQUAL_FATAL(pthread_create(&reader, NULL, read_snapshots, NULL),
                          0);
    for (uint64_t version = 2; version <= VERSIONS; version++) {
        CU_ASSERT_TRUE(publish_version(version));
        CU_ASSERT_FALSE(publish_version(version));
        CU_ASSERT_FALSE(publish_version(version - 1));
        CU_ASSERT_EQUAL(FvConfig_ActiveVersion(), version);
    }
    atomic_store(&reader_stopped, true);
    pthread_join(reader, &inconsistent);
    CU_ASSERT_PTR_NULL(inconsistent);
    rcu_barrier();
}

static atomic_int test_step;

static void
wait_for_step(int expected_step)
{
    while (atomic_load(&test_step) < expected_step) {
        sched_yield();
    }
}

/* Holds a snapshot while the next one is published. Returns non-NULL if its
 * content changed, which shows that its memory was freed. */
static void *
hold_snapshot(void *unused)
{
    const fv_config_t *config;
    uint64_t version;
    char digest[Fv_HASH256_HEX_SIZE];
    bool unchanged;

    rcu_register_thread();
    rcu_read_lock();
    config = FvConfig_GetActive();
    version = config->version;
    atomic_store(&test_step, 1);
    wait_for_step(2);
    FvConfig_Digest(config, digest);
    unchanged =
        config->version == version && strcmp(digest, config->digest) == 0;
    rcu_read_unlock();
    rcu_unregister_thread();
    return unchanged ? unused : &test_step;
}

static void
test_snapshot_outlives_publication(void)
{
    uint64_t version = FvConfig_ActiveVersion();
    pthread_t reader;
    void *inconsistent = NULL;

    CU_ASSERT_TRUE(publish_version(version + 1));
    CU_ASSERT_EQUAL_FATAL(pthread_create(&reader, NULL, hold_snapshot, NULL),
                          0);
    wait_for_step(1);
    CU_ASSERT_TRUE(publish_version(version + 2));
    atomic_store(&test_step, 2);
    pthread_join(reader, &inconsistent);
    CU_ASSERT_PTR_NULL(inconsistent);
    rcu_barrier();
}

static void
test_digest_must_match(void)
{
    char reason[Fv_REASON_SIZE];
    fv_config_t *config = make_config(3);
    json_t *object = FvConfig_ToJson(config);
    fv_config_t *parsed = FvConfig_FromJson(object, reason);

    CU_ASSERT_PTR_NOT_NULL_FATAL(parsed);
    CU_ASSERT_STRING_EQUAL(parsed->digest, config->digest);
    json_object_set_new(object, "version", json_integer(4));
    CU_ASSERT_PTR_NULL(FvConfig_FromJson(object, reason));
    json_decref(object);
    FvConfig_Free(parsed);
    FvConfig_Free(config);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"the version decreases", test_version_never_decreases},
        {"a snapshot is freed while a reader uses it",
         test_snapshot_outlives_publication},
        {"a configuration with a wrong digest is accepted",
         test_digest_must_match},
    };
    int result;

    rcu_register_thread();
    result = Fv_RUN_SUITE("config", cases);
    rcu_unregister_thread();
    return result;
}
