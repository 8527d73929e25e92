/*
 * Requests of callers, as entry hosts forward them to the leader.
 */

#include "cell-leader.h"
#include "retry-after.h"
#include "route.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Retry-After while the accepted jobs take all memory. Most end within
 * seconds, and a caller repeats a request only a few times. */
#define Fv_MEMORY_RETRY_MS 5000

/* Retry-After of a job that does not fit under its customer's cap. Only
 * another configuration admits it, which operators write, so that it is long.
 */
#define Fv_CAP_RETRY_MS 60000

/* Retry-After of excess, at random between these. A caller repeats a request
 * four times; together they last for a peak of some 17 s. */
#define Fv_EXCESS_RETRY_MIN_S 2
#define Fv_EXCESS_RETRY_MAX_S 8

#define Fv_EXCESS_LOG_LINES_PER_S 10

/* Questions about unknown jobs that wait for a renewal, 0.2 s at most, take up
 * to 2 MB; those beyond are sent again by their hosts. */
#define Fv_QUESTIONS_MAX 8192

/* Retry-After of a job that was cancelled before it was submitted; it will not
 * be accepted later either. */
#define Fv_BARRED_RETRY_AFTER_S "2"

/* Refusals that a flood adds to the log at most; all are counted. */
#define Fv_REFUSAL_LOG_LINES_PER_S 50

/* Names, numbers and headers of a job's record besides the submission. */
#define Fv_JOB_RECORD_HEADER_MAX_BYTES 512

/**
 * FvLeaderRequest_Answer - answer a request
 * @leader: the leader
 * @verb: the request
 * @job: the job that it names
 * @id: number of the request at its host
 * @reply: called with the answer
 * @context: passed to @reply
 * @outcome: the answer
 * @state: its text
 */
void
FvLeaderRequest_Answer(fv_leader_t *leader, fv_verb_t verb, const char *job,
                       int64_t id, fv_leader_reply_t reply, void *context,
                       fv_reply_t outcome, const char *state)
{
    fv_cell_message_t answer = {.kind = Fv_CELL_MESSAGE_REPLY,
                                .id = id,
                                .number = outcome,
                                .name = state,
                                .key = leader->settings->host};
    int64_t now_ms = FvClock_NowMs();

    if (verb == Fv_VERB_CANCEL) {
        FvLog_Event(
            FvLog_LevelWithin(&leader->cancel_log, Fv_CANCEL_LOG_LINES_PER_S,
                              now_ms),
            "cancel_answered",
            "job=%s reply=%d state=%s epoch=%" PRId64
            " lease_left_ms=%" PRId64,
            job, (int)outcome, state, leader->epoch,
            leader->events.lease_left_ms(leader->events.context, now_ms));
    }
    reply(context, &answer);
}

/**
 * FvLeaderRequest_OutageWaitMs - after which time to repeat a submission that
 * an outage of the store has refused
 * @leader: the leader
 * @now_ms: the time
 *
 * Return: the wait in ms.
 */
int64_t
FvLeaderRequest_OutageWaitMs(const fv_leader_t *leader, int64_t now_ms)
{
    return FvRetryAfter_OutageMs(
        FvRecordWriter_StalledMs(leader->records, now_ms));
}

static void
reply_now(fv_leader_t *leader, const fv_cell_message_t *message,
          fv_leader_reply_t reply, void *context, fv_reply_t outcome,
          const char *state)
{
    FvLeaderRequest_Answer(leader, (fv_verb_t)message->number, message->key,
                           message->id, reply, context, outcome, state);
}

static const fv_cell_queue_t *
find_queue(fv_leader_t *leader, const char *name)
{
    return FvRoute_FindQueueByName(
        leader->events.config(leader->events.context), name);
}

static bool
has_customers(const fv_leader_t *leader)
{
    const fv_cell_config_t *config =
        leader->events.config(leader->events.context);

    return config != NULL && config->has_customers;
}

/* Whether a caller may not know of another customer's job. A public route
 * gives access to the jobs that were submitted there. */
