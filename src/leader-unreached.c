/*
 * The stored list of workers that their leader does not reach and to which it
 * grants no lease. A successor knows from it that the runs on such a worker
 * have ended, although the worker does not report.
 *
 * An entry holds from its first write to its removal, whoever leads: a leader
 * adds a worker when all earlier ones have stopped and no lease longer than
 * the usual one is left, and grants none to a worker that the stored list may
 * have.
 *
 * A worker that is reached again gets no lease until the store has taken it
 * off the list. It is therefore added only when it has no runs to lose, or
 * when no process listens at its address or it has left the registry.
 */

#include "cell-leader.h"

#include <stdlib.h>
#include <string.h>

/* A worker that missed single answers is not written. */
#define Fv_UNREACHED_AFTER_MS 700

/* Every write is read by all hosts. */
#define Fv_UNREACHED_INTERVAL_MS 500

static bool
has_returned(const fv_sched_worker_t *worker)
{
    return worker->last_contact_ms != 0 && !worker->suspect;
}

static bool
has_runs_to_lose(const fv_sched_worker_t *worker, int64_t now_ms)
{
    return worker->listed && !worker->refused &&
           worker->lease_expires_ms >= now_ms;
}

static bool
may_add(const fv_leader_t *leader, const fv_sched_worker_t *worker,
        int64_t now_ms)
{
    return !worker->unreached && worker->suspect && worker->in_worker_list &&
           now_ms - worker->suspect_since_ms >= Fv_UNREACHED_AFTER_MS &&
           !has_runs_to_lose(worker, now_ms) &&
           worker->lease_expires_ms <=
               now_ms + FvSched_WorstCaseLeaseMs(&leader->sched) &&
           FvLeader_HaveEarlierStopped(leader, now_ms) &&
           (worker->last_contact_ms != 0 ||
            !leader->sched.hold_inherited_tasks) &&
           !FvLeader_IsWorkerGone(leader, worker);
}

static void
format_line(const fv_sched_worker_t *worker, char *line, size_t size)
{
    snprintf(line, size, "%s %" PRId64 " %" PRId64, worker->entry.id,
             worker->unreached_epoch, worker->unreached_number);
}

static void
list_written(void *context)
{
    fv_leader_t *leader = context;

    leader->unreached_writing = false;
    free(leader->unreached_loaded);
    leader->unreached_loaded = NULL;
    leader->unreached_due_ms = FvClock_NowMs() + Fv_UNREACHED_INTERVAL_MS;
    for (fv_sched_worker_t *worker = leader->sched.workers; worker != NULL;
         worker = worker->hh.next) {
        if (worker->unreached && !worker->in_unreached_write) {
            worker->unreached = false;
            FvLeaderWorker_RequestReport(&leader->sched, worker);
        }
    }
    leader->sched.dirty = true;
    FvLeader_SchedulePass(leader);
}

static void
write_list(fv_leader_t *leader)
{
    fv_record_t entry = {.key = Fv_KEY_UNREACHED};
    char line[Fv_KEY_SIZE];
    uint32_t count = 0;

    leader->unreached_writing = true;
    for (fv_sched_worker_t *worker = leader->sched.workers; worker != NULL;
         worker = worker->hh.next) {
        worker->in_unreached_write = worker->unreached &&
                                     !has_returned(worker) &&
                                     !FvLeader_IsWorkerGone(leader, worker);
        if (worker->in_unreached_write) {
            format_line(worker, line, sizeof(line));
            FvBuffer_Append(&entry.value, line, strlen(line));
            FvBuffer_Append(&entry.value, "\n", 1);
            count++;
        }
    }
    FvLog_Event(Fv_LOG_INFO, "unreached_workers", "count=%u", count);
    FvRecordWriter_Write(leader->records,
                         &(fv_records_group_t){.order_key = Fv_KEY_UNREACHED,
                                               .entries = &entry,
                                               .count = 1,
                                               .urgent = true,
                                               .done = list_written,
                                               .context = leader});
}

/**
 * FvLeaderUnreached_Check - write the list when it has changed
 * @leader: the leader
 * @now_ms: the time
 *
 * Nothing is added while the store does not answer, since the removal of a
 * worker that returns would have to wait for it.
 */
void
FvLeaderUnreached_Check(fv_leader_t *leader, int64_t now_ms)
{
    bool may_add_any =
        now_ms >= leader->unreached_due_ms &&
        leader->events.lease_left_ms(leader->events.context, now_ms) > 0;
    bool changed = false;

    if (leader->unreached_writing) {
        return;
    }
    for (fv_sched_worker_t *worker = leader->sched.workers; worker != NULL;
         worker = worker->hh.next) {
        if (worker->unreached) {
            changed = changed || has_returned(worker) ||
                      FvLeader_IsWorkerGone(leader, worker);
        }
        else if (may_add_any && may_add(leader, worker, now_ms)) {
            worker->unreached = true;
            worker->unreached_epoch = leader->epoch;
            worker->unreached_number = ++leader->last_unreached_number;
            changed = true;
        }
    }
    if (changed) {
        write_list(leader);
    }
}

/**
 * FvLeaderUnreached_Load - take over the list of the earlier leaders
 * @leader: the leader
 * @item: the list
 */
void
FvLeaderUnreached_Load(fv_leader_t *leader, const fv_kv_item_t *item)
{
    if (item->value.data != NULL && leader->unreached_loaded == NULL) {
        leader->unreached_loaded = strdup((const char *)item->value.data);
        if (leader->unreached_loaded == NULL) {
            abort(); /* leases would be granted against the list */
        }
    }
}

/**
 * FvLeaderUnreached_Apply - mark a worker that is in the earlier leaders' list
 * @leader: the leader
 * @worker: the worker, new to this leader
 */
void
FvLeaderUnreached_Apply(fv_leader_t *leader, fv_sched_worker_t *worker)
{
    size_t length = strlen(worker->entry.id);
    const char *line = leader->unreached_loaded;
    char text[Fv_KEY_SIZE];

    while (
        line != NULL &&
        (strncmp(line, worker->entry.id, length) != 0 || line[length] != ' ' ||
         sscanf(line + length, "%" SCNd64 " %" SCNd64,
                &worker->unreached_epoch, &worker->unreached_number) != 2)) {
        line = strchr(line, '\n');
        line = line != NULL ? line + 1 : NULL;
    }
    if (line == NULL) {
        return;
    }
    worker->unreached = true;
    format_line(worker, text, sizeof(text));
    worker->unreached_since_ms =
        leader->events.unreached_since(leader->events.context, text);
    if (worker->unreached_since_ms == 0) {
        worker->unreached_since_ms = FvClock_NowMs();
    }
}

static bool
has_expired(const fv_leader_t *leader, const fv_sched_worker_t *worker)
{
    return worker->unreached && worker->last_contact_ms == 0 &&
           worker->unreached_since_ms != 0 &&
           FvSched_LedAt(&leader->sched,
                         worker->unreached_since_ms +
                             FvSched_WorstCaseLeaseMs(&leader->sched));
}

/**
 * FvLeaderUnreached_NoteExpired - note on which workers nothing runs that
 * earlier leaders started, since the list had them for longer than a lease
 * @leader: the leader
 */
void
FvLeaderUnreached_NoteExpired(fv_leader_t *leader)
{
    for (fv_sched_worker_t *worker = leader->sched.workers; worker != NULL;
         worker = worker->hh.next) {
        worker->inherited_expired = has_expired(leader, worker);
    }
}
