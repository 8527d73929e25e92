/*
 * The configuration reaches every host by whatever way is open, and no
 * delayed, altered or old message takes it back.
 */

#include "daemon.h"
#include "fake_store.h"
#include "sample_answers.h"
#include "suite.h"

#include <urcu.h>

static const char *const members[] = {"auckland", "otago", "waikato"};

static fv_daemon_t cell;
static int applied;
static int notified;
static char *sent; /* text of the last message to a peer */
static fv_peer_done_t asked;
static void *asked_context;
static uint32_t changing = 1; /* contracts that differ between versions */

void
FvLog_Event(fv_log_level_t level, const char *event, const char *format, ...)
{
    (void)level;
    (void)event;
    (void)format;
}

void
FvLoop_SetTimer(fv_loop_t *loop, fv_timer_t *timer, int64_t due_ms)
{
    (void)loop;
    (void)timer;
    (void)due_ms;
}

void
FvLoop_CancelTimer(fv_loop_t *loop, fv_timer_t *timer)
{
    (void)loop;
    (void)timer;
}

void
FvRunner_OnConfig(fv_runner_t *runner)
{
    (void)runner;
    applied++;
}

void
FvShares_Configure(fv_shares_t *shares, const fv_config_t *config)
{
    (void)shares;
    (void)config;
}

static void
keep_text(const fv_message_t *message)
{
    free(sent);
    sent = strdup(message->body.document.text);
}

void
FvPeers_Call(fv_peers_t *peers, const char *host, fv_message_t *message,
             int64_t timeout_ms, fv_peer_done_t done, void *context)
{
    (void)peers;
    (void)host;
    (void)timeout_ms;
    keep_text(message);
    free(message->body.document.text);
    asked = done;
    asked_context = context;
}

void
FvPeers_Notify(fv_peers_t *peers, const char *host,
               const fv_message_t *message)
{
    (void)peers;
    (void)host;
    keep_text(message);
    notified++;
}

void
FvPeers_Reply(fv_peers_t *peers, const fv_reply_to_t *to, fv_message_t *reply)
{
    (void)peers;
    (void)to;
    keep_text(reply);
    free(reply->body.document.text);
}

/* Contracts of a configuration whose weights differ from version to version,
 * so that contracts and digests do. */
static fv_config_t *
config_of_version(uint64_t version)
{
    fv_config_t *sample = sample_config(members, 3);
    fv_config_t *config;

    for (uint32_t i = 0; i < changing; i++) {
        sample->contracts[i].weight = (uint32_t)version;
    }
    config = FvConfig_New(version, sample->contracts, 3, NULL);
    FvConfig_Free(sample);
    return config;
}

static json_t *
head_of(const fv_config_t *config)
{
    return json_pack("{s:I, s:s, s:o}", "version", (json_int_t)config->version,
                     "digest", config->digest, "contracts",
                     FvConfig_ContractDigests(config));
}

static void
put_json(const char *key, json_t *value)
{
    char *text = json_dumps(value, JSON_COMPACT);

    fake_store_put(key, text);
    free(text);
    json_decref(value);
}

static void
store_version(uint64_t version)
{
    fv_config_t *config = config_of_version(version);
    char key[Fv_URL_SIZE];

    fake_store.revision++;
    for (uint32_t i = 0; i < config->contract_count; i++) {
        snprintf(key, sizeof(key), "config/member/%s",
                 config->contracts[i].member);
        put_json(key, FvContract_ToJson(&config->contracts[i]));
    }
    put_json("config/head", head_of(config));
    FvConfig_Free(config);
}

/* A message with a version; weight 0 keeps the contracts as they belong. */
static char *
peer_text(uint64_t version, uint32_t count, int weight)
{
    fv_config_t *config = config_of_version(version);
    json_t *list = json_array();
    char *text;
    json_t *document;

    for (uint32_t i = 0; i < count; i++) {
        json_t *contract = FvContract_ToJson(&config->contracts[i]);

        if (weight > 0) {
            json_object_set_new(contract, "weight", json_integer(weight));
        }
        json_array_append_new(list, contract);
    }
    document = json_pack("{s:s, s:o, s:o}", "from", "host-b", "head",
                         head_of(config), "contracts", list);
    text = json_dumps(document, 0);
    json_decref(document);
    FvConfig_Free(config);
    return text;
}

static void
receive(char *text)
{
    fv_message_t message = {.type = Fv_MESSAGE_CONFIG};

    message.body.document.text = text;
    FvConfigSync_OnConfig(cell.config_sync, &message);
    free(text);
}

static void
answer(char *text)
{
    fv_message_t reply = {.type = Fv_MESSAGE_CONFIG};

    reply.body.document.text = text;
    asked(asked_context, text ? Fv_LINK_OK : Fv_LINK_UNCONFIRMED, &reply);
    free(text);
}