static bool
is_other_customers(fv_leader_t *leader, const char *customer,
                   const char *queue_name, const fv_cell_message_t *message)
{
    const fv_cell_queue_t *queue = find_queue(leader, message->name);
    const char *caller = message->customer != NULL ? message->customer : "";

    return customer[0] != '\0' && has_customers(leader) &&
           strcmp(customer, caller) != 0 &&
           !(queue != NULL && queue->is_public &&
             strcmp(queue_name, message->name) == 0);
}

/* Answers a request about a job of another customer. The owner stands in the
 * store for good; before it does, the job may yet be withdrawn. */
static bool
answer_forbidden(fv_leader_t *leader, const fv_cell_message_t *message,
                 fv_leader_reply_t reply, void *context)
{
    fv_sched_job_t *job = FvSched_FindJob(&leader->sched, message->key);
    fv_ended_job_t *ended = NULL;
    bool forbidden = false;

    HASH_FIND_STR(leader->ended, message->key, ended);
    if (ended != NULL) {
        forbidden = is_other_customers(leader, ended->owner.customer,
                                       ended->owner.queue, message);
    }
    else if (job != NULL) {
        forbidden = is_other_customers(leader, job->customer, job->queue.name,
                                       message);
    }
    if (forbidden) {
        reply_now(leader, message, reply, context,
                  ended != NULL || job->durable ? Fv_REPLY_FORBIDDEN
                                                : Fv_REPLY_NOT_READY,
                  "");
    }
    return forbidden;
}

/* Whether all records of the job, however far it gets, fit into the store. */
static bool
fits_into_store(const fv_leader_t *leader, const fv_cell_message_t *message,
                const fv_job_spec_t *spec)
{
    size_t max_bytes = (size_t)leader->settings->store_value_max_bytes;

    return message->body_length + Fv_JOB_RECORD_HEADER_MAX_BYTES <=
               max_bytes &&
           FvSchedRecord_ProgressMaxBytes(spec) <= max_bytes;
}

/* @wait_ms: after which time the job may be accepted; the callers' retries are
 * spread */
static void
refuse(fv_leader_t *leader, const fv_cell_message_t *message,
       fv_leader_reply_t reply, void *context, const char *cause,
       int64_t wait_ms)
{
    fv_retry_after_t retry_after;

    FvRetryAfter_Format(wait_ms, FvSched_Random(&leader->sched), &retry_after);
    FvMetrics_Add(Fv_COUNTER_JOBS_REFUSED, 1);
    FvLog_Event(FvLog_LevelWithin(&leader->refusal_log,
                                  Fv_REFUSAL_LOG_LINES_PER_S, FvClock_NowMs()),
                "job_refused",
                "job=%s queue=%s cause=%s retry_after_s=%s job_memory=%" PRId64
                " job_memory_max=%" PRId64,
                message->key, message->name, cause, retry_after.text,
                FvSched_JobMemoryBytes(&leader->sched),
                leader->sched.job_memory_max_bytes);
    reply_now(leader, message, reply, context, Fv_REPLY_REFUSED,
              retry_after.text);
}

/* Returns whether the job was refused, as it can't be done or not in time. */
static bool
refuse_hopeless(fv_leader_t *leader, const fv_cell_message_t *message,
                const fv_job_spec_t *spec, const fv_cell_queue_t *queue,
                fv_leader_reply_t reply, void *context)
{
    int64_t retry_ms = 0;

    switch (FvSched_CheckSubmission(&leader->sched, spec, queue,
                                    FvClock_NowMs(), &retry_ms)) {
    case Fv_REFUSAL_UNFIT:
        FvMetrics_Add(Fv_COUNTER_JOBS_UNFIT, 1);
        refuse(leader, message, reply, context, "no_fitting_worker", retry_ms);
        return true;
    case Fv_REFUSAL_BACKLOG:
        FvMetrics_Add(Fv_COUNTER_JOBS_HOPELESS, 1);
        refuse(leader, message, reply, context, "backlog", retry_ms);
        return true;
    case Fv_REFUSAL_NONE:
    default:
        return false;
    }
}

