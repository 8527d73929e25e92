/*
 * Requests and responses of fake-platform's store in JSON, as in the gRPC
 * gateway of etcd v3: keys and values in base64, 64-bit integers as strings,
 * fields with a zero value omitted.
 */

#include "kv-store.h"

#include <errno.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define KV_VALUE_MAX_BYTES (1024 * 1024)
#define KV_CLUSTER_ID "14841639068965178418"
#define KV_MEMBER_ID "10276657743932975437"

static const kv_error_t invalid_json = {400, 3, "invalid field"};
static const kv_error_t key_missing = {400, 3,
                                       "etcdserver: key is not provided"};
static const kv_error_t too_large = {400, 3,
                                     "etcdserver: request is too large"};
static const kv_error_t lease_not_found = {
    404, 5, "etcdserver: requested lease not found"};
static const kv_error_t lease_exists = {400, 9,
                                        "etcdserver: lease already exists"};
static const kv_error_t duplicate_key = {
    400, 3, "etcdserver: duplicate key given in txn request"};
static const kv_error_t unsupported = {
    501, 12, "field not supported by the store double"};

static bool
set_error(kv_error_t *error, const kv_error_t *cause)
{
    if (error->status == 0) {
        *error = *cause;
    }
    return false;
}

/**
 * FvKvApi_ReadInt - read a 64-bit integer from a string or number field
 * @request: the object
 * @name: name of the field
 * @fallback: value of an absent or malformed field
 *
 * Return: the value.
 */
int64_t
FvKvApi_ReadInt(const json_t *request, const char *name, int64_t fallback)
{
    const json_t *field = json_object_get(request, name);
    const char *text = json_string_value(field);
    char *end = NULL;
    int64_t value;

    if (json_is_integer(field)) {
        return json_integer_value(field);
    }
    if (text == NULL || *text == 0) {
        return fallback;
    }
    errno = 0;
    value = strtoll(text, &end, 10);
    return errno == 0 && *end == 0 ? value : fallback;
}

static bool
parse_bytes(const json_t *request, const char *name, kv_bytes_t *out,
            kv_error_t *error)
{
    const json_t *field = json_object_get(request, name);
    const char *text = json_string_value(field);
    size_t length = json_string_length(field);

    *out = (kv_bytes_t){0};
    if (field == NULL) {
        text = "";
    }
    if (text == NULL) {
        return set_error(error, &invalid_json);
    }
    *out = FvKv_NewBytes(length);
    if (out->data == NULL ||
        sodium_base642bin(out->data, length + 1, text, length, NULL,
                          &out->length, NULL,
                          sodium_base64_VARIANT_ORIGINAL) != 0) {
        FvKv_FreeBytes(out);
        return set_error(error, &invalid_json);
    }
    return true;
}

/**
 * FvKvApi_ParseRange - read the fields key and range_end
 * @request: the object
 * @range: filled in; the caller calls FvKvApi_FreeRange() also after a failure
 * @error: set when the range is invalid
 *
 * Return: true when the range is valid.
 */
bool
FvKvApi_ParseRange(const json_t *request, kv_range_t *range, kv_error_t *error)
{
    *range = (kv_range_t){0};
    if (!parse_bytes(request, "key", &range->key, error) ||
        !parse_bytes(request, "range_end", &range->end, error)) {
        return false;
    }
    return range->key.length > 0 || set_error(error, &key_missing);
}

/**
 * FvKvApi_FreeRange - free a range's keys
 * @range: the range
 */
void
FvKvApi_FreeRange(kv_range_t *range)
{
    FvKv_FreeBytes(&range->key);
    FvKv_FreeBytes(&range->end);
}

static json_t *
int_string(int64_t value)
{
    return json_sprintf("%lld", (long long)value);
}

static void
set_int(json_t *object, const char *name, int64_t value)
{
    if (value != 0) {
        json_object_set_new(object, name, int_string(value));
    }
}

