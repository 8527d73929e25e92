/*
 * Arithmetic on resource vectors: CPU, memory, accelerators and slots.
 */

#include "fireflyvalve.h"

/**
 * FvResources_Fits - check whether a request fits into the free capacity
 * @size: the requested resources
 * @free: the free capacity; negative when a worker with overcommitted
 *        resources was taken over
 *
 * Return: true when every resource suffices.
 */
bool
FvResources_Fits(const fv_resources_t *size, const fv_resources_t *free)
{
    return size->cpu_millis <= free->cpu_millis &&
           size->memory_bytes <= free->memory_bytes &&
           size->accelerators <= free->accelerators &&
           size->slots <= free->slots;
}

/**
 * FvResources_Add - add resources to a total
 * @total: the total
 * @part: the resources to add
 */
void
FvResources_Add(fv_resources_t *total, const fv_resources_t *part)
{
    total->cpu_millis += part->cpu_millis;
    total->memory_bytes += part->memory_bytes;
    total->accelerators += part->accelerators;
    total->slots += part->slots;
}

/**
 * FvResources_Subtract - subtract resources from a total
 * @total: the total
 * @part: the resources to subtract
 */
void
FvResources_Subtract(fv_resources_t *total, const fv_resources_t *part)
{
    total->cpu_millis -= part->cpu_millis;
    total->memory_bytes -= part->memory_bytes;
    total->accelerators -= part->accelerators;
    total->slots -= part->slots;
}

/**
 * FvResources_ToJson - encode as a RESOURCES object of docs/protocol.md
 * @resources: the resources
 *
 * Return: a new reference, or NULL when memory is exhausted.
 */
json_t *
FvResources_ToJson(const fv_resources_t *resources)
{
    return json_pack("{s:I, s:I, s:i, s:i}", "cpu_millis",
                     (json_int_t)resources->cpu_millis, "memory_bytes",
                     (json_int_t)resources->memory_bytes, "accelerators",
                     (int)resources->accelerators, "slots",
                     (int)resources->slots);
}

/* Reads one amount; an absent field counts as 0. */
static bool
read_amount(const json_t *object, const char *key, int64_t max, int64_t *value)
{
    const json_t *field = json_object_get(object, key);

    *value = json_integer_value(field);
    return (field == NULL || json_is_integer(field)) && *value >= 0 &&
           *value <= max;
}

/**
 * FvResources_FromJson - decode a RESOURCES object of docs/protocol.md
 * @object: the JSON value
 * @resources: set when the value is valid
 *
 * Return: false when the value isn't an object, or an amount isn't an integer
 * or is out of range.
 */
bool
FvResources_FromJson(const json_t *object, fv_resources_t *resources)
{
    int64_t cpu_millis;
    int64_t memory_bytes;
    int64_t accelerators;
    int64_t slots;

    if (!json_is_object(object) ||
        !read_amount(object, "cpu_millis", INT64_MAX / 2, &cpu_millis) ||
        !read_amount(object, "memory_bytes", INT64_MAX / 2, &memory_bytes) ||
        !read_amount(object, "accelerators", INT32_MAX / 2, &accelerators) ||
        !read_amount(object, "slots", INT32_MAX / 2, &slots)) {
        return false;
    }
    *resources = (fv_resources_t){.cpu_millis = cpu_millis,
                                  .memory_bytes = memory_bytes,
                                  .accelerators = (int32_t)accelerators,
                                  .slots = (int32_t)slots};
    return true;
}
