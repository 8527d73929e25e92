/*
 * Raw loopback connections for tests that send malformed or partial requests.
 */

#include "http-socket.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define Fv_SOCKET_TIMEOUT_S 20

/**
 * FvHttpSocket_Connect - connect to a port on loopback
 * @port: the port
 *
 * Return: the socket, or -1.
 */
int
FvHttpSocket_Connect(uint16_t port)
{
    struct sockaddr_in address = {
        .sin_family = AF_INET,
        .sin_port = htons(port),
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
    };
    struct timeval timeout = {.tv_sec = Fv_SOCKET_TIMEOUT_S};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    if (fd < 0) {
        return -1;
    }
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
    if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

/**
 * FvHttpSocket_Send - send text
 * @socket: the connection
 * @text: the bytes
 *
 * Return: false when not all of the text could be sent.
 */
bool
FvHttpSocket_Send(int socket, const char *text)
{
    size_t left = strlen(text);

    while (left > 0) {
        ssize_t sent = send(socket, text, left, MSG_NOSIGNAL);

        if (sent <= 0) {
            return false;
        }
        text += sent;
        left -= (size_t)sent;
    }
    return true;
}

/**
 * FvHttpSocket_ReadAll - read until the peer closes the connection
 * @socket: the connection
 * @response: the bytes are appended; the caller clears it
 *
 * Return: the HTTP status; 0 when the response has no status line.
 */
int
FvHttpSocket_ReadAll(int socket, fv_buffer_t *response)
{
    char part[4096];
    ssize_t count;

    while ((count = recv(socket, part, sizeof(part), 0)) > 0) {
        FvBuffer_Append(response, part, (size_t)count);
    }
    if (response->length < 12 || memcmp(response->data, "HTTP/1.1 ", 9) != 0) {
        return 0;
    }
    return (int)strtol((const char *)response->data + 9, NULL, 10);
}

/**
 * FvHttpSocket_Exchange - send a request on a new connection
 * @port: the server's port on loopback
 * @request: the request, with "Connection: close", because the response is
 * read until the server closes the connection
 * @response: the response is appended; the caller clears it
 *
 * Return: the HTTP status; 0 without a response or a status line.
 */
int
FvHttpSocket_Exchange(uint16_t port, const char *request,
                      fv_buffer_t *response)
{
    int fd = FvHttpSocket_Connect(port);
    int status = 0;

    if (fd >= 0) {
        FvHttpSocket_Send(fd, request);
        status = FvHttpSocket_ReadAll(fd, response);
        close(fd);
    }
    return status;
}
