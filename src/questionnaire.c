/*
 * Reads and validates a member's questionnaire answers. All faults are
 * reported at once, each with the path of the field and the allowed values.
 *
 * Tables describe the fields. Rules that involve several fields are in a
 * separate table and are checked only when these fields are valid.
 */

#include "fireflyvalve.h"

#include <errno.h>
#include <math.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#define PATH_SIZE 192
#define DAY_MS (INT64_C(86400) * Fv_MS_PER_S)
#define DURATION_MAX_MS (30 * DAY_MS)
#define QUEUE_LIMIT_MAX 100000
#define MIB (INT64_C(1) << 20)
#define TIB (INT64_C(1) << 40)

#define ALLOWED_NAME "1 to 63 characters of A-Z a-z 0-9 . _ -"
#define ALLOWED_BOOL "true or false"
#define ALLOWED_DURATION                                                      \
    "a whole number with a unit of ms, s, min, h or d, such as \"20 min\"; "  \
    "at most 30 d"

typedef enum field_kind {
    KIND_NAME,
    KIND_BOOL,
    KIND_INT,
    KIND_DURATION,
    KIND_PROCESSORS,
    KIND_MEMORY
} field_kind_t;

typedef struct field {
    const char *key;
    const char *allowed;
    field_kind_t kind;
    bool required;
    size_t offset; /* in the structure that receives the value */
    int64_t min;
    int64_t max;
} field_t;

typedef struct unit {
    const char *name;
    int64_t factor;
} unit_t;

/* Indices of workload_fields; rules refer to fields by their bits. */
enum {
    FIELD_NAME,
    FIELD_SOMEONE_WAITS,
    FIELD_START_WITHIN,
    FIELD_FINISH_WITHIN,
    FIELD_MAY_REPEAT,
    FIELD_MAY_OVERLAP,
    FIELD_TASKS_TOGETHER,
    FIELD_UNTIL_STOPPED,
    FIELD_RUN_TIME,
    FIELD_MAY_QUEUE,
    FIELD_COUNT
};

#define BIT(FIELD) (UINT32_C(1) << (FIELD))
#define IN_WORKLOAD(MEMBER) offsetof(fv_workload_answers_t, MEMBER)

static const field_t workload_fields[FIELD_COUNT] = {
    [FIELD_NAME] = {"name", ALLOWED_NAME, KIND_NAME, true, IN_WORKLOAD(name)},
    [FIELD_SOMEONE_WAITS] = {"someone_waits", ALLOWED_BOOL, KIND_BOOL, true,
                             IN_WORKLOAD(someone_waits)},
    [FIELD_START_WITHIN] = {"start_within", ALLOWED_DURATION, KIND_DURATION,
                            false, IN_WORKLOAD(start_within_ms)},
    [FIELD_FINISH_WITHIN] = {"finish_within", ALLOWED_DURATION, KIND_DURATION,
                             false, IN_WORKLOAD(finish_within_ms)},
    [FIELD_MAY_REPEAT] = {"may_repeat", ALLOWED_BOOL, KIND_BOOL, true,
                          IN_WORKLOAD(may_repeat)},
    [FIELD_MAY_OVERLAP] = {"may_overlap", ALLOWED_BOOL, KIND_BOOL, true,
                           IN_WORKLOAD(may_overlap)},
    [FIELD_TASKS_TOGETHER] = {"tasks_together", "1 to 256", KIND_INT, false,
                              IN_WORKLOAD(tasks_together), 1, Fv_TASKS_MAX},
    [FIELD_UNTIL_STOPPED] = {"until_stopped", ALLOWED_BOOL, KIND_BOOL, false,
                             IN_WORKLOAD(until_stopped)},
    [FIELD_RUN_TIME] = {"run_time", ALLOWED_DURATION, KIND_DURATION, false,
                        IN_WORKLOAD(run_time_ms)},
    [FIELD_MAY_QUEUE] = {"may_queue", "1 to 100000", KIND_INT, false,
                         IN_WORKLOAD(may_queue), 1, QUEUE_LIMIT_MAX},
};

static const field_t size_fields[] = {
    {"processors", "0.01 to 1024", KIND_PROCESSORS, true,
     offsetof(fv_resources_t, cpu_millis), 10, 1024000},
    {"memory", "1 MiB to 64 TiB, such as \"4 GiB\"", KIND_MEMORY, true,
     offsetof(fv_resources_t, memory_bytes), MIB, 64 * TIB},
    {"accelerators", "0 to 64", KIND_INT, false,
     offsetof(fv_resources_t, accelerators), 0, 64},
};

