/*
 * Writes of the leader to the store. Each group of entries goes to a lane:
 * that of its key's earlier groups, else the first one that is not busy, so
 * that few calls serve a small cell and many a large one. A lane writes one
 * batch after the other, each under the condition that the lane's own key is
 * as its last batch left it and that the leader's key is unchanged. So a batch
 * whose answer was lost is settled by repeating it, a batch that the store
 * carries out late finds its condition broken, and a deposed leader can write
 * nothing.
 */

#include "entry.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* The store takes 32 entries a call: two expectations and the lane's own key
 * leave 29. */
#define Fv_BATCH_ENTRIES_MAX 29

/* Wait for more groups before a batch is sent. Callers wait for urgent ones,
 * so that wait is no longer than the 4 ms that the store takes; the other one
 * delays what depends on an end by less than a hundredth of a short task. */
#define Fv_BATCH_URGENT_WAIT_MS 4
#define Fv_BATCH_WAIT_MS 30

/* A batch that takes longer means that the store is away: when it is slow it
 * takes up to 400 ms. */
#define Fv_BATCH_STALLED_MS 600

/* A lane with so many groups passes others on to the next one. */
#define Fv_LANE_GROUPS 8

/* Pause after a batch that the store turned away or left unanswered. */
#define Fv_BATCH_RETRY_MS 60

/* Records of ended jobs share a lease, which is replaced after this share of
 * its life. */
#define Fv_EXPIRY_LEASE_LIVES 2

/* How many groups of a key wait, and in which lane. */
typedef struct fv_record_key {
    char key[Fv_KEY_SIZE];
    uint32_t lane;
    uint32_t groups;
    UT_hash_handle hh;
} fv_record_key_t;

typedef struct fv_record_group {
    fv_record_key_t *key;
    bool replaces;
    fv_record_t *entries;
    uint32_t count;
    fv_records_done_t done;
    fv_records_done_t dropped;
    void *context;
    struct fv_record_group *next;
} fv_record_group_t;

typedef struct fv_record_lane {
    fv_record_writer_t *records;
    uint32_t index;
    int64_t revision;
    int64_t batch; /* number of the batch in progress or sent last */
    bool busy;
    bool in_doubt; /* the batch in progress was sent before */
    int64_t sent_ms;
    bool waiting_for_lease;
    uint32_t in_batch; /* groups of the batch in progress */
    uint64_t queued;   /* groups ever queued */
    uint64_t written;  /* groups ever written */
    fv_record_group_t *first;
    fv_record_group_t *last;
    struct event *timer;
    int64_t due_ms; /* of the timer */
    bool urgent;    /* an urgent group waits */
} fv_record_lane_t;

/* Waits until every lane has written what was queued at its making. */
typedef struct fv_record_barrier {
    uint64_t targets[Fv_RECORD_LANES];
    fv_records_done_t done;
    void *context;
    struct fv_record_barrier *next;
} fv_record_barrier_t;

struct fv_record_writer {
    struct event_base *base;
    fv_kv_client_t *kv;
    fv_records_owner_t owner;
    fv_record_lane_t lanes[Fv_RECORD_LANES];
    fv_record_key_t *keys;
    fv_record_barrier_t *barriers_first;
    fv_record_barrier_t *barriers_last;
    int64_t expiry_lease;
    int64_t expiry_until_ms;
    bool granting;
    bool closed; /* released once no call is in progress */
    uint32_t calls;
};

static void send_batch(fv_record_lane_t *lane);

/**
 * FvRecordWriter_LaneKey - the key of a lane
 * @lane: its number
 * @key: receives the key
 * @size: its size
 */
void
FvRecordWriter_LaneKey(uint32_t lane, char *key, size_t size)
{
    snprintf(key, size, "%s%u", Fv_KEY_LANES, lane);
}

static void
arm(fv_record_lane_t *lane, int64_t wait_ms)
{
    struct timeval wait = {.tv_usec = (suseconds_t)(wait_ms * 1000)};
    int64_t due_ms = FvClock_NowMs() + wait_ms;

    if (!event_pending(lane->timer, EV_TIMEOUT, NULL) ||
        due_ms < lane->due_ms) {
        lane->due_ms = due_ms;
        event_add(lane->timer, &wait);
    }
}

