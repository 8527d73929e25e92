/*
 * Reads a request body, limited in size and time.
 */

#include "daemon.h"

#include <civetweb.h>

/*
 * The largest payload, 262144 bytes, takes 349528 bytes in base64, and little
 * more than its own size as JSON text with few escapes. Text with many escapes
 * may exceed the limit; it has to be sent as payload_base64.
 */
#define Fv_BODY_MAX_BYTES (512 * 1024)
#define Fv_BODY_TIMEOUT_MS 10000
/*
 * mg_read() returns when it has all requested bytes, or after 2 s without any.
 * Small reads allow the total time to be checked when a client sends slowly.
 * With 32 bytes the largest payload takes about 11000 calls.
 */
#define Fv_READ_CHUNK_BYTES 32

/* mg_read() returns no bytes both at the end of the body and on a timeout. */
static fv_http_body_error_t
classify_end(const struct mg_request_info *info, size_t length,
             int64_t started_ms, int read_result, int64_t read_started_ms)
{
    int64_t now_ms = FvClock_NowMs();

    if (info->content_length >= 0 && (size_t)info->content_length == length) {
        return Fv_HTTP_BODY_OK;
    }
    if (now_ms - started_ms >= Fv_BODY_TIMEOUT_MS ||
        now_ms - read_started_ms >= Fv_HTTP_READ_TIMEOUT_MS) {
        return Fv_HTTP_BODY_TIMED_OUT;
    }
    if (info->content_length < 0 && read_result == 0) {
        return Fv_HTTP_BODY_OK;
    }
    return Fv_HTTP_BODY_TRUNCATED;
}

/**
 * FvHttpBody_Read - read the whole request body
 * @connection: the caller's connection
 * @body: an empty buffer; the caller clears it
 *
 * Memory is allocated as bytes arrive, not from the Content-Length.
 *
 * Return: Fv_HTTP_BODY_OK when the body is complete.
 */
fv_http_body_error_t
FvHttpBody_Read(struct mg_connection *connection, fv_buffer_t *body)
{
    const struct mg_request_info *info = mg_get_request_info(connection);
    int64_t started_ms = FvClock_NowMs();
    uint8_t chunk[Fv_READ_CHUNK_BYTES];

    if (info->content_length > Fv_BODY_MAX_BYTES) {
        return Fv_HTTP_BODY_TOO_LARGE;
    }
    for (;;) {
        int64_t read_started_ms = FvClock_NowMs();
        int count = mg_read(connection, chunk, sizeof(chunk));

        if (count <= 0) {
            return classify_end(info, body->length, started_ms, count,
                                read_started_ms);
        }
        if (body->length + (size_t)count > Fv_BODY_MAX_BYTES) {
            return Fv_HTTP_BODY_TOO_LARGE;
        }
        if (!FvBuffer_Append(body, chunk, (size_t)count)) {
            return Fv_HTTP_BODY_NO_MEMORY;
        }
        if (FvClock_NowMs() - started_ms >= Fv_BODY_TIMEOUT_MS) {
            return Fv_HTTP_BODY_TIMED_OUT;
        }
    }
}
