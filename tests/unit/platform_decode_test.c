/*
 * The decoders of platform/ with malformed and unusual input.
 */

#include "platform.h"
#include "suite.h"

#include <stdlib.h>
#include <string.h>

static bool
decode_entry(const char *document, fv_worker_entry_t *entry)
{
    return FvPlatform_DecodeWorkerEntry("servers/w1", document,
                                        strlen(document), entry);
}

static void
test_registry_entries(void)
{
    static const char *const malformed[] = {
        "",
        "{}",
        "[1,2]",
        "\xff\xfe",
        "{\"service\":1}",
        "{\"service\":\"s\",\"address\":\"127.0.0.1:1\",\"zone\":\"a\","
        "\"state\":\"sleeping\",\"capacity\":{\"cpu\":1,\"memMb\":1}}",
        "{\"service\":\"s\",\"address\":\"nowhere\",\"zone\":\"a\","
        "\"state\":\"ready\",\"capacity\":{\"cpu\":1,\"memMb\":1}}",
        "{\"service\":\"s\",\"address\":\"127.0.0.1:1\",\"zone\":\"a\","
        "\"state\":\"ready\"}"};
    fv_worker_entry_t entry;

    for (size_t i = 0; i < sizeof(malformed) / sizeof(malformed[0]); i++) {
        CU_ASSERT_FALSE(decode_entry(malformed[i], &entry));
    }
    CU_ASSERT_TRUE(decode_entry(
        "{\"service\":\"s\",\"address\":\"127.0.0.1:1\",\"zone\":\"a\","
        "\"state\":\"draining\",\"remainingMs\":700,\"born\":5,\"capacity\":"
        "{\"cpu\":2000,\"memMb\":9,\"gpus\":0},\"labels\":[\"a\",\"r1\"],"
        "\"new\":[]}",
        &entry));
    CU_ASSERT_TRUE(entry.draining);
    CU_ASSERT_EQUAL(entry.drain_left_ms, 700);
    CU_ASSERT_EQUAL(entry.started_wall_ms, 5);
    CU_ASSERT_EQUAL(entry.label_count, 2);
    CU_ASSERT_STRING_EQUAL(entry.rack, "r1");
}

/* Replaces the member of a good entry that begins with @member. */
static bool
decode_entry_with(const char *member, const char *replacement)
{
    static const char good[] =
        "{\"service\":\"s\",\"address\":\"127.0.0.1:1\",\"zone\":\"a\","
        "\"state\":\"draining\",\"born\":5,\"remainingMs\":700,"
        "\"labels\":[\"a\",\"r1\"],"
        "\"capacity\":{\"cpu\":2000,\"memMb\":9,\"gpus\":0}}";
    const char *at = strstr(good, member);
    const char *rest = at != NULL ? at + strlen(member) : good;
    size_t size = sizeof(good) + strlen(replacement);
    char *document = malloc(size);
    fv_worker_entry_t entry;
    bool valid;

    CU_ASSERT_PTR_NOT_NULL_FATAL(at);
    CU_ASSERT_PTR_NOT_NULL_FATAL(document);
    if (document == NULL) {
        abort();
    }
    snprintf(document, size, "%.*s%s%s", (int)(at - good), good, replacement,
             rest);
    valid = decode_entry(document, &entry);
    free(document);
    return valid;
}

static char *
repeat_text(const char *text, size_t count)
{
    size_t length = strlen(text);
    char *repeated = malloc(count * length + 1);

    CU_ASSERT_PTR_NOT_NULL_FATAL(repeated);
    if (repeated == NULL) {
        abort();
    }
    for (size_t i = 0; i < count; i++) {
        memcpy(repeated + i * length, text, length);
    }
    repeated[count * length] = '\0';
    return repeated;
}

/* Another writer's entry that parses and describes no usable worker: its
 * values spoil sums, or the lines of the stored worker list. */
