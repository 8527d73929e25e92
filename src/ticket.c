/*
 * A caller's request, passed from an HTTP thread to the scheduler, which
 * replies. Up to three references exist: the HTTP thread's, that of the event
 * in the ring, and one that the reply releases. A ticket therefore stays valid
 * whichever side finishes first.
 */

#include "daemon.h"

#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

/* The longest wait of a caller (60 s), plus 30 s for a slow reply. */
#define Fv_TICKET_TIMEOUT_MS (60000 + 30000)
/* Interval at which a waiting thread checks for a shutdown. */
#define Fv_TICKET_POLL_MS 500
#define Fv_TICKET_DRAIN_GRACE_MS 1000
#define Fv_DETAIL_SIZE 512

static void
run_ticket(fv_event_t *event)
{
    fv_ticket_t *ticket = (fv_ticket_t *)event;

    ticket->event_handled = true;
    ticket->route->handle(ticket->daemon, ticket);
}

static void
free_ticket(fv_event_t *event)
{
    fv_ticket_t *ticket = (fv_ticket_t *)event;

    if (!ticket->event_handled) {
        FvTicket_ReplyProblem(ticket, 503, NULL, Fv_MS_PER_S,
                              "this host is shutting down");
    }
    FvTicket_Release(ticket);
}

static const fv_event_type_t ticket_event_type = {
    .name = "ticket", .run = run_ticket, .free = free_ticket};

/**
 * FvTicket_New - allocate a ticket
 * @daemon: the daemon whose scheduler handles it
 * @route: the route of the request
 *
 * Return: the ticket, or NULL when memory is exhausted.
 */
fv_ticket_t *
FvTicket_New(fv_daemon_t *daemon, const fv_route_t *route)
{
    fv_ticket_t *ticket = calloc(1, sizeof(*ticket));
    pthread_condattr_t attr;

    if (ticket == NULL) {
        return NULL;
    }
    ticket->event.type = &ticket_event_type;
    ticket->daemon = daemon;
    ticket->route = route;
    atomic_init(&ticket->references, 1);
    pthread_mutex_init(&ticket->lock, NULL);
    pthread_condattr_init(&attr);
    pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
    pthread_cond_init(&ticket->replied, &attr);
    pthread_condattr_destroy(&attr);
    return ticket;
}

/**
 * FvTicket_Release - drop one reference; the last one frees the ticket
 * @ticket: the ticket
 */
void
FvTicket_Release(fv_ticket_t *ticket)
{
    if (atomic_fetch_sub(&ticket->references, 1) > 1) {
        return;
    }
    json_decref(ticket->body);
    json_decref(ticket->reply);
    free(ticket->raw);
    pthread_cond_destroy(&ticket->replied);
    pthread_mutex_destroy(&ticket->lock);
    free(ticket);
}

/**
 * FvTicket_Post - queue a ticket for the scheduler
 * @ticket: the ticket
 *
 * Return: false when the scheduler's ring is full or closed.
 */
bool
FvTicket_Post(fv_ticket_t *ticket)
{
    atomic_fetch_add(&ticket->references, 2);
    if (FvLoop_TryPost(ticket->daemon->loop, &ticket->event)) {
        return true;
    }
    atomic_fetch_sub(&ticket->references, 2);
    return false;
}

/*
 * Stores the reply unless the HTTP thread has timed out. Takes ownership of
 * json and raw.
 */
static void
complete_locked(fv_ticket_t *ticket, int32_t status, json_t *json,
                uint8_t *raw, size_t raw_length)
{
    if (ticket->done) {
        json_decref(json);
        free(raw);
        return;
    }
    ticket->status = status;
    ticket->reply = json;
    ticket->raw = raw;
    ticket->raw_length = raw_length;
    ticket->done = true;
    pthread_cond_signal(&ticket->replied);
}

static void
reply(fv_ticket_t *ticket, int32_t status, json_t *json, uint8_t *raw,
      size_t raw_length)
{
    bool first;

    pthread_mutex_lock(&ticket->lock);
    first = !ticket->scheduler_replied;
    ticket->scheduler_replied = true;
    complete_locked(ticket, status, json, raw, raw_length);
    pthread_mutex_unlock(&ticket->lock);
    if (first) {
        FvTicket_Release(ticket);
    }
}