static void
set_bytes(json_t *object, const char *name, const kv_bytes_t *bytes)
{
    size_t size = sodium_base64_encoded_len(bytes->length,
                                            sodium_base64_VARIANT_ORIGINAL);
    char *text = malloc(size);

    if (text == NULL) {
        abort();
    }
    sodium_bin2base64(text, size, bytes->data, bytes->length,
                      sodium_base64_VARIANT_ORIGINAL);
    json_object_set_new(object, name, json_string(text));
    free(text);
}

/**
 * FvKvApi_EncodeHeader - build the header of a response
 * @store: the store
 *
 * Return: a new object with the current revision.
 */
json_t *
FvKvApi_EncodeHeader(const kv_store_t *store)
{
    return json_pack("{s:s, s:s, s:o, s:s}", "cluster_id", KV_CLUSTER_ID,
                     "member_id", KV_MEMBER_ID, "revision",
                     int_string(store->revision), "raft_term", "2");
}

/**
 * FvKvApi_EncodeEntry - build the JSON form of an entry
 * @entry: the entry
 * @with_value: whether to include the value
 *
 * Return: a new object.
 */
json_t *
FvKvApi_EncodeEntry(const kv_entry_t *entry, bool with_value)
{
    json_t *object = json_object();

    set_bytes(object, "key", &entry->key);
    set_int(object, "create_revision", entry->create_revision);
    set_int(object, "mod_revision", entry->mod_revision);
    set_int(object, "version", entry->version);
    if (with_value && entry->value.length > 0) {
        set_bytes(object, "value", &entry->value);
    }
    set_int(object, "lease", entry->lease);
    return object;
}

static json_t *
new_reply(const kv_store_t *store)
{
    return json_pack("{s:o}", "header", FvKvApi_EncodeHeader(store));
}

/* Rejects options of etcd that are not implemented here, so that a client
 * cannot rely on them unnoticed. */
static bool
check_range_options(const json_t *request, kv_error_t *error)
{
    static const char *const refused[] = {
        "revision",         "sort_order",          "min_mod_revision",
        "max_mod_revision", "min_create_revision", "max_create_revision"};

    for (size_t i = 0; i < sizeof(refused) / sizeof(refused[0]); i++) {
        const json_t *field = json_object_get(request, refused[i]);
        const char *text = json_string_value(field);

        if (field != NULL && FvKvApi_ReadInt(request, refused[i], 1) != 0 &&
            (text == NULL ||
             (strcmp(text, "NONE") != 0 && strcmp(text, "ASCEND") != 0))) {
            return set_error(error, &unsupported);
        }
    }
    return true;
}

static json_t *
read_range(const kv_store_t *store, const json_t *request,
           const kv_range_t *range)
{
    json_t *reply = new_reply(store);
    json_t *found = json_array();
    bool keys_only = json_is_true(json_object_get(request, "keys_only"));
    bool count_only = json_is_true(json_object_get(request, "count_only"));
    int64_t limit = FvKvApi_ReadInt(request, "limit", 0);
    int64_t count = 0;

    for (size_t i = FvKv_LowerBound(store, &range->key);
         i < store->count && FvKv_InRange(range, &store->entries[i]->key);
         i++) {
        count++;
        if (!count_only && (limit == 0 || count <= limit)) {
            json_array_append_new(
                found, FvKvApi_EncodeEntry(store->entries[i], !keys_only));
        }
    }
    if (json_array_size(found) > 0) {
        json_object_set(reply, "kvs", found);
    }
    json_decref(found);
    if (limit > 0 && count > limit) {
        json_object_set_new(reply, "more", json_true());
    }
    set_int(reply, "count", count);
    return reply;
}

/**
 * FvKvApi_Range - POST /v3/kv/range
 * @store: the store
 * @request: the request
 * @now_ms: current time
 * @error: set when the request is invalid
 *
 * Return: the response, or NULL with @error set. The other requests have the
 * same parameters and result.
 */
