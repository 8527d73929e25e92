/*
 * Writes of the leader to the store, in parallel streams of ordered writes. A
 * group of entries is queued on the stream that holds earlier groups with its
 * order key, or else on the first with a short queue, so that a small cell
 * makes few calls and a large one many in parallel. A stream writes one batch
 * at a time, on the condition that the stream's own key is unchanged since its
 * previous batch and that the leader's key is unchanged. Therefore a batch
 * whose answer was lost can be repeated safely, a batch that the store
 * executes late fails its condition, and a deposed leader cannot write.
 */

#include "entry.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* The store accepts 32 entries a call; two conditions and the stream's own key
 * leave 29. */
#define Fv_BATCH_ENTRIES_MAX 29

/* Delay before a batch is sent, to gather more groups. Callers wait for urgent
 * groups, so their delay does not exceed the store's latency of 4 ms. The
 * delay of other groups postpones tasks that depend on an ended one by less
 * than a hundredth of a short task's run time. */
#define Fv_BATCH_URGENT_WAIT_MS 4
#define Fv_BATCH_WAIT_MS 30

/* A batch that takes longer means that the store is unavailable; a slow store
 * takes up to 400 ms. */
#define Fv_BATCH_STALLED_MS 600

/* A new order key goes to the first stream with fewer queued groups than this,
 * or else to the one with the fewest. */
#define Fv_STREAM_GROUPS_MAX 8

/* Of all streams, kept for urgent groups; two write some 4,000 jobs a second
 * with the store's latency of 4 to 15 ms. */
#define Fv_URGENT_RECORD_STREAMS 2

/* Pause after a batch that the store rejected or did not answer. */
#define Fv_BATCH_RETRY_MS 60

/* A repeated batch is given up sooner, so that one that was lost in an outage
 * does not hold up submissions for long after it. A slow store answers within
 * 400 ms, and each repetition has a chance. */
#define Fv_BATCH_REPEATED_TIMEOUT_MS Fv_KV_RENEW_TIMEOUT_MS

/* Records of ended jobs share a lease. Its TTL is this multiple of the
 * retention time, and it is replaced when less than one retention time is
 * left. */
#define Fv_EXPIRY_LEASE_FACTOR 2

/* Counts the queued groups with an order key, all of them in one stream. */
typedef struct fv_order_key {
    char key[Fv_KEY_SIZE];
    uint32_t stream;
    uint32_t groups;
    UT_hash_handle hh;
} fv_order_key_t;

typedef struct fv_queued_group {
    fv_order_key_t *key;
    bool replaces;
    fv_record_t *entries;
    uint32_t count;
    fv_records_done_t done;
    fv_records_done_t withdrawn;
    void *context;
    struct fv_queued_group *next;
} fv_queued_group_t;

typedef struct fv_record_stream {
    fv_record_writer_t *writer;
    uint32_t index;
    int64_t revision;
    int64_t batch; /* number of the current or latest batch */
    bool busy;
    bool unconfirmed; /* the current batch was sent before */
    int64_t sent_ms;
    int64_t first_sent_ms; /* the current batch, for the first time */
    bool waiting_for_lease;
    uint32_t batch_groups; /* groups in the current batch */
    uint64_t queued;       /* groups ever queued */
    uint64_t written;      /* groups ever written */
    fv_queued_group_t *first;
    fv_queued_group_t *last;
    struct event *timer;
    int64_t due_ms; /* when the timer fires */
    bool urgent;    /* an urgent group is queued */
} fv_record_stream_t;

/* Done when every stream has written what was queued at its creation. */
typedef struct fv_record_barrier {
    uint64_t targets[Fv_RECORD_STREAMS];
    fv_records_done_t done;
    void *context;
    struct fv_record_barrier *next;
} fv_record_barrier_t;

