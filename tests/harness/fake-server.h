/*
 * HTTP server shared by the fakes: one handler for all paths, JSON responses,
 * and connections that are closed without a response.
 */

#ifndef FAKE_SERVER_H
#define FAKE_SERVER_H

#include <argtable2.h>
#include <civetweb.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct fake_request {
    struct mg_connection *connection;
    const char *method;
    const char *path;  /* decoded, without the query */
    const char *query; /* NULL when there is none */
    uint8_t *body;     /* NUL-terminated */
    size_t body_length;
    int socket; /* -1 until FvFake_ClientClosed() looks it up */
} fake_request_t;

typedef void (*fake_handler_t)(fake_request_t *request, void *context);
typedef struct fake_server fake_server_t;

fake_server_t *FvFakeServer_Start(const char *address, int threads,
                                  fake_handler_t handler, void *context);
void FvFakeServer_LimitConnections(fake_server_t *server, int connections);
void FvFakeServer_CloseConnections(const fake_server_t *server);
int FvFakeServer_Connections(const fake_server_t *server);
int FvFakeServer_Refused(const fake_server_t *server);
void FvFakeServer_RunUntilSignal(void);
bool FvFake_RequestIs(const fake_request_t *request, const char *method,
                      const char *path);
void FvFake_Reply(fake_request_t *request, int status, const char *type,
                  const char *headers, const void *body, size_t length);
void FvFake_ReplyJson(fake_request_t *request, int status, json_t *body);
void FvFake_ReplyError(fake_request_t *request, int status, const char *error);
int64_t FvFake_ConnectedNs(const fake_request_t *request);
uint32_t FvFake_Replies(const fake_request_t *request);
int FvFake_PeerPort(const fake_request_t *request);
void FvFake_Drop(fake_request_t *request);
bool FvFake_ClientClosed(fake_request_t *request);
json_t *FvFake_BodyJson(const fake_request_t *request);
void FvFake_SleepMs(int64_t ms);
int64_t FvFake_WallUs(void);
int FvFake_ParseArguments(int argc, char **argv, void **table,
                          const struct arg_lit *help, const char *summary);

#endif