json_t *
FvKvApi_Range(kv_store_t *store, const json_t *request, int64_t now_ms,
              kv_error_t *error)
{
    json_t *reply = NULL;
    kv_range_t range;

    (void)now_ms;
    if (FvKvApi_ParseRange(request, &range, error) &&
        check_range_options(request, error)) {
        reply = read_range(store, request, &range);
    }
    FvKvApi_FreeRange(&range);
    return reply;
}

static bool
check_put(kv_store_t *store, const json_t *request, kv_error_t *error)
{
    int64_t lease = FvKvApi_ReadInt(request, "lease", 0);
    kv_bytes_t key;
    kv_bytes_t value;
    bool valid;

    if (json_is_true(json_object_get(request, "ignore_value")) ||
        json_is_true(json_object_get(request, "ignore_lease")) ||
        json_is_true(json_object_get(request, "prev_kv"))) {
        return set_error(error, &unsupported);
    }
    valid = parse_bytes(request, "key", &key, error) &&
            (key.length > 0 || set_error(error, &key_missing));
    FvKv_FreeBytes(&key);
    valid = valid && parse_bytes(request, "value", &value, error);
    if (!valid) {
        return false;
    }
    valid = value.length <= KV_VALUE_MAX_BYTES || set_error(error, &too_large);
    FvKv_FreeBytes(&value);
    return valid && (lease == 0 || FvKv_FindLease(store, lease) != NULL ||
                     set_error(error, &lease_not_found));
}

/* Applies a put that check_put() accepted. */
static json_t *
apply_put(kv_store_t *store, const json_t *request, int64_t now_ms)
{
    kv_error_t ignored = {0};
    kv_bytes_t key;
    kv_bytes_t value;

    parse_bytes(request, "key", &key, &ignored);
    parse_bytes(request, "value", &value, &ignored);
    FvKv_Put(store, &key, &value, FvKvApi_ReadInt(request, "lease", 0),
             now_ms);
    FvKv_FreeBytes(&key);
    FvKv_FreeBytes(&value);
    return json_object();
}

static json_t *
apply_delete(kv_store_t *store, const json_t *request, int64_t now_ms)
{
    json_t *reply = json_object();
    kv_error_t ignored = {0};
    kv_range_t range;

    FvKvApi_ParseRange(request, &range, &ignored);
    set_int(reply, "deleted", (int64_t)FvKv_Delete(store, &range, now_ms));
    FvKvApi_FreeRange(&range);
    return reply;
}

static json_t *
finish_write(kv_store_t *store, json_t *reply)
{
    FvKv_EndWrite(store);
    json_object_set_new(reply, "header", FvKvApi_EncodeHeader(store));
    return reply;
}

/** FvKvApi_Put - POST /v3/kv/put; see FvKvApi_Range() */
json_t *
FvKvApi_Put(kv_store_t *store, const json_t *request, int64_t now_ms,
            kv_error_t *error)
{
    if (!check_put(store, request, error)) {
        return NULL;
    }
    return finish_write(store, apply_put(store, request, now_ms));
}

static bool
check_range(const json_t *request, kv_error_t *error)
{
    kv_range_t range;
    bool valid = FvKvApi_ParseRange(request, &range, error);

    FvKvApi_FreeRange(&range);
    return valid;
}

/** FvKvApi_DeleteRange - POST /v3/kv/deleterange; see FvKvApi_Range() */
json_t *
FvKvApi_DeleteRange(kv_store_t *store, const json_t *request, int64_t now_ms,
                    kv_error_t *error)
{
    if (!check_range(request, error)) {
        return NULL;
    }
    return finish_write(store, apply_delete(store, request, now_ms));
}

static bool
result_matches(int order, const char *result, kv_error_t *error)
{
    if (result == NULL || strcmp(result, "EQUAL") == 0) {
        return order == 0;
    }
    if (strcmp(result, "GREATER") == 0) {
        return order > 0;
    }
    if (strcmp(result, "LESS") == 0) {
        return order < 0;
    }
    if (strcmp(result, "NOT_EQUAL") == 0) {
        return order != 0;
    }
    return set_error(error, &invalid_json);
}

static int
compare_ints(int64_t a, int64_t b)
{
    return (a > b) - (a < b);
}