static void
batch_due(evutil_socket_t fd, short what, void *context)
{
    (void)fd;
    (void)what;
    send_batch(context);
}

/**
 * FvRecordWriter_New - make the writer of a new leader
 * @base: the event loop
 * @kv: the store
 * @owner: the leadership under which it writes
 * @lane_revisions: current revisions of the lanes' keys, 0 where absent
 *
 * Return: the writer, or NULL when memory is exhausted.
 */
fv_record_writer_t *
FvRecordWriter_New(struct event_base *base, fv_kv_client_t *kv,
                   const fv_records_owner_t *owner,
                   const int64_t *lane_revisions)
{
    fv_record_writer_t *records = calloc(1, sizeof(*records));

    if (records == NULL) {
        return NULL;
    }
    records->base = base;
    records->kv = kv;
    records->owner = *owner;
    for (uint32_t i = 0; i < Fv_RECORD_LANES; i++) {
        fv_record_lane_t *lane = &records->lanes[i];

        *lane = (fv_record_lane_t){
            .records = records, .index = i, .revision = lane_revisions[i]};
        lane->timer = event_new(base, -1, 0, batch_due, lane);
    }
    return records;
}

static void
free_group(fv_record_writer_t *records, fv_record_group_t *group)
{
    fv_record_key_t *key = group->key;

    if (--key->groups == 0) {
        HASH_DEL(records->keys, key);
        free(key);
    }
    for (uint32_t i = 0; i < group->count; i++) {
        FvBuffer_Clear(&group->entries[i].value);
    }
    free(group->entries);
    free(group);
}

static void
free_lane(fv_record_lane_t *lane)
{
    while (lane->first != NULL) {
        fv_record_group_t *group = lane->first;

        lane->first = group->next;
        free_group(lane->records, group);
    }
    if (lane->timer != NULL) {
        event_free(lane->timer);
    }
}

static void
free_records(fv_record_writer_t *records)
{
    while (records->barriers_first != NULL) {
        fv_record_barrier_t *barrier = records->barriers_first;

        records->barriers_first = barrier->next;
        free(barrier);
    }
    for (uint32_t i = 0; i < Fv_RECORD_LANES; i++) {
        free_lane(&records->lanes[i]);
    }
    free(records);
}

/**
 * FvRecordWriter_Free - stop writing; no callback is called any more
 * @records: the writer, or NULL
 */
void
FvRecordWriter_Free(fv_record_writer_t *records)
{
    if (records == NULL) {
        return;
    }
    records->closed = true;
    for (uint32_t i = 0; i < Fv_RECORD_LANES; i++) {
        event_del(records->lanes[i].timer);
    }
    if (records->calls == 0) {
        free_records(records);
    }
}

static bool
call_ended(fv_record_writer_t *records)
{
    records->calls--;
    if (records->closed && records->calls == 0) {
        free_records(records);
        return false;
    }
    return !records->closed;
}

static void
check_barriers(fv_record_writer_t *records)
{
    while (records->barriers_first != NULL && !records->closed) {
        fv_record_barrier_t *barrier = records->barriers_first;

        for (uint32_t i = 0; i < Fv_RECORD_LANES; i++) {
            if (records->lanes[i].written < barrier->targets[i]) {
                return;
            }
        }
        records->barriers_first = barrier->next;
        if (records->barriers_first == NULL) {
            records->barriers_last = NULL;
        }
        barrier->done(barrier->context);
        free(barrier);
    }
}

static void
batch_written(fv_record_lane_t *lane, int64_t revision)
{
    fv_record_writer_t *records = lane->records;
    uint32_t count = lane->in_batch;

    lane->revision = revision;
    lane->in_doubt = false;
    lane->in_batch = 0;
    for (uint32_t i = 0; i < count && lane->first != NULL; i++) {
        fv_record_group_t *group = lane->first;

        lane->first = group->next;
        if (lane->first == NULL) {
            lane->last = NULL;
        }
        lane->written++;
        if (group->done != NULL && !records->closed) {
            group->done(group->context);
        }
        free_group(records, group);
    }
    check_barriers(records);
    if (lane->first != NULL && !records->closed) {
        arm(lane, lane->urgent ? 0 : Fv_BATCH_WAIT_MS);
    }
}

