/*
 * Keeps the active configuration up to date: reads it from the store and
 * exchanges it with other hosts. One host of each data centre watches the
 * store and sends changes to the others. Configurations may arrive from any
 * source in any order; an older version never replaces a newer one.
 */

#include "daemon.h"

#include <stdlib.h>
#include <string.h>
#include <urcu.h>

#define KEY_PREFIX "config/"
#define HEAD_KEY "config/head"

/* Limits how long a data centre is without a watch after its watcher fails. */
#define TICK_MS 500
/* Limits the delay of a change when a watch is lost without an error. */
#define POLL_MS 10000
/* Delay between attempts to load while the store is unavailable. */
#define LOAD_RETRY_MS 1000
#define REQUEST_TIMEOUT_MS 2000
/* Delay before the next request after one that yielded no newer version. */
#define REQUEST_RETRY_MS 1000
/* A link frame is limited to 1 MiB; the rest is for its other fields. */
#define DOCUMENT_MAX_BYTES (900 * 1024)

struct fv_config_sync {
    fv_daemon_t *daemon;
    fv_timer_t tick_timer;
    json_t *head;              /* of the active configuration, or NULL */
    json_t *pending_contracts; /* by digest; received before their head */
    int64_t next_poll_ms;
    int64_t next_load_ms;
    int64_t next_request_ms;
    bool watching;
    bool loading;
    bool load_again;
    bool request_pending;
    char requested_host[Fv_NAME_SIZE];
};

static void load_from_store(fv_config_sync_t *config_sync);
static void request_config(fv_config_sync_t *config_sync, const char *host);

static json_t *
digest_set(const json_t *digests)
{
    json_t *set = json_object();
    const char *member;
    json_t *digest;

    json_object_foreach((json_t *)digests, member, digest)
    {
        json_object_set_new(set, json_string_value(digest), json_true());
    }
    return set;
}

/* Adds the contracts that the receiver lacks, up to the size limit of the
 * document; the receiver requests the rest with another message. */
static void
add_contracts(const fv_config_sync_t *config_sync, const json_t *known_digests,
              json_t *list)
{
    json_t *digests = json_object_get(config_sync->head, "contracts");
    const fv_config_t *config = FvConfig_GetActive();
    size_t used_bytes = 0;

    for (uint32_t i = 0; config != NULL && i < config->contract_count; i++) {
        const char *member = config->contracts[i].member;
        const char *digest = FvJson_String(digests, member);
        json_t *contract;

        if (digest == NULL || json_object_get(known_digests, digest) != NULL) {
            continue;
        }
        contract = FvContract_ToJson(&config->contracts[i]);
        used_bytes += json_dumpb(contract, NULL, 0, JSON_COMPACT) + 1;
        if (used_bytes > DOCUMENT_MAX_BYTES) {
            json_decref(contract);
            return;
        }
        json_array_append_new(list, contract);
    }
}

/* Encodes the active configuration without the contracts in @known_digests.
 * The caller frees the text. */
static char *
encode_document(const fv_config_sync_t *config_sync,
                const json_t *known_digests)
{
    json_t *list = json_array();
    json_t *document;
    char *text;

    rcu_read_lock();
    add_contracts(config_sync, known_digests, list);
    rcu_read_unlock();
    document =
        json_pack("{s:s, s:O?, s:o}", "from", config_sync->daemon->self->name,
                  "head", config_sync->head, "contracts", list);
    text = json_dumps(document, JSON_COMPACT);
    json_decref(document);
    return text;
}

static bool
is_live_data_center_peer(const fv_daemon_t *daemon, const fv_host_t *host,
                         int64_t now_ms)
{
    return host != daemon->self &&
           strcmp(host->data_center, daemon->self->data_center) == 0 &&
           FvHost_IsAlive(host, daemon->self, now_ms);
}

/* Sends the head and the contracts that changed since @old_head to the live
 * hosts of the data centre. */