/* A comparison with the value of a missing key is false, as in etcd. */
static bool
value_holds(const json_t *compare, const kv_entry_t *entry, kv_error_t *error)
{
    const char *result = json_string_value(json_object_get(compare, "result"));
    kv_bytes_t value;
    bool holds = false;

    if (!parse_bytes(compare, "value", &value, error)) {
        return false;
    }
    if (entry != NULL) {
        holds = result_matches(FvKv_CompareBytes(&entry->value, &value),
                               result, error);
    }
    FvKv_FreeBytes(&value);
    return holds;
}

static bool
number_holds(const json_t *compare, const kv_entry_t *entry,
             const char *target, kv_error_t *error)
{
    const char *result = json_string_value(json_object_get(compare, "result"));
    kv_entry_t missing = {0};
    const kv_entry_t *actual = entry != NULL ? entry : &missing;
    int64_t wanted;
    int64_t found;

    if (strcmp(target, "CREATE") == 0) {
        wanted = FvKvApi_ReadInt(compare, "create_revision", 0);
        found = actual->create_revision;
    }
    else if (strcmp(target, "MOD") == 0) {
        wanted = FvKvApi_ReadInt(compare, "mod_revision", 0);
        found = actual->mod_revision;
    }
    else if (strcmp(target, "LEASE") == 0) {
        wanted = FvKvApi_ReadInt(compare, "lease", 0);
        found = actual->lease;
    }
    else if (strcmp(target, "VERSION") == 0) {
        wanted = FvKvApi_ReadInt(compare, "version", 0);
        found = actual->version;
    }
    else {
        return set_error(error, &invalid_json);
    }
    return result_matches(compare_ints(found, wanted), result, error);
}

static bool
compare_holds(const kv_store_t *store, const json_t *compare,
              kv_error_t *error)
{
    const char *target = json_string_value(json_object_get(compare, "target"));
    const kv_entry_t *entry;
    kv_range_t range;
    bool holds = false;

    if (!FvKvApi_ParseRange(compare, &range, error)) {
        goto out;
    }
    if (range.end.length > 0) {
        set_error(error, &unsupported);
        goto out;
    }
    entry = FvKv_Find(store, &range.key);
    if (target != NULL && strcmp(target, "VALUE") == 0) {
        holds = value_holds(compare, entry, error);
    }
    else {
        holds = number_holds(compare, entry,
                             target != NULL ? target : "VERSION", error);
    }
out:
    FvKvApi_FreeRange(&range);
    return holds;
}

static bool
compares_hold(const kv_store_t *store, const json_t *txn, kv_error_t *error)
{
    const json_t *compares = json_object_get(txn, "compare");
    const json_t *compare;
    bool holds = true;
    size_t i;

    json_array_foreach(compares, i, compare)
    {
        holds = compare_holds(store, compare, error) && holds;
    }
    return holds;
}

static bool check_txn(kv_store_t *store, const json_t *txn, kv_error_t *error);

static bool
check_operation(kv_store_t *store, const json_t *operation, kv_error_t *error)
{
    const json_t *request;

    if ((request = json_object_get(operation, "request_put")) != NULL) {
        return check_put(store, request, error);
    }
    if ((request = json_object_get(operation, "request_range")) != NULL) {
        return check_range(request, error) &&
               check_range_options(request, error);
    }
    if ((request = json_object_get(operation, "request_delete_range")) !=
        NULL) {
        return check_range(request, error);
    }
    if ((request = json_object_get(operation, "request_txn")) != NULL) {
        return check_txn(store, request, error);
    }
    return set_error(error, &invalid_json);
}

static bool
duplicates_earlier_put(const json_t *operations, size_t index)
{
    const json_t *key = json_object_get(
        json_object_get(json_array_get(operations, index), "request_put"),
        "key");

    for (size_t i = 0; key != NULL && i < index; i++) {
        const json_t *earlier = json_object_get(
            json_object_get(json_array_get(operations, i), "request_put"),
            "key");

        if (json_equal(key, earlier)) {
            return true;
        }
    }
    return false;
}

