/*
 * The same answers give the same configuration, by rules that keep work that
 * must not run twice from being retried or overlapped.
 */

#include "fireflyvalve.h"
#include "sample_answers.h"
#include "suite.h"

#include <string.h>

static const char *const members[] = {"auckland", "otago", "waikato"};

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
test_rules(void)
{
    fv_contract_t contract = sample_contract();
    const fv_workload_t *lookup = FvContract_FindWorkload(&contract, "lookup");
    const fv_workload_t *rebuild =
        FvContract_FindWorkload(&contract, "rebuild");
    const fv_workload_t *check =
        FvContract_FindWorkload(&contract, "fit-check");

    CU_ASSERT_EQUAL(lookup->class_id, Fv_CLASS_INTERACTIVE);
    CU_ASSERT_FALSE(FvWorkload_NeedsClaim(lookup));
    CU_ASSERT_EQUAL(rebuild->class_id, Fv_CLASS_DEADLINE);
    CU_ASSERT_TRUE(rebuild->exclusive);
    CU_ASSERT_TRUE(FvWorkload_NeedsClaim(rebuild));
    CU_ASSERT_EQUAL(rebuild->queue_limit, 20);
    CU_ASSERT_EQUAL(check->class_id, Fv_CLASS_INTERACTIVE);
    CU_ASSERT_FALSE(check->idempotent);
    CU_ASSERT_EQUAL(check->retry_limit, 0);
    CU_ASSERT_TRUE(FvWorkload_NeedsClaim(check));
    CU_ASSERT_EQUAL(check->size.slots, 1);
}

static void
test_gang_and_service(void)
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

/* The sample with its workloads in reverse order. */
static json_t *
reversed_sample(int weight)
{
    json_t *answers = sample_with_weight(weight);
    json_t *list = json_object_get(answers, "workloads");
    json_t *reversed = json_array();

    for (size_t i = json_array_size(list); i-- > 0;) {
        json_array_append(reversed, json_array_get(list, i));
    }
    json_object_set_new(answers, "workloads", reversed);
    return answers;
}

static void
test_order_does_not_matter(void)
{
    char reason[Fv_REASON_SIZE];
    fv_config_t *first = sample_config(members, 3);
    json_t *answers = json_object();
    fv_config_t *second;

    for (int i = 2; i >= 0; i--) {
        json_object_set_new(answers, members[i], reversed_sample(i + 1));
    }
    second = FvGenerate_InitialConfig(answers, reason);
    CU_ASSERT_PTR_NOT_NULL(second);
    if (second != NULL) {
        CU_ASSERT_STRING_EQUAL(first->digest, second->digest);
    }
    json_decref(answers);
    FvConfig_Free(first);
    FvConfig_Free(second);
}

static void
test_change_keeps_the_others(void)
{
    char reason[Fv_REASON_SIZE];
    char before[Fv_DIGEST_SIZE];
    char after[Fv_DIGEST_SIZE];
    fv_config_t *base = sample_config(members, 3);
    json_t *answers = sample_with_weight(9);
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
test_members_leave_but_the_last(void)
{
    char reason[Fv_REASON_SIZE];
    fv_config_t *base = sample_config(members, 2);
    json_t *leaves = json_pack("{s:b}", "leaves", 1);
    fv_config_t *next =
        FvGenerate_NextConfig(base, "auckland", leaves, reason);

    CU_ASSERT_PTR_NOT_NULL_FATAL(next);
    CU_ASSERT_EQUAL(next->contract_count, 1);
    CU_ASSERT_PTR_NULL(FvConfig_FindContract(next, "auckland"));
    CU_ASSERT_PTR_NULL(FvGenerate_NextConfig(next, "otago", leaves, reason));
    json_decref(leaves);
    FvConfig_Free(base);
    FvConfig_Free(next);
}

static void
test_contract_survives_json(void)
{
    char reason[Fv_REASON_SIZE];
    char before[Fv_DIGEST_SIZE];
    char after[Fv_DIGEST_SIZE];
    fv_contract_t contract = sample_contract();
    fv_contract_t read;
    json_t *object = FvContract_ToJson(&contract);

    CU_ASSERT_TRUE(FvContract_FromJson(object, &read, reason));
    FvContract_Digest(&contract, before);
    FvContract_Digest(&read, after);
    CU_ASSERT_STRING_EQUAL(before, after);
    CU_ASSERT_TRUE(FvContract_Equals(&contract, &read));
    read.workloads[2].retry_limit++;
    CU_ASSERT_FALSE(FvContract_Equals(&contract, &read));
    json_object_set_new(object, "weight", json_integer(0));
    CU_ASSERT_FALSE(FvContract_FromJson(object, &read, reason));
    json_decref(object);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"billed or exclusive work is retried or left unclaimed", test_rules},
        {"gangs and services get another class", test_gang_and_service},
        {"the order of answers changes the digest",
         test_order_does_not_matter},
        {"a change of one member changes another's contract",
         test_change_keeps_the_others},
        {"a leaving member stays, or the last one leaves",
         test_members_leave_but_the_last},
        {"a contract changes on its way through JSON",
         test_contract_survives_json},
    };

    return Fv_RUN_SUITE("generate", cases);
}
