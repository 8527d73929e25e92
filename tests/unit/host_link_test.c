/*
 * Links between hosts: what was sent before a connection is closed must reach
 * the peer.
 */

#include "entry.h"
#include "suite.h"

#include <arpa/inet.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define BODY_BYTES (512 * 1024)
#define MESSAGES 12         /* more than the buffers of a connection hold */
#define TIMEOUT_ROUNDS 8000 /* of half a millisecond or more */

typedef struct host {
    fv_links_t *links;
    fv_entry_settings_t settings;
    fv_link_peer_t *peer;
    int received;
    int closed;
    int64_t request; /* id of the latest one */
    char customer[Fv_NAME_SIZE];
    fv_caller_check_t check;
} host_t;

static void
note_message(void *context, fv_link_peer_t *peer,
             const fv_cell_message_t *message)
{
    host_t *host = context;

    (void)peer;
    host->received += message->kind == Fv_CELL_MESSAGE_REPLY;
    if (message->kind == Fv_CELL_MESSAGE_REQUEST) {
        host->request = message->id;
        host->check = message->check;
        FvText_Copy(host->customer, sizeof(host->customer), message->customer);
    }
}

static void
note_opened(void *context, fv_link_peer_t *peer)
{
    host_t *host = context;

    host->peer = peer;
    FvLinks_Send(peer, &(fv_cell_message_t){.kind = Fv_CELL_MESSAGE_GREETING,
                                            .name = "",
                                            .key = ""});
}

static void
note_closed(void *context, fv_link_peer_t *peer)
{
    host_t *host = context;

    (void)peer;
    host->peer = NULL;
    host->closed++;
}

/* The peer that accepted learns of the connection by its first message. */
static void
note_peer(void *context, fv_link_peer_t *peer,
          const fv_cell_message_t *message)
{
    host_t *host = context;

    host->peer = peer;
    note_message(context, peer, message);
}

static int
find_free_port(void)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t length = sizeof(address);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    CU_ASSERT_EQUAL_FATAL(
        bind(fd, (struct sockaddr *)&address, sizeof(address)), 0);
    getsockname(fd, (struct sockaddr *)&address, &length);
    close(fd);
    return ntohs(address.sin_port);
}

static void
open_host(host_t *host, struct event_base *base, bool accepts)
{
    *host = (host_t){0};
    FvText_Copy(host->settings.address, sizeof(host->settings.address),
                "127.0.0.1");
    host->settings.link_port = find_free_port();
    host->links = FvLinks_New(
        base, &host->settings,
        &(fv_links_events_t){.message = accepts ? note_peer : note_message,
                             .opened = note_opened,
                             .closed = note_closed,
                             .context = host});
    CU_ASSERT_PTR_NOT_NULL_FATAL(host->links);
}

static void
run_rounds(struct event_base *base, int rounds)
{
    for (int i = 0; i < rounds; i++) {
        event_base_loop(base, EVLOOP_NONBLOCK);
        usleep(500);
    }
}

typedef struct pair {
    struct event_base *base;
    host_t leader; /* dials */
    host_t follower;
} pair_t;

static void
open_pair(pair_t *pair)
{
    char address[Fv_ADDRESS_SIZE];

    pair->base = event_base_new();
    open_host(&pair->leader, pair->base, false);
    open_host(&pair->follower, pair->base, true);
    snprintf(address, sizeof(address), "127.0.0.1:%d",
             pair->follower.settings.link_port);
    CU_ASSERT_PTR_NOT_NULL_FATAL(
        FvLinks_Dial(pair->leader.links, "follower", address));
    for (int i = 0; i < TIMEOUT_ROUNDS && pair->follower.peer == NULL; i++) {
        run_rounds(pair->base, 1);
    }
    CU_ASSERT_PTR_NOT_NULL_FATAL(pair->leader.peer);
    CU_ASSERT_PTR_NOT_NULL_FATAL(pair->follower.peer);
}

static void
close_pair(pair_t *pair)
{
    FvLinks_Free(pair->leader.links);
    FvLinks_Free(pair->follower.links);
    event_base_free(pair->base);
}

static void
send_replies(host_t *host, int count)
{
    char *body = calloc(1, BODY_BYTES);

    for (int i = 0; i < count; i++) {
        FvLinks_Send(host->peer,
                     &(fv_cell_message_t){.kind = Fv_CELL_MESSAGE_REPLY,
                                          .name = "",
                                          .key = "",
                                          .body = body,
                                          .body_length = BODY_BYTES});
    }
    free(body);
}