static const field_t quota_fields[] = {
    {"processors", "0.01 to 1000000", KIND_PROCESSORS, true,
     offsetof(fv_resources_t, cpu_millis), 10, INT64_C(1000000000)},
    {"memory", "1 MiB to 65536 TiB, such as \"512 GiB\"", KIND_MEMORY, true,
     offsetof(fv_resources_t, memory_bytes), MIB, 65536 * TIB},
    {"accelerators", "0 to 100000", KIND_INT, false,
     offsetof(fv_resources_t, accelerators), 0, 100000},
    {"tasks", "1 to 1000000", KIND_INT, true, offsetof(fv_resources_t, slots),
     1, 1000000},
};

static const field_t member_fields[] = {
    {"weight", "1 to 1000", KIND_INT, true, offsetof(fv_answers_t, weight), 1,
     Fv_WEIGHT_MAX},
};

#define COUNT(TABLE) (sizeof(TABLE) / sizeof((TABLE)[0]))

/* Fields of one JSON object and the names of its nested values. */
typedef struct object_schema {
    const field_t *fields;
    size_t count;
    const char *const *nested;
    size_t nested_count;
} object_schema_t;

static void __attribute__((format(printf, 4, 5)))
add_fault(json_t *faults, const char *path, const char *fault,
          const char *format, ...)
{
    char allowed[512];
    va_list arguments;

    va_start(arguments, format);
    vsnprintf(allowed, sizeof(allowed), format, arguments);
    va_end(arguments);
    json_array_append_new(faults,
                          json_pack("{s:s, s:s, s:s}", "path", path, "fault",
                                    fault, "allowed", allowed));
}

static bool
parse_quantity(const char *text, const unit_t *units, size_t count,
               int64_t *value)
{
    char *end = NULL;
    long long number;

    if (text == NULL || *text < '0' || *text > '9') {
        return false;
    }
    errno = 0;
    number = strtoll(text, &end, 10);
    while (*end == ' ') {
        end++;
    }
    for (size_t i = 0; errno == 0 && i < count; i++) {
        if (strcmp(end, units[i].name) == 0) {
            return !__builtin_mul_overflow((int64_t)number, units[i].factor,
                                           value);
        }
    }
    return false;
}

/**
 * FvQuestionnaire_ParseDuration - parse a duration such as "20 min"
 * @text: a whole number with a unit of ms, s, min, h or d
 * @ms: receives milliseconds
 *
 * Return: false when @text is malformed.
 */
bool
FvQuestionnaire_ParseDuration(const char *text, int64_t *ms)
{
    static const unit_t units[] = {{"ms", 1},
                                   {"s", Fv_MS_PER_S},
                                   {"min", 60 * Fv_MS_PER_S},
                                   {"h", 3600 * Fv_MS_PER_S},
                                   {"d", DAY_MS}};

    return parse_quantity(text, units, COUNT(units), ms);
}

/**
 * FvQuestionnaire_ParseMemory - parse a memory size such as "4 GiB"
 * @text: a whole number with a unit of MiB, GiB, TiB, MB, GB or TB
 * @bytes: receives bytes
 *
 * Return: false when @text is malformed.
 */
bool
FvQuestionnaire_ParseMemory(const char *text, int64_t *bytes)
{
    static const unit_t units[] = {{"MiB", MIB},
                                   {"GiB", MIB << 10},
                                   {"TiB", TIB},
                                   {"MB", INT64_C(1000000)},
                                   {"GB", INT64_C(1000000000)},
                                   {"TB", INT64_C(1000000000000)}};

    return parse_quantity(text, units, COUNT(units), bytes);
}

static bool
in_range(const field_t *field, int64_t value)
{
    return value >= field->min && value <= field->max;
}

static bool
read_name(const json_t *value, char *target)
{
    const char *name = json_string_value(value);

    return FvText_IsName(name, Fv_NAME_SIZE - 1) &&
           FvText_Copy(target, Fv_NAME_SIZE, name);
}

static bool
read_bool(const json_t *value, bool *target)
{
    *target = json_is_true(value);
    return json_is_boolean(value);
}