static void
send_to_data_center(fv_config_sync_t *config_sync, const json_t *old_head)
{
    fv_daemon_t *daemon = config_sync->daemon;
    fv_message_t message = {.type = Fv_MESSAGE_CONFIG};
    json_t *known_digests = digest_set(json_object_get(old_head, "contracts"));
    int64_t now_ms = FvClock_NowMs();

    message.body.document.text = encode_document(config_sync, known_digests);
    json_decref(known_digests);
    if (message.body.document.text == NULL) {
        return;
    }
    for (uint32_t i = 0; i < daemon->hosts.count; i++) {
        const fv_host_t *host = daemon->hosts.entries[i];

        if (is_live_data_center_peer(daemon, host, now_ms)) {
            FvPeers_Notify(daemon->peers, host->name, &message);
        }
    }
    free(message.body.document.text);
}

static void
on_config_published(fv_config_sync_t *config_sync)
{
    fv_daemon_t *daemon = config_sync->daemon;
    const fv_config_t *config;

    rcu_read_lock();
    config = FvConfig_GetActive();
    FvLog_Event(Fv_LOG_INFO, "config_active", "version=%llu digest=%s",
                (unsigned long long)config->version, config->digest);
    FvShares_Configure(daemon->shares, config);
    rcu_read_unlock();
    FvRunner_OnConfig(daemon->runner);
}

static void
publish(fv_config_sync_t *config_sync, fv_config_t *config, json_t *head)
{
    json_t *old_head = config_sync->head;

    if (!FvConfig_Publish(config)) {
        FvConfig_Free(config);
        return;
    }
    /* A draining host stays unready; see is_ready() in http-server.c. */
    atomic_store(&config_sync->daemon->ready, true);
    config_sync->head = json_incref(head);
    json_object_clear(config_sync->pending_contracts);
    on_config_published(config_sync);
    if (config_sync->watching) {
        send_to_data_center(config_sync, old_head);
    }
    json_decref(old_head);
}

/* Clears the map when it reaches a limit; otherwise contracts whose head never
 * arrives would accumulate. */
static void
add_pending_contracts(fv_config_sync_t *config_sync, json_t *by_digest)
{
    if (json_object_size(config_sync->pending_contracts) >
        (size_t)2 * Fv_MEMBERS_MAX) {
        json_object_clear(config_sync->pending_contracts);
    }
    json_object_update(config_sync->pending_contracts, by_digest);
}

/* Activates the configuration that a head describes, if it is newer. Returns
 * false when contracts are missing. */
static bool
apply_head(fv_config_sync_t *config_sync, json_t *head, json_t *by_digest)
{
    fv_config_t *config = NULL;
    fv_config_head_result_t result;

    if (FvJson_Int(head, "version", 0) <= (int64_t)FvConfig_ActiveVersion()) {
        return true;
    }
    add_pending_contracts(config_sync, by_digest);
    rcu_read_lock();
    result = FvConfigHead_BuildConfig(head, FvConfig_GetActive(),
                                      config_sync->pending_contracts, &config);
    rcu_read_unlock();
    if (result == Fv_CONFIG_HEAD_COMPLETE) {
        publish(config_sync, config, head);
    }
    else if (result == Fv_CONFIG_HEAD_MALFORMED) {
        FvLog_Event(
            Fv_LOG_ERROR, "config_refused",
            "reason=\"digest does not match the content\" version=%lld",
            (long long)FvJson_Int(head, "version", 0));
    }
    return result != Fv_CONFIG_HEAD_INCOMPLETE;
}

/* The host that watches the store for the data centre, by rendezvous hashing
 * over its live hosts. */
static const fv_host_t *
select_watcher(const fv_daemon_t *daemon)
{
    const fv_host_t *selected = daemon->self;
    int64_t now_ms = FvClock_NowMs();
    char key[Fv_NAME_SIZE + 16];
    uint64_t selected_weight;

    snprintf(key, sizeof(key), "config-watch/%s", daemon->self->data_center);
    selected_weight = FvText_RendezvousWeight(key, selected->name);
    for (uint32_t i = 0; i < daemon->hosts.count; i++) {
        const fv_host_t *host = daemon->hosts.entries[i];
        uint64_t weight = FvText_RendezvousWeight(key, host->name);

        if (is_live_data_center_peer(daemon, host, now_ms) &&
            weight > selected_weight) {
            selected = host;
            selected_weight = weight;
        }
    }
    return selected;
}