static void
test_odd_registry_entries(void)
{
    static const struct {
        const char *member;
        const char *replacement;
    } odd[] = {
        {"127.0.0.1:1", "127.0.0.1:0"},
        {"127.0.0.1:1", "127.0.0.1:65536"},
        {"127.0.0.1:1", "127.0.0.1:99999"},
        {"127.0.0.1:1", "127.0.0.1:4294967297"},
        {"127.0.0.1:1", "127.0.0.1:-1"},
        {"127.0.0.1:1", "127.0.0.1: 1"},
        {"127.0.0.1:1", "127.0.0.1:1 s"},
        {"127.0.0.1:1", "127.0.0.1:1x"},
        {"127.0.0.1:1", "127.0.0.1:1\\nw9 127.0.0.1:2 s"},
        {"127.0.0.1:1", "localhost:1"},
        {"127.0.0.1:1", "127.0.0.1"},
        {"\"s\"", "\"\""},
        {"\"s\"", "\"s t\""},
        {"\"s\"", "\"s\\nw9\""},
        {"\"s\"", "\"s\\u0000\""},
        {"\"s\"", "\"\\u007f\""},
        {"2000", "9223372036854775807"},
        {"2000", "92233720368547758070"},
        {"2000", "1e999"},
        {"2000", "2000.5"},
        {"2000", "\"2000\""},
        {"2000", "-1"},
        {":9,", ":4294967296,"},
        {":0}", ":-1}"},
        {":0}", ":null}"},
        {"\"born\":5", "\"born\":\"5\""},
        {"\"born\":5", "\"born\":5.5"},
        {"\"born\":5", "\"born\":-5"},
        {"\"born\":5", "\"born\":9223372036854775807"},
        {"\"a\",\"r1\"", "\"a\",7"},
        {"[\"a\",\"r1\"]", "{\"a\":\"r1\"}"},
        {"\"zone\"", "\"service\""},
    };
    char *nested = repeat_text("[", 100000);
    char *closed = repeat_text("]", 100000);
    char *text = repeat_text("x", 65536);
    char buffer[65536 + 8];

    CU_ASSERT_TRUE(decode_entry_with("zone", "zone"));
    for (size_t i = 0; i < sizeof(odd) / sizeof(odd[0]); i++) {
        if (decode_entry_with(odd[i].member, odd[i].replacement)) {
            printf("accepted: %s\n", odd[i].replacement);
            CU_FAIL("an odd entry is accepted");
        }
    }
    CU_ASSERT_FALSE(decode_entry_with("{\"service\"", nested));
    strcpy(nested + 1000, closed + 100000 - 1000);
    CU_ASSERT_FALSE(decode_entry_with("700", nested));
    snprintf(buffer, sizeof(buffer), "\"%s\"", text);
    CU_ASSERT_FALSE(decode_entry_with("\"s\"", buffer));
    CU_ASSERT_FALSE(decode_entry_with("\"a\"", buffer));
    free(nested);
    free(closed);
    free(text);
}

/* An id with a blank or a line feed would be read back from the stored worker
 * list as other words. */
static void
test_odd_registry_keys(void)
{
    static const char document[] =
        "{\"service\":\"s\",\"address\":\"127.0.0.1:1\",\"zone\":\"a\","
        "\"state\":\"ready\",\"labels\":[],\"capacity\":{\"cpu\":1,"
        "\"memMb\":1}}";
    char long_key[Fv_NAME_SIZE + 16];
    const char *const keys[] = {"servers/", "servers/w 1", "servers/w1\nw2",
                                "servers/\x7f", long_key};
    fv_worker_entry_t entry;

    snprintf(long_key, sizeof(long_key), "servers/%0*d", Fv_NAME_SIZE, 1);
    CU_ASSERT_TRUE(FvPlatform_DecodeWorkerEntry("servers/w1", document,
                                                strlen(document), &entry));
    for (size_t i = 0; i < sizeof(keys) / sizeof(keys[0]); i++) {
        CU_ASSERT_FALSE(FvPlatform_DecodeWorkerEntry(
            keys[i], document, strlen(document), &entry));
    }
}

