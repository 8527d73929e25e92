/*
 * Reading and writing of fields of msgpack arrays, for messages between hosts
 * and for records in the store.
 */

#include "packed.h"

#include <stdlib.h>
#include <string.h>

/**
 * FvPack_Text - append a text
 * @packer: the packer
 * @text: the text; NULL is written as an empty one
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
 * @data: the bytes; NULL when there are none
 * @length: how many
 */
void
FvPack_Bytes(msgpack_packer *packer, const void *data, size_t length)
{
    msgpack_pack_bin(packer, length);
    msgpack_pack_bin_body(packer, data ? data : "", length);
}

/**
 * FvPack_Bool - append a truth value
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
 * FvFields_Open - read one msgpack array that fills its bytes
 * @reader: set to its fields
 * @unpacked: owns them; released by the caller in any case
 * @data: the bytes
 * @length: how many
 *
 * Return: false when the bytes are anything else.
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
 * FvFields_Text - read a text
 * @reader: the reader
 * @target: receives it; empty after a fault
 * @size: its size; a longer text is a fault
 */
void
FvFields_Text(fv_field_reader_t *reader, char *target, size_t size)
{
    const msgpack_object *field = next_field(reader, MSGPACK_OBJECT_STR);
    uint32_t length = field != NULL ? field->via.str.size : 0;

    target[0] = '\0';
    if (length == 0) {
        return; /* an empty text has no address */
    }
    if (length >= size || memchr(field->via.str.ptr, '\0', length) != NULL) {
        reader->failed = true;
        return;
    }
    memcpy(target, field->via.str.ptr, length);
    target[length] = '\0';
}

/**
 * FvFields_DupText - read a text of any length
 * @reader: the reader
 *
 * Return: the text, to be freed by the caller, or NULL.
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
 * @length: set to how many
 *
 * Return: the bytes, which live as long as the message, or NULL.
 */
const char *
FvFields_ViewBytes(fv_field_reader_t *reader, size_t *length)
{
    const msgpack_object *field = next_field(reader, MSGPACK_OBJECT_BIN);

    *length = field != NULL ? field->via.bin.size : 0;
    return *length > 0 ? field->via.bin.ptr : NULL;
}

/**
 * FvFields_DupBytes - read bytes
 * @reader: the reader
 * @length: set to how many
 *
 * Return: the bytes, to be freed by the caller, or NULL after a fault.
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
 * @low: the lowest that is no fault
 * @high: the highest
 *
 * Return: the integer, @low after a fault.
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
 * FvFields_U64 - read an integer that is not negative
 * @reader: the reader
 *
 * Return: the integer, 0 after a fault.
 */
uint64_t
FvFields_U64(fv_field_reader_t *reader)
{
    const msgpack_object *field =
        next_field(reader, MSGPACK_OBJECT_POSITIVE_INTEGER);

    return field ? field->via.u64 : 0;
}

/**
 * FvFields_Bool - read a truth value
 * @reader: the reader
 *
 * Return: the value, false after a fault.
 */
bool
FvFields_Bool(fv_field_reader_t *reader)
{
    const msgpack_object *field = next_field(reader, MSGPACK_OBJECT_BOOLEAN);

    return field != NULL && field->via.boolean;
}

/**
 * FvFields_Array - read an array
 * @reader: the reader
 *
 * Return: a reader of its fields, failed when there is none.
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
