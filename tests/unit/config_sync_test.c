/*
 * Distribution of the configuration: every host gets it from the store or from
 * a peer, and a delayed, altered or outdated message never replaces it.
 */

#include "daemon.h"
#include "fake_store.h"
#include "sample_answers.h"
#include "suite.h"

#include <urcu.h>

static const char *const member_names[] = {"auckland", "otago", "waikato"};

static fv_daemon_t test_daemon;
static int config_change_count;
static int notification_count;
static char *last_sent_text; /* of the last message to a peer */
static fv_peer_done_t config_get_done;
static void *config_get_context;
/* Contracts that differ between two versions. */
static uint32_t changed_contract_count = 1;

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
    config_change_count++;
}

void
FvShares_Configure(fv_shares_t *shares, const fv_config_t *config)
{
    (void)shares;
    (void)config;
}

static void
save_sent_text(const fv_message_t *message)
{
    free(last_sent_text);
    last_sent_text = strdup(message->body.document.text);
}

void
FvPeers_Call(fv_peers_t *peers, const char *host, fv_message_t *message,
             int64_t timeout_ms, fv_peer_done_t done, void *context)
{
    (void)peers;
    (void)host;
    (void)timeout_ms;
    save_sent_text(message);
    free(message->body.document.text);
    config_get_done = done;
    config_get_context = context;
}

void
FvPeers_Notify(fv_peers_t *peers, const char *host,
               const fv_message_t *message)
{
    (void)peers;
    (void)host;
    save_sent_text(message);
    notification_count++;
}

void
FvPeers_Reply(fv_peers_t *peers, const fv_reply_to_t *to, fv_message_t *reply)
{
    (void)peers;
    (void)to;
    save_sent_text(reply);
    free(reply->body.document.text);
}

/* The first changed_contract_count contracts have the version as their weight,
 * so that they and their digests differ between versions. */
static fv_config_t *
make_config(uint64_t version)
{
    fv_config_t *sample = sample_config(member_names, 3);
    fv_config_t *config;

    for (uint32_t i = 0; i < changed_contract_count; i++) {
        sample->contracts[i].weight = (uint32_t)version;
    }
    config = FvConfig_New(version, sample->contracts, 3, NULL);
    FvConfig_Free(sample);
    return config;
}

static json_t *
make_head(const fv_config_t *config)
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
put_config_in_store(uint64_t version)
{
    fv_config_t *config = make_config(version);
    char key[Fv_URL_SIZE];

    fake_store.revision++;
    for (uint32_t i = 0; i < config->contract_count; i++) {
        snprintf(key, sizeof(key), "config/member/%s",
                 config->contracts[i].member);
        put_json(key, FvContract_ToJson(&config->contracts[i]));
    }
    put_json("config/head", make_head(config));
    FvConfig_Free(config);
}

/* The head of a version and its first count contracts. A weight above 0
 * replaces the weight of the contracts, so that their digests do not match. */
static char *
make_config_message(uint64_t version, uint32_t count, int weight)
{
    fv_config_t *config = make_config(version);
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
                         make_head(config), "contracts", list);
    text = json_dumps(document, 0);
    json_decref(document);
    FvConfig_Free(config);
    return text;
}

static void
receive_config(char *text)
{
    fv_message_t message = {.type = Fv_MESSAGE_CONFIG};

    message.body.document.text = text;
    FvConfigSync_OnConfig(test_daemon.config_sync, &message);
    free(text);
}

static void
reply_to_config_get(char *text)
{
    fv_message_t reply = {.type = Fv_MESSAGE_CONFIG};

    reply.body.document.text = text;
    config_get_done(config_get_context,
                    text ? Fv_LINK_OK : Fv_LINK_UNCONFIRMED, &reply);
    free(text);
}

static void
add_host(const char *name, const char *data_center)
{
    fv_host_t *host = FvHosts_Add(&test_daemon.hosts, name);

    FvText_Copy(host->region, sizeof(host->region), "akl");
    FvText_Copy(host->data_center, sizeof(host->data_center), data_center);
    host->listed = host->listed_live = host->linked = true;
    host->last_heard_ms = FvClock_NowMs();
}

static void
start_configurator(void)
{
    fake_store_reset();
    memset(&test_daemon, 0, sizeof(test_daemon));
    config_change_count = 0;
    notification_count = 0;
    config_get_done = NULL;
    add_host("host-a", "akl-1");
    test_daemon.self = test_daemon.hosts.entries[0];
    test_daemon.config_sync = FvConfigSync_New(&test_daemon);
}

