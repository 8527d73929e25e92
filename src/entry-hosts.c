/*
 * The leader's view of the other hosts: their connections, and the calls to
 * the advice service that each of them makes for the leader.
 */

#include "entry-hosts.h"

#include <stdlib.h>
#include <string.h>

/* The advice service serves one call of a host at a time. Long calls may only
 * use a share of the hosts, so that short ones find a free host. */
#define Fv_LONG_ADVICE_CALL_US 50000
#define Fv_LONG_ADVICE_CALL_HOST_SHARE 0.85
#define Fv_VERY_LONG_ADVICE_CALL_US 250000
#define Fv_VERY_LONG_ADVICE_CALL_HOST_SHARE 0.6
#define Fv_SHORT_ADVICE_CALL_BACKLOG_US 80000

/* A registered host that the leader cannot reach for this long is removed:
 * hosts restart within seconds, and network partitions between regions last
 * about ten seconds. */
#define Fv_HOST_REMOVAL_MS 60000

#define Fv_OVERHEAD_WEIGHT 8 /* divisor of the exponential average */

/**
 * FvEntryHosts_FindOrAdd - find or add a host
 * @entry: this process
 * @name: the host
 *
 * Return: its state, or NULL when the table is full.
 */
fv_host_state_t *
FvEntryHosts_FindOrAdd(fv_entry_t *entry, const char *name)
{
    fv_host_state_t *unused = NULL;
    fv_host_state_t *state;

    for (uint32_t i = 0; i < entry->host_state_count; i++) {
        state = entry->host_states[i];
        if (strcmp(state->name, name) == 0) {
            return state;
        }
        if (state->peer == NULL && state->advice_count == 0 &&
            state != entry->self) {
            unused = state;
        }
    }
    if (entry->host_state_count < Fv_HOSTS_MAX) {
        state = calloc(1, sizeof(*state));
        if (state != NULL) {
            entry->host_states[entry->host_state_count++] = state;
        }
    }
    else {
        state = unused;
    }
    if (state != NULL) {
        *state = (fv_host_state_t){.entry = entry};
        FvText_Copy(state->name, sizeof(state->name), name);
    }
    return state;
}

/**
 * FvEntryHosts_Find - find the host at the other end of a connection
 * @entry: this process
 * @peer: the connection
 *
 * Return: its state, or NULL.
 */
fv_host_state_t *
FvEntryHosts_Find(fv_entry_t *entry, const fv_link_peer_t *peer)
{
    for (uint32_t i = 0; i < entry->host_state_count; i++) {
        if (entry->host_states[i]->peer == peer) {
            return entry->host_states[i];
        }
    }
    return NULL;
}

/**
 * FvEntryHosts_IsLinked - whether a host follows this leader
 * @entry: this process, which leads
 * @name: the host
 *
 * Return: true for a host that has stepped down if it led before, and for this
 * one.
 */
bool
FvEntryHosts_IsLinked(const fv_entry_t *entry, const char *name)
{
    for (uint32_t i = 0; i < entry->host_state_count; i++) {
        const fv_host_state_t *state = entry->host_states[i];

        if (strcmp(state->name, name) == 0) {
            return state->joined || state == entry->self;
        }
    }
    return false;
}

/**
 * FvEntryHosts_AreAllLinked - whether all registered hosts follow this leader
 * @entry: this process, which leads
 *
 * A host that led is registered until it was out of reach for
 * Fv_HOST_REMOVAL_MS, longer than it may send orders without its lease. The
 * predecessor's entry may not have been seen yet: a claim that failed tells of
 * it before the watch does.
 *
 * Return: true when no earlier leader can send orders any more.
 */
bool
FvEntryHosts_AreAllLinked(const fv_entry_t *entry)
{
    const fv_peer_entry_t *hosts;
    uint32_t count = FvElection_Hosts(entry->election, &hosts);
    const fv_predecessor_t *predecessor =
        FvElection_Predecessor(entry->election);
    bool linked = FvElection_KnowsHosts(entry->election) &&
                  (predecessor->host[0] == '\0' ||
                   FvEntryHosts_IsLinked(entry, predecessor->host));

    for (uint32_t i = 0; i < count && linked; i++) {
        linked =
            !hosts[i].listed || FvEntryHosts_IsLinked(entry, hosts[i].name);
    }
    return linked;
}

/**
 * FvEntryHosts_NoteLinked - note that a host has joined this leader
 * @state: the host
 */
