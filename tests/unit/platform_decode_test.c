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
        "", "{}", "{\"clockMs\":1,\"running\":[[1]]}",
        "{\"clockMs\":1,\"ended\":[[1,\"t\",1,\"exploded\",\"\"]]}"};
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

static void
test_advice_that_allows_none(void)
{
    fv_call_answer_t answer = {
        .status = 200, .body = "{\"allowedWorkers\":[]}", .length = 21};
    fv_advice_t advice;

    CU_ASSERT_TRUE(FvPlatform_DecodeAdvice(&answer, &advice));
    CU_ASSERT_EQUAL(advice.row_count, 0);
    free(advice.rows);
    answer = (fv_call_answer_t){.status = 429};
    CU_ASSERT_FALSE(FvPlatform_DecodeAdvice(&answer, &advice));
    free(advice.rows);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a malformed registry entry is accepted as a worker",
         test_registry_entries},
        {"a malformed submission is accepted", test_submissions},
        {"a malformed report is accepted", test_reports},
        {"an answer to an order is decoded as another result",
         test_order_results},
        {"advice that allows no worker is treated as a failed call",
         test_advice_that_allows_none},
    };

    return Fv_RUN_SUITE("platform_decode", cases);
}
