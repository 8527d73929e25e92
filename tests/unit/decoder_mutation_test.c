/*
 * Decoders of external input against mutated documents: thousands of samples
 * with bits flipped and with bytes removed, repeated and replaced. A document
 * that a decoder accepts must stay within the limits. Run it also with
 * SANITIZE=address,undefined and ASAN_OPTIONS=allocator_may_return_null=1,
 * since a mutated msgpack array may request more memory than there is.
 */

#include "cell-leader.h"
#include "sched-fixture.h"
#include "suite.h"

#include <stdlib.h>
#include <string.h>

#define ROUNDS 4000
#define DOCUMENT_MAX_BYTES 4096
#define MUTATIONS_MAX 4

static const char *const fragments[] = {"-1",
                                        "0",
                                        "1e308",
                                        "18446744073709551616",
                                        "9223372036854775807",
                                        "null",
                                        "true",
                                        "[]",
                                        "{}",
                                        "\"\"",
                                        "\"\\u0000\"",
                                        "\xff\xfe",
                                        "[[[[",
                                        "2147483648",
                                        "-9223372036854775808",
                                        ",",
                                        "\""};

typedef struct mutation {
    uint64_t random;
    char text[DOCUMENT_MAX_BYTES];
    size_t length;
} mutation_t;

static uint32_t
random_below(mutation_t *mutation, size_t below)
{
    mutation->random ^= mutation->random << 13;
    mutation->random ^= mutation->random >> 7;
    mutation->random ^= mutation->random << 17;
    return below > 0 ? (uint32_t)((mutation->random >> 16) % below) : 0;
}

/* Replaces @removed_length bytes at @at by @length bytes of @inserted. Does
 * nothing if the result would exceed the buffer. */
static void
splice(mutation_t *mutation, size_t at, size_t removed_length,
       const char *inserted, size_t length)
{
    size_t tail = mutation->length - at - removed_length;

    if (mutation->length - removed_length + length > sizeof(mutation->text)) {
        return;
    }
    memmove(mutation->text + at + length, mutation->text + at + removed_length,
            tail);
    memcpy(mutation->text + at, inserted, length);
    mutation->length = at + length + tail;
}

static void
mutate_once(mutation_t *mutation)
{
    size_t at = random_below(mutation, mutation->length + 1);
    size_t remaining = mutation->length - at;
    size_t span = random_below(mutation, remaining < 24 ? remaining + 1 : 24);
    char copy[24];
    const char *fragment;

    switch (random_below(mutation, 5)) {
    case 0:
        if (remaining > 0) {
            mutation->text[at] ^= (char)(1U << random_below(mutation, 8));
        }
        break;
    case 1:
        splice(mutation, at, span, "", 0);
        break;
    case 2:
        memcpy(copy, mutation->text + at, span);
        splice(mutation, random_below(mutation, mutation->length + 1), 0, copy,
               span);
        break;
    case 3:
        fragment = fragments[random_below(mutation, sizeof(fragments) /
                                                        sizeof(fragments[0]))];
        splice(mutation, at, span, fragment, strlen(fragment));
        break;
    default:
        mutation->length = at;
        break;
    }
}

static void
mutate(mutation_t *mutation, const void *sample, size_t length)
{
    uint32_t count;

    CU_ASSERT_FATAL(length < sizeof(mutation->text));
    memcpy(mutation->text, sample, length);
    mutation->length = length;
    count = 1 + random_below(mutation, MUTATIONS_MAX);
    for (uint32_t i = 0; i < count; i++) {
        mutate_once(mutation);
    }
}

/* Calls @decode with ROUNDS mutated copies of @sample. Each copy is allocated
 * at its exact size, so that the address sanitizer reports a read past it. */
static void
decode_mutations(const void *sample, size_t length, uint64_t seed,
                 void (*decode)(const char *document, size_t length))
{
    static mutation_t mutation;

    mutation.random = seed;
    for (uint32_t i = 0; i < ROUNDS; i++) {
        char *exact_copy;

        mutate(&mutation, sample, length);
        exact_copy = malloc(mutation.length + 1);
        CU_ASSERT_PTR_NOT_NULL_FATAL(exact_copy);
        if (exact_copy == NULL) {
            abort();
        }
        memcpy(exact_copy, mutation.text, mutation.length);
        exact_copy[mutation.length] = '\0';
        decode(exact_copy, mutation.length);
        free(exact_copy);
    }
}

