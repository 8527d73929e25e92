/*
 * This host's accounts and learned run times in the store. Each incarnation
 * of a host writes its own record, so that no host adds to another's figures
 * and a record is never counted twice.
 */

#include "daemon.h"

#include <stdlib.h>
#include <string.h>

/* The death of a host loses at most this much of what it accrued. */
#define Fv_LEDGER_FLUSH_MS 10000
#define Fv_LEDGER_RETRY_MS 2000

struct fv_ledger {
    fv_daemon_t *daemon;
    fv_timer_t timer;
    bool pending;
    bool estimates_read;
    char *last_written; /* an unchanged record is not written again */
};

static void
receive_flush(void *context, const fv_store_result_t *result)
{
    fv_ledger_t *ledger = context;

    ledger->pending = false;
    if (result->error != Fv_STORE_OK) {
        free(ledger->last_written);
        ledger->last_written = NULL;
    }
}

static void
flush(fv_ledger_t *ledger)
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
    ledger->pending = true;
    txn = FvStoreTxn_New();
    snprintf(key, sizeof(key), "accounts/%s-%.8s", daemon->settings.host,
             daemon->incarnation);
    FvStoreTxn_Put(txn, key, text, 0);
    FvStore_Commit(daemon->store, txn, receive_flush, ledger);
}

static void
receive_estimates(void *context, const fv_store_result_t *result)
{
    fv_ledger_t *ledger = context;

    ledger->pending = false;
    if (result->error != Fv_STORE_OK) {
        return;
    }
    ledger->estimates_read = true;
    for (uint32_t i = 0; i < result->kv_count; i++) {
        json_t *record = json_loadb(result->kvs[i].value,
                                    result->kvs[i].value_length, 0, NULL);

        FvEstimates_Merge(ledger->daemon->estimates,
                          json_object_get(record, "estimates"));
        json_decref(record);
    }
}

static void
tick(void *owner)
{
    fv_ledger_t *ledger = owner;
    int64_t delay_ms =
        ledger->estimates_read ? Fv_LEDGER_FLUSH_MS : Fv_LEDGER_RETRY_MS;

    if (!ledger->pending && !ledger->estimates_read) {
        /* A new host starts with what the others have learned. */
        ledger->pending = true;
        FvStore_List(ledger->daemon->store, "accounts/", receive_estimates,
                     ledger);
    }
    else if (!ledger->pending) {
        flush(ledger);
    }
    FvLoop_SetTimer(ledger->daemon->loop, &ledger->timer,
                    FvClock_NowMs() + delay_ms);
}

/**
 * FvLedger_New - start writing accounts
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
    ledger->timer.fire = tick;
    ledger->timer.owner = ledger;
    FvLoop_SetTimer(daemon->loop, &ledger->timer, FvClock_NowMs());
    return ledger;
}

/**
 * FvLedger_Flush - write the accounts now
 * @ledger: the ledger
 */
void
FvLedger_Flush(fv_ledger_t *ledger)
{
    if (!ledger->pending) {
        flush(ledger);
    }
}

/**
 * FvLedger_IsFlushed - whether no write is outstanding
 * @ledger: the ledger
 *
 * Return: true when the host may stop.
 */
bool
FvLedger_IsFlushed(const fv_ledger_t *ledger)
{
    return !ledger->pending;
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

typedef struct fv_usage_read {
    fv_daemon_t *daemon;
    fv_ticket_t *ticket;
} fv_usage_read_t;

static bool
is_own_record(const fv_daemon_t *daemon, const char *key)
{
    char own[Fv_URL_SIZE];

    snprintf(own, sizeof(own), "accounts/%s-%.8s", daemon->settings.host,
             daemon->incarnation);
    return strcmp(own, key) == 0;
}

static void
receive_usage(void *context, const fv_store_result_t *result)
{
    fv_usage_read_t *read = context;
    fv_accounts_t *sum = FvAccounts_New();
    json_t *own = FvAccounts_ToJson(read->daemon->accounts);

    if (result->error != Fv_STORE_OK || sum == NULL) {
        FvTicket_ReplyProblem(read->ticket, 503, NULL, Fv_LEDGER_RETRY_MS,
                              "the store does not answer");
        goto done;
    }
    FvAccounts_AddJson(sum, own);
    for (uint32_t i = 0; i < result->kv_count; i++) {
        json_t *record;

        if (is_own_record(read->daemon, result->kvs[i].key)) {
            continue;
        }
        record = json_loadb(result->kvs[i].value, result->kvs[i].value_length,
                            0, NULL);
        FvAccounts_AddJson(sum, json_object_get(record, "usage"));
        json_decref(record);
    }
    FvTicket_ReplyJson(read->ticket, 200,
                       FvAccounts_MemberToJson(sum, read->ticket->member));
done:
    json_decref(own);
    FvAccounts_Free(sum);
    free(read);
}

/**
 * FvLedger_ReplyUsage - answer a ticket with the usage of its member
 * @ledger: the ledger
 * @ticket: the ticket
 *
 * The figures of other hosts are as of their last write.
 */
void
FvLedger_ReplyUsage(fv_ledger_t *ledger, fv_ticket_t *ticket)
{
    fv_usage_read_t *read = calloc(1, sizeof(*read));

    if (read == NULL) {
        abort();
    }
    *read = (fv_usage_read_t){.daemon = ledger->daemon, .ticket = ticket};
    FvStore_List(ledger->daemon->store, "accounts/", receive_usage, read);
}