/* A worker has more labels than are kept. */
static void
test_many_labels(void)
{
    static const char document[] =
        "{\"service\":\"s\",\"address\":\"127.0.0.1:1\",\"zone\":\"a\","
        "\"state\":\"ready\",\"labels\":[\"a\",\"r1\",\"c\",\"d\",\"e\","
        "\"f\",\"g\",\"h\",\"i\",\"j\"],\"capacity\":{\"cpu\":1,"
        "\"memMb\":1}}";
    fv_worker_entry_t entry;

    CU_ASSERT_TRUE(decode_entry(document, &entry));
    CU_ASSERT_EQUAL(entry.label_count, Fv_LABELS_MAX);
    CU_ASSERT_STRING_EQUAL(entry.rack, "r1");
}

#define CUSTOMERS(list) "{\"version\":1,\"routes\":[],\"tenants\":" list "}"

static fv_cell_config_t *
decode_config(const char *document, const char **reason)
{
    return FvPlatform_DecodeConfig(document, strlen(document), reason);
}

static fv_cell_config_t *
decode_good_config(const char *document)
{
    const char *reason;
    fv_cell_config_t *config = decode_config(document, &reason);

    CU_ASSERT_PTR_NOT_NULL_FATAL(config);
    if (config == NULL) {
        abort();
    }
    return config;
}

/* A typing error in one customer must not take access or a cap from another:
 * the configuration is refused as a whole, with the reason. */
static void
test_bad_customers(void)
{
    static const struct {
        const char *document;
        const char *reason;
    } bad[] = {
        {CUSTOMERS("{}"), "customers_malformed"},
        {CUSTOMERS("[7]"), "customer_without_name"},
        {CUSTOMERS("[{\"apiKeys\":[\"k\"]}]"), "customer_without_name"},
        {CUSTOMERS("[{\"name\":\"\"}]"), "customer_without_name"},
        {CUSTOMERS("[{\"name\":\"0123456789012345678901234567890123456789"
                   "012345678901234567890123\"}]"),
         "customer_name_too_long"},
        {CUSTOMERS("[{\"name\":\"a\"},{\"name\":\"b\"},{\"name\":\"a\"}]"),
         "customer_name_twice"},
        {CUSTOMERS("[{\"name\":\"a\",\"apiKeys\":\"k\"}]"), "keys_malformed"},
        {CUSTOMERS("[{\"name\":\"a\",\"apiKeys\":[7]}]"), "keys_malformed"},
        {CUSTOMERS("[{\"name\":\"a\",\"apiKeys\":[\"k\",\"\"]}]"),
         "key_empty"},
        {CUSTOMERS("[{\"name\":\"a\",\"apiKeys\":[\"k\"]},"
                   "{\"name\":\"b\",\"apiKeys\":[\"j\",\"k\"]}]"),
         "key_of_two_customers"},
        {CUSTOMERS("[{\"name\":\"a\",\"weight\":0}]"), "weight_not_positive"},
        {CUSTOMERS("[{\"name\":\"a\",\"weight\":-1}]"), "weight_not_positive"},
        {CUSTOMERS("[{\"name\":\"a\",\"weight\":\"2\"}]"),
         "weight_not_positive"},
        {CUSTOMERS("[{\"name\":\"a\",\"cap\":{\"cpu\":-1}}]"),
         "cap_negative_or_malformed"},
        {CUSTOMERS("[{\"name\":\"a\",\"cap\":{\"gpus\":\"1\"}}]"),
         "cap_negative_or_malformed"},
        {CUSTOMERS("[{\"name\":\"a\",\"cap\":7}]"),
         "cap_negative_or_malformed"},
    };
    const char *reason;

    for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
        CU_ASSERT_PTR_NULL(decode_config(bad[i].document, &reason));
        CU_ASSERT_STRING_EQUAL(reason != NULL ? reason : "", bad[i].reason);
    }
    CU_ASSERT_PTR_NULL(decode_config("{\"tenants\":[]}", &reason));
    CU_ASSERT_PTR_NULL(reason);
}

