/*
 * Client of the advice service. The service serves one call of a host at a
 * time and queues the others. Short calls are pipelined, so that the service
 * does not idle for a network round trip; the others are queued here, the
 * shortest first.
 */

#include "entry.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Timeout beyond a call's own cost; covers queueing at the service. */
#define Fv_ADVICE_TIMEOUT_MARGIN_MS 1500
#define Fv_ADVICE_WORKERS_MAX 100

/* Limit of the cost of pipelined calls: the work that the service does in one
 * round trip between regions. */
#define Fv_ADVICE_PIPELINE_US 60000

/* The service queues 32 calls of a host at most. */
static const fv_call_bounds_t service_bounds = {.open_max = 32, .rest_max = 8};

typedef struct fv_advice_call {
    fv_advice_client_t *client;
    int64_t id;
    int64_t cost_us;
    char step[Fv_STEP_ID_SIZE];
    char *workers; /* ids, one per line */
    fv_advice_done_t done;
    void *context;
    struct fv_advice_call *next;
} fv_advice_call_t;

struct fv_advice_client {
    fv_call_pool_t *pool;
    char address[Fv_ADDRESS_SIZE];
    fv_dependency_t state;
    fv_advice_call_t *queue;
    int64_t in_flight_us; /* cost of the calls in progress */
};

static void send_next(fv_advice_client_t *client);

/**
 * FvAdviceClient_New - allocate a client
 * @pool: sends the calls
 * @address: the service's address
 *
 * Return: the client, or NULL when memory is exhausted.
 */
fv_advice_client_t *
FvAdviceClient_New(fv_call_pool_t *pool, const char *address)
{
    fv_advice_client_t *client = calloc(1, sizeof(*client));

    if (client != NULL) {
        client->pool = pool;
        FvText_Copy(client->address, sizeof(client->address), address);
    }
    return client;
}

static void
free_call(fv_advice_call_t *request)
{
    free(request->workers);
    free(request);
}

/**
 * FvAdviceClient_Free - release a client, after the pool of its calls
 * @client: the client, or NULL
 */
void
FvAdviceClient_Free(fv_advice_client_t *client)
{
    if (client == NULL) {
        return;
    }
    while (client->queue != NULL) {
        fv_advice_call_t *request = client->queue;

        client->queue = request->next;
        free_call(request);
    }
    free(client);
}

static void
encode_rows(const fv_advice_t *advice, fv_buffer_t *body)
{
    for (uint32_t i = 0; i < advice->row_count; i++) {
        const fv_advice_row_t *row = &advice->rows[i];

        FvBuffer_Append(body, row->worker_id, strlen(row->worker_id));
        FvBuffer_Append(body, " ", 1);
        FvBuffer_Append(body, row->ticket, strlen(row->ticket));
        FvBuffer_Append(body, "\n", 1);
    }
}

static void
update_state(fv_advice_client_t *client, const fv_call_answer_t *answer)
{
    bool at_start = client->state == Fv_DEPENDENCY_UNKNOWN;
    bool answered = answer->status != 0;

    if (!FvDependency_Note(&client->state, answered)) {
        return;
    }
    if (!answered) {
        FvLog_Event(Fv_LOG_WARN, "advice_lost",
                    "address=%s error=%s at_start=%d", client->address,
                    FvCallAnswer_Error(answer), at_start ? 1 : 0);
    }
    else if (!at_start) {
        FvLog_Event(Fv_LOG_INFO, "advice_regained", "address=%s status=%d",
                    client->address, answer->status);
    }
}

static void
call_answered(void *context, const fv_call_answer_t *answer)
{
    fv_advice_call_t *request = context;
    fv_advice_client_t *client = request->client;
    fv_buffer_t body = {0};
    fv_advice_t advice;
    bool good = FvPlatform_DecodeAdvice(answer, &advice);

    update_state(client, answer);
    if (!good) {
        FvLog_Event(Fv_LOG_WARN, "advice_failed",
                    "step=%s status=%d error=%s waited_ms=%" PRId64,
                    request->step, answer->status, FvCallAnswer_Error(answer),
                    answer->waited_ms);
    }
    encode_rows(&advice, &body);
    FvAdvice_Clear(&advice);
    client->in_flight_us -= request->cost_us;
    request->done(request->context,
                  &(fv_cell_message_t){.kind = Fv_CELL_MESSAGE_ADVICE_REPLY,
                                       .id = request->id,
                                       .number = good ? 1 : 0,
                                       .body = (const char *)body.data,
                                       .body_length = body.length});
    FvBuffer_Clear(&body);
    free_call(request);
    send_next(client);
}

static uint32_t
split_lines(char *text, const char **lines, uint32_t lines_max)
{
    uint32_t count = 0;
    char *rest = NULL;

    for (char *line = strtok_r(text, "\n", &rest);
         line != NULL && count < lines_max;
         line = strtok_r(NULL, "\n", &rest)) {
        lines[count++] = line;
    }
    return count;
}

static void
send_next(fv_advice_client_t *client)
{
    fv_advice_call_t *request = client->queue;
    const char *workers[Fv_ADVICE_WORKERS_MAX];
    fv_call_t call;
    uint32_t count;

    if (request == NULL ||
        (client->in_flight_us > 0 &&
         client->in_flight_us + request->cost_us > Fv_ADVICE_PIPELINE_US)) {
        return;
    }
    client->queue = request->next;
    client->in_flight_us += request->cost_us;
    count = split_lines(request->workers, workers, Fv_ADVICE_WORKERS_MAX);
    FvPlatform_RequestAdvice(&call, request->step, workers, count);
    FvCallPool_Send(
        client->pool, client->address, &call,
        &(fv_call_terms_t){.bounds = &service_bounds,
                           .urgency = Fv_CALL_START,
                           .timeout_ms = request->cost_us / 1000 +
                                         Fv_ADVICE_TIMEOUT_MARGIN_MS},
        call_answered, request);
}

/**
 * FvAdviceClient_Request - request advice on which workers may run a step
 * @client: the client
 * @request: key = step, number = cost of the call in microseconds,
 *           body = worker ids, one per line
 * @done: called with the answer
 * @context: passed to @done
 */
void
FvAdviceClient_Request(fv_advice_client_t *client,
                       const fv_cell_message_t *request, fv_advice_done_t done,
                       void *context)
{
    fv_advice_call_t *queued = calloc(1, sizeof(*queued));
    fv_advice_call_t **link = &client->queue;

    if (queued == NULL) {
        return; /* the leader retries after its timeout */
    }
    *queued = (fv_advice_call_t){
        .client = client,
        .id = request->id,
        .cost_us = request->number,
        .workers =
            strndup(request->body ? request->body : "", request->body_length),
        .done = done,
        .context = context,
    };
    if (queued->workers == NULL ||
        !FvText_Copy(queued->step, sizeof(queued->step), request->key)) {
        free_call(queued);
        return;
    }
    while (*link != NULL && (*link)->cost_us <= queued->cost_us) {
        link = &(*link)->next;
    }
    queued->next = *link;
    *link = queued;
    send_next(client);
}
