/*
 * The questionnaire: invalid answers are rejected with all faults and readable
 * messages, before they become a contract that cannot be met.
 */

#include "fireflyvalve.h"
#include "sample_answers.h"
#include "suite.h"

#include <string.h>

/* Returns the faults of answers given as JSON text. */
static json_t *
read_faults(const char *text)
{
    fv_answers_t answers;
    json_t *faults = json_array();
    json_t *document = json_loads(text, JSON_DECODE_ANY, NULL);
    bool accepted = FvQuestionnaire_Read(document, &answers, faults);

    CU_ASSERT_EQUAL(accepted, json_array_size(faults) == 0);
    json_decref(document);
    return faults;
}

static const json_t *
find_fault(const json_t *faults, const char *path)
{
    size_t index;
    const json_t *fault;

    json_array_foreach(faults, index, fault)
    {
        if (strcmp(FvJson_String(fault, "path"), path) == 0) {
            return fault;
        }
    }
    return NULL;
}

static bool
has_fault(const json_t *faults, const char *path)
{
    return find_fault(faults, path) != NULL;
}

static void
test_valid_answers_are_read(void)
{
    fv_answers_t answers;
    json_t *document = json_loads(sample_answers, 0, NULL);
    json_t *faults = json_array();

    CU_ASSERT_TRUE(FvQuestionnaire_Read(document, &answers, faults));
    CU_ASSERT_EQUAL(answers.workload_count, 3);
    CU_ASSERT_EQUAL(answers.workloads[0].size.cpu_millis, 250);
    CU_ASSERT_EQUAL(answers.workloads[0].start_within_ms, 200);
    CU_ASSERT_EQUAL(answers.workloads[1].finish_within_ms, 28800000);
    CU_ASSERT_EQUAL(answers.quota.memory_bytes, INT64_C(256) << 30);
    json_decref(document);
    json_decref(faults);
}

static void
test_all_faults_are_reported(void)
{
    json_t *faults = read_faults(
        "{\"weight\": 0, \"quota\": {\"processors\": \"many\", \"memory\":"
        " \"1 GiB\"}, \"workloads\": [{\"name\": \"a b\", \"may_repeat\": 1,"
        " \"someone_waits\": true, \"size\": {\"memory\": \"1 potato\"},"
        " \"run_time\": \"90\", \"may_queu\": 5}]}");

    CU_ASSERT_TRUE(has_fault(faults, "weight"));
    CU_ASSERT_TRUE(has_fault(faults, "quota.processors"));
    CU_ASSERT_TRUE(has_fault(faults, "quota.tasks"));
    CU_ASSERT_TRUE(has_fault(faults, "workloads[0].name"));
    CU_ASSERT_TRUE(has_fault(faults, "workloads[0].may_repeat"));
    CU_ASSERT_TRUE(has_fault(faults, "workloads[0].may_overlap"));
    CU_ASSERT_TRUE(has_fault(faults, "workloads[0].size.processors"));
    CU_ASSERT_TRUE(has_fault(faults, "workloads[0].size.memory"));
    CU_ASSERT_TRUE(has_fault(faults, "workloads[0].run_time"));
    CU_ASSERT_TRUE(has_fault(faults, "workloads[0].may_queu"));
    CU_ASSERT_EQUAL(json_array_size(faults), 10);
    json_decref(faults);
}

static void
test_fault_names_allowed_values(void)
{
    json_t *faults = read_faults("{\"weight\": 2000}");
    const json_t *fault = find_fault(faults, "weight");

    CU_ASSERT_PTR_NOT_NULL_FATAL(fault);
    CU_ASSERT_STRING_EQUAL(FvJson_String(fault, "allowed"), "1 to 1000");
    CU_ASSERT_TRUE(has_fault(faults, "quota"));
    CU_ASSERT_TRUE(has_fault(faults, "workloads"));
    json_decref(faults);
}

/* Changes fields of the second workload of the sample answers, the rebuild. */
static json_t *
read_faults_with_changes(const char *changes)
{
    json_t *document = json_loads(sample_answers, 0, NULL);
    json_t *patch = json_loads(changes, 0, NULL);
    json_t *list = json_object_get(document, "workloads");
    json_t *faults;
    char *text;

    json_object_update(json_array_get(list, 1), patch);
    text = json_dumps(document, 0);
    faults = read_faults(text);
    free(text);
    json_decref(patch);
    json_decref(document);
    return faults;
}

static void
test_contradictions_are_rejected(void)
{
    static const struct {
        const char *changes;
        const char *path;
    } cases[] = {
        {"{\"someone_waits\": true, \"tasks_together\": 4}",
         "workloads[1].tasks_together"},
        {"{\"run_time\": \"9 h\"}", "workloads[1].finish_within"},
        {"{\"start_within\": \"9 h\"}", "workloads[1].start_within"},
        {"{\"until_stopped\": true}", "workloads[1].finish_within"},
        {"{\"tasks_together\": 17}", "workloads[1].size"},
        {"{\"name\": \"lookup\"}", "workloads[1].name"},
        {"{\"size\": {\"processors\": 65, \"memory\": \"1 GiB\"}}",
         "workloads[1].size"},
        {"{\"size\": {\"processors\": 1, \"memory\": \"1 GiB\","
         " \"accelerators\": 1}}",
         "workloads[1].size"},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        json_t *faults = read_faults_with_changes(cases[i].changes);

        CU_ASSERT_TRUE(has_fault(faults, cases[i].path));
        json_decref(faults);
    }
}

static void
test_malformed_documents_are_rejected(void)
{
    static const char *const documents[] = {
        "[]",
        "\"text\"",
        "{\"leaves\": \"yes\"}",
        "{\"weight\": 1, \"quota\": 5, \"workloads\": [7, null, {}]}",
        "{\"weight\": 1e400}",
        "{\"weight\": 99999999999999}",
    };

    for (size_t i = 0; i < sizeof(documents) / sizeof(documents[0]); i++) {
        json_t *faults = read_faults(documents[i]);

        CU_ASSERT_TRUE(json_array_size(faults) > 0);
        json_decref(faults);
    }
}

static void
test_quantity_parsing_limits(void)
{
    int64_t value = 0;

    CU_ASSERT_TRUE(FvQuestionnaire_ParseDuration("90min", &value));
    CU_ASSERT_EQUAL(value, 5400000);
    CU_ASSERT_FALSE(FvQuestionnaire_ParseDuration("-1 s", &value));
    CU_ASSERT_FALSE(FvQuestionnaire_ParseDuration("1.5 h", &value));
    CU_ASSERT_FALSE(
        FvQuestionnaire_ParseDuration("9223372036854775807 d", &value));
    CU_ASSERT_FALSE(
        FvQuestionnaire_ParseMemory("99999999999999999999 MiB", &value));
    CU_ASSERT_FALSE(FvQuestionnaire_ParseMemory("", &value));
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"valid answers are rejected or read wrongly",
         test_valid_answers_are_read},
        {"a fault hides another fault", test_all_faults_are_reported},
        {"a fault does not state what is allowed",
         test_fault_names_allowed_values},
        {"contradictory answers are accepted",
         test_contradictions_are_rejected},
        {"a malformed document is accepted or causes a crash",
         test_malformed_documents_are_rejected},
        {"a huge quantity overflows, or a malformed one is accepted",
         test_quantity_parsing_limits},
    };

    return Fv_RUN_SUITE("questionnaire", cases);
}