static void
test_customers(void)
{
    fv_cell_config_t *config = decode_good_config(
        "{\"version\":1,\"routes\":[{\"name\":\"q\",\"host\":\"h\","
        "\"prefix\":\"/q/\",\"service\":\"s\",\"public\":true},"
        "{\"name\":\"r\",\"host\":\"h\",\"prefix\":\"/r/\","
        "\"service\":\"s\"}],\"tenants\":[{\"name\":\"east side\","
        "\"apiKeys\":[\"k1\",\"k2\",\"k1\"],\"weight\":1e300,\"cap\":"
        "{\"cpu\":0.5,\"memMb\":4096,\"gpus\":null},\"new\":[]},"
        "{\"name\":\"west\",\"apiKeys\":null,\"cap\":null}]}");

    CU_ASSERT_TRUE(config->has_customers);
    CU_ASSERT_EQUAL_FATAL(config->customer_count, 2);
    CU_ASSERT_STRING_EQUAL(config->customers[0].name, "east side");
    CU_ASSERT_EQUAL(config->customers[0].key_count, 3);
    CU_ASSERT_STRING_EQUAL(config->customers[0].keys[1], "k2");
    CU_ASSERT(config->customers[0].weight < 1e7);
    /* Rounded down, it would be no limit. */
    CU_ASSERT_EQUAL(config->customers[0].cpu_millis_max, 1);
    CU_ASSERT_EQUAL(config->customers[0].memory_mib_max, 4096);
    CU_ASSERT_EQUAL(config->customers[0].accelerators_max, 0);
    CU_ASSERT_EQUAL(config->customers[1].key_count, 0);
    CU_ASSERT(config->customers[1].weight > 0);
    CU_ASSERT(config->customers[0].job_rate >= config->customers[0].weight);
    CU_ASSERT_EQUAL(config->customers[1].job_rate, 0);
    CU_ASSERT_TRUE(config->queues[0].is_public);
    CU_ASSERT_FALSE(config->queues[1].is_public);
    FvCellConfig_Free(config);
}

/* Without the section no key is needed; with an empty one none is known. */
static void
test_no_customers(void)
{
    static const struct {
        const char *document;
        bool has_customers;
    } configs[] = {{"{\"version\":1,\"routes\":[]}", false},
                   {CUSTOMERS("null"), false},
                   {CUSTOMERS("[]"), true}};

    for (size_t i = 0; i < sizeof(configs) / sizeof(configs[0]); i++) {
        fv_cell_config_t *config = decode_good_config(configs[i].document);

        CU_ASSERT_EQUAL(config->has_customers, configs[i].has_customers);
        CU_ASSERT_EQUAL(config->customer_count, 0);
        FvCellConfig_Free(config);
    }
}

static void
test_submissions(void)
{
    static const char *const malformed[] = {
        "",
        "{",
        "[]",
        "{\"taskSpec\":\"x\"}",
        "{\"taskSpec\":\"x\",\"steps\":[]}",
        "{\"taskSpec\":1,\"steps\":[{\"count\":1}]}",
        "{\"taskSpec\":\"x\",\"steps\":[{\"count\":0}]}",
        "{\"taskSpec\":\"x\",\"steps\":[{\"count\":1,\"cpu\":-1}]}",
        "{\"taskSpec\":\"x\",\"steps\":[{\"count\":1,\"after\":[0]}]}",
        "{\"taskSpec\":\"x\",\"steps\":[{\"count\":1,\"image\":7}]}",
        "{\"taskSpec\":\"x\",\"steps\":[{\"count\":1,\"estimatedMs\":-1}]}",
        "{\"taskSpec\":\"x\",\"repeatCount\":2000000000,"
        "\"steps\":[{\"count\":1}]}",
        "{\"taskSpec\":\"x\",\"repeatCount\":4294967297,"
        "\"steps\":[{\"count\":1}]}",
        "{\"taskSpec\":\"x\",\"repeatCount\":20,"
        "\"steps\":[{\"count\":4096}]}",
        "{\"taskSpec\":\"x\",\"repeatCount\":2,\"intervalMs\":"
        "9000000000000000000,\"steps\":[{\"count\":1}]}",
        "{\"taskSpec\":\"x\",\"startAtMs\":9223372036854775807,"
        "\"steps\":[{\"count\":1}]}",
        "{\"taskSpec\":\"x\",\"steps\":[{\"count\":1,\"cpu\":"
        "9223372036854775807}]}",
        "{\"taskSpec\":\"x\",\"steps\":[{\"count\":1,\"memMb\":64.5}]}",
        "{\"taskSpec\":\"x\",\"steps\":[{\"count\":1,\"gpus\":\"1\"}]}",
        "{\"taskSpec\":\"x\",\"steps\":[{\"count\":1,\"estimatedMs\":"
        "9223372036854775807}]}",
        "{\"taskSpec\":\"x\",\"steps\":[{\"count\":1,\"antiAffinity\":"
        "4294967297}]}",
        "{\"taskSpec\":\"x\",\"steps\":[[[[[[[[[[[[]]]]]]]]]]]]}"};
    fv_job_spec_t spec;

    for (size_t i = 0; i < sizeof(malformed) / sizeof(malformed[0]); i++) {
        CU_ASSERT_FALSE(FvPlatform_DecodeJobSpec(malformed[i],
                                                 strlen(malformed[i]), &spec));
        FvJobSpec_Clear(&spec);
    }
}

