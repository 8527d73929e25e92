/*
 * Recovery of claims whose holder is gone. Each host registers itself under
 * hosts/ in the store when it starts. When the platform no longer lists a
 * host, its successor by rendezvous hashing takes over its open claims, one
 * compare-and-swap each.
 */

#include "runner.h"

#include <stdlib.h>
#include <string.h>

#define Fv_RECOVERY_SCAN_INTERVAL_MS 2000
/* A delayed write of a dead host may still add a claim, so its index is
 * scanned until it has been empty for this long. */
#define Fv_RECOVERY_FORGET_AFTER_MS (5 * 60 * 1000)
#define Fv_RECOVERY_SILENCE_TIMEOUT_MS 6000
#define Fv_RECOVERY_IDLE_SCAN_INTERVAL_MS 15000
#define Fv_RECOVERY_REGISTER_RETRY_MS 1000

/* A host whose claims this host recovers. */
typedef struct fv_gone_host {
    char name[Fv_NAME_SIZE];
    fv_recovery_t *recovery;
    bool read_pending;
    int64_t next_read_ms;
    int64_t empty_since_ms; /* boot; 0: the index was not empty */
    struct fv_gone_host *next;
} fv_gone_host_t;

struct fv_recovery {
    fv_runner_t *runner;
    fv_timer_t timer;
    fv_gone_host_t *gone;
    bool registered;
    bool registry_call_pending;
    int64_t next_registry_read_ms;
};

/* A claim that is being read. */
typedef struct fv_claim_read {
    fv_runner_t *runner;
    char member[Fv_NAME_SIZE];
    char key[Fv_KEY_SIZE];
} fv_claim_read_t;

/* The list drops dead hosts late, and the link to a hung host may stay up, so
 * an unlisted host counts only if it was heard from recently. */
static bool
is_present(const fv_host_t *host)
{
    bool heard = FvClock_NowMs() - host->last_heard_ms <=
                 Fv_RECOVERY_SILENCE_TIMEOUT_MS;

    return host->listed || (host->linked && heard);
}

/**
 * FvRecovery_IsHolderGone - whether a claim's holder can no longer act on it
 * @runner: the runner
 * @holder: the holder's name
 * @incarnation: the holder's incarnation
 *
 * Return: true for a former incarnation of this host, and for a host that is
 * neither listed nor heard from.
 */
bool
FvRecovery_IsHolderGone(const fv_runner_t *runner, const char *holder,
                        const char *incarnation)
{
    const fv_daemon_t *daemon = runner->daemon;
    const fv_host_t *host;

    if (strcmp(holder, daemon->settings.host) == 0) {
        return strcmp(incarnation, daemon->incarnation) != 0;
    }
    /* Before the first host list, nothing is known about other hosts. */
    if (daemon->hosts.count <= 1 && !daemon->self->listed) {
        return false;
    }
    host = FvHosts_Find(&daemon->hosts, holder);
    if (host == NULL || !is_present(host)) {
        return true;
    }
    /* A restarted host recovers the claims of its former incarnation. Other
     * hosts do so only if its link shows a different incarnation. */
    return host->linked && strcmp(host->incarnation, incarnation) != 0 &&
           host->incarnation[0] != '\0';
}

static void
resolve_adopted_tasks(void *owner)
{
    fv_run_t *run = owner;

    for (int32_t i = 0; i < run->task_count; i++) {
        if (run->job->state != Fv_JOB_ENDED) {
            FvRun_ResolveTask(run, i);
        }
    }
}

static void
finish_adoption(fv_run_t *run, fv_claim_result_t result, const json_t *record,
                int64_t revision)
{
    fv_runner_t *runner = run->runner;

    (void)revision;
    if (result == Fv_CLAIM_LOST) {
        FvRun_OnClaimLost(run, record);
        return;
    }
    if (result == Fv_CLAIM_UNAVAILABLE) {
        /* The record still names the former holder and is read again. */
        FvRun_OnClaimLost(run, NULL);
        return;
    }
    FvMetrics_Add(Fv_COUNTER_CLAIMS_RECOVERED, 1);
    FvLog_Event(Fv_LOG_INFO, "claim_recovered", "job=%s from=%s state=%s",
                run->name, run->previous_holder,
                FvJobState_Name(run->job->state));
    if (run->job->state == Fv_JOB_RUNNING) {
        run->phase = Fv_RUN_RUNNING;
        /* The former holder may have sent a start just before the takeover,
         * so the tasks are queried after its reservations have expired. */
        run->timer.fire = resolve_adopted_tasks;
        FvLoop_SetTimer(runner->daemon->loop, &run->timer,
                        FvClock_NowMs() + Fv_RESERVATION_TTL_MS +
                            Fv_START_GRACE_MS);
        return;
    }
    run->phase = Fv_RUN_BACKOFF;
    if (!FvRun_EndIfCancelledOrExpired(run)) {
        FvRun_BackOff(run);
    }
}

