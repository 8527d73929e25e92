/*
 * Callers of this host and of other hosts that wait for the end of a job.
 */

#include "runner.h"

#include <stdlib.h>
#include <string.h>

/* Fits into a frame between hosts in base64; larger answers are fetched from
 * the workers. */
#define Fv_WAIT_INLINE_ANSWER_MAX_BYTES (256 * 1024)

static void
reply_ticket(const fv_job_waiter_t *waiter, const fv_run_t *run)
{
    const fv_job_t *job = run->job;
    fv_ticket_t *ticket = waiter->ticket;
    json_t *document = FvRun_ToJson(run);
    bool ended = strcmp(FvJson_String(document, "state"), "ended") == 0;

    if (ended && ticket->raw_answer && job->outcome == Fv_OUTCOME_DONE) {
        FvText_Copy(ticket->job, sizeof(ticket->job), job->key);
        FvText_Copy(ticket->outcome, sizeof(ticket->outcome), "done");
        FvTicket_ReplyRaw(ticket, 200, job->answer, job->answer_length);
        json_decref(document);
        return;
    }
    FvTicket_ReplyJson(ticket, ended || !waiter->is_submission ? 200 : 202,
                       document);
}

static void
reply_peer(const fv_job_waiter_t *waiter, const fv_run_t *run)
{
    const fv_job_t *job = run->job;
    fv_message_t message = {.type = Fv_MESSAGE_JOB_REPLY};
    json_t *document = FvRun_ToJson(run);

    json_object_set_new(document, "digest", json_string(job->body_digest));
    if (run->phase == Fv_RUN_ENDED && job->answer != NULL &&
        job->answer_length <= Fv_WAIT_INLINE_ANSWER_MAX_BYTES) {
        char *text = FvText_EncodeBase64(job->answer, job->answer_length);

        json_object_set_new(document, "answer_base64", json_string(text));
        free(text);
    }
    message.body.document.text = json_dumps(document, JSON_COMPACT);
    FvText_Copy(message.body.document.member, Fv_NAME_SIZE, job->member);
    FvText_Copy(message.body.document.key, Fv_KEY_SIZE, job->key);
    json_decref(document);
    FvPeers_Reply(run->runner->daemon->peers, &waiter->peer, &message);
}

static void
reply_waiter(const fv_job_waiter_t *waiter, const fv_run_t *run)
{
    if (waiter->ticket != NULL) {
        reply_ticket(waiter, run);
    }
    else {
        reply_peer(waiter, run);
    }
}

static void
remove_waiter(fv_job_waiter_t *waiter)
{
    fv_job_waiter_t **link = &waiter->run->waiters;

    while (*link != waiter) {
        link = &(*link)->next;
    }
    *link = waiter->next;
    FvLoop_CancelTimer(waiter->run->runner->daemon->loop, &waiter->timer);
    free(waiter);
}

static void
expire_waiter(void *owner)
{
    fv_job_waiter_t *waiter = owner;

    reply_waiter(waiter, waiter->run);
    remove_waiter(waiter);
}

/**
 * FvRun_AddWaiter - add a waiter to a job of this host
 * @run: the job
 * @waiter: the waiter, with its timeout set; ownership is taken
 */
void
FvRun_AddWaiter(fv_run_t *run, fv_job_waiter_t *waiter)
{
    bool reply_now =
        run->phase == Fv_RUN_ENDED || FvClock_NowMs() >= waiter->until_ms;

    if (reply_now) {
        reply_waiter(waiter, run);
        free(waiter);
        return;
    }
    waiter->run = run;
    waiter->timer.fire = expire_waiter;
    waiter->timer.owner = waiter;
    waiter->next = run->waiters;
    run->waiters = waiter;
    FvLoop_SetTimer(run->runner->daemon->loop, &waiter->timer,
                    waiter->until_ms);
}

/**
 * FvJobWaiter_New - allocate a waiter
 * @ticket: a caller of this host, or NULL
 * @peer: another host's request; used when there is no ticket
 * @wait_ms: how long to wait
 * @is_submission: reply with 202 if the job has not ended
 *
 * Return: the waiter.
 */
fv_job_waiter_t *
FvJobWaiter_New(fv_ticket_t *ticket, const fv_reply_to_t *peer,
                int64_t wait_ms, bool is_submission)
{
    fv_job_waiter_t *waiter = calloc(1, sizeof(*waiter));

    if (waiter == NULL) {
        abort();
    }
    waiter->ticket = ticket;
    if (peer != NULL) {
        waiter->peer = *peer;
    }
    waiter->until_ms = FvClock_NowMs() + wait_ms;
    waiter->is_submission = is_submission;
    return waiter;
}

/**
 * FvRun_ReplyWaiters - send the job document to all waiters
 * @run: the job
 */
void
FvRun_ReplyWaiters(fv_run_t *run)
{
    fv_job_waiter_t *waiter = run->waiters;

    while (waiter != NULL) {
        fv_job_waiter_t *next = waiter->next;

        reply_waiter(waiter, run);
        remove_waiter(waiter);
        waiter = next;
    }
}

/**
 * FvRun_RefuseWaiters - send an error to all waiters
 * @run: the job
 * @status: the HTTP status
 * @outcome: the outcome in the reply, or ""
 * @detail: explanation for the caller
 */
void
FvRun_RefuseWaiters(fv_run_t *run, int32_t status, const char *outcome,
                    const char *detail)
{
    fv_job_waiter_t *waiter = run->waiters;

    while (waiter != NULL) {
        fv_job_waiter_t *next = waiter->next;

        if (waiter->ticket != NULL) {
            FvTicket_ReplyProblem(waiter->ticket, status, outcome, 0, "%s",
                                  detail);
        }
        else {
            reply_peer(waiter, run);
        }
        remove_waiter(waiter);
        waiter = next;
    }
}
