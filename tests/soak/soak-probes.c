/*
 * Probes of the soak, which meet a host at the moments that other clients
 * rarely hit: the end of a suspension, with cancellations of jobs that another
 * leader has accepted meanwhile, and the last seconds of a terminated host,
 * with requests that are answered one after the other until its end.
 */

#include "soak.h"

#include "fake-server.h"

#include <poll.h>
#include <stdlib.h>
#include <string.h>

#define PROBE_PAUSE_MS 50
#define PROBE_CANCELS 4
#define PROBE_DRAIN_CONNECTIONS 40
#define PROBE_ANSWER_MS 4000

/* A suspension that lasts longer than this leaves time for a new leader to
 * accept jobs. */
#define PROBE_SUSPENDED_MIN_MS 1800
#define PROBE_CANCEL_BEFORE_MS 250

/* From SIGTERM to the first and the last request of the probe. */
#define PROBE_DRAIN_FIRST_MS 500
#define PROBE_DRAIN_TOGETHER_MS 750
#define PROBE_DRAIN_LAST_MS 4300
#define PROBE_DRAIN_END_MS 6500
#define PROBE_DRAIN_PAUSE_MS 5

typedef struct soak_probe {
    soak_t *soak;
    uint64_t random;
    kept_connection_t connections[ENTRY_CELL_HOSTS_MAX][PROBE_CANCELS];
    int64_t probed_ms[ENTRY_CELL_HOSTS_MAX]; /* SIGTERM that was probed */
} soak_probe_t;

static soak_host_t
host_state(soak_t *soak, int host)
{
    soak_host_t state;

    pthread_mutex_lock(&soak->lock);
    state = soak->host[host];
    pthread_mutex_unlock(&soak->lock);
    return state;
}

static bool
submit_elsewhere(soak_probe_t *probe, int host, soak_job_t *job,
                 int64_t until_ms)
{
    soak_t *soak = probe->soak;
    char path[64];
    char body[768];

    FvSoakClients_BuildBody(&probe->random, job, body, sizeof(body));
    snprintf(path, sizeof(path), "/%s/%s", job->queue, job->id);
    while (FvClock_NowMs() < until_ms) {
        int other = (int)FvSoak_Random(&probe->random, (uint32_t)soak->hosts);
        soak_host_t state = host_state(soak, other);

        if (other != host && !state.down && !state.suspended &&
            FvEntryCell_CallAs(&soak->cell, other, job->key, "POST", path,
                               body, NULL, 0) == 200) {
            job->state = SOAK_ACCEPTED;
            return true;
        }
        FvFake_SleepMs(PROBE_PAUSE_MS);
    }
    return false;
}

/* Cancels jobs at a suspended host, on connections from before, so that it
 * reads the requests when it goes on. */
static void
cancel_at_suspended_host(soak_probe_t *probe, int host, int64_t resumes_ms)
{
    int64_t send_ms = resumes_ms - PROBE_CANCEL_BEFORE_MS;
    soak_job_t *jobs[PROBE_CANCELS] = {NULL};
    char path[64];

    for (int i = 0; i < PROBE_CANCELS; i++) {
        jobs[i] = FvSoakClients_NewJob(probe->soak, &probe->random, "long");
        if (jobs[i] == NULL ||
            !submit_elsewhere(probe, host, jobs[i], send_ms)) {
            jobs[i] = NULL;
        }
    }
    if (send_ms > FvClock_NowMs()) {
        FvFake_SleepMs(send_ms - FvClock_NowMs());
    }
    for (int i = 0; i < PROBE_CANCELS; i++) {
        kept_connection_t *connection = &probe->connections[host][i];

        if (jobs[i] != NULL && connection->fd >= 0) {
            snprintf(path, sizeof(path), "/%s/%s", jobs[i]->queue,
                     jobs[i]->id);
            connection->api_key = jobs[i]->key;
            FvKept_Send(connection, "DELETE", path, NULL);
            jobs[i]->state = SOAK_MAY_BE_CANCELLED;
        }
    }
    for (int i = 0; i < PROBE_CANCELS; i++) {
        kept_connection_t *connection = &probe->connections[host][i];
        kept_answer_t answer;

        if (jobs[i] != NULL && connection->fd >= 0) {
            bool answered = FvKept_Receive(connection, PROBE_ANSWER_MS,
                                           &answer) == KEPT_ANSWERED;

            FvSoakClients_NoteCancelled(jobs[i], host,
                                        answered ? answer.status : 0);
            FvSoakClients_CountReply(probe->soak,
                                     answered ? answer.status : 0);
        }
        FvKept_Close(connection);
    }
}

static void *
probe_suspensions(void *context)
{
    soak_probe_t *probe = context;
    soak_t *soak = probe->soak;

    while (!atomic_load(&soak->finished)) {
        for (int host = 0; host < soak->hosts; host++) {
            soak_host_t state = host_state(soak, host);

            if (state.suspended && state.recover_at_ms - FvClock_NowMs() >
                                       PROBE_SUSPENDED_MIN_MS) {
                cancel_at_suspended_host(probe, host, state.recover_at_ms);
            }
            for (int i = 0;
                 i < PROBE_CANCELS && !state.suspended && !state.down; i++) {
                kept_connection_t *connection = &probe->connections[host][i];

                if (connection->fd >= 0 && FvKept_IsClosedByPeer(connection)) {
                    FvKept_Close(connection);
                }
                if (connection->fd < 0) {
                    FvKept_Open(connection,
                                FvEntryCell_Port(&soak->cell, host,
                                                 ENTRY_PORT_CALLERS));
                }
            }
        }
        FvFake_SleepMs(PROBE_PAUSE_MS);
    }
    for (int host = 0; host < soak->hosts; host++) {
        for (int i = 0; i < PROBE_CANCELS; i++) {
            FvKept_Close(&probe->connections[host][i]);
        }
    }
    free(probe);
    return NULL;
}

