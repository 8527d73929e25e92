/*
 * The leader's questions to the advice service.
 */

#include "cell-leader.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define Fv_ASK_GIVE_UP_MS 2500 /* beyond what the call costs */

static fv_sched_stage_t *
find_stage(fv_leader_t *leader, const fv_open_ask_t *ask)
{
    fv_sched_task_t *task = FvSched_FindTask(&leader->sched, ask->task);

    return task != NULL ? task->stage : NULL;
}

/**
 * FvLeaderAdvice_Close - end a question to the advice service
 * @leader: the leader
 * @ask: the question; released
 * @advice: the answer, or NULL
 */
void
FvLeaderAdvice_Close(fv_leader_t *leader, fv_open_ask_t *ask,
                     const fv_advice_t *advice)
{
    fv_sched_stage_t *stage = find_stage(leader, ask);

    if (stage != NULL) {
        fv_sched_worker_t **workers =
            calloc((size_t)ask->count + 1, sizeof(fv_sched_worker_t *));

        for (uint32_t i = 0; workers != NULL && i < ask->count; i++) {
            workers[i] = FvSched_FindWorker(&leader->sched, ask->workers[i]);
        }
        FvSched_ApplyAdvice(&leader->sched, stage, workers,
                            workers != NULL ? ask->count : 0, advice,
                            FvClock_NowMs());
        free(workers);
    }
    /* uthash unlinks the entry, which the analyzer does not see. */
    /* NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
    HASH_DEL(leader->asks, ask);
    free(ask->workers);
    free(ask);
}

/**
 * FvLeader_HandleAdvice - a host brings the answer of the advice service
 * @leader: the leader
 * @message: the answer
 */
void
FvLeader_HandleAdvice(fv_leader_t *leader, const fv_cell_message_t *message)
{
    fv_open_ask_t *ask = NULL;
    fv_advice_t advice = {0};
    char *text;
    char *rest = NULL;

    HASH_FIND(hh, leader->asks, &message->id, sizeof(message->id), ask);
    if (ask == NULL) {
        return;
    }
    text = strndup(message->body ? message->body : "", message->body_length);
    advice.rows = calloc((size_t)ask->count + 1, sizeof(*advice.rows));
    if (text == NULL || advice.rows == NULL || message->number == 0) {
        FvLeaderAdvice_Close(leader, ask, NULL);
        goto done;
    }
    for (char *line = strtok_r(text, "\n", &rest);
         line != NULL && advice.row_count < ask->count;
         line = strtok_r(NULL, "\n", &rest)) {
        fv_advice_row_t *row = &advice.rows[advice.row_count];

        if (sscanf(line, "%63s %63s", row->worker_id, row->ticket) == 2) {
            advice.row_count++;
        }
    }
    FvLog_Event(Fv_LOG_INFO, "advice",
                "stage=%s asked=%u allowed=%u took_ms=%" PRId64, ask->stage,
                ask->count, advice.row_count, FvClock_NowMs() - ask->sent_ms);
    FvLeaderAdvice_Close(leader, ask, &advice);
done:
    free(advice.rows);
    free(text);
    FvLeader_Kick(leader);
}

/**
 * FvLeaderAdvice_Ask - have a host ask the advice service
 * @sched: the scheduler
 * @stage: the stage
 * @workers: the workers to ask about
 * @count: how many
 *
 * Return: false when no host is free.
 */
bool
FvLeaderAdvice_Ask(fv_sched_t *sched, fv_sched_stage_t *stage,
                   fv_sched_worker_t *const *workers, uint32_t count)
{
    fv_leader_t *leader = FvLeader_Of(sched);
    const fv_cell_queue_t *queue = &stage->job->queue;
    int64_t cost_us =
        queue->advice_base_us + queue->advice_per_worker_us * count;
    fv_open_ask_t *ask = calloc(1, sizeof(*ask));
    fv_buffer_t body = {0};
    fv_cell_message_t message;
    bool sent = false;

    if (ask == NULL) {
        return false;
    }
    ask->workers = calloc(count, sizeof(*ask->workers));
    if (ask->workers == NULL) {
        goto done;
    }
    ask->id = ++leader->last_ask;
    ask->count = count;
    ask->sent_ms = FvClock_NowMs();
    ask->give_up_ms = ask->sent_ms + cost_us / 1000 + Fv_ASK_GIVE_UP_MS;
    FvSched_StageName(stage, ask->stage, sizeof(ask->stage));
    FvSched_TaskName(&stage->tasks[0], ask->task, sizeof(ask->task));
    for (uint32_t i = 0; i < count; i++) {
        FvText_Copy(ask->workers[i], Fv_NAME_SIZE, workers[i]->entry.id);
        FvBuffer_Append(&body, workers[i]->entry.id,
                        strlen(workers[i]->entry.id));
        FvBuffer_Append(&body, "\n", 1);
    }
    message = (fv_cell_message_t){.kind = Fv_CELL_MESSAGE_ADVICE_REQUEST,
                                  .id = ask->id,
                                  .number = cost_us,
                                  .key = ask->stage,
                                  .body = (const char *)body.data,
                                  .body_length = body.length};
    sent = leader->events.ask(leader->events.context, &message, cost_us);
done:
    FvBuffer_Clear(&body);
    if (sent) {
        HASH_ADD(hh, leader->asks, id, sizeof(ask->id), ask);
    }
    else {
        free(ask->workers);
        free(ask);
    }
    return sent;
}
