/*
 * Writes this host's usage accounts and run time estimates to the store. Each
 * incarnation of a host has its own record, so that hosts do not overwrite
 * each other's totals and no record is counted twice.
 */

#include "daemon.h"

#include <stdlib.h>
#include <string.h>

/* A host that crashes loses at most the usage of this interval. */
#define Fv_LEDGER_FLUSH_MS 10000
#define Fv_LEDGER_RETRY_MS 2000

struct fv_ledger {
    fv_daemon_t *daemon;
    fv_timer_t timer;
    bool store_call_pending;
    bool estimates_loaded;
    char *last_written; /* an unchanged record is not rewritten */
};

static void
on_record_written(void *context, const fv_store_result_t *result)
{
    fv_ledger_t *ledger = context;

    ledger->store_call_pending = false;
    if (result->error != Fv_STORE_OK) {
        free(ledger->last_written);
        ledger->last_written = NULL;
    }
}

static void
write_record(fv_ledger_t *ledger)
{
    fv_daemon_t *daemon = ledger->daemon;
    char key[Fv_URL_SIZE];
    json_t *record =
        json_pack("{s:o, s:o}", "usage", FvAccounts_ToJson(daemon->accounts),
                  "estimates", FvEstimates_ToJson(daemon->estimates));
    char *text = json_dumps(record, JSON_COMPACT | JSON_SORT_KEYS);
    fv_store_txn_t *txn;

    json_decref(record);
    if (text == NULL || (ledger->last_written != NULL &&
                         strcmp(text, ledger->last_written) == 0)) {
        free(text);
        return;
    }
    free(ledger->last_written);
    ledger->last_written = text;
    ledger->store_call_pending = true;
    txn = FvStoreTxn_New();
    snprintf(key, sizeof(key), "accounts/%s-%.8s", daemon->settings.host,
             daemon->incarnation);
    FvStoreTxn_Put(txn, key, text, 0);
    FvStore_Commit(daemon->store, txn, on_record_written, ledger);
}

static void
on_estimates_read(void *context, const fv_store_result_t *result)
{
    fv_ledger_t *ledger = context;

    ledger->store_call_pending = false;
    if (result->error != Fv_STORE_OK) {
        return;
    }
    ledger->estimates_loaded = true;
    for (uint32_t i = 0; i < result->kv_count; i++) {
        json_t *record = json_loadb(result->kvs[i].value,
                                    result->kvs[i].value_length, 0, NULL);

        FvEstimates_Merge(ledger->daemon->estimates,
                          json_object_get(record, "estimates"));
        json_decref(record);
    }
}

static void
on_timer(void *owner)
{
    fv_ledger_t *ledger = owner;
    int64_t delay_ms =
        ledger->estimates_loaded ? Fv_LEDGER_FLUSH_MS : Fv_LEDGER_RETRY_MS;

    if (!ledger->store_call_pending && !ledger->estimates_loaded) {
        /* A new host starts with the estimates of the other hosts. */
        ledger->store_call_pending = true;
        FvStore_List(ledger->daemon->store, "accounts/", on_estimates_read,
                     ledger);
    }
    else if (!ledger->store_call_pending) {
        write_record(ledger);
    }
    FvLoop_SetTimer(ledger->daemon->loop, &ledger->timer,
                    FvClock_NowMs() + delay_ms);
}

/**
 * FvLedger_New - start to save accounts and estimates periodically
 * @daemon: the daemon
 *
 * Return: the ledger, or NULL when memory is exhausted.
 */
fv_ledger_t *
FvLedger_New(fv_daemon_t *daemon)
{
    fv_ledger_t *ledger = calloc(1, sizeof(*ledger));

    if (ledger == NULL) {
        return NULL;
    }
    ledger->daemon = daemon;
    ledger->timer.fire = on_timer;
    ledger->timer.owner = ledger;
    FvLoop_SetTimer(daemon->loop, &ledger->timer, FvClock_NowMs());
    return ledger;
}

/**
 * FvLedger_Flush - write the record now, unless a store call is pending
 * @ledger: the ledger
 */
void
FvLedger_Flush(fv_ledger_t *ledger)
{
    if (!ledger->store_call_pending) {
        write_record(ledger);
    }
}

/**
 * FvLedger_IsFlushed - whether no store call is pending
 * @ledger: the ledger
 *
 * Return: true when the host may stop.
 */
bool
FvLedger_IsFlushed(const fv_ledger_t *ledger)
{
    return !ledger->store_call_pending;
}

/**
 * FvLedger_Free - release the ledger
 * @ledger: the ledger, or NULL
 */
void
FvLedger_Free(fv_ledger_t *ledger)
{
    if (ledger == NULL) {
        return;
    }
    free(ledger->last_written);
    free(ledger);
}

typedef struct fv_usage_request {
    fv_daemon_t *daemon;
    fv_ticket_t *ticket;
} fv_usage_request_t;

static bool
is_own_record(const fv_daemon_t *daemon, const char *key)
{
    char own[Fv_URL_SIZE];

    snprintf(own, sizeof(own), "accounts/%s-%.8s", daemon->settings.host,
             daemon->incarnation);
    return strcmp(own, key) == 0;
}

static void
on_usage_read(void *context, const fv_store_result_t *result)
{
    fv_usage_request_t *request = context;
    fv_accounts_t *sum = FvAccounts_New();
    json_t *own = FvAccounts_ToJson(request->daemon->accounts);

    if (result->error != Fv_STORE_OK || sum == NULL) {
        FvTicket_ReplyProblem(request->ticket, 503, NULL, Fv_LEDGER_RETRY_MS,
                              "the store does not answer");
        goto done;
    }
    FvAccounts_AddJson(sum, own);
    for (uint32_t i = 0; i < result->kv_count; i++) {
        json_t *record;

        if (is_own_record(request->daemon, result->kvs[i].key)) {
            continue;
        }
        record = json_loadb(result->kvs[i].value, result->kvs[i].value_length,
                            0, NULL);
        FvAccounts_AddJson(sum, json_object_get(record, "usage"));
        json_decref(record);
    }
    FvTicket_ReplyJson(request->ticket, 200,
                       FvAccounts_MemberToJson(sum, request->ticket->member));
done:
    json_decref(own);
    FvAccounts_Free(sum);
    free(request);
}

/**
 * FvLedger_ReplyUsage - reply with the usage of the calling member
 * @ledger: the ledger
 * @ticket: the ticket
 *
 * The usage on other hosts is as of their last write.
 */
void
FvLedger_ReplyUsage(fv_ledger_t *ledger, fv_ticket_t *ticket)
{
    fv_usage_request_t *request = calloc(1, sizeof(*request));

    if (request == NULL) {
        abort();
    }
    *request =
        (fv_usage_request_t){.daemon = ledger->daemon, .ticket = ticket};
    FvStore_List(ledger->daemon->store, "accounts/", on_usage_read, request);
}
