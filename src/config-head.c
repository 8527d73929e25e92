/*
 * The head, which is stored as config/head, lists the digests of the contracts
 * of the active configuration. This file builds a configuration from a head
 * and contracts. The contracts may come from any source, since a contract is
 * used only if it matches its digest.
 */

#include "fireflyvalve.h"

#include <stdlib.h>
#include <string.h>

#define HEAD_KEY "config/head"
#define MEMBER_KEY_PREFIX "config/member/"

/**
 * FvConfigHead_AddContract - add a contract to a map, keyed by its digest
 * @by_digest: object that maps digests to contracts
 * @object: the contract's JSON form; other fields of it are dropped
 *
 * Return: false when it is malformed.
 */
bool
FvConfigHead_AddContract(json_t *by_digest, const json_t *object)
{
    char reason[Fv_REASON_SIZE];
    char digest[Fv_HASH256_HEX_SIZE];
    fv_contract_t contract;

    if (!FvContract_FromJson(object, &contract, reason)) {
        return false;
    }
    FvContract_Digest(&contract, digest);
    return json_object_set_new(by_digest, digest,
                               FvContract_ToJson(&contract)) == 0;
}

/**
 * FvConfigHead_FromStore - read head and contracts from stored pairs
 * @result: pairs below config/ from a list call or a watch event
 * @head: receives a new reference to the last head; NULL when there is none
 * @revision: receives the head's revision, 0 when there is none; may be NULL
 * @by_digest: receives the contracts
 */
void
FvConfigHead_FromStore(const fv_store_result_t *result, json_t **head,
                       int64_t *revision, json_t *by_digest)
{
    size_t prefix = strlen(MEMBER_KEY_PREFIX);

    *head = NULL;
    if (revision != NULL) {
        *revision = 0;
    }
    for (uint32_t i = 0; i < result->kv_count; i++) {
        const fv_store_kv_t *kv = &result->kvs[i];
        json_t *value;

        if (kv->deleted) {
            continue;
        }
        value = json_loadb(kv->value, kv->value_length, 0, NULL);
        if (strcmp(kv->key, HEAD_KEY) == 0 && json_is_object(value)) {
            json_decref(*head);
            *head = json_incref(value);
            if (revision != NULL) {
                *revision = kv->mod_revision;
            }
        }
        else if (strncmp(kv->key, MEMBER_KEY_PREFIX, prefix) == 0) {
            FvConfigHead_AddContract(by_digest, value);
        }
        json_decref(value);
    }
}

static bool
resolve_contract(const fv_config_t *current, const json_t *by_digest,
                 const char *member, const char *digest,
                 fv_contract_t *contract)
{
    char reason[Fv_REASON_SIZE];
    char current_digest[Fv_HASH256_HEX_SIZE];
    const fv_contract_t *current_contract =
        FvConfig_FindContract(current, member);
    const json_t *object = json_object_get(by_digest, digest);

    if (object != NULL && FvContract_FromJson(object, contract, reason) &&
        strcmp(contract->member, member) == 0) {
        return true;
    }
    if (current_contract == NULL) {
        return false;
    }
    FvConfig_ContractDigest(current, current_contract, current_digest);
    *contract = *current_contract;
    return strcmp(current_digest, digest) == 0;
}

static bool
resolve_contracts(const json_t *digests, const fv_config_t *current,
                  const json_t *by_digest, fv_contract_t *contracts)
{
    uint32_t count = 0;
    const char *member;
    json_t *digest;

    json_object_foreach((json_t *)digests, member, digest)
    {
        if (!json_is_string(digest) ||
            !resolve_contract(current, by_digest, member,
                              json_string_value(digest), &contracts[count])) {
            return false;
        }
        count++;
    }
    return true;
}

/**
 * FvConfigHead_BuildConfig - build the configuration that a head describes
 * @head: the head
 * @current: the active configuration, whose contracts may be used; or NULL
 * @by_digest: further contracts by digest
 * @config: receives the configuration, NULL unless the result is complete
 *
 * Return: complete; incomplete when a contract is missing or memory is
 * exhausted; malformed when a field of the head is invalid or its digest does
 * not match its content.
 */
fv_config_head_result_t
FvConfigHead_BuildConfig(const json_t *head, const fv_config_t *current,
                         const json_t *by_digest, fv_config_t **config)
{
    const json_t *digests = json_object_get(head, "contracts");
    const char *digest = FvJson_String(head, "digest");
    int64_t version = FvJson_Int(head, "version", 0);
    size_t count = json_object_size(digests);
    fv_config_head_result_t result = Fv_CONFIG_HEAD_MALFORMED;
    fv_contract_t *contracts;

    *config = NULL;
    if (version <= 0 || digest == NULL || count == 0 ||
        count > Fv_MEMBERS_MAX) {
        return Fv_CONFIG_HEAD_MALFORMED;
    }
    contracts = calloc(count, sizeof(*contracts));
    if (contracts == NULL) {
        return Fv_CONFIG_HEAD_INCOMPLETE;
    }
    if (!resolve_contracts(digests, current, by_digest, contracts)) {
        result = Fv_CONFIG_HEAD_INCOMPLETE;
        goto out;
    }
    *config =
        FvConfig_New((uint64_t)version, contracts, (uint32_t)count, current);
    if (*config == NULL) {
        result = Fv_CONFIG_HEAD_INCOMPLETE;
        goto out;
    }
    if (strcmp((*config)->digest, digest) == 0) {
        result = Fv_CONFIG_HEAD_COMPLETE;
        goto out;
    }
    FvConfig_Free(*config);
    *config = NULL;

out:
    free(contracts);
    return result;
}