static void
decode_text_mutations(const char *sample, uint64_t seed,
                      void (*decode)(const char *document, size_t length))
{
    decode(sample, strlen(sample));
    decode_mutations(sample, strlen(sample), seed, decode);
}

static void
decode_submission(const char *document, size_t length)
{
    fv_job_spec_t spec;
    int64_t tasks = 0;

    if (FvPlatform_DecodeJobSpec(document, length, &spec)) {
        CU_ASSERT(spec.step_count >= 1 && spec.step_count <= Fv_STEPS_MAX);
        for (uint32_t s = 0; s < spec.step_count; s++) {
            const fv_step_spec_t *step = &spec.steps[s];

            CU_ASSERT(step->task_count >= 1 &&
                      step->task_count <= Fv_STEP_TASKS_MAX);
            CU_ASSERT(step->cpu_millis >= 0 && step->memory_mib >= 0 &&
                      step->accelerators >= 0 && step->estimated_ms >= 0);
            for (uint32_t p = 0; p < step->predecessor_count; p++) {
                CU_ASSERT(step->predecessors[p] < s);
            }
            tasks += step->task_count;
        }
        CU_ASSERT(tasks * (spec.repeat_count > 0 ? spec.repeat_count : 1) <=
                  65536);
    }
    FvJobSpec_Clear(&spec);
}

static void
test_submissions(void)
{
    decode_text_mutations(
        "{\"taskSpec\":\"text\",\"repeatCount\":2,\"startAtMs\":9,"
        "\"intervalMs\":100,\"steps\":[{\"count\":4,\"cpu\":500,"
        "\"memMb\":256,\"gpus\":1,\"estimatedMs\":900,\"dataRack\":"
        "\"r1\",\"gang\":true},{\"count\":20,\"cpu\":2000,\"memMb\":"
        "1024,\"estimatedMs\":7000,\"after\":[0],\"checkpointing\":"
        "true,\"requiredLabel\":\"a\",\"antiAffinity\":2}]}",
        1, decode_submission);
}

static void
decode_report(const char *document, size_t length)
{
    fv_call_answer_t answer = {
        .status = 200, .body = document, .length = length};
    fv_worker_report_t report;

    if (FvPlatform_DecodeReport(&answer, &report)) {
        for (uint32_t i = 0; i < report.ended_count; i++) {
            CU_ASSERT(report.ended[i].end <= Fv_END_GANG_INCOMPLETE);
        }
    }
    FvWorkerReport_Clear(&report);
}

static void
test_reports(void)
{
    decode_text_mutations(
        "{\"clockMs\":7,\"born\":3,\"running\":[[\"5c0e7a21d94b36f8.0.1.17\","
        "2,\"00000bb87a21d94b\",41,11.5],[\"5c0e7a21d94b36f8.0.1.18\",2,\"\","
        "0,1]],\"ended\":[[58,\"5c0e7a21d94b36f8.0.1.9\",1,\"done\",\"\"],"
        "[59,\"5c0e7a21d94b36f8.0.1.8\",1,\"alone\",\"x\"]]}",
        2, decode_report);
}

static void
decode_entry(const char *document, size_t length)
{
    fv_worker_entry_t entry;

    if (FvPlatform_DecodeWorkerEntry("servers/w1", document, length, &entry)) {
        CU_ASSERT(entry.cpu_millis >= 0 && entry.cpu_millis <= INT32_MAX);
        CU_ASSERT(entry.memory_mib >= 0 && entry.memory_mib <= INT32_MAX);
        CU_ASSERT(entry.accelerators >= 0 && entry.accelerators <= INT32_MAX);
        CU_ASSERT(entry.drain_left_ms >= 0 &&
                  entry.drain_left_ms <= INT32_MAX);
        CU_ASSERT(entry.started_wall_ms >= 0);
        CU_ASSERT(entry.label_count <= Fv_LABELS_MAX);
        CU_ASSERT(FvText_IsWord(entry.address));
        CU_ASSERT(FvText_IsWord(entry.service));
    }
}