/* A job that is excess and could not start now. Bursts after a change of
 * leader are not refused before this one knows what is free. */
static bool
is_refused_excess(fv_leader_t *leader, const fv_sched_customer_t *customer,
                  const fv_cell_queue_t *queue, const fv_job_spec_t *spec)
{
    int64_t now_ms = FvClock_NowMs();

    return FvSched_IsOverRate(customer, now_ms) &&
           !leader->sched.hold_inherited_tasks &&
           !FvSched_HasRoomForExcess(&leader->sched, customer, queue, spec,
                                     now_ms);
}

static void
refuse_excess(fv_leader_t *leader, const fv_cell_message_t *message,
              fv_leader_reply_t reply, void *context)
{
    uint32_t spread_s = Fv_EXCESS_RETRY_MAX_S - Fv_EXCESS_RETRY_MIN_S + 1;
    char retry_after_s[12];

    snprintf(retry_after_s, sizeof(retry_after_s), "%u",
             Fv_EXCESS_RETRY_MIN_S +
                 FvSched_Random(&leader->sched) % spread_s);
    FvMetrics_Add(Fv_COUNTER_JOBS_REFUSED, 1);
    FvMetrics_AddForMember(Fv_MEMBER_EXCESS_REFUSED, message->customer, 1);
    FvLog_Event(FvLog_LevelWithin(&leader->excess_log,
                                  Fv_EXCESS_LOG_LINES_PER_S, FvClock_NowMs()),
                "job_refused",
                "job=%s queue=%s cause=excess customer=%s retry_after_s=%s",
                message->key, message->name, message->customer, retry_after_s);
    reply_now(leader, message, reply, context, Fv_REPLY_EXCESS, retry_after_s);
}

static fv_sched_customer_t *
find_customer(const fv_leader_t *leader, const fv_cell_queue_t *queue,
              const fv_cell_message_t *message)
{
    return queue->is_public || message->customer == NULL
               ? NULL
               : FvSched_FindCustomer(&leader->sched, message->customer);
}

static void
submit(fv_leader_t *leader, const fv_cell_message_t *message,
       fv_leader_reply_t reply, void *context)
{
    const fv_cell_queue_t *queue = find_queue(leader, message->name);
    int64_t now_ms = FvClock_NowMs();
    int64_t wall_ms = FvClock_WallMs();
    fv_sched_customer_t *customer;
    fv_sched_job_t *job;
    fv_job_spec_t spec;

    if (queue == NULL) {
        reply_now(leader, message, reply, context, Fv_REPLY_NOT_READY, "");
        return;
    }
    FvLeader_ApplyCustomers(leader);
    customer = find_customer(leader, queue, message);
    if (FvRecordWriter_Stalled(leader->records, now_ms)) {
        FvSched_CountRefusedJob(customer, now_ms);
        refuse(leader, message, reply, context, "store_away",
               FvLeaderRequest_OutageWaitMs(leader, now_ms));
        return;
    }
    if (!FvPlatform_DecodeJobSpec(message->body, message->body_length,
                                  &spec)) {
        FvJobSpec_Clear(&spec);
        FvLog_Event(Fv_LOG_INFO, "job_malformed", "job=%s queue=%s",
                    message->key, message->name);
        reply_now(leader, message, reply, context, Fv_REPLY_MALFORMED, "");
        return;
    }
    if (!fits_into_store(leader, message, &spec) ||
        !FvSched_FitsIntoMemory(&leader->sched, &spec, queue,
                                message->body_length)) {
        FvJobSpec_Clear(&spec);
        FvLog_Event(Fv_LOG_INFO, "job_too_large", "job=%s queue=%s",
                    message->key, message->name);
        reply_now(leader, message, reply, context, Fv_REPLY_MALFORMED, "");
        return;
    }
    if (!FvSched_HasMemoryForJob(&leader->sched, &spec, queue,
                                 message->body_length)) {
        FvJobSpec_Clear(&spec);
        FvSched_CountRefusedJob(customer, now_ms);
        refuse(leader, message, reply, context, "memory", Fv_MEMORY_RETRY_MS);
        return;
    }
    if (!FvSched_CanFitUnderCap(customer, &spec)) {
        FvJobSpec_Clear(&spec);
        refuse(leader, message, reply, context, "customer_cap",
               Fv_CAP_RETRY_MS);
        return;
    }
    if (refuse_hopeless(leader, message, &spec, queue, reply, context)) {
        FvJobSpec_Clear(&spec);
        return;
    }
    if (is_refused_excess(leader, customer, queue, &spec)) {
        FvJobSpec_Clear(&spec);
        refuse_excess(leader, message, reply, context);
        return;
    }
    job = FvSched_AddJob(&leader->sched, message->key, queue, &spec,
                         message->body, message->body_length, now_ms, wall_ms);
    FvJobSpec_Clear(&spec);
    if (job == NULL) {
        reply_now(leader, message, reply, context, Fv_REPLY_NOT_READY, "");
        return;
    }
    if (!queue->is_public) {
        FvText_Copy(job->customer, sizeof(job->customer), message->customer);
    }
    FvSched_OpenAccount(&leader->sched, job);
    FvSched_CountAcceptedJob(job, now_ms);
    FvLeaderRecord_AddWaiter(job, message, reply, context);
    FvLeaderRecord_Write(&leader->sched, job, Fv_RECORD_ACCEPT);
    FvSched_ReleaseStages(&leader->sched, job, now_ms, wall_ms);
    FvLeader_SchedulePass(leader);
}

