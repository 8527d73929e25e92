/*
 * Limits of callers' connections: what each holds, how long it may go without
 * progress, and which one is closed when there is no room. No sockets or
 * clocks; caller-connection.c carries the decisions out.
 */

#include "caller-limits.h"

#include "caller-connection.h"

#include <string.h>

#define Fv_BYTES_PER_MB (1024 * 1024)
#define Fv_BYTES_PER_KB 1024

/* Share of the process's memory for callers' connections. Accepted jobs have
 * a quarter too; docs/design/caller-limits.md has the sum. */
#define Fv_CALLER_MEMORY_SHARE 0.25

/* Share of that for the fixed part of connections; the rest is left for what
 * requests and answers take beyond it: 28 of the largest bodies at a host of
 * 120 MB. */
#define Fv_CALLER_FIXED_SHARE 0.75

/* Of the descriptors beyond those for files, at most. Outgoing calls have what
 * is left (entry.c). */
#define Fv_CALLER_DESCRIPTORS_SHARE 0.1875

/* The balancer makes one check a second, and scrapes are rarer; the bounds
 * allow for several of each, and for clients that should not be there. */
#define Fv_CALLER_READY_SHARE 0.125
#define Fv_CALLER_READY_MAX 24
#define Fv_CALLER_READY_MIN 4
#define Fv_CALLER_METRICS_SHARE 0.0625
#define Fv_CALLER_METRICS_MAX 8
#define Fv_CALLER_METRICS_MIN 2
#define Fv_CALLER_CONNECTIONS_MIN 8

/* Objects of a connection: 3,711 bytes measured with libevent 2.1.12, for each
 * of 1,500 idle connections after a request. */
#define Fv_CALLER_OBJECT_BYTES 4096

/* The kernel doubles a buffer's size that is set, and counts its own overhead
 * against it. */
#define Fv_CALLER_KERNEL_BYTES                                                \
    (2 * (Fv_CALLER_RECEIVE_BYTES + Fv_CALLER_SEND_BYTES))

/* evhttp keeps three allocations for each header line, of 112 bytes together
 * when name and value are short. */
#define Fv_CALLER_LINE_BYTES 112

/* libevent's smallest buffer. A body in chunks keeps one for each piece that
 * is taken from the input without a rest: 1,036 bytes measured for each chunk
 * of one byte that came alone. Any other body stays in the input as one. */
#define Fv_CALLER_PIECE_BYTES 1024

/* A connection does not give way to another one when its answer made progress,
 * or its request began, less than this ago: the usual deadline is three times
 * as long, and the longest round trip takes 46 ms. */
#define Fv_CALLER_GRACE_MS 1000

static uint32_t
part_of(double whole, double share, uint32_t low, uint32_t high)
{
    double part = whole * share;

    return part < low ? low : part > high ? high : (uint32_t)part;
}

/**
 * FvCallerLimits_Derive - work out the limits of a process
 * @limits: filled in
 * @settings: what is set
 * @memory_mb: that the process may use
 * @descriptors: that the process may open beyond those for files
 */
void
FvCallerLimits_Derive(fv_caller_limits_t *limits,
                      const fv_caller_settings_t *settings, double memory_mb,
                      int64_t descriptors)
{
    double memory_bytes =
        (settings->memory_mb > 0 ? settings->memory_mb
                                 : memory_mb * Fv_CALLER_MEMORY_SHARE) *
        Fv_BYTES_PER_MB;
    double by_memory = memory_bytes * Fv_CALLER_FIXED_SHARE /
                       (Fv_CALLER_KERNEL_BYTES + Fv_CALLER_OBJECT_BYTES);
    double by_descriptors = (double)descriptors * Fv_CALLER_DESCRIPTORS_SHARE;
    double total = by_memory < by_descriptors ? by_memory : by_descriptors;
    uint32_t ready = part_of(total, Fv_CALLER_READY_SHARE, Fv_CALLER_READY_MIN,
                             Fv_CALLER_READY_MAX);
    uint32_t metrics = part_of(total, Fv_CALLER_METRICS_SHARE,
                               Fv_CALLER_METRICS_MIN, Fv_CALLER_METRICS_MAX);

    *limits = (fv_caller_limits_t){
        .connections_max = {[Fv_CALLER_PORT_CALLERS] =
                                part_of(total - ready - metrics, 1,
                                        Fv_CALLER_CONNECTIONS_MIN, INT32_MAX),
                            [Fv_CALLER_PORT_READY] = ready,
                            [Fv_CALLER_PORT_METRICS] = metrics},
        .memory_max_bytes = (int64_t)memory_bytes,
        .read_ahead_bytes = (int64_t)settings->read_ahead_kb * Fv_BYTES_PER_KB,
        .header_ms = settings->header_ms,
        .body_ms = settings->body_ms,
        .unread_ms = settings->unread_ms};
    if (settings->connections_max > 0) {
        limits->connections_max[Fv_CALLER_PORT_CALLERS] =
            (uint32_t)settings->connections_max;
    }
}