struct fv_record_writer {
    struct event_base *base;
    fv_kv_client_t *kv;
    fv_records_owner_t owner;
    fv_record_stream_t streams[Fv_RECORD_STREAMS];
    fv_order_key_t *keys;
    fv_record_barrier_t *barriers_first;
    fv_record_barrier_t *barriers_last;
    int64_t expiry_lease;
    int64_t expiry_lease_usable_until_ms;
    bool grant_pending;
    bool closed; /* freed once no call is pending */
    uint32_t pending_calls;
};

static void send_batch(fv_record_stream_t *stream);

/**
 * FvRecordWriter_StreamKey - format the key of a stream
 * @stream: index of the stream
 * @key: receives the key
 * @size: size of @key
 */
void
FvRecordWriter_StreamKey(uint32_t stream, char *key, size_t size)
{
    snprintf(key, size, "%s%u", Fv_KEY_STREAMS, stream);
}

static void
arm_timer(fv_record_stream_t *stream, int64_t wait_ms)
{
    struct timeval wait = {.tv_usec = (suseconds_t)(wait_ms * 1000)};
    int64_t due_ms = FvClock_NowMs() + wait_ms;

    if (!event_pending(stream->timer, EV_TIMEOUT, NULL) ||
        due_ms < stream->due_ms) {
        stream->due_ms = due_ms;
        event_add(stream->timer, &wait);
    }
}

static void
timer_fired(evutil_socket_t fd, short what, void *context)
{
    (void)fd;
    (void)what;
    send_batch(context);
}

/**
 * FvRecordWriter_New - create the writer of a new leader
 * @base: the event loop
 * @kv: the store
 * @owner: the leadership under which it writes
 * @stream_revisions: current revisions of the streams' keys, 0 where absent
 *
 * Return: the writer, or NULL when memory is exhausted.
 */
fv_record_writer_t *
FvRecordWriter_New(struct event_base *base, fv_kv_client_t *kv,
                   const fv_records_owner_t *owner,
                   const int64_t *stream_revisions)
{
    fv_record_writer_t *writer = calloc(1, sizeof(*writer));

    if (writer == NULL) {
        return NULL;
    }
    writer->base = base;
    writer->kv = kv;
    writer->owner = *owner;
    for (uint32_t i = 0; i < Fv_RECORD_STREAMS; i++) {
        fv_record_stream_t *stream = &writer->streams[i];

        *stream = (fv_record_stream_t){
            .writer = writer, .index = i, .revision = stream_revisions[i]};
        stream->timer = event_new(base, -1, 0, timer_fired, stream);
    }
    return writer;
}

static void
free_group(fv_record_writer_t *writer, fv_queued_group_t *group)
{
    fv_order_key_t *key = group->key;

    if (--key->groups == 0) {
        HASH_DEL(writer->keys, key);
        free(key);
    }
    for (uint32_t i = 0; i < group->count; i++) {
        FvBuffer_Clear(&group->entries[i].value);
    }
    free(group->entries);
    free(group);
}

static void
free_stream(fv_record_stream_t *stream)
{
    while (stream->first != NULL) {
        fv_queued_group_t *group = stream->first;

        stream->first = group->next;
        free_group(stream->writer, group);
    }
    if (stream->timer != NULL) {
        event_free(stream->timer);
    }
}

static void
free_writer(fv_record_writer_t *writer)
{
    while (writer->barriers_first != NULL) {
        fv_record_barrier_t *barrier = writer->barriers_first;

        writer->barriers_first = barrier->next;
        free(barrier);
    }
    for (uint32_t i = 0; i < Fv_RECORD_STREAMS; i++) {
        free_stream(&writer->streams[i]);
    }
    free(writer);
}

/**
 * FvRecordWriter_Free - stop writing and call no more callbacks
 * @writer: the writer, or NULL
 */
void
FvRecordWriter_Free(fv_record_writer_t *writer)
{
    if (writer == NULL) {
        return;
    }
    writer->closed = true;
    for (uint32_t i = 0; i < Fv_RECORD_STREAMS; i++) {
        event_del(writer->streams[i].timer);
    }
    if (writer->pending_calls == 0) {
        free_writer(writer);
    }
}