void
FvEntryHosts_NoteLinked(fv_host_state_t *state)
{
    bool was_lost = state->reach == Fv_DEPENDENCY_LOST;

    FvDependency_Note(&state->reach, true);
    if (was_lost) {
        FvLog_Event(Fv_LOG_INFO, "host_linked", "peer=%s", state->name);
    }
}

/**
 * FvEntryHosts_NoteLinkClosed - note the end of a connection to a host
 * @state: the host
 * @error: why it ended; NULL: this host closed it
 *
 * A host that refuses each connection is logged once.
 */
void
FvEntryHosts_NoteLinkClosed(fv_host_state_t *state, const char *error)
{
    bool lost = error != NULL ? FvDependency_Note(&state->reach, false)
                              : state->joined;

    if (error == NULL) {
        state->reach = Fv_DEPENDENCY_UNKNOWN;
    }
    if (lost) {
        FvLog_Event(Fv_LOG_INFO, "host_link_lost",
                    "peer=%s joined=%d error=%s", state->name,
                    state->joined ? 1 : 0,
                    error != NULL ? error : "closed_here");
    }
}

/**
 * FvEntryHosts_FindUnreachable - find a registered host to be removed
 * @entry: this process, which leads
 * @hosts: the registered hosts
 * @count: how many
 * @now_ms: the time
 *
 * Return: the name of a host that has been unreachable for too long, or NULL.
 * A host is returned once per Fv_HOST_REMOVAL_MS.
 */
const char *
FvEntryHosts_FindUnreachable(fv_entry_t *entry, const fv_peer_entry_t *hosts,
                             uint32_t count, int64_t now_ms)
{
    for (uint32_t i = 0; i < count; i++) {
        fv_host_state_t *state =
            hosts[i].listed ? FvEntryHosts_FindOrAdd(entry, hosts[i].name)
                            : NULL;

        if (state == NULL || state == entry->self) {
            continue;
        }
        if (state->joined) {
            state->disconnected_since_ms = 0;
        }
        else if (state->disconnected_since_ms == 0) {
            state->disconnected_since_ms = now_ms;
        }
        else if (now_ms - state->disconnected_since_ms > Fv_HOST_REMOVAL_MS) {
            state->disconnected_since_ms = 0;
            return hosts[i].name;
        }
    }
    return NULL;
}

/**
 * FvEntryHosts_RemoveAdvice - remove an advice request from a host
 * @state: the host
 * @id: the request
 */
void
FvEntryHosts_RemoveAdvice(fv_host_state_t *state, int64_t id)
{
    for (uint32_t i = 0; i < state->advice_count; i++) {
        if (state->advice_requests[i].id == id) {
            state->backlog_us -= state->advice_requests[i].cost_us;
            state->advice_requests[i] =
                state->advice_requests[--state->advice_count];
            return;
        }
    }
}

/**
 * FvEntryHosts_LearnOverhead - learn a host's overhead of advice calls, mostly
 * its network distance from the advice service
 * @state: the host
 * @id: the request that was answered
 */
void
FvEntryHosts_LearnOverhead(fv_host_state_t *state, int64_t id)
{
    for (uint32_t i = 0; i < state->advice_count; i++) {
        const fv_host_advice_t *request = &state->advice_requests[i];
        int64_t elapsed_us = (FvClock_NowMs() - request->sent_ms) * 1000;

        if (request->id == id && state->advice_count == 1 &&
            elapsed_us > request->cost_us) {
            state->overhead_us +=
                (elapsed_us - request->cost_us - state->overhead_us) /
                Fv_OVERHEAD_WEIGHT;
        }
    }
}

/**
 * FvEntryHosts_FailAdvice - fail all advice requests of a disconnected host
 * @entry: this process
 * @state: the host
 */
void
FvEntryHosts_FailAdvice(fv_entry_t *entry, fv_host_state_t *state)
{
    while (state->advice_count > 0) {
        int64_t id = state->advice_requests[0].id;

        FvEntryHosts_RemoveAdvice(state, id);
        if (entry->leader != NULL) {
            FvLeader_HandleAdvice(
                entry->leader,
                &(fv_cell_message_t){.kind = Fv_CELL_MESSAGE_ADVICE_REPLY,
                                     .id = id});
        }
    }
}

static void
leader_probed(void *context, bool dead)
{
    fv_entry_t *entry = context;

    FvLeaderProbe_Free(entry->probe);
    entry->probe = NULL;
    FvLog_Event(Fv_LOG_INFO, "leader_probed", "leader=%s dead=%d",
                entry->probed_host, dead ? 1 : 0);
    if (dead) {
        FvElection_LeaderDead(entry->election, entry->probed_host,
                              "connection_refused");
    }
}