static void
handle_ended_job(fv_leader_t *leader, fv_ended_job_t *ended,
                 const fv_cell_message_t *message, fv_leader_reply_t reply,
                 void *context)
{
    bool barred = strcmp(ended->state, Fv_STATE_BARRED) == 0;

    if (barred && !ended->recorded) {
        if (message->number == Fv_VERB_CANCEL) {
            FvLeaderRecord_AddBarWaiter(ended, message, reply, context);
            return;
        }
        reply_now(leader, message, reply, context, Fv_REPLY_NOT_READY, "");
    }
    else if (message->number == Fv_VERB_SUBMIT) {
        reply_now(leader, message, reply, context,
                  barred ? Fv_REPLY_REFUSED : Fv_REPLY_ACCEPTED,
                  barred ? Fv_BARRED_RETRY_AFTER_S : "");
    }
    else {
        reply_now(leader, message, reply, context,
                  barred ? Fv_REPLY_GONE : Fv_REPLY_STATE,
                  barred ? "" : ended->state);
    }
}

static void
handle_open_job(fv_leader_t *leader, fv_sched_job_t *job,
                const fv_cell_message_t *message, fv_leader_reply_t reply,
                void *context)
{
    if (message->number == Fv_VERB_SUBMIT) {
        FvLeaderRecord_AddWaiter(job, message, reply, context);
    }
    else if (message->number == Fv_VERB_STATE) {
        reply_now(leader, message, reply, context,
                  job->durable ? Fv_REPLY_STATE : Fv_REPLY_NOT_READY,
                  FvSched_JobStateName(job));
    }
    else {
        FvLeaderRecord_AddWaiter(job, message, reply, context);
        FvSched_CancelJob(&leader->sched, job, FvClock_NowMs());
        FvLeader_SchedulePass(leader);
    }
}

static void
hold_question(fv_leader_t *leader, const fv_cell_message_t *message,
              fv_leader_reply_t reply, void *context)
{
    fv_held_question_t *question = NULL;

    if (leader->question_count < Fv_QUESTIONS_MAX) {
        question = calloc(1, sizeof(*question));
    }
    if (question == NULL) {
        reply_now(leader, message, reply, context, Fv_REPLY_NOT_READY, "");
        return;
    }
    *question = (fv_held_question_t){
        .id = message->id,
        .reply = reply,
        .context = context,
        .renewal = leader->events.prove_lease(leader->events.context),
        .until_ms = FvClock_NowMs() + Fv_KV_RENEW_TIMEOUT_MS};
    FvText_Copy(question->job, sizeof(question->job), message->key);
    FvText_Copy(question->asker.customer, sizeof(question->asker.customer),
                message->customer);
    FvText_Copy(question->asker.queue, sizeof(question->asker.queue),
                message->name);
    if (leader->questions_last != NULL) {
        leader->questions_last->next = question;
    }
    else {
        leader->questions_first = question;
    }
    leader->questions_last = question;
    leader->question_count++;
}

