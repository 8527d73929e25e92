/*
 * A caller's connection that is kept open for many requests, and what becomes
 * of each request on it.
 */

#ifndef KEPT_CONNECTION_H
#define KEPT_CONNECTION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef enum kept_outcome {
    KEPT_ANSWERED,
    KEPT_CLOSED,   /* end of file or reset before a byte of the answer */
    KEPT_CUT,      /* end of file or reset within the answer */
    KEPT_TIMED_OUT /* neither an answer nor a close in time */
} kept_outcome_t;

typedef struct kept_connection {
    int fd;               /* -1: not connected */
    bool close_announced; /* the last answer had Connection: close */
    const char *api_key;  /* sent with requests; NULL: none */
} kept_connection_t;

typedef struct kept_answer {
    int status;
    int64_t body_length;
    char body[512]; /* its beginning, NUL-terminated */
} kept_answer_t;

bool FvKept_Open(kept_connection_t *connection, int port);
void FvKept_Close(kept_connection_t *connection);
bool FvKept_IsClosedByPeer(const kept_connection_t *connection);
bool FvKept_Send(kept_connection_t *connection, const char *method,
                 const char *path, const char *body);
kept_outcome_t FvKept_Receive(kept_connection_t *connection,
                              int64_t timeout_ms, kept_answer_t *answer);

#endif
