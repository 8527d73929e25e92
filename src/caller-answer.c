/*
 * Headers and bodies of answers to callers.
 */

#include "caller-answer.h"

#include "platform.h"

/**
 * FvCallerAnswer_AddRetryAfter - tell a caller when to come back
 * @http: the request; unchanged if its answer has a Retry-After
 * @seconds: the time in whole seconds
 */
void
FvCallerAnswer_AddRetryAfter(struct evhttp_request *http, const char *seconds)
{
    struct evkeyvalq *headers = evhttp_request_get_output_headers(http);

    if (evhttp_find_header(headers, "Retry-After") == NULL) {
        evhttp_add_header(headers, "Retry-After", seconds);
    }
}

/**
 * FvCallerAnswer_StartProblem - prepare an answer that tells its cause
 * @http: the request
 * @status: the status
 * @title: its name
 * @detail: the cause
 *
 * Return: the body, to be freed by the caller.
 */
char *
FvCallerAnswer_StartProblem(struct evhttp_request *http, int status,
                            const char *title, const char *detail)
{
    struct evkeyvalq *headers = evhttp_request_get_output_headers(http);

    evhttp_add_header(headers, "Content-Type", FvPlatform_ProblemType);
    if (status == 401) {
        evhttp_add_header(headers, "WWW-Authenticate", FvPlatform_KeyHeader);
    }
    return FvPlatform_EncodeProblem(status, title, detail);
}