static fv_held_question_t *
take_first_question(fv_leader_t *leader)
{
    fv_held_question_t *question = leader->questions_first;

    leader->question_count--;
    leader->questions_first = question->next;
    if (leader->questions_first == NULL) {
        leader->questions_last = NULL;
    }
    return question;
}

/* Requests that may be answered by any host that has read the store's records,
 * since what they are told stands there for good. */
static bool
answer_from_records(fv_leader_t *leader, const fv_cell_message_t *message,
                    fv_leader_reply_t reply, void *context)
{
    fv_sched_job_t *job = FvSched_FindJob(&leader->sched, message->key);
    fv_ended_job_t *ended = NULL;

    HASH_FIND_STR(leader->ended, message->key, ended);
    if (ended != NULL) {
        handle_ended_job(leader, ended, message, reply, context);
    }
    else if (job != NULL && message->number == Fv_VERB_SUBMIT &&
             job->durable) {
        reply_now(leader, message, reply, context, Fv_REPLY_ACCEPTED, "");
    }
    else if (job != NULL && message->number != Fv_VERB_SUBMIT &&
             job->recorded != Fv_SCHED_JOB_OPEN) {
        reply_now(leader, message, reply, context, Fv_REPLY_STATE,
                  FvSched_JobStateName(job));
    }
    else {
        return false;
    }
    return true;
}

static void
handle_unknown_job(fv_leader_t *leader, const fv_cell_message_t *message,
                   fv_leader_reply_t reply, void *context)
{
    if (message->number == Fv_VERB_SUBMIT) {
        submit(leader, message, reply, context);
    }
    else if (message->number == Fv_VERB_STATE) {
        hold_question(leader, message, reply, context);
    }
    else if (FvRecordWriter_Stalled(leader->records, FvClock_NowMs()) ||
             !FvLeaderRecord_MayBar(leader)) {
        reply_now(leader, message, reply, context, Fv_REPLY_NOT_READY, "");
    }
    else {
        FvLeaderRecord_Bar(leader, message, reply, context);
    }
}

/* The number of jobs that wait, as long as no other leader can have accepted
 * any. */
static void
answer_count(fv_leader_t *leader, const fv_cell_message_t *message,
             fv_leader_reply_t reply, void *context)
{
    char count[24];

    if (leader->events.lease_left_ms(leader->events.context, FvClock_NowMs()) <
        0) {
        reply_now(leader, message, reply, context, Fv_REPLY_NOT_READY, "");
        return;
    }
    snprintf(count, sizeof(count), "%" PRId64,
             FvSched_CountQueuedJobs(&leader->sched, message->name));
    reply_now(leader, message, reply, context, Fv_REPLY_COUNT, count);
}

/**
 * FvLeader_HandleRequest - handle a request about a job or a queue
 * @leader: the leader
 * @message: the request
 * @reply: called with the answer
 * @context: passed to @reply
 *
 * What each answer requires is listed in docs/platform.md.
 */