/**
 * FvRecovery_Adopt - take over the claim of a host that is gone
 * @runner: the runner
 * @member: the job's member
 * @key: its key
 * @record: the claim record as read
 * @revision: the record's revision in the store
 */
void
FvRecovery_Adopt(fv_runner_t *runner, const char *member, const char *key,
                 const json_t *record, int64_t revision)
{
    fv_workload_t placeholder = {.tasks = 1};
    fv_job_t *job;
    fv_run_t *run;

    if (FvRunner_Find(runner, member, key) != NULL ||
        atomic_load(&runner->daemon->draining)) {
        return;
    }
    job = FvJob_New(member, key, &placeholder);
    if (job == NULL) {
        return;
    }
    run = FvRunner_Add(runner, job);
    run->phase = Fv_RUN_CLAIMING;
    if (!FvClaim_FromJson(record, run)) {
        FvLog_Event(Fv_LOG_ERROR, "claim_malformed", "job=%s", run->name);
        FvRunner_Remove(run);
        return;
    }
    runner->payload_bytes += job->payload_length;
    job->submitted_ns = FvClock_NowNs() -
                        (FvClock_WallMs() - job->submitted_ms) * Fv_NS_PER_MS;
    run->claimed = true;
    run->claim.revision = revision;
    FvText_Copy(run->previous_holder, sizeof(run->previous_holder),
                run->claim.holder);
    FvRun_WriteClaim(run, finish_adoption);
}

static void
receive_claim(void *context, const fv_store_result_t *result)
{
    fv_claim_read_t *read = context;
    json_t *record = NULL;
    const char *holder;
    const char *incarnation;
    const char *state;

    if (result->error == Fv_STORE_OK && result->kv_count > 0) {
        record = json_loadb(result->kvs[0].value, result->kvs[0].value_length,
                            0, NULL);
    }
    holder = FvJson_String(record, "holder");
    incarnation = FvJson_String(record, "incarnation");
    state = FvJson_String(record, "state");
    if (holder != NULL && incarnation != NULL && state != NULL &&
        strcmp(state, "ended") != 0 &&
        FvRecovery_IsHolderGone(read->runner, holder, incarnation)) {
        FvRecovery_Adopt(read->runner, read->member, read->key, record,
                         result->kvs[0].mod_revision);
    }
    json_decref(record);
    free(read);
}

/* Reads the claim for an index key active/HOST/MEMBER/KEY. */
static void
read_indexed_claim(fv_runner_t *runner, const char *index_key)
{
    const char *member = strchr(index_key, '/');
    const char *key;
    fv_claim_read_t *read;
    char claim_key[Fv_URL_SIZE];

    member = member ? strchr(member + 1, '/') : NULL;
    key = member ? strchr(member + 1, '/') : NULL;
    if (key == NULL || key - member - 1 >= Fv_NAME_SIZE) {
        return;
    }
    read = calloc(1, sizeof(*read));
    if (read == NULL) {
        return;
    }
    read->runner = runner;
    memcpy(read->member, member + 1, (size_t)(key - member - 1));
    FvText_Copy(read->key, sizeof(read->key), key + 1);
    if (FvRunner_Find(runner, read->member, read->key) != NULL) {
        free(read);
        return;
    }
    FvClaim_Key(read->member, read->key, claim_key, sizeof(claim_key));
    FvStore_Get(runner->daemon->store, claim_key, receive_claim, read);
}

static void
ignore_result(void *context, const fv_store_result_t *result)
{
    (void)context;
    (void)result;
}

