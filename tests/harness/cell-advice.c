/*
 * The advice service of fake-cell. Hosts keep connections to it open, so it
 * runs in an event loop: with a thread for each connection, the calls on
 * further connections wait until an idle one is closed.
 */

#include "fake-cell.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define ADVICE_BACKLOG 1024
#define ADVICE_DECISION_MS 2

/* Longer than hosts keep an idle connection. */
#define ADVICE_IDLE_S 120

typedef struct advice_call {
    cell_t *cell;
    struct evhttp_request *request;
} advice_call_t;

static bool
is_allowed(const char *step, const char *worker)
{
    uint64_t draw = FvText_Hash(worker, strlen(worker),
                                FvText_Hash(step, strlen(step), 0));

    return draw % 4 != 0 || strcmp(worker, "w0") == 0;
}

/* A ticket is valid for one life of a worker. */
static void
write_ticket(cell_t *cell, const char *id, char *ticket, size_t size)
{
    int64_t started_wall_ms = 0;

    pthread_mutex_lock(&cell->lock);
    for (uint32_t i = 0; i < cell->worker_count; i++) {
        if (strcmp(cell->workers[i].id, id) == 0) {
            started_wall_ms = cell->workers[i].started_wall_ms;
        }
    }
    pthread_mutex_unlock(&cell->lock);
    snprintf(ticket, size, "%" PRId64 ".%" PRId64,
             FvClock_NowMs() + CELL_TICKET_VALID_MS, started_wall_ms);
}

static json_t *
advice_for(cell_t *cell, const char *step, const json_t *workers)
{
    json_t *rows = json_array();
    char ticket[48];
    size_t index;
    json_t *worker;

    json_array_foreach(workers, index, worker)
    {
        const char *id = json_string_value(worker);

        if (id != NULL && is_allowed(step, id)) {
            write_ticket(cell, id, ticket, sizeof(ticket));
            json_array_append_new(rows, json_pack("[s, s]", id, ticket));
        }
    }
    return json_pack("{s:o, s:i}", "allowedWorkers", rows, "validityMs",
                     CELL_TICKET_VALID_MS);
}

static void
reply(evutil_socket_t fd, short what, void *context)
{
    advice_call_t *call = context;
    struct evhttp_request *request = call->request;
    struct evbuffer *input = evhttp_request_get_input_buffer(request);
    struct evbuffer *output = evhttp_request_get_output_buffer(request);
    size_t length = evbuffer_get_length(input);
    json_t *body =
        json_loadb(length > 0 ? (const char *)evbuffer_pullup(input, -1) : "",
                   length, 0, NULL);
    const char *step = FvJson_String(body, "step");
    json_t *advice = advice_for(call->cell, step ? step : "",
                                json_object_get(body, "workers"));
    char *text = json_dumps(advice, JSON_COMPACT);

    (void)fd;
    (void)what;
    if (text == NULL) {
        abort();
    }
    evbuffer_add(output, text, strlen(text));
    evhttp_add_header(evhttp_request_get_output_headers(request),
                      "Content-Type", "application/json");
    evhttp_send_reply(request, HTTP_OK, NULL, NULL);
    free(text);
    json_decref(advice);
    json_decref(body);
    free(call);
}

static void
handle_advice(struct evhttp_request *request, void *context)
{
    const struct timeval delay = {.tv_usec = ADVICE_DECISION_MS * 1000};
    struct evhttp_connection *connection =
        evhttp_request_get_connection(request);
    advice_call_t *call = malloc(sizeof(*call));

    if (call == NULL) {
        abort();
    }
    *call = (advice_call_t){.cell = context, .request = request};
    if (event_base_once(evhttp_connection_get_base(connection), -1, EV_TIMEOUT,
                        reply, call, &delay) != 0) {
        abort();
    }
}

static void *
run_advice(void *context)
{
    event_base_dispatch(context);
    return NULL;
}

bool
FvCellAdvice_Start(cell_t *cell, int port)
{
    const struct sockaddr_in address = {.sin_family = AF_INET,
                                        .sin_port = htons((uint16_t)port),
                                        .sin_addr.s_addr =
                                            htonl(INADDR_LOOPBACK)};
    struct event_base *base = event_base_new();
    struct evhttp *http = base != NULL ? evhttp_new(base) : NULL;
    struct evconnlistener *listener;
    pthread_t thread;

    if (http == NULL) {
        return false;
    }
    listener = evconnlistener_new_bind(
        base, NULL, NULL,
        LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_CLOSE_ON_FREE,
        ADVICE_BACKLOG, (const struct sockaddr *)&address, sizeof(address));
    if (listener == NULL) {
        fprintf(stderr, "cannot listen on 127.0.0.1:%d\n", port);
        return false;
    }
    evhttp_bind_listener(http, listener);
    evhttp_set_timeout(http, ADVICE_IDLE_S);
    evhttp_set_gencb(http, handle_advice, cell);
    return pthread_create(&thread, NULL, run_advice, base) == 0;
}
