/*
 * Encoding and decoding of msgpack arrays, field by field. Errors are sticky:
 * after a failed read all further reads fail and return zero or the lowest
 * valid value, so the caller checks @failed only once, after the last field.
 */

#ifndef MSGPACK_FIELDS_H
#define MSGPACK_FIELDS_H

#include "fireflyvalve.h"

#include <msgpack.h>

typedef struct fv_field_reader {
    const msgpack_object *fields;
    uint32_t count;
    uint32_t next;
    bool failed;
} fv_field_reader_t;

void FvPack_Text(msgpack_packer *packer, const char *text);
void FvPack_Bytes(msgpack_packer *packer, const void *data, size_t length);
void FvPack_Bool(msgpack_packer *packer, bool value);

bool FvFields_Open(fv_field_reader_t *reader, msgpack_unpacked *unpacked,
                   const void *data, size_t length);
void FvFields_Text(fv_field_reader_t *reader, char *target, size_t size);
char *FvFields_DupText(fv_field_reader_t *reader);
const char *FvFields_ViewBytes(fv_field_reader_t *reader, size_t *length);
uint8_t *FvFields_DupBytes(fv_field_reader_t *reader, size_t *length);
int64_t FvFields_Int(fv_field_reader_t *reader, int64_t low, int64_t high);
uint64_t FvFields_U64(fv_field_reader_t *reader);
bool FvFields_Bool(fv_field_reader_t *reader);
fv_field_reader_t FvFields_Array(fv_field_reader_t *reader);

#endif
