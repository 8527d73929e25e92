/*
 * The leader's records in the store, and the replies that wait for them.
 */

#include "cell-leader.h"
#include "retry-after.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Requests that wait for the records of one job. A caller repeats one a few
 * times; beyond this number they time out at their hosts. */
#define Fv_WAITERS_MAX 256

/* Share of the memory for jobs that cancellations of unknown jobs may take in
 * addition: a sixteenth of the process's memory, 27,000 of them at 120 MB. */
#define Fv_BARRED_DIVISOR 4
#define Fv_ENTRY_BYTES 48 /* of the hash table and the allocation */

/* Answers the requests in a list that wait for a record of a job. @verb: only
 * these requests; 0: all */
static void
answer_list(fv_leader_t *leader, const char *job, fv_record_waiter_t **list,
            fv_verb_t verb, fv_reply_t outcome, const char *state)
{
    fv_record_waiter_t **link = list;

    while (*link != NULL) {
        fv_record_waiter_t *waiter = *link;

        if (verb != 0 && waiter->verb != verb) {
            link = &waiter->next;
            continue;
        }
        *link = waiter->next;
        FvLeaderRequest_Answer(leader, waiter->verb, job, waiter->id,
                               waiter->reply, waiter->context, outcome, state);
        free(waiter);
    }
}

static void
answer_waiters(fv_leader_t *leader, fv_sched_job_t *job, fv_verb_t verb,
               fv_reply_t outcome, const char *state)
{
    answer_list(leader, job->id, (fv_record_waiter_t **)&job->waiters, verb,
                outcome, state);
}

static void
add_waiter(fv_record_waiter_t **waiters, const fv_cell_message_t *message,
           fv_leader_reply_t reply, void *context)
{
    uint32_t position = *waiters != NULL ? (*waiters)->position + 1 : 1;
    fv_record_waiter_t *waiter = NULL;

    if (position <= Fv_WAITERS_MAX) {
        waiter = calloc(1, sizeof(*waiter));
    }
    if (waiter == NULL) {
        return; /* the request times out and is repeated */
    }
    *waiter = (fv_record_waiter_t){.id = message->id,
                                   .position = position,
                                   .verb = (fv_verb_t)message->number,
                                   .reply = reply,
                                   .context = context,
                                   .next = *waiters};
    *waiters = waiter;
}

/**
 * FvLeaderRecord_AddWaiter - reply to a request once a job is recorded
 * @job: the job
 * @message: the caller's request
 * @reply: called with the answer
 * @context: passed to @reply
 */
void
FvLeaderRecord_AddWaiter(fv_sched_job_t *job, const fv_cell_message_t *message,
                         fv_leader_reply_t reply, void *context)
{
    add_waiter((fv_record_waiter_t **)&job->waiters, message, reply, context);
}

/**
 * FvLeaderRecord_AddBarWaiter - reply to a cancellation once a bar is recorded
 * @ended: the barred job
 * @message: the caller's request
 * @reply: called with the answer
 * @context: passed to @reply
 */
void
FvLeaderRecord_AddBarWaiter(fv_ended_job_t *ended,
                            const fv_cell_message_t *message,
                            fv_leader_reply_t reply, void *context)
{
    add_waiter(&ended->waiters, message, reply, context);
}

/**
 * FvLeaderRecord_DropWaiters - drop the waiting requests of a host
 * @waiters: the list
 * @context: the context of the host's requests; NULL: drop all
 */
void
FvLeaderRecord_DropWaiters(fv_record_waiter_t **waiters, const void *context)
{
    fv_record_waiter_t **link = waiters;

    while (*link != NULL) {
        fv_record_waiter_t *waiter = *link;

        if (context != NULL && waiter->context != context) {
            link = &waiter->next;
            continue;
        }
        *link = waiter->next;
        free(waiter);
    }
}

static bool
is_barred(const fv_ended_job_t *ended)
{
    return strcmp(ended->state, Fv_STATE_BARRED) == 0;
}

/**
 * FvLeaderRecord_ForgetEnded - remove an ended job from memory
 * @leader: the leader
 * @ended: the job, for which nobody waits; it is freed
 */
