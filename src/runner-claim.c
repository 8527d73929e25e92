/*
 * Writes of a job's claim. A write whose reply was lost is sent again with the
 * same record and expected revision, so at most one of the two takes effect.
 * The nonce in the stored record shows whether the first one did.
 */

#include "runner.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

typedef struct fv_claim_write {
    fv_run_ref_t *ref;
    fv_claim_done_t done;
    char nonce[Fv_NONCE_SIZE];
    char *text;
    int64_t revision; /* expected; 0: the key must be absent */
    bool ends_job;
    bool unconfirmed;
    int32_t attempts;
    fv_timer_t retry;
} fv_claim_write_t;

static void send_write(void *owner);

static void
free_write(fv_claim_write_t *write)
{
    free(write->ref);
    free(write->text);
    free(write);
}

static void
finish_write(fv_claim_write_t *write, fv_claim_result_t result,
             const json_t *record, int64_t revision)
{
    fv_run_t *run = FvRunRef_Find(write->ref);

    if (run != NULL) {
        run->write_pending = false;
        if (result == Fv_CLAIM_WRITTEN) {
            run->claim.revision = revision;
            run->claimed = true;
        }
        write->done(run, result, record, revision);
    }
    free_write(write);
}

static void
retry_write(fv_claim_write_t *write)
{
    fv_runner_t *runner = write->ref->runner;
    int64_t delay_ms =
        FvRetry_BackoffMs(++write->attempts, randombytes_random());

    FvLoop_SetTimer(runner->daemon->loop, &write->retry,
                    FvClock_NowMs() + delay_ms);
}

/* The record has another revision than expected. Its nonce shows whether an
 * earlier attempt of this write succeeded. */
static void
handle_failed_compare(fv_claim_write_t *write, const fv_store_result_t *result)
{
    const fv_store_kv_t *kv = result->kv_count > 0 ? &result->kvs[0] : NULL;
    json_t *record =
        kv ? json_loadb(kv->value, kv->value_length, 0, NULL) : NULL;
    const char *nonce = FvJson_String(record, "nonce");

    if (kv != NULL && nonce != NULL && strcmp(nonce, write->nonce) == 0) {
        finish_write(write, Fv_CLAIM_WRITTEN, record, kv->mod_revision);
    }
    else {
        FvMetrics_Add(Fv_COUNTER_CLAIM_CONFLICTS, 1);
        finish_write(write, Fv_CLAIM_LOST, record, kv ? kv->mod_revision : 0);
    }
    json_decref(record);
}

static void
receive_write(void *context, const fv_store_result_t *result)
{
    fv_claim_write_t *write = context;

    switch (result->error) {
    case Fv_STORE_OK:
        if (result->succeeded) {
            finish_write(write, Fv_CLAIM_WRITTEN, NULL, result->revision);
        }
        else {
            handle_failed_compare(write, result);
        }
        return;
    case Fv_STORE_UNCONFIRMED:
    case Fv_STORE_MALFORMED:
        write->unconfirmed = true;
        break;
    case Fv_STORE_UNAVAILABLE:
    case Fv_STORE_REJECTED:
        break;
    }
    /* A failed write is retried if it may have taken effect, or if it contains
     * the job's outcome, which would otherwise be lost. */
    if (write->unconfirmed || write->ends_job) {
        retry_write(write);
        return;
    }
    finish_write(write, Fv_CLAIM_UNAVAILABLE, NULL, 0);
}

static void
add_index_change(const fv_claim_write_t *write, const fv_run_t *run,
                 fv_store_txn_t *txn)
{
    char index_key[Fv_URL_SIZE * 2];

    snprintf(index_key, sizeof(index_key), "active/%s/%s", run->claim.holder,
             run->name);
    if (write->ends_job) {
        FvStoreTxn_Delete(txn, index_key);
    }
    else {
        FvStoreTxn_Put(txn, index_key, "", 0);
    }
    if (run->previous_holder[0] != '\0' &&
        strcmp(run->previous_holder, run->claim.holder) != 0) {
        snprintf(index_key, sizeof(index_key), "active/%s/%s",
                 run->previous_holder, run->name);
        FvStoreTxn_Delete(txn, index_key);
    }
}

