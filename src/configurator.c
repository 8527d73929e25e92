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

struct fv_configurator {
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

static void load(fv_configurator_t *configurator);
static void ask(fv_configurator_t *configurator, const char *host);

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
add_contracts(const fv_configurator_t *configurator, const json_t *have,
              json_t *list)
{
    json_t *digests = json_object_get(configurator->head, "contracts");
    const fv_config_t *config = FvConfig_Read();
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
document_text(const fv_configurator_t *configurator, const json_t *have)
{
    json_t *list = json_array();
    json_t *document;
    char *text;

    rcu_read_lock();
    add_contracts(configurator, have, list);
    rcu_read_unlock();
    document =
        json_pack("{s:s, s:O?, s:o}", "from", configurator->daemon->self->name,
                  "head", configurator->head, "contracts", list);
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
distribute(fv_configurator_t *configurator, const json_t *old_head)
{
    fv_daemon_t *daemon = configurator->daemon;
    fv_message_t message = {.type = Fv_MESSAGE_CONFIG};
    json_t *have = digest_set(json_object_get(old_head, "contracts"));
    int64_t now_ms = FvClock_NowMs();

    message.body.document.text = document_text(configurator, have);
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
apply(fv_configurator_t *configurator)
{
    fv_daemon_t *daemon = configurator->daemon;
    const fv_config_t *config;

    rcu_read_lock();
    config = FvConfig_Read();
    FvLog_Event(Fv_LOG_INFO, "config_active", "version=%llu digest=%s",
                (unsigned long long)config->version, config->digest);
    FvShares_Configure(daemon->shares, config);
    rcu_read_unlock();
    FvRunner_OnConfig(daemon->runner);
}

static void
publish(fv_configurator_t *configurator, fv_config_t *config, json_t *head)
{
    json_t *old_head = configurator->head;

    if (!FvConfig_Publish(config)) {
        FvConfig_Free(config);
        return;
    }
    /* A draining host stays unready; see is_ready() in http-server.c. */
    atomic_store(&configurator->daemon->ready, true);
    configurator->head = json_incref(head);
    json_object_clear(configurator->held);
    apply(configurator);
    if (configurator->watching) {
        distribute(configurator, old_head);
    }
    json_decref(old_head);
}

/* A head no one completes must not make the held contracts pile up. */
static void
hold(fv_configurator_t *configurator, json_t *by_digest)
{
    if (json_object_size(configurator->held) > (size_t)2 * Fv_MEMBERS_MAX) {
        json_object_clear(configurator->held);
    }
    json_object_update(configurator->held, by_digest);
}

/* Moves to the configuration a head names. Returns false when contracts are
 * missing. */
static bool
adopt(fv_configurator_t *configurator, json_t *head, json_t *by_digest)
{
    fv_config_t *config = NULL;
    fv_config_head_result_t result;

    if (FvJson_Int(head, "version", 0) <= (int64_t)FvConfig_Version()) {
        return true;
    }
    hold(configurator, by_digest);
    rcu_read_lock();
    result = FvConfigHead_Assemble(head, FvConfig_Read(), configurator->held,
                                   &config);
    rcu_read_unlock();
    if (result == Fv_CONFIG_HEAD_COMPLETE) {
        publish(configurator, config, head);
    }
    else if (result == Fv_CONFIG_HEAD_MALFORMED) {
        FvLog_Event(
            Fv_LOG_ERROR, "config_refused",
            "reason=\"digest does not match the content\" version=%lld",
            (long long)FvJson_Int(head, "version", 0));
    }
    return result != Fv_CONFIG_HEAD_MISSING;
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
    fv_configurator_t *configurator = context;
    json_t *by_digest = json_object();
    json_t *head = NULL;

    if (result->error == Fv_STORE_OK) {
        FvConfigHead_FromStore(result, &head, NULL, by_digest);
    }
    if (head == NULL) {
        hold(configurator, by_digest);
    }
    else if (!adopt(configurator, head, by_digest)) {
        load(configurator);
    }
    json_decref(head);
    json_decref(by_digest);
}

/* The watch starts right after the revision that was read. */
static void
start_watch(fv_configurator_t *configurator, int64_t revision)
{
    fv_daemon_t *daemon = configurator->daemon;

    if (configurator->watching || watcher(daemon) != daemon->self) {
        return;
    }
    configurator->watching = true;
    FvStore_Watch(daemon->store, KEY_PREFIX, revision + 1, on_watch,
                  configurator);
}

static void
on_loaded(void *context, const fv_store_result_t *result)
{
    fv_configurator_t *configurator = context;
    json_t *by_digest;
    json_t *head = NULL;

    configurator->loading = false;
    if (result->error != Fv_STORE_OK) {
        FvLog_Event(Fv_LOG_WARN, "config_load_failed", "error=%d",
                    (int)result->error);
        configurator->next_poll_ms = FvClock_NowMs() + LOAD_RETRY_MS;
        configurator->load_again = false;
        return;
    }
    by_digest = json_object();
    FvConfigHead_FromStore(result, &head, NULL, by_digest);
    if (head != NULL && !adopt(configurator, head, by_digest)) {
        FvLog_Event(Fv_LOG_ERROR, "config_refused",
                    "reason=\"the store lacks a contract the head names\"");
    }
    json_decref(head);
    json_decref(by_digest);
    start_watch(configurator, result->revision);
    if (configurator->load_again) {
        configurator->load_again = false;
        load(configurator);
    }
}

static void
load(fv_configurator_t *configurator)
{
    if (configurator->loading) {
        configurator->load_again = true;
        return;
    }
    configurator->loading = true;
    configurator->next_load_ms = FvClock_NowMs() + LOAD_RETRY_MS;
    FvStore_List(configurator->daemon->store, KEY_PREFIX, on_loaded,
                 configurator);
}

static void
on_polled(void *context, const fv_store_result_t *result)
{
    fv_configurator_t *configurator = context;
    json_t *by_digest = json_object();
    json_t *head = NULL;

    if (result->error == Fv_STORE_OK) {
        FvConfigHead_FromStore(result, &head, NULL, by_digest);
    }
    if (head != NULL && !adopt(configurator, head, by_digest)) {
        load(configurator);
    }
    json_decref(head);
    json_decref(by_digest);
}

/* Takes or gives up the watch when the data centre's winner changes. */
static void
update_watch(fv_configurator_t *configurator)
{
    fv_daemon_t *daemon = configurator->daemon;
    bool chosen = watcher(daemon) == daemon->self;

    if (configurator->watching && !chosen) {
        FvStore_StopWatch(daemon->store);
        configurator->watching = false;
    }
    if (!configurator->watching && chosen && !configurator->loading &&
        FvClock_NowMs() >= configurator->next_load_ms) {
        load(configurator);
    }
}

static void
on_tick(void *owner)
{
    fv_configurator_t *configurator = owner;
    fv_daemon_t *daemon = configurator->daemon;
    int64_t now_ms = FvClock_NowMs();

    update_watch(configurator);
    if (now_ms >= configurator->next_poll_ms) {
        configurator->next_poll_ms = now_ms + POLL_MS;
        FvStore_Get(daemon->store, HEAD_KEY, on_polled, configurator);
    }
    FvLoop_SetTimer(daemon->loop, &configurator->tick, now_ms + TICK_MS);
}

/* Takes over what a peer sent. Returns true when more is to be asked of it. */
static bool
absorb(fv_configurator_t *configurator, const char *text)
{
    json_t *document = json_loads(text ? text : "", 0, NULL);
    json_t *head = json_object_get(document, "head");
    json_t *by_digest = json_object();
    size_t held = json_object_size(configurator->held);
    bool more = false;
    size_t index;
    json_t *contract;

    json_array_foreach(json_object_get(document, "contracts"), index, contract)
    {
        FvConfigHead_AddContract(by_digest, contract);
    }
    if (json_is_object(head) && !adopt(configurator, head, by_digest)) {
        more = json_object_size(configurator->held) > held;
    }
    json_decref(by_digest);
    json_decref(document);
    return more;
}

static void
on_answer(void *context, fv_link_error_t error, fv_message_t *reply)
{
    fv_configurator_t *configurator = context;
    uint64_t version = FvConfig_Version();
    bool more = false;

    configurator->asking = false;
    if (error == Fv_LINK_OK && reply->type == Fv_MESSAGE_CONFIG) {
        more = absorb(configurator, reply->body.document.text);
    }
    if (more) {
        ask(configurator, configurator->asked);
    }
    else if (FvConfig_Version() == version) {
        configurator->next_ask_ms = FvClock_NowMs() + ASK_RETRY_MS;
    }
}

/* What this host has: the active version and the digests of all contracts. */
static char *
request_text(const fv_configurator_t *configurator)
{
    json_t *have =
        digest_set(json_object_get(configurator->head, "contracts"));
    json_t *request;
    const char *digest;
    json_t *contract;
    char *text;

    json_object_foreach(configurator->held, digest, contract)
    {
        json_object_set_new(have, digest, json_true());
    }
    request = json_pack("{s:I, s:o}", "version",
                        (json_int_t)FvConfig_Version(), "have", have);
    text = json_dumps(request, JSON_COMPACT);
    json_decref(request);
    return text;
}

static void
ask(fv_configurator_t *configurator, const char *host)
{
    fv_message_t message = {.type = Fv_MESSAGE_CONFIG_GET};
    char *text;

    if (configurator->asking || FvClock_NowMs() < configurator->next_ask_ms) {
        return;
    }
    text = request_text(configurator);
    if (text == NULL) {
        return;
    }
    configurator->asking = true;
    if (host != configurator->asked) {
        FvText_Copy(configurator->asked, sizeof(configurator->asked), host);
    }
    message.body.document.text = text;
    FvPeers_Call(configurator->daemon->peers, configurator->asked, &message,
                 ASK_TIMEOUT_MS, on_answer, configurator);
}

/**
 * FvConfigurator_New - start reading and watching the configuration
 * @daemon: the daemon; its loop, store, peers and self are set
 *
 * Return: the configurator, or NULL when memory is exhausted.
 */
fv_configurator_t *
FvConfigurator_New(fv_daemon_t *daemon)
{
    fv_configurator_t *configurator = calloc(1, sizeof(*configurator));

    if (configurator == NULL) {
        return NULL;
    }
    configurator->daemon = daemon;
    configurator->held = json_object();
    configurator->next_poll_ms = FvClock_NowMs() + POLL_MS;
    configurator->tick.fire = on_tick;
    configurator->tick.owner = configurator;
    FvLoop_SetTimer(daemon->loop, &configurator->tick,
                    FvClock_NowMs() + TICK_MS);
    load(configurator);
    return configurator;
}

/**
 * FvConfigurator_Free - release a configurator; its store calls have ended
 * @configurator: the configurator, or NULL
 */
void
FvConfigurator_Free(fv_configurator_t *configurator)
{
    if (configurator == NULL) {
        return;
    }
    FvLoop_CancelTimer(configurator->daemon->loop, &configurator->tick);
    if (configurator->watching) {
        FvStore_StopWatch(configurator->daemon->store);
    }
    json_decref(configurator->head);
    json_decref(configurator->held);
    free(configurator);
}

/**
 * FvConfigurator_OnHosts - the live hosts changed
 * @configurator: the configurator
 */
void
FvConfigurator_OnHosts(fv_configurator_t *configurator)
{
    update_watch(configurator);
}

/**
 * FvConfigurator_OnActivated - this host activated a proposal
 * @configurator: the configurator
 * @head: the head it wrote
 * @contracts: the contracts it wrote, by member
 *
 * Heartbeats then tell the other hosts, even when no watch is left.
 */
void
FvConfigurator_OnActivated(fv_configurator_t *configurator, json_t *head,
                           json_t *contracts)
{
    json_t *by_digest = json_object();
    const char *member;
    json_t *contract;

    json_object_foreach(contracts, member, contract)
    {
        FvConfigHead_AddContract(by_digest, contract);
    }
    if (!adopt(configurator, head, by_digest)) {
        load(configurator);
    }
    json_decref(by_digest);
}

/**
 * FvConfigurator_OnPeerVersion - a host's digest told its version
 * @configurator: the configurator
 * @host: the host
 * @version: its version; a higher one is requested from it
 */
void
FvConfigurator_OnPeerVersion(fv_configurator_t *configurator, const char *host,
                             uint64_t version)
{
    if (version > FvConfig_Version()) {
        ask(configurator, host);
    }
}

/**
 * FvConfigurator_OnConfigGet - a host asks for the configuration
 * @configurator: the configurator
 * @request: lists the digests of the contracts it has
 * @to: where the answer goes
 */
void
FvConfigurator_OnConfigGet(fv_configurator_t *configurator,
                           const fv_message_t *request,
                           const fv_reply_to_t *to)
{
    const char *text = request->body.document.text;
    json_t *document = json_loads(text ? text : "", 0, NULL);
    fv_message_t reply = {.type = Fv_MESSAGE_CONFIG};

    reply.body.document.text =
        document_text(configurator, json_object_get(document, "have"));
    json_decref(document);
    FvPeers_Reply(configurator->daemon->peers, to, &reply);
}

/**
 * FvConfigurator_OnConfig - a host sent the configuration unasked
 * @configurator: the configurator
 * @message: names the sender, which is asked for what is missing
 */
void
FvConfigurator_OnConfig(fv_configurator_t *configurator,
                        const fv_message_t *message)
{
    const char *text = message->body.document.text;
    json_t *document = json_loads(text ? text : "", 0, NULL);
    const json_t *head = json_object_get(document, "head");
    const char *from = FvJson_String(document, "from");

    absorb(configurator, text);
    if (from != NULL &&
        FvHosts_Find(&configurator->daemon->hosts, from) != NULL) {
        FvConfigurator_OnPeerVersion(configurator, from,
                                     (uint64_t)FvJson_Int(head, "version", 0));
    }
    json_decref(document);
}