static void
add_host(const char *name, const char *data_center)
{
    fv_host_t *host = FvHosts_Add(&cell.hosts, name);

    FvText_Copy(host->region, sizeof(host->region), "akl");
    FvText_Copy(host->data_center, sizeof(host->data_center), data_center);
    host->listed = host->listed_live = host->linked = true;
    host->last_heard_ms = FvClock_NowMs();
}

static void
start(void)
{
    fake_store_reset();
    memset(&cell, 0, sizeof(cell));
    applied = 0;
    notified = 0;
    asked = NULL;
    add_host("host-a", "akl-1");
    cell.self = cell.hosts.entries[0];
    cell.config_sync = FvConfigSync_New(&cell);
}

static void
stop(void)
{
    FvConfigSync_Free(cell.config_sync);
    FvHosts_Clear(&cell.hosts);
    rcu_barrier();
}

static void
test_store_is_loaded_and_watched(void)
{
    uint64_t version = FvConfig_ActiveVersion() + 1;

    start();
    store_version(version);
    fake_store_run();
    CU_ASSERT_EQUAL(FvConfig_ActiveVersion(), version);
    CU_ASSERT_EQUAL(applied, 1);
    CU_ASSERT_TRUE(fake_store.watching);
    stop();
}

/* Delivers the head and one contract of a version as a watch event. */
static void
watch_event(uint64_t version)
{
    fv_config_t *config = config_of_version(version);
    json_t *head = head_of(config);
    json_t *contract = FvContract_ToJson(&config->contracts[0]);
    char *texts[2] = {json_dumps(contract, 0), json_dumps(head, 0)};
    fv_store_kv_t kvs[2] = {{.key = "config/member/auckland",
                             .value = texts[0],
                             .value_length = strlen(texts[0])},
                            {.key = "config/head",
                             .value = texts[1],
                             .value_length = strlen(texts[1])}};
    fv_store_result_t result = {.kv_count = 2, .kvs = kvs};

    fake_store.watch_event(fake_store.watch_context, &result);
    free(texts[0]);
    free(texts[1]);
    json_decref(head);
    json_decref(contract);
    FvConfig_Free(config);
}

/* This host activates a version that changes no contract it lacks. */
static void
activate(uint64_t version)
{
    fv_config_t *config = config_of_version(version);
    json_t *head = head_of(config);
    json_t *contracts = json_pack("{s:o}", config->contracts[0].member,
                                  FvContract_ToJson(&config->contracts[0]));

    FvConfigSync_OnProposalActivated(cell.config_sync, head, contracts);
    json_decref(head);
    json_decref(contracts);
    FvConfig_Free(config);
}

/* Reads the whole store, as after a change whose contracts are missing. */
static void
reload(void)
{
    json_t *head = json_pack("{s:i, s:s, s:{s:s}}", "version", 1 << 30,
                             "digest", "", "contracts", "nobody", "");

    FvConfigSync_OnProposalActivated(cell.config_sync, head,
                                     json_object_get(head, ""));
    json_decref(head);
    fake_store_run();
}

static void
test_delayed_events_do_not_revert(void)
{
    uint64_t version = FvConfig_ActiveVersion() + 5;

    start();
    store_version(version);
    fake_store_run();
    watch_event(version + 2);
    CU_ASSERT_EQUAL(FvConfig_ActiveVersion(), version + 2);
    watch_event(version + 1);
    receive(peer_text(version, 3, 0));
    activate(version + 1);
    reload();
    CU_ASSERT_EQUAL(FvConfig_ActiveVersion(), version + 2);
    CU_ASSERT_EQUAL(applied, 2);
    activate(version + 3);
    CU_ASSERT_EQUAL(FvConfig_ActiveVersion(), version + 3);
    stop();
}

static void
test_watcher_sends_only_changes(void)
{
    uint64_t version = FvConfig_ActiveVersion() + 1;
    json_t *document;

    start();
    store_version(version);
    fake_store_run();
    add_host("host-b", "akl-1");
    add_host("host-c", "akl-2");
    watch_event(version + 1);
    CU_ASSERT_EQUAL(notified, 1);
    document = json_loads(sent, 0, NULL);
    CU_ASSERT_EQUAL(json_array_size(json_object_get(document, "contracts")),
                    1);
    json_decref(document);
    stop();
}