void
FvLeaderRecord_ForgetEnded(fv_leader_t *leader, fv_ended_job_t *ended)
{
    leader->barred_count -= is_barred(ended);
    /* uthash unlinks the entry, which the analyzer does not see. */
    /* NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
    HASH_DEL(leader->ended, ended);
    free(ended);
}

/**
 * FvLeaderRecord_MayBar - whether there is memory for another barred job
 * @leader: the leader
 *
 * Every host that may lead next has to hold them too.
 *
 * Return: false when the barred jobs take their share already.
 */
bool
FvLeaderRecord_MayBar(const fv_leader_t *leader)
{
    int64_t bytes = ((int64_t)leader->barred_count + 1) *
                    (int64_t)(sizeof(fv_ended_job_t) + Fv_ENTRY_BYTES);

    return leader->sched.job_memory_max_bytes == 0 ||
           bytes <= leader->sched.job_memory_max_bytes / Fv_BARRED_DIVISOR;
}

static fv_ended_job_t *
find_or_add_ended(fv_leader_t *leader, const char *id, const char *state)
{
    fv_ended_job_t *ended = NULL;

    HASH_FIND_STR(leader->ended, id, ended);
    if (ended == NULL) {
        ended = calloc(1, sizeof(*ended));
        if (ended == NULL) {
            return NULL;
        }
        FvText_Copy(ended->id, sizeof(ended->id), id);
        HASH_ADD_STR(leader->ended, id, ended);
    }
    leader->barred_count -= is_barred(ended);
    FvText_Copy(ended->state, sizeof(ended->state), state);
    leader->barred_count += is_barred(ended);
    ended->ended_ms = FvClock_NowMs();
    return ended;
}

/**
 * FvLeaderRecord_RememberEnded - keep the state of an ended job in memory
 * @leader: the leader
 * @id: the job
 * @state: its final state, as recorded
 * @owner: whose job it was
 */
void
FvLeaderRecord_RememberEnded(fv_leader_t *leader, const char *id,
                             const char *state, const fv_job_owner_t *owner)
{
    fv_ended_job_t *ended = find_or_add_ended(leader, id, state);

    if (ended != NULL) {
        ended->recorded = true;
        ended->owner = *owner;
    }
}

/**
 * FvLeaderRecord_EncodeEnded - encode the record of an ended job
 * @state: its final state
 * @owner: whose job it was
 * @out: receives the record
 *
 * A job of a customer adds the customer and the queue, each after a NUL, at
 * which earlier builds end the state.
 */
void
FvLeaderRecord_EncodeEnded(const char *state, const fv_job_owner_t *owner,
                           fv_buffer_t *out)
{
    FvBuffer_Append(out, state, strlen(state));
    if (owner->customer[0] != '\0') {
        FvBuffer_Append(out, "", 1);
        FvBuffer_Append(out, owner->customer, strlen(owner->customer));
        FvBuffer_Append(out, "", 1);
        FvBuffer_Append(out, owner->queue, strlen(owner->queue));
    }
}

/* Takes the text up to the next NUL. */
static bool
take_text(const char **from, const char *end, char target[Fv_NAME_SIZE])
{
    size_t length = strnlen(*from, (size_t)(end - *from));

    if (length >= Fv_NAME_SIZE) {
        return false;
    }
    memcpy(target, *from, length);
    target[length] = '\0';
    *from += length < (size_t)(end - *from) ? length + 1 : length;
    return true;
}

/**
 * FvLeaderRecord_DecodeEnded - decode the record of an ended job
 * @value: the record
 * @state: set to its final state, within @value
 * @owner: receives whose job it was
 *
 * Return: false when the owner is unreadable; it is nobody then.
 */
bool
FvLeaderRecord_DecodeEnded(const fv_buffer_t *value, const char **state,
                           fv_job_owner_t *owner)
{
    const char *text = (const char *)value->data;
    const char *end = text + value->length;

    *owner = (fv_job_owner_t){0};
    *state = text;
    text += strnlen(text, value->length);
    if (text == end) {
        return true;
    }
    text++;
    if (!take_text(&text, end, owner->customer) ||
        !take_text(&text, end, owner->queue)) {
        *owner = (fv_job_owner_t){0};
        return false;
    }
    return true;
}

/**
 * FvLeaderRecord_EndedCustomer - find the customer of a job that has ended
 * @sched: the scheduler
 * @task: name of one of its tasks
 *
 * Return: the customer's name, "" for none; NULL when no end of the job is
 * known.
 */
const char *
FvLeaderRecord_EndedCustomer(fv_sched_t *sched, const char *task)
{
    const fv_leader_t *leader = FvLeader_FromSched(sched);
    fv_ended_job_t *ended = NULL;
    char id[Fv_JOB_ID_SIZE];

    snprintf(id, sizeof(id), "%.*s", Fv_JOB_ID_SIZE - 1, task);
    HASH_FIND_STR(leader->ended, id, ended);
    return ended != NULL ? ended->owner.customer : NULL;
}

typedef struct fv_record_call {
    fv_leader_t *leader;
    char job[Fv_JOB_ID_SIZE];
    fv_record_kind_t kind;
} fv_record_call_t;

/**
 * FvLeaderRecord_RemoveIfIdle - remove an ended job without running tasks
 * @leader: the leader
 * @job: the job
 */
void
FvLeaderRecord_RemoveIfIdle(fv_leader_t *leader, fv_sched_job_t *job)
{
    if (FvSched_MayRemoveJob(&leader->sched, job)) {
        answer_waiters(leader, job, (fv_verb_t)0, Fv_REPLY_NOT_READY, "");
        FvSched_RemoveJob(&leader->sched, job);
    }
}

static fv_job_owner_t
job_owner(const fv_sched_job_t *job)
{
    fv_job_owner_t owner = {0};

    FvText_Copy(owner.customer, sizeof(owner.customer), job->customer);
    FvText_Copy(owner.queue, sizeof(owner.queue), job->queue.name);
    return owner;
}

static void
record_written(void *context)
{
    fv_record_call_t *call = context;
    fv_leader_t *leader = call->leader;
    fv_sched_job_t *job = FvSched_FindJob(&leader->sched, call->job);

    if (job != NULL && call->kind == Fv_RECORD_ACCEPT) {
        FvSched_MarkJobDurable(&leader->sched, job);
        FvMetrics_Add(Fv_COUNTER_JOBS_ACCEPTED, 1);
        FvLog_Event(Fv_LOG_INFO, "job_accepted",
                    "job=%s queue=%s after_ms=%" PRId64 " excess=%d", job->id,
                    job->queue.name, FvClock_NowMs() - job->received_ms,
                    job->excess ? 1 : 0);
        if (job->account != NULL) {
            FvMetrics_AddForMember(job->excess ? Fv_MEMBER_EXCESS_ACCEPTED
                                               : Fv_MEMBER_JOBS_ACCEPTED,
                                   job->customer, 1);
        }
        answer_waiters(leader, job, Fv_VERB_SUBMIT, Fv_REPLY_ACCEPTED, "");
    }
    else if (job != NULL && call->kind == Fv_RECORD_END) {
        fv_job_owner_t owner = job_owner(job);

        job->recorded = job->outcome;
        FvLeaderRecord_RememberEnded(leader, job->id,
                                     FvSched_JobStateName(job), &owner);
        FvMetrics_Record(Fv_TIMING_TOTAL, Fv_CLASS_DEADLINE, job->queue.name,
                         (FvClock_NowMs() - job->received_ms) * 1000);
        answer_waiters(leader, job, Fv_VERB_CANCEL, Fv_REPLY_STATE,
                       FvSched_JobStateName(job));
        FvLeaderRecord_RemoveIfIdle(leader, job);
    }
    free(call);
    FvLeader_SchedulePass(leader);
}

/* The job's record was never sent to the store, so the job is rejected. */
static void
accept_withdrawn(void *context)
{
    fv_record_call_t *call = context;
    fv_leader_t *leader = call->leader;
    fv_sched_job_t *job = FvSched_FindJob(&leader->sched, call->job);

    if (job != NULL && !job->durable) {
        int64_t now_ms = FvClock_NowMs();
        fv_retry_after_t retry_after;

        FvRetryAfter_Format(FvLeaderRequest_OutageWaitMs(leader, now_ms),
                            FvSched_Random(&leader->sched), &retry_after);
        FvMetrics_Add(Fv_COUNTER_JOBS_REFUSED, 1);
        FvSched_CountWithdrawnJob(job);
        FvLog_Event(Fv_LOG_INFO, "job_refused",
                    "job=%s queue=%s cause=store_away retry_after_s=%s",
                    job->id, job->queue.name, retry_after.text);
        answer_waiters(
            leader, job, Fv_VERB_SUBMIT,
            leader->events.may_send_orders(leader->events.context, now_ms)
                ? Fv_REPLY_REFUSED
                : Fv_REPLY_NOT_READY,
            retry_after.text);
        answer_waiters(leader, job, Fv_VERB_CANCEL, Fv_REPLY_NOT_READY, "");
        FvSched_RemoveJob(&leader->sched, job);
    }
    free(call);
}

static void
format_job_key(const char *prefix, const char *id, char *key, size_t size)
{
    snprintf(key, size, "%s%s", prefix, id);
}

static const char *
outcome_name(fv_sched_outcome_t outcome)
{
    return outcome == Fv_SCHED_JOB_COMPLETED ? "completed"
           : outcome == Fv_SCHED_JOB_FAILED  ? "failed"
                                             : "cancelled";
}

static uint32_t
build_record(const fv_leader_t *leader, fv_sched_job_t *job,
             fv_record_kind_t kind, fv_record_t *entries)
{
    fv_job_owner_t owner = job_owner(job);
    uint32_t count = 0;

    if (kind == Fv_RECORD_ACCEPT) {
        format_job_key(Fv_KEY_JOBS, job->id, entries[0].key, Fv_KEY_SIZE);
        FvSchedRecord_EncodeJob(job, &entries[0].value);
        return 1;
    }
    if (kind == Fv_RECORD_PROGRESS) {
        format_job_key(Fv_KEY_PROGRESS, job->id, entries[0].key, Fv_KEY_SIZE);
        FvSchedRecord_EncodeProgress(
            job, (size_t)leader->settings->store_value_max_bytes,
            &entries[0].value);
        job->progress_recorded = true;
        return 1;
    }
    format_job_key(Fv_KEY_ENDED, job->id, entries[0].key, Fv_KEY_SIZE);
    FvLeaderRecord_EncodeEnded(outcome_name(job->outcome), &owner,
                               &entries[0].value);
    entries[0].expires = true;
    format_job_key(Fv_KEY_JOBS, job->id, entries[1].key, Fv_KEY_SIZE);
    count = 2;
    if (job->progress_recorded) {
        format_job_key(Fv_KEY_PROGRESS, job->id, entries[2].key, Fv_KEY_SIZE);
        count = 3;
    }
    return count;
}

/**
 * FvLeaderRecord_Write - record a job in the store
 * @sched: the scheduler
 * @job: the job
 * @kind: which record
 */
void
FvLeaderRecord_Write(fv_sched_t *sched, fv_sched_job_t *job,
                     fv_record_kind_t kind)
{
    fv_leader_t *leader = FvLeader_FromSched(sched);
    fv_record_call_t *call = calloc(1, sizeof(*call));
    fv_record_t entries[3] = {0};
    uint32_t count = build_record(leader, job, kind, entries);

    if (call == NULL) {
        abort(); /* no job may be acknowledged without a record */
    }
    call->leader = leader;
    call->kind = kind;
    FvText_Copy(call->job, sizeof(call->job), job->id);
    if (!FvRecordWriter_Write(
            leader->records,
            &(fv_records_group_t){
                .order_key = job->id,
                .replaces = kind == Fv_RECORD_PROGRESS,
                .entries = entries,
                .count = count,
                .urgent = kind == Fv_RECORD_ACCEPT || job->cancelled,
                .done = record_written,
                .withdrawn =
                    kind == Fv_RECORD_ACCEPT ? accept_withdrawn : NULL,
                .context = call})) {
        free(call);
    }
}

static fv_ended_job_t *
find_barred(const fv_record_call_t *call)
{
    fv_ended_job_t *ended = NULL;

    HASH_FIND_STR(call->leader->ended, call->job, ended);
    return ended;
}

static void
bar_written(void *context)
{
    fv_record_call_t *call = context;
    fv_ended_job_t *ended = find_barred(call);

    if (ended != NULL) {
        ended->recorded = true;
        answer_list(call->leader, ended->id, &ended->waiters, (fv_verb_t)0,
                    Fv_REPLY_GONE, "");
    }
    free(call);
}

static void
bar_withdrawn(void *context)
{
    fv_record_call_t *call = context;
    fv_ended_job_t *ended = find_barred(call);

    if (ended != NULL) {
        answer_list(call->leader, ended->id, &ended->waiters, (fv_verb_t)0,
                    Fv_REPLY_NOT_READY, "");
        FvLeaderRecord_ForgetEnded(call->leader, ended);
    }
    free(call);
}

/**
 * FvLeaderRecord_Bar - cancel a job that nobody has submitted yet
 * @leader: the leader
 * @message: the cancellation
 * @reply: called with the answer
 * @context: passed to @reply
 *
 * A submission may still be on its way, at another host or from the caller.
 * The record makes this and all later leaders refuse it, and only a leader
 * can write it. The caller is answered once it is written.
 */
void
FvLeaderRecord_Bar(fv_leader_t *leader, const fv_cell_message_t *message,
                   fv_leader_reply_t reply, void *context)
{
    fv_ended_job_t *ended =
        find_or_add_ended(leader, message->key, Fv_STATE_BARRED);
    fv_record_call_t *call = calloc(1, sizeof(*call));
    fv_record_t entry = {.expires = true};

    if (ended == NULL || call == NULL) {
        abort(); /* as for other records */
    }
    FvLeaderRecord_AddBarWaiter(ended, message, reply, context);
    call->leader = leader;
    FvText_Copy(call->job, sizeof(call->job), message->key);
    format_job_key(Fv_KEY_ENDED, call->job, entry.key, sizeof(entry.key));
    FvBuffer_Append(&entry.value, Fv_STATE_BARRED, strlen(Fv_STATE_BARRED));
    FvRecordWriter_Write(leader->records,
                         &(fv_records_group_t){.order_key = call->job,
                                               .entries = &entry,
                                               .count = 1,
                                               .urgent = true,
                                               .done = bar_written,
                                               .withdrawn = bar_withdrawn,
                                               .context = call});
}

static void worker_list_written(void *context);

/* A worker that has not reported got no orders, so that the next leader need
 * not wait for it. */
static bool
may_have_orders(const fv_sched_worker_t *worker)
{
    return worker->in_worker_list ||
           (worker->listed && worker->last_contact_ms != 0);
}

/**
 * FvLeaderWorkerList_Write - write the list of workers that may run tasks
 * @leader: the leader
 *
 * From the list, the next leader knows which workers must report before it
 * starts a task again. The first line holds the leader's host and, if a
 * handover left no run being stopped, the leader's generation. Each other line
 * holds a worker's id, address and service and, if it may hold a longer lease
 * than the usual one, how many milliseconds that may last.
 */
void
FvLeaderWorkerList_Write(fv_leader_t *leader)
{
    fv_record_t entry = {.key = Fv_KEY_WORKER_LIST};
    int64_t now_ms = FvClock_NowMs();
    char line[Fv_URL_SIZE];

    leader->worker_list_dirty = false;
    leader->worker_list_writing = true;
    snprintf(line, sizeof(line), leader->stops_settled ? "%s %d\n" : "%s\n",
             leader->settings->host, leader->generation);
    FvBuffer_Append(&entry.value, line, strlen(line));
    for (fv_sched_worker_t *worker = leader->sched.workers; worker != NULL;
         worker = worker->hh.next) {
        worker->in_list_write = may_have_orders(worker);
        if (!worker->in_list_write) {
            continue;
        }
        snprintf(line, sizeof(line), "%s %s %s %" PRId64 "\n",
                 worker->entry.id, worker->entry.address,
                 worker->entry.service,
                 FvSched_LongLeaseLeftMs(worker, now_ms));
        worker->long_lease_in_write = true;
        FvBuffer_Append(&entry.value, line, strlen(line));
    }
    FvRecordWriter_Write(leader->records,
                         &(fv_records_group_t){.order_key = Fv_KEY_WORKER_LIST,
                                               .entries = &entry,
                                               .count = 1,
                                               .urgent = true,
                                               .done = worker_list_written,
                                               .context = leader});
}

static void
worker_list_written(void *context)
{
    fv_leader_t *leader = context;

    leader->worker_list_writing = false;
    for (fv_sched_worker_t *worker = leader->sched.workers; worker != NULL;
         worker = worker->hh.next) {
        worker->in_worker_list =
            worker->in_worker_list || worker->in_list_write;
        worker->in_list_write = false;
        worker->long_lease_stored =
            worker->long_lease_stored || worker->long_lease_in_write;
        worker->long_lease_in_write = false;
    }
    leader->sched.dirty = true;
    FvLeader_SchedulePass(leader);
    if (leader->worker_list_dirty) {
        FvLeaderWorkerList_Write(leader);
        return;
    }
    if (leader->resigning) {
        leader->events.handed_over(leader->events.context);
    }
}

/**
 * FvLeaderWorkerList_RequestWrite - have the worker list written again
 * @leader: the leader
 */
void
FvLeaderWorkerList_RequestWrite(fv_leader_t *leader)
{
    leader->worker_list_dirty = true;
    if (!leader->worker_list_writing && !leader->reading_registry) {
        FvLeaderWorkerList_Write(leader);
    }
}

/**
 * FvLeaderWorkerList_Add - have a worker written to the worker list
 * @leader: the leader
 * @worker: the worker; ignored if the list tells of it and of its lease, or if
 *          it may not be in it yet
 */
void
FvLeaderWorkerList_Add(fv_leader_t *leader, const fv_sched_worker_t *worker)
{
    bool listed = worker->in_worker_list || worker->in_list_write;
    /* Further writes would put off the handover. */
    bool lease_known = leader->resigning || worker->long_lease_stored ||
                       worker->long_lease_in_write ||
                       FvSched_LongLeaseLeftMs(worker, FvClock_NowMs()) == 0;

    if (may_have_orders(worker) && (!listed || !lease_known)) {
        FvLeaderWorkerList_RequestWrite(leader);
    }
}