typedef struct drain_request {
    kept_connection_t connection;
    int64_t sent_ms; /* 0: not yet */
} drain_request_t;

static void
send_drain_request(drain_request_t *request)
{
    request->sent_ms = FvClock_NowMs();
    if (FvKept_IsClosedByPeer(&request->connection) ||
        !FvKept_Send(&request->connection, "GET", "/fast/0000000000000000",
                     NULL)) {
        FvKept_Close(&request->connection);
    }
}

static void
receive_drain_answer(soak_t *soak, int host, int64_t opened_ms,
                     drain_request_t *request)
{
    struct pollfd poll_entry = {.fd = request->connection.fd,
                                .events = POLLIN};
    kept_answer_t answer;
    kept_outcome_t outcome;

    if (poll(&poll_entry, 1, 0) <= 0) {
        return;
    }
    outcome = FvKept_Receive(&request->connection, PROBE_ANSWER_MS, &answer);
    if (outcome != KEPT_ANSWERED) {
        FvSoakClients_CheckLoss(soak, host, opened_ms, request->sent_ms,
                                outcome, "drain probe");
    }
    FvSoakClients_CountReply(soak, answer.status);
    FvKept_Close(&request->connection);
}

/* At equal distances until shortly before the end, or close together, so that
 * the time-outs of all come when the host may end. */
static int64_t
drain_request_due_ms(int index, bool together)
{
    int64_t last_ms = together ? PROBE_DRAIN_TOGETHER_MS : PROBE_DRAIN_LAST_MS;

    return PROBE_DRAIN_FIRST_MS +
           index * (last_ms - PROBE_DRAIN_FIRST_MS) / PROBE_DRAIN_CONNECTIONS;
}

/* Sends one request on each of many connections to a terminated host. */
static void
probe_drain(soak_probe_t *probe, int host, int64_t terminated_ms)
{
    drain_request_t requests[PROBE_DRAIN_CONNECTIONS] = {0};
    int64_t opened_ms = FvClock_NowMs();
    int port = FvEntryCell_Port(&probe->soak->cell, host, ENTRY_PORT_CALLERS);
    bool together = FvSoak_Random(&probe->random, 2) == 0;
    int sent = 0;

    for (int i = 0; i < PROBE_DRAIN_CONNECTIONS; i++) {
        FvKept_Open(&requests[i].connection, port);
        requests[i].connection.api_key = FvSoakKeys_OfJob(probe->soak, 0);
    }
    while (FvClock_NowMs() < terminated_ms + PROBE_DRAIN_END_MS) {
        int64_t due_ms = terminated_ms + drain_request_due_ms(sent, together);

        if (sent < PROBE_DRAIN_CONNECTIONS && FvClock_NowMs() >= due_ms) {
            if (requests[sent].connection.fd >= 0) {
                send_drain_request(&requests[sent]);
            }
            sent++;
        }
        for (int i = 0; i < sent; i++) {
            if (requests[i].connection.fd >= 0) {
                receive_drain_answer(probe->soak, host, opened_ms,
                                     &requests[i]);
            }
        }
        FvFake_SleepMs(PROBE_DRAIN_PAUSE_MS);
    }
    for (int i = 0; i < PROBE_DRAIN_CONNECTIONS; i++) {
        FvKept_Close(&requests[i].connection);
    }
}

static void *
probe_drains(void *context)
{
    soak_probe_t *probe = context;
    soak_t *soak = probe->soak;

    while (!atomic_load(&soak->finished)) {
        for (int host = 0; host < soak->hosts; host++) {
            soak_host_t state = host_state(soak, host);

            if (state.terminated_ms > probe->probed_ms[host] &&
                FvClock_NowMs() - state.terminated_ms < PROBE_DRAIN_FIRST_MS) {
                probe->probed_ms[host] = state.terminated_ms;
                probe_drain(probe, host, state.terminated_ms);
            }
        }
        FvFake_SleepMs(PROBE_PAUSE_MS);
    }
    free(probe);
    return NULL;
}

static void *
probe_keys(void *context)
{
    soak_probe_t *probe = context;

    FvSoakKeys_Probe(probe->soak, &probe->random);
    free(probe);
    return NULL;
}

/**
 * FvSoakProbes_Start - start the probes
 * @soak: the soak; its member finished ends them
 * @threads: receives SOAK_PROBES threads
 *
 * Return: false when one cannot be started.
 */
bool
FvSoakProbes_Start(soak_t *soak, pthread_t *threads)
{
    static void *(*const probes[SOAK_PROBES])(void *) = {
        probe_suspensions, probe_drains, probe_keys};

    for (int i = 0; i < SOAK_PROBES; i++) {
        soak_probe_t *probe = calloc(1, sizeof(*probe));

        if (probe == NULL) {
            return false;
        }
        probe->soak = soak;
        probe->random = soak->seed * 7919 + (uint64_t)i + 1;
        for (int h = 0; h < ENTRY_CELL_HOSTS_MAX; h++) {
            for (int c = 0; c < PROBE_CANCELS; c++) {
                probe->connections[h][c].fd = -1;
            }
        }
        if (pthread_create(&threads[i], NULL, probes[i], probe) != 0) {
            free(probe);
            return false;
        }
    }
    return true;
}