/**
 * FvEntryHosts_ProbeLeader - after the link to the leader broke, find out
 * whether the leader is dead
 * @entry: this process
 * @name: the leader's host
 */
void
FvEntryHosts_ProbeLeader(fv_entry_t *entry, const char *name)
{
    const fv_peer_entry_t *hosts;
    uint32_t count = FvElection_Hosts(entry->election, &hosts);
    const char *witnesses[Fv_PROBE_WITNESSES_MAX];
    const char *leader = NULL;
    uint32_t found = 0;
    uint32_t first = 0;

    /* Each host starts after its own entry, so that hosts choose different
     * witnesses. */
    for (uint32_t i = 0; i < count; i++) {
        first = strcmp(hosts[i].name, entry->settings.host) == 0 ? i : first;
        leader =
            strcmp(hosts[i].name, name) == 0 ? hosts[i].link_address : leader;
    }
    for (uint32_t i = 1; i < count && found < Fv_PROBE_WITNESSES_MAX; i++) {
        const fv_peer_entry_t *host = &hosts[(first + i) % count];

        if (host->listed && host->link_address != leader &&
            strcmp(host->name, entry->settings.host) != 0) {
            witnesses[found++] = host->link_address;
        }
    }
    if (leader == NULL || found == 0 || entry->probe != NULL) {
        return;
    }
    FvText_Copy(entry->probed_host, sizeof(entry->probed_host), name);
    entry->probe = FvLeaderProbe_New(entry->base, leader, witnesses, found,
                                     leader_probed, entry);
}

/* How many of the reachable hosts may be used for a call of this cost. */
static uint32_t
hosts_for_call(const fv_entry_t *entry, int64_t cost_us)
{
    double share = cost_us >= Fv_VERY_LONG_ADVICE_CALL_US
                       ? Fv_VERY_LONG_ADVICE_CALL_HOST_SHARE
                   : cost_us >= Fv_LONG_ADVICE_CALL_US
                       ? Fv_LONG_ADVICE_CALL_HOST_SHARE
                       : 1.0;
    uint32_t reached = 0;
    uint32_t count;

    for (uint32_t i = 0; i < entry->host_state_count; i++) {
        reached += entry->host_states[i]->joined ||
                   entry->host_states[i] == entry->self;
    }
    count = (uint32_t)((double)reached * share);
    return count > 0 ? count : 1;
}

static fv_host_state_t *
choose_host(fv_entry_t *entry, int64_t cost_us)
{
    bool is_long = cost_us >= Fv_LONG_ADVICE_CALL_US;
    uint32_t left = hosts_for_call(entry, cost_us);
    fv_host_state_t *best = NULL;

    for (uint32_t i = 0; i < entry->host_state_count; i++) {
        fv_host_state_t *state = entry->host_states[i];

        if ((!state->joined && state != entry->self) ||
            state->advice_count == Fv_HOST_ADVICE_MAX) {
            continue;
        }
        if (left-- == 0) {
            break;
        }
        if (best == NULL || state->backlog_us + state->overhead_us <
                                best->backlog_us + best->overhead_us) {
            best = state;
        }
    }
    if (best != NULL &&
        best->backlog_us > (is_long ? 0 : Fv_SHORT_ADVICE_CALL_BACKLOG_US)) {
        return NULL;
    }
    return best;
}

static void
local_advice_answered(void *context, const fv_cell_message_t *answer)
{
    fv_entry_t *entry = context;

    FvEntryHosts_LearnOverhead(entry->self, answer->id);
    FvEntryHosts_RemoveAdvice(entry->self, answer->id);
    if (entry->leader != NULL) {
        FvLeader_HandleAdvice(entry->leader, answer);
    }
}

/**
 * FvEntryHosts_RequestAdvice - have one of the hosts call the advice service
 * @context: this process
 * @message: the request
 * @cost_us: expected duration of the call
 *
 * Return: false when no host is free or there is no advice service.
 */
bool
FvEntryHosts_RequestAdvice(void *context, const fv_cell_message_t *message,
                           int64_t cost_us)
{
    fv_entry_t *entry = context;
    fv_host_state_t *state = choose_host(entry, cost_us);

    if (state == NULL || entry->advice_client == NULL) {
        return false;
    }
    state->advice_requests[state->advice_count++] = (fv_host_advice_t){
        .id = message->id, .cost_us = cost_us, .sent_ms = FvClock_NowMs()};
    state->backlog_us += cost_us;
    if (state == entry->self) {
        FvAdviceClient_Request(entry->advice_client, message,
                               local_advice_answered, entry);
    }
    else {
        FvLinks_Send(state->peer, message);
    }
    return true;
}
