/*
 * Blocking HTTP client for tests, on libcurl.
 */

#include "http-call.h"

#include "fireflyvalve.h"

#include <curl/curl.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

struct http_session {
    CURL *curl;
};

typedef struct transfer {
    const http_call_t *call;
    http_reply_t *reply;
} transfer_t;

static void
init_curl(void)
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
}

/**
 * FvHttpSession_New - allocate a session
 *
 * Return: the session.
 */
http_session_t *
FvHttpSession_New(void)
{
    static pthread_once_t once = PTHREAD_ONCE_INIT;
    http_session_t *session = calloc(1, sizeof(*session));

    pthread_once(&once, init_curl);
    if (session == NULL || (session->curl = curl_easy_init()) == NULL) {
        abort();
    }
    return session;
}

/**
 * FvHttpSession_Free - close a session's connection and free it
 * @session: the session
 */
void
FvHttpSession_Free(http_session_t *session)
{
    curl_easy_cleanup(session->curl);
    free(session);
}

static size_t
receive_body(char *data, size_t size, size_t count, void *context)
{
    const transfer_t *transfer = context;
    http_reply_t *reply = transfer->reply;
    size_t length = size * count;
    char *grown = realloc(reply->body, reply->body_length + length + 1);

    if (grown == NULL) {
        abort();
    }
    reply->body = grown;
    memcpy(reply->body + reply->body_length, data, length);
    reply->body_length += length;
    reply->body[reply->body_length] = 0;
    if (transfer->call->on_data != NULL &&
        !transfer->call->on_data(transfer->call->context, data, length)) {
        return 0;
    }
    return length;
}

/* The line that libcurl passes is not NUL-terminated. */
static void
read_header(const char *line, size_t length, const char *name, char *target,
            size_t size)
{
    char text[256];
    const char *value;

    snprintf(text, sizeof(text), "%.*s", (int)length, line);
    if (strncasecmp(text, name, strlen(name)) != 0) {
        return;
    }
    value = text + strlen(name);
    value += strspn(value, " ");
    snprintf(target, size, "%.*s", (int)strcspn(value, "\r\n"), value);
}

static size_t
receive_header(char *line, size_t size, size_t count, void *context)
{
    http_reply_t *reply = ((const transfer_t *)context)->reply;
    size_t length = size * count;

    read_header(line, length, "Task-State:", reply->task_state,
                sizeof(reply->task_state));
    read_header(line, length, "Fireflyvalve-Outcome:", reply->outcome,
                sizeof(reply->outcome));
    read_header(line, length, "Fireflyvalve-Job:", reply->job,
                sizeof(reply->job));
    return length;
}

static struct curl_slist *
add_header(struct curl_slist *headers, const char *name, const char *value)
{
    char *line = NULL;

    if (value == NULL) {
        return headers;
    }
    if (asprintf(&line, "%s: %s", name, value) < 0) {
        abort();
    }
    headers = curl_slist_append(headers, line);
    free(line);
    return headers;
}

static struct curl_slist *
build_headers(const http_call_t *call)
{
    /* Without Expect: 100-continue a large body is sent at once. */
    struct curl_slist *headers = curl_slist_append(NULL, "Expect:");
    char *bearer = NULL;

    if (call->token != NULL) {
        if (asprintf(&bearer, "Bearer %s", call->token) < 0) {
            abort();
        }
        headers = add_header(headers, "Authorization", bearer);
        free(bearer);
    }
    headers = add_header(headers, "Idempotency-Key", call->idempotency_key);
    headers = add_header(headers, "Api-Key", call->api_key);
    if (call->body != NULL) {
        headers = add_header(headers, "Content-Type", "application/json");
    }
    return headers;
}

static void
set_body(CURL *curl, const http_call_t *call)
{
    bool post = call->method != NULL && strcmp(call->method, "POST") == 0;

    if (call->body != NULL || post) {
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS,
                         call->body != NULL ? call->body : "");
        curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE,
                         (curl_off_t)call->body_length);
    }
    if (call->method != NULL) {
        curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, call->method);
    }
}

