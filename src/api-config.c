/*
 * Saves answers, generates proposals, and shows the active configuration.
 */

#include "daemon.h"

#include <stdlib.h>
#include <string.h>
#include <urcu.h>

#define ANSWERS_PREFIX "answers/"
/* Long enough for a review over a weekend; then the store removes proposal
 * and votes. */
#define PROPOSAL_TTL_S INT64_C(604800)
#define RETRY_MS 500

/* A request that saves answers. */
typedef struct saving {
    fv_daemon_t *daemon;
    fv_ticket_t *ticket;
    char key[Fv_KEY_SIZE];
    char *text;
    json_t *reply;
} saving_t;

static void
free_saving(saving_t *saving)
{
    json_decref(saving->reply);
    free(saving->text);
    free(saving);
}

static void
finish_saving(saving_t *saving, fv_store_error_t error)
{
    if (error == Fv_STORE_OK) {
        FvTicket_ReplyJson(saving->ticket, 200, json_incref(saving->reply));
    }
    else {
        FvApiConfig_ReplyStoreError(saving->ticket, error);
    }
    free_saving(saving);
}

/* A lost answer of the store: the write took effect when it can be read. */
static void
on_saved_read_back(void *context, const fv_store_result_t *result)
{
    saving_t *saving = context;
    bool saved = result->error == Fv_STORE_OK && result->kv_count == 1 &&
                 strcmp(result->kvs[0].value, saving->text) == 0;

    finish_saving(saving, saved ? Fv_STORE_OK : Fv_STORE_UNCONFIRMED);
}

static void
on_saved(void *context, const fv_store_result_t *result)
{
    saving_t *saving = context;

    if (result->error == Fv_STORE_UNCONFIRMED) {
        FvStore_Get(saving->daemon->store, saving->key, on_saved_read_back,
                    saving);
        return;
    }
    finish_saving(saving, result->error);
}

static void
reply_faults(fv_ticket_t *ticket, json_t *faults)
{
    char detail[Fv_REASON_SIZE];

    snprintf(detail, sizeof(detail), "the answers have %zu faults",
             json_array_size(faults));
    FvTicket_ReplyJson(ticket, 400,
                       json_pack("{s:s, s:s, s:i, s:s, s:O}", "type",
                                 "about:blank", "title", "Bad Request",
                                 "status", 400, "detail", detail, "faults",
                                 faults));
}

/* What the answers lead to, so that the member sees it before it proposes. */
static json_t *
preview(const char *member, const fv_answers_t *answers)
{
    fv_contract_t contract;

    if (answers->leaves) {
        return json_pack("{s:s, s:b}", "member", member, "leaves", 1);
    }
    FvGenerate_Contract(member, answers, &contract);
    return json_pack("{s:s, s:o}", "member", member, "contract",
                     FvContract_ToJson(&contract));
}

static void
save(fv_daemon_t *daemon, fv_ticket_t *ticket, const fv_answers_t *answers)
{
    saving_t *saving = calloc(1, sizeof(*saving));
    fv_store_txn_t *txn;

    if (saving == NULL) {
        FvTicket_ReplyProblem(ticket, 503, NULL, 0, "out of memory");
        return;
    }
    saving->daemon = daemon;
    saving->ticket = ticket;
    saving->reply = preview(ticket->member, answers);
    saving->text = json_dumps(ticket->body, JSON_COMPACT | JSON_SORT_KEYS);
    snprintf(saving->key, sizeof(saving->key), ANSWERS_PREFIX "%s",
             ticket->member);
    txn = FvStoreTxn_New();
    FvStoreTxn_Put(txn, saving->key, saving->text, 0);
    FvStore_Commit(daemon->store, txn, on_saved, saving);
}

/**
 * FvApiConfig_PutAnswers - PUT /v1/answers
 * @daemon: the daemon
 * @ticket: the request
 */