static void
test_registry_entries(void)
{
    decode_text_mutations(
        "{\"service\":\"s\",\"address\":\"127.0.0.1:1\",\"zone\":"
        "\"a\",\"version\":\"1\",\"slots\":8,\"state\":\"draining\","
        "\"remainingMs\":700,\"born\":5,\"coldRemainingMs\":0,"
        "\"sequence\":4,\"capacity\":{\"cpu\":2000,\"memMb\":9,"
        "\"gpus\":0},\"labels\":[\"a\",\"r1\"]}",
        3, decode_entry);
}

static void
decode_config(const char *document, size_t length)
{
    const char *reason;
    fv_cell_config_t *config =
        FvPlatform_DecodeConfig(document, length, &reason);

    for (uint32_t c = 0; config != NULL && c < config->customer_count; c++) {
        const fv_cell_customer_t *customer = &config->customers[c];

        CU_ASSERT(customer->name[0] != '\0' && customer->weight > 0);
        CU_ASSERT(customer->cpu_millis_max >= 0 &&
                  customer->memory_mib_max >= 0 &&
                  customer->accelerators_max >= 0);
        for (uint32_t k = 0; k < customer->key_count; k++) {
            CU_ASSERT(customer->keys[k][0] != '\0');
        }
    }
    for (uint32_t i = 0; config != NULL && i < config->queue_count; i++) {
        CU_ASSERT(config->queues[i].attempts_max >= 0);
        CU_ASSERT(config->queues[i].advice_base_us >= 0);
    }
    FvCellConfig_Free(config);
}

static void
test_configurations(void)
{
    decode_text_mutations(
        "{\"version\":3,\"routes\":[{\"name\":\"q\",\"host\":\"h.example\","
        "\"prefix\":\"/q/\",\"service\":\"s\",\"priority\":1,\"maxAttempts\":"
        "3,\"stretch\":2.2,\"targetLatencyMs\":500,\"recommendation\":"
        "{\"decisionMs\":11.0,\"perWorkerMs\":0.16,\"validityMs\":2500},"
        "\"public\":true}],\"tenants\":[{\"name\":\"east\",\"apiKeys\":"
        "[\"k1\",\"k2\"],\"weight\":2.5,\"cap\":{\"cpu\":64000,\"memMb\":"
        "4096,\"gpus\":0}},{\"name\":\"west\",\"apiKeys\":[],\"weight\":1}],"
        "\"services\":[{\"name\":\"s\",\"enforceCapacity\":false}],"
        "\"limits\":{}}",
        4, decode_config);
}

static void
decode_store_answers(const char *document, size_t length)
{
    fv_call_answer_t answer = {
        .status = 200, .body = document, .length = length};
    fv_kv_items_t items;
    int64_t lease;
    int64_t ttl_ms;
    int64_t revision;

    FvPlatform_DecodeKvItem(&answer, &items);
    FvKvItems_Clear(&items);
    FvPlatform_DecodeKvItems(&answer, &items);
    FvKvItems_Clear(&items);
    FvPlatform_DecodeKvEvents(&answer, &items);
    FvKvItems_Clear(&items);
    FvPlatform_DecodeKvLease(&answer, &lease, &ttl_ms);
    FvPlatform_DecodeKvRevision(&answer, &revision);
}

static void
test_store_answers(void)
{
    decode_text_mutations(
        "{\"items\":[{\"key\":\"a/b\",\"value\":\"aGVsbG8=\","
        "\"revision\":7,\"created\":5,\"lease\":0}],\"hasMore\":true,"
        "\"at\":9}",
        5, decode_store_answers);
    decode_text_mutations(
        "{\"events\":[{\"key\":\"a/b\",\"revision\":8,\"deleted\":"
        "true},{\"key\":\"a/c\",\"value\":\"aGVsbG8=\",\"revision\":"
        "9,\"created\":9,\"lease\":3}],\"at\":9}",
        6, decode_store_answers);
    decode_text_mutations("{\"lease\":77,\"ttlMs\":1300,\"revision\":12}", 7,
                          decode_store_answers);
}