static bool
finish_call(fv_record_writer_t *writer)
{
    writer->pending_calls--;
    if (writer->closed && writer->pending_calls == 0) {
        free_writer(writer);
        return false;
    }
    return !writer->closed;
}

static void
complete_barriers(fv_record_writer_t *writer)
{
    while (writer->barriers_first != NULL && !writer->closed) {
        fv_record_barrier_t *barrier = writer->barriers_first;

        for (uint32_t i = 0; i < Fv_RECORD_STREAMS; i++) {
            if (writer->streams[i].written < barrier->targets[i]) {
                return;
            }
        }
        writer->barriers_first = barrier->next;
        if (writer->barriers_first == NULL) {
            writer->barriers_last = NULL;
        }
        barrier->done(barrier->context);
        free(barrier);
    }
}

static void
batch_written(fv_record_stream_t *stream, int64_t revision)
{
    fv_record_writer_t *writer = stream->writer;
    uint32_t count = stream->batch_groups;

    stream->revision = revision;
    stream->unconfirmed = false;
    stream->batch_groups = 0;
    for (uint32_t i = 0; i < count && stream->first != NULL; i++) {
        fv_queued_group_t *group = stream->first;

        stream->first = group->next;
        if (stream->first == NULL) {
            stream->last = NULL;
        }
        stream->written++;
        if (group->done != NULL && !writer->closed) {
            group->done(group->context);
        }
        free_group(writer, group);
    }
    complete_barriers(writer);
    if (stream->first != NULL && !writer->closed) {
        arm_timer(stream, stream->urgent ? 0 : Fv_BATCH_WAIT_MS);
    }
}

/* Completes the batch if the items of a conflict show that an earlier attempt
 * has written it; otherwise another host is leader. */
static void
resolve_conflict(fv_record_stream_t *stream, const fv_kv_items_t *items)
{
    fv_record_writer_t *writer = stream->writer;
    char stream_key[Fv_KEY_SIZE];
    char batch[Fv_NAME_SIZE];
    int64_t leader_revision = 0;

    FvRecordWriter_StreamKey(stream->index, stream_key, sizeof(stream_key));
    snprintf(batch, sizeof(batch), "%" PRId64 " %" PRId64, writer->owner.epoch,
             stream->batch);
    for (uint32_t i = 0; i < items->count; i++) {
        const fv_kv_item_t *item = &items->items[i];

        if (strcmp(item->key, Fv_KEY_LEADER) == 0) {
            leader_revision = item->revision;
        }
        else if (strcmp(item->key, stream_key) == 0 &&
                 item->value.data != NULL &&
                 strcmp((const char *)item->value.data, batch) == 0) {
            batch_written(stream, item->revision);
            return;
        }
    }
    FvLog_Event(Fv_LOG_WARN, "records_conflict",
                "stream=%u epoch=%" PRId64 " leader_revision=%" PRId64,
                stream->index, writer->owner.epoch, leader_revision);
    writer->owner.lost(writer->owner.context);
}

static void
batch_answered(void *context, const fv_kv_result_t *result)
{
    fv_record_stream_t *stream = context;
    fv_record_writer_t *writer = stream->writer;

    if (!finish_call(writer)) {
        return;
    }
    stream->busy = false;
    switch (result->error) {
    case Fv_KV_OK:
        batch_written(stream, result->revision);
        break;
    case Fv_KV_CONFLICT:
        resolve_conflict(stream, &result->items);
        break;
    case Fv_KV_NOT_FOUND: /* the expiry lease has expired */
        writer->expiry_lease = 0;
        arm_timer(stream, 0);
        break;
    default:
        stream->unconfirmed = true;
        arm_timer(stream, Fv_BATCH_RETRY_MS);
        break;
    }
}