static void
set_options(CURL *curl, const http_call_t *call, transfer_t *transfer,
            struct curl_slist *headers)
{
    int64_t timeout_ms =
        call->timeout_ms > 0 ? call->timeout_ms : HTTP_CALL_TIMEOUT_MS;

    curl_easy_reset(curl);
    curl_easy_setopt(curl, CURLOPT_URL, call->url);
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_PROXY, "");
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, receive_body);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, transfer);
    curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, receive_header);
    curl_easy_setopt(curl, CURLOPT_HEADERDATA, transfer);
    set_body(curl, call);
}

/**
 * FvHttpSession_Run - send a request on a session's connection
 * @session: the session
 * @call: the request
 * @reply: filled in; freed with FvHttp_FreeReply()
 *
 * libcurl repeats a request when a reused connection turns out to be closed,
 * so a test that counts requests uses FvHttp_Run().
 */
void
FvHttpSession_Run(http_session_t *session, const http_call_t *call,
                  http_reply_t *reply)
{
    struct curl_slist *headers = build_headers(call);
    transfer_t transfer = {.call = call, .reply = reply};
    int64_t started_ns;
    long status = 0;

    *reply = (http_reply_t){0};
    set_options(session->curl, call, &transfer, headers);
    started_ns = FvClock_NowNs();
    reply->error = curl_easy_perform(session->curl);
    reply->elapsed_us = (FvClock_NowNs() - started_ns) / 1000;
    if (reply->error == CURLE_OK) {
        curl_easy_getinfo(session->curl, CURLINFO_RESPONSE_CODE, &status);
    }
    reply->status = (int)status;
    curl_slist_free_all(headers);
}

/**
 * FvHttp_Run - send a request on a new connection
 * @call: the request
 * @reply: filled in; freed with FvHttp_FreeReply()
 */
void
FvHttp_Run(const http_call_t *call, http_reply_t *reply)
{
    http_session_t *session = FvHttpSession_New();

    FvHttpSession_Run(session, call, reply);
    FvHttpSession_Free(session);
}

/**
 * FvHttp_FreeReply - free a reply's body
 * @reply: the reply
 */
void
FvHttp_FreeReply(http_reply_t *reply)
{
    free(reply->body);
    reply->body = NULL;
    reply->body_length = 0;
}

/**
 * FvHttp_ReplyJson - parse a reply's body
 * @reply: the reply
 *
 * Return: a new reference, or NULL when the body is not JSON.
 */
json_t *
FvHttp_ReplyJson(const http_reply_t *reply)
{
    if (reply->body == NULL) {
        return NULL;
    }
    return json_loadb(reply->body, reply->body_length, 0, NULL);
}

/**
 * FvHttp_GetJson - GET a document without authentication
 * @url: the URL
 *
 * Return: a new reference, or NULL unless the status is 200.
 */
json_t *
FvHttp_GetJson(const char *url)
{
    http_call_t call = {.url = url};
    http_reply_t reply;
    json_t *document = NULL;

    FvHttp_Run(&call, &reply);
    if (reply.status == 200) {
        document = FvHttp_ReplyJson(&reply);
    }
    FvHttp_FreeReply(&reply);
    return document;
}

/**
 * FvHttp_PostJson - POST a document without authentication
 * @url: the URL
 * @body: the document; the function takes the reference
 * @reply: set to the response's document, or to NULL when the body is not
 * JSON; may be NULL
 *
 * Return: the HTTP status; 0 without a complete response.
 */
int
FvHttp_PostJson(const char *url, json_t *body, json_t **reply)
{
    char *text = json_dumps(body, JSON_COMPACT);
    http_call_t call = {.method = "POST", .url = url, .body = text};
    http_reply_t http;
    int status;

    json_decref(body);
    if (text == NULL) {
        abort();
    }
    call.body_length = strlen(text);
    FvHttp_Run(&call, &http);
    if (reply != NULL) {
        *reply = FvHttp_ReplyJson(&http);
    }
    status = http.status;
    FvHttp_FreeReply(&http);
    free(text);
    return status;
}