/* Whether the entry stands for a former incarnation of this host, whose index
 * also has the jobs of the current incarnation. */
static bool
is_self(const fv_gone_host_t *gone)
{
    return strcmp(gone->name, gone->recovery->runner->daemon->settings.host) ==
           0;
}

static void
forget_host(fv_recovery_t *recovery, fv_gone_host_t *gone)
{
    fv_gone_host_t **link = &recovery->gone;
    char key[Fv_URL_SIZE];

    if (!is_self(gone)) {
        fv_store_txn_t *txn = FvStoreTxn_New();

        snprintf(key, sizeof(key), "hosts/%s", gone->name);
        FvStoreTxn_Delete(txn, key);
        FvStore_Commit(recovery->runner->daemon->store, txn, ignore_result,
                       NULL);
    }
    while (*link != gone) {
        link = &(*link)->next;
    }
    *link = gone->next;
    free(gone);
}

static void
receive_index(void *context, const fv_store_result_t *result)
{
    fv_gone_host_t *gone = context;
    fv_recovery_t *recovery = gone->recovery;
    int64_t now_ms = FvClock_NowMs();

    gone->read_pending = false;
    gone->next_read_ms = now_ms + Fv_RECOVERY_SCAN_INTERVAL_MS;
    if (result->error != Fv_STORE_OK) {
        return;
    }
    for (uint32_t i = 0; i < result->kv_count; i++) {
        read_indexed_claim(recovery->runner, result->kvs[i].key);
    }
    if (result->kv_count > 0 && !is_self(gone)) {
        gone->empty_since_ms = 0;
        return;
    }
    gone->next_read_ms = now_ms + Fv_RECOVERY_IDLE_SCAN_INTERVAL_MS;
    if (gone->empty_since_ms == 0) {
        gone->empty_since_ms = now_ms;
    }
}

static void
read_index(fv_gone_host_t *gone)
{
    char prefix[Fv_URL_SIZE];

    snprintf(prefix, sizeof(prefix), "active/%s/", gone->name);
    gone->read_pending = true;
    FvStore_List(gone->recovery->runner->daemon->store, prefix, receive_index,
                 gone);
}

static fv_gone_host_t *
find_gone_host(const fv_recovery_t *recovery, const char *name)
{
    fv_gone_host_t *gone = recovery->gone;

    while (gone != NULL && strcmp(gone->name, name) != 0) {
        gone = gone->next;
    }
    return gone;
}

static void
add_gone_host(fv_recovery_t *recovery, const char *name)
{
    fv_gone_host_t *gone;

    if (find_gone_host(recovery, name) != NULL) {
        return;
    }
    gone = calloc(1, sizeof(*gone));
    if (gone == NULL) {
        return;
    }
    gone->recovery = recovery;
    FvText_Copy(gone->name, sizeof(gone->name), name);
    gone->next = recovery->gone;
    recovery->gone = gone;
}

static bool
is_successor(const fv_recovery_t *recovery, const char *name)
{
    fv_daemon_t *daemon = recovery->runner->daemon;

    return FvHosts_Successor(&daemon->hosts, daemon->self, name,
                             FvClock_NowMs()) == daemon->self;
}

/* Whether a registered host needs a successor. */
static bool
needs_successor(const fv_recovery_t *recovery, const char *name)
{
    const fv_daemon_t *daemon = recovery->runner->daemon;
    const fv_host_t *host = FvHosts_Find(&daemon->hosts, name);

    if (strcmp(name, daemon->settings.host) == 0) {
        return false;
    }
    return host == NULL || !is_present(host);
}

static void
receive_registry(void *context, const fv_store_result_t *result)
{
    fv_recovery_t *recovery = context;

    recovery->registry_call_pending = false;
    if (result->error != Fv_STORE_OK) {
        return;
    }
    for (uint32_t i = 0; i < result->kv_count; i++) {
        const char *name = strchr(result->kvs[i].key, '/');

        if (name != NULL && needs_successor(recovery, name + 1)) {
            add_gone_host(recovery, name + 1);
        }
    }
}

static void
receive_registration(void *context, const fv_store_result_t *result)
{
    fv_recovery_t *recovery = context;

    recovery->registered = result->error == Fv_STORE_OK;
    recovery->registry_call_pending = false;
}