/**
 * FvCallerLimits_Connections - how many descriptors callers may take
 * @limits: the limits
 *
 * Return: the number, with one connection beyond the limit at each address:
 * it is accepted before there turns out to be no room.
 */
uint32_t
FvCallerLimits_Connections(const fv_caller_limits_t *limits)
{
    uint32_t sum = 0;

    for (int i = 0; i < Fv_CALLER_PORT_COUNT; i++) {
        sum += limits->connections_max[i] + 1;
    }
    return sum;
}

/**
 * FvCallerFacts_State - what a connection is doing
 * @facts: the connection
 *
 * Return: the state.
 */
fv_caller_state_t
FvCallerFacts_State(const fv_caller_facts_t *facts)
{
    return facts->handling                ? Fv_CALLER_HANDLING
           : facts->output_bytes > 0      ? Fv_CALLER_ANSWERING
           : facts->request_since_ms != 0 ? Fv_CALLER_RECEIVING
                                          : Fv_CALLER_IDLE;
}

/**
 * FvCallerFacts_Bytes - the memory that a connection may take
 * @facts: the connection
 *
 * Return: the kernel's buffers at their largest, the objects, and the request
 * and answer in progress, in bytes.
 */
int64_t
FvCallerFacts_Bytes(const fv_caller_facts_t *facts)
{
    return Fv_CALLER_KERNEL_BYTES + Fv_CALLER_OBJECT_BYTES +
           facts->input_bytes + facts->output_bytes + facts->request_bytes +
           facts->chunk_pieces * Fv_CALLER_PIECE_BYTES +
           facts->header_lines * Fv_CALLER_LINE_BYTES;
}

/**
 * FvCallerFacts_Received - note that bytes of a request have come
 * @facts: the connection
 * @now_ms: the time
 */
void
FvCallerFacts_Received(fv_caller_facts_t *facts, int64_t now_ms)
{
    if (facts->request_since_ms == 0) {
        facts->request_since_ms = now_ms;
    }
}

/**
 * FvCallerFacts_ScanHeader - take note of further bytes of a request
 * @facts: the connection, of which no request is handled
 * @data: the bytes
 * @length: their number
 *
 * evhttp does not tell when it has read a header, so its lines are counted
 * here up to the empty one.
 */
void
FvCallerFacts_ScanHeader(fv_caller_facts_t *facts, const char *data,
                         size_t length)
{
    facts->request_bytes += (int64_t)length;
    while (length > 0 && !facts->header_read) {
        const char *end = memchr(data, '\n', length);
        size_t part = end != NULL ? (size_t)(end - data) : length;

        for (size_t i = 0; i < part; i++) {
            facts->header_line_bytes += data[i] != '\r';
        }
        if (end == NULL) {
            return;
        }
        facts->header_read =
            facts->header_line_bytes == 0 && facts->header_lines > 0;
        facts->header_lines += facts->header_line_bytes > 0;
        facts->header_line_bytes = 0;
        data += part + 1;
        length -= part + 1;
    }
}

/**
 * FvCallerFacts_InputTaken - note that the server took all of the input
 * @facts: the connection, of which no request is handled
 */
void
FvCallerFacts_InputTaken(fv_caller_facts_t *facts)
{
    facts->chunk_pieces += facts->header_read;
}

