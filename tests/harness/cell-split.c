/*
 * A split of fake-cell: which host a leader's calls come from, and whether the
 * worker is on its side. The routes to the store and between hosts are those
 * of fault-proxy.
 */

#include "fake-cell.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define LEADER_KEY "fireflyvalve/control/leader"
#define HOSTS_PREFIX "fireflyvalve/control/hosts/"

/* Both are addresses of the loopback interface and of the same length. */
#define DIRECT_ADDRESS "127.0.0.1:"
#define PROXIED_ADDRESS "127.0.1.1:"

static bool
has_prefix(const kv_bytes_t *bytes, const char *prefix)
{
    return bytes->length >= strlen(prefix) &&
           memcmp(bytes->data, prefix, strlen(prefix)) == 0;
}

/* The fencing token of a leader's orders is the revision that created its
 * key. The value begins with the host's name. */
static void
note_leader(cell_t *cell, const kv_bytes_t *key)
{
    const kv_entry_t *entry = FvKv_Find(cell->store, key);
    cell_leader_t *leader;
    char text[32];
    int host;

    if (entry == NULL) {
        return;
    }
    snprintf(text, sizeof(text), "%.*s", (int)entry->value.length,
             (const char *)entry->value.data);
    if (sscanf(text, "host-%d", &host) != 1) {
        return;
    }
    leader = calloc(1, sizeof(*leader));
    if (leader == NULL) {
        abort();
    }
    *leader = (cell_leader_t){
        .token = entry->create_revision, .host = host, .next = cell->leaders};
    cell->leaders = leader;
}

/**
 * FvCellSplit_AdaptEntry - change the link address of a host's entry to that
 * of the proxy in front of the host
 * @cell: the cell
 * @key: key of an entry that is to be written
 * @value: its value; changed in place
 */
void
FvCellSplit_AdaptEntry(const cell_t *cell, const kv_bytes_t *key,
                       kv_bytes_t *value)
{
    if (cell->proxied_links && has_prefix(key, HOSTS_PREFIX) &&
        has_prefix(value, DIRECT_ADDRESS)) {
        memcpy(value->data, PROXIED_ADDRESS, strlen(PROXIED_ADDRESS));
    }
}

/**
 * FvCellSplit_NoteEntry - note which host leads from now on
 * @cell: the cell, whose lock is held
 * @key: key of an entry that was written
 */
void
FvCellSplit_NoteEntry(cell_t *cell, const kv_bytes_t *key)
{
    if (key->length == strlen(LEADER_KEY) && has_prefix(key, LEADER_KEY)) {
        note_leader(cell, key);
    }
}

static void
read_flags(const json_t *list, bool *flags, size_t count)
{
    size_t index;
    json_t *row;

    memset(flags, 0, count * sizeof(*flags));
    json_array_foreach(list, index, row)
    {
        json_int_t number = json_integer_value(row);

        if (number >= 0 && (size_t)number < count) {
            flags[number] = true;
        }
    }
}

/**
 * FvCellSplit_Apply - split the cell, or end the split
 * @cell: the cell, whose lock is held
 * @split: what is on the second side and which directions lose their packets;
 *         {} ends the split
 */
void
FvCellSplit_Apply(cell_t *cell, const json_t *split)
{
    cell_split_t *state = &cell->split;

    read_flags(json_object_get(split, "hosts"), state->hosts, CELL_HOSTS_MAX);
    read_flags(json_object_get(split, "workers"), state->workers,
               CELL_WORKERS_MAX);
    state->store = FvJson_Bool(split, "store", false);
    state->lost[0] = FvJson_Bool(split, "lostFromFirst", false);
    state->lost[1] = FvJson_Bool(split, "lostFromSecond", false);
}

static bool
is_lost(const cell_split_t *split, bool from, bool to)
{
    return from != to && split->lost[from];
}

/**
 * FvCellSplit_IsWorkerCut - check whether a worker's packets to the store are
 * lost
 * @cell: the cell, whose lock is held
 * @worker: the worker
 *
 * Return: true while it cannot write its entry.
 */
bool
FvCellSplit_IsWorkerCut(const cell_t *cell, const cell_worker_t *worker)
{
    return is_lost(&cell->split, cell->split.workers[worker - cell->workers],
                   cell->split.store);
}

/* Calls with a token that no leader has are those of tests. */
static bool
is_call_lost(cell_t *cell, const cell_worker_t *worker, int64_t token,
             bool answer)
{
    const cell_leader_t *leader = cell->leaders;
    bool lost = false;

    pthread_mutex_lock(&cell->lock);
    while (leader != NULL && leader->token != token) {
        leader = leader->next;
    }
    if (leader != NULL && leader->host >= 0 && leader->host < CELL_HOSTS_MAX) {
        bool caller = cell->split.hosts[leader->host];
        bool callee = cell->split.workers[worker - cell->workers];

        lost = answer ? is_lost(&cell->split, callee, caller)
                      : is_lost(&cell->split, caller, callee);
    }
    pthread_mutex_unlock(&cell->lock);
    return lost;
}

/**
 * FvCellSplit_Wait - wait as long as a split loses a call to a worker
 * @cell: the cell, whose lock is not held
 * @worker: the worker
 * @request: the call
 * @token: its fencing token
 * @answer: true for the answer, false for the request
 *
 * The packets are sent again until they arrive, so that the call goes on after
 * the split unless the client has given up.
 *
 * Return: false when the client has closed its connection.
 */
bool
FvCellSplit_Wait(cell_t *cell, const cell_worker_t *worker,
                 fake_request_t *request, int64_t token, bool answer)
{
    while (is_call_lost(cell, worker, token, answer)) {
        if (FvFake_ClientClosed(request)) {
            return false;
        }
        FvFake_SleepMs(CELL_TICK_MS);
    }
    return true;
}