static void
stop_configurator(void)
{
    FvConfigSync_Free(test_daemon.config_sync);
    FvHosts_Clear(&test_daemon.hosts);
    rcu_barrier();
}

static void
test_start_loads_and_watches_store(void)
{
    uint64_t version = FvConfig_ActiveVersion() + 1;

    start_configurator();
    put_config_in_store(version);
    fake_store_run();
    CU_ASSERT_EQUAL(FvConfig_ActiveVersion(), version);
    CU_ASSERT_EQUAL(config_change_count, 1);
    CU_ASSERT_TRUE(fake_store.watching);
    stop_configurator();
}

/* Delivers the head and one contract of a version as a watch event. */
static void
deliver_watch_event(uint64_t version)
{
    fv_config_t *config = make_config(version);
    json_t *head = make_head(config);
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

/* Reports an activation by this host, with the only contract that changed. */
static void
activate_version(uint64_t version)
{
    fv_config_t *config = make_config(version);
    json_t *head = make_head(config);
    json_t *contracts = json_pack("{s:o}", config->contracts[0].member,
                                  FvContract_ToJson(&config->contracts[0]));

    FvConfigSync_OnProposalActivated(test_daemon.config_sync, head, contracts);
    json_decref(head);
    json_decref(contracts);
    FvConfig_Free(config);
}

/* Activates a head whose contracts are missing, which makes the configurator
 * read the whole store. */
static void
reload_from_store(void)
{
    json_t *head = json_pack("{s:i, s:s, s:{s:s}}", "version", 1 << 30,
                             "digest", "", "contracts", "nobody", "");

    FvConfigSync_OnProposalActivated(test_daemon.config_sync, head,
                                     json_object_get(head, ""));
    json_decref(head);
    fake_store_run();
}

static void
test_delayed_versions_are_ignored(void)
{
    uint64_t version = FvConfig_ActiveVersion() + 5;

    start_configurator();
    put_config_in_store(version);
    fake_store_run();
    deliver_watch_event(version + 2);
    CU_ASSERT_EQUAL(FvConfig_ActiveVersion(), version + 2);
    deliver_watch_event(version + 1);
    receive_config(make_config_message(version, 3, 0));
    activate_version(version + 1);
    reload_from_store();
    CU_ASSERT_EQUAL(FvConfig_ActiveVersion(), version + 2);
    CU_ASSERT_EQUAL(config_change_count, 2);
    activate_version(version + 3);
    CU_ASSERT_EQUAL(FvConfig_ActiveVersion(), version + 3);
    stop_configurator();
}

static void
test_watcher_sends_only_changes(void)
{
    uint64_t version = FvConfig_ActiveVersion() + 1;
    json_t *document;

    start_configurator();
    put_config_in_store(version);
    fake_store_run();
    add_host("host-b", "akl-1");
    add_host("host-c", "akl-2");
    deliver_watch_event(version + 1);
    CU_ASSERT_EQUAL(notification_count, 1);
    document = json_loads(last_sent_text, 0, NULL);
    CU_ASSERT_EQUAL(json_array_size(json_object_get(document, "contracts")),
                    1);
    json_decref(document);
    stop_configurator();
}

static void
test_start_from_peer_without_store(void)
{
    uint64_t version = FvConfig_ActiveVersion() + 1;

    start_configurator();
    fake_store.fault = FAKE_UNAVAILABLE;
    fake_store_run();
    add_host("host-b", "akl-2");
    FvConfigSync_OnPeerVersion(test_daemon.config_sync, "host-b", version);
    CU_ASSERT_PTR_NOT_NULL_FATAL(config_get_done);
    reply_to_config_get(make_config_message(version, 3, 0));
    CU_ASSERT_EQUAL(FvConfig_ActiveVersion(), version);
    config_get_done = NULL;
    FvConfigSync_OnPeerVersion(test_daemon.config_sync, "host-b", version);
    CU_ASSERT_PTR_NULL(config_get_done);
    stop_configurator();
}

/* A message has a size limit, so a host requests the contracts that are still
 * missing until it has all of them. */
static void
test_missing_contracts_are_requested(void)
{
    uint64_t version = FvConfig_ActiveVersion() + 1;

    changed_contract_count = 3;
    start_configurator();
    fake_store_run();
    add_host("host-b", "akl-1");
    receive_config(make_config_message(version, 0, 0));
    CU_ASSERT_PTR_NOT_NULL_FATAL(config_get_done);
    for (uint32_t count = 1; count <= 3; count++) {
        CU_ASSERT_EQUAL(FvConfig_ActiveVersion(), version - 1);
        reply_to_config_get(make_config_message(version, count, 0));
    }
    CU_ASSERT_EQUAL(FvConfig_ActiveVersion(), version);
    changed_contract_count = 1;
    stop_configurator();
}

static void
test_altered_configuration_is_rejected(void)
{
    uint64_t version = FvConfig_ActiveVersion();
    char *text = make_config_message(version + 1, 3, 0);
    json_t *document = json_loads(text, 0, NULL);
    json_t *head = json_object_get(document, "head");

    start_configurator();
    fake_store_run();
    receive_config(make_config_message(version + 1, 3, 77));
    CU_ASSERT_EQUAL(FvConfig_ActiveVersion(), version);
    json_object_set_new(head, "version", json_integer(version + 100));
    receive_config(json_dumps(document, 0));
    receive_config(strdup("[1, 2"));
    receive_config(
        strdup("{\"head\": {\"version\": 99999}, \"contracts\": 5}"));
    CU_ASSERT_EQUAL(FvConfig_ActiveVersion(), version);
    json_decref(document);
    free(text);
    stop_configurator();
}

static void
test_reply_has_only_missing_contracts(void)
{
    uint64_t version = FvConfig_ActiveVersion() + 1;
    fv_message_t request = {.type = Fv_MESSAGE_CONFIG_GET};
    fv_reply_to_t to = {.connection = 1};
    fv_config_t *config = make_config(version);
    char digest[Fv_HASH256_HEX_SIZE];
    char text[160];
    json_t *document;

    start_configurator();
    put_config_in_store(version);
    fake_store_run();
    FvContract_Digest(&config->contracts[1], digest);
    snprintf(text, sizeof(text), "{\"have\": {\"%s\": true}}", digest);
    request.body.document.text = text;
    FvConfigSync_OnConfigGet(test_daemon.config_sync, &request, &to);
    document = json_loads(last_sent_text, 0, NULL);
    CU_ASSERT_EQUAL(json_array_size(json_object_get(document, "contracts")),
                    2);
    CU_ASSERT_EQUAL(
        FvJson_Int(json_object_get(document, "head"), "version", 0),
        (int64_t)version);
    json_decref(document);
    FvConfig_Free(config);
    stop_configurator();
}

static void
test_one_watcher_per_data_center(void)
{
    char name[Fv_NAME_SIZE] = "";
    uint64_t own_weight;

    start_configurator();
    fake_store_run();
    CU_ASSERT_TRUE(fake_store.watching);
    own_weight = FvText_RendezvousWeight("config-watch/akl-1", "host-a");
    for (int i = 0; i < 100; i++) {
        snprintf(name, sizeof(name), "host-%d", i);
        if (FvText_RendezvousWeight("config-watch/akl-1", name) > own_weight) {
            break;
        }
    }
    add_host(name, "akl-1");
    FvConfigSync_OnHosts(test_daemon.config_sync);
    CU_ASSERT_FALSE(fake_store.watching);
    test_daemon.hosts.entries[1]->last_heard_ms -= 10000;
    reload_from_store();
    CU_ASSERT_TRUE(fake_store.watching);
    stop_configurator();
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a starting host does not load or watch the store",
         test_start_loads_and_watches_store},
        {"a delayed event or reply restores an old version",
         test_delayed_versions_are_ignored},
        {"the watcher sends unchanged contracts or to other data centres",
         test_watcher_sends_only_changes},
        {"a host cannot start while the store is unavailable",
         test_start_from_peer_without_store},
        {"a host does not request contracts that it lacks",
         test_missing_contracts_are_requested},
        {"a configuration that does not match its digest is accepted",
         test_altered_configuration_is_rejected},
        {"a reply repeats contracts the peer has, or omits others",
         test_reply_has_only_missing_contracts},
        {"a data centre has two watchers or none",
         test_one_watcher_per_data_center},
    };
    int result;

    rcu_register_thread();
    result = Fv_RUN_SUITE("configurator", cases);
    rcu_unregister_thread();
    free(last_sent_text);
    return result;
}
