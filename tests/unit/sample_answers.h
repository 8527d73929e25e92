/*
 * Questionnaire answers for several tests: a team with a lookup, a rebuild and
 * a billed fit-check, as the first two users have them.
 */

#ifndef SAMPLE_ANSWERS_H
#define SAMPLE_ANSWERS_H

#include "fireflyvalve.h"

static const char sample_answers[] =
    "{\"weight\": 3, \"quota\": {\"processors\": 64, \"memory\": \"256 GiB\","
    "  \"tasks\": 200}, \"workloads\": ["
    " {\"name\": \"lookup\", \"someone_waits\": true, \"may_repeat\": true,"
    "  \"may_overlap\": true, \"start_within\": \"200 ms\","
    "  \"size\": {\"processors\": 0.25, \"memory\": \"256 MiB\"},"
    "  \"run_time\": \"50 ms\"},"
    " {\"name\": \"rebuild\", \"someone_waits\": false, \"may_repeat\": true,"
    "  \"may_overlap\": false, \"finish_within\": \"8 h\","
    "  \"size\": {\"processors\": 4, \"memory\": \"16 GiB\"},"
    "  \"run_time\": \"40 min\", \"may_queue\": 20},"
    " {\"name\": \"fit-check\", \"someone_waits\": true,"
    "  \"may_repeat\": false, \"may_overlap\": false,"
    "  \"size\": {\"processors\": 1, \"memory\": \"1 GiB\"},"
    "  \"run_time\": \"2 s\"}]}";

/* The sample answers with another weight, which gives another contract. */
static inline json_t *
sample_answers_with_weight(int weight)
{
    json_t *answers = json_loads(sample_answers, 0, NULL);

    json_object_set_new(answers, "weight", json_integer(weight));
    return answers;
}

/* The first configuration of the given members, each with its own weight. */
static inline fv_config_t *
sample_config(const char *const *members, int count)
{
    char reason[Fv_REASON_SIZE];
    json_t *answers = json_object();
    fv_config_t *config;

    for (int i = 0; i < count; i++) {
        json_object_set_new(answers, members[i],
                            sample_answers_with_weight(i + 1));
    }
    config = FvGenerate_InitialConfig(answers, reason);
    json_decref(answers);
    return config;
}

#endif