/* A watch event contains all changes of one transaction, so a new head arrives
 * together with the contracts written with it. */
static void
on_watch_event(void *context, const fv_store_result_t *result)
{
    fv_config_sync_t *config_sync = context;
    json_t *by_digest = json_object();
    json_t *head = NULL;

    if (result->error == Fv_STORE_OK) {
        FvConfigHead_FromStore(result, &head, NULL, by_digest);
    }
    if (head == NULL) {
        add_pending_contracts(config_sync, by_digest);
    }
    else if (!apply_head(config_sync, head, by_digest)) {
        load_from_store(config_sync);
    }
    json_decref(head);
    json_decref(by_digest);
}

/* Starts the watch at the revision after the one that was read, so that no
 * change is missed. */
static void
start_watch(fv_config_sync_t *config_sync, int64_t revision)
{
    fv_daemon_t *daemon = config_sync->daemon;

    if (config_sync->watching || select_watcher(daemon) != daemon->self) {
        return;
    }
    config_sync->watching = true;
    FvStore_Watch(daemon->store, KEY_PREFIX, revision + 1, on_watch_event,
                  config_sync);
}

static void
on_loaded(void *context, const fv_store_result_t *result)
{
    fv_config_sync_t *config_sync = context;
    json_t *by_digest;
    json_t *head = NULL;

    config_sync->loading = false;
    if (result->error != Fv_STORE_OK) {
        FvLog_Event(Fv_LOG_WARN, "config_load_failed", "error=%d",
                    (int)result->error);
        config_sync->next_poll_ms = FvClock_NowMs() + LOAD_RETRY_MS;
        config_sync->load_again = false;
        return;
    }
    by_digest = json_object();
    FvConfigHead_FromStore(result, &head, NULL, by_digest);
    if (head != NULL && !apply_head(config_sync, head, by_digest)) {
        FvLog_Event(Fv_LOG_ERROR, "config_refused",
                    "reason=\"the store lacks a contract the head names\"");
    }
    json_decref(head);
    json_decref(by_digest);
    start_watch(config_sync, result->revision);
    if (config_sync->load_again) {
        config_sync->load_again = false;
        load_from_store(config_sync);
    }
}

static void
load_from_store(fv_config_sync_t *config_sync)
{
    if (config_sync->loading) {
        config_sync->load_again = true;
        return;
    }
    config_sync->loading = true;
    config_sync->next_load_ms = FvClock_NowMs() + LOAD_RETRY_MS;
    FvStore_List(config_sync->daemon->store, KEY_PREFIX, on_loaded,
                 config_sync);
}

static void
on_head_polled(void *context, const fv_store_result_t *result)
{
    fv_config_sync_t *config_sync = context;
    json_t *by_digest = json_object();
    json_t *head = NULL;

    if (result->error == Fv_STORE_OK) {
        FvConfigHead_FromStore(result, &head, NULL, by_digest);
    }
    if (head != NULL && !apply_head(config_sync, head, by_digest)) {
        load_from_store(config_sync);
    }
    json_decref(head);
    json_decref(by_digest);
}

/* Starts or stops the watch when the data centre's watcher changes. */
static void
update_watch(fv_config_sync_t *config_sync)
{
    fv_daemon_t *daemon = config_sync->daemon;
    bool is_watcher = select_watcher(daemon) == daemon->self;

    if (config_sync->watching && !is_watcher) {
        FvStore_StopWatch(daemon->store);
        config_sync->watching = false;
    }
    if (!config_sync->watching && is_watcher && !config_sync->loading &&
        FvClock_NowMs() >= config_sync->next_load_ms) {
        load_from_store(config_sync);
    }
}

