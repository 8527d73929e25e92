/*
 * Loads the records of earlier leaders and watches the worker registry.
 */

#include "cell-leader.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Workers write to the registry at every heartbeat, so changes are coalesced
 * while the leader is current; a drain must still take effect within its
 * announced time, 2.5 s or more. */
#define Fv_REGISTRY_COALESCE_MS 400

#define Fv_LOAD_RETRY_MS 100

static void
begin_registry_read(void *context)
{
    fv_leader_t *leader = context;

    leader->reading_registry = true;
    leader->registry_readings++;
}

static void
unlist_worker(fv_leader_t *leader, const fv_kv_item_t *item)
{
    fv_sched_worker_t *worker = FvSched_FindWorker(
        &leader->sched, item->key + strlen(FvPlatform_RegistryPrefix));

    if (worker != NULL) {
        FvSched_WorkerUnlisted(worker, FvClock_NowMs());
    }
}

static void
apply_registry_item(void *context, const fv_kv_item_t *item)
{
    fv_leader_t *leader = context;
    fv_worker_entry_t entry;
    fv_sched_worker_t *worker;

    if (item->deleted) {
        unlist_worker(leader, item);
        return;
    }
    if (item->value.data == NULL ||
        !FvPlatform_DecodeWorkerEntry(item->key,
                                      (const char *)item->value.data,
                                      item->value.length, &entry)) {
        FvLog_Event(Fv_LOG_WARN, "registry_entry_unreadable",
                    "key=%s revision=%" PRId64, item->key, item->revision);
        unlist_worker(leader, item);
        return;
    }
    worker = FvSched_UpdateWorker(&leader->sched, &entry, FvClock_NowMs());
    if (worker == NULL) {
        return;
    }
    worker->registry_reading = leader->registry_readings;
    if (entry.started_wall_ms != worker->started_wall_ms) {
        FvCallPool_FailUnsent(leader->pool, entry.address, Fv_CALL_START);
    }
    if (FvLeaderWorker_IsServiceUsed(leader, entry.service)) {
        FvLeaderWorker_OpenSession(leader, worker);
    }
    FvLeaderWorkerList_Add(leader, worker);
    FvLeader_SchedulePass(leader);
}

static void
finish_registry_read(void *context)
{
    fv_leader_t *leader = context;

    leader->reading_registry = false;
    if (!leader->sched.registry_known) {
        leader->sched.registry_known = true;
        leader->sched.workers_changed_ms = FvClock_NowMs();
    }
    FvSched_UnlistMissingWorkers(&leader->sched, leader->registry_readings,
                                 FvClock_NowMs());
    FvLog_Event(Fv_LOG_INFO, "registry_read", "workers=%u",
                HASH_COUNT(leader->sched.workers));
    if (leader->worker_list_dirty && !leader->worker_list_writing) {
        FvLeaderWorkerList_Write(leader);
    }
}

static void
load_stream_revision(fv_leader_t *leader, const fv_kv_item_t *item)
{
    unsigned long stream =
        strtoul(item->key + strlen(Fv_KEY_STREAMS), NULL, 10);

    if (stream < Fv_RECORD_STREAMS) {
        leader->stream_revisions[stream] = item->revision;
    }
}

/* See FvLeaderWorkerList_Write. */
static void
load_worker_list_writer(fv_leader_t *leader, const char *line)
{
    char generation[Fv_NAME_SIZE] = "";

    leader->predecessor_handed_over =
        sscanf(line, "%*s %63s", generation) == 1 &&
        strtol(generation, NULL, 10) == leader->generation - 1;
}

static void
load_worker_list_line(fv_leader_t *leader, const char *line)
{
    fv_worker_entry_t entry = {0};
    fv_sched_worker_t *worker;
    int64_t now_ms = FvClock_NowMs();
    int64_t long_lease_left_ms = 0;

    if (sscanf(line, "%63s %63s %63s %" SCNd64, entry.id, entry.address,
               entry.service, &long_lease_left_ms) < 3) {
        return;
    }
    worker = FvSched_UpdateWorker(&leader->sched, &entry, now_ms);
    if (worker != NULL) {
        if (long_lease_left_ms > 0) {
            FvSched_InheritLongLease(worker, long_lease_left_ms, now_ms);
        }
        worker->listed = false;
        worker->in_worker_list = true;
        worker->inherited = !leader->predecessor_handed_over;
        leader->inherited_worker_count++;
    }
}

