/*
 * Growable byte buffer.
 */

#include "fireflyvalve.h"

#include <stdlib.h>
#include <string.h>

#define Fv_BUFFER_INITIAL_BYTES 512

/**
 * FvBuffer_Append - add bytes at the end
 * @buffer: the buffer; an empty one is all zero
 * @data: the bytes
 * @length: number of bytes
 *
 * A NUL byte, not counted in the length, always follows the data.
 *
 * Return: false when memory is exhausted; the buffer is then unchanged.
 */
bool
FvBuffer_Append(fv_buffer_t *buffer, const void *data, size_t length)
{
    size_t needed = buffer->length + length + 1;

    if (needed > buffer->capacity) {
        size_t capacity =
            buffer->capacity ? buffer->capacity : Fv_BUFFER_INITIAL_BYTES;
        uint8_t *grown;

        while (capacity < needed) {
            capacity *= 2;
        }
        grown = realloc(buffer->data, capacity);
        if (grown == NULL) {
            return false;
        }
        buffer->data = grown;
        buffer->capacity = capacity;
    }
    if (length > 0) {
        memcpy(buffer->data + buffer->length, data, length);
    }
    buffer->length += length;
    buffer->data[buffer->length] = '\0';
    return true;
}

/**
 * FvBuffer_Clear - free the memory and reset the buffer to empty
 * @buffer: the buffer
 */
void
FvBuffer_Clear(fv_buffer_t *buffer)
{
    free(buffer->data);
    *buffer = (fv_buffer_t){0};
}