void
FvApiConfig_PutAnswers(fv_daemon_t *daemon, fv_ticket_t *ticket)
{
    fv_answers_t answers;
    json_t *faults = json_array();

    if (FvQuestionnaire_Read(ticket->body, &answers, faults)) {
        save(daemon, ticket, &answers);
    }
    else {
        reply_faults(ticket, faults);
    }
    json_decref(faults);
}

/* A request that generates a proposal. */
typedef struct generation {
    fv_daemon_t *daemon;
    fv_ticket_t *ticket;
    fv_config_t *base; /* NULL at version 0 */
    int64_t head_revision;
    json_t *proposal;
    char key[Fv_URL_SIZE];
} generation_t;

static void
free_generation(generation_t *generation)
{
    FvConfig_Free(generation->base);
    json_decref(generation->proposal);
    free(generation);
}

static void
fail_generation(generation_t *generation, fv_store_error_t error)
{
    FvApiConfig_ReplyStoreError(generation->ticket, error);
    free_generation(generation);
}

static void
refuse_generation(generation_t *generation, const char *reason)
{
    FvTicket_ReplyProblem(generation->ticket, 409, NULL, 0, "%s", reason);
    free_generation(generation);
}

static void
reply_generated(generation_t *generation)
{
    json_t *votes = json_object();
    json_t *reply = FvProposal_Summary(generation->proposal, votes, NULL);

    json_object_set_new(reply, "state", json_string("open"));
    json_object_set(reply, "proposal", generation->proposal);
    json_decref(votes);
    FvTicket_ReplyJson(generation->ticket, 201, reply);
    free_generation(generation);
}

static void
on_stored_read_back(void *context, const fv_store_result_t *result)
{
    generation_t *generation = context;

    if (result->error == Fv_STORE_OK && result->kv_count == 1) {
        reply_generated(generation);
        return;
    }
    fail_generation(generation, Fv_STORE_UNCONFIRMED);
}

static void
on_stored(void *context, const fv_store_result_t *result)
{
    generation_t *generation = context;

    if (result->error == Fv_STORE_UNCONFIRMED) {
        FvStore_Get(generation->daemon->store, generation->key,
                    on_stored_read_back, generation);
    }
    else if (result->error != Fv_STORE_OK) {
        fail_generation(generation, result->error);
    }
    else if (!result->succeeded) {
        refuse_generation(generation, "another configuration was activated "
                                      "meanwhile; generate again");
    }
    else {
        reply_generated(generation);
    }
}

/* Stores the proposal if its base is still the active version. */
static void
on_lease(void *context, const fv_store_result_t *result)
{
    generation_t *generation = context;
    fv_store_txn_t *txn;
    char *text;

    if (result->error != Fv_STORE_OK) {
        fail_generation(generation, result->error);
        return;
    }
    json_object_set_new(generation->proposal, "lease",
                        json_integer(result->lease));
    text = json_dumps(generation->proposal, JSON_COMPACT | JSON_SORT_KEYS);
    txn = FvStoreTxn_New();
    if (generation->base == NULL) {
        FvStoreTxn_CompareAbsent(txn, "config/head");
    }
    else {
        FvStoreTxn_CompareRevision(txn, "config/head",
                                   generation->head_revision);
    }
    FvStoreTxn_CompareAbsent(txn, generation->key);
    FvStoreTxn_Put(txn, generation->key, text, result->lease);
    free(text);
    FvStore_Commit(generation->daemon->store, txn, on_stored, generation);
}

static json_t *
read_answers(const fv_store_result_t *result)
{
    json_t *answers = json_object();
    size_t prefix = strlen(ANSWERS_PREFIX);

    for (uint32_t i = 0; i < result->kv_count; i++) {
        const fv_store_kv_t *kv = &result->kvs[i];
        json_t *value = json_loadb(kv->value, kv->value_length, 0, NULL);

        if (value != NULL && strncmp(kv->key, ANSWERS_PREFIX, prefix) == 0) {
            json_object_set(answers, kv->key + prefix, value);
        }
        json_decref(value);
    }
    return answers;
}