static void
send_write(void *owner)
{
    fv_claim_write_t *write = owner;
    fv_runner_t *runner = write->ref->runner;
    fv_run_t *run = FvRunRef_Find(write->ref);
    fv_store_txn_t *txn;
    char key[Fv_URL_SIZE];

    if (run == NULL) {
        free_write(write);
        return;
    }
    txn = FvStoreTxn_New();
    FvClaim_Key(run->job->member, run->job->key, key, sizeof(key));
    if (write->revision == 0) {
        FvStoreTxn_CompareAbsent(txn, key);
    }
    else {
        FvStoreTxn_CompareRevision(txn, key, write->revision);
    }
    FvStoreTxn_Put(txn, key, write->text,
                   write->ends_job ? runner->retention_lease : 0);
    add_index_change(write, run, txn);
    FvStoreTxn_ReadOnFailure(txn, key);
    FvStore_Commit(runner->daemon->store, txn, receive_write, write);
}

/**
 * FvRun_WriteClaim - write the current state of a job to its claim
 * @run: the job; no write may be pending
 * @done: called with the result, unless the run has been removed by then
 *
 * The write succeeds only if the record still has the revision that this host
 * last wrote or read.
 */
void
FvRun_WriteClaim(fv_run_t *run, fv_claim_done_t done)
{
    fv_claim_write_t *write = calloc(1, sizeof(*write));
    const fv_daemon_t *daemon = run->runner->daemon;
    json_t *record;

    if (write == NULL) {
        abort();
    }
    FvText_Copy(run->claim.holder, Fv_NAME_SIZE, daemon->settings.host);
    FvText_Copy(run->claim.incarnation, Fv_NONCE_SIZE, daemon->incarnation);
    FvText_RandomHex(run->claim.nonce, sizeof(run->claim.nonce));
    record = FvClaim_ToJson(run);
    write->ref = FvRunRef_New(run, 0);
    write->done = done;
    write->text = json_dumps(record, JSON_COMPACT);
    write->revision = run->claim.revision;
    write->ends_job = run->job->state == Fv_JOB_ENDED;
    write->retry.fire = send_write;
    write->retry.owner = write;
    FvText_Copy(write->nonce, sizeof(write->nonce), run->claim.nonce);
    json_decref(record);
    run->write_pending = true;
    send_write(write);
}

static void
finish_admission(fv_run_t *run, fv_claim_result_t result, const json_t *record,
                 int64_t revision)
{
    (void)revision;
    switch (result) {
    case Fv_CLAIM_WRITTEN:
        if (!FvRun_EndIfCancelledOrExpired(run) && !FvRun_Enqueue(run)) {
            FvRun_End(run, Fv_OUTCOME_NOT_RUN, "the queue is full");
        }
        break;
    case Fv_CLAIM_LOST:
        FvRun_OnClaimLost(run, record);
        break;
    case Fv_CLAIM_UNAVAILABLE:
        if (!FvRun_EndIfCancelledOrExpired(run)) {
            FvRun_BackOff(run);
        }
        break;
    }
}

/**
 * FvRun_Admit - write the claim of a new job
 * @run: the job
 */
void
FvRun_Admit(fv_run_t *run)
{
    run->phase = Fv_RUN_ADMITTING;
    run->job->state = Fv_JOB_QUEUED;
    FvRun_WriteClaim(run, finish_admission);
}

/* Sends 409 to the waiters if the key belongs to a job with another body. */
static bool
refuse_key_conflict(fv_run_t *run, const json_t *record)
{
    const char *digest = FvJson_String(record, "digest");

    if (digest == NULL || strcmp(digest, run->job->body_digest) == 0) {
        return false;
    }
    FvRun_RefuseWaiters(run, 409, "",
                        "this key was used with another request");
    return true;
}

/**
 * FvRun_OnClaimLost - remove a job whose claim another host holds
 * @run: the job; freed
 * @record: the record, or NULL when it is not known
 *
 * Callers that wait here get their replies through the claim's holder.
 */
void
FvRun_OnClaimLost(fv_run_t *run, const json_t *record)
{
    fv_runner_t *runner = run->runner;
    fv_job_waiter_t *waiters;
    char member[Fv_NAME_SIZE];
    char key[Fv_KEY_SIZE];
    const char *holder = FvJson_String(record, "holder");

    FvLog_Event(Fv_LOG_INFO, "claim_lost", "job=%s holder=%s", run->name,
                holder ? holder : "unknown");
    refuse_key_conflict(run, record);
    FvText_Copy(member, sizeof(member), run->job->member);
    FvText_Copy(key, sizeof(key), run->job->key);
    waiters = run->waiters;
    run->waiters = NULL;
    FvRunner_Remove(run);
    while (waiters != NULL) {
        fv_job_waiter_t *waiter = waiters;

        waiters = waiter->next;
        FvRemoteJob_Wait(runner, member, key, waiter);
    }
}
