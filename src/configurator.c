/*
 * Keeps the active configuration up to date: reads the store, watches it for
 * the data centre, and exchanges configurations with other hosts. Whatever
 * the source and the order of arrival, the version only rises.
 */

#include "daemon.h"

#include <stdlib.h>
#include <string.h>
#include <urcu.h>

#define KEY_PREFIX "config/"
#define HEAD_KEY "config/head"

/* Bounds how long a dead watcher's data centre goes without a watch. */
#define TICK_MS 500
/* Bounds the delay when a watch is lost without a trace. */
#define POLL_MS 10000
/* Between attempts to load while the store is away. */
#define LOAD_RETRY_MS 1000
#define ASK_TIMEOUT_MS 2000
/* Between requests to peers after one brought nothing new. */
#define ASK_RETRY_MS 1000
/* Leaves room for the frame's other fields below its limit of 1 MiB. */
#define DOCUMENT_MAX_BYTES (900 * 1024)

struct fv_config_sync {
    fv_daemon_t *daemon;
    fv_timer_t tick;
    json_t *head; /* of the active configuration, or NULL */
    json_t *held; /* contracts by digest, received ahead of their head */
    int64_t next_poll_ms;
    int64_t next_load_ms;
    int64_t next_ask_ms;
    bool watching;
    bool loading;
    bool load_again;
    bool asking;
    char asked[Fv_NAME_SIZE];
};

static void load(fv_config_sync_t *config_sync);
static void ask(fv_config_sync_t *config_sync, const char *host);

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

/* Adds contracts the receiver lacks until the document would grow too large;
 * the receiver asks again for the rest. */
static void
add_contracts(const fv_config_sync_t *config_sync, const json_t *have,
              json_t *list)
{
    json_t *digests = json_object_get(config_sync->head, "contracts");
    const fv_config_t *config = FvConfig_GetActive();
    size_t used = 0;

    for (uint32_t i = 0; config != NULL && i < config->contract_count; i++) {
        const char *member = config->contracts[i].member;
        const char *digest = FvJson_String(digests, member);
        json_t *contract;

        if (digest == NULL || json_object_get(have, digest) != NULL) {
            continue;
        }
        contract = FvContract_ToJson(&config->contracts[i]);
        used += json_dumpb(contract, NULL, 0, JSON_COMPACT) + 1;
        if (used > DOCUMENT_MAX_BYTES) {
            json_decref(contract);
            return;
        }
        json_array_append_new(list, contract);
    }
}

/* The active configuration without the contracts whose digests are in @have;
 * to be freed. */
static char *
document_text(const fv_config_sync_t *config_sync, const json_t *have)
{
    json_t *list = json_array();
    json_t *document;
    char *text;

    rcu_read_lock();
    add_contracts(config_sync, have, list);
    rcu_read_unlock();
    document =
        json_pack("{s:s, s:O?, s:o}", "from", config_sync->daemon->self->name,
                  "head", config_sync->head, "contracts", list);
    text = json_dumps(document, JSON_COMPACT);
    json_decref(document);
    return text;
}

static bool
is_neighbour(const fv_daemon_t *daemon, const fv_host_t *host, int64_t now_ms)
{
    return host != daemon->self &&
           strcmp(host->data_center, daemon->self->data_center) == 0 &&
           FvHost_IsAlive(host, daemon->self, now_ms);
}

/* Sends what changed since @old_head to the hosts of the data centre. */
static void
distribute(fv_config_sync_t *config_sync, const json_t *old_head)
{
    fv_daemon_t *daemon = config_sync->daemon;
    fv_message_t message = {.type = Fv_MESSAGE_CONFIG};
    json_t *have = digest_set(json_object_get(old_head, "contracts"));
    int64_t now_ms = FvClock_NowMs();

    message.body.document.text = document_text(config_sync, have);
    json_decref(have);
    if (message.body.document.text == NULL) {
        return;
    }
    for (uint32_t i = 0; i < daemon->hosts.count; i++) {
        const fv_host_t *host = daemon->hosts.entries[i];

        if (is_neighbour(daemon, host, now_ms)) {
            FvPeers_Notify(daemon->peers, host->name, &message);
        }
    }
    free(message.body.document.text);
}