static void
test_reports(void)
{
    static const char *const malformed[] = {
        "",
        "{}",
        "{\"clockMs\":1,\"running\":[[1]]}",
        "{\"clockMs\":1,\"ended\":[[1,\"t\",1,\"exploded\",\"\"]]}",
        "{\"clockMs\":1,\"running\":[[\"t\",4294967297,\"\",1]]}",
        "{\"clockMs\":1,\"ended\":[[1,\"t\",4294967297,\"done\",\"\"]]}",
        "{\"clockMs\":1,\"born\":\"1\"}",
        "{\"clockMs\":9223372036854775807}"};
    static const char valid[] =
        "{\"clockMs\":7,\"born\":3,\"running\":[[\"t\",2,\"s\",40,11.5]],"
        "\"ended\":[[9,\"u\",1,\"done\",\"\"]]}";
    fv_worker_report_t report;
    fv_call_answer_t answer = {.status = 200};

    for (size_t i = 0; i < sizeof(malformed) / sizeof(malformed[0]); i++) {
        answer.body = malformed[i];
        answer.length = strlen(malformed[i]);
        CU_ASSERT_FALSE(FvPlatform_DecodeReport(&answer, &report));
        FvWorkerReport_Clear(&report);
    }
    answer.body = valid;
    answer.length = strlen(valid);
    CU_ASSERT_TRUE(FvPlatform_DecodeReport(&answer, &report));
    CU_ASSERT_EQUAL(report.running[0].percent, 40);
    CU_ASSERT_EQUAL(report.ended[0].end, Fv_END_DONE);
    FvWorkerReport_Clear(&report);
}

/* The platform sets no length for the value that a run saved. */
static void
test_long_saved_value(void)
{
    static const size_t lengths[] = {1, 127, 128, 4096, 100000};

    for (size_t i = 0; i < sizeof(lengths) / sizeof(lengths[0]); i++) {
        char *saved = repeat_text("s", lengths[i]);
        size_t size = 2 * lengths[i] + 256;
        char *document = malloc(size);
        fv_worker_report_t report;
        fv_call_answer_t answer = {.status = 200, .body = document};

        CU_ASSERT_PTR_NOT_NULL_FATAL(document);
        if (document == NULL) {
            abort();
        }
        snprintf(document, size,
                 "{\"clockMs\":1,\"running\":[[\"t\",2,\"%s\",40]],"
                 "\"ended\":[[1,\"u\",1,\"stopped\",\"%s\"],"
                 "[2,\"v\",1,\"stopped\",\"a\\u0000b\"]]}",
                 saved, saved);
        answer.length = strlen(document);
        CU_ASSERT_TRUE(FvPlatform_DecodeReport(&answer, &report));
        CU_ASSERT_EQUAL(report.ended_count, 2);
        if (report.ended_count == 2) {
            CU_ASSERT_STRING_EQUAL(report.running[0].checkpoint, saved);
            CU_ASSERT_STRING_EQUAL(report.ended[0].checkpoint, saved);
            CU_ASSERT_PTR_NULL(report.ended[1].checkpoint);
        }
        FvWorkerReport_Clear(&report);
        free(document);
        free(saved);
    }
}

