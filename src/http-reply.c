/*
 * HTTP responses to callers: headers, problem+json documents and bodies.
 */

#include "daemon.h"

#include <civetweb.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#define Fv_HEADER_SIZE 1024
#define Fv_DETAIL_SIZE 512
#define Fv_WRITE_CHUNK_BYTES (64 * 1024)
/* After a grace period, the connection of a caller whose average read rate is
 * below the minimum is closed. */
#define Fv_WRITE_GRACE_MS 10000
#define Fv_WRITE_MIN_RATE_BYTES_PER_MS 128

/**
 * FvHttpReply_StatusText - reason phrase of a status code
 * @status: HTTP status
 *
 * Return: the phrase.
 */
const char *
FvHttpReply_StatusText(int32_t status)
{
    return mg_get_response_code_text(NULL, status);
}

/**
 * FvHttpReply_MakeProblem - build an application/problem+json document
 * @status: HTTP status
 * @outcome: the job's outcome if the error ends the job, else NULL
 * @retry_after_ms: delay before a retry; 0: none given
 * @detail: explanation for the caller
 *
 * Return: the document, or NULL when memory is exhausted.
 */
json_t *
FvHttpReply_MakeProblem(int32_t status, const char *outcome,
                        int64_t retry_after_ms, const char *detail)
{
    json_t *problem = json_pack("{s:s, s:s, s:i, s:s}", "type", "about:blank",
                                "title", FvHttpReply_StatusText(status),
                                "status", (int)status, "detail", detail);

    if (problem == NULL) {
        return NULL;
    }
    if (retry_after_ms > 0) {
        json_object_set_new(problem, "retry_after_ms",
                            json_integer(retry_after_ms));
    }
    if (outcome != NULL && outcome[0] != '\0') {
        json_object_set_new(problem, "outcome", json_string(outcome));
    }
    return problem;
}

static void
add_header(char *headers, const char *name, const char *value)
{
    size_t used = strlen(headers);

    if (value != NULL && value[0] != '\0') {
        snprintf(headers + used, Fv_HEADER_SIZE - used, "%s: %s\r\n", name,
                 value);
    }
}

static void
add_number_header(char *headers, const char *name, int64_t value)
{
    char text[24];

    snprintf(text, sizeof(text), "%" PRId64, value);
    add_header(headers, name, text);
}

static void
build_headers(const fv_http_reply_t *reply, char headers[Fv_HEADER_SIZE])
{
    snprintf(headers, Fv_HEADER_SIZE, "HTTP/1.1 %d %s\r\n", (int)reply->status,
             FvHttpReply_StatusText(reply->status));
    add_header(headers, "Content-Type", reply->content_type);
    add_number_header(headers, "Content-Length", (int64_t)reply->length);
    add_header(headers, "Cache-Control", "no-store");
    add_header(headers, "Allow", reply->allow);
    add_header(headers, "Fireflyvalve-Job", reply->job);
    add_header(headers, "Fireflyvalve-Outcome", reply->outcome);
    if (reply->status == 401) {
        add_header(headers, "WWW-Authenticate", "Bearer");
    }
    if (reply->retry_after_ms > 0) {
        add_number_header(headers, "Retry-After",
                          (reply->retry_after_ms + Fv_MS_PER_S - 1) /
                              Fv_MS_PER_S);
    }
    add_header(headers, "Connection", reply->close ? "close" : "keep-alive");
    strncat(headers, "\r\n", Fv_HEADER_SIZE - strlen(headers) - 1);
}

static bool
write_body(struct mg_connection *connection, const uint8_t *data,
           size_t length)
{
    int64_t start_ms = FvClock_NowMs();
    size_t sent = 0;

    while (sent < length) {
        size_t part = length - sent < Fv_WRITE_CHUNK_BYTES
                          ? length - sent
                          : Fv_WRITE_CHUNK_BYTES;
        int64_t allowed_ms = Fv_WRITE_GRACE_MS +
                             (int64_t)(sent / Fv_WRITE_MIN_RATE_BYTES_PER_MS);

        if (mg_write(connection, data + sent, part) != (int)part ||
            FvClock_NowMs() - start_ms > allowed_ms) {
            return false;
        }
        sent += part;
    }
    return true;
}

/**
 * FvHttpReply_Send - write a response
 * @connection: the caller's connection
 * @reply: the response
 *
 * The connection is closed if the write fails.
 */
void
FvHttpReply_Send(struct mg_connection *connection,
                 const fv_http_reply_t *reply)
{
    char headers[Fv_HEADER_SIZE];
    size_t length;
    bool sent;

    build_headers(reply, headers);
    length = strlen(headers);
    sent = mg_write(connection, headers, length) == (int)length;
    if (sent && !reply->head) {
        sent = write_body(connection, reply->body, reply->length);
    }
    if (!sent || reply->close) {
        mg_disable_connection_keep_alive(connection);
    }
}

static void
send_json(struct mg_connection *connection, fv_http_reply_t *reply,
          const json_t *json)
{
    char *text = json_dumps(json, JSON_COMPACT);

    reply->body = text;
    reply->length = text != NULL ? strlen(text) : 0;
    reply->status = text != NULL ? reply->status : 500;
    FvHttpReply_Send(connection, reply);
    free(text);
}

/**
 * FvHttpReply_SendProblem - write an error response
 * @connection: the caller's connection
 * @reply: the response without its body
 * @format: explanation for the caller
 */
void
FvHttpReply_SendProblem(struct mg_connection *connection,
                        const fv_http_reply_t *reply, const char *format, ...)
{
    fv_http_reply_t full = *reply;
    char detail[Fv_DETAIL_SIZE];
    json_t *problem;
    va_list arguments;

    va_start(arguments, format);
    vsnprintf(detail, sizeof(detail), format, arguments);
    va_end(arguments);
    problem = FvHttpReply_MakeProblem(reply->status, reply->outcome,
                                      reply->retry_after_ms, detail);
    full.content_type = "application/problem+json";
    send_json(connection, &full, problem);
    json_decref(problem);
}

/**
 * FvHttpReply_SendTicket - write the scheduler's reply to a request
 * @connection: the caller's connection
 * @ticket: the ticket, after FvTicket_Wait()
 * @close: whether to close the connection
 */
void
FvHttpReply_SendTicket(struct mg_connection *connection,
                       const fv_ticket_t *ticket, bool close)
{
    fv_http_reply_t reply = {
        .status = ticket->status,
        .content_type = ticket->status >= 400 ? "application/problem+json"
                                              : "application/json",
        .retry_after_ms = ticket->retry_after_ms,
        .job = ticket->job,
        .outcome = ticket->outcome,
        .close = close,
    };

    if (ticket->raw != NULL) {
        reply.content_type = "application/octet-stream";
        reply.body = ticket->raw;
        reply.length = ticket->raw_length;
        FvHttpReply_Send(connection, &reply);
    }
    else {
        send_json(connection, &reply, ticket->reply);
    }
}
