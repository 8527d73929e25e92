/*
 * Finds out whether a leader whose link broke is dead: its host refuses
 * connections while another host accepts them. When this host is cut off from
 * all others, or the link was merely reset, the leader may be alive. So may it
 * be when a network that is cut refuses connections: the result speeds up an
 * election and proves nothing to the next leader.
 */

#include "leader-probe.h"

#include <errno.h>
#include <event2/util.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Five round trips between regions; a host that lost power never answers. */
#define Fv_PROBE_TIMEOUT_MS 200

typedef enum fv_probe_state {
    Fv_PROBE_PENDING,
    Fv_PROBE_ACCEPTED,
    Fv_PROBE_REFUSED,
    Fv_PROBE_FAILED
} fv_probe_state_t;

typedef struct fv_probe_attempt {
    fv_leader_probe_t *probe;
    int fd;
    struct event *ready;
    fv_probe_state_t state;
} fv_probe_attempt_t;

struct fv_leader_probe {
    fv_leader_probe_done_t done;
    void *context;
    struct event *result_event;
    uint32_t count;
    fv_probe_attempt_t attempts[Fv_PROBE_WITNESSES_MAX + 1]; /* leader first */
};

/**
 * FvLeaderProbe_Free - cancel and free a probe
 * @probe: the probe, or NULL
 */
void
FvLeaderProbe_Free(fv_leader_probe_t *probe)
{
    if (probe == NULL) {
        return;
    }
    for (uint32_t i = 0; i < probe->count; i++) {
        if (probe->attempts[i].ready != NULL) {
            event_free(probe->attempts[i].ready);
        }
        if (probe->attempts[i].fd >= 0) {
            close(probe->attempts[i].fd);
        }
    }
    if (probe->result_event != NULL) {
        event_free(probe->result_event);
    }
    free(probe);
}

static bool
is_decided(const fv_leader_probe_t *probe, bool *dead)
{
    fv_probe_state_t leader = probe->attempts[0].state;
    bool pending = leader == Fv_PROBE_PENDING;
    bool witnessed = false;

    for (uint32_t i = 1; i < probe->count; i++) {
        pending = pending || probe->attempts[i].state == Fv_PROBE_PENDING;
        witnessed = witnessed || probe->attempts[i].state == Fv_PROBE_ACCEPTED;
    }
    *dead = leader == Fv_PROBE_REFUSED && witnessed;
    return !pending || *dead ||
           (leader != Fv_PROBE_PENDING && leader != Fv_PROBE_REFUSED);
}

static void
deliver_result(evutil_socket_t fd, short what, void *context)
{
    fv_leader_probe_t *probe = context;
    bool dead;

    (void)fd;
    (void)what;
    if (is_decided(probe, &dead)) {
        /* The owner frees the probe. */
        probe->done(probe->context, dead);
    }
}

static void
end_attempt(fv_probe_attempt_t *attempt, int error)
{
    attempt->state = error == 0              ? Fv_PROBE_ACCEPTED
                     : error == ECONNREFUSED ? Fv_PROBE_REFUSED
                                             : Fv_PROBE_FAILED;
    event_active(attempt->probe->result_event, EV_TIMEOUT, 0);
}

static void
attempt_ready(evutil_socket_t fd, short what, void *context)
{
    int error = ETIMEDOUT;
    socklen_t size = sizeof(error);

    if ((what & EV_WRITE) != 0 &&
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0) {
        error = errno;
    }
    end_attempt(context, error);
}

static void
start_attempt(fv_leader_probe_t *probe, struct event_base *base,
              const char *address)
{
    fv_probe_attempt_t *attempt = &probe->attempts[probe->count++];
    struct timeval limit = {.tv_usec = Fv_PROBE_TIMEOUT_MS * Fv_US_PER_MS};
    struct sockaddr_in target;

    *attempt = (fv_probe_attempt_t){.probe = probe, .fd = -1};
    if (!FvText_ParseAddress(address, &target)) {
        end_attempt(attempt, EINVAL);
        return;
    }
    attempt->fd =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (attempt->fd < 0 || (connect(attempt->fd, (struct sockaddr *)&target,
                                    sizeof(target)) != 0 &&
                            errno != EINPROGRESS)) {
        end_attempt(attempt, errno);
        return;
    }
    attempt->ready =
        event_new(base, attempt->fd, EV_WRITE, attempt_ready, attempt);
    event_add(attempt->ready, &limit);
}

/**
 * FvLeaderProbe_New - find out whether a leader is dead
 * @base: the event loop
 * @leader: link address of the leader's host
 * @witnesses: link addresses of other hosts
 * @count: number of witnesses, at most Fv_PROBE_WITNESSES_MAX
 * @done: called with the result after this returns; must free the probe
 * @context: passed to @done
 *
 * Return: the probe, or NULL when memory is exhausted.
 */
fv_leader_probe_t *
FvLeaderProbe_New(struct event_base *base, const char *leader,
                  const char *const *witnesses, uint32_t count,
                  fv_leader_probe_done_t done, void *context)
{
    fv_leader_probe_t *probe = calloc(1, sizeof(*probe));

    if (probe == NULL) {
        return NULL;
    }
    probe->done = done;
    probe->context = context;
    probe->result_event = event_new(base, -1, 0, deliver_result, probe);
    if (probe->result_event == NULL) {
        free(probe);
        return NULL;
    }
    start_attempt(probe, base, leader);
    for (uint32_t i = 0; i < count && i < Fv_PROBE_WITNESSES_MAX; i++) {
        start_attempt(probe, base, witnesses[i]);
    }
    return probe;
}