static void
apply(fv_config_sync_t *config_sync)
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
    json_object_clear(config_sync->held);
    apply(config_sync);
    if (config_sync->watching) {
        distribute(config_sync, old_head);
    }
    json_decref(old_head);
}

/* A head no one completes must not make the held contracts pile up. */
static void
hold(fv_config_sync_t *config_sync, json_t *by_digest)
{
    if (json_object_size(config_sync->held) > (size_t)2 * Fv_MEMBERS_MAX) {
        json_object_clear(config_sync->held);
    }
    json_object_update(config_sync->held, by_digest);
}

/* Moves to the configuration a head names. Returns false when contracts are
 * missing. */
static bool
adopt(fv_config_sync_t *config_sync, json_t *head, json_t *by_digest)
{
    fv_config_t *config = NULL;
    fv_config_head_result_t result;

    if (FvJson_Int(head, "version", 0) <= (int64_t)FvConfig_ActiveVersion()) {
        return true;
    }
    hold(config_sync, by_digest);
    rcu_read_lock();
    result = FvConfigHead_BuildConfig(head, FvConfig_GetActive(),
                                      config_sync->held, &config);
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

static const fv_host_t *
watcher(const fv_daemon_t *daemon)
{
    const fv_host_t *best = daemon->self;
    int64_t now_ms = FvClock_NowMs();
    char key[Fv_NAME_SIZE + 16];
    uint64_t best_weight;

    snprintf(key, sizeof(key), "config-watch/%s", daemon->self->data_center);
    best_weight = FvText_RendezvousWeight(key, best->name);
    for (uint32_t i = 0; i < daemon->hosts.count; i++) {
        const fv_host_t *host = daemon->hosts.entries[i];
        uint64_t weight = FvText_RendezvousWeight(key, host->name);

        if (is_neighbour(daemon, host, now_ms) && weight > best_weight) {
            best = host;
            best_weight = weight;
        }
    }
    return best;
}

/* A watch event carries what one transaction changed. */
static void
on_watch(void *context, const fv_store_result_t *result)
{
    fv_config_sync_t *config_sync = context;
    json_t *by_digest = json_object();
    json_t *head = NULL;

    if (result->error == Fv_STORE_OK) {
        FvConfigHead_FromStore(result, &head, NULL, by_digest);
    }
    if (head == NULL) {
        hold(config_sync, by_digest);
    }
    else if (!adopt(config_sync, head, by_digest)) {
        load(config_sync);
    }
    json_decref(head);
    json_decref(by_digest);
}

/* The watch starts right after the revision that was read. */
static void
start_watch(fv_config_sync_t *config_sync, int64_t revision)
{
    fv_daemon_t *daemon = config_sync->daemon;

    if (config_sync->watching || watcher(daemon) != daemon->self) {
        return;
    }
    config_sync->watching = true;
    FvStore_Watch(daemon->store, KEY_PREFIX, revision + 1, on_watch,
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
    if (head != NULL && !adopt(config_sync, head, by_digest)) {
        FvLog_Event(Fv_LOG_ERROR, "config_refused",
                    "reason=\"the store lacks a contract the head names\"");
    }
    json_decref(head);
    json_decref(by_digest);
    start_watch(config_sync, result->revision);
    if (config_sync->load_again) {
        config_sync->load_again = false;
        load(config_sync);
    }
}

static void
load(fv_config_sync_t *config_sync)
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
on_polled(void *context, const fv_store_result_t *result)
{
    fv_config_sync_t *config_sync = context;
    json_t *by_digest = json_object();
    json_t *head = NULL;

    if (result->error == Fv_STORE_OK) {
        FvConfigHead_FromStore(result, &head, NULL, by_digest);
    }
    if (head != NULL && !adopt(config_sync, head, by_digest)) {
        load(config_sync);
    }
    json_decref(head);
    json_decref(by_digest);
}

/* Takes or gives up the watch when the data centre's winner changes. */
static void
update_watch(fv_config_sync_t *config_sync)
{
    fv_daemon_t *daemon = config_sync->daemon;
    bool chosen = watcher(daemon) == daemon->self;

    if (config_sync->watching && !chosen) {
        FvStore_StopWatch(daemon->store);
        config_sync->watching = false;
    }
    if (!config_sync->watching && chosen && !config_sync->loading &&
        FvClock_NowMs() >= config_sync->next_load_ms) {
        load(config_sync);
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
        FvStore_Get(daemon->store, HEAD_KEY, on_polled, config_sync);
    }
    FvLoop_SetTimer(daemon->loop, &config_sync->tick, now_ms + TICK_MS);
}

/* Takes over what a peer sent. Returns true when more is to be asked of it. */
static bool
absorb(fv_config_sync_t *config_sync, const char *text)
{
    json_t *document = json_loads(text ? text : "", 0, NULL);
    json_t *head = json_object_get(document, "head");
    json_t *by_digest = json_object();
    size_t held = json_object_size(config_sync->held);
    bool more = false;
    size_t index;
    json_t *contract;

    json_array_foreach(json_object_get(document, "contracts"), index, contract)
    {
        FvConfigHead_AddContract(by_digest, contract);
    }
    if (json_is_object(head) && !adopt(config_sync, head, by_digest)) {
        more = json_object_size(config_sync->held) > held;
    }
    json_decref(by_digest);
    json_decref(document);
    return more;
}

static void
on_answer(void *context, fv_link_error_t error, fv_message_t *reply)
{
    fv_config_sync_t *config_sync = context;
    uint64_t version = FvConfig_ActiveVersion();
    bool more = false;

    config_sync->asking = false;
    if (error == Fv_LINK_OK && reply->type == Fv_MESSAGE_CONFIG) {
        more = absorb(config_sync, reply->body.document.text);
    }
    if (more) {
        ask(config_sync, config_sync->asked);
    }
    else if (FvConfig_ActiveVersion() == version) {
        config_sync->next_ask_ms = FvClock_NowMs() + ASK_RETRY_MS;
    }
}

/* What this host has: the active version and the digests of all contracts. */
static char *
request_text(const fv_config_sync_t *config_sync)
{
    json_t *have = digest_set(json_object_get(config_sync->head, "contracts"));
    json_t *request;
    const char *digest;
    json_t *contract;
    char *text;

    json_object_foreach(config_sync->held, digest, contract)
    {
        json_object_set_new(have, digest, json_true());
    }
    request = json_pack("{s:I, s:o}", "version",
                        (json_int_t)FvConfig_ActiveVersion(), "have", have);
    text = json_dumps(request, JSON_COMPACT);
    json_decref(request);
    return text;
}

static void
ask(fv_config_sync_t *config_sync, const char *host)
{
    fv_message_t message = {.type = Fv_MESSAGE_CONFIG_GET};
    char *text;

    if (config_sync->asking || FvClock_NowMs() < config_sync->next_ask_ms) {
        return;
    }
    text = request_text(config_sync);
    if (text == NULL) {
        return;
    }
    config_sync->asking = true;
    if (host != config_sync->asked) {
        FvText_Copy(config_sync->asked, sizeof(config_sync->asked), host);
    }
    message.body.document.text = text;
    FvPeers_Call(config_sync->daemon->peers, config_sync->asked, &message,
                 ASK_TIMEOUT_MS, on_answer, config_sync);
}

/**
 * FvConfigSync_New - start reading and watching the configuration
 * @daemon: the daemon; its loop, store, peers and self are set
 *
 * Return: the configurator, or NULL when memory is exhausted.
 */
fv_config_sync_t *
FvConfigSync_New(fv_daemon_t *daemon)
{
    fv_config_sync_t *config_sync = calloc(1, sizeof(*config_sync));

    if (config_sync == NULL) {
        return NULL;
    }
    config_sync->daemon = daemon;
    config_sync->held = json_object();
    config_sync->next_poll_ms = FvClock_NowMs() + POLL_MS;
    config_sync->tick.fire = on_tick;
    config_sync->tick.owner = config_sync;
    FvLoop_SetTimer(daemon->loop, &config_sync->tick,
                    FvClock_NowMs() + TICK_MS);
    load(config_sync);
    return config_sync;
}

/**
 * FvConfigSync_Free - release a configurator; its store calls have ended
 * @config_sync: the configurator, or NULL
 */
void
FvConfigSync_Free(fv_config_sync_t *config_sync)
{
    if (config_sync == NULL) {
        return;
    }
    FvLoop_CancelTimer(config_sync->daemon->loop, &config_sync->tick);
    if (config_sync->watching) {
        FvStore_StopWatch(config_sync->daemon->store);
    }
    json_decref(config_sync->head);
    json_decref(config_sync->held);
    free(config_sync);
}

/**
 * FvConfigSync_OnHosts - the live hosts changed
 * @config_sync: the configurator
 */
void
FvConfigSync_OnHosts(fv_config_sync_t *config_sync)
{
    update_watch(config_sync);
}

/**
 * FvConfigSync_OnProposalActivated - this host activated a proposal
 * @config_sync: the configurator
 * @head: the head it wrote
 * @contracts: the contracts it wrote, by member
 *
 * Heartbeats then tell the other hosts, even when no watch is left.
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
    if (!adopt(config_sync, head, by_digest)) {
        load(config_sync);
    }
    json_decref(by_digest);
}

/**
 * FvConfigSync_OnPeerVersion - a host's digest told its version
 * @config_sync: the configurator
 * @host: the host
 * @version: its version; a higher one is requested from it
 */
void
FvConfigSync_OnPeerVersion(fv_config_sync_t *config_sync, const char *host,
                           uint64_t version)
{
    if (version > FvConfig_ActiveVersion()) {
        ask(config_sync, host);
    }
}

/**
 * FvConfigSync_OnConfigGet - a host asks for the configuration
 * @config_sync: the configurator
 * @request: lists the digests of the contracts it has
 * @to: where the answer goes
 */
void
FvConfigSync_OnConfigGet(fv_config_sync_t *config_sync,
                         const fv_message_t *request, const fv_reply_to_t *to)
{
    const char *text = request->body.document.text;
    json_t *document = json_loads(text ? text : "", 0, NULL);
    fv_message_t reply = {.type = Fv_MESSAGE_CONFIG};

    reply.body.document.text =
        document_text(config_sync, json_object_get(document, "have"));
    json_decref(document);
    FvPeers_Reply(config_sync->daemon->peers, to, &reply);
}

/**
 * FvConfigSync_OnConfig - a host sent the configuration unasked
 * @config_sync: the configurator
 * @message: names the sender, which is asked for what is missing
 */
void
FvConfigSync_OnConfig(fv_config_sync_t *config_sync,
                      const fv_message_t *message)
{
    const char *text = message->body.document.text;
    json_t *document = json_loads(text ? text : "", 0, NULL);
    const json_t *head = json_object_get(document, "head");
    const char *from = FvJson_String(document, "from");

    absorb(config_sync, text);
    if (from != NULL &&
        FvHosts_Find(&config_sync->daemon->hosts, from) != NULL) {
        FvConfigSync_OnPeerVersion(config_sync, from,
                                   (uint64_t)FvJson_Int(head, "version", 0));
    }
    json_decref(document);
}
