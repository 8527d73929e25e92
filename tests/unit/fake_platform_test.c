/*
 * fake-platform as a separate process. If its store did not inject the
 * faults that a test requests, the end-to-end tests would pass without testing
 * anything.
 */

#include "cluster.h"
#include "suite.h"

#include <stdlib.h>
#include <string.h>

static const topology_site_t sites[] = {
    {.region = "akl",
     .data_center = "akl-1",
     .hosts = 1,
     .racks = 1,
     .workers_per_rack = 2},
};
/* The list lag exceeds the time between a change and the read after it. */
static const topology_t topology = {.sites = sites,
                                    .site_count = 1,
                                    .proxied = true,
                                    .usage_lag_ms = 50,
                                    .list_lag_ms = 500};

static cluster_t cluster;

static json_t *
base64(const char *text)
{
    return FvApi_EncodeBase64(text, strlen(text));
}

static int
call_store(const char *path, json_t *body, int64_t timeout_ms, json_t **reply)
{
    char *text = json_dumps(body, JSON_COMPACT);
    char url[Fv_URL_SIZE];
    http_call_t call = {.method = "POST",
                        .url = url,
                        .body = text,
                        .body_length = strlen(text),
                        .timeout_ms = timeout_ms};
    http_reply_t http;

    json_decref(body);
    snprintf(url, sizeof(url), "http://%s%s", cluster.platform_address, path);
    FvHttp_Run(&call, &http);
    if (reply != NULL) {
        *reply = FvHttp_ReplyJson(&http);
    }
    FvHttp_FreeReply(&http);
    free(text);
    return http.status;
}

static int
put(const char *key, const char *value, int64_t timeout_ms)
{
    return call_store(
        "/v3/kv/put",
        json_pack("{s:o, s:o}", "key", base64(key), "value", base64(value)),
        timeout_ms, NULL);
}

/* Returns the stored value, or "" if the key does not exist. */
static const char *
stored(const char *key)
{
    static char value[512];
    json_t *dump = FvCluster_DumpStore(&cluster);
    json_t *entry;
    size_t i;

    value[0] = 0;
    json_array_foreach(json_object_get(dump, "kvs"), i, entry)
    {
        if (strcmp(json_string_value(json_object_get(entry, "key")), key) ==
            0) {
            snprintf(value, sizeof(value), "%s",
                     json_string_value(json_object_get(entry, "value")));
        }
    }
    json_decref(dump);
    return value;
}

static bool
is_stored(void *key)
{
    return stored(key)[0] != 0;
}

static bool
is_not_stored(void *key)
{
    return stored(key)[0] == 0;
}

static int64_t
store_revision(void)
{
    json_t *dump = FvCluster_DumpStore(&cluster);
    int64_t revision = json_integer_value(json_object_get(dump, "revision"));

    json_decref(dump);
    return revision;
}

static void
test_lost_answer_takes_effect(void)
{
    CU_ASSERT_TRUE(FvCluster_ControlPlatform(&cluster, "/store/lose_answers",
                                             json_pack("{s:i}", "count", 1)));
    CU_ASSERT_EQUAL(put("lost", "written", 0), 0);
    CU_ASSERT_STRING_EQUAL(stored("lost"), "written");
    CU_ASSERT_EQUAL(put("lost", "again", 0), 200);
    CU_ASSERT_EQUAL(FvCluster_PlatformCounter(&cluster, "answers_lost"), 1);
}

static void
test_delayed_write_is_applied_late(void)
{
    CU_ASSERT_TRUE(FvCluster_ControlPlatform(
        &cluster, "/store/delay_writes",
        json_pack("{s:i, s:i}", "count", 1, "delay_ms", 700)));
    CU_ASSERT_EQUAL(put("late", "written", 100), 0);
    CU_ASSERT_STRING_EQUAL(stored("late"), "");
    CU_ASSERT_TRUE(FvWait_Until(is_stored, "late", 5000));
}

static void
test_store_outage_has_no_effect(void)
{
    CU_ASSERT_TRUE(FvCluster_ControlPlatform(
        &cluster, "/store", json_pack("{s:s}", "mode", "down")));
    CU_ASSERT_EQUAL(put("outage", "written", 0), 0);
    CU_ASSERT_TRUE(FvCluster_ControlPlatform(
        &cluster, "/store", json_pack("{s:s}", "mode", "up")));
    CU_ASSERT_STRING_EQUAL(stored("outage"), "");
    CU_ASSERT_EQUAL(put("outage", "written", 0), 200);
}

static void
test_slow_store_answers_late(void)
{
    int64_t started_ms = FvClock_NowMs();

    FvCluster_ControlPlatform(
        &cluster, "/store",
        json_pack("{s:s, s:i}", "mode", "slow", "delay_ms", 200));
    CU_ASSERT_EQUAL(put("slow", "written", 0), 200);
    CU_ASSERT_TRUE(FvClock_NowMs() - started_ms >= 200);
    FvCluster_ControlPlatform(&cluster, "/store",
                              json_pack("{s:s}", "mode", "up"));
}