/* Finds out from the items of a conflict whether the batch had been written
 * by an earlier attempt. */
static void
settle_conflict(fv_record_lane_t *lane, const fv_kv_items_t *items)
{
    fv_record_writer_t *records = lane->records;
    char lane_key[Fv_KEY_SIZE];
    char batch[Fv_NAME_SIZE];
    int64_t leader_revision = 0;

    FvRecordWriter_LaneKey(lane->index, lane_key, sizeof(lane_key));
    snprintf(batch, sizeof(batch), "%" PRId64 " %" PRId64,
             records->owner.epoch, lane->batch);
    for (uint32_t i = 0; i < items->count; i++) {
        const fv_kv_item_t *item = &items->items[i];

        if (strcmp(item->key, Fv_KEY_LEADER) == 0) {
            leader_revision = item->revision;
        }
        else if (strcmp(item->key, lane_key) == 0 &&
                 item->value.data != NULL &&
                 strcmp((const char *)item->value.data, batch) == 0) {
            batch_written(lane, item->revision);
            return;
        }
    }
    FvLog_Event(Fv_LOG_WARN, "records_conflict",
                "lane=%u epoch=%" PRId64 " leader_revision=%" PRId64,
                lane->index, records->owner.epoch, leader_revision);
    records->owner.lost(records->owner.context);
}

static void
batch_answered(void *context, const fv_kv_result_t *result)
{
    fv_record_lane_t *lane = context;
    fv_record_writer_t *records = lane->records;

    if (!call_ended(records)) {
        return;
    }
    lane->busy = false;
    switch (result->error) {
    case Fv_KV_OK:
        batch_written(lane, result->revision);
        break;
    case Fv_KV_CONFLICT:
        settle_conflict(lane, &result->items);
        break;
    case Fv_KV_NOT_FOUND: /* the lease of expiring records has ended */
        records->expiry_lease = 0;
        arm(lane, 0);
        break;
    default:
        lane->in_doubt = true;
        arm(lane, Fv_BATCH_RETRY_MS);
        break;
    }
}

static void
lease_granted(void *context, const fv_kv_result_t *result)
{
    fv_record_writer_t *records = context;

    if (!call_ended(records)) {
        return;
    }
    records->granting = false;
    if (result->error == Fv_KV_OK) {
        records->expiry_lease = result->lease;
        records->expiry_until_ms =
            FvClock_NowMs() + result->ttl_ms - records->owner.retention_ms;
    }
    for (uint32_t i = 0; i < Fv_RECORD_LANES; i++) {
        if (records->lanes[i].waiting_for_lease) {
            records->lanes[i].waiting_for_lease = false;
            arm(&records->lanes[i],
                result->error == Fv_KV_OK ? 0 : Fv_BATCH_RETRY_MS);
        }
    }
}

/* False while there is no lease to attach expiring records to. */
static bool
have_lease(fv_record_writer_t *records)
{
    if (records->expiry_lease != 0 &&
        FvClock_NowMs() < records->expiry_until_ms) {
        return true;
    }
    if (!records->granting) {
        records->granting = true;
        records->calls++;
        FvKvClient_Grant(records->kv,
                         records->owner.retention_ms * Fv_EXPIRY_LEASE_LIVES,
                         lease_granted, records);
    }
    return false;
}

static bool
group_expires(const fv_record_group_t *group)
{
    for (uint32_t i = 0; i < group->count; i++) {
        if (group->entries[i].expires) {
            return true;
        }
    }
    return false;
}

static uint32_t
add_group(const fv_record_writer_t *records, const fv_record_group_t *group,
          fv_kv_put_t *puts, uint32_t used)
{
    for (uint32_t i = 0; i < group->count; i++) {
        const fv_record_t *entry = &group->entries[i];

        puts[used++] = (fv_kv_put_t){
            .key = entry->key,
            .value = entry->value.data,
            .length = entry->value.length,
            .lease = entry->expires ? records->expiry_lease : 0,
        };
    }
    return used;
}

/* A batch in doubt is repeated with the same groups. Returns the number of
 * entries, or -1 when there is no lease for them. */
