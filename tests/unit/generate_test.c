/*
 * Generation of contracts from questionnaire answers: the same answers give
 * the same configuration, and work that must not run twice is neither retried
 * nor run concurrently.
 */

#include "fireflyvalve.h"
#include "sample_answers.h"
#include "suite.h"

#include <string.h>

static const char *const member_names[] = {"auckland", "otago", "waikato"};

static fv_contract_t
sample_contract(void)
{
    fv_contract_t contract;
    fv_answers_t answers;
    json_t *document = json_loads(sample_answers, 0, NULL);
    json_t *faults = json_array();

    CU_ASSERT_TRUE_FATAL(FvQuestionnaire_Read(document, &answers, faults));
    FvGenerate_Contract("otago", &answers, &contract);
    json_decref(document);
    json_decref(faults);
    return contract;
}

static void
test_workload_rules(void)
{
    fv_contract_t contract = sample_contract();
    const fv_workload_t *lookup = FvContract_FindWorkload(&contract, "lookup");
    const fv_workload_t *rebuild =
        FvContract_FindWorkload(&contract, "rebuild");
    const fv_workload_t *fit_check =
        FvContract_FindWorkload(&contract, "fit-check");

    CU_ASSERT_EQUAL(lookup->class_id, Fv_CLASS_INTERACTIVE);
    CU_ASSERT_FALSE(FvWorkload_NeedsClaim(lookup));
    CU_ASSERT_EQUAL(rebuild->class_id, Fv_CLASS_DEADLINE);
    CU_ASSERT_TRUE(rebuild->exclusive);
    CU_ASSERT_TRUE(FvWorkload_NeedsClaim(rebuild));
    CU_ASSERT_EQUAL(rebuild->queue_limit, 20);
    CU_ASSERT_EQUAL(fit_check->class_id, Fv_CLASS_INTERACTIVE);
    CU_ASSERT_FALSE(fit_check->idempotent);
    CU_ASSERT_EQUAL(fit_check->retry_limit, 0);
    CU_ASSERT_TRUE(FvWorkload_NeedsClaim(fit_check));
    CU_ASSERT_EQUAL(fit_check->size.slots, 1);
}

static void
test_gang_and_service_classes(void)
{
    fv_contract_t contract;
    fv_answers_t answers = {.weight = 1, .workload_count = 2};

    answers.workloads[0] = (fv_workload_answers_t){
        .name = "scale", .tasks_together = 4, .run_time_ms = 1};
    answers.workloads[1] = (fv_workload_answers_t){
        .name = "board", .tasks_together = 1, .until_stopped = true};
    FvGenerate_Contract("m", &answers, &contract);
    CU_ASSERT_EQUAL(FvContract_FindWorkload(&contract, "scale")->class_id,
                    Fv_CLASS_GANG);
    CU_ASSERT_EQUAL(FvContract_FindWorkload(&contract, "board")->class_id,
                    Fv_CLASS_SERVICE);
}

/* The sample answers with their workloads in reverse order. */
static json_t *
reversed_sample(int weight)
{
    json_t *answers = sample_answers_with_weight(weight);
    json_t *list = json_object_get(answers, "workloads");
    json_t *reversed = json_array();

    for (size_t i = json_array_size(list); i-- > 0;) {
        json_array_append(reversed, json_array_get(list, i));
    }
    json_object_set_new(answers, "workloads", reversed);
    return answers;
}

static void
test_workload_order_keeps_digest(void)
{
    char reason[Fv_REASON_SIZE];
    fv_config_t *config = sample_config(member_names, 3);
    json_t *answers = json_object();
    fv_config_t *reordered;

    for (int i = 2; i >= 0; i--) {
        json_object_set_new(answers, member_names[i], reversed_sample(i + 1));
    }
    reordered = FvGenerate_InitialConfig(answers, reason);
    CU_ASSERT_PTR_NOT_NULL(reordered);
    if (reordered != NULL) {
        CU_ASSERT_STRING_EQUAL(config->digest, reordered->digest);
    }
    json_decref(answers);
    FvConfig_Free(config);
    FvConfig_Free(reordered);
}

static void
test_change_keeps_other_contracts(void)
{
    char reason[Fv_REASON_SIZE];
    char before[Fv_HASH256_HEX_SIZE];
    char after[Fv_HASH256_HEX_SIZE];
    fv_config_t *base = sample_config(member_names, 3);
    json_t *answers = sample_answers_with_weight(9);
    fv_config_t *next = FvGenerate_NextConfig(base, "otago", answers, reason);

    CU_ASSERT_PTR_NOT_NULL_FATAL(next);
    CU_ASSERT_EQUAL(next->version, base->version + 1);
    CU_ASSERT_EQUAL(next->contract_count, 3);
    CU_ASSERT_EQUAL(FvConfig_FindContract(next, "otago")->weight, 9);
    FvContract_Digest(FvConfig_FindContract(base, "waikato"), before);
    FvContract_Digest(FvConfig_FindContract(next, "waikato"), after);
    CU_ASSERT_STRING_EQUAL(before, after);
    json_decref(answers);
    FvConfig_Free(base);
    FvConfig_Free(next);
}

static void
test_last_member_cannot_leave(void)
{
    char reason[Fv_REASON_SIZE];
    fv_config_t *base = sample_config(member_names, 2);
    json_t *leave_answers = json_pack("{s:b}", "leaves", 1);
    fv_config_t *next =
        FvGenerate_NextConfig(base, "auckland", leave_answers, reason);

    CU_ASSERT_PTR_NOT_NULL_FATAL(next);
    CU_ASSERT_EQUAL(next->contract_count, 1);
    CU_ASSERT_PTR_NULL(FvConfig_FindContract(next, "auckland"));
    CU_ASSERT_PTR_NULL(
        FvGenerate_NextConfig(next, "otago", leave_answers, reason));
    json_decref(leave_answers);
    FvConfig_Free(base);
    FvConfig_Free(next);
}

static void
test_contract_json_round_trip(void)
{
    char reason[Fv_REASON_SIZE];
    char before[Fv_HASH256_HEX_SIZE];
    char after[Fv_HASH256_HEX_SIZE];
    fv_contract_t contract = sample_contract();
    fv_contract_t parsed;
    json_t *object = FvContract_ToJson(&contract);

    CU_ASSERT_TRUE(FvContract_FromJson(object, &parsed, reason));
    FvContract_Digest(&contract, before);
    FvContract_Digest(&parsed, after);
    CU_ASSERT_STRING_EQUAL(before, after);
    CU_ASSERT_TRUE(FvContract_Equals(&contract, &parsed));
    parsed.workloads[2].retry_limit++;
    CU_ASSERT_FALSE(FvContract_Equals(&contract, &parsed));
    json_object_set_new(object, "weight", json_integer(0));
    CU_ASSERT_FALSE(FvContract_FromJson(object, &parsed, reason));
    json_decref(object);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"billed or exclusive work is retried or needs no claim",
         test_workload_rules},
        {"a gang or a service gets a wrong class",
         test_gang_and_service_classes},
        {"the order of members or workloads changes the digest",
         test_workload_order_keeps_digest},
        {"a change by one member changes another's contract",
         test_change_keeps_other_contracts},
        {"a member cannot leave, or the last one can",
         test_last_member_cannot_leave},
        {"a contract changes when written to JSON and read back",
         test_contract_json_round_trip},
    };

    return Fv_RUN_SUITE("generate", cases);
}
