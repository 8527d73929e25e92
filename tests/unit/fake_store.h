/*
 * An in-memory store that replaces store.c at link time. Calls are queued, and
 * fake_store_run executes them one by one, so that concurrent handlers
 * interleave as they do over a network.
 */

#ifndef FAKE_STORE_H
#define FAKE_STORE_H

#include "daemon.h"

#include <stdlib.h>
#include <string.h>

typedef enum fake_fault {
    FAKE_NO_FAULT,
    FAKE_UNAVAILABLE,  /* all calls fail without effect */
    FAKE_LOSE_ANSWER,  /* the next commit is applied; its answer is lost */
    FAKE_LOSE_REQUEST, /* the next commit is not applied; unconfirmed */
} fake_fault_t;

struct fv_store_txn {
    json_t *compare;
    json_t *puts;
    json_t *deletes;
};

typedef struct fake_call {
    fv_store_txn_t *txn; /* NULL for a read */
    char key[Fv_URL_SIZE];
    bool list;
    fv_store_done_t done;
    void *context;
} fake_call_t;

static struct {
    json_t *values;    /* by key */
    json_t *revisions; /* by key */
    int64_t revision;
    fake_fault_t fault;
    fake_call_t calls[64];
    size_t first;
    size_t count;
    int commits;
    bool watching;
    fv_store_done_t watch_event;
    void *watch_context;
} fake_store;

static inline void
fake_store_reset(void)
{
    json_decref(fake_store.values);
    json_decref(fake_store.revisions);
    memset(&fake_store, 0, sizeof(fake_store));
    fake_store.values = json_object();
    fake_store.revisions = json_object();
}

static inline void
fake_store_put(const char *key, const char *value)
{
    json_object_set_new(fake_store.values, key, json_string(value));
    json_object_set_new(fake_store.revisions, key,
                        json_integer(fake_store.revision));
}

static void
push_call(fake_call_t call)
{
    fake_store.calls[(fake_store.first + fake_store.count++) % 64] = call;
}

static bool
compare_holds(const json_t *compare)
{
    const char *key = FvJson_String(compare, "key");
    const json_t *value = json_object_get(compare, "value");
    int64_t revision = FvJson_Int(compare, "revision", -1);

    if (value != NULL) {
        return json_equal(json_object_get(fake_store.values, key), value);
    }
    return FvJson_Int(fake_store.revisions, key, 0) == revision;
}

static bool
apply_txn(fv_store_txn_t *txn)
{
    size_t index;
    const json_t *entry;
    const char *key;
    json_t *value;

    json_array_foreach(txn->compare, index, entry)
    {
        if (!compare_holds(entry)) {
            return false;
        }
    }
    fake_store.revision++;
    json_object_foreach(txn->puts, key, value)
    {
        fake_store_put(key, json_string_value(value));
    }
    json_array_foreach(txn->deletes, index, entry)
    {
        json_object_del(fake_store.values, json_string_value(entry));
        json_object_del(fake_store.revisions, json_string_value(entry));
    }
    return true;
}

static void
free_txn(fv_store_txn_t *txn)
{
    json_decref(txn->compare);
    json_decref(txn->puts);
    json_decref(txn->deletes);
    free(txn);
}

static void
run_commit(fake_call_t *call)
{
    fv_store_result_t result = {0};
    fake_fault_t fault = fake_store.fault;

    if (fault == FAKE_UNAVAILABLE) {
        result.error = Fv_STORE_UNAVAILABLE;
    }
    else {
        fake_store.fault = FAKE_NO_FAULT;
        if (fault != FAKE_LOSE_REQUEST) {
            result.succeeded = apply_txn(call->txn);
            fake_store.commits += result.succeeded;
        }
        result.error =
            fault == FAKE_NO_FAULT ? Fv_STORE_OK : Fv_STORE_UNCONFIRMED;
    }
    result.revision = fake_store.revision;
    free_txn(call->txn);
    call->done(call->context, &result);
}

