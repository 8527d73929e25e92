/*
 * Generates contracts from questionnaire answers. The same answers always
 * give the same contracts; each property of a workload is decided by one
 * small rule.
 */

#include "fireflyvalve.h"

#include <stdlib.h>
#include <string.h>

/* Applies when someone waits and the member states no limit. */
#define INTERACTIVE_START_WITHIN_MS 1000
#define INTERACTIVE_RETRIES 1
#define BATCH_RETRIES 3
/* A service must run until it is stopped, despite worker failures. */
#define SERVICE_RETRIES 1000

/* Rule 1: what runs until stopped is a service; tasks that must run together
 * are a gang; work someone waits for is interactive; the rest is ordered by
 * its deadline. */
static fv_class_t
decide_class(const fv_workload_answers_t *answers)
{
    if (answers->until_stopped) {
        return Fv_CLASS_SERVICE;
    }
    if (answers->tasks_together > 1) {
        return Fv_CLASS_GANG;
    }
    if (answers->someone_waits) {
        return Fv_CLASS_INTERACTIVE;
    }
    return Fv_CLASS_DEADLINE;
}

/* Rule 2: work that may not overlap is exclusive. */
static bool
decide_exclusive(const fv_workload_answers_t *answers)
{
    return !answers->may_overlap;
}

/* Rule 3: only work that may be repeated safely is idempotent. */
static bool
decide_idempotent(const fv_workload_answers_t *answers)
{
    return answers->may_repeat;
}

/* Rule 4: work that may not be repeated is never retried. Interactive work is
 * retried once, since a third attempt is of no use to a waiting caller. */
static int32_t
decide_retry_limit(const fv_workload_answers_t *answers)
{
    if (!answers->may_repeat) {
        return 0;
    }
    switch (decide_class(answers)) {
    case Fv_CLASS_INTERACTIVE:
        return INTERACTIVE_RETRIES;
    case Fv_CLASS_SERVICE:
        return SERVICE_RETRIES;
    default:
        return BATCH_RETRIES;
    }
}

/* Rule 5: the queue limit is the member's answer, or else a default by class.
 * Interactive queues are short, since jobs at the end of a long one would not
 * start in time for the waiting caller. */
static int32_t
decide_queue_limit(const fv_workload_answers_t *answers)
{
    static const int32_t defaults[Fv_CLASS_COUNT] = {
        [Fv_CLASS_INTERACTIVE] = 256,
        [Fv_CLASS_SERVICE] = 64,
        [Fv_CLASS_GANG] = 64,
        [Fv_CLASS_DEADLINE] = 4096,
    };

    return answers->may_queue > 0 ? answers->may_queue
                                  : defaults[decide_class(answers)];
}

/* Rule 6: interactive work starts within the stated time or 1 s; for other
 * work 0 means that no limit was stated. */
static int64_t
decide_start_within(const fv_workload_answers_t *answers)
{
    if (answers->start_within_ms == 0 && answers->someone_waits) {
        return INTERACTIVE_START_WITHIN_MS;
    }
    return answers->start_within_ms;
}

/* Rule 7: each task takes its declared size and one slot. */
static fv_resources_t
decide_size(const fv_workload_answers_t *answers)
{
    fv_resources_t size = answers->size;

    size.slots = 1;
    return size;
}

static fv_workload_t
generate_workload(const fv_workload_answers_t *answers)
{
    fv_workload_t workload = {
        .class_id = decide_class(answers),
        .exclusive = decide_exclusive(answers),
        .idempotent = decide_idempotent(answers),
        .size = decide_size(answers),
        .tasks = answers->tasks_together,
        .queue_limit = decide_queue_limit(answers),
        .retry_limit = decide_retry_limit(answers),
        .expected_run_ms = answers->run_time_ms,
        .start_within_ms = decide_start_within(answers),
        .finish_within_ms = answers->finish_within_ms,
    };

    FvText_Copy(workload.name, sizeof(workload.name), answers->name);
    return workload;
}

static int
compare_workloads(const void *a, const void *b)
{
    return strcmp(((const fv_workload_t *)a)->name,
                  ((const fv_workload_t *)b)->name);
}

/**
 * FvGenerate_Contract - generate a member's contract from its answers
 * @member: the member's name
 * @answers: valid answers
 * @contract: filled in; its workloads are sorted by name
 */
