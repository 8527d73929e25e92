/*
 * The leader's requests to the advice service, which hosts send for it.
 */

#include "cell-leader.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Added to the expected duration of a call. */
#define Fv_ADVICE_REQUEST_SLACK_MS 2500

static fv_sched_stage_t *
find_stage(fv_leader_t *leader, const fv_advice_request_t *request)
{
    fv_sched_task_t *task = FvSched_FindTask(&leader->sched, request->task);

    return task != NULL ? task->stage : NULL;
}

/* Returns NULL if the worker was removed or restarted since. */
static fv_sched_worker_t *
find_asked(const fv_leader_t *leader, const fv_asked_worker_t *asked)
{
    fv_sched_worker_t *worker = FvSched_FindWorker(&leader->sched, asked->id);

    return worker != NULL && worker->started_wall_ms == asked->started_wall_ms
               ? worker
               : NULL;
}

/**
 * FvLeaderAdvice_Complete - finish a request to the advice service
 * @leader: the leader
 * @request: the request; freed
 * @advice: the answer, or NULL when there is none
 */
void
FvLeaderAdvice_Complete(fv_leader_t *leader, fv_advice_request_t *request,
                        const fv_advice_t *advice)
{
    fv_sched_stage_t *stage = find_stage(leader, request);

    if (stage != NULL) {
        fv_sched_worker_t **workers =
            calloc((size_t)request->count + 1, sizeof(fv_sched_worker_t *));

        for (uint32_t i = 0; workers != NULL && i < request->count; i++) {
            workers[i] = find_asked(leader, &request->workers[i]);
        }
        FvSched_ApplyAdvice(&leader->sched, stage, workers,
                            workers != NULL ? request->count : 0, advice,
                            FvClock_NowMs());
        free(workers);
    }
    /* uthash unlinks the entry, which the analyzer does not see. */
    /* NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
    HASH_DEL(leader->advice_requests, request);
    free(request->workers);
    free(request);
}

/* Parses a worker's id and, up to the end of the line, its ticket. */
static bool
parse_row(char *line, fv_advice_row_t *row)
{
    char *blank = strchr(line, ' ');

    if (blank == NULL) {
        return false;
    }
    *blank = '\0';
    if (!FvText_Copy(row->worker_id, sizeof(row->worker_id), line)) {
        return false;
    }
    row->ticket = strdup(blank + 1);
    return row->ticket != NULL;
}

/**
 * FvLeader_HandleAdvice - handle an answer of the advice service
 * @leader: the leader
 * @message: the answer, as a host forwards it
 */
void
FvLeader_HandleAdvice(fv_leader_t *leader, const fv_cell_message_t *message)
{
    fv_advice_request_t *request = NULL;
    fv_advice_t advice = {0};
    char *text;
    char *rest = NULL;

    HASH_FIND(hh, leader->advice_requests, &message->id, sizeof(message->id),
              request);
    if (request == NULL) {
        return;
    }
    text = strndup(message->body ? message->body : "", message->body_length);
    advice.rows = calloc((size_t)request->count + 1, sizeof(*advice.rows));
    if (text == NULL || advice.rows == NULL || message->number == 0) {
        FvLeaderAdvice_Complete(leader, request, NULL);
        goto done;
    }
    for (char *line = strtok_r(text, "\n", &rest);
         line != NULL && advice.row_count < request->count;
         line = strtok_r(NULL, "\n", &rest)) {
        advice.row_count +=
            parse_row(line, &advice.rows[advice.row_count]) ? 1 : 0;
    }
    FvLog_Event(Fv_LOG_INFO, "advice",
                "stage=%s asked=%u allowed=%u took_ms=%" PRId64,
                request->stage, request->count, advice.row_count,
                FvClock_NowMs() - request->sent_ms);
    FvLeaderAdvice_Complete(leader, request, &advice);
done:
    FvAdvice_Clear(&advice);
    free(text);
    FvLeader_SchedulePass(leader);
}

/**
 * FvLeaderAdvice_SendRequest - have a host call the advice service
 * @sched: the scheduler
 * @stage: the stage to place
 * @workers: the workers to ask about
 * @count: number of workers
 *
 * Return: false when no host is free for the call.
 */
bool
FvLeaderAdvice_SendRequest(fv_sched_t *sched, fv_sched_stage_t *stage,
                           fv_sched_worker_t *const *workers, uint32_t count)
{
    fv_leader_t *leader = FvLeader_FromSched(sched);
    const fv_cell_queue_t *queue = &stage->job->queue;
    int64_t cost_us =
        queue->advice_base_us + queue->advice_per_worker_us * count;
    fv_advice_request_t *request = calloc(1, sizeof(*request));
    fv_buffer_t body = {0};
    fv_cell_message_t message;
    bool sent = false;

    if (request == NULL) {
        return false;
    }
    request->workers = calloc(count, sizeof(*request->workers));
    if (request->workers == NULL) {
        goto done;
    }
    request->id = ++leader->last_advice_request_id;
    request->count = count;
    request->sent_ms = FvClock_NowMs();
    request->deadline_ms =
        request->sent_ms + cost_us / 1000 + Fv_ADVICE_REQUEST_SLACK_MS;
    FvSched_StageName(stage, request->stage, sizeof(request->stage));
    FvSched_TaskName(&stage->tasks[0], request->task, sizeof(request->task));
    for (uint32_t i = 0; i < count; i++) {
        FvText_Copy(request->workers[i].id, Fv_NAME_SIZE,
                    workers[i]->entry.id);
        request->workers[i].started_wall_ms = workers[i]->started_wall_ms;
        FvBuffer_Append(&body, workers[i]->entry.id,
                        strlen(workers[i]->entry.id));
        FvBuffer_Append(&body, "\n", 1);
    }
    message = (fv_cell_message_t){.kind = Fv_CELL_MESSAGE_ADVICE_REQUEST,
                                  .id = request->id,
                                  .number = cost_us,
                                  .key = request->stage,
                                  .body = (const char *)body.data,
                                  .body_length = body.length};
    sent = leader->events.request_advice(leader->events.context, &message,
                                         cost_us);
done:
    FvBuffer_Clear(&body);
    if (sent) {
        HASH_ADD(hh, leader->advice_requests, id, sizeof(request->id),
                 request);
    }
    else {
        free(request->workers);
        free(request);
    }
    return sent;
}
