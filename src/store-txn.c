/*
 * Store transactions in the JSON form of etcd v3. They are built with keys
 * without the prefix, which is added when the transaction is sent.
 */

#include "fireflyvalve.h"

#include <stdlib.h>
#include <string.h>

struct fv_store_txn {
    json_t *compare;
    json_t *success;
    json_t *failure;
};

static json_t *
encode_base64(const void *data, size_t length)
{
    char *text = FvText_EncodeBase64(data, length);
    json_t *value = text ? json_string(text) : NULL;

    free(text);
    return value;
}

/**
 * FvStoreKey_Encode - encode a key for the store
 * @prefix: the prefix of all keys
 * @key: the key
 *
 * Return: a new base64 string.
 */
json_t *
FvStoreKey_Encode(const char *prefix, const char *key)
{
    fv_buffer_t full_key = {0};
    json_t *value = NULL;

    if (FvBuffer_Append(&full_key, prefix, strlen(prefix)) &&
        FvBuffer_Append(&full_key, "/", 1) &&
        FvBuffer_Append(&full_key, key, strlen(key))) {
        value = encode_base64(full_key.data, full_key.length);
    }
    FvBuffer_Clear(&full_key);
    return value;
}

/**
 * FvStoreKey_EncodeRangeEnd - the first key after all that start with a prefix
 * @prefix: the prefix of all keys
 * @key: what the keys start with, after @prefix
 *
 * Return: a new base64 string.
 */
json_t *
FvStoreKey_EncodeRangeEnd(const char *prefix, const char *key)
{
    fv_buffer_t full_key = {0};
    json_t *value = NULL;

    if (FvBuffer_Append(&full_key, prefix, strlen(prefix)) &&
        FvBuffer_Append(&full_key, "/", 1) &&
        FvBuffer_Append(&full_key, key, strlen(key))) {
        full_key.data[full_key.length - 1]++;
        value = encode_base64(full_key.data, full_key.length);
    }
    FvBuffer_Clear(&full_key);
    return value;
}

/**
 * FvStoreTxn_New - create a transaction
 *
 * Return: an empty transaction; FvStore_Commit takes it over.
 */
fv_store_txn_t *
FvStoreTxn_New(void)
{
    fv_store_txn_t *txn = calloc(1, sizeof(*txn));

    if (txn == NULL) {
        abort();
    }
    txn->compare = json_array();
    txn->success = json_array();
    txn->failure = json_array();
    return txn;
}

/**
 * FvStoreTxn_CompareAbsent - require that a key does not exist
 * @txn: the transaction
 * @key: the key
 */
void
FvStoreTxn_CompareAbsent(fv_store_txn_t *txn, const char *key)
{
    json_array_append_new(txn->compare,
                          json_pack("{s:s, s:s, s:s, s:s}", "key", key,
                                    "target", "CREATE", "result", "EQUAL",
                                    "create_revision", "0"));
}

/**
 * FvStoreTxn_CompareRevision - require that a key was not changed
 * @txn: the transaction
 * @key: the key
 * @mod_revision: the revision at which it was last read or written
 */
void
FvStoreTxn_CompareRevision(fv_store_txn_t *txn, const char *key,
                           int64_t mod_revision)
{
    char text[24];

    snprintf(text, sizeof(text), "%lld", (long long)mod_revision);
    json_array_append_new(txn->compare,
                          json_pack("{s:s, s:s, s:s, s:s}", "key", key,
                                    "target", "MOD", "result", "EQUAL",
                                    "mod_revision", text));
}

/**
 * FvStoreTxn_CompareValue - require that a key has a value
 * @txn: the transaction
 * @key: the key
 * @value: the value
 */
void
FvStoreTxn_CompareValue(fv_store_txn_t *txn, const char *key,
                        const char *value)
{
    json_array_append_new(
        txn->compare, json_pack("{s:s, s:s, s:s, s:o}", "key", key, "target",
                                "VALUE", "result", "EQUAL", "value",
                                encode_base64(value, strlen(value))));
}

/**
 * FvStoreTxn_Put - write a key if all requirements hold
 * @txn: the transaction
 * @key: the key
 * @value: the value
 * @lease: the store lease to attach the key to, or 0
 */
void
FvStoreTxn_Put(fv_store_txn_t *txn, const char *key, const char *value,
               int64_t lease)
{
    char text[24];

    snprintf(text, sizeof(text), "%lld", (long long)lease);
    json_array_append_new(
        txn->success,
        json_pack("{s:{s:s, s:o, s:s}}", "request_put", "key", key, "value",
                  encode_base64(value, strlen(value)), "lease", text));
}

/**
 * FvStoreTxn_Delete - delete a key if all requirements hold
 * @txn: the transaction
 * @key: the key
 */
void
FvStoreTxn_Delete(fv_store_txn_t *txn, const char *key)
{
    json_array_append_new(
        txn->success,
        json_pack("{s:{s:s}}", "request_delete_range", "key", key));
}

/**
 * FvStoreTxn_ReadOnFailure - read a key if a requirement does not hold
 * @txn: the transaction
 * @key: the key
 */
void
FvStoreTxn_ReadOnFailure(fv_store_txn_t *txn, const char *key)
{
    json_array_append_new(txn->failure,
                          json_pack("{s:{s:s}}", "request_range", "key", key));
}

static void
prefix_key(const char *prefix, json_t *object)
{
    const char *key = FvJson_String(object, "key");

    if (key != NULL) {
        json_object_set_new(object, "key", FvStoreKey_Encode(prefix, key));
    }
}

static void
prefix_operations(const char *prefix, json_t *operations)
{
    size_t index;
    json_t *operation;
    const char *name;
    json_t *request;

    json_array_foreach(operations, index, operation)
    {
        json_object_foreach(operation, name, request)
        {
            prefix_key(prefix, request);
        }
    }
}

/**
 * FvStoreTxn_TakeBody - build the request that commits a transaction
 * @txn: the transaction; freed
 * @prefix: the prefix of all keys
 *
 * Return: a new object.
 */
json_t *
FvStoreTxn_TakeBody(fv_store_txn_t *txn, const char *prefix)
{
    size_t index;
    json_t *compare;
    json_t *body;

    json_array_foreach(txn->compare, index, compare)
    {
        prefix_key(prefix, compare);
    }
    prefix_operations(prefix, txn->success);
    prefix_operations(prefix, txn->failure);
    body = json_pack("{s:o, s:o, s:o}", "compare", txn->compare, "success",
                     txn->success, "failure", txn->failure);
    free(txn);
    return body;
}
