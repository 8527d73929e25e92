/*
 * Headers and bodies of answers to callers.
 */

#ifndef CALLER_ANSWER_H
#define CALLER_ANSWER_H

#include <event2/http.h>

void FvCallerAnswer_AddRetryAfter(struct evhttp_request *http,
                                  const char *seconds);
char *FvCallerAnswer_StartProblem(struct evhttp_request *http, int status,
                                  const char *title, const char *detail);

#endif