static void
expect_all_received(pair_t *pair)
{
    for (int i = 0; i < TIMEOUT_ROUNDS && pair->follower.closed == 0; i++) {
        run_rounds(pair->base, 1);
    }
    CU_ASSERT_EQUAL(pair->follower.received, MESSAGES);
    CU_ASSERT_EQUAL(pair->follower.closed, 1);
    CU_ASSERT_EQUAL(pair->leader.closed, 1);
}

/* Guards against a leader that resigns and takes with it the replies that it
 * has given to other hosts. */
static void
test_close_delivers(void)
{
    pair_t pair;

    open_pair(&pair);
    send_replies(&pair.leader, MESSAGES);
    FvLinks_CloseDialed(pair.leader.links);
    CU_ASSERT_EQUAL(pair.leader.closed, 1);
    expect_all_received(&pair);
    close_pair(&pair);
}

/* Guards against a reset by unread input: the other host goes on sending. */
static void
test_close_delivers_beside_input(void)
{
    pair_t pair;

    open_pair(&pair);
    send_replies(&pair.leader, MESSAGES);
    send_replies(&pair.follower, MESSAGES);
    FvLinks_CloseDialed(pair.leader.links);
    expect_all_received(&pair);
    CU_ASSERT_EQUAL(pair.leader.received, 0);
    close_pair(&pair);
}

/* Guards against the end of a process while another host lacks something, and
 * against one that never ends because that host is suspended. */
static void
test_unfinished_until_received(void)
{
    pair_t pair;

    open_pair(&pair);
    CU_ASSERT_EQUAL(FvLinks_Unfinished(pair.leader.links), 0);
    send_replies(&pair.leader, MESSAGES);
    FvLinks_CloseDialed(pair.leader.links);
    CU_ASSERT_EQUAL(FvLinks_Unfinished(pair.leader.links), 1);
    expect_all_received(&pair);
    for (int i = 0;
         i < TIMEOUT_ROUNDS && FvLinks_Unfinished(pair.leader.links) > 0;
         i++) {
        run_rounds(pair.base, 1);
    }
    CU_ASSERT_EQUAL(FvLinks_Unfinished(pair.leader.links), 0);
    close_pair(&pair);
}

/* Accepts in the kernel and never reads. */
static void
test_suspended_peer_is_given_up(void)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t length = sizeof(address);
    struct event_base *base = event_base_new();
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    char text[Fv_ADDRESS_SIZE];
    host_t host;

    CU_ASSERT_EQUAL_FATAL(
        bind(fd, (struct sockaddr *)&address, sizeof(address)), 0);
    CU_ASSERT_EQUAL_FATAL(listen(fd, 4), 0);
    getsockname(fd, (struct sockaddr *)&address, &length);
    snprintf(text, sizeof(text), "127.0.0.1:%d", ntohs(address.sin_port));
    open_host(&host, base, false);
    FvLinks_Dial(host.links, "suspended", text);
    run_rounds(base, 20);
    CU_ASSERT_PTR_NOT_NULL_FATAL(host.peer);
    send_replies(&host, MESSAGES);
    FvLinks_CloseDialed(host.links);
    run_rounds(base, 20);
    CU_ASSERT_EQUAL(FvLinks_Unfinished(host.links), 1);
    for (int i = 0; i < TIMEOUT_ROUNDS && FvLinks_Unfinished(host.links) > 0;
         i++) {
        run_rounds(base, 1);
    }
    CU_ASSERT_EQUAL(FvLinks_Unfinished(host.links), 0);
    close(fd);
    FvLinks_Free(host.links);
    event_base_free(base);
}

static void
send_request(host_t *host, int64_t id, const char *customer,
             const fv_caller_check_t *check)
{
    FvLinks_Send(host->peer,
                 &(fv_cell_message_t){.kind = Fv_CELL_MESSAGE_REQUEST,
                                      .id = id,
                                      .name = "q",
                                      .key = "j",
                                      .customer = customer,
                                      .check = *check});
}

static void
expect_request(pair_t *pair, int64_t id, const char *customer, int64_t digest)
{
    const host_t *leader = &pair->leader;

    for (int i = 0; i < TIMEOUT_ROUNDS && leader->request != id; i++) {
        run_rounds(pair->base, 1);
    }
    CU_ASSERT_EQUAL(leader->request, id);
    CU_ASSERT_STRING_EQUAL(leader->customer, customer);
    CU_ASSERT_EQUAL(leader->check.digest, digest);
}