static void
on_tick(void *owner)
{
    fv_config_sync_t *config_sync = owner;
    fv_daemon_t *daemon = config_sync->daemon;
    int64_t now_ms = FvClock_NowMs();

    update_watch(config_sync);
    if (now_ms >= config_sync->next_poll_ms) {
        config_sync->next_poll_ms = now_ms + POLL_MS;
        FvStore_Get(daemon->store, HEAD_KEY, on_head_polled, config_sync);
    }
    FvLoop_SetTimer(daemon->loop, &config_sync->tick_timer, now_ms + TICK_MS);
}

/* Applies a document from a peer. Returns true when contracts are still
 * missing and the document added some, so the peer may send more. */
static bool
apply_document(fv_config_sync_t *config_sync, const char *text)
{
    json_t *document = json_loads(text ? text : "", 0, NULL);
    json_t *head = json_object_get(document, "head");
    json_t *by_digest = json_object();
    size_t pending_before = json_object_size(config_sync->pending_contracts);
    bool request_again = false;
    size_t index;
    json_t *contract;

    json_array_foreach(json_object_get(document, "contracts"), index, contract)
    {
        FvConfigHead_AddContract(by_digest, contract);
    }
    if (json_is_object(head) && !apply_head(config_sync, head, by_digest)) {
        request_again =
            json_object_size(config_sync->pending_contracts) > pending_before;
    }
    json_decref(by_digest);
    json_decref(document);
    return request_again;
}

static void
on_config_reply(void *context, fv_link_error_t error, fv_message_t *reply)
{
    fv_config_sync_t *config_sync = context;
    uint64_t version = FvConfig_ActiveVersion();
    bool request_again = false;

    config_sync->request_pending = false;
    if (error == Fv_LINK_OK && reply->type == Fv_MESSAGE_CONFIG) {
        request_again = apply_document(config_sync, reply->body.document.text);
    }
    if (request_again) {
        request_config(config_sync, config_sync->requested_host);
    }
    else if (FvConfig_ActiveVersion() == version) {
        config_sync->next_request_ms = FvClock_NowMs() + REQUEST_RETRY_MS;
    }
}

/* Encodes a request: the active version and the digests of all contracts that
 * this host has. */
static char *
encode_request(const fv_config_sync_t *config_sync)
{
    json_t *known_digests =
        digest_set(json_object_get(config_sync->head, "contracts"));
    json_t *request;
    const char *digest;
    json_t *contract;
    char *text;

    json_object_foreach(config_sync->pending_contracts, digest, contract)
    {
        json_object_set_new(known_digests, digest, json_true());
    }
    request =
        json_pack("{s:I, s:o}", "version",
                  (json_int_t)FvConfig_ActiveVersion(), "have", known_digests);
    text = json_dumps(request, JSON_COMPACT);
    json_decref(request);
    return text;
}

static void
request_config(fv_config_sync_t *config_sync, const char *host)
{
    fv_message_t message = {.type = Fv_MESSAGE_CONFIG_GET};
    char *text;

    if (config_sync->request_pending ||
        FvClock_NowMs() < config_sync->next_request_ms) {
        return;
    }
    text = encode_request(config_sync);
    if (text == NULL) {
        return;
    }
    config_sync->request_pending = true;
    if (host != config_sync->requested_host) {
        FvText_Copy(config_sync->requested_host,
                    sizeof(config_sync->requested_host), host);
    }
    message.body.document.text = text;
    FvPeers_Call(config_sync->daemon->peers, config_sync->requested_host,
                 &message, REQUEST_TIMEOUT_MS, on_config_reply, config_sync);
}

/**
 * FvConfigSync_New - start to read and watch the configuration
 * @daemon: the daemon; its loop, store, peers and self are set
 *
 * Return: the config sync object, or NULL when memory is exhausted.
 */