/**
 * FvCallerFacts_RequestRead - note that a request was read in whole
 * @facts: the connection
 */
void
FvCallerFacts_RequestRead(fv_caller_facts_t *facts)
{
    facts->handling = true;
}

/**
 * FvCallerFacts_OutputChanged - note a change of what is to be written
 * @facts: the connection
 * @bytes: what is left to be written
 * @now_ms: the time
 */
void
FvCallerFacts_OutputChanged(fv_caller_facts_t *facts, int64_t bytes,
                            int64_t now_ms)
{
    if (bytes > facts->output_bytes && facts->handling) {
        facts->handling = false;
        facts->answering = true;
    }
    facts->output_bytes = bytes;
    facts->output_progress_ms = now_ms;
}

/**
 * FvCallerFacts_Answered - note that an answer was written in whole
 * @facts: the connection
 * @now_ms: the time
 *
 * What has come of the next request has to be noted afterwards.
 */
void
FvCallerFacts_Answered(fv_caller_facts_t *facts, int64_t now_ms)
{
    facts->handling = false;
    facts->answering = false;
    facts->idle_since_ms = now_ms;
    facts->request_since_ms = 0;
    facts->request_bytes = 0;
    facts->chunk_pieces = 0;
    facts->header_lines = 0;
    facts->header_line_bytes = 0;
    facts->header_read = false;
}

/**
 * FvCallerFacts_Spare - keep a connection whose latest answer may not have
 * reached its caller
 * @facts: the connection, with a part of a request; to close it would drop
 * what the caller's host has not acknowledged
 * @now_ms: the time
 *
 * Return: false when the answer was written too long ago.
 */
bool
FvCallerFacts_Spare(fv_caller_facts_t *facts, int64_t now_ms)
{
    facts->spared_until_ms = facts->idle_since_ms + Fv_CALLER_GRACE_MS;
    return now_ms < facts->spared_until_ms;
}

/**
 * FvCallerFacts_Forgive - leave time out in which the process stood still
 * @facts: the connection
 * @stood_still_ms: for how long, as of now
 */
void
FvCallerFacts_Forgive(fv_caller_facts_t *facts, int64_t stood_still_ms)
{
    facts->idle_since_ms += stood_still_ms;
    facts->output_progress_ms += stood_still_ms;
    if (facts->request_since_ms != 0) {
        facts->request_since_ms += stood_still_ms;
    }
}

/**
 * FvCallerLimits_Check - whether a connection goes without progress for too
 * long
 * @limits: the limits
 * @facts: the connection
 * @now_ms: the time
 *
 * Return: why it has to be closed, or Fv_CALLER_CAUSE_NONE.
 */
fv_caller_cause_t
FvCallerLimits_Check(const fv_caller_limits_t *limits,
                     const fv_caller_facts_t *facts, int64_t now_ms)
{
    int64_t request_ms = now_ms - facts->request_since_ms;

    switch (FvCallerFacts_State(facts)) {
    case Fv_CALLER_ANSWERING:
        return now_ms - facts->output_progress_ms >= limits->unread_ms
                   ? Fv_CALLER_CAUSE_UNREAD
                   : Fv_CALLER_CAUSE_NONE;
    case Fv_CALLER_RECEIVING:
        if (!facts->header_read && request_ms >= limits->header_ms) {
            return Fv_CALLER_CAUSE_HEADER;
        }
        return request_ms >= limits->header_ms + limits->body_ms
                   ? Fv_CALLER_CAUSE_BODY
                   : Fv_CALLER_CAUSE_NONE;
    case Fv_CALLER_IDLE: /* the server has a time limit of its own */
    case Fv_CALLER_HANDLING:
    default:
        return Fv_CALLER_CAUSE_NONE;
    }
}