static void
lease_granted(void *context, const fv_kv_result_t *result)
{
    fv_record_writer_t *writer = context;

    if (!finish_call(writer)) {
        return;
    }
    writer->grant_pending = false;
    if (result->error == Fv_KV_OK) {
        writer->expiry_lease = result->lease;
        writer->expiry_lease_usable_until_ms =
            FvClock_NowMs() + result->ttl_ms - writer->owner.retention_ms;
    }
    for (uint32_t i = 0; i < Fv_RECORD_STREAMS; i++) {
        if (writer->streams[i].waiting_for_lease) {
            writer->streams[i].waiting_for_lease = false;
            arm_timer(&writer->streams[i],
                      result->error == Fv_KV_OK ? 0 : Fv_BATCH_RETRY_MS);
        }
    }
}

/* Requests a lease for expiring records when there is none; false until it is
 * granted. */
static bool
ensure_lease(fv_record_writer_t *writer)
{
    if (writer->expiry_lease != 0 &&
        FvClock_NowMs() < writer->expiry_lease_usable_until_ms) {
        return true;
    }
    if (!writer->grant_pending) {
        writer->grant_pending = true;
        writer->pending_calls++;
        FvKvClient_Grant(writer->kv,
                         writer->owner.retention_ms * Fv_EXPIRY_LEASE_FACTOR,
                         lease_granted, writer);
    }
    return false;
}

static bool
group_expires(const fv_queued_group_t *group)
{
    for (uint32_t i = 0; i < group->count; i++) {
        if (group->entries[i].expires) {
            return true;
        }
    }
    return false;
}

static uint32_t
append_puts(const fv_record_writer_t *writer, const fv_queued_group_t *group,
            fv_kv_put_t *puts, uint32_t used)
{
    for (uint32_t i = 0; i < group->count; i++) {
        const fv_record_t *entry = &group->entries[i];

        puts[used++] = (fv_kv_put_t){
            .key = entry->key,
            .value = entry->value.data,
            .length = entry->value.length,
            .lease = entry->expires ? writer->expiry_lease : 0,
        };
    }
    return used;
}

/* Collects the next batch; an unconfirmed one is repeated with the same
 * groups. Returns the number of entries, or -1 when a lease is missing. */
static int32_t
collect_batch(fv_record_stream_t *stream, fv_kv_put_t *puts)
{
    uint32_t limit = stream->batch_groups;
    uint32_t groups = 0;
    uint32_t used = 0;

    for (const fv_queued_group_t *group = stream->first; group != NULL;
         group = group->next) {
        if (limit > 0 ? groups == limit
                      : used + group->count > Fv_BATCH_ENTRIES_MAX) {
            break;
        }
        if (group_expires(group) && !ensure_lease(stream->writer)) {
            stream->waiting_for_lease = true;
            break;
        }
        used = append_puts(stream->writer, group, puts, used);
        groups++;
    }
    if (limit == 0) {
        stream->batch++;
        stream->batch_groups = groups;
    }
    return groups == stream->batch_groups && groups > 0 ? (int32_t)used : -1;
}

static void
send_batch(fv_record_stream_t *stream)
{
    fv_record_writer_t *writer = stream->writer;
    fv_kv_put_t puts[Fv_BATCH_ENTRIES_MAX + 1];
    char stream_key[Fv_KEY_SIZE];
    char batch[Fv_NAME_SIZE];
    int32_t collected;
    uint32_t used;

    if (stream->busy || stream->first == NULL || stream->waiting_for_lease) {
        return;
    }
    collected = collect_batch(stream, puts);
    if (collected < 0) {
        return; /* lease_granted sends it */
    }
    used = (uint32_t)collected;
    FvRecordWriter_StreamKey(stream->index, stream_key, sizeof(stream_key));
    snprintf(batch, sizeof(batch), "%" PRId64 " %" PRId64, writer->owner.epoch,
             stream->batch);
    puts[used++] = (fv_kv_put_t){
        .key = stream_key, .value = batch, .length = strlen(batch)};
    stream->busy = true;
    stream->sent_ms = FvClock_NowMs();
    if (!stream->unconfirmed) {
        stream->first_sent_ms = stream->sent_ms;
    }
    stream->urgent = false;
    writer->pending_calls++;
    FvKvClient_Txn(writer->kv,
                   (fv_kv_expect_t[]){{Fv_KEY_LEADER, writer->owner.epoch},
                                      {stream_key, stream->revision}},
                   2, puts, used,
                   stream->unconfirmed ? Fv_BATCH_REPEATED_TIMEOUT_MS
                                       : Fv_KV_TIMEOUT_MS,
                   batch_answered, stream);
}