static bool
read_int(const field_t *field, const json_t *value, int32_t *target)
{
    if (!json_is_integer(value) ||
        !in_range(field, json_integer_value(value))) {
        return false;
    }
    *target = (int32_t)json_integer_value(value);
    return true;
}

static bool
read_processors(const field_t *field, const json_t *value, int64_t *target)
{
    double millis = json_number_value(value) * 1000;

    if (!json_is_number(value) || !(millis >= (double)field->min) ||
        !(millis <= (double)field->max)) {
        return false;
    }
    *target = llround(millis);
    return true;
}

static bool
read_duration(const json_t *value, int64_t *target)
{
    int64_t ms = 0;

    if (!FvQuestionnaire_ParseDuration(json_string_value(value), &ms) ||
        ms < 1 || ms > DURATION_MAX_MS) {
        return false;
    }
    *target = ms;
    return true;
}

static bool
read_memory(const field_t *field, const json_t *value, int64_t *target)
{
    int64_t bytes = 0;

    if (!FvQuestionnaire_ParseMemory(json_string_value(value), &bytes) ||
        !in_range(field, bytes)) {
        return false;
    }
    *target = bytes;
    return true;
}

static bool
read_value(const field_t *field, const json_t *value, void *target)
{
    switch (field->kind) {
    case KIND_NAME:
        return read_name(value, target);
    case KIND_BOOL:
        return read_bool(value, target);
    case KIND_INT:
        return read_int(field, value, target);
    case KIND_DURATION:
        return read_duration(value, target);
    case KIND_PROCESSORS:
        return read_processors(field, value, target);
    case KIND_MEMORY:
        return read_memory(field, value, target);
    }
    return false;
}

static void
join_path(char path[PATH_SIZE], const char *parent, const char *key)
{
    snprintf(path, PATH_SIZE, "%.96s%s%.63s", parent, *parent ? "." : "", key);
}

/* Returns a bit mask of the invalid fields. */
static uint32_t
read_fields(const json_t *object, const char *parent,
            const object_schema_t *schema, void *target, json_t *faults)
{
    char path[PATH_SIZE];
    uint32_t invalid_fields = 0;

    for (size_t i = 0; i < schema->count; i++) {
        const field_t *field = &schema->fields[i];
        const json_t *value = json_object_get(object, field->key);

        if (value == NULL && !field->required) {
            continue;
        }
        if (value != NULL &&
            read_value(field, value, (char *)target + field->offset)) {
            continue;
        }
        invalid_fields |= BIT(i);
        join_path(path, parent, field->key);
        add_fault(faults, path, value ? "not allowed" : "missing", "%s",
                  field->allowed);
    }
    return invalid_fields;
}

static bool
schema_has_key(const object_schema_t *schema, const char *key)
{
    for (size_t i = 0; i < schema->count; i++) {
        if (strcmp(schema->fields[i].key, key) == 0) {
            return true;
        }
    }
    for (size_t i = 0; i < schema->nested_count; i++) {
        if (strcmp(schema->nested[i], key) == 0) {
            return true;
        }
    }
    return false;
}

static void
list_schema_keys(const object_schema_t *schema, char *text, size_t size)
{
    size_t used = 0;

    text[0] = '\0';
    for (size_t i = 0; i < schema->count + schema->nested_count; i++) {
        const char *key = i < schema->count
                              ? schema->fields[i].key
                              : schema->nested[i - schema->count];

        used += (size_t)snprintf(text + used, size - used, "%s%s",
                                 i ? ", " : "", key);
        if (used >= size) {
            return;
        }
    }
}

/* A misspelt optional field would otherwise count as not answered. */
static void
report_unknown_fields(json_t *object, const char *parent,
                      const object_schema_t *schema, json_t *faults)
{
    char path[PATH_SIZE];
    char keys[384];
    const char *key;
    json_t *value;

    list_schema_keys(schema, keys, sizeof(keys));
    json_object_foreach(object, key, value)
    {
        if (!schema_has_key(schema, key)) {
            join_path(path, parent,
                      FvText_IsName(key, Fv_NAME_SIZE - 1) ? key : "?");
            add_fault(faults, path, "unknown field", "one of %s", keys);
        }
    }
}

