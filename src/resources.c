/*
 * Arithmetic on amounts of processors, memory, accelerators and slots.
 */

#include "fireflyvalve.h"

/**
 * FvResources_Fits - whether an amount is available in every resource
 * @size: the amount wanted
 * @free: the amount available; may be negative after an adopted overcommit
 *
 * Return: true when @size fits.
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
 * FvResources_Add - add an amount to a total
 * @total: the total
 * @part: the amount
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
 * FvResources_Subtract - subtract an amount from a total
 * @total: the total
 * @part: the amount
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
 * FvResources_ToJson - the RESOURCES object of docs/protocol.md
 * @resources: the amounts
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

/* Reads one amount; an absent field is 0. */
static bool
read_amount(const json_t *object, const char *key, int64_t max, int64_t *value)
{
    const json_t *field = json_object_get(object, key);

    *value = json_integer_value(field);
    return (field == NULL || json_is_integer(field)) && *value >= 0 &&
           *value <= max;
}

/**
 * FvResources_FromJson - read a RESOURCES object
 * @object: the JSON value
 * @resources: set when the value is valid
 *
 * Return: false when it is no object or an amount is negative, out of range or
 * not an integer.
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
