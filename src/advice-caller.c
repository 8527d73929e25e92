/*
 * This host's calls to the advice service. The service serves one call of a
 * host at a time and lets the others wait; short calls are sent ahead, so that
 * it need not wait for the network, and the rest waits here, the shortest
 * first.
 */

#include "entry.h"

#include <stdlib.h>
#include <string.h>

/* Beyond what a call costs by itself; covers a queue at the service. */
#define Fv_ADVICE_TIMEOUT_MARGIN_MS 1500
#define Fv_ADVICE_WORKERS_MAX 100

/* Work that is sent ahead: what the service does in one round trip between
 * regions. */
#define Fv_ADVICE_PIPELINE_US 60000

typedef struct fv_advice_call {
    fv_advice_client_t *client;
    int64_t id;
    int64_t cost_us;
    char step[Fv_STEP_ID_SIZE];
    char *workers; /* ids, one a line */
    fv_advice_done_t done;
    void *context;
    struct fv_advice_call *next;
} fv_advice_call_t;

struct fv_advice_client {
    fv_call_pool_t *pool;
    char address[Fv_ADDRESS_SIZE];
    fv_advice_call_t *queue;
    int64_t in_flight_us; /* work of the calls in progress */
};

static void send_next(fv_advice_client_t *client);

/**
 * FvAdviceClient_New - make a caller
 * @pool: sends the calls
 * @address: the service's address
 *
 * Return: the caller, or NULL when memory is exhausted.
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
free_call(fv_advice_call_t *question)
{
    free(question->workers);
    free(question);
}

/**
 * FvAdviceClient_Free - release a caller after its pool
 * @client: the caller, or NULL
 */
void
FvAdviceClient_Free(fv_advice_client_t *client)
{
    if (client == NULL) {
        return;
    }
    while (client->queue != NULL) {
        fv_advice_call_t *question = client->queue;

        client->queue = question->next;
        free_call(question);
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
answered(void *context, const fv_call_answer_t *answer)
{
    fv_advice_call_t *question = context;
    fv_advice_client_t *client = question->client;
    fv_buffer_t body = {0};
    fv_advice_t advice;
    bool good = FvPlatform_Advice(answer, &advice);

    if (!good) {
        FvLog_Event(Fv_LOG_WARN, "advice_failed", "step=%s status=%d",
                    question->step, answer->status);
    }
    encode_rows(&advice, &body);
    free(advice.rows);
    client->in_flight_us -= question->cost_us;
    question->done(question->context,
                   &(fv_cell_message_t){.kind = Fv_CELL_MESSAGE_ADVICE_REPLY,
                                        .id = question->id,
                                        .number = good ? 1 : 0,
                                        .body = (const char *)body.data,
                                        .body_length = body.length});
    FvBuffer_Clear(&body);
    free_call(question);
    send_next(client);
}

static uint32_t
split_lines(char *text, const char **lines, uint32_t most)
{
    uint32_t count = 0;
    char *rest = NULL;

    for (char *line = strtok_r(text, "\n", &rest);
         line != NULL && count < most; line = strtok_r(NULL, "\n", &rest)) {
        lines[count++] = line;
    }
    return count;
}

static void
send_next(fv_advice_client_t *client)
{
    fv_advice_call_t *question = client->queue;
    const char *workers[Fv_ADVICE_WORKERS_MAX];
    fv_call_t call;
    uint32_t count;

    if (question == NULL ||
        (client->in_flight_us > 0 &&
         client->in_flight_us + question->cost_us > Fv_ADVICE_PIPELINE_US)) {
        return;
    }
    client->queue = question->next;
    client->in_flight_us += question->cost_us;
    count = split_lines(question->workers, workers, Fv_ADVICE_WORKERS_MAX);
    FvPlatform_Advise(&call, question->step, workers, count);
    FvCallPool_Send(client->pool, client->address, &call,
                    question->cost_us / 1000 + Fv_ADVICE_TIMEOUT_MARGIN_MS,
                    answered, question);
}

/**
 * FvAdviceClient_Request - ask about a step
 * @client: the caller
 * @question: key = step, number = what the call costs in microseconds,
 *            body = worker ids, one a line
 * @done: called with the answer
 * @context: passed to @done
 */
void
FvAdviceClient_Request(fv_advice_client_t *client,
                       const fv_cell_message_t *question,
                       fv_advice_done_t done, void *context)
{
    fv_advice_call_t *entry = calloc(1, sizeof(*entry));
    fv_advice_call_t **link = &client->queue;

    if (entry == NULL) {
        return; /* the leader asks again after its time limit */
    }
    *entry = (fv_advice_call_t){
        .client = client,
        .id = question->id,
        .cost_us = question->number,
        .workers = strndup(question->body ? question->body : "",
                           question->body_length),
        .done = done,
        .context = context,
    };
    if (entry->workers == NULL ||
        !FvText_Copy(entry->step, sizeof(entry->step), question->key)) {
        free_call(entry);
        return;
    }
    while (*link != NULL && (*link)->cost_us <= entry->cost_us) {
        link = &(*link)->next;
    }
    entry->next = *link;
    *link = entry;
    send_next(client);
}