/**
 * FvTicket_ReplyJson - reply with a JSON document
 * @ticket: the ticket
 * @status: HTTP status
 * @json: the document; ownership is taken
 */
void
FvTicket_ReplyJson(fv_ticket_t *ticket, int32_t status, json_t *json)
{
    reply(ticket, status, json, NULL, 0);
}

/**
 * FvTicket_ReplyRaw - reply with bytes
 * @ticket: the ticket
 * @status: HTTP status
 * @data: the bytes; copied
 * @length: how many
 */
void
FvTicket_ReplyRaw(fv_ticket_t *ticket, int32_t status, const uint8_t *data,
                  size_t length)
{
    uint8_t *copy = malloc(length + 1);

    if (copy == NULL) {
        FvTicket_ReplyProblem(ticket, 500, NULL, 0,
                              "not enough memory for the answer");
        return;
    }
    if (length > 0) {
        memcpy(copy, data, length);
    }
    reply(ticket, status, NULL, copy, length);
}

/**
 * FvTicket_ReplyProblem - reply with an error document
 * @ticket: the ticket
 * @status: HTTP status
 * @outcome: the job's outcome when the error ends a job, else NULL
 * @retry_after_ms: value of Retry-After; 0: none
 * @format: explanation for the caller
 */
void
FvTicket_ReplyProblem(fv_ticket_t *ticket, int32_t status, const char *outcome,
                      int64_t retry_after_ms, const char *format, ...)
{
    char detail[Fv_DETAIL_SIZE];
    va_list arguments;

    va_start(arguments, format);
    vsnprintf(detail, sizeof(detail), format, arguments);
    va_end(arguments);
    pthread_mutex_lock(&ticket->lock);
    if (!ticket->done) {
        ticket->retry_after_ms = retry_after_ms;
    }
    pthread_mutex_unlock(&ticket->lock);
    reply(ticket, status,
          FvHttpReply_MakeProblem(status, outcome, retry_after_ms, detail),
          NULL, 0);
}

static void
add_ms(struct timespec *time, int64_t ms)
{
    time->tv_sec += ms / Fv_MS_PER_S;
    time->tv_nsec += (ms % Fv_MS_PER_S) * Fv_NS_PER_MS;
    if (time->tv_nsec >= Fv_NS_PER_S) {
        time->tv_sec++;
        time->tv_nsec -= Fv_NS_PER_S;
    }
}

static void
wait_poll_interval_locked(fv_ticket_t *ticket)
{
    struct timespec until;

    clock_gettime(CLOCK_MONOTONIC, &until);
    add_ms(&until, Fv_TICKET_POLL_MS);
    pthread_cond_timedwait(&ticket->replied, &ticket->lock, &until);
}

/**
 * FvTicket_Wait - wait for the scheduler's reply
 * @ticket: a posted ticket
 *
 * Always leaves a reply in the ticket: 504 if the scheduler has not replied
 * after 90 s, or when a shutdown takes longer than the drain timeout.
 */
void
FvTicket_Wait(fv_ticket_t *ticket)
{
    int64_t give_up_ms = FvClock_NowMs() + Fv_TICKET_TIMEOUT_MS;
    bool draining = false;

    pthread_mutex_lock(&ticket->lock);
    while (!ticket->done && FvClock_NowMs() < give_up_ms) {
        if (!draining && atomic_load(&ticket->daemon->draining)) {
            draining = true;
            give_up_ms = FvClock_NowMs() + Fv_TICKET_DRAIN_GRACE_MS +
                         ticket->daemon->settings.drain_timeout_ms;
        }
        wait_poll_interval_locked(ticket);
    }
    if (!ticket->done) {
        ticket->retry_after_ms = Fv_MS_PER_S;
        complete_locked(ticket, 504,
                        FvHttpReply_MakeProblem(
                            504, NULL, ticket->retry_after_ms,
                            "no reply in time; repeat the request with the "
                            "same Idempotency-Key to learn the outcome"),
                        NULL, 0);
    }
    pthread_mutex_unlock(&ticket->lock);
}
