/*
 * HTTP handlers that save questionnaire answers, generate proposals and return
 * the active configuration.
 */

#include "daemon.h"

#include <stdlib.h>
#include <string.h>
#include <urcu.h>

#define ANSWERS_PREFIX "answers/"
/* 7 days allow a review over a weekend. When the lease expires, the store
 * deletes the proposal and its votes. */
#define PROPOSAL_TTL_S INT64_C(604800)
#define RETRY_MS 500

/* A pending PUT /v1/answers. */
typedef struct save_request {
    fv_daemon_t *daemon;
    fv_ticket_t *ticket;
    char key[Fv_KEY_SIZE];
    char *text;
    json_t *reply;
} save_request_t;

static void
free_save_request(save_request_t *save_request)
{
    json_decref(save_request->reply);
    free(save_request->text);
    free(save_request);
}

static void
finish_save_request(save_request_t *save_request, fv_store_error_t error)
{
    if (error == Fv_STORE_OK) {
        FvTicket_ReplyJson(save_request->ticket, 200,
                           json_incref(save_request->reply));
    }
    else {
        FvApiConfig_ReplyStoreError(save_request->ticket, error);
    }
    free_save_request(save_request);
}

/* The write was unconfirmed: it took effect if the stored value equals the one
 * that was written. */
static void
on_answers_read_back(void *context, const fv_store_result_t *result)
{
    save_request_t *save_request = context;
    bool saved = result->error == Fv_STORE_OK && result->kv_count == 1 &&
                 strcmp(result->kvs[0].value, save_request->text) == 0;

    finish_save_request(save_request,
                        saved ? Fv_STORE_OK : Fv_STORE_UNCONFIRMED);
}

static void
on_answers_stored(void *context, const fv_store_result_t *result)
{
    save_request_t *save_request = context;

    if (result->error == Fv_STORE_UNCONFIRMED) {
        FvStore_Get(save_request->daemon->store, save_request->key,
                    on_answers_read_back, save_request);
        return;
    }
    finish_save_request(save_request, result->error);
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

/* The contract that the answers produce, for review before a proposal is
 * generated. */
static json_t *
preview_contract(const char *member, const fv_answers_t *answers)
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
store_answers(fv_daemon_t *daemon, fv_ticket_t *ticket,
              const fv_answers_t *answers)
{
    save_request_t *save_request = calloc(1, sizeof(*save_request));
    fv_store_txn_t *txn;

    if (save_request == NULL) {
        FvTicket_ReplyProblem(ticket, 503, NULL, 0, "out of memory");
        return;
    }
    save_request->daemon = daemon;
    save_request->ticket = ticket;
    save_request->reply = preview_contract(ticket->member, answers);
    save_request->text =
        json_dumps(ticket->body, JSON_COMPACT | JSON_SORT_KEYS);
    snprintf(save_request->key, sizeof(save_request->key), ANSWERS_PREFIX "%s",
             ticket->member);
    txn = FvStoreTxn_New();
    FvStoreTxn_Put(txn, save_request->key, save_request->text, 0);
    FvStore_Commit(daemon->store, txn, on_answers_stored, save_request);
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
        store_answers(daemon, ticket, &answers);
    }
    else {
        reply_faults(ticket, faults);
    }
    json_decref(faults);
}

/* A pending POST /v1/proposals. */
typedef struct generate_request {
    fv_daemon_t *daemon;
    fv_ticket_t *ticket;
    fv_config_t *base; /* NULL at version 0 */
    int64_t head_revision;
    json_t *proposal;
    char key[Fv_URL_SIZE];
} generate_request_t;

static void
free_generate_request(generate_request_t *generate_request)
{
    FvConfig_Free(generate_request->base);
    json_decref(generate_request->proposal);
    free(generate_request);
}

static void
fail_generate_request(generate_request_t *generate_request,
                      fv_store_error_t error)
{
    FvApiConfig_ReplyStoreError(generate_request->ticket, error);
    free_generate_request(generate_request);
}

static void
reject_generate_request(generate_request_t *generate_request,
                        const char *reason)
{
    FvTicket_ReplyProblem(generate_request->ticket, 409, NULL, 0, "%s",
                          reason);
    free_generate_request(generate_request);
}

static void
reply_proposal(generate_request_t *generate_request)
{
    json_t *votes = json_object();
    json_t *reply =
        FvProposal_Summary(generate_request->proposal, votes, NULL);

    json_object_set_new(reply, "state", json_string("open"));
    json_object_set(reply, "proposal", generate_request->proposal);
    json_decref(votes);
    FvTicket_ReplyJson(generate_request->ticket, 201, reply);
    free_generate_request(generate_request);
}