static void
test_start_without_store(void)
{
    uint64_t version = FvConfig_ActiveVersion() + 1;

    start();
    fake_store.fault = FAKE_UNAVAILABLE;
    fake_store_run();
    add_host("host-b", "akl-2");
    FvConfigSync_OnPeerVersion(cell.config_sync, "host-b", version);
    CU_ASSERT_PTR_NOT_NULL_FATAL(asked);
    answer(peer_text(version, 3, 0));
    CU_ASSERT_EQUAL(FvConfig_ActiveVersion(), version);
    asked = NULL;
    FvConfigSync_OnPeerVersion(cell.config_sync, "host-b", version);
    CU_ASSERT_PTR_NULL(asked);
    stop();
}

/* A sender that has no room for all contracts is asked until it is done. */
static void
test_parts_are_asked_for(void)
{
    uint64_t version = FvConfig_ActiveVersion() + 1;

    changing = 3;
    start();
    fake_store_run();
    add_host("host-b", "akl-1");
    receive(peer_text(version, 0, 0));
    CU_ASSERT_PTR_NOT_NULL_FATAL(asked);
    for (uint32_t count = 1; count <= 3; count++) {
        CU_ASSERT_EQUAL(FvConfig_ActiveVersion(), version - 1);
        answer(peer_text(version, count, 0));
    }
    CU_ASSERT_EQUAL(FvConfig_ActiveVersion(), version);
    changing = 1;
    stop();
}

static void
test_altered_configuration_is_refused(void)
{
    uint64_t version = FvConfig_ActiveVersion();
    char *text = peer_text(version + 1, 3, 0);
    json_t *document = json_loads(text, 0, NULL);
    json_t *head = json_object_get(document, "head");

    start();
    fake_store_run();
    receive(peer_text(version + 1, 3, 77));
    CU_ASSERT_EQUAL(FvConfig_ActiveVersion(), version);
    json_object_set_new(head, "version", json_integer(version + 100));
    receive(json_dumps(document, 0));
    receive(strdup("[1, 2"));
    receive(strdup("{\"head\": {\"version\": 99999}, \"contracts\": 5}"));
    CU_ASSERT_EQUAL(FvConfig_ActiveVersion(), version);
    json_decref(document);
    free(text);
    stop();
}

static void
test_request_is_answered_with_what_lacks(void)
{
    uint64_t version = FvConfig_ActiveVersion() + 1;
    fv_message_t request = {.type = Fv_MESSAGE_CONFIG_GET};
    fv_reply_to_t to = {.connection = 1};
    fv_config_t *config = config_of_version(version);
    char digest[Fv_DIGEST_SIZE];
    char text[160];
    json_t *document;

    start();
    store_version(version);
    fake_store_run();
    FvContract_Digest(&config->contracts[1], digest);
    snprintf(text, sizeof(text), "{\"have\": {\"%s\": true}}", digest);
    request.body.document.text = text;
    FvConfigSync_OnConfigGet(cell.config_sync, &request, &to);
    document = json_loads(sent, 0, NULL);
    CU_ASSERT_EQUAL(json_array_size(json_object_get(document, "contracts")),
                    2);
    CU_ASSERT_EQUAL(
        FvJson_Int(json_object_get(document, "head"), "version", 0),
        (int64_t)version);
    json_decref(document);
    FvConfig_Free(config);
    stop();
}

static void
test_one_watcher_a_data_center(void)
{
    char name[Fv_NAME_SIZE] = "";
    uint64_t own;

    start();
    fake_store_run();
    CU_ASSERT_TRUE(fake_store.watching);
    own = FvText_RendezvousWeight("config-watch/akl-1", "host-a");
    for (int i = 0; i < 100; i++) {
        snprintf(name, sizeof(name), "host-%d", i);
        if (FvText_RendezvousWeight("config-watch/akl-1", name) > own) {
            break;
        }
    }
    add_host(name, "akl-1");
    FvConfigSync_OnHosts(cell.config_sync);
    CU_ASSERT_FALSE(fake_store.watching);
    cell.hosts.entries[1]->last_heard_ms -= 10000;
    reload();
    CU_ASSERT_TRUE(fake_store.watching);
    stop();
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a starting host stays without a configuration",
         test_store_is_loaded_and_watched},
        {"a delayed event or an old answer takes a version back",
         test_delayed_events_do_not_revert},
        {"the watcher sends everything, or to other data centres",
         test_watcher_sends_only_changes},
        {"a host needs the store to start", test_start_without_store},
        {"a host does not ask for contracts it lacks",
         test_parts_are_asked_for},
        {"a configuration that does not match its digest is used",
         test_altered_configuration_is_refused},
        {"a host sends what the other has, or not what it lacks",
         test_request_is_answered_with_what_lacks},
        {"a data centre has two watchers or none",
         test_one_watcher_a_data_center},
    };
    int result;

    rcu_register_thread();
    result = Fv_RUN_SUITE("configurator", cases);
    rcu_unregister_thread();
    free(sent);
    return result;
}
