/*
 * Raw loopback connections for tests that send malformed or partial requests.
 */

#ifndef HTTP_SOCKET_H
#define HTTP_SOCKET_H

#include "fireflyvalve.h"

int FvHttpSocket_Connect(uint16_t port);
bool FvHttpSocket_Send(int socket, const char *text);
int FvHttpSocket_ReadAll(int socket, fv_buffer_t *response);
int FvHttpSocket_Exchange(uint16_t port, const char *request,
                          fv_buffer_t *response);

#endif