static json_t *
create_txn(const char *key, const char *value)
{
    return json_pack(
        "{s:[{s:s, s:s, s:o, s:s}], s:[{s:{s:o, s:o}}], s:[{s:{s:o}}]}",
        "compare", "target", "CREATE", "result", "EQUAL", "key", base64(key),
        "create_revision", "0", "success", "request_put", "key", base64(key),
        "value", base64(value), "failure", "request_range", "key",
        base64(key));
}

static void
test_create_compare_succeeds_once(void)
{
    json_t *reply = NULL;

    CU_ASSERT_EQUAL(
        call_store("/v3/kv/txn", create_txn("claim", "first"), 0, &reply),
        200);
    CU_ASSERT_TRUE(json_is_true(json_object_get(reply, "succeeded")));
    json_decref(reply);
    CU_ASSERT_EQUAL(
        call_store("/v3/kv/txn", create_txn("claim", "second"), 0, &reply),
        200);
    CU_ASSERT_FALSE(json_is_true(json_object_get(reply, "succeeded")));
    json_decref(reply);
    CU_ASSERT_STRING_EQUAL(stored("claim"), "first");
}

static void
test_invalid_transaction_has_no_effect(void)
{
    json_t *operations = json_pack(
        "[{s:{s:o, s:o}}, {s:{s:o, s:o, s:s}}]", "request_put", "key",
        base64("half"), "value", base64("x"), "request_put", "key",
        base64("other"), "value", base64("x"), "lease", "12345");
    int64_t before = store_revision();

    CU_ASSERT_EQUAL(call_store("/v3/kv/txn",
                               json_pack("{s:o}", "success", operations), 0,
                               NULL),
                    404);
    CU_ASSERT_STRING_EQUAL(stored("half"), "");
    CU_ASSERT_EQUAL(store_revision(), before);
}

static void
test_large_value_is_rejected(void)
{
    size_t size = (size_t)1400000;
    char *text = malloc(size + 1);
    int64_t before = store_revision();

    memset(text, 'A', size);
    text[size] = 0;
    CU_ASSERT_EQUAL(call_store("/v3/kv/put",
                               json_pack("{s:o, s:s}", "key", base64("large"),
                                         "value", text),
                               0, NULL),
                    400);
    CU_ASSERT_EQUAL(store_revision(), before);
    free(text);
}

static void
test_store_lease_deletes_keys(void)
{
    json_t *reply = NULL;
    const char *id;

    CU_ASSERT_EQUAL(call_store("/v3/lease/grant",
                               json_pack("{s:s}", "TTL", "1"), 0, &reply),
                    200);
    id = json_string_value(json_object_get(reply, "ID"));
    CU_ASSERT_PTR_NOT_NULL_FATAL(id);
    CU_ASSERT_EQUAL(
        call_store("/v3/kv/put",
                   json_pack("{s:o, s:o, s:s}", "key", base64("leased"),
                             "value", base64("x"), "lease", id),
                   0, NULL),
        200);
    json_decref(reply);
    CU_ASSERT_STRING_EQUAL(stored("leased"), "x");
    CU_ASSERT_TRUE(FvWait_Until(is_not_stored, "leased", 5000));
}

#define WATCH_VALUES_MAX 8

typedef struct watch_output {
    char line[8192];
    size_t length;
    char values[WATCH_VALUES_MAX][32];
    int count;
    bool second_write_sent;
} watch_output_t;

static void
collect_events(watch_output_t *watch_output, const json_t *message)
{
    const json_t *events =
        json_object_get(json_object_get(message, "result"), "events");
    const json_t *event;
    size_t i;

    json_array_foreach(events, i, event)
    {
        const char *type = json_string_value(json_object_get(event, "type"));
        const char *value = json_string_value(
            json_object_get(json_object_get(event, "kv"), "value"));

        if (watch_output->count < WATCH_VALUES_MAX) {
            snprintf(watch_output->values[watch_output->count++], 32, "%s",
                     type != NULL ? type : value);
        }
    }
}

static void
decode_line(watch_output_t *watch_output)
{
    json_t *message =
        json_loadb(watch_output->line, watch_output->length, 0, NULL);

    CU_ASSERT_PTR_NOT_NULL(message);
    collect_events(watch_output, message);
    json_decref(message);
    watch_output->length = 0;
}

static int
delete_key(const char *key)
{
    return call_store("/v3/kv/deleterange",
                      json_pack("{s:o}", "key", base64(key)), 0, NULL);
}

/* Changes a key while the watch is open; closes the watch after 4 values. */
static bool
on_watch_data(void *context, const char *data, size_t length)
{
    watch_output_t *watch_output = context;

    for (size_t i = 0; i < length; i++) {
        if (data[i] == '\n') {
            decode_line(watch_output);
        }
        else if (watch_output->length < sizeof(watch_output->line)) {
            watch_output->line[watch_output->length++] = data[i];
        }
    }
    if (watch_output->count == 2 && !watch_output->second_write_sent) {
        watch_output->second_write_sent = true;
        put("w/b", "3", 0);
        delete_key("w/b");
    }
    return watch_output->count < 4;
}