/**
 * FvLeaderWorkerList_Load - take over the worker list of the earlier leaders
 * @leader: the leader
 * @item: the list; see FvLeaderWorkerList_Write()
 */
void
FvLeaderWorkerList_Load(fv_leader_t *leader, const fv_kv_item_t *item)
{
    char *rest = NULL;
    char *line;

    if (item->value.data == NULL) {
        return;
    }
    line = strtok_r((char *)item->value.data, "\n", &rest);
    if (line != NULL) {
        load_worker_list_writer(leader, line);
    }
    while (line != NULL && (line = strtok_r(NULL, "\n", &rest)) != NULL) {
        load_worker_list_line(leader, line);
    }
}

static void
load_job(fv_leader_t *leader, const fv_kv_item_t *item)
{
    fv_sched_job_t *job = FvSchedRecord_LoadJob(
        &leader->sched, item->key + strlen(Fv_KEY_JOBS), &item->value,
        leader->began_ms, FvClock_WallMs());

    if (job == NULL) {
        FvLog_Event(Fv_LOG_ERROR, "job_record_unreadable", "key=%s",
                    item->key);
        return;
    }
    job->durable = true;
    FvSched_MarkJobInherited(job);
    FvLeaderWorker_AddService(leader, job->queue.service);
}

static void
load_progress(fv_leader_t *leader, const fv_kv_item_t *item)
{
    fv_sched_job_t *job =
        FvSched_FindJob(&leader->sched, item->key + strlen(Fv_KEY_PROGRESS));

    if (job == NULL || !FvSchedRecord_LoadProgress(job, &item->value)) {
        FvLog_Event(Fv_LOG_ERROR, "progress_record_unreadable", "key=%s",
                    item->key);
    }
}

static void
load_ended(fv_leader_t *leader, const fv_kv_item_t *item)
{
    const char *state = "failed";
    fv_job_owner_t owner = {0};

    if (item->value.data != NULL &&
        !FvLeaderRecord_DecodeEnded(&item->value, &state, &owner)) {
        FvLog_Event(Fv_LOG_ERROR, "ended_record_unreadable", "key=%s",
                    item->key);
    }
    FvLeaderRecord_RememberEnded(leader, item->key + strlen(Fv_KEY_ENDED),
                                 state, &owner);
}

static void
deposed_by_store(void *context)
{
    fv_leader_t *leader = context;

    leader->events.deposed(leader->events.context, "store_refused_write");
}

static void
begin_serving(fv_leader_t *leader)
{
    fv_records_owner_t owner = {
        .epoch = leader->epoch,
        .retention_ms = leader->settings->keep_ended_s * Fv_MS_PER_S +
                        Fv_RETENTION_MARGIN_MS,
        .lost = deposed_by_store,
        .context = leader,
    };
    int64_t now_ms = FvClock_NowMs();

    leader->records = FvRecordWriter_New(leader->base, leader->kv, &owner,
                                         leader->stream_revisions);
    if (leader->records == NULL) {
        abort();
    }
    leader->serving = true;
    FvLog_Event(Fv_LOG_INFO, "leader_serving",
                "epoch=%" PRId64
                " jobs=%u ended=%u worker_list=%u predecessor_quiet=%d"
                " took_ms=%" PRId64,
                leader->epoch, HASH_COUNT(leader->sched.jobs),
                HASH_COUNT(leader->ended), leader->inherited_worker_count,
                leader->predecessor_handed_over ? 1 : 0,
                now_ms - leader->began_ms);
    for (fv_sched_job_t *job = leader->sched.jobs; job != NULL;
         job = job->hh.next) {
        FvSched_ReleaseStages(&leader->sched, job, now_ms, FvClock_WallMs());
    }
    for (fv_sched_worker_t *worker = leader->sched.workers; worker != NULL;
         worker = worker->hh.next) {
        FvLeaderWorker_OpenSession(leader, worker);
    }
    leader->registry_watch = FvKvClient_Watch(
        leader->kv, &(fv_kv_watcher_t){.prefix = FvPlatform_RegistryPrefix,
                                       .begin = begin_registry_read,
                                       .item = apply_registry_item,
                                       .loaded = finish_registry_read,
                                       .coalesce_ms = Fv_REGISTRY_COALESCE_MS,
                                       .context = leader});
    FvLeader_SchedulePass(leader);
}