/* Returns false after a reply when nothing can be proposed. */
static bool
generate(generation_t *generation, json_t *answers)
{
    const char *member = generation->ticket->member;
    char id[Fv_KEY_SIZE];
    char reason[Fv_REASON_SIZE];
    const fv_config_t *base = generation->base;
    json_t *own = json_object_get(answers, member);
    fv_config_t *next;

    if (own == NULL) {
        refuse_generation(generation, "save your answers first");
        return false;
    }
    next = base ? FvGenerate_NextConfig(base, member, own, reason)
                : FvGenerate_InitialConfig(answers, reason);
    if (next == NULL) {
        refuse_generation(generation, reason);
        return false;
    }
    FvProposal_NewId(base ? base->version : 0, id);
    generation->proposal =
        FvProposal_New(id, member, base, next, answers, FvClock_WallMs());
    FvConfig_Free(next);
    if (generation->proposal == NULL) {
        refuse_generation(generation, "the saved answers give what is already "
                                      "active; there is nothing to propose");
        return false;
    }
    snprintf(generation->key, sizeof(generation->key), "proposals/%s", id);
    return true;
}

static void
on_answers(void *context, const fv_store_result_t *result)
{
    generation_t *generation = context;
    json_t *answers;

    if (result->error != Fv_STORE_OK) {
        fail_generation(generation, result->error);
        return;
    }
    answers = read_answers(result);
    if (generate(generation, answers)) {
        FvStore_GrantLease(generation->daemon->store, PROPOSAL_TTL_S, on_lease,
                           generation);
    }
    json_decref(answers);
}

/* Returns false when the stored configuration is inconsistent. */
static bool
read_base(generation_t *generation, const fv_store_result_t *result)
{
    json_t *by_digest = json_object();
    json_t *head = NULL;
    bool good = true;

    FvConfigHead_FromStore(result, &head, &generation->head_revision,
                           by_digest);
    if (head != NULL) {
        good = FvConfigHead_BuildConfig(head, NULL, by_digest,
                                        &generation->base) ==
               Fv_CONFIG_HEAD_COMPLETE;
    }
    json_decref(head);
    json_decref(by_digest);
    return good;
}

static void
read_own_answers(generation_t *generation)
{
    char key[Fv_KEY_SIZE];

    snprintf(key, sizeof(key), ANSWERS_PREFIX "%s",
             generation->ticket->member);
    FvStore_Get(generation->daemon->store, key, on_answers, generation);
}

static void
on_base(void *context, const fv_store_result_t *result)
{
    generation_t *generation = context;

    if (result->error != Fv_STORE_OK) {
        fail_generation(generation, result->error);
        return;
    }
    if (!read_base(generation, result)) {
        FvTicket_ReplyProblem(generation->ticket, 503, NULL, RETRY_MS,
                              "the stored configuration is inconsistent");
        free_generation(generation);
        return;
    }
    if (generation->base == NULL) {
        FvStore_List(generation->daemon->store, ANSWERS_PREFIX, on_answers,
                     generation);
        return;
    }
    read_own_answers(generation);
}

/* Takes the active snapshot as the base if it is what the head names. */
static bool
copy_active(generation_t *generation, const json_t *head)
{
    const char *digest = FvJson_String(head, "digest");
    const fv_config_t *active;

    rcu_read_lock();
    active = FvConfig_GetActive();
    if (active != NULL && digest != NULL &&
        strcmp(active->digest, digest) == 0) {
        generation->base = FvConfig_New(active->version, active->contracts,
                                        active->contract_count, active);
    }
    rcu_read_unlock();
    return generation->base != NULL;
}

/* Only when the snapshot lags are all contracts read from the store: with
 * 83 members that takes the scheduler thread some 20 ms. */