/* Those of the highest rank give way first; 0: does not give way. */
static int
rank_of(const fv_caller_facts_t *facts, fv_caller_cause_t cause,
        int64_t now_ms)
{
    bool for_memory = cause == Fv_CALLER_CAUSE_MEMORY;

    if (now_ms < facts->spared_until_ms) {
        return 0;
    }
    switch (FvCallerFacts_State(facts)) {
    case Fv_CALLER_ANSWERING:
        return now_ms - facts->output_progress_ms >= Fv_CALLER_GRACE_MS ? 4
                                                                        : 0;
    case Fv_CALLER_IDLE:
        /* A check of the balancer may be about to arrive. */
        return for_memory && facts->port == Fv_CALLER_PORT_READY ? 1 : 3;
    case Fv_CALLER_RECEIVING:
        /* Memory cannot wait, further connections can. */
        return for_memory ||
                       now_ms - facts->request_since_ms >= Fv_CALLER_GRACE_MS
                   ? 2
                   : 0;
    case Fv_CALLER_HANDLING:
    default:
        return 0;
    }
}

static int64_t
since_ms(const fv_caller_facts_t *facts)
{
    switch (FvCallerFacts_State(facts)) {
    case Fv_CALLER_ANSWERING:
        return facts->output_progress_ms;
    case Fv_CALLER_RECEIVING:
        return facts->request_since_ms;
    case Fv_CALLER_IDLE:
    case Fv_CALLER_HANDLING:
    default:
        return facts->idle_since_ms;
    }
}

static int64_t
weight_of(const fv_caller_peer_t *peer, fv_caller_cause_t cause)
{
    if (peer == NULL) {
        return 0;
    }
    return cause == Fv_CALLER_CAUSE_MEMORY ? peer->bytes
                                           : (int64_t)peer->connections;
}

static bool
gives_way_before(const fv_caller_facts_t *a, const fv_caller_facts_t *b,
                 fv_caller_cause_t cause, int64_t now_ms)
{
    int rank_a = rank_of(a, cause, now_ms);
    int rank_b = rank_of(b, cause, now_ms);

    if (rank_a != rank_b) {
        return rank_a > rank_b;
    }
    if (FvCallerFacts_State(a) == Fv_CALLER_RECEIVING) {
        int64_t weight_a = weight_of(a->peer, cause);
        int64_t weight_b = weight_of(b->peer, cause);

        if (weight_a != weight_b) {
            return weight_a > weight_b;
        }
    }
    return since_ms(a) < since_ms(b);
}

/**
 * FvCallerLimits_FindVictim - choose the connection that gives way
 * @first: the connections
 * @port: of which address; Fv_CALLER_PORT_COUNT: of any
 * @cause: Fv_CALLER_CAUSE_CONNECTIONS or Fv_CALLER_CAUSE_MEMORY
 * @now_ms: the time
 *
 * First those whose caller does not read its answer, then idle ones, then
 * those with a part of a request, of the caller's address that holds most;
 * among equals the oldest. A request that was read in whole keeps its
 * connection. For memory, idle connections of the balancer come last.
 *
 * Return: the connection, or NULL when none may be closed.
 */
fv_caller_facts_t *
FvCallerLimits_FindVictim(fv_caller_facts_t *first, fv_caller_port_t port,
                          fv_caller_cause_t cause, int64_t now_ms)
{
    fv_caller_facts_t *victim = NULL;

    for (fv_caller_facts_t *facts = first; facts != NULL;
         facts = facts->next) {
        if ((port == Fv_CALLER_PORT_COUNT || facts->port == port) &&
            rank_of(facts, cause, now_ms) > 0 &&
            (victim == NULL ||
             gives_way_before(facts, victim, cause, now_ms))) {
            victim = facts;
        }
    }
    return victim;
}

/**
 * FvCallerCause_Name - the name of a cause
 * @cause: the cause
 *
 * Return: one word.
 */
const char *
FvCallerCause_Name(fv_caller_cause_t cause)
{
    static const char *const names[] = {[Fv_CALLER_CAUSE_NONE] = "none",
                                        [Fv_CALLER_CAUSE_UNREAD] = "unread",
                                        [Fv_CALLER_CAUSE_HEADER] = "header",
                                        [Fv_CALLER_CAUSE_BODY] = "body",
                                        [Fv_CALLER_CAUSE_CONNECTIONS] =
                                            "connections",
                                        [Fv_CALLER_CAUSE_MEMORY] = "memory"};

    return names[cause];
}
