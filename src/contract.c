/*
 * A contract is what the active configuration grants one member. Its digest
 * covers the canonical JSON form, so two hosts that hold the same contract
 * compute the same digest.
 */

#include "fireflyvalve.h"

#include <string.h>

/**
 * FvContract_FindWorkload - find a workload by name
 * @contract: the contract
 * @name: the workload's name
 *
 * Return: the workload, or NULL when the contract has none of this name.
 */
const fv_workload_t *
FvContract_FindWorkload(const fv_contract_t *contract, const char *name)
{
    for (uint32_t i = 0; i < contract->workload_count; i++) {
        if (strcmp(contract->workloads[i].name, name) == 0) {
            return &contract->workloads[i];
        }
    }
    return NULL;
}

/**
 * FvWorkload_NeedsClaim - whether jobs of a workload need a claim in the store
 * @workload: the workload
 *
 * A caller can resubmit an interactive, idempotent job, such as a lookup, when
 * its home host fails. Every other job must survive the failure of its home
 * host, or must not run twice, and therefore needs a claim.
 *
 * Return: false only for interactive, idempotent, non-exclusive work.
 */
bool
FvWorkload_NeedsClaim(const fv_workload_t *workload)
{
    return workload->class_id != Fv_CLASS_INTERACTIVE ||
           !workload->idempotent || workload->exclusive;
}

static bool
same_resources(const fv_resources_t *a, const fv_resources_t *b)
{
    return a->cpu_millis == b->cpu_millis &&
           a->memory_bytes == b->memory_bytes &&
           a->accelerators == b->accelerators && a->slots == b->slots;
}

static bool
same_workload(const fv_workload_t *a, const fv_workload_t *b)
{
    return strcmp(a->name, b->name) == 0 && a->class_id == b->class_id &&
           a->exclusive == b->exclusive && a->idempotent == b->idempotent &&
           same_resources(&a->size, &b->size) && a->tasks == b->tasks &&
           a->queue_limit == b->queue_limit &&
           a->retry_limit == b->retry_limit &&
           a->expected_run_ms == b->expected_run_ms &&
           a->start_within_ms == b->start_within_ms &&
           a->finish_within_ms == b->finish_within_ms;
}

/**
 * FvContract_Equals - whether two contracts have the same digest
 * @a: a contract
 * @b: another one
 *
 * Return: true when all fields are equal.
 */
bool
FvContract_Equals(const fv_contract_t *a, const fv_contract_t *b)
{
    if (strcmp(a->member, b->member) != 0 || a->weight != b->weight ||
        !same_resources(&a->quota, &b->quota) ||
        a->workload_count != b->workload_count) {
        return false;
    }
    for (uint32_t i = 0; i < a->workload_count; i++) {
        if (!same_workload(&a->workloads[i], &b->workloads[i])) {
            return false;
        }
    }
    return true;
}

static json_t *
workload_to_json(const fv_workload_t *workload)
{
    return json_pack("{s:s, s:s, s:b, s:b, s:o, s:i, s:i, s:i, s:I, s:I, s:I}",
                     "name", workload->name, "class",
                     FvClass_Name(workload->class_id), "exclusive",
                     workload->exclusive, "idempotent", workload->idempotent,
                     "size", FvResources_ToJson(&workload->size), "tasks",
                     workload->tasks, "queue_limit", workload->queue_limit,
                     "retry_limit", workload->retry_limit, "expected_run_ms",
                     (json_int_t)workload->expected_run_ms, "start_within_ms",
                     (json_int_t)workload->start_within_ms, "finish_within_ms",
                     (json_int_t)workload->finish_within_ms);
}

/**
 * FvContract_ToJson - the contract as JSON
 * @contract: the contract
 *
 * Return: a new object, or NULL when memory is exhausted.
 */
json_t *
FvContract_ToJson(const fv_contract_t *contract)
{
    json_t *workloads = json_array();

    for (uint32_t i = 0; i < contract->workload_count; i++) {
        json_t *workload = workload_to_json(&contract->workloads[i]);

        if (json_array_append_new(workloads, workload) != 0) {
            json_decref(workloads);
            return NULL;
        }
    }
    return json_pack("{s:s, s:i, s:o, s:o}", "member", contract->member,
                     "weight", (int)contract->weight, "quota",
                     FvResources_ToJson(&contract->quota), "workloads",
                     workloads);
}

static bool
read_int32(const json_t *object, const char *key, int32_t min, int32_t max,
           int32_t *value)
{
    int64_t number = FvJson_Int(object, key, -1);

    if (number < min || number > max) {
        return false;
    }
    *value = (int32_t)number;
    return true;
}

static bool
read_duration(const json_t *object, const char *key, int64_t *value)
{
    *value = FvJson_Int(object, key, -1);
    return *value >= 0;
}

