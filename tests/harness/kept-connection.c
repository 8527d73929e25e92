/*
 * A caller's connection that is kept open for many requests.
 */

#include "kept-connection.h"

#include "fireflyvalve.h"
#include "http-socket.h"

#include <errno.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#define KEPT_HEAD_MAX_BYTES 4096

/**
 * FvKept_Open - connect to a port on loopback
 * @connection: filled in
 * @port: the port
 *
 * Return: false when the connection is refused.
 */
bool
FvKept_Open(kept_connection_t *connection, int port)
{
    *connection =
        (kept_connection_t){.fd = FvHttpSocket_Connect((uint16_t)port)};
    return connection->fd >= 0;
}

/**
 * FvKept_Close - close a connection
 * @connection: the connection, open or not
 */
void
FvKept_Close(kept_connection_t *connection)
{
    if (connection->fd >= 0) {
        close(connection->fd);
    }
    connection->fd = -1;
}

/**
 * FvKept_IsClosedByPeer - whether the peer has closed an idle connection
 * @connection: the connection, open
 *
 * Return: true when a request on it could not be answered any more.
 */
bool
FvKept_IsClosedByPeer(const kept_connection_t *connection)
{
    char byte;
    ssize_t count =
        recv(connection->fd, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);

    return count == 0 ||
           (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

/**
 * FvKept_Send - send a request
 * @connection: the connection
 * @method: the method
 * @path: the path
 * @body: the body, or NULL
 *
 * Return: false when the connection does not take it.
 */
bool
FvKept_Send(kept_connection_t *connection, const char *method,
            const char *path, const char *body)
{
    size_t length = body != NULL ? strlen(body) : 0;
    const char *key = connection->api_key;
    size_t size =
        length + strlen(path) + (key != NULL ? strlen(key) : 0) + 256;
    char *text = malloc(size);
    bool sent;

    if (text == NULL) {
        abort();
    }
    snprintf(text, size,
             "%s %s HTTP/1.1\r\nHost: 127.0.0.1\r\n%s%s%s"
             "Content-Length: %zu\r\n\r\n%s",
             method, path, key != NULL ? "Api-Key: " : "",
             key != NULL ? key : "", key != NULL ? "\r\n" : "", length,
             body != NULL ? body : "");
    sent = FvHttpSocket_Send(connection->fd, text);
    free(text);
    return sent;
}

/* Reads what is there; 0 at the end, -1 when the time is over. */
static ssize_t
read_some(int fd, char *target, size_t size, int64_t until_ms)
{
    int64_t left_ms = until_ms - FvClock_NowMs();
    struct pollfd poll_entry = {.fd = fd, .events = POLLIN};
    ssize_t count;

    if (left_ms <= 0 || poll(&poll_entry, 1, (int)left_ms) <= 0) {
        return -1;
    }
    count = recv(fd, target, size, 0);
    return count > 0 ? count : 0;
}

static void
read_head(const char *head, kept_connection_t *connection,
          kept_answer_t *answer)
{
    const char *line = strstr(head, "\r\n");

    answer->status = (int)strtol(head + strlen("HTTP/1.1 "), NULL, 10);
    connection->close_announced = false;
    while (line != NULL) {
        line += 2;
        if (strncasecmp(line, "Content-Length:", 15) == 0) {
            answer->body_length = strtoll(line + 15, NULL, 10);
        }
        else if (strncasecmp(line, "Connection: close", 17) == 0) {
            connection->close_announced = true;
        }
        line = strstr(line, "\r\n");
    }
}

/**
 * FvKept_Receive - receive the answer to the request that was sent
 * @connection: the connection
 * @timeout_ms: for how long
 * @answer: filled in with a whole answer
 *
 * Return: what became of the request.
 */
kept_outcome_t
FvKept_Receive(kept_connection_t *connection, int64_t timeout_ms,
               kept_answer_t *answer)
{
    int64_t until_ms = FvClock_NowMs() + timeout_ms;
    char text[KEPT_HEAD_MAX_BYTES + 1] = "";
    char *end = NULL;
    size_t used = 0;
    int64_t received;

    *answer = (kept_answer_t){0};
    while (end == NULL && used < KEPT_HEAD_MAX_BYTES) {
        ssize_t count = read_some(connection->fd, text + used,
                                  KEPT_HEAD_MAX_BYTES - used, until_ms);

        if (count <= 0) {
            return count < 0   ? KEPT_TIMED_OUT
                   : used == 0 ? KEPT_CLOSED
                               : KEPT_CUT;
        }
        used += (size_t)count;
        text[used] = '\0';
        end = strstr(text, "\r\n\r\n");
    }
    if (end == NULL || strncmp(text, "HTTP/1.1 ", 9) != 0) {
        return KEPT_CUT;
    }
    end += 4;
    snprintf(answer->body, sizeof(answer->body), "%s", end);
    received = (int64_t)(used - (size_t)(end - text));
    end[-2] = '\0';
    read_head(text, connection, answer);
    while (received < answer->body_length) {
        ssize_t count =
            read_some(connection->fd, text, KEPT_HEAD_MAX_BYTES, until_ms);

        if (count <= 0) {
            return count < 0 ? KEPT_TIMED_OUT : KEPT_CUT;
        }
        received += count;
    }
    return KEPT_ANSWERED;
}