/* The last streams take urgent groups only, so that callers do not wait behind
 * the records that an outage of the store has held up. */
static uint32_t
choose_stream(const fv_record_writer_t *writer, bool urgent)
{
    uint32_t count =
        Fv_RECORD_STREAMS - (urgent ? 0 : Fv_URGENT_RECORD_STREAMS);
    uint32_t best = 0;
    uint64_t best_groups = UINT64_MAX;

    for (uint32_t i = 0; i < count; i++) {
        const fv_record_stream_t *stream = &writer->streams[i];
        uint64_t groups = stream->queued - stream->written;

        if (groups < Fv_STREAM_GROUPS_MAX) {
            return i;
        }
        if (groups < best_groups) {
            best_groups = groups;
            best = i;
        }
    }
    return best;
}

static fv_order_key_t *
find_or_add_key(fv_record_writer_t *writer, const char *name, bool urgent)
{
    fv_order_key_t *key = NULL;

    HASH_FIND_STR(writer->keys, name, key);
    if (key == NULL) {
        key = calloc(1, sizeof(*key));
        if (key == NULL) {
            abort(); /* records of accepted jobs must not be lost */
        }
        FvText_Copy(key->key, sizeof(key->key), name);
        key->stream = choose_stream(writer, urgent);
        HASH_ADD_STR(writer->keys, key, key);
    }
    return key;
}

/* Finds a group with an order key that is not sent yet and may be replaced by
 * a newer one. */
static fv_queued_group_t *
find_replaceable(const fv_record_stream_t *stream, const fv_order_key_t *key)
{
    fv_queued_group_t *found = NULL;
    uint32_t position = 0;

    for (fv_queued_group_t *group = stream->first; group != NULL;
         group = group->next) {
        if (position++ >= stream->batch_groups && group->key == key) {
            found = group->replaces ? group : NULL;
        }
    }
    return found;
}

static void
queue_group(fv_record_stream_t *stream, fv_order_key_t *key,
            const fv_records_group_t *group)
{
    fv_queued_group_t *queued = calloc(1, sizeof(*queued));

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
    queued->withdrawn = group->withdrawn;
    queued->context = group->context;
    key->groups++;
    if (stream->last != NULL) {
        stream->last->next = queued;
    }
    else {
        stream->first = queued;
    }
    stream->last = queued;
    stream->queued++;
}

/**
 * FvRecordWriter_Write - write entries in one transaction
 * @writer: the writer
 * @group: the entries
 *
 * Return: false when the entries replaced those of a queued group, whose own
 * callback is called instead.
 */
bool
FvRecordWriter_Write(fv_record_writer_t *writer,
                     const fv_records_group_t *group)
{
    fv_order_key_t *key =
        find_or_add_key(writer, group->order_key, group->urgent);
    fv_record_stream_t *stream = &writer->streams[key->stream];
    fv_queued_group_t *waiting = group->replaces && key->groups > 0
                                     ? find_replaceable(stream, key)
                                     : NULL;

    if (waiting != NULL) {
        FvBuffer_Clear(&waiting->entries[0].value);
        waiting->entries[0] = group->entries[0];
        return false;
    }
    queue_group(stream, key, group);
    stream->urgent = stream->urgent || group->urgent;
    if (!stream->busy) {
        arm_timer(stream,
                  group->urgent ? Fv_BATCH_URGENT_WAIT_MS : Fv_BATCH_WAIT_MS);
    }
    return true;
}

