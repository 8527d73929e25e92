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
#define Fv_ADVICE_SLACK_MS 1500
#define Fv_ADVICE_WORKERS_MAX 100

/* Work that is sent ahead: what the service does in one round trip between
 * regions. */
#define Fv_ADVICE_AHEAD_US 60000

typedef struct fv_question {
    fv_advice_client_t *caller;
    int64_t id;
    int64_t cost_us;
    char step[Fv_STEP_ID_SIZE];
    char *workers; /* ids, one a line */
    fv_advice_done_t done;
    void *context;
    struct fv_question *next;
} fv_question_t;

struct fv_advice_client {
    fv_call_pool_t *pool;
    char address[Fv_ADDRESS_SIZE];
    fv_question_t *queue;
    int64_t sent_us; /* work of the calls in progress */
};

static void ask_next(fv_advice_client_t *caller);

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
    fv_advice_client_t *caller = calloc(1, sizeof(*caller));

    if (caller != NULL) {
        caller->pool = pool;
        FvText_Copy(caller->address, sizeof(caller->address), address);
    }
    return caller;
}

static void
free_question(fv_question_t *question)
{
    free(question->workers);
    free(question);
}

/**
 * FvAdviceClient_Free - release a caller after its pool
 * @caller: the caller, or NULL
 */
void
FvAdviceClient_Free(fv_advice_client_t *caller)
{
    if (caller == NULL) {
        return;
    }
    while (caller->queue != NULL) {
        fv_question_t *question = caller->queue;

        caller->queue = question->next;
        free_question(question);
    }
    free(caller);
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
    fv_question_t *question = context;
    fv_advice_client_t *caller = question->caller;
    fv_buffer_t body = {0};
    fv_advice_t advice;
    bool good = FvPlatform_DecodeAdvice(answer, &advice);

    if (!good) {
        FvLog_Event(Fv_LOG_WARN, "advice_failed", "step=%s status=%d",
                    question->step, answer->status);
    }
    encode_rows(&advice, &body);
    free(advice.rows);
    caller->sent_us -= question->cost_us;
    question->done(question->context,
                   &(fv_cell_message_t){.kind = Fv_CELL_MESSAGE_ADVICE_REPLY,
                                        .id = question->id,
                                        .number = good ? 1 : 0,
                                        .body = (const char *)body.data,
                                        .body_length = body.length});
    FvBuffer_Clear(&body);
    free_question(question);
    ask_next(caller);
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
ask_next(fv_advice_client_t *caller)
{
    fv_question_t *question = caller->queue;
    const char *workers[Fv_ADVICE_WORKERS_MAX];
    fv_call_t call;
    uint32_t count;

    if (question == NULL ||
        (caller->sent_us > 0 &&
         caller->sent_us + question->cost_us > Fv_ADVICE_AHEAD_US)) {
        return;
    }
    caller->queue = question->next;
    caller->sent_us += question->cost_us;
    count = split_lines(question->workers, workers, Fv_ADVICE_WORKERS_MAX);
    FvPlatform_AskAdvice(&call, question->step, workers, count);
    FvCallPool_Send(caller->pool, caller->address, &call,
                    question->cost_us / 1000 + Fv_ADVICE_SLACK_MS, answered,
                    question);
}

/**
 * FvAdviceClient_Request - ask about a step
 * @caller: the caller
 * @question: key = step, number = what the call costs in microseconds,
 *            body = worker ids, one a line
 * @done: called with the answer
 * @context: passed to @done
 */
void
FvAdviceClient_Request(fv_advice_client_t *caller,
                       const fv_cell_message_t *question,
                       fv_advice_done_t done, void *context)
{
    fv_question_t *entry = calloc(1, sizeof(*entry));
    fv_question_t **link = &caller->queue;

    if (entry == NULL) {
        return; /* the leader asks again after its time limit */
    }
    *entry = (fv_question_t){
        .caller = caller,
        .id = question->id,
        .cost_us = question->number,
        .workers = strndup(question->body ? question->body : "",
                           question->body_length),
        .done = done,
        .context = context,
    };
    if (entry->workers == NULL ||
        !FvText_Copy(entry->step, sizeof(entry->step), question->key)) {
        free_question(entry);
        return;
    }
    while (*link != NULL && (*link)->cost_us <= entry->cost_us) {
        link = &(*link)->next;
    }
    entry->next = *link;
    *link = entry;
    ask_next(caller);
}