static void
on_proposal_read_back(void *context, const fv_store_result_t *result)
{
    generate_request_t *generate_request = context;

    if (result->error == Fv_STORE_OK && result->kv_count == 1) {
        reply_proposal(generate_request);
        return;
    }
    fail_generate_request(generate_request, Fv_STORE_UNCONFIRMED);
}

static void
on_proposal_stored(void *context, const fv_store_result_t *result)
{
    generate_request_t *generate_request = context;

    if (result->error == Fv_STORE_UNCONFIRMED) {
        FvStore_Get(generate_request->daemon->store, generate_request->key,
                    on_proposal_read_back, generate_request);
    }
    else if (result->error != Fv_STORE_OK) {
        fail_generate_request(generate_request, result->error);
    }
    else if (!result->succeeded) {
        reject_generate_request(generate_request,
                                "another configuration was activated "
                                "meanwhile; generate again");
    }
    else {
        reply_proposal(generate_request);
    }
}

/* Writes the proposal if its base is still the active version. */
static void
on_lease_granted(void *context, const fv_store_result_t *result)
{
    generate_request_t *generate_request = context;
    fv_store_txn_t *txn;
    char *text;

    if (result->error != Fv_STORE_OK) {
        fail_generate_request(generate_request, result->error);
        return;
    }
    json_object_set_new(generate_request->proposal, "lease",
                        json_integer(result->lease));
    text =
        json_dumps(generate_request->proposal, JSON_COMPACT | JSON_SORT_KEYS);
    txn = FvStoreTxn_New();
    if (generate_request->base == NULL) {
        FvStoreTxn_CompareAbsent(txn, "config/head");
    }
    else {
        FvStoreTxn_CompareRevision(txn, "config/head",
                                   generate_request->head_revision);
    }
    FvStoreTxn_CompareAbsent(txn, generate_request->key);
    FvStoreTxn_Put(txn, generate_request->key, text, result->lease);
    free(text);
    FvStore_Commit(generate_request->daemon->store, txn, on_proposal_stored,
                   generate_request);
}

static json_t *
decode_answers(const fv_store_result_t *result)
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

/* Replies and returns false when there is nothing to propose. */
static bool
build_proposal(generate_request_t *generate_request, json_t *answers)
{
    const char *member = generate_request->ticket->member;
    char id[Fv_KEY_SIZE];
    char reason[Fv_REASON_SIZE];
    const fv_config_t *base = generate_request->base;
    json_t *own_answers = json_object_get(answers, member);
    fv_config_t *next;

    if (own_answers == NULL) {
        reject_generate_request(generate_request, "save your answers first");
        return false;
    }
    next = base ? FvGenerate_NextConfig(base, member, own_answers, reason)
                : FvGenerate_InitialConfig(answers, reason);
    if (next == NULL) {
        reject_generate_request(generate_request, reason);
        return false;
    }
    FvProposal_NewId(base ? base->version : 0, id);
    generate_request->proposal =
        FvProposal_New(id, member, base, next, answers, FvClock_WallMs());
    FvConfig_Free(next);
    if (generate_request->proposal == NULL) {
        reject_generate_request(generate_request,
                                "the saved answers give what is already "
                                "active; there is nothing to propose");
        return false;
    }
    snprintf(generate_request->key, sizeof(generate_request->key),
             "proposals/%s", id);
    return true;
}

static void
on_answers_loaded(void *context, const fv_store_result_t *result)
{
    generate_request_t *generate_request = context;
    json_t *answers;

    if (result->error != Fv_STORE_OK) {
        fail_generate_request(generate_request, result->error);
        return;
    }
    answers = decode_answers(result);
    if (build_proposal(generate_request, answers)) {
        FvStore_GrantLease(generate_request->daemon->store, PROPOSAL_TTL_S,
                           on_lease_granted, generate_request);
    }
    json_decref(answers);
}

/* Returns false when the stored configuration is inconsistent. */
static bool
decode_base(generate_request_t *generate_request,
            const fv_store_result_t *result)
{
    json_t *by_digest = json_object();
    json_t *head = NULL;
    bool valid = true;

    FvConfigHead_FromStore(result, &head, &generate_request->head_revision,
                           by_digest);
    if (head != NULL) {
        valid = FvConfigHead_BuildConfig(head, NULL, by_digest,
                                         &generate_request->base) ==
                Fv_CONFIG_HEAD_COMPLETE;
    }
    json_decref(head);
    json_decref(by_digest);
    return valid;
}

static void
load_own_answers(generate_request_t *generate_request)
{
    char key[Fv_KEY_SIZE];

    snprintf(key, sizeof(key), ANSWERS_PREFIX "%s",
             generate_request->ticket->member);
    FvStore_Get(generate_request->daemon->store, key, on_answers_loaded,
                generate_request);
}