/* Returns false, with a fault, when the value is not an object. */
static bool
read_object(json_t *object, const char *path, const object_schema_t *schema,
            void *target, uint32_t *invalid_fields, json_t *faults)
{
    if (!json_is_object(object)) {
        add_fault(faults, path, object ? "not allowed" : "missing",
                  "an object with fields");
        *invalid_fields = UINT32_MAX;
        return false;
    }
    *invalid_fields = read_fields(object, path, schema, target, faults);
    report_unknown_fields(object, path, schema, faults);
    return true;
}

typedef struct rule {
    const char *key;     /* field that the fault is reported for */
    const char *allowed; /* allowed values of the field */
    uint32_t depends_on; /* bit mask of fields that must be valid */
    bool (*is_violated)(const fv_workload_answers_t *workload);
} rule_t;

static bool
gang_has_waiting_caller(const fv_workload_answers_t *workload)
{
    return workload->someone_waits && workload->tasks_together > 1;
}

static bool
service_has_waiting_caller(const fv_workload_answers_t *workload)
{
    return workload->someone_waits && workload->until_stopped;
}

static bool
service_has_deadline(const fv_workload_answers_t *workload)
{
    return workload->until_stopped && workload->finish_within_ms > 0;
}

static bool
service_has_run_time(const fv_workload_answers_t *workload)
{
    return workload->until_stopped && workload->run_time_ms > 0;
}

static bool
run_time_is_missing(const fv_workload_answers_t *workload)
{
    return !workload->until_stopped && workload->run_time_ms == 0;
}

static bool
deadline_is_below_run_time(const fv_workload_answers_t *workload)
{
    return workload->finish_within_ms > 0 &&
           workload->finish_within_ms < workload->run_time_ms;
}

static bool
start_limit_is_after_deadline(const fv_workload_answers_t *workload)
{
    return workload->finish_within_ms > 0 &&
           workload->start_within_ms > workload->finish_within_ms;
}

static const rule_t rules[] = {
    {"tasks_together", "1 when someone_waits is true",
     BIT(FIELD_SOMEONE_WAITS) | BIT(FIELD_TASKS_TOGETHER),
     gang_has_waiting_caller},
    {"until_stopped", "false when someone_waits is true",
     BIT(FIELD_SOMEONE_WAITS) | BIT(FIELD_UNTIL_STOPPED),
     service_has_waiting_caller},
    {"finish_within", "left out when until_stopped is true",
     BIT(FIELD_FINISH_WITHIN) | BIT(FIELD_UNTIL_STOPPED),
     service_has_deadline},
    {"run_time", "left out when until_stopped is true",
     BIT(FIELD_RUN_TIME) | BIT(FIELD_UNTIL_STOPPED), service_has_run_time},
    {"run_time", "needed unless until_stopped is true; " ALLOWED_DURATION,
     BIT(FIELD_RUN_TIME) | BIT(FIELD_UNTIL_STOPPED), run_time_is_missing},
    {"finish_within", "at least run_time",
     BIT(FIELD_FINISH_WITHIN) | BIT(FIELD_RUN_TIME),
     deadline_is_below_run_time},
    {"start_within", "at most finish_within",
     BIT(FIELD_FINISH_WITHIN) | BIT(FIELD_START_WITHIN),
     start_limit_is_after_deadline},
};

static void
check_rules(const fv_workload_answers_t *workload, const char *parent,
            uint32_t invalid_fields, json_t *faults)
{
    char path[PATH_SIZE];

    for (size_t i = 0; i < COUNT(rules); i++) {
        if ((rules[i].depends_on & invalid_fields) == 0 &&
            rules[i].is_violated(workload)) {
            join_path(path, parent, rules[i].key);
            add_fault(faults, path, "contradicts another answer", "%s",
                      rules[i].allowed);
        }
    }
}

static bool
name_is_used(const fv_answers_t *answers, const char *name)
{
    for (uint32_t i = 0; i < answers->workload_count; i++) {
        if (strcmp(answers->workloads[i].name, name) == 0) {
            return true;
        }
    }
    return false;
}

static bool
fits_quota(const fv_resources_t *quota, const fv_workload_answers_t *workload)
{
    int64_t tasks = workload->tasks_together;

    return workload->size.cpu_millis * tasks <= quota->cpu_millis &&
           workload->size.memory_bytes <= quota->memory_bytes / tasks &&
           workload->size.accelerators * tasks <= quota->accelerators &&
           tasks <= quota->slots;
}

