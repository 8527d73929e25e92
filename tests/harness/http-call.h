/*
 * Blocking HTTP client for tests, on libcurl.
 */

#ifndef HTTP_CALL_H
#define HTTP_CALL_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Default timeout of a request. */
#define HTTP_CALL_TIMEOUT_MS 10000

typedef struct http_call {
    const char *method; /* NULL: GET, or POST with a body */
    const char *url;
    const char *token; /* NULL: no Authorization header */
    const char *idempotency_key;
    const char *api_key; /* NULL: no Api-Key header */
    const char *body;
    size_t body_length;
    int64_t timeout_ms; /* timeout; 0: HTTP_CALL_TIMEOUT_MS */
    /* Receives each part of the response body; false aborts the request. */
    bool (*on_data)(void *context, const char *data, size_t length);
    void *context;
} http_call_t;

typedef struct http_reply {
    int status; /* 0: no complete response */
    int error;  /* CURLcode */
    char *body; /* NUL-terminated */
    size_t body_length;
    char task_state[16]; /* Task-State */
    char outcome[16];    /* Fireflyvalve-Outcome */
    char job[160];       /* Fireflyvalve-Job */
    int64_t elapsed_us;
} http_reply_t;

/* Reuses a connection for several requests; used by one thread at a time. */
typedef struct http_session http_session_t;

http_session_t *FvHttpSession_New(void);
void FvHttpSession_Free(http_session_t *session);
void FvHttpSession_Run(http_session_t *session, const http_call_t *call,
                       http_reply_t *reply);
void FvHttp_Run(const http_call_t *call, http_reply_t *reply);
void FvHttp_FreeReply(http_reply_t *reply);
json_t *FvHttp_ReplyJson(const http_reply_t *reply);
json_t *FvHttp_GetJson(const char *url);
int FvHttp_PostJson(const char *url, json_t *body, json_t **reply);

#endif