static bool
is_stalled(const fv_record_stream_t *stream, int64_t now_ms)
{
    return stream->unconfirmed ||
           (stream->busy && now_ms - stream->sent_ms > Fv_BATCH_STALLED_MS);
}

/**
 * FvRecordWriter_StalledMs - for how long the store has taken no writes
 * @writer: the writer
 * @now_ms: the time
 *
 * Return: the age of the oldest batch that is unconfirmed or overdue; 0: none.
 */
int64_t
FvRecordWriter_StalledMs(const fv_record_writer_t *writer, int64_t now_ms)
{
    int64_t longest_ms = 0;

    for (uint32_t i = 0; i < Fv_RECORD_STREAMS; i++) {
        const fv_record_stream_t *stream = &writer->streams[i];

        if (is_stalled(stream, now_ms) &&
            now_ms - stream->first_sent_ms > longest_ms) {
            longest_ms = now_ms - stream->first_sent_ms;
        }
    }
    return longest_ms;
}

/**
 * FvRecordWriter_Stalled - whether the store has stopped taking writes
 * @writer: the writer
 * @now_ms: the time
 *
 * Return: true when a batch is unconfirmed or overdue.
 */
bool
FvRecordWriter_Stalled(const fv_record_writer_t *writer, int64_t now_ms)
{
    for (uint32_t i = 0; i < Fv_RECORD_STREAMS; i++) {
        if (is_stalled(&writer->streams[i], now_ms)) {
            return true;
        }
    }
    return false;
}

/**
 * FvRecordWriter_WithdrawUnsent - drop the groups that may be withdrawn and
 * have certainly not been sent
 * @writer: the writer
 */
void
FvRecordWriter_WithdrawUnsent(fv_record_writer_t *writer)
{
    for (uint32_t i = 0; i < Fv_RECORD_STREAMS; i++) {
        uint32_t position = 0;

        for (fv_queued_group_t *group = writer->streams[i].first;
             group != NULL; group = group->next) {
            /* A later group with this order key would depend on it. */
            if (position++ < writer->streams[i].batch_groups ||
                group->withdrawn == NULL || group->key->groups > 1) {
                continue;
            }
            /* The emptied group stays queued, as the stream counts it. */
            group->done = NULL;
            group->withdrawn(group->context);
            group->withdrawn = NULL;
            for (uint32_t e = 0; e < group->count; e++) {
                FvBuffer_Clear(&group->entries[e].value);
            }
            group->count = 0;
        }
    }
}

/**
 * FvRecordWriter_NotifyWritten - wait until everything queued so far is
 * written
 * @writer: the writer
 * @done: called then, possibly before this returns
 * @context: passed to @done
 */
void
FvRecordWriter_NotifyWritten(fv_record_writer_t *writer,
                             fv_records_done_t done, void *context)
{
    fv_record_barrier_t *barrier = calloc(1, sizeof(*barrier));

    if (barrier == NULL) {
        abort();
    }
    for (uint32_t i = 0; i < Fv_RECORD_STREAMS; i++) {
        barrier->targets[i] = writer->streams[i].queued;
    }
    barrier->done = done;
    barrier->context = context;
    if (writer->barriers_last != NULL) {
        writer->barriers_last->next = barrier;
    }
    else {
        writer->barriers_first = barrier;
    }
    writer->barriers_last = barrier;
    complete_barriers(writer);
}

/**
 * FvRecordWriter_Backlog - count the groups that wait to be written
 * @writer: the writer
 *
 * Return: the number of groups in all streams.
 */
uint32_t
FvRecordWriter_Backlog(const fv_record_writer_t *writer)
{
    uint64_t waiting = 0;

    for (uint32_t i = 0; i < Fv_RECORD_STREAMS; i++) {
        waiting += writer->streams[i].queued - writer->streams[i].written;
    }
    return (uint32_t)waiting;
}