void
FvGenerate_Contract(const char *member, const fv_answers_t *answers,
                    fv_contract_t *contract)
{
    memset(contract, 0, sizeof(*contract));
    FvText_Copy(contract->member, sizeof(contract->member), member);
    contract->weight = (uint32_t)answers->weight;
    contract->quota = answers->quota;
    contract->workload_count = answers->workload_count;
    for (uint32_t i = 0; i < answers->workload_count; i++) {
        contract->workloads[i] = generate_workload(&answers->workloads[i]);
    }
    qsort(contract->workloads, contract->workload_count,
          sizeof(contract->workloads[0]), compare_workloads);
}

/* Contracts of a configuration under construction. */
typedef struct draft {
    fv_contract_t *contracts;
    uint32_t count;
} draft_t;

static void
draft_remove(draft_t *draft, const char *member)
{
    for (uint32_t i = 0; i < draft->count; i++) {
        if (strcmp(draft->contracts[i].member, member) == 0) {
            draft->contracts[i] = draft->contracts[--draft->count];
            return;
        }
    }
}

/* Replaces, adds or removes the member's contract. */
static bool
draft_apply(draft_t *draft, const char *member, json_t *document,
            char reason[Fv_REASON_SIZE])
{
    fv_answers_t answers;
    json_t *faults = json_array();
    bool valid = FvQuestionnaire_Read(document, &answers, faults);

    if (!valid) {
        snprintf(reason, Fv_REASON_SIZE,
                 "the saved answers of %s have %zu faults", member,
                 json_array_size(faults));
    }
    json_decref(faults);
    if (!valid) {
        return false;
    }
    draft_remove(draft, member);
    if (answers.leaves) {
        return true;
    }
    if (draft->count >= Fv_MEMBERS_MAX) {
        snprintf(reason, Fv_REASON_SIZE, "more than %d members",
                 Fv_MEMBERS_MAX);
        return false;
    }
    FvGenerate_Contract(member, &answers, &draft->contracts[draft->count++]);
    return true;
}

static bool
draft_init(draft_t *draft, const fv_config_t *base,
           char reason[Fv_REASON_SIZE])
{
    draft->contracts = calloc(Fv_MEMBERS_MAX, sizeof(*draft->contracts));
    draft->count = 0;
    if (draft->contracts == NULL) {
        snprintf(reason, Fv_REASON_SIZE, "out of memory");
        return false;
    }
    if (base != NULL) {
        memcpy(draft->contracts, base->contracts,
               base->contract_count * sizeof(*draft->contracts));
        draft->count = base->contract_count;
    }
    return true;
}

static fv_config_t *
draft_build_config(draft_t *draft, const fv_config_t *base,
                   char reason[Fv_REASON_SIZE])
{
    fv_config_t *config;

    if (draft->count == 0) {
        snprintf(reason, Fv_REASON_SIZE,
                 "no member would be left; the last member can't leave");
        return NULL;
    }
    config = FvConfig_New(base ? base->version + 1 : 1, draft->contracts,
                          draft->count, base);
    if (config == NULL) {
        snprintf(reason, Fv_REASON_SIZE, "out of memory");
    }
    return config;
}

/**
 * FvGenerate_InitialConfig - generate the first configuration
 * @answers_by_member: object that maps all members to their saved answers
 * @reason: set to the reason when none is generated
 *
 * Return: a configuration of version 1, or NULL.
 */
fv_config_t *
FvGenerate_InitialConfig(json_t *answers_by_member,
                         char reason[Fv_REASON_SIZE])
{
    fv_config_t *config = NULL;
    draft_t draft;
    const char *member;
    json_t *answers;

    if (!draft_init(&draft, NULL, reason)) {
        return NULL;
    }
    json_object_foreach(answers_by_member, member, answers)
    {
        if (!draft_apply(&draft, member, answers, reason)) {
            goto out;
        }
    }
    config = draft_build_config(&draft, NULL, reason);

out:
    free(draft.contracts);
    return config;
}

/**
 * FvGenerate_NextConfig - generate the next configuration
 * @base: the configuration to change; contracts of other members are kept
 * @member: the member that changes its answers, joins or leaves
 * @answers: its answers
 * @reason: set to the reason when none is generated
 *
 * Return: a configuration of the next version, or NULL.
 */
fv_config_t *
FvGenerate_NextConfig(const fv_config_t *base, const char *member,
                      json_t *answers, char reason[Fv_REASON_SIZE])
{
    fv_config_t *config = NULL;
    draft_t draft;

    if (!draft_init(&draft, base, reason)) {
        return NULL;
    }
    if (draft_apply(&draft, member, answers, reason)) {
        config = draft_build_config(&draft, base, reason);
    }
    free(draft.contracts);
    return config;
}