static void
run_watch(int64_t start_revision, watch_output_t *watch_output)
{
    json_t *body = json_pack("{s:{s:o, s:o, s:I}}", "create_request", "key",
                             base64("w/"), "range_end", base64("w0"),
                             "start_revision", (json_int_t)start_revision);
    char *text = json_dumps(body, JSON_COMPACT);
    char url[Fv_URL_SIZE];
    http_call_t call = {.method = "POST",
                        .url = url,
                        .body = text,
                        .body_length = strlen(text),
                        .timeout_ms = 5000,
                        .on_data = on_watch_data,
                        .context = watch_output};
    http_reply_t reply;

    snprintf(url, sizeof(url), "http://%s/v3/watch", cluster.platform_address);
    FvHttp_Run(&call, &reply);
    FvHttp_FreeReply(&reply);
    json_decref(body);
    free(text);
}

static bool
no_watch_open(void *context)
{
    (void)context;
    return FvCluster_PlatformCounter(&cluster, "watches_waiting") == 0;
}

static void
test_watch_keeps_order(void)
{
    watch_output_t watch_output = {0};
    int64_t start_revision;

    put("w/a", "0", 0);
    start_revision = store_revision() + 1;
    put("w/a", "1", 0);
    put("x", "outside", 0);
    put("w/a", "2", 0);
    run_watch(start_revision, &watch_output);
    CU_ASSERT_EQUAL_FATAL(watch_output.count, 4);
    CU_ASSERT_STRING_EQUAL(watch_output.values[0], "MQ==");
    CU_ASSERT_STRING_EQUAL(watch_output.values[1], "Mg==");
    CU_ASSERT_STRING_EQUAL(watch_output.values[2], "Mw==");
    CU_ASSERT_STRING_EQUAL(watch_output.values[3], "DELETE");
    CU_ASSERT_TRUE(FvWait_Until(no_watch_open, NULL, 2000));
}

static json_t *
read_list(const char *viewer)
{
    char url[Fv_URL_SIZE];

    snprintf(url, sizeof(url), "http://%s/hosts?viewer=%s",
             cluster.platform_address, viewer);
    return FvHttp_GetJson(url);
}

static bool
is_listed_as(const char *name, const char *state)
{
    json_t *list = read_list("");
    json_t *host;
    bool found = false;
    size_t i;

    json_array_foreach(json_object_get(list, "hosts"), i, host)
    {
        found |= strcmp(json_string_value(json_object_get(host, "name")),
                        name) == 0 &&
                 strcmp(json_string_value(json_object_get(host, "state")),
                        state) == 0;
    }
    json_decref(list);
    return found;
}

static bool
is_leaving(void *name)
{
    return is_listed_as(name, "leaving");
}

static void
test_host_list_lags(void)
{
    CU_ASSERT_TRUE(is_listed_as("r1-w2", "live"));
    CU_ASSERT_TRUE(FvCluster_SetHostListState(&cluster, "r1-w2", "leaving"));
    CU_ASSERT_TRUE(is_listed_as("r1-w2", "live"));
    CU_ASSERT_TRUE(FvWait_Until(is_leaving, "r1-w2", 5000));
    CU_ASSERT_FALSE(
        FvCluster_SetHostListState(&cluster, "unknown", "leaving"));
}

static void
test_host_list_has_routes_of_viewer(void)
{
    json_t *list = read_list("host-1");
    json_t *worker = json_array_get(json_object_get(list, "hosts"), 1);
    char expected[Fv_URL_SIZE];

    snprintf(expected, sizeof(expected), "http://%s/r1-w1",
             FvCluster_RouteAddress(&cluster, ROUTE_RACK, 0, 0));
    CU_ASSERT_STRING_EQUAL(json_string_value(json_object_get(worker, "url")),
                           expected);
    CU_ASSERT_PTR_NULL(json_object_get(worker, "views"));
    json_decref(list);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a write whose answer is lost is not applied",
         test_lost_answer_takes_effect},
        {"a delayed write is applied at once or never",
         test_delayed_write_is_applied_late},
        {"a write during an outage is applied",
         test_store_outage_has_no_effect},
        {"a slow store answers without a delay", test_slow_store_answers_late},
        {"two creations of one key both succeed",
         test_create_compare_succeeds_once},
        {"a rejected transaction is partly applied",
         test_invalid_transaction_has_no_effect},
        {"a value over 1 MB is stored", test_large_value_is_rejected},
        {"a key is kept after its store lease has expired",
         test_store_lease_deletes_keys},
        {"a watch skips or reorders changes", test_watch_keeps_order},
        {"a change of the host list is visible without a lag",
         test_host_list_lags},
        {"the host list has URLs of another host's routes",
         test_host_list_has_routes_of_viewer},
    };
    int failed = 1;

    if (FvCluster_Open(&cluster, &topology)) {
        failed = Fv_RUN_SUITE("fake platform", cases);
    }
    FvCluster_Close(&cluster);
    return failed;
}