static int32_t
collect(fv_record_lane_t *lane, fv_kv_put_t *puts)
{
    uint32_t limit = lane->in_batch;
    uint32_t groups = 0;
    uint32_t used = 0;

    for (const fv_record_group_t *group = lane->first; group != NULL;
         group = group->next) {
        if (limit > 0 ? groups == limit
                      : used + group->count > Fv_BATCH_ENTRIES_MAX) {
            break;
        }
        if (group_expires(group) && !have_lease(lane->records)) {
            lane->waiting_for_lease = true;
            break;
        }
        used = add_group(lane->records, group, puts, used);
        groups++;
    }
    if (limit == 0) {
        lane->batch++;
        lane->in_batch = groups;
    }
    return groups == lane->in_batch && groups > 0 ? (int32_t)used : -1;
}

static void
send_batch(fv_record_lane_t *lane)
{
    fv_record_writer_t *records = lane->records;
    fv_kv_put_t puts[Fv_BATCH_ENTRIES_MAX + 1];
    char lane_key[Fv_KEY_SIZE];
    char batch[Fv_NAME_SIZE];
    int32_t collected;
    uint32_t used;

    if (lane->busy || lane->first == NULL || lane->waiting_for_lease) {
        return;
    }
    collected = collect(lane, puts);
    if (collected < 0) {
        return; /* until there is a lease */
    }
    used = (uint32_t)collected;
    FvRecordWriter_LaneKey(lane->index, lane_key, sizeof(lane_key));
    snprintf(batch, sizeof(batch), "%" PRId64 " %" PRId64,
             records->owner.epoch, lane->batch);
    puts[used++] = (fv_kv_put_t){
        .key = lane_key, .value = batch, .length = strlen(batch)};
    lane->busy = true;
    lane->sent_ms = FvClock_NowMs();
    lane->urgent = false;
    records->calls++;
    FvKvClient_Txn(records->kv,
                   (fv_kv_expect_t[]){{Fv_KEY_LEADER, records->owner.epoch},
                                      {lane_key, lane->revision}},
                   2, puts, used, batch_answered, lane);
}

static uint32_t
choose_lane(const fv_record_writer_t *records)
{
    uint32_t best = 0;
    uint64_t best_groups = UINT64_MAX;

    for (uint32_t i = 0; i < Fv_RECORD_LANES; i++) {
        const fv_record_lane_t *lane = &records->lanes[i];
        uint64_t groups = lane->queued - lane->written;

        if (groups < Fv_LANE_GROUPS) {
            return i;
        }
        if (groups < best_groups) {
            best_groups = groups;
            best = i;
        }
    }
    return best;
}

static fv_record_key_t *
obtain_key(fv_record_writer_t *records, const char *name)
{
    fv_record_key_t *key = NULL;

    HASH_FIND_STR(records->keys, name, key);
    if (key == NULL) {
        key = calloc(1, sizeof(*key));
        if (key == NULL) {
            abort(); /* a record that is lost would break a promise */
        }
        FvText_Copy(key->key, sizeof(key->key), name);
        key->lane = choose_lane(records);
        HASH_ADD_STR(records->keys, key, key);
    }
    return key;
}

/* The group of a key that the store was not sent yet and that a newer one may
 * replace. */
static fv_record_group_t *
find_replaceable(const fv_record_lane_t *lane, const fv_record_key_t *key)
{
    fv_record_group_t *found = NULL;
    uint32_t position = 0;

    for (fv_record_group_t *group = lane->first; group != NULL;
         group = group->next) {
        if (position++ >= lane->in_batch && group->key == key) {
            found = group->replaces ? group : NULL;
        }
    }
    return found;
}

static void
queue_group(fv_record_lane_t *lane, fv_record_key_t *key,
            const fv_records_group_t *group)
{
    fv_record_group_t *queued = calloc(1, sizeof(*queued));

    if (queued == NULL) {
        abort();
    }
    queued->entries = calloc((size_t)group->count + 1, sizeof(fv_record_t));
    if (queued->entries == NULL) {
        abort();
    }
    memcpy(queued->entries, group->entries,
           group->count * sizeof(fv_record_t));
    queued->key = key;
    queued->replaces = group->replaces;
    queued->count = group->count;
    queued->done = group->done;
    queued->dropped = group->dropped;
    queued->context = group->context;
    key->groups++;
    if (lane->last != NULL) {
        lane->last->next = queued;
    }
    else {
        lane->first = queued;
    }
    lane->last = queued;
    lane->queued++;
}

