/*
 * The active configuration: an immutable snapshot published with liburcu. It
 * is replaced only by one of a higher version.
 */

#include "fireflyvalve.h"

#include <stdlib.h>
#include <string.h>
#include <urcu.h>

typedef struct retired_config {
    struct rcu_head head;
    fv_config_t *config;
} retired_config_t;

/* C11 atomics give the memory ordering of rcu_assign_pointer and
 * rcu_dereference of liburcu 0.13, which ThreadSanitizer does not support.
 * Grace periods are left to liburcu. */
static _Atomic(fv_config_t *) active;
/* A copy of the version that any thread may read without RCU. */
static atomic_uint_fast64_t active_version;

/**
 * FvConfig_GetActive - get the active snapshot
 *
 * The caller holds rcu_read_lock and uses the snapshot only while it does.
 *
 * Return: the snapshot, or NULL before the first one is published.
 */
const fv_config_t *
FvConfig_GetActive(void)
{
    return atomic_load_explicit(&active, memory_order_acquire);
}

/**
 * FvConfig_ActiveVersion - version of the active snapshot; thread-safe
 *
 * Return: the version, or 0 before the first one is published.
 */
uint64_t
FvConfig_ActiveVersion(void)
{
    return atomic_load_explicit(&active_version, memory_order_acquire);
}

/**
 * FvConfig_FindContract - find a member's contract
 * @config: the configuration, or NULL
 * @member: the member's name
 *
 * Return: the contract, or NULL when the configuration has none.
 */
const fv_contract_t *
FvConfig_FindContract(const fv_config_t *config, const char *member)
{
    for (uint32_t i = 0; config != NULL && i < config->contract_count; i++) {
        if (strcmp(config->contracts[i].member, member) == 0) {
            return &config->contracts[i];
        }
    }
    return NULL;
}

static void
free_retired(struct rcu_head *head)
{
    retired_config_t *retired = caa_container_of(head, retired_config_t, head);

    FvConfig_Free(retired->config);
    free(retired);
}

/* Frees a snapshot once no reader can still use it. */
static void
free_after_grace_period(fv_config_t *config)
{
    retired_config_t *retired;

    if (config == NULL) {
        return;
    }
    retired = calloc(1, sizeof(*retired));
    if (retired == NULL) {
        synchronize_rcu();
        FvConfig_Free(config);
        return;
    }
    retired->config = config;
    call_rcu(&retired->head, free_retired);
}

/**
 * FvConfig_Publish - make a configuration the active one
 * @config: the configuration; taken over when it is published
 *
 * Called by one thread only, outside rcu_read_lock; the thread is registered
 * with liburcu.
 *
 * Return: false, with @config left to the caller, when the active version is
 * the same or higher.
 */
bool
FvConfig_Publish(fv_config_t *config)
{
    fv_config_t *old = atomic_load_explicit(&active, memory_order_relaxed);

    if (config->version <= FvConfig_ActiveVersion()) {
        return false;
    }
    atomic_store_explicit(&active, config, memory_order_release);
    atomic_store_explicit(&active_version, config->version,
                          memory_order_release);
    free_after_grace_period(old);
    return true;
}

/**
 * FvConfig_Free - release a configuration that is not published
 * @config: the configuration, or NULL
 */
void
FvConfig_Free(fv_config_t *config)
{
    if (config != NULL) {
        free(config->contracts);
        free(config->contract_digests);
        free(config);
    }
}

static int
compare_contracts(const void *a, const void *b)
{
    return strcmp(((const fv_contract_t *)a)->member,
                  ((const fv_contract_t *)b)->member);
}

static bool
copy_base_digest(const fv_config_t *base, const fv_contract_t *contract,
                 char digest[Fv_HASH256_HEX_SIZE])
{
    const fv_contract_t *base_contract =
        FvConfig_FindContract(base, contract->member);

    if (base_contract == NULL || base->contract_digests == NULL ||
        !FvContract_Equals(base_contract, contract)) {
        return false;
    }
    memcpy(digest, base->contract_digests[base_contract - base->contracts],
           Fv_HASH256_HEX_SIZE);
    return true;
}

static void
compute_digests(fv_config_t *config, const fv_config_t *base)
{
    for (uint32_t i = 0; i < config->contract_count; i++) {
        if (!copy_base_digest(base, &config->contracts[i],
                              config->contract_digests[i])) {
            FvContract_Digest(&config->contracts[i],
                              config->contract_digests[i]);
        }
    }
    FvConfig_Digest(config, config->digest);
}

/**
 * FvConfig_New - build a configuration and compute its digest
 * @version: its version
 * @contracts: contracts in any order; copied
 * @count: how many there are
 * @base: a configuration that shares contracts with this one, or NULL; the
 *        digests of shared contracts are not computed again
 *
 * Contracts are kept sorted by member, so that the same contracts always give
 * the same configuration.
 *
 * Return: the configuration, or NULL when memory is exhausted.
 */