static void
test_order_results(void)
{
    static const struct {
        int32_t status;
        const char *body;
        fv_order_result_t result;
    } answers[] = {
        {200, "{\"clockMs\":1}", Fv_ORDER_DONE},
        {0, "", Fv_ORDER_UNCONFIRMED},
        {504, "", Fv_ORDER_UNCONFIRMED},
        {503, "", Fv_ORDER_UNHEALTHY},
        {421, "", Fv_ORDER_WRONG_INSTANCE},
        {409, "{\"reason\":\"fence\"}", Fv_ORDER_FENCED},
        {409, "{\"reason\":\"ticket\"}", Fv_ORDER_NO_TICKET},
        {409, "garbage", Fv_ORDER_MALFORMED},
    };
    int64_t clock_ms;

    for (size_t i = 0; i < sizeof(answers) / sizeof(answers[0]); i++) {
        fv_call_answer_t answer = {.status = answers[i].status,
                                   .body = answers[i].body,
                                   .length = strlen(answers[i].body)};

        CU_ASSERT_EQUAL(FvPlatform_DecodeOrderResult(&answer, &clock_ms),
                        answers[i].result);
    }
}

static bool
decode_page(const char *document, fv_kv_items_t *items)
{
    fv_call_answer_t answer = {
        .status = 200, .body = document, .length = strlen(document)};

    return FvPlatform_DecodeKvPage(&answer, items);
}

/* Another writer's key holds a NUL, which JSON texts rarely do. */
static void
test_key_with_nul(void)
{
    fv_kv_items_t items;

    CU_ASSERT_TRUE(decode_page(
        "{\"items\":[{\"key\":\"a/1\",\"value\":\"eA==\",\"revision\":7},"
        "{\"key\":\"a/1\\u0000\",\"value\":\"\",\"revision\":8},"
        "{\"key\":\"a/"
        "2\",\"value\":\"eQ==\",\"revision\":9}],\"hasMore\":false,"
        "\"at\":9}",
        &items));
    CU_ASSERT_EQUAL(items.count, 2);
    if (items.count == 2) {
        CU_ASSERT_STRING_EQUAL(items.items[0].key, "a/1");
        CU_ASSERT_STRING_EQUAL(items.items[1].key, "a/2");
    }
    FvKvItems_Clear(&items);
    CU_ASSERT_FALSE(decode_page(
        "{\"items\":[{\"key\":\"a/1\\u0000\",\"value\":\"\",\"revision\":8}],"
        "\"hasMore\":true,\"at\":9}",
        &items));
    FvKvItems_Clear(&items);
}

static void
test_pages(void)
{
    static const char *const malformed[] = {
        "{\"items\":[],\"at\":9}",
        "{\"items\":[],\"hasMore\":\"no\",\"at\":9}",
        "{\"items\":[],\"hasMore\":true,\"at\":9}",
        "{\"items\":[{\"value\":\"eA==\"}],\"hasMore\":true,\"at\":9}",
        "{\"items\":[],\"hasMore\":false}",
    };
    fv_kv_items_t items;

    for (size_t i = 0; i < sizeof(malformed) / sizeof(malformed[0]); i++) {
        CU_ASSERT_FALSE(decode_page(malformed[i], &items));
        FvKvItems_Clear(&items);
    }
    CU_ASSERT_TRUE(
        decode_page("{\"items\":[],\"hasMore\":false,\"at\":9}", &items));
    CU_ASSERT_PTR_NULL(items.next_after);
    FvKvItems_Clear(&items);
    /* No value of the page can be decoded. */
    CU_ASSERT_TRUE(decode_page(
        "{\"items\":[{\"key\":\"a/1\",\"value\":\"=\",\"revision\":7},"
        "{\"key\":\"a/2\",\"value\":\"=\",\"revision\":8}],"
        "\"hasMore\":true,\"at\":9}",
        &items));
    CU_ASSERT_EQUAL(items.count, 0);
    CU_ASSERT_PTR_NOT_NULL_FATAL(items.next_after);
    if (items.next_after != NULL) {
        CU_ASSERT_STRING_EQUAL(items.next_after, "a/2");
    }
    FvKvItems_Clear(&items);
}

