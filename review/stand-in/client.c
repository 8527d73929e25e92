/*
 * A caller: HTTP/1.1 over one connection.
 */

#include "platform.h"

#include <arpa/inet.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

void
Client_Open(client_t *client, const char *address)
{
    struct sockaddr_in target = {.sin_family = AF_INET};
    char ip[32];

    snprintf(client->address, sizeof(client->address), "%s", address);
    snprintf(ip, sizeof(ip), "%.*s", (int)strcspn(address, ":"), address);
    target.sin_port = htons((uint16_t)atoi(strchr(address, ':') + 1));
    inet_pton(AF_INET, ip, &target.sin_addr);
    client->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (connect(client->fd, (struct sockaddr *)&target, sizeof(target)) != 0) {
        close(client->fd);
        client->fd = -1;
    }
}

void
Client_Close(client_t *client)
{
    if (client->fd >= 0) {
        close(client->fd);
    }
    client->fd = -1;
}

bool
Client_Send(client_t *client, const char *method, const char *path,
            const char *body)
{
    size_t length = body != NULL ? strlen(body) : 0;
    char *text = malloc(length + 512);
    int size = snprintf(text, length + 512,
                        "%s %s HTTP/1.1\r\nHost: congress.example\r\n"
                        "Content-Type: application/json\r\n"
                        "X-Deadline-Ms: 3000\r\nContent-Length: %zu\r\n\r\n%s",
                        method, path, length, body != NULL ? body : "");
    int sent = 0;

    while (client->fd >= 0 && sent < size) {
        ssize_t done =
            send(client->fd, text + sent, (size_t)(size - sent), MSG_NOSIGNAL);

        if (done <= 0) {
            break;
        }
        sent += (int)done;
    }
    free(text);
    return sent == size;
}

int
Client_Receive(client_t *client, int64_t timeout_ms, char *answer, size_t size)
{
    static _Thread_local char text[65536];
    size_t used = 0;
    int64_t until_ms = Now() + timeout_ms;

    while (client->fd >= 0 && used + 1 < sizeof(text)) {
        struct pollfd ready = {.fd = client->fd, .events = POLLIN};
        int64_t left_ms = until_ms - Now();
        char *end;
        const char *field;
        size_t body_length = 0;
        ssize_t got;

        if (left_ms < 0 || poll(&ready, 1, (int)left_ms) <= 0) {
            return 0;
        }
        got = recv(client->fd, text + used, sizeof(text) - 1 - used, 0);
        if (got <= 0) {
            return 0;
        }
        used += (size_t)got;
        text[used] = '\0';
        end = strstr(text, "\r\n\r\n");
        if (end == NULL) {
            continue;
        }
        field = strcasestr(text, "\r\nContent-Length:");
        if (field != NULL && field < end) {
            body_length = strtoul(field + 17, NULL, 10);
        }
        if (used >= (size_t)(end + 4 - text) + body_length) {
            if (answer != NULL) {
                snprintf(answer, size, "%.*s", (int)body_length, end + 4);
            }
            return atoi(text + 9);
        }
    }
    return 0;
}

int
Client_Call(client_t *client, const char *method, const char *path,
            const char *body, int64_t timeout_ms, char *answer, size_t size)
{
    return Client_Send(client, method, path, body)
               ? Client_Receive(client, timeout_ms, answer, size)
               : 0;
}