static bool
read_flag(const json_t *object, const char *key, bool *value)
{
    const json_t *flag = json_object_get(object, key);

    *value = json_is_true(flag);
    return json_is_boolean(flag);
}

static bool
read_class(const json_t *object, fv_class_t *class_id)
{
    const char *name = FvJson_String(object, "class");

    return name != NULL && FvClass_Parse(name, class_id);
}

static bool
read_resources(const json_t *object, const char *key,
               fv_resources_t *resources)
{
    return FvResources_FromJson(json_object_get(object, key), resources) &&
           resources->cpu_millis >= 0 && resources->memory_bytes >= 0 &&
           resources->accelerators >= 0 && resources->slots >= 0;
}

static bool
read_name(const json_t *object, const char *key, char name[Fv_NAME_SIZE])
{
    return FvJson_CopyString(object, key, name, Fv_NAME_SIZE) &&
           FvText_IsName(name, Fv_NAME_SIZE - 1);
}

/* Returns the name of the first field that is missing or out of range. */
static const char *
read_workload(const json_t *object, fv_workload_t *workload)
{
    if (!read_name(object, "name", workload->name)) {
        return "name";
    }
    if (!read_class(object, &workload->class_id)) {
        return "class";
    }
    if (!read_flag(object, "exclusive", &workload->exclusive)) {
        return "exclusive";
    }
    if (!read_flag(object, "idempotent", &workload->idempotent)) {
        return "idempotent";
    }
    if (!read_resources(object, "size", &workload->size)) {
        return "size";
    }
    if (!read_int32(object, "tasks", 1, Fv_TASKS_MAX, &workload->tasks)) {
        return "tasks";
    }
    if (!read_int32(object, "queue_limit", 0, INT32_MAX,
                    &workload->queue_limit)) {
        return "queue_limit";
    }
    if (!read_int32(object, "retry_limit", 0, INT32_MAX,
                    &workload->retry_limit)) {
        return "retry_limit";
    }
    if (!read_duration(object, "expected_run_ms",
                       &workload->expected_run_ms)) {
        return "expected_run_ms";
    }
    if (!read_duration(object, "start_within_ms",
                       &workload->start_within_ms)) {
        return "start_within_ms";
    }
    if (!read_duration(object, "finish_within_ms",
                       &workload->finish_within_ms)) {
        return "finish_within_ms";
    }
    return NULL;
}

static bool
read_workloads(const json_t *list, fv_contract_t *contract,
               char reason[Fv_REASON_SIZE])
{
    size_t index;
    const json_t *object;

    if (!json_is_array(list) || json_array_size(list) > Fv_WORKLOADS_MAX) {
        snprintf(reason, Fv_REASON_SIZE, "workloads: at most %d in a list",
                 Fv_WORKLOADS_MAX);
        return false;
    }
    json_array_foreach(list, index, object)
    {
        fv_workload_t workload = {0};
        const char *fault = read_workload(object, &workload);

        if (fault == NULL &&
            FvContract_FindWorkload(contract, workload.name) != NULL) {
            fault = "name (used twice)";
        }
        if (fault != NULL) {
            snprintf(reason, Fv_REASON_SIZE, "workloads[%zu].%s is invalid",
                     index, fault);
            return false;
        }
        contract->workloads[contract->workload_count++] = workload;
    }
    return true;
}

/**
 * FvContract_FromJson - read a contract
 * @object: its JSON form; unknown fields are ignored
 * @contract: filled in
 * @reason: why it was refused
 *
 * Return: false when a field is missing or out of range.
 */
bool
FvContract_FromJson(const json_t *object, fv_contract_t *contract,
                    char reason[Fv_REASON_SIZE])
{
    int32_t weight = 0;

    memset(contract, 0, sizeof(*contract));
    if (!read_name(object, "member", contract->member)) {
        snprintf(reason, Fv_REASON_SIZE, "member is not a name");
        return false;
    }
    if (!read_int32(object, "weight", 1, Fv_WEIGHT_MAX, &weight)) {
        snprintf(reason, Fv_REASON_SIZE, "weight is not within 1 to %d",
                 Fv_WEIGHT_MAX);
        return false;
    }
    contract->weight = (uint32_t)weight;
    if (!read_resources(object, "quota", &contract->quota)) {
        snprintf(reason, Fv_REASON_SIZE, "quota is missing or invalid");
        return false;
    }
    return read_workloads(json_object_get(object, "workloads"), contract,
                          reason);
}

/**
 * FvContract_Digest - SHA-256 over the contract's canonical JSON form
 * @contract: the contract
 * @digest: filled with hexadecimal digits; empty when memory is exhausted
 */
void
FvContract_Digest(const fv_contract_t *contract,
                  char digest[Fv_HASH256_HEX_SIZE])
{
    json_t *object = FvContract_ToJson(contract);

    FvJson_Digest(object, digest);
    json_decref(object);
}