/* A workload above its member's quota could never start. */
static void
check_quota(const fv_answers_t *answers, const fv_workload_answers_t *workload,
            const char *parent, json_t *faults)
{
    char path[PATH_SIZE];

    if (!fits_quota(&answers->quota, workload)) {
        join_path(path, parent, "size");
        add_fault(faults, path, "contradicts another answer",
                  "size times tasks_together within the quota");
    }
}

static void
read_workload(fv_answers_t *answers, json_t *object, const char *path,
              bool quota_is_valid, json_t *faults)
{
    static const char *const nested[] = {"size"};
    static const object_schema_t schema = {workload_fields, FIELD_COUNT,
                                           nested, COUNT(nested)};
    static const object_schema_t size_schema = {size_fields,
                                                COUNT(size_fields)};
    fv_workload_answers_t workload = {.tasks_together = 1};
    char size_path[PATH_SIZE];
    uint32_t invalid_fields = 0;
    uint32_t invalid_size_fields = 0;

    if (!read_object(object, path, &schema, &workload, &invalid_fields,
                     faults)) {
        return;
    }
    join_path(size_path, path, "size");
    read_object(json_object_get(object, "size"), size_path, &size_schema,
                &workload.size, &invalid_size_fields, faults);
    check_rules(&workload, path, invalid_fields, faults);
    if (quota_is_valid && invalid_size_fields == 0 &&
        (invalid_fields & BIT(FIELD_TASKS_TOGETHER)) == 0) {
        check_quota(answers, &workload, path, faults);
    }
    if ((invalid_fields & BIT(FIELD_NAME)) == 0 &&
        name_is_used(answers, workload.name)) {
        join_path(size_path, path, "name");
        add_fault(faults, size_path, "used twice", "one workload per name");
    }
    answers->workloads[answers->workload_count++] = workload;
}

static void
read_workloads(fv_answers_t *answers, json_t *list, bool quota_is_valid,
               json_t *faults)
{
    char path[PATH_SIZE];
    size_t index;
    json_t *object;
    size_t count = json_array_size(list);

    if (count < 1 || count > Fv_WORKLOADS_MAX) {
        add_fault(faults, "workloads", list ? "not allowed" : "missing",
                  "a list of 1 to %d workloads", Fv_WORKLOADS_MAX);
        return;
    }
    json_array_foreach(list, index, object)
    {
        snprintf(path, sizeof(path), "workloads[%zu]", index);
        read_workload(answers, object, path, quota_is_valid, faults);
    }
}

static void
read_member(json_t *document, fv_answers_t *answers, json_t *faults)
{
    static const char *const nested[] = {"quota", "workloads", "leaves"};
    static const object_schema_t schema = {member_fields, COUNT(member_fields),
                                           nested, COUNT(nested)};
    static const object_schema_t quota_schema = {quota_fields,
                                                 COUNT(quota_fields)};
    uint32_t invalid_fields = 0;

    read_object(document, "", &schema, answers, &invalid_fields, faults);
    read_object(json_object_get(document, "quota"), "quota", &quota_schema,
                &answers->quota, &invalid_fields, faults);
    read_workloads(answers, json_object_get(document, "workloads"),
                   invalid_fields == 0, faults);
}

/**
 * FvQuestionnaire_Read - read and validate a member's answers
 * @document: the answers
 * @answers: filled in; usable only when there is no fault
 * @faults: array to which every fault is added as an object with path, fault
 *          and allowed
 *
 * Answers with "leaves": true need nothing else, and nothing else is read.
 *
 * Return: false when there is a fault.
 */
bool
FvQuestionnaire_Read(json_t *document, fv_answers_t *answers, json_t *faults)
{
    const json_t *leaves = json_object_get(document, "leaves");
    size_t before = json_array_size(faults);

    memset(answers, 0, sizeof(*answers));
    if (!json_is_object(document)) {
        add_fault(faults, "", "not allowed", "an object with the answers");
        return false;
    }
    if (leaves != NULL && !json_is_boolean(leaves)) {
        add_fault(faults, "leaves", "not allowed", ALLOWED_BOOL);
    }
    answers->leaves = json_is_true(leaves);
    if (!answers->leaves) {
        read_member(document, answers, faults);
    }
    return json_array_size(faults) == before;
}
