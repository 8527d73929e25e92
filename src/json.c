/*
 * Typed access to members of untrusted JSON objects.
 */

#include "fireflyvalve.h"

/**
 * FvJson_String - read a string
 * @object: the object, or NULL
 * @key: the member's name
 *
 * Return: the string, or NULL when the member is absent or of another type.
 */
const char *
FvJson_String(const json_t *object, const char *key)
{
    return json_string_value(json_object_get(object, key));
}

/**
 * FvJson_Int - read an integer
 * @object: the object, or NULL
 * @key: the member's name
 * @fallback: returned when the member is absent or of another type
 *
 * Decimal strings are accepted, since etcd encodes 64-bit integers as strings.
 *
 * Return: the value.
 */
int64_t
FvJson_Int(const json_t *object, const char *key, int64_t fallback)
{
    const json_t *value = json_object_get(object, key);
    const char *text = json_string_value(value);
    char *end = NULL;
    int64_t number;

    if (json_is_integer(value)) {
        return json_integer_value(value);
    }
    if (text == NULL || *text == '\0') {
        return fallback;
    }
    number = strtoll(text, &end, 10);
    return *end == '\0' ? number : fallback;
}

/**
 * FvJson_ReadInt - read an optional integer within limits
 * @object: the object, or NULL
 * @key: the member's name
 * @min: the smallest valid value
 * @max: the largest valid value
 * @value: set; unchanged when the member is absent or invalid
 *
 * Return: false when the member is of another type or outside of the limits.
 */
bool
FvJson_ReadInt(const json_t *object, const char *key, int64_t min, int64_t max,
               int64_t *value)
{
    const json_t *member = json_object_get(object, key);
    int64_t number = json_integer_value(member);

    if (member == NULL) {
        return true;
    }
    if (!json_is_integer(member) || number < min || number > max) {
        return false;
    }
    *value = number;
    return true;
}

/**
 * FvJson_Bool - read a boolean
 * @object: the object, or NULL
 * @key: the member's name
 * @fallback: returned when the member is absent or of another type
 *
 * Return: the value.
 */
bool
FvJson_Bool(const json_t *object, const char *key, bool fallback)
{
    const json_t *value = json_object_get(object, key);

    return json_is_boolean(value) ? json_is_true(value) : fallback;
}

/**
 * FvJson_CopyString - read a string into a fixed array
 * @object: the object, or NULL
 * @key: the member's name
 * @target: the array; set to "" on failure
 * @size: size of the array
 *
 * Return: false when the member is absent, of another type or too long.
 */
bool
FvJson_CopyString(const json_t *object, const char *key, char *target,
                  size_t size)
{
    const char *text = FvJson_String(object, key);

    if (text == NULL || !FvText_Copy(target, size, text)) {
        target[0] = '\0';
        return false;
    }
    return true;
}

/**
 * FvJson_Depth - nesting depth of arrays and objects in a JSON text
 * @text: the text; needn't be valid JSON
 * @length: length of the text
 *
 * Return: the largest number of brackets open at the same time.
 */
size_t
FvJson_Depth(const char *text, size_t length)
{
    bool quoted = false;
    size_t deepest = 0;
    size_t depth = 0;

    for (size_t i = 0; i < length; i++) {
        char c = text[i];

        if (quoted && c == '\\') {
            i++;
        }
        else if (c == '"') {
            quoted = !quoted;
        }
        else if (!quoted && (c == '[' || c == '{')) {
            depth++;
            deepest = depth > deepest ? depth : deepest;
        }
        else if (!quoted && (c == ']' || c == '}') && depth > 0) {
            depth--;
        }
    }
    return deepest;
}