fv_config_t *
FvConfig_New(uint64_t version, const fv_contract_t *contracts, uint32_t count,
             const fv_config_t *base)
{
    fv_config_t *config = calloc(1, sizeof(*config));

    if (config == NULL) {
        return NULL;
    }
    config->contracts = calloc(count + 1, sizeof(*config->contracts));
    config->contract_digests =
        calloc(count + 1, sizeof(*config->contract_digests));
    if (config->contracts == NULL || config->contract_digests == NULL) {
        FvConfig_Free(config);
        return NULL;
    }
    config->version = version;
    config->contract_count = count;
    if (count > 0) {
        memcpy(config->contracts, contracts, count * sizeof(*contracts));
        qsort(config->contracts, count, sizeof(*contracts), compare_contracts);
    }
    compute_digests(config, base);
    return config;
}

/**
 * FvConfig_ContractDigest - digest of one contract
 * @config: the configuration
 * @contract: one of its contracts
 * @digest: filled with hexadecimal digits
 */
void
FvConfig_ContractDigest(const fv_config_t *config,
                        const fv_contract_t *contract,
                        char digest[Fv_HASH256_HEX_SIZE])
{
    if (config->contract_digests == NULL) {
        FvContract_Digest(contract, digest);
        return;
    }
    memcpy(digest, config->contract_digests[contract - config->contracts],
           Fv_HASH256_HEX_SIZE);
}

/**
 * FvConfig_ContractDigests - digest of each member's contract
 * @config: the configuration, or NULL
 *
 * Return: a new object that maps members to digests.
 */
json_t *
FvConfig_ContractDigests(const fv_config_t *config)
{
    char digest[Fv_HASH256_HEX_SIZE];
    json_t *digests = json_object();

    for (uint32_t i = 0; config != NULL && i < config->contract_count; i++) {
        FvConfig_ContractDigest(config, &config->contracts[i], digest);
        json_object_set_new(digests, config->contracts[i].member,
                            json_string(digest));
    }
    return digests;
}

/**
 * FvConfig_DigestFromContracts - compute a configuration's digest from the
 * digests of its contracts
 * @version: the version
 * @contract_digests: object that maps members to contract digests
 * @digest: filled with hexadecimal digits
 */
void
FvConfig_DigestFromContracts(uint64_t version, json_t *contract_digests,
                             char digest[Fv_HASH256_HEX_SIZE])
{
    json_t *object = json_pack("{s:I, s:O}", "version", (json_int_t)version,
                               "contracts", contract_digests);

    FvJson_Digest(object, digest);
    json_decref(object);
}

/**
 * FvConfig_Digest - SHA-256 over the version and the contracts' digests
 * @config: the configuration
 * @digest: filled with hexadecimal digits
 */
void
FvConfig_Digest(const fv_config_t *config, char digest[Fv_HASH256_HEX_SIZE])
{
    json_t *digests = FvConfig_ContractDigests(config);

    FvConfig_DigestFromContracts(config->version, digests, digest);
    json_decref(digests);
}

/**
 * FvConfig_ToJson - the whole configuration as JSON
 * @config: the configuration
 *
 * Return: a new object.
 */
json_t *
FvConfig_ToJson(const fv_config_t *config)
{
    json_t *contracts = json_array();

    for (uint32_t i = 0; i < config->contract_count; i++) {
        json_array_append_new(contracts,
                              FvContract_ToJson(&config->contracts[i]));
    }
    return json_pack("{s:I, s:s, s:o}", "version", (json_int_t)config->version,
                     "digest", config->digest, "contracts", contracts);
}

static bool
read_contracts(const json_t *list, fv_contract_t *contracts,
               char reason[Fv_REASON_SIZE])
{
    size_t index;
    const json_t *object;

    json_array_foreach(list, index, object)
    {
        if (!FvContract_FromJson(object, &contracts[index], reason)) {
            return false;
        }
        for (size_t i = 0; i < index; i++) {
            if (strcmp(contracts[i].member, contracts[index].member) == 0) {
                snprintf(reason, Fv_REASON_SIZE, "member %s occurs twice",
                         contracts[i].member);
                return false;
            }
        }
    }
    return true;
}

/**
 * FvConfig_FromJson - read a whole configuration
 * @object: its JSON form
 * @reason: why it was refused
 *
 * Return: the configuration, or NULL when it is malformed or its digest does
 * not match its content.
 */
fv_config_t *
FvConfig_FromJson(const json_t *object, char reason[Fv_REASON_SIZE])
{
    const json_t *list = json_object_get(object, "contracts");
    const char *digest = FvJson_String(object, "digest");
    int64_t version = FvJson_Int(object, "version", 0);
    size_t count = json_array_size(list);
    fv_contract_t *contracts = NULL;
    fv_config_t *config = NULL;

    if (version <= 0 || digest == NULL || !json_is_array(list) ||
        count > Fv_MEMBERS_MAX) {
        snprintf(reason, Fv_REASON_SIZE,
                 "version, digest or contracts missing or out of range");
        return NULL;
    }
    contracts = calloc(count + 1, sizeof(*contracts));
    if (contracts == NULL) {
        snprintf(reason, Fv_REASON_SIZE, "out of memory");
        return NULL;
    }
    if (read_contracts(list, contracts, reason)) {
        config =
            FvConfig_New((uint64_t)version, contracts, (uint32_t)count, NULL);
    }
    if (config != NULL && strcmp(config->digest, digest) != 0) {
        snprintf(reason, Fv_REASON_SIZE, "digest does not match the content");
        FvConfig_Free(config);
        config = NULL;
    }
    free(contracts);
    return config;
}
