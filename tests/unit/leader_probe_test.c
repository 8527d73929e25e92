/*
 * When a leader whose link has failed is considered dead. The hosts are TCP
 * sockets on the loopback address.
 */

#include "leader-probe.h"
#include "suite.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

typedef struct fake_host {
    int fd;
    char address[Fv_ADDRESS_SIZE];
} fake_host_t;

typedef struct probe_result {
    struct event_base *base;
    fv_leader_probe_t *probe;
    uint32_t count;
    bool dead;
} probe_result_t;

/* Opens a host that accepts connections, or refuses them like one whose
 * process has exited. */
static fake_host_t
open_host(bool accepts)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t size = sizeof(address);
    fake_host_t host = {.fd = socket(AF_INET, SOCK_STREAM, 0)};

    CU_ASSERT_FATAL(
        bind(host.fd, (struct sockaddr *)&address, sizeof(address)) == 0);
    CU_ASSERT_FATAL(getsockname(host.fd, (struct sockaddr *)&address, &size) ==
                    0);
    snprintf(host.address, sizeof(host.address), "127.0.0.1:%u",
             ntohs(address.sin_port));
    if (accepts) {
        CU_ASSERT_FATAL(listen(host.fd, 8) == 0);
    }
    return host;
}

static void
on_result(void *context, bool dead)
{
    probe_result_t *result = context;

    result->count++;
    result->dead = dead;
    FvLeaderProbe_Free(result->probe);
    result->probe = NULL;
}

static probe_result_t
probe(const char *leader, const char *const *witnesses, uint32_t count)
{
    probe_result_t result = {.base = event_base_new()};
    struct timeval span = {.tv_sec = 1};

    result.probe = FvLeaderProbe_New(result.base, leader, witnesses, count,
                                     on_result, &result);
    event_base_loopexit(result.base, &span);
    event_base_dispatch(result.base);
    CU_ASSERT_EQUAL(result.count, 1);
    FvLeaderProbe_Free(result.probe);
    event_base_free(result.base);
    return result;
}

static void
test_killed_leader_is_found_dead(void)
{
    fake_host_t leader = open_host(false);
    fake_host_t dead_host = open_host(false);
    fake_host_t witness = open_host(true);

    CU_ASSERT_TRUE(probe(leader.address,
                         (const char *[]){dead_host.address, witness.address},
                         2)
                       .dead);
    close(leader.fd);
    close(dead_host.fd);
    close(witness.fd);
}

/* Connections are reset while all processes keep running. */
static void
test_leader_that_accepts_is_found_alive(void)
{
    fake_host_t leader = open_host(true);
    fake_host_t witness = open_host(true);

    CU_ASSERT_FALSE(
        probe(leader.address, (const char *[]){witness.address}, 1).dead);
    close(leader.fd);
    close(witness.fd);
}

/* This host is isolated, and all its connections are refused. */
static void
test_isolated_host_does_not_declare_leader_dead(void)
{
    fake_host_t leader = open_host(false);
    fake_host_t other = open_host(false);

    CU_ASSERT_FALSE(
        probe(leader.address, (const char *[]){other.address}, 1).dead);
    CU_ASSERT_FALSE(probe(leader.address, NULL, 0).dead);
    CU_ASSERT_FALSE(
        probe("no address", (const char *[]){other.address}, 1).dead);
    close(leader.fd);
    close(other.fd);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a killed leader is considered alive",
         test_killed_leader_is_found_dead},
        {"a leader whose link was reset is considered dead",
         test_leader_that_accepts_is_found_alive},
        {"a host that reaches no other host considers the leader dead",
         test_isolated_host_does_not_declare_leader_dead},
    };

    return Fv_RUN_SUITE("leader probe", cases);
}