/* A request of an earlier build follows one with a customer. */
static void
test_customer_of_a_request(void)
{
    fv_caller_check_t check = {
        .digest = -7, .config_version = 3, .waited_ms = 55};
    pair_t pair;

    open_pair(&pair);
    send_request(&pair.follower, 1, "east side", &check);
    expect_request(&pair, 1, "east side", -7);
    CU_ASSERT_EQUAL(pair.leader.check.config_version, 3);
    CU_ASSERT_EQUAL(pair.leader.check.waited_ms, 55);
    send_request(&pair.follower, 2, "", &(fv_caller_check_t){0});
    expect_request(&pair, 2, "", 0);
    close_pair(&pair);
}

/* A check that cannot be read must not be taken for one of nobody. */
static void
test_unreadable_check_of_a_request(void)
{
    static const struct {
        const char *name;
        const char *body;
        size_t length;
    } odd[] = {
        {"east", "", 0},
        {"east", "\x92\x01", 2},
        {"east", "\x91\x01", 2},
        {"east", "\x92\x01\xa1x", 4},
        {"east", "\x92\xff\x01", 3},
        {"east", "\x92\x01\x02\x03", 4},
        {"0123456789012345678901234567890123456789012345678901234567890123",
         "\x92\x01\x02", 3},
    };

    for (size_t i = 0; i < sizeof(odd) / sizeof(odd[0]); i++) {
        pair_t pair;

        open_pair(&pair);
        FvLinks_Send(pair.follower.peer,
                     &(fv_cell_message_t){.kind = Fv_CELL_MESSAGE_CALLER,
                                          .id = 1,
                                          .number = 7,
                                          .name = odd[i].name,
                                          .body = odd[i].body,
                                          .body_length = odd[i].length});
        send_request(&pair.follower, 1, NULL, &(fv_caller_check_t){0});
        for (int r = 0; r < TIMEOUT_ROUNDS && pair.leader.closed == 0; r++) {
            run_rounds(pair.base, 1);
        }
        CU_ASSERT_EQUAL(pair.leader.closed, 1);
        CU_ASSERT_EQUAL(pair.leader.request, 0);
        close_pair(&pair);
    }
}

/* Earlier builds close a link with a message that has other than six fields,
 * and ignore one of an unknown kind. */
static void
test_request_for_an_earlier_build(void)
{
    fv_caller_check_t check = {.digest = 7, .config_version = 3};
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t length = sizeof(address);
    struct event_base *base = event_base_new();
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    uint8_t bytes[512];
    char text[Fv_ADDRESS_SIZE];
    uint32_t messages = 0;
    ssize_t count;
    host_t host;
    int earlier;

    CU_ASSERT_EQUAL_FATAL(
        bind(fd, (struct sockaddr *)&address, sizeof(address)), 0);
    CU_ASSERT_EQUAL_FATAL(listen(fd, 4), 0);
    getsockname(fd, (struct sockaddr *)&address, &length);
    snprintf(text, sizeof(text), "127.0.0.1:%d", ntohs(address.sin_port));
    open_host(&host, base, false);
    FvLinks_Dial(host.links, "earlier", text);
    run_rounds(base, 20);
    CU_ASSERT_PTR_NOT_NULL_FATAL(host.peer);
    send_request(&host, 1, "east", &check);
    run_rounds(base, 20);
    earlier = accept(fd, NULL, NULL);
    count = read(earlier, bytes, sizeof(bytes));
    for (ssize_t at = 0; at + 4 < count;) {
        uint32_t size;

        memcpy(&size, bytes + at, sizeof(size));
        CU_ASSERT_EQUAL(bytes[at + 4], 0x96); /* an array of six fields */
        at += 4 + (ssize_t)ntohl(size);
        messages++;
    }
    CU_ASSERT_EQUAL(messages, 3); /* the greeting comes first */
    close(earlier);
    close(fd);
    FvLinks_Free(host.links);
    event_base_free(base);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a closed link loses what was sent", test_close_delivers},
        {"a closed link with unread input loses what was sent",
         test_close_delivers_beside_input},
        {"a closed link counts as finished too early",
         test_unfinished_until_received},
        {"a suspended peer is waited for without end",
         test_suspended_peer_is_given_up},
        {"a request loses its customer on a link, or gets an earlier one's",
         test_customer_of_a_request},
        {"an unreadable check of a request is taken for another one",
         test_unreadable_check_of_a_request},
        {"an earlier build cannot read a request with a customer",
         test_request_for_an_earlier_build},
    };

    signal(SIGPIPE, SIG_IGN); /* as the daemon does */
    return Fv_RUN_SUITE("host_link", cases);
}