static void
decode_advice(const char *document, size_t length)
{
    fv_call_answer_t answer = {
        .status = 200, .body = document, .length = length};
    fv_advice_t advice;

    FvPlatform_DecodeAdvice(&answer, &advice);
    FvAdvice_Clear(&advice);
}

static void
test_advice(void)
{
    decode_text_mutations(
        "{\"allowedWorkers\":[[\"i-1\",\"t-1\"],[\"i-2\",\"t-2\"]]}", 8,
        decode_advice);
}

static sched_fixture_t fixture;

static void
decode_job_record(const char *document, size_t length)
{
    fv_buffer_t value = {
        .data = (uint8_t *)document, .length = length, .capacity = length};
    fv_sched_job_t *job = FvSchedRecord_LoadJob(
        &fixture.sched, "00000000000000aa", &value, 1000, 1000);

    if (job != NULL) {
        CU_ASSERT(strlen(job->customer) < Fv_NAME_SIZE);
        FvSched_RemoveJob(&fixture.sched, job);
    }
}

static void
decode_ended_record(const char *document, size_t length)
{
    fv_buffer_t value = {
        .data = (uint8_t *)document, .length = length, .capacity = length};
    fv_job_owner_t owner;
    const char *state;

    FvLeaderRecord_DecodeEnded(&value, &state, &owner);
    CU_ASSERT(strlen(owner.customer) < Fv_NAME_SIZE);
    CU_ASSERT(strlen(owner.queue) < Fv_NAME_SIZE);
}

static fv_sched_job_t *recorded_job;

static void
decode_progress(const char *document, size_t length)
{
    fv_buffer_t value = {
        .data = (uint8_t *)document, .length = length, .capacity = length};

    FvSchedRecord_LoadProgress(recorded_job, &value);
    for (int32_t i = 0; i < recorded_job->spec.steps[0].task_count; i++) {
        CU_ASSERT(recorded_job->occurrences[0]->stages[0].tasks[i].failures >=
                  0);
    }
}

static void
test_stored_records(void)
{
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("batch", 2);
    fv_buffer_t job = {0};
    fv_buffer_t progress = {0};
    fv_buffer_t ended = {0};

    FvSchedFixture_Open(&fixture, 1);
    recorded_job = FvSchedFixture_AddJob(
        &fixture, "00000000000000bb", &queue,
        "{\"taskSpec\":\"x\",\"steps\":[{\"count\":4,\"cpu\":1,\"memMb\":1,"
        "\"estimatedMs\":5}]}");
    FvText_Copy(recorded_job->customer, sizeof(recorded_job->customer),
                "east");
    CU_ASSERT_FATAL(FvSchedRecord_EncodeJob(recorded_job, &job));
    FvLeaderRecord_EncodeEnded(
        "completed", &(fv_job_owner_t){.customer = "east", .queue = "batch"},
        &ended);
    CU_ASSERT_FATAL(
        FvSchedRecord_EncodeProgress(recorded_job, SIZE_MAX, &progress));
    decode_mutations(job.data, job.length, 9, decode_job_record);
    decode_mutations(progress.data, progress.length, 10, decode_progress);
    decode_mutations(ended.data, ended.length, 11, decode_ended_record);
    FvBuffer_Clear(&ended);
    FvBuffer_Clear(&job);
    FvBuffer_Clear(&progress);
    FvSchedFixture_Close(&fixture);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a mutated submission is accepted beyond the limits",
         test_submissions},
        {"a mutated report is accepted with invalid values", test_reports},
        {"a mutated registry entry is accepted with invalid values",
         test_registry_entries},
        {"a mutated configuration is accepted with invalid values",
         test_configurations},
        {"a mutated store answer causes an invalid memory access",
         test_store_answers},
        {"a mutated advice answer causes an invalid memory access",
         test_advice},
        {"a mutated stored record is loaded with invalid values",
         test_stored_records},
    };

    return Fv_RUN_SUITE("decoder mutation", cases);
}