static void
on_base_loaded(void *context, const fv_store_result_t *result)
{
    generate_request_t *generate_request = context;

    if (result->error != Fv_STORE_OK) {
        fail_generate_request(generate_request, result->error);
        return;
    }
    if (!decode_base(generate_request, result)) {
        FvTicket_ReplyProblem(generate_request->ticket, 503, NULL, RETRY_MS,
                              "the stored configuration is inconsistent");
        free_generate_request(generate_request);
        return;
    }
    if (generate_request->base == NULL) {
        FvStore_List(generate_request->daemon->store, ANSWERS_PREFIX,
                     on_answers_loaded, generate_request);
        return;
    }
    load_own_answers(generate_request);
}

/* Copies the active snapshot as the base if its digest is that of the head. */
static bool
copy_active_config(generate_request_t *generate_request, const json_t *head)
{
    const char *digest = FvJson_String(head, "digest");
    const fv_config_t *active;

    rcu_read_lock();
    active = FvConfig_GetActive();
    if (active != NULL && digest != NULL &&
        strcmp(active->digest, digest) == 0) {
        generate_request->base =
            FvConfig_New(active->version, active->contracts,
                         active->contract_count, active);
    }
    rcu_read_unlock();
    return generate_request->base != NULL;
}

/* Reads all contracts from the store only if the active snapshot is outdated:
 * with 83 members, that takes about 20 ms on the scheduler thread. */
static void
on_head_loaded(void *context, const fv_store_result_t *result)
{
    generate_request_t *generate_request = context;
    json_t *by_digest;
    json_t *head = NULL;

    if (result->error != Fv_STORE_OK) {
        fail_generate_request(generate_request, result->error);
        return;
    }
    by_digest = json_object();
    FvConfigHead_FromStore(result, &head, &generate_request->head_revision,
                           by_digest);
    if (copy_active_config(generate_request, head)) {
        load_own_answers(generate_request);
    }
    else {
        FvStore_List(generate_request->daemon->store, "config/",
                     on_base_loaded, generate_request);
    }
    json_decref(head);
    json_decref(by_digest);
}

/**
 * FvApiConfig_GenerateProposal - POST /v1/proposals
 * @daemon: the daemon
 * @ticket: the request
 *
 * The head is read from the store, since this host's snapshot may be outdated.
 */
void
FvApiConfig_GenerateProposal(fv_daemon_t *daemon, fv_ticket_t *ticket)
{
    generate_request_t *generate_request =
        calloc(1, sizeof(*generate_request));

    if (generate_request == NULL) {
        FvTicket_ReplyProblem(ticket, 503, NULL, 0, "out of memory");
        return;
    }
    generate_request->daemon = daemon;
    generate_request->ticket = ticket;
    FvStore_Get(daemon->store, "config/head", on_head_loaded,
                generate_request);
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
host_config_version(const fv_daemon_t *daemon, const fv_host_t *host)
{
    return host == daemon->self ? FvConfig_ActiveVersion()
                                : host->digest.config_version;
}

static json_t *
host_status(const fv_daemon_t *daemon, const fv_host_t *host,
            uint64_t newest_version)
{
    int64_t now_ms = FvClock_NowMs();
    uint64_t version = host_config_version(daemon, host);

    return json_pack(
        "{s:s, s:s, s:s, s:b, s:I, s:I, s:I}", "host", host->name, "region",
        host->region, "data_center", host->data_center, "alive",
        FvHost_IsAlive(host, daemon->self, now_ms), "version",
        (json_int_t)version, "behind", (json_int_t)(newest_version - version),
        "heard_ms_ago",
        (json_int_t)(host == daemon->self ? 0 : now_ms - host->last_heard_ms));
}

/**
 * FvApiConfig_Status - GET /v1/config/status
 * @daemon: the daemon
 * @ticket: the request
 *
 * The field "behind" is the number of versions between the host's version and
 * the newest one that any listed host reported.
 */
void
FvApiConfig_Status(fv_daemon_t *daemon, fv_ticket_t *ticket)
{
    const fv_hosts_t *hosts = &daemon->hosts;
    uint64_t newest_version = FvConfig_ActiveVersion();
    json_t *list = json_array();

    for (uint32_t i = 0; i < hosts->count; i++) {
        uint64_t version = host_config_version(daemon, hosts->entries[i]);

        newest_version = version > newest_version ? version : newest_version;
    }
    for (uint32_t i = 0; i < hosts->count; i++) {
        json_array_append_new(
            list, host_status(daemon, hosts->entries[i], newest_version));
    }
    FvTicket_ReplyJson(ticket, 200,
                       json_pack("{s:I, s:o}", "version",
                                 (json_int_t)newest_version, "hosts", list));
}