static void
on_base_head(void *context, const fv_store_result_t *result)
{
    generation_t *generation = context;
    json_t *by_digest;
    json_t *head = NULL;

    if (result->error != Fv_STORE_OK) {
        fail_generation(generation, result->error);
        return;
    }
    by_digest = json_object();
    FvConfigHead_FromStore(result, &head, &generation->head_revision,
                           by_digest);
    if (copy_active(generation, head)) {
        read_own_answers(generation);
    }
    else {
        FvStore_List(generation->daemon->store, "config/", on_base,
                     generation);
    }
    json_decref(head);
    json_decref(by_digest);
}

/**
 * FvApiConfig_GenerateProposal - POST /v1/proposals
 * @daemon: the daemon
 * @ticket: the request
 *
 * The head is read from the store, since the snapshot of this host may lag.
 */
void
FvApiConfig_GenerateProposal(fv_daemon_t *daemon, fv_ticket_t *ticket)
{
    generation_t *generation = calloc(1, sizeof(*generation));

    if (generation == NULL) {
        FvTicket_ReplyProblem(ticket, 503, NULL, 0, "out of memory");
        return;
    }
    generation->daemon = daemon;
    generation->ticket = ticket;
    FvStore_Get(daemon->store, "config/head", on_base_head, generation);
}

/**
 * FvApiConfig_Show - GET /v1/config
 * @daemon: the daemon
 * @ticket: the request
 */
void
FvApiConfig_Show(fv_daemon_t *daemon, fv_ticket_t *ticket)
{
    const fv_config_t *config;
    json_t *reply = NULL;

    (void)daemon;
    rcu_read_lock();
    config = FvConfig_GetActive();
    if (config != NULL) {
        reply = FvConfig_ToJson(config);
    }
    rcu_read_unlock();
    if (reply != NULL) {
        FvTicket_ReplyJson(ticket, 200, reply);
    }
    else {
        FvTicket_ReplyProblem(ticket, 503, NULL, RETRY_MS,
                              "no configuration is active yet");
    }
}

static uint64_t
version_of(const fv_daemon_t *daemon, const fv_host_t *host)
{
    return host == daemon->self ? FvConfig_ActiveVersion()
                                : host->digest.config_version;
}

static json_t *
host_status(const fv_daemon_t *daemon, const fv_host_t *host, uint64_t newest)
{
    int64_t now_ms = FvClock_NowMs();
    uint64_t version = version_of(daemon, host);

    return json_pack(
        "{s:s, s:s, s:s, s:b, s:I, s:I, s:I}", "host", host->name, "region",
        host->region, "data_center", host->data_center, "alive",
        FvHost_IsAlive(host, daemon->self, now_ms), "version",
        (json_int_t)version, "behind", (json_int_t)(newest - version),
        "heard_ms_ago",
        (json_int_t)(host == daemon->self ? 0 : now_ms - host->last_heard_ms));
}

/**
 * FvApiConfig_Status - GET /v1/config/status
 * @daemon: the daemon
 * @ticket: the request
 *
 * "behind" counts versions to the newest one any listed host reported.
 */
void
FvApiConfig_Status(fv_daemon_t *daemon, fv_ticket_t *ticket)
{
    const fv_hosts_t *hosts = &daemon->hosts;
    uint64_t newest = FvConfig_ActiveVersion();
    json_t *list = json_array();

    for (uint32_t i = 0; i < hosts->count; i++) {
        uint64_t version = version_of(daemon, hosts->entries[i]);

        newest = version > newest ? version : newest;
    }
    for (uint32_t i = 0; i < hosts->count; i++) {
        json_array_append_new(list,
                              host_status(daemon, hosts->entries[i], newest));
    }
    FvTicket_ReplyJson(
        ticket, 200,
        json_pack("{s:I, s:o}", "version", (json_int_t)newest, "hosts", list));
}