void
FvLeader_HandleRequest(fv_leader_t *leader, const fv_cell_message_t *message,
                       fv_leader_reply_t reply, void *context)
{
    fv_sched_job_t *job;
    bool may_send_orders;

    if (!leader->serving) {
        reply_now(leader, message, reply, context, Fv_REPLY_NOT_READY, "");
        return;
    }
    may_send_orders = leader->events.may_send_orders(leader->events.context,
                                                     FvClock_NowMs());
    /* The key of the call may have been removed without this host learning of
     * it, so that records are no proof that it may be answered. */
    if (has_customers(leader) && !may_send_orders) {
        reply_now(leader, message, reply, context, Fv_REPLY_NOT_READY, "");
        return;
    }
    if (message->number != Fv_VERB_WAITING &&
        (answer_forbidden(leader, message, reply, context) ||
         answer_from_records(leader, message, reply, context))) {
        return;
    }
    if (!may_send_orders) {
        reply_now(leader, message, reply, context, Fv_REPLY_NOT_READY, "");
        return;
    }
    if (message->number == Fv_VERB_WAITING) {
        answer_count(leader, message, reply, context);
        return;
    }
    job = FvSched_FindJob(&leader->sched, message->key);
    if (job != NULL) {
        handle_open_job(leader, job, message, reply, context);
    }
    else {
        handle_unknown_job(leader, message, reply, context);
    }
}

/**
 * FvLeader_LeaseProved - note that this host led, and answer the questions
 * that wait for a renewal
 * @leader: the leader, or NULL
 * @renewal: number of a renewal that succeeded
 * @sent_ms: when it was sent
 */
void
FvLeader_LeaseProved(fv_leader_t *leader, uint64_t renewal, int64_t sent_ms)
{
    if (leader == NULL) {
        return;
    }
    FvSched_ConfirmLead(&leader->sched, sent_ms);
    while (leader->questions_first != NULL &&
           leader->questions_first->renewal <= renewal) {
        fv_held_question_t *question = take_first_question(leader);
        fv_cell_message_t message = {.id = question->id,
                                     .number = Fv_VERB_STATE,
                                     .name = question->asker.queue,
                                     .key = question->job,
                                     .customer = question->asker.customer};
        fv_sched_job_t *job = FvSched_FindJob(&leader->sched, question->job);

        if (answer_forbidden(leader, &message, question->reply,
                             question->context)) {
            free(question);
            continue;
        }
        if (job != NULL && job->recorded == Fv_SCHED_JOB_OPEN) {
            handle_open_job(leader, job, &message, question->reply,
                            question->context);
        }
        else if (!answer_from_records(leader, &message, question->reply,
                                      question->context)) {
            reply_now(leader, &message, question->reply, question->context,
                      Fv_REPLY_GONE, "");
        }
        free(question);
    }
}

/**
 * FvLeaderRequest_ExpireQuestions - give back questions without a proof
 * @leader: the leader
 * @now_ms: the time
 */
void
FvLeaderRequest_ExpireQuestions(fv_leader_t *leader, int64_t now_ms)
{
    while (leader->questions_first != NULL &&
           leader->questions_first->until_ms <= now_ms) {
        fv_held_question_t *question = take_first_question(leader);

        FvLeaderRequest_Answer(leader, Fv_VERB_STATE, question->job,
                               question->id, question->reply,
                               question->context, Fv_REPLY_NOT_READY, "");
        free(question);
    }
}

static void
drop_questions(fv_leader_t *leader, const void *context)
{
    fv_held_question_t **link = &leader->questions_first;

    leader->questions_last = NULL;
    while (*link != NULL) {
        fv_held_question_t *question = *link;

        if (context != NULL && question->context != context) {
            leader->questions_last = question;
            link = &question->next;
            continue;
        }
        *link = question->next;
        leader->question_count--;
        free(question);
    }
}

/**
 * FvLeader_DropReplies - drop the pending replies to a disconnected host
 * @leader: the leader
 * @context: the context of the host's requests; NULL: those to all hosts
 */
void
FvLeader_DropReplies(fv_leader_t *leader, const void *context)
{
    for (fv_sched_job_t *job = leader->sched.jobs; job != NULL;
         job = job->hh.next) {
        FvLeaderRecord_DropWaiters((fv_record_waiter_t **)&job->waiters,
                                   context);
    }
    for (fv_ended_job_t *ended = leader->ended; ended != NULL;
         ended = ended->hh.next) {
        FvLeaderRecord_DropWaiters(&ended->waiters, context);
    }
    drop_questions(leader, context);
}