static void load_page(fv_range_load_t *load);

static void
finish_load(fv_range_load_t *load)
{
    fv_leader_t *leader = load->leader;

    if (load->loaded != NULL) {
        load->loaded(leader);
    }
    leader->loads_pending--;
    if (leader->loads_pending == 0) {
        begin_serving(leader);
    }
}

static void
page_loaded(void *context, const fv_kv_result_t *result)
{
    fv_range_load_t *load = context;
    fv_leader_t *leader = load->leader;
    const fv_kv_items_t *items = &result->items;
    struct timeval pause = {.tv_usec = Fv_LOAD_RETRY_MS * 1000};

    if (!FvLeader_FinishCall(leader)) {
        return;
    }
    if (result->error != Fv_KV_OK) {
        event_add(load->retry, &pause);
        return;
    }
    for (uint32_t i = 0; i < items->count; i++) {
        load->item(leader, &items->items[i]);
    }
    free(load->after);
    load->after = NULL;
    if (items->next_after != NULL) {
        load->after = strdup(items->next_after);
        load_page(load);
        return;
    }
    finish_load(load);
}

static void
load_page(fv_range_load_t *load)
{
    load->leader->pending_calls++;
    FvKvClient_Range(load->leader->kv, load->prefix, load->after, page_loaded,
                     load);
}

static void
retry_load(evutil_socket_t fd, short what, void *context)
{
    (void)fd;
    (void)what;
    load_page(context);
}

static void
start_load(fv_leader_t *leader, uint32_t slot, const char *prefix,
           void (*item)(fv_leader_t *, const fv_kv_item_t *),
           void (*loaded)(fv_leader_t *))
{
    fv_range_load_t *load = &leader->loads[slot];

    *load = (fv_range_load_t){
        .leader = leader, .prefix = prefix, .item = item, .loaded = loaded};
    load->retry = event_new(leader->base, -1, 0, retry_load, load);
    leader->loads_pending++;
    load_page(load);
}

static void
load_unreached(fv_leader_t *leader, const fv_kv_item_t *item)
{
    if (strcmp(item->key, Fv_KEY_UNREACHED) == 0) {
        FvLeaderUnreached_Load(leader, item);
    }
}

static void
load_config(fv_leader_t *leader, const fv_kv_item_t *item)
{
    leader->events.config_read(leader->events.context, item);
}

static void
jobs_loaded(fv_leader_t *leader)
{
    start_load(leader, 4, Fv_KEY_PROGRESS, load_progress, NULL);
}

/**
 * FvLeaderLoad_Start - load the records of earlier leaders, then serve
 * @leader: the leader
 */
void
FvLeaderLoad_Start(fv_leader_t *leader)
{
    start_load(leader, 0, Fv_KEY_STREAMS, load_stream_revision, NULL);
    start_load(leader, 1, Fv_KEY_WORKER_LIST, FvLeaderWorkerList_Load, NULL);
    start_load(leader, 2, Fv_KEY_ENDED, load_ended, NULL);
    start_load(leader, 3, Fv_KEY_JOBS, load_job, jobs_loaded);
    start_load(leader, 5, Fv_KEY_UNREACHED, load_unreached, NULL);
    /* This host's watch may lag behind what other hosts already know: a leader
     * that serves would accept requests by keys that were removed. */
    start_load(leader, 6, FvPlatform_ConfigKey, load_config, NULL);
}

/**
 * FvLeaderLoad_Free - stop loading
 * @leader: the leader
 */
void
FvLeaderLoad_Free(fv_leader_t *leader)
{
    for (size_t i = 0; i < sizeof(leader->loads) / sizeof(leader->loads[0]);
         i++) {
        free(leader->loads[i].after);
        if (leader->loads[i].retry != NULL) {
            event_free(leader->loads[i].retry);
        }
    }
}