static bool
check_operations(kv_store_t *store, const json_t *operations,
                 kv_error_t *error)
{
    const json_t *operation;
    size_t i;

    json_array_foreach(operations, i, operation)
    {
        if (!check_operation(store, operation, error)) {
            return false;
        }
        if (duplicates_earlier_put(operations, i)) {
            return set_error(error, &duplicate_key);
        }
    }
    return true;
}

/* Checks both branches before any operation is applied, as etcd does. */
static bool
check_txn(kv_store_t *store, const json_t *txn, kv_error_t *error)
{
    return check_operations(store, json_object_get(txn, "success"), error) &&
           check_operations(store, json_object_get(txn, "failure"), error);
}

static json_t *apply_txn(kv_store_t *store, const json_t *txn, int64_t now_ms,
                         kv_error_t *error);

static json_t *
apply_range(const kv_store_t *store, const json_t *request)
{
    kv_error_t ignored = {0};
    json_t *reply;
    kv_range_t range;

    FvKvApi_ParseRange(request, &range, &ignored);
    reply = read_range(store, request, &range);
    FvKvApi_FreeRange(&range);
    return reply;
}

static json_t *
apply_operation(kv_store_t *store, const json_t *operation, int64_t now_ms,
                kv_error_t *error)
{
    const json_t *request;

    if ((request = json_object_get(operation, "request_put")) != NULL) {
        return json_pack("{s:o}", "response_put",
                         apply_put(store, request, now_ms));
    }
    if ((request = json_object_get(operation, "request_range")) != NULL) {
        return json_pack("{s:o}", "response_range",
                         apply_range(store, request));
    }
    if ((request = json_object_get(operation, "request_txn")) != NULL) {
        return json_pack("{s:o}", "response_txn",
                         apply_txn(store, request, now_ms, error));
    }
    request = json_object_get(operation, "request_delete_range");
    return json_pack("{s:o}", "response_delete_range",
                     apply_delete(store, request, now_ms));
}

static json_t *
apply_txn(kv_store_t *store, const json_t *txn, int64_t now_ms,
          kv_error_t *error)
{
    bool succeeded = compares_hold(store, txn, error);
    const json_t *operations =
        json_object_get(txn, succeeded ? "success" : "failure");
    json_t *reply = json_object();
    json_t *responses = json_array();
    const json_t *operation;
    size_t i;

    json_array_foreach(operations, i, operation)
    {
        json_array_append_new(
            responses, apply_operation(store, operation, now_ms, error));
    }
    if (succeeded) {
        json_object_set_new(reply, "succeeded", json_true());
    }
    if (json_array_size(responses) > 0) {
        json_object_set(reply, "responses", responses);
    }
    json_decref(responses);
    return reply;
}

/** FvKvApi_Txn - POST /v3/kv/txn; see FvKvApi_Range() */
json_t *
FvKvApi_Txn(kv_store_t *store, const json_t *request, int64_t now_ms,
            kv_error_t *error)
{
    /* Detects a malformed comparison before any operation is applied. */
    compares_hold(store, request, error);
    if (error->status != 0 || !check_txn(store, request, error)) {
        return NULL;
    }
    return finish_write(store, apply_txn(store, request, now_ms, error));
}

/** FvKvApi_Grant - POST /v3/lease/grant; see FvKvApi_Range() */
json_t *
FvKvApi_Grant(kv_store_t *store, const json_t *request, int64_t now_ms,
              kv_error_t *error)
{
    int64_t ttl_s = FvKvApi_ReadInt(request, "TTL", 0);
    const kv_lease_t *lease;
    json_t *reply;

    if (ttl_s <= 0) {
        set_error(error, &invalid_json);
        return NULL;
    }
    lease = FvKv_GrantLease(store, FvKvApi_ReadInt(request, "ID", 0), ttl_s,
                            now_ms);
    if (lease == NULL) {
        set_error(error, &lease_exists);
        return NULL;
    }
    reply = new_reply(store);
    set_int(reply, "ID", lease->id);
    set_int(reply, "TTL", lease->ttl_s);
    return reply;
}

