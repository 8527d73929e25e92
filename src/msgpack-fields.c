/*
 * Encoding and decoding of msgpack arrays, field by field, for messages
 * between hosts and for records in the store.
 */

#include "msgpack-fields.h"

#include <stdlib.h>
#include <string.h>

/**
 * FvPack_Text - append a string
 * @packer: the packer
 * @text: the string; NULL is written as an empty string
 */
void
FvPack_Text(msgpack_packer *packer, const char *text)
{
    size_t length = text ? strlen(text) : 0;

    msgpack_pack_str(packer, length);
    msgpack_pack_str_body(packer, text ? text : "", length);
}

/**
 * FvPack_Bytes - append bytes
 * @packer: the packer
 * @data: the bytes; may be NULL when @length is 0
 * @length: number of bytes
 */
void
FvPack_Bytes(msgpack_packer *packer, const void *data, size_t length)
{
    msgpack_pack_bin(packer, length);
    msgpack_pack_bin_body(packer, data ? data : "", length);
}

/**
 * FvPack_Bool - append a boolean
 * @packer: the packer
 * @value: the value
 */
void
FvPack_Bool(msgpack_packer *packer, bool value)
{
    if (value) {
        msgpack_pack_true(packer);
    }
    else {
        msgpack_pack_false(packer);
    }
}

/**
 * FvFields_Open - parse a msgpack array and start reading its fields
 * @reader: set to the first field
 * @unpacked: owns the fields; the caller destroys it, also on failure
 * @data: the encoded array
 * @length: number of bytes
 *
 * Return: false when the data isn't exactly one msgpack array.
 */
bool
FvFields_Open(fv_field_reader_t *reader, msgpack_unpacked *unpacked,
              const void *data, size_t length)
{
    size_t used = 0;

    *reader = (fv_field_reader_t){.failed = true};
    msgpack_unpacked_init(unpacked);
    if (msgpack_unpack_next(unpacked, data, length, &used) ==
            MSGPACK_UNPACK_SUCCESS &&
        used == length && unpacked->data.type == MSGPACK_OBJECT_ARRAY) {
        *reader = (fv_field_reader_t){.fields = unpacked->data.via.array.ptr,
                                      .count = unpacked->data.via.array.size};
    }
    return !reader->failed;
}

static const msgpack_object *
next_field(fv_field_reader_t *reader, msgpack_object_type type)
{
    const msgpack_object *field;

    if (reader->failed || reader->next >= reader->count) {
        reader->failed = true;
        return NULL;
    }
    field = &reader->fields[reader->next++];
    if (field->type != type) {
        reader->failed = true;
        return NULL;
    }
    return field;
}

/**
 * FvFields_Text - read a string into a fixed array
 * @reader: the reader
 * @target: the array; set to "" on failure
 * @size: size of the array; a string that doesn't fit is an error
 */
void
FvFields_Text(fv_field_reader_t *reader, char *target, size_t size)
{
    const msgpack_object *field = next_field(reader, MSGPACK_OBJECT_STR);
    uint32_t length = field != NULL ? field->via.str.size : 0;

    target[0] = '\0';
    if (length == 0) {
        return; /* the pointer of an empty string may be NULL */
    }
    if (length >= size || memchr(field->via.str.ptr, '\0', length) != NULL) {
        reader->failed = true;
        return;
    }
    memcpy(target, field->via.str.ptr, length);
    target[length] = '\0';
}

/**
 * FvFields_DupText - read a string of any length
 * @reader: the reader
 *
 * Return: a copy, freed by the caller, or NULL on failure.
 */
char *
FvFields_DupText(fv_field_reader_t *reader)
{
    const msgpack_object *field = next_field(reader, MSGPACK_OBJECT_STR);
    char *text;

    if (field == NULL) {
        return NULL;
    }
    text = strndup(field->via.str.size > 0 ? field->via.str.ptr : "",
                   field->via.str.size);
    reader->failed = text == NULL;
    return text;
}

/**
 * FvFields_ViewBytes - read bytes without copying them
 * @reader: the reader
 * @length: set to the number of bytes
 *
 * Return: a pointer into the encoded data, or NULL on failure or when there
 * are no bytes.
 */
const char *
FvFields_ViewBytes(fv_field_reader_t *reader, size_t *length)
{
    const msgpack_object *field = next_field(reader, MSGPACK_OBJECT_BIN);

    *length = field != NULL ? field->via.bin.size : 0;
    return *length > 0 ? field->via.bin.ptr : NULL;
}

/**
 * FvFields_DupBytes - read bytes into a new allocation
 * @reader: the reader
 * @length: set to the number of bytes
 *
 * Return: a copy, freed by the caller, or NULL on failure.
 */
uint8_t *
FvFields_DupBytes(fv_field_reader_t *reader, size_t *length)
{
    const char *view = FvFields_ViewBytes(reader, length);
    uint8_t *data = reader->failed ? NULL : malloc(*length + 1);

    if (data == NULL) {
        reader->failed = true;
        *length = 0;
        return NULL;
    }
    if (view != NULL) {
        memcpy(data, view, *length);
    }
    return data;
}

/**
 * FvFields_Int - read an integer
 * @reader: the reader
 * @low: lowest valid value
 * @high: highest valid value
 *
 * Return: the integer, or @low on failure.
 */
int64_t
FvFields_Int(fv_field_reader_t *reader, int64_t low, int64_t high)
{
    const msgpack_object *field;
    int64_t value = 0;

    if (reader->failed || reader->next >= reader->count) {
        reader->failed = true;
        return low;
    }
    field = &reader->fields[reader->next++];
    if (field->type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
        field->via.u64 <= INT64_MAX) {
        value = (int64_t)field->via.u64;
    }
    else if (field->type == MSGPACK_OBJECT_NEGATIVE_INTEGER) {
        value = field->via.i64;
    }
    else {
        reader->failed = true;
        return low;
    }
    if (value < low || value > high) {
        reader->failed = true;
        return low;
    }
    return value;
}

/**
 * FvFields_U64 - read an unsigned integer
 * @reader: the reader
 *
 * Return: the integer, or 0 on failure.
 */
uint64_t
FvFields_U64(fv_field_reader_t *reader)
{
    const msgpack_object *field =
        next_field(reader, MSGPACK_OBJECT_POSITIVE_INTEGER);

    return field ? field->via.u64 : 0;
}

/**
 * FvFields_Bool - read a boolean
 * @reader: the reader
 *
 * Return: the value, or false on failure.
 */
bool
FvFields_Bool(fv_field_reader_t *reader)
{
    const msgpack_object *field = next_field(reader, MSGPACK_OBJECT_BOOLEAN);

    return field != NULL && field->via.boolean;
}

/**
 * FvFields_Array - read a nested array
 * @reader: the reader
 *
 * Return: a reader of the array's fields; its @failed is set on failure.
 */
fv_field_reader_t
FvFields_Array(fv_field_reader_t *reader)
{
    const msgpack_object *field = next_field(reader, MSGPACK_OBJECT_ARRAY);

    if (field == NULL) {
        return (fv_field_reader_t){.failed = true};
    }
    return (fv_field_reader_t){.fields = field->via.array.ptr,
                               .count = field->via.array.size};
}