static void
run_read(fake_call_t *call)
{
    fv_store_kv_t kvs[64];
    fv_store_result_t result = {.kvs = kvs, .revision = fake_store.revision};
    const char *key;
    json_t *value;

    if (fake_store.fault == FAKE_UNAVAILABLE) {
        result.error = Fv_STORE_UNAVAILABLE;
        call->done(call->context, &result);
        return;
    }
    json_object_foreach(fake_store.values, key, value)
    {
        if (call->list ? strncmp(key, call->key, strlen(call->key)) == 0
                       : strcmp(key, call->key) == 0) {
            kvs[result.kv_count++] = (fv_store_kv_t){
                .key = (char *)key,
                .value = (char *)json_string_value(value),
                .value_length = json_string_length(value),
                .mod_revision = FvJson_Int(fake_store.revisions, key, 0),
            };
        }
    }
    call->done(call->context, &result);
}

/* Executes all queued calls, including those that callbacks add. */
static inline void
fake_store_run(void)
{
    while (fake_store.count > 0) {
        fake_call_t call = fake_store.calls[fake_store.first];

        fake_store.first = (fake_store.first + 1) % 64;
        fake_store.count--;
        if (call.txn != NULL) {
            run_commit(&call);
        }
        else {
            run_read(&call);
        }
    }
}

fv_store_txn_t *
FvStoreTxn_New(void)
{
    fv_store_txn_t *txn = calloc(1, sizeof(*txn));

    txn->compare = json_array();
    txn->puts = json_object();
    txn->deletes = json_array();
    return txn;
}

void
FvStoreTxn_CompareAbsent(fv_store_txn_t *txn, const char *key)
{
    FvStoreTxn_CompareRevision(txn, key, 0);
}

void
FvStoreTxn_CompareRevision(fv_store_txn_t *txn, const char *key,
                           int64_t mod_revision)
{
    json_array_append_new(txn->compare,
                          json_pack("{s:s, s:I}", "key", key, "revision",
                                    (json_int_t)mod_revision));
}

void
FvStoreTxn_CompareValue(fv_store_txn_t *txn, const char *key,
                        const char *value)
{
    json_array_append_new(txn->compare,
                          json_pack("{s:s, s:s}", "key", key, "value", value));
}

void
FvStoreTxn_Put(fv_store_txn_t *txn, const char *key, const char *value,
               int64_t lease)
{
    (void)lease;
    json_object_set_new(txn->puts, key, json_string(value));
}

void
FvStoreTxn_Delete(fv_store_txn_t *txn, const char *key)
{
    json_array_append_new(txn->deletes, json_string(key));
}

void
FvStore_Commit(fv_store_t *store, fv_store_txn_t *txn, fv_store_done_t done,
               void *context)
{
    (void)store;
    push_call((fake_call_t){.txn = txn, .done = done, .context = context});
}

static void
push_read(const char *key, bool list, fv_store_done_t done, void *context)
{
    fake_call_t call = {.list = list, .done = done, .context = context};

    FvText_Copy(call.key, sizeof(call.key), key);
    push_call(call);
}

void
FvStore_Get(fv_store_t *store, const char *key, fv_store_done_t done,
            void *context)
{
    (void)store;
    push_read(key, false, done, context);
}

void
FvStore_List(fv_store_t *store, const char *key_prefix, fv_store_done_t done,
             void *context)
{
    (void)store;
    push_read(key_prefix, true, done, context);
}

void
FvStore_GrantLease(fv_store_t *store, int64_t ttl_s, fv_store_done_t done,
                   void *context)
{
    fv_store_result_t result = {.succeeded = true, .lease = ttl_s};

    (void)store;
    done(context, &result);
}

void
FvStore_Watch(fv_store_t *store, const char *key_prefix,
              int64_t start_revision, fv_store_done_t event, void *context)
{
    (void)store;
    (void)key_prefix;
    (void)start_revision;
    fake_store.watching = true;
    fake_store.watch_event = event;
    fake_store.watch_context = context;
}

void
FvStore_StopWatch(fv_store_t *store)
{
    (void)store;
    fake_store.watching = false;
}

#endif