fv_config_sync_t *
FvConfigSync_New(fv_daemon_t *daemon)
{
    fv_config_sync_t *config_sync = calloc(1, sizeof(*config_sync));

    if (config_sync == NULL) {
        return NULL;
    }
    config_sync->daemon = daemon;
    config_sync->pending_contracts = json_object();
    config_sync->next_poll_ms = FvClock_NowMs() + POLL_MS;
    config_sync->tick_timer.fire = on_tick;
    config_sync->tick_timer.owner = config_sync;
    FvLoop_SetTimer(daemon->loop, &config_sync->tick_timer,
                    FvClock_NowMs() + TICK_MS);
    load_from_store(config_sync);
    return config_sync;
}

/**
 * FvConfigSync_Free - stop the synchronisation; no store call is pending
 * @config_sync: the config sync object, or NULL
 */
void
FvConfigSync_Free(fv_config_sync_t *config_sync)
{
    if (config_sync == NULL) {
        return;
    }
    FvLoop_CancelTimer(config_sync->daemon->loop, &config_sync->tick_timer);
    if (config_sync->watching) {
        FvStore_StopWatch(config_sync->daemon->store);
    }
    json_decref(config_sync->head);
    json_decref(config_sync->pending_contracts);
    free(config_sync);
}

/**
 * FvConfigSync_OnHosts - handle a change of the live hosts
 * @config_sync: the config sync object
 */
void
FvConfigSync_OnHosts(fv_config_sync_t *config_sync)
{
    update_watch(config_sync);
}

/**
 * FvConfigSync_OnProposalActivated - apply a proposal that this host activated
 * @config_sync: the config sync object
 * @head: the head it wrote
 * @contracts: the contracts it wrote, by member
 *
 * Applied at once rather than by the watch: other hosts see the new version in
 * this host's digest, even when no host watches the store.
 */
void
FvConfigSync_OnProposalActivated(fv_config_sync_t *config_sync, json_t *head,
                                 json_t *contracts)
{
    json_t *by_digest = json_object();
    const char *member;
    json_t *contract;

    json_object_foreach(contracts, member, contract)
    {
        FvConfigHead_AddContract(by_digest, contract);
    }
    if (!apply_head(config_sync, head, by_digest)) {
        load_from_store(config_sync);
    }
    json_decref(by_digest);
}

/**
 * FvConfigSync_OnPeerVersion - handle the version reported in a host's digest
 * @config_sync: the config sync object
 * @host: the host
 * @version: its version; if newer, the configuration is requested from it
 */
void
FvConfigSync_OnPeerVersion(fv_config_sync_t *config_sync, const char *host,
                           uint64_t version)
{
    if (version > FvConfig_ActiveVersion()) {
        request_config(config_sync, host);
    }
}

/**
 * FvConfigSync_OnConfigGet - handle a host's request for the configuration
 * @config_sync: the config sync object
 * @request: lists the digests of the contracts that the host has
 * @to: where the reply goes
 */
void
FvConfigSync_OnConfigGet(fv_config_sync_t *config_sync,
                         const fv_message_t *request, const fv_reply_to_t *to)
{
    const char *text = request->body.document.text;
    json_t *document = json_loads(text ? text : "", 0, NULL);
    fv_message_t reply = {.type = Fv_MESSAGE_CONFIG};

    reply.body.document.text =
        encode_document(config_sync, json_object_get(document, "have"));
    json_decref(document);
    FvPeers_Reply(config_sync->daemon->peers, to, &reply);
}

/**
 * FvConfigSync_OnConfig - handle a configuration that was not requested
 * @config_sync: the config sync object
 * @message: the configuration and its sender; contracts that are missing are
 *           requested from the sender
 */
void
FvConfigSync_OnConfig(fv_config_sync_t *config_sync,
                      const fv_message_t *message)
{
    const char *text = message->body.document.text;
    json_t *document = json_loads(text ? text : "", 0, NULL);
    const json_t *head = json_object_get(document, "head");
    const char *from = FvJson_String(document, "from");

    apply_document(config_sync, text);
    if (from != NULL &&
        FvHosts_Find(&config_sync->daemon->hosts, from) != NULL) {
        FvConfigSync_OnPeerVersion(config_sync, from,
                                   (uint64_t)FvJson_Int(head, "version", 0));
    }
    json_decref(document);
}