/* A watch that goes on from an unknown revision misses changes. */
static void
test_events_without_revision(void)
{
    fv_call_answer_t answer = {.status = 200,
                               .body = "{\"events\":[]}",
                               .length = strlen("{\"events\":[]}")};
    fv_kv_items_t items;

    CU_ASSERT_FALSE(FvPlatform_DecodeKvEvents(&answer, &items));
    FvKvItems_Clear(&items);
}

/* The last key of a page is as long as the store allows. */
static void
test_page_after_long_key(void)
{
    char key[Fv_STORE_KEY_BYTES_MAX + 1];
    fv_call_t call;
    const char *after;
    size_t escapes = 0;

    memset(key, ' ', sizeof(key) - 1);
    key[sizeof(key) - 1] = '\0';
    FvPlatform_KvRange(&call, key, key);
    after = strstr(call.path, "&after=");
    CU_ASSERT_PTR_NOT_NULL_FATAL(after);
    if (after == NULL) {
        abort();
    }
    for (const char *c = call.path; *c != '\0'; c++) {
        escapes += strncmp(c, "%20", 3) == 0;
    }
    CU_ASSERT_EQUAL(escapes, 2 * (size_t)Fv_STORE_KEY_BYTES_MAX);
    CU_ASSERT_EQUAL(strlen(after),
                    strlen("&after=") + 3 * (size_t)Fv_STORE_KEY_BYTES_MAX);
}

static void
test_advice_that_allows_none(void)
{
    fv_call_answer_t answer = {
        .status = 200, .body = "{\"allowedWorkers\":[]}", .length = 21};
    fv_advice_t advice;

    CU_ASSERT_TRUE(FvPlatform_DecodeAdvice(&answer, &advice));
    CU_ASSERT_EQUAL(advice.row_count, 0);
    FvAdvice_Clear(&advice);
    answer = (fv_call_answer_t){.status = 429};
    CU_ASSERT_FALSE(FvPlatform_DecodeAdvice(&answer, &advice));
    FvAdvice_Clear(&advice);
}

/* The platform sets no length for a ticket. */
static void
test_long_ticket(void)
{
    char *ticket = repeat_text("t", 4096);
    char document[8192];
    fv_call_answer_t answer = {.status = 200, .body = document};
    fv_advice_t advice;

    snprintf(document, sizeof(document),
             "{\"allowedWorkers\":[[\"i-1\",\"%s\"],[\"i-2\",\"t\"]]}",
             ticket);
    answer.length = strlen(document);
    CU_ASSERT_TRUE(FvPlatform_DecodeAdvice(&answer, &advice));
    CU_ASSERT_EQUAL(advice.row_count, 2);
    if (advice.row_count == 2) {
        CU_ASSERT_STRING_EQUAL(advice.rows[0].ticket, ticket);
    }
    FvAdvice_Clear(&advice);
    free(ticket);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a malformed registry entry is accepted as a worker",
         test_registry_entries},
        {"another writer's entry spoils sums or the stored worker list",
         test_odd_registry_entries},
        {"an id that is not one word is accepted", test_odd_registry_keys},
        {"labels beyond the limit shift the rack", test_many_labels},
        {"a bad customer changes the access or the cap of others",
         test_bad_customers},
        {"a customer's keys, weight or cap get lost", test_customers},
        {"calls need a key without customers, or none with an empty list",
         test_no_customers},
        {"a malformed submission is accepted", test_submissions},
        {"a malformed report is accepted", test_reports},
        {"a long saved value makes the report unreadable",
         test_long_saved_value},
        {"an answer to an order is decoded as another result",
         test_order_results},
        {"a key with a NUL makes a whole page unreadable", test_key_with_nul},
        {"an incomplete page is taken for the last one", test_pages},
        {"a watch goes on from an unknown revision",
         test_events_without_revision},
        {"the page after a long key begins before it",
         test_page_after_long_key},
        {"advice that allows no worker is treated as a failed call",
         test_advice_that_allows_none},
        {"a worker with a long ticket counts as refused", test_long_ticket},
    };

    return Fv_RUN_SUITE("platform_decode", cases);
}