/* Registers this host in the store, so that a successor finds its claims. */
static void
register_host(fv_recovery_t *recovery)
{
    const fv_daemon_t *daemon = recovery->runner->daemon;
    fv_store_txn_t *txn = FvStoreTxn_New();
    char key[Fv_URL_SIZE];

    snprintf(key, sizeof(key), "hosts/%s", daemon->settings.host);
    FvStoreTxn_Put(txn, key, daemon->incarnation, 0);
    recovery->registry_call_pending = true;
    FvStore_Commit(daemon->store, txn, receive_registration, recovery);
}

static void
read_registry(fv_recovery_t *recovery)
{
    fv_daemon_t *daemon = recovery->runner->daemon;

    recovery->next_registry_read_ms =
        FvClock_NowMs() + Fv_RECOVERY_IDLE_SCAN_INTERVAL_MS;
    /* Only one live host reads the registry; which one does not matter. */
    if (!is_successor(recovery, "registry")) {
        return;
    }
    recovery->registry_call_pending = true;
    FvStore_List(daemon->store, "hosts/", receive_registry, recovery);
}

static void
scan_gone_hosts(fv_recovery_t *recovery)
{
    int64_t now_ms = FvClock_NowMs();
    fv_gone_host_t *gone = recovery->gone;

    while (gone != NULL) {
        fv_gone_host_t *next = gone->next;
        if (gone->read_pending || now_ms < gone->next_read_ms) {
            gone = next;
            continue;
        }
        if (gone->empty_since_ms != 0 &&
            now_ms - gone->empty_since_ms > Fv_RECOVERY_FORGET_AFTER_MS) {
            forget_host(recovery, gone);
        }
        else if (is_self(gone) || (needs_successor(recovery, gone->name) &&
                                   is_successor(recovery, gone->name))) {
            read_index(gone);
        }
        gone = next;
    }
}

static void
tick(void *owner)
{
    fv_recovery_t *recovery = owner;
    fv_daemon_t *daemon = recovery->runner->daemon;
    int64_t now_ms = FvClock_NowMs();

    FvLoop_SetTimer(daemon->loop, &recovery->timer,
                    now_ms + Fv_RECOVERY_REGISTER_RETRY_MS);
    if (atomic_load(&daemon->draining) || !daemon->self->listed) {
        return;
    }
    scan_gone_hosts(recovery);
    if (recovery->registry_call_pending) {
        return;
    }
    if (!recovery->registered) {
        register_host(recovery);
    }
    else if (now_ms >= recovery->next_registry_read_ms) {
        read_registry(recovery);
    }
}

/**
 * FvRecovery_New - start to recover the claims of hosts that are gone
 * @runner: the runner
 *
 * Return: the object, or NULL when memory is exhausted.
 */
fv_recovery_t *
FvRecovery_New(fv_runner_t *runner)
{
    fv_recovery_t *recovery = calloc(1, sizeof(*recovery));

    if (recovery == NULL) {
        return NULL;
    }
    recovery->runner = runner;
    recovery->timer.fire = tick;
    recovery->timer.owner = recovery;
    /* A former incarnation of this host may have left claims. */
    add_gone_host(recovery, runner->daemon->settings.host);
    FvLoop_SetTimer(runner->daemon->loop, &recovery->timer, FvClock_NowMs());
    return recovery;
}

/**
 * FvRecovery_Free - free the object
 * @recovery: the object, or NULL
 */
void
FvRecovery_Free(fv_recovery_t *recovery)
{
    if (recovery == NULL) {
        return;
    }
    while (recovery->gone != NULL) {
        fv_gone_host_t *gone = recovery->gone;

        recovery->gone = gone->next;
        free(gone);
    }
    free(recovery);
}

/**
 * FvRecovery_OnHosts - handle a change of the host list
 * @recovery: the object
 */
void
FvRecovery_OnHosts(fv_recovery_t *recovery)
{
    const fv_daemon_t *daemon = recovery->runner->daemon;

    for (uint32_t i = 0; i < daemon->hosts.count; i++) {
        const fv_host_t *host = daemon->hosts.entries[i];

        if (needs_successor(recovery, host->name)) {
            add_gone_host(recovery, host->name);
        }
    }
}
