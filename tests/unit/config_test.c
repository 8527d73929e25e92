/*
 * The snapshot never reverts, is never freed under a reader, and is accepted
 * only when its digest matches its content.
 */

#include "fireflyvalve.h"
#include "sample_answers.h"
#include "suite.h"

#include <pthread.h>
#include <sched.h>
#include <string.h>
#include <urcu.h>

#define VERSIONS 200

static const char *const members[] = {"auckland", "otago"};
static atomic_bool stopped;

static fv_config_t *
config_of_version(uint64_t version)
{
    fv_config_t *sample = sample_config(members, 2);
    fv_config_t *config =
        FvConfig_New(version, sample->contracts, sample->contract_count, NULL);

    FvConfig_Free(sample);
    return config;
}

static bool
publish(uint64_t version)
{
    fv_config_t *config = config_of_version(version);
    bool published = FvConfig_Publish(config);

    if (!published) {
        FvConfig_Free(config);
    }
    return published;
}

/* Returns non-NULL when the version fell or a snapshot was inconsistent. */
static void *
read_snapshots(void *unused)
{
    uint64_t last = 0;
    bool good = true;

    rcu_register_thread();
    while (!atomic_load(&stopped)) {
        const fv_config_t *config;

        rcu_read_lock();
        config = FvConfig_GetActive();
        if (config != NULL) {
            good = good && config->version >= last &&
                   FvConfig_FindContract(config, "otago") != NULL;
            last = config->version;
        }
        rcu_read_unlock();
    }
    rcu_unregister_thread();
    return good ? unused : &stopped;
}

static void
test_version_only_rises(void)
{
    pthread_t reader;
    void *fault = NULL;

    CU_ASSERT_PTR_NULL(FvConfig_GetActive());
    CU_ASSERT_EQUAL_FATAL(pthread_create(&reader, NULL, read_snapshots, NULL),
                          0);
    for (uint64_t version = 2; version <= VERSIONS; version++) {
        CU_ASSERT_TRUE(publish(version));
        CU_ASSERT_FALSE(publish(version));
        CU_ASSERT_FALSE(publish(version - 1));
        CU_ASSERT_EQUAL(FvConfig_ActiveVersion(), version);
    }
    atomic_store(&stopped, true);
    pthread_join(reader, &fault);
    CU_ASSERT_PTR_NULL(fault);
    rcu_barrier();
}

static atomic_int step;

static void
wait_for_step(int wanted)
{
    while (atomic_load(&step) < wanted) {
        sched_yield();
    }
}

/* Keeps a snapshot while the next one is published. Returns non-NULL when it
 * changed, as freed memory does. */
static void *
keep_snapshot(void *unused)
{
    const fv_config_t *config;
    uint64_t version;
    char digest[Fv_DIGEST_SIZE];
    bool same;

    rcu_register_thread();
    rcu_read_lock();
    config = FvConfig_GetActive();
    version = config->version;
    atomic_store(&step, 1);
    wait_for_step(2);
    FvConfig_Digest(config, digest);
    same = config->version == version && strcmp(digest, config->digest) == 0;
    rcu_read_unlock();
    rcu_unregister_thread();
    return same ? unused : &step;
}

static void
test_reader_keeps_its_snapshot(void)
{
    uint64_t version = FvConfig_ActiveVersion();
    pthread_t reader;
    void *fault = NULL;

    CU_ASSERT_TRUE(publish(version + 1));
    CU_ASSERT_EQUAL_FATAL(pthread_create(&reader, NULL, keep_snapshot, NULL),
                          0);
    wait_for_step(1);
    CU_ASSERT_TRUE(publish(version + 2));
    atomic_store(&step, 2);
    pthread_join(reader, &fault);
    CU_ASSERT_PTR_NULL(fault);
    rcu_barrier();
}

static void
test_digest_must_match(void)
{
    char reason[Fv_REASON_SIZE];
    fv_config_t *config = config_of_version(3);
    json_t *object = FvConfig_ToJson(config);
    fv_config_t *read = FvConfig_FromJson(object, reason);

    CU_ASSERT_PTR_NOT_NULL_FATAL(read);
    CU_ASSERT_STRING_EQUAL(read->digest, config->digest);
    json_object_set_new(object, "version", json_integer(4));
    CU_ASSERT_PTR_NULL(FvConfig_FromJson(object, reason));
    json_decref(object);
    FvConfig_Free(read);
    FvConfig_Free(config);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"the version falls", test_version_only_rises},
        {"a snapshot is freed under a reader", test_reader_keeps_its_snapshot},
        {"a configuration with another digest is accepted",
         test_digest_must_match},
    };
    int result;

    rcu_register_thread();
    result = Fv_RUN_SUITE("config", cases);
    rcu_unregister_thread();
    return result;
}