/**
 * FvRecordWriter_Write - write entries together
 * @records: the writer
 * @group: the entries
 *
 * Return: false when the entries went into a group that waits already, whose
 * own callback is called instead.
 */
bool
FvRecordWriter_Write(fv_record_writer_t *records,
                     const fv_records_group_t *group)
{
    fv_record_key_t *key = obtain_key(records, group->order_key);
    fv_record_lane_t *lane = &records->lanes[key->lane];
    fv_record_group_t *waiting = group->replaces && key->groups > 0
                                     ? find_replaceable(lane, key)
                                     : NULL;

    if (waiting != NULL) {
        FvBuffer_Clear(&waiting->entries[0].value);
        waiting->entries[0] = group->entries[0];
        return false;
    }
    queue_group(lane, key, group);
    lane->urgent = lane->urgent || group->urgent;
    if (!lane->busy) {
        arm(lane, group->urgent ? Fv_BATCH_URGENT_WAIT_MS : Fv_BATCH_WAIT_MS);
    }
    return true;
}

/**
 * FvRecordWriter_Stalled - whether the store does not take what is written
 * @records: the writer
 * @now_ms: the time
 *
 * Return: true when a batch has been left unanswered.
 */
bool
FvRecordWriter_Stalled(const fv_record_writer_t *records, int64_t now_ms)
{
    for (uint32_t i = 0; i < Fv_RECORD_LANES; i++) {
        const fv_record_lane_t *lane = &records->lanes[i];

        if (lane->in_doubt ||
            (lane->busy && now_ms - lane->sent_ms > Fv_BATCH_STALLED_MS)) {
            return true;
        }
    }
    return false;
}

/**
 * FvRecordWriter_WithdrawUnsent - drop the groups that may be withdrawn and
 * that the store has surely not been sent
 * @records: the writer
 */
void
FvRecordWriter_WithdrawUnsent(fv_record_writer_t *records)
{
    for (uint32_t i = 0; i < Fv_RECORD_LANES; i++) {
        uint32_t position = 0;

        for (fv_record_group_t *group = records->lanes[i].first; group != NULL;
             group = group->next) {
            /* A later group of the key rests on this one. */
            if (position++ < records->lanes[i].in_batch ||
                group->dropped == NULL || group->key->groups > 1) {
                continue;
            }
            /* The empty group keeps its place among those counted. */
            group->done = NULL;
            group->dropped(group->context);
            group->dropped = NULL;
            for (uint32_t e = 0; e < group->count; e++) {
                FvBuffer_Clear(&group->entries[e].value);
            }
            group->count = 0;
        }
    }
}

/**
 * FvRecordWriter_NotifyWritten - wait until all that was queued so far is in
 * the store
 * @records: the writer
 * @done: called then, perhaps before this returns
 * @context: passed to @done
 */
void
FvRecordWriter_NotifyWritten(fv_record_writer_t *records,
                             fv_records_done_t done, void *context)
{
    fv_record_barrier_t *barrier = calloc(1, sizeof(*barrier));

    if (barrier == NULL) {
        abort();
    }
    for (uint32_t i = 0; i < Fv_RECORD_LANES; i++) {
        barrier->targets[i] = records->lanes[i].queued;
    }
    barrier->done = done;
    barrier->context = context;
    if (records->barriers_last != NULL) {
        records->barriers_last->next = barrier;
    }
    else {
        records->barriers_first = barrier;
    }
    records->barriers_last = barrier;
    check_barriers(records);
}

/**
 * FvRecordWriter_Backlog - how many groups wait to be written
 * @records: the writer
 *
 * Return: the number.
 */
uint32_t
FvRecordWriter_Backlog(const fv_record_writer_t *records)
{
    uint64_t waiting = 0;

    for (uint32_t i = 0; i < Fv_RECORD_LANES; i++) {
        waiting += records->lanes[i].queued - records->lanes[i].written;
    }
    return (uint32_t)waiting;
}