/** FvKvApi_KeepAlive - POST /v3/lease/keepalive; see FvKvApi_Range() */
json_t *
FvKvApi_KeepAlive(kv_store_t *store, const json_t *request, int64_t now_ms,
                  kv_error_t *error)
{
    kv_lease_t *lease =
        FvKv_FindLease(store, FvKvApi_ReadInt(request, "ID", 0));
    json_t *reply = new_reply(store);

    (void)error;
    set_int(reply, "ID", FvKvApi_ReadInt(request, "ID", 0));
    /* An unknown lease is answered without a TTL, as etcd does. */
    if (lease != NULL) {
        lease->expires_ms = now_ms + lease->ttl_s * 1000;
        set_int(reply, "TTL", lease->ttl_s);
    }
    return json_pack("{s:o}", "result", reply);
}

/** FvKvApi_Revoke - POST /v3/lease/revoke; see FvKvApi_Range() */
json_t *
FvKvApi_Revoke(kv_store_t *store, const json_t *request, int64_t now_ms,
               kv_error_t *error)
{
    if (!FvKv_RevokeLease(store, FvKvApi_ReadInt(request, "ID", 0), now_ms)) {
        set_error(error, &lease_not_found);
        return NULL;
    }
    return new_reply(store);
}

static json_t *
lease_keys(const kv_store_t *store, int64_t id)
{
    json_t *keys = json_array();

    for (size_t i = 0; i < store->count; i++) {
        json_t *object;

        if (store->entries[i]->lease != id) {
            continue;
        }
        object = json_object();
        set_bytes(object, "key", &store->entries[i]->key);
        json_array_append(keys, json_object_get(object, "key"));
        json_decref(object);
    }
    return keys;
}

/** FvKvApi_TimeToLive - POST /v3/lease/timetolive; see FvKvApi_Range() */
json_t *
FvKvApi_TimeToLive(kv_store_t *store, const json_t *request, int64_t now_ms,
                   kv_error_t *error)
{
    int64_t id = FvKvApi_ReadInt(request, "ID", 0);
    const kv_lease_t *lease = FvKv_FindLease(store, id);
    json_t *reply = new_reply(store);

    (void)error;
    set_int(reply, "ID", id);
    if (lease == NULL) {
        json_object_set_new(reply, "TTL", int_string(-1));
        return reply;
    }
    set_int(reply, "TTL", (lease->expires_ms - now_ms) / 1000);
    set_int(reply, "grantedTTL", lease->ttl_s);
    if (json_is_true(json_object_get(request, "keys"))) {
        json_object_set_new(reply, "keys", lease_keys(store, id));
    }
    return reply;
}

static json_t *
dump_entry(const kv_entry_t *entry)
{
    json_t *object = json_pack("{s:I, s:I, s:I, s:I}", "create_revision",
                               (json_int_t)entry->create_revision,
                               "mod_revision", (json_int_t)entry->mod_revision,
                               "version", (json_int_t)entry->version, "lease",
                               (json_int_t)entry->lease);
    json_t *value =
        json_stringn((const char *)entry->value.data, entry->value.length);

    json_object_set_new(
        object, "key",
        json_stringn((const char *)entry->key.data, entry->key.length));
    if (value != NULL) {
        json_object_set_new(object, "value", value);
    }
    else {
        set_bytes(object, "value_base64", &entry->value);
    }
    return object;
}

/**
 * FvKvApi_Dump - build a readable document of all keys and values
 * @store: the store
 *
 * Return: {"revision": N, "kvs": [...]} with plain strings and integers.
 */
json_t *
FvKvApi_Dump(const kv_store_t *store)
{
    json_t *entries = json_array();

    for (size_t i = 0; i < store->count; i++) {
        json_array_append_new(entries, dump_entry(store->entries[i]));
    }
    return json_pack("{s:I, s:o}", "revision", (json_int_t)store->revision,
                     "kvs", entries);
}
